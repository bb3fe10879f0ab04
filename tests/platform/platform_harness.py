"""The platform as a test runs it on loopback.

Hosts that speak RESP, a discovery server, clients, and the gateway started as in service, in a
process of its own, or on the test's own loop.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from functools import wraps

from platform_filter import HELD
from platform_outside import LONG as LONG
from platform_outside import DiscoveryServer, Host
from platform_outside import reply as reply

from cherrydoor.platform import configuration
from cherrydoor.platform.process import PlatformService
from cherrydoor.rehearsal.soak.settings import SETTINGS

MORE = "memory_mb:512;lanes:4;load_ms:200"
FUNCTION = "7f3a9c21e0b4d655"


def with_harness(test):
    """Runs an async test with a harness of its own, and closes it."""

    @wraps(test)
    def run(tmp_path):
        async def whole():
            harness = PlatformHarness(tmp_path)
            try:
                async with asyncio.timeout(3 * LONG):
                    await test(harness)
            finally:
                await harness.close()

        asyncio.run(whole())

    del run.__wrapped__  # pytest hands it a folder, not a harness
    return run


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Client:
    """A connection to the gateway's listener."""

    def __init__(self, harness):
        self.harness = harness

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.harness.port)
        return self

    def send(self, data):
        self.writer.write(data)

    def call(self, number=None, **said):
        number = number or self.harness.number()
        self.send(call(number, **said))
        return number

    async def answer(self):
        """The next answer; None where the connection closes before it."""
        async with asyncio.timeout(LONG):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
            first, *rest = head.decode().split("\r\n")
            headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in rest if line)}
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
            return Answer(int(first.split()[1]), headers, body)

    async def closed(self):
        """Waits until the gateway has closed; what came before."""
        async with asyncio.timeout(LONG):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""


def call(
    number,
    function=FUNCTION,
    kind="draft",
    customer="acme",
    patience="2000",
    more=MORE,
    body=b"",
    extra=(),
):
    lines = [
        f"POST /call/{function}/sync HTTP/1.1",
        "Host: backend.local",
        f"X-Class: {kind}",
        f"X-Call-Id: {number}",
        f"X-Patience-Ms: {patience}",
        f"X-Customer: {customer}",
        f"X-Extras: {more}",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class PlatformHarness:
    def __init__(self, path):
        self.path, self.hosts, self.calls, self.process, self.discovery_servers = (
            path,
            [],
            0,
            None,
            [],
        )
        self.within = None

    def number(self):
        self.calls += 1
        return f"{self.calls:016x}"

    async def host(self, name):
        host = await Host(name).open()
        self.hosts.append(host)
        return host

    async def start_discovery_server(self):
        self.discovery_servers.append(await DiscoveryServer().open())
        return self.discovery_servers[-1]

    def update(self, no, whole=False, **states):
        """Returns a discovery update with the states of hosts by their names."""
        ports = {host.name: host.port for host in self.hosts}
        return {
            "no": no,
            "roster": {
                "generation": no,
                "reset": whole,
                "instances": [
                    {
                        "instanceId": name,
                        "hostPort": f"127.0.0.1:{ports[name]}",
                        "zone": "east",
                        "machineType": "std",
                        "cell": 0,
                        "lifecycle": state,
                        "weight": 1,
                        "startedAtMs": 0,
                    }
                    for name, state in states.items()
                ],
            },
        }

    def configuration(self, **changed):
        """Writes the configuration's file; its path."""
        said = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "bulletin": f"127.0.0.1:{self.discovery_servers[-1].port}",
            "known": {
                "no": 1,
                "items": [self.update(1, True, **{h.name: "in_service" for h in self.hosts})],
            },
            "settings": SETTINGS,
        } | changed
        file = self.path / "config.json"
        file.write_text(json.dumps(said))
        return file

    def run(self, file, held=False, **more):
        """Starts the gateway as in service, or held by the platform's filter."""
        how = ["-c", HELD] if held else ["-m", "cherrydoor", "platform"]
        env = {
            **os.environ,
            "PROXY_CONFIG": str(file),
            "PROXY_LISTEN": f"127.0.0.1:{self.port}",
            "PROXY_NAME": "n1",
        }
        self.log = open(self.path / "log", "a+")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, *how],
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            env=env | more,
        )

    async def built(self, hosts):
        for name in hosts:
            await self.host(name)
        await self.start_discovery_server()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]

    async def start(self, hosts=("a",), **changed):
        """Starts hosts, a discovery server and a gateway, and waits until it is ready."""
        await self.built(hosts)
        self.run(self.configuration(**changed))
        await self.ready()

    async def start_within(self, hosts=("a",), **changed):
        """The same with the gateway on the test's own loop; it is what comes back."""
        await self.built(hosts)
        file = self.configuration(**changed)
        self.within = PlatformService(configuration.read(file, None, 1024), file)
        self.task = asyncio.create_task(self.within.run())
        await self.ready()
        return self.within

    async def ready(self):
        async with asyncio.timeout(LONG):
            while True:
                assert self.process is None or self.process.poll() is None, self.logged()
                try:
                    client = await Client(self).open()
                    client.send(b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
                    if (answer := await client.answer()) and answer.status == 200:
                        client.writer.close()
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.02)

    async def client(self):
        return await Client(self).open()

    async def handled(self, **said):
        """Sends one request on a connection of its own; returns its answer."""
        client = await self.client()
        client.call(**said)
        answer = await client.answer()
        client.writer.close()
        return answer

    def logged(self):
        return (self.path / "log").read_text()

    async def until_logged(self, text):
        """Waits until the gateway's log has this text."""
        async with asyncio.timeout(LONG):
            while text not in self.logged():
                await asyncio.sleep(0.02)

    async def until_applied(self, no):
        """Waits until the gateway has logged that it applied this revision."""
        await self.until_logged(f'"revision": {no}')

    def signal(self, name):
        self.process.send_signal(getattr(signal, name))

    async def ended(self):
        async with asyncio.timeout(LONG):
            while self.process.poll() is None:
                await asyncio.sleep(0.02)
        return self.process.returncode

    async def close(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.within:
            self.within.end(0)
            await self.task
        for discovery_server in self.discovery_servers:
            discovery_server.beat.cancel()
            discovery_server.server.close()
        for host in self.hosts:
            host.server.close()
