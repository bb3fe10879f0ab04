"""Runs a fleet of `cherrydoor gateway` processes with a fault-injecting proxy on every link."""

import asyncio
import json
import os
import signal
import sys
import time

from cherrydoor.config import show
from cherrydoor.config.records import Duration
from cherrydoor.rehearsal.fault_injecting_proxy import FaultInjectingProxy
from cherrydoor.rehearsal.processes import Ports

WAIT_TIMEOUT_S = 20.0  # limit for each wait of a test
ASK_TIMEOUT_S = 1.0  # limit for connecting to a control socket, and again for the answer
POLL_INTERVAL_S = 0.03
PROXY_SEED = 5
FIRST_GATEWAY_SEED = 7
ZONES = 3

REQUEST_CLASSES = [
    {"name": "draft", "target": Duration(800.0), "max_age": Duration(3000.0)},
    {
        "name": "sign",
        "target": Duration(800.0),
        "max_age": Duration(3000.0),
        "kind": "keyed",
        "memory": Duration(5000.0),
    },
    {
        "name": "file",
        "target": Duration(800.0),
        "max_age": Duration(4000.0),
        "kind": "at-most-once",
    },
]


class FleetGateway:
    """One gateway: its configuration, its process, what it logs."""

    def __init__(self, fleet, number, settings):
        """`settings` are added to the gateway's configuration."""
        self.fleet = fleet
        self.number = number
        self.name = f"g{number}"
        self.extra_settings = settings
        self.process = None
        self.log_lines = []
        self.folder = fleet.folder
        self.door = fleet.ports.take()
        # The address at which it listens for peers; `at` is that of the proxy in front of it.
        self.peer_address = fleet.ports.take()
        self.control = str(fleet.folder / f"{self.name}.sock")

    def write_configuration(self):
        """Writes the gateway's configuration file; returns its path."""
        fleet = self.fleet
        settings = {
            "name": self.name,
            "number": self.number,
            "gateways": len(fleet.gates),
            "seed": FIRST_GATEWAY_SEED + self.number,
            "zone": f"floor-{self.number % ZONES}",
            "door": self.door,
            "list": fleet.list_at,
            "clauses": REQUEST_CLASSES,
            "may": {"launches": 3, "recall": True, "order": True},
            "cold": {},
            "ration": {},
            "bounds": {},
            "peers": self.peer_settings(),
            "tenures": {
                "promises": str(self.folder / f"{self.name}.promises"),
                "term": Duration(800.0),
                "margin": Duration(50.0),
                "longest": Duration(1000.0),
            },
            **self.extra_settings,
        }
        path = self.folder / f"{self.name}.lease"
        path.write_text(show(settings) + "\n")
        return path

    def peer_settings(self):
        voters = self.fleet.gates[: self.fleet.voter_count]
        return {
            "door": self.peer_address,
            "at": self.at,
            "keepers": [{"name": voter.name, "at": voter.at} for voter in voters],
            "next": 2,
            "control": self.control,
            "beat": Duration(100.0),
            "silent": Duration(700.0),
            **self.fleet.peers,
        }

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cherrydoor",
            "gateway",
            "--lease",
            str(self.write_configuration()),
            "--announce",
            "--tied",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": os.getcwd()},
        )
        self.task = asyncio.ensure_future(self.read_log())
        assert await asyncio.wait_for(self.process.stdout.readline(), WAIT_TIMEOUT_S), (
            self.log_lines
        )
        return self

    async def read_log(self):
        async for line in self.process.stderr:
            self.log_lines.append(line.decode())

    def logged(self, text):
        return [line for line in self.log_lines if text in line]

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def ask(self, **request):
        """Returns the answer of the gateway's control socket; None if it does not answer."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_unix_connection(self.control), ASK_TIMEOUT_S
            )
            writer.write(json.dumps(request).encode() + b"\n")
            line = await asyncio.wait_for(reader.readline(), ASK_TIMEOUT_S)
            writer.close()
            return json.loads(line) if line else None
        except (OSError, TimeoutError):
            return None

    async def member_states(self):
        """Returns the state of each member by name, as this gateway sees it."""
        answer = await self.ask(do="peers")
        return {row["name"]: row["state"] for row in answer["members"]} if answer else {}

    async def held_token(self, task):
        """Returns the fencing token under which this gateway holds the task's lease, or None."""
        answer = await self.ask(do="tenures")
        if not answer:
            return None
        for row in answer["held"]:
            if row["task"] == task and row["left"] > 0:
                return row["number"]
        return None


class Fleet:
    """Gateways, the first `voter_count` of them voters; an async context starts and kills them."""

    def __init__(self, folder, count, voter_count=3, list_at="127.0.0.1:9", peers=None, more=None):
        """`peers` and `more` are added to each gateway's peer settings and configuration."""
        self.folder = folder
        self.voter_count = voter_count
        self.list_at = list_at
        self.peers = peers or {}
        self.ports = Ports(os.getpid())
        self.proxy = FaultInjectingProxy(PROXY_SEED)
        self.gates = [FleetGateway(self, number, more or {}) for number in range(count)]

    async def __aenter__(self):
        for gate in self.gates:
            gate.at = await self.proxy.port(gate.name, gate.peer_address)
        await asyncio.gather(*(gate.start() for gate in self.gates))
        return self

    async def __aexit__(self, *_):
        for gate in self.gates:
            if gate.process and gate.process.returncode is None:
                gate.signal(signal.SIGCONT)
                gate.signal(signal.SIGKILL)
                await gate.process.wait()
        for server in self.proxy.servers:
            server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    async def wait_until_all_alive(self):
        """Waits until each gateway sees all others alive; returns the gateways."""
        for gate in self.gates:
            await until(
                lambda gate=gate: gate.member_states(),
                lambda seen: list(seen.values()) == ["here"] * len(self.gates),
            )
        return self.gates

    async def wait_for_leaseholder(self, task, above=0, among=None):
        """Waits until a gateway holds the lease under a token above `above`.

        Returns:
            The gateway and its token.
        """

        async def leaseholders():
            found = []
            for gate in among or self.gates:
                if gate.process.returncode is not None:
                    continue
                token = await gate.held_token(task) or 0
                if token > above:
                    found.append((gate, token))
            return found

        return (await until(leaseholders, bool))[0]


async def until(ask, is_good):
    """Polls until `is_good` accepts an answer, and returns it; fails with the last answer."""
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    answer = None
    while time.monotonic() < deadline_s:
        answer = await ask()
        if is_good(answer):
            return answer
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"no expected answer in time; the last was: {answer}")


def async_test(test):
    """Runs a test that is a coroutine, given a folder."""

    def run(tmp_path):
        asyncio.run(test(tmp_path))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run
