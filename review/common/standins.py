"""Stand-ins for the cases of this review: hosts, bulletin, clients, and the start of a gateway.

They follow the protocol page (clients: HTTP/1.1, hosts: RESP, bulletin: server-sent events) and use
the standard library only. Times are seconds of the monotonic clock since the start of the record.
"""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
CONNECTION_ERRORS = (OSError, ValueError, asyncio.IncompleteReadError)
SERVE_ERRORS = (*CONNECTION_ERRORS, asyncio.CancelledError)


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_s

    def write(self, who, what):
        """Writes one line and returns its time."""
        now_s = self.now()
        self.file.write(f"{now_s:9.4f}  {who:<12} {what}\n")
        return now_s

    def conclude(self, text):
        """Writes a line without a time, also to standard output."""
        self.file.write(text + "\n")
        self.file.flush()
        print(text, flush=True)


def reply(command_id, status, fields=b"-", body=b""):
    """Returns a host's answer as bytes."""
    return b"*4\r\n" + b"".join(
        b"$%d\r\n%b\r\n" % (len(part), part) for part in (command_id, status, fields, body)
    )


class Execution:
    """A request that arrived whole at a host, and began to run there."""

    def __init__(self, at_s, host, words):
        self.at_s = at_s
        self.host = host
        self.request = words[1].decode()
        self.fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
        self.body = words[3].decode()


class Host:
    """A host. `executed` has all requests that it ran, `orders` its (time, load order).

    Attributes:
        service_s: Time from a request's arrival to its answer.
        draining: Whether it answers health checks with UNFIT; it still runs requests.
        failing: For subclasses: whether it leaves some work unanswered.
        note: The fields of its answers to requests.
        running: The wire ids of the requests that it runs.
    """

    def __init__(self, record, name, service_s=0.02, cell=0, zone="floor-1"):
        self.record = record
        self.name = name
        self.service_s = service_s
        self.cell = cell
        self.zone = zone
        self.started_at_ms = 0
        self.draining = False
        self.failing = False
        self.note = b"tell=hit"
        self.running = set()
        self.executed = []
        self.orders = []
        self.dropped = []
        self.writers = set()

    async def open(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(*SERVE_ERRORS):
            while True:
                count = int((await reader.readline())[1:])
                words = []
                for _ in range(count):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                self.command(words, writer)
        self.writers.discard(writer)
        writer.close()

    def command(self, words, writer):
        kind = words[0]
        if kind == b"exec":
            request = words[1].decode()
            text = f"exec {request} {words[2].decode()} {words[3].decode()}"
            self.executed.append(Execution(self.record.write(self.name, text), self.name, words))
            self.execute(words, writer)
        elif kind == b"drop":
            self.dropped.append(
                (self.record.write(self.name, f"drop {words[1].decode()}"), words[1])
            )
        elif kind in (b"health", b"load"):
            self.answer(writer, reply(words[1], b"UNFIT" if self.draining else b"FIT"))
        elif kind == b"ensure" and b"copies=0" in words[2]:  # only asks
            self.answer(writer, reply(words[1], b"DONE", b"copies=1"))
        elif kind == b"ensure":
            self.orders.append(
                (self.record.write(self.name, f"ensure {words[2].decode()}"), words[2])
            )
            status = b"WAIT" if self.draining else b"DONE"
            self.answer(writer, reply(words[1], status, b"copies=1"))

    def execute(self, words, writer):
        """Answers a request after the service time."""
        self.running.add(words[1])
        data = reply(words[1], b"DONE", self.note, b"body of " + words[1])
        asyncio.get_running_loop().call_later(self.service_s, self.done, words[1], writer, data)

    def done(self, command_id, writer, data):
        self.running.discard(command_id)
        self.answer(writer, data)

    def answer(self, writer, data):
        if not writer.is_closing():
            writer.write(data)

    def end(self):
        """Ends the process: its connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Bulletin:
    """The bulletin of one gateway: an event stream with a comment each second."""

    def __init__(self, record, hosts):
        self.record = record
        self.hosts = hosts
        self.states = {host.name: "in_service" for host in hosts}
        self.events = []
        self.first_no = 1
        self.silent = False
        self.writers = {}

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.comments = asyncio.create_task(self.send_comments())
        return self

    def row(self, host):
        return {
            "instanceId": host.name,
            "hostPort": host.address,
            "zone": host.zone,
            "machineType": "std-2c",
            "cell": host.cell,
            "lifecycle": self.states[host.name],
            "weight": 1,
            "startedAtMs": host.started_at_ms,
        }

    def event(self, no, rows, reset):
        return {"no": no, "roster": {"generation": no, "reset": reset, "instances": rows}}

    def known(self):
        """Returns the configuration's `known`: the whole list as event 1."""
        rows = [self.row(host) for host in self.hosts]
        return {"no": self.first_no, "items": [self.event(self.first_no, rows, True)]}

    def publish(self, *changes):
        """Adds an event of (host, state) pairs; it is told at once unless the bulletin is silent."""
        self.states.update({host.name: state for host, state in changes})
        no = self.first_no + len(self.events) + 1
        event = self.event(no, [self.row(host) for host, _ in changes], False)
        self.events.append(event)
        text = ", ".join(f"{host.name} {state}" for host, state in changes)
        now_s = self.record.write("bulletin", f"event {no}: {text}")
        if not self.silent:
            for writer in self.writers:
                self.send_events(writer)
        return now_s

    def send_events(self, writer):
        for event in self.events:
            if event["no"] > self.writers[writer]:
                writer.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())
                self.writers[writer] = event["no"]

    async def send_comments(self):
        while True:
            await asyncio.sleep(1.0)
            for writer in () if self.silent else list(self.writers):
                writer.write(b": here\n\n")

    async def serve(self, reader, writer):
        with contextlib.suppress(*SERVE_ERRORS):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
            )
            last = int(fields[b"last-event-id"])
            self.record.write("bulletin", f"asked, Last-Event-ID {last}, silent {self.silent}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.writers[writer] = last
            if not self.silent:
                self.send_events(writer)
            await reader.read()
        self.writers.pop(writer, None)
        writer.close()

    def speak_again(self):
        """Ends a silence: the silent connections are reset, and a new one is told everything."""
        self.silent = False
        for writer in list(self.writers):
            writer.transport.abort()


class Answer:
    """A whole answer of the gateway."""

    def __init__(self, status, fields, body, at_s):
        self.status = status
        self.fields = fields
        self.body = body
        self.at_s = at_s


class Client:
    """One connection to a gateway, with one request at a time."""

    def __init__(self, case, name):
        self.case = case
        self.name = name
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.case.listen)
        return self

    def send(self, request_class, function, patience_ms, body=b""):
        """Writes a request with a new id; returns the id and the time of its last byte."""
        request = self.case.new_id()
        self.writer.write(
            (
                f"POST /call/{function}/sync HTTP/1.1\r\nHost: backend.local\r\n"
                f"X-Class: {request_class}\r\nX-Call-Id: {request}\r\n"
                f"X-Patience-Ms: {patience_ms}\r\nX-Customer: acme\r\n"
                f"X-Extras: memory_mb:512;lanes:4;load_ms:640\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        text = (
            f"sends {request} {request_class} {function} patience {patience_ms} ms {body.decode()}"
        )
        return request, self.case.record.write(self.name, text)

    async def answer(self, timeout_s):
        """Returns the answer; None if the connection ends without one or the time is up."""
        record = self.case.record
        try:
            async with asyncio.timeout(timeout_s):
                head = await self.reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode().split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in rest if line)
                body = await self.reader.readexactly(int(fields.get("content-length", 0)))
        except TimeoutError:
            record.write(self.name, f"has no answer after {timeout_s:.3f} s and leaves")
            self.close()
            return None
        except CONNECTION_ERRORS as error:
            record.write(self.name, f"connection ended without an answer: {type(error).__name__}")
            self.close()
            return None
        found = Answer(int(first.split()[1]), fields, body, record.now())
        text = f"answered {found.status}" + ("" if found.status == 200 else f" {body.decode()!r}")
        if "x-come-back-ms" in fields:
            text += f" X-Come-Back-Ms {fields['x-come-back-ms']}"
        record.write(self.name, text)
        if fields.get("connection") == "close":
            self.close()
        return found

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class Case:
    """One play of a case: its record, its gateway process and its temporary folder."""

    def __init__(self, folder, trouble):
        self.trouble = trouble
        self.record = Record(Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.temporary.name)
        self.processes = []
        self.requests = 0
        self.record.write("case", f"trouble {'on' if self.trouble else 'off'}")

    def unix_ms(self):
        return round(time.time() * 1000)

    def new_id(self):
        self.requests += 1
        return f"{0x51C0000000000000 + self.requests:016x}"

    def write_configuration(self, bulletin, settings, sockets=1024, memory_mb=192):
        # An address of its own, so that no outgoing connection takes the port before the gateway.
        pid = os.getpid()
        with socket.socket() as free:
            free.bind((f"127.{64 + pid % 128}.{pid // 128 % 250}.1", 0))
            self.listen = free.getsockname()
        document = {
            "name": "n0",
            "listen": "%s:%d" % self.listen,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "bulletin": bulletin.address,
            "known": bulletin.known(),
            "settings": settings,
        }
        self.sockets = sockets
        self.configuration = self.path / "config.json"
        self.configuration.write_text(json.dumps(document))

    async def start_gateway(self):
        """Starts `run` of the deploy file, and waits until GET /ping is answered with 200."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        private = self.path / "tmp"
        private.mkdir(exist_ok=True)
        environment = os.environ | {
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": "%s:%d" % self.listen,
            "PROXY_CONFIG": str(self.configuration),
            "TMPDIR": str(private),
        }
        with open(self.path / "gateway.log", "a") as log:
            self.gateway = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # The platform's limit on this process alone: a gateway may hold `sockets` descriptors.
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (self.sockets, self.sockets)
                ),
            )
        self.processes.append(self.gateway)
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.gateway.poll() is not None or time.monotonic() > until_s:
                raise CannotRun("the gateway did not become ready: " + self.log_text()[-500:])
            await asyncio.sleep(0.05)
        self.record.write("gateway", "ready")

    async def is_ready(self):
        with contextlib.suppress(*CONNECTION_ERRORS, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"GET /ping HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                return head.startswith(b"HTTP/1.1 200")
        return False

    def signal(self, number):
        self.record.write("case", f"sends {signal.Signals(number).name} to the gateway")
        self.gateway.send_signal(number)

    def log_text(self):
        return (self.path / "gateway.log").read_text(errors="replace")

    def has_crashed(self):
        return self.gateway.poll() is not None

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOG"):
            Path(os.environ["KEEP_LOG"]).write_text(self.log_text())
        self.temporary.cleanup()


def settings(**changed):
    """Returns settings of a small deployment: gent-main's figures, in the platform's form."""
    found = {
        "instances": 3,
        "me": 0,
        "zone": "floor-1",
        "resolution": 4000,
        "discovery": "push",
        "requestClasses": [
            {"name": "field-update", "aim": 750000, "deadline": 2500000, "repeat": "repeatable"}
        ],
        "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 1000.0}],
        "permissions": {
            "cancel": True,
            "mayProbe": True,
            "maxAttempts": 6,
            "retryAfter": True,
            "maxRetryAfter": 1000000,
            "connIdle": 15000000,
            "connectTimeout": 250000,
            "mostHeld": 20000,
            "mayDuplicate": False,
        },
        "rules": {
            "coldFrom": 0.17,
            "cold": 16000000,
            "overloadFactor": 3.0,
            "fall": 3000000,
            "drainGrace": 2000000,
        },
        "familyInfo": {
            "ifCold": "load",
            "lingerIdle": 9900000,
            "loadControl": True,
            "saysWarm": True,
            "saysCompany": True,
            "loadWait": 10000000,
        },
    }
    for section, values in changed.items():
        is_section = isinstance(found.get(section), dict)
        found[section] = found[section] | values if is_section else values
    return found


def play(folder, case_function, trouble):
    """Plays a case and exits: 10 if the rule was broken, 0 if it held, 2 if it could not run.

    `case_function(case)` returns the list of breaks.
    """
    case = Case(folder, trouble)

    async def run():
        async with asyncio.timeout(110):
            breaks = await case_function(case)
        # What the stand-ins still do ends with the play.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return breaks

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes first, see below
    try:
        breaks = asyncio.run(run())
    except BaseException as error:  # noqa: BLE001
        case.record.conclude(f"RESULT could not run: {type(error).__name__}: {error}")
        case.end()
        sys.exit(2)
    case.end()
    for text in breaks[:20]:
        case.record.conclude(f"BREAK  {text}")
    case.record.conclude(
        f"RESULT {len(breaks)} breaks; the rule {'was broken' if breaks else 'held'}"
    )
    sys.exit(10 if breaks else 0)
