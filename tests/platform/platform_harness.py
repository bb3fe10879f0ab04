"""Harness that runs a test platform on loopback.

It has hosts that speak RESP, a discovery server and clients. The gateway runs in a process of its
own, as in production, or on the test's event loop.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from functools import wraps

import uvloop
from platform_filter import FILTERED_GATEWAY
from platform_messages import EXTRAS as EXTRAS
from platform_messages import FUNCTION as FUNCTION
from platform_messages import call
from platform_outside import TEST_TIMEOUT_S as TEST_TIMEOUT_S
from platform_outside import DiscoveryServer, Host
from platform_outside import reply as reply

from cherrydoor.platform import configuration
from cherrydoor.platform.process import PlatformService
from cherrydoor.rehearsal.soak.settings import SETTINGS


def with_harness(test, run_loop=asyncio.run):
    """Runs an async test with its own harness, and closes the harness afterwards."""

    @wraps(test)
    def run(tmp_path):
        async def run_with_harness():
            harness = PlatformHarness(tmp_path)
            try:
                async with asyncio.timeout(3 * TEST_TIMEOUT_S):
                    await test(harness)
            finally:
                await harness.close()

        run_loop(run_with_harness())

    del run.__wrapped__  # pytest passes tmp_path, not a harness
    return run


def with_harness_on_uvloop(test):
    """Does the same on the event loop that the gateway has in service."""
    return with_harness(test, uvloop.run)


class Response:
    """A response of the gateway."""

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

    def call(self, number=None, **fields):
        number = number or self.harness.number()
        self.send(call(number, **fields))
        return number

    async def answer(self):
        """Returns the next response; None if the connection closes before it."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
            first, *rest = head.decode().split("\r\n")
            headers = {
                name.lower(): value
                for name, value in (line.split(": ", 1) for line in rest if line)
            }
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
            return Response(int(first.split()[1]), headers, body)

    async def closed(self):
        """Waits until the gateway has closed; returns what was received before."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""


class PlatformHarness:
    """The hosts, discovery servers and gateway of one test."""

    def __init__(self, path):
        self.path, self.hosts, self.calls, self.process, self.discovery_servers = (
            path,
            [],
            0,
            None,
            [],
        )
        self.service = None

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

    def update(self, revision, snapshot=False, **states):
        """Returns a discovery update; `states` are the hosts' states by name."""
        ports = {host.name: host.port for host in self.hosts}
        return {
            "no": revision,
            "roster": {
                "generation": revision,
                "reset": snapshot,
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
        """Writes the configuration file; returns its path."""
        document = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "bulletin": f"127.0.0.1:{self.discovery_servers[-1].port}",
            "known": {
                "no": 1,
                "items": [self.update(1, True, **{host.name: "in_service" for host in self.hosts})],
            },
            "settings": SETTINGS,
        } | changed
        file = self.path / "config.json"
        file.write_text(json.dumps(document))
        return file

    def run(self, file, filtered=False, **environment):
        """Starts the gateway as in production; if `filtered`, under the system-call filter."""
        arguments = ["-c", FILTERED_GATEWAY] if filtered else ["-m", "cherrydoor", "platform"]
        env = {
            **os.environ,
            "PROXY_CONFIG": str(file),
            "PROXY_LISTEN": f"127.0.0.1:{self.port}",
            "PROXY_NAME": "n1",
        }
        self.log = open(self.path / "log", "a+")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            env=env | environment,
        )

    async def prepare(self, hosts):
        """Starts hosts and a discovery server, and chooses the gateway's port."""
        for name in hosts:
            await self.host(name)
        await self.start_discovery_server()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]

    async def start(self, hosts=("a",), **changed):
        """Starts hosts, a discovery server and a gateway, and waits until it is ready."""
        await self.prepare(hosts)
        self.run(self.configuration(**changed))
        await self.ready()

    async def start_in_process(self, hosts=("a",), **changed):
        """Does the same with the gateway on the test's event loop; returns its service."""
        await self.prepare(hosts)
        return await self.serve_in_process(**changed)

    async def serve_in_process(self, **changed):
        """Starts a gateway on the test's event loop and waits until it is ready."""
        file = self.configuration(**changed)
        self.service = PlatformService(configuration.read(file, None, 1024), file)
        self.task = asyncio.create_task(self.service.run())
        await self.ready()
        return self.service

    async def ready(self):
        """Waits until the gateway's readiness probe succeeds."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                assert self.process is None or self.process.poll() is None, self.log_text()
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

    async def send_request(self, **fields):
        """Sends one request on a new connection; returns the response."""
        client = await self.client()
        client.call(**fields)
        answer = await client.answer()
        client.writer.close()
        return answer

    def log_text(self):
        return (self.path / "log").read_text()

    async def until_logged(self, text):
        """Waits until the gateway's log has this text."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while text not in self.log_text():
                await asyncio.sleep(0.02)

    async def until_applied(self, revision):
        """Waits until the gateway has logged that it applied this revision."""
        await self.until_logged(f'"revision": {revision}')

    def signal(self, name):
        self.process.send_signal(getattr(signal, name))

    async def ended(self):
        """Waits until the gateway's process has ended; returns its exit code."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.process.poll() is None:
                await asyncio.sleep(0.02)
        return self.process.returncode

    async def close(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.service:
            self.service.end(0)
            await self.task
        for discovery_server in self.discovery_servers:
            discovery_server.heartbeat.cancel()
            discovery_server.server.close()
            discovery_server.abort_connections()
        for host in self.hosts:
            host.server.close()
            for writer in host.writers:
                writer.transport.abort()
        await asyncio.sleep(0)  # the transports close their sockets in the next pass
