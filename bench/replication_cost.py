"""Measures what replication costs a gateway: `python -m bench.replication_cost`.

One gateway of three serves the same requests without peers, with peers but no replicas, and with
two replicas; the three runs are repeated in turn. CPU time is that of this gateway's process.
Response times are the client's, which sends in an open loop at a fixed rate.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import numpy as np
import uvloop

from bench.gateway import AnsweringHosts, StaticEndpointList
from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.rehearsal.processes import Ports

REQUESTS_PER_SECOND = 500
MEASURED_S = 8
WARM_UP_S = 1.0
CONNECT_S = 1.5  # until the gateways are connected and have read the endpoint list
ROUNDS = 3
HOSTS = 8
GATEWAYS = 3
HOST_WORK_MS = 5.0
FUNCTIONS = 40
TIMEOUT_MS = 2500.0
BODY_SIZES = (200, 4096)
REPLICA_COUNTS = (None, 0, 2)  # None: a gateway without peers
CONFIGURATION = """
name: "g%(number)d", number: %(number)d, gateways: 3, list: "%(list)s", door: "%(door)s"
clauses: [{name: "draft", target: 750ms, max_age: 2.5s}]
cold: {}, ration: {}, bounds: {}
may: {launches: 3, recall: true, probe: true, order: true, advice: 1s}
%(peers)s
"""
PEERS = """
peers: {door: "%(at)s", next: %(next)d, keepers: [%(keepers)s]}
tenures: {promises: "%(folder)s/g%(number)d.promises"}
"""


class Cost(NamedTuple):
    """The results of one run."""

    cpu_us_per_request: float
    p50_ms: float
    p99_ms: float
    requests: int


def now_ms():
    return time.monotonic() * 1000


def cpu_ms(process_id):
    """Returns the CPU time of a process so far."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return 1000 * (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


class Client:
    """A client that sends requests in an open loop."""

    def __init__(self, body):
        self.body = body
        self.sent_at_ms = {}
        self.response_times_ms = []
        self.last_id = 0
        self.end = None

    async def connect(self, address):
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(self, protocol.TO_CLIENT, hello("client", "c")),
            host,
            int(port),
        )

    def hello_received(self, end, hello):
        self.end = end

    def message_received(self, end, message):
        if type(message) is protocol.Response:
            self.response_times_ms.append(now_ms() - self.sent_at_ms.pop(message.id))

    def connection_ended(self, end):
        pass

    async def load(self, seconds):
        """Sends requests at the fixed rate for this time."""
        begun_ms, first_id = now_ms(), self.last_id
        while (elapsed_ms := now_ms() - begun_ms) < 1000 * seconds:
            while self.last_id < first_id + REQUESTS_PER_SECOND * elapsed_ms / 1000:
                self.send()
                elapsed_ms = now_ms() - begun_ms
            await asyncio.sleep(0.002)

    def send(self):
        self.last_id += 1
        self.sent_at_ms[self.last_id] = now_ms()
        self.end.write(
            protocol.Request(
                self.last_id,
                "draft",
                f"deed-{self.last_id % FUNCTIONS}",
                TIMEOUT_MS,
                now_ms(),
                claim_key=f"{self.last_id:032d}",
                body=self.body,
            )
        )


def hello(role, name):
    return lambda: protocol.Hello(protocol.VERSION, role, name, now_ms())


async def listen(peer, accepted, role, name):
    """Returns a server for one kind of peer, and its address."""
    server = await asyncio.get_running_loop().create_server(
        lambda: FramedConnection(peer, accepted, hello(role, name)), "127.0.0.1", 0
    )
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def start_hosts():
    """Returns the servers of hosts and of the endpoint list, and the list's address."""
    servers, endpoints = [], []
    for _ in range(HOSTS):
        server, address = await listen(AnsweringHosts(HOST_WORK_MS), protocol.TO_HOST, "host", "h")
        servers.append(server)
        endpoints.append(protocol.Endpoint(address, "ready", 0.0, "z", 0))
    server, address = await listen(StaticEndpointList(endpoints), protocol.TO_LIST, "list", "l")
    return [*servers, server], address


def configurations(replicas, folder, list_address, ports):
    """Returns the paths of the gateways' configurations, and the first gateway's address."""
    addresses = [ports.take() for _ in range(GATEWAYS)]
    peer_addresses = [ports.take() for _ in range(GATEWAYS)]
    voters = ", ".join(f'{{name: "g{i}", at: "{at}"}}' for i, at in enumerate(peer_addresses))
    paths = []
    for number in range(GATEWAYS):
        peers = ""
        if replicas is not None:
            peers = PEERS % {
                "at": peer_addresses[number],
                "next": replicas,
                "keepers": voters,
                "folder": folder,
                "number": number,
            }
        path = Path(folder) / f"{replicas}-{number}.lease"
        path.write_text(
            CONFIGURATION
            % {"number": number, "list": list_address, "door": addresses[number], "peers": peers}
        )
        paths.append(path)
    return paths, addresses[0]


def start_gateway(path):
    command = ["cherrydoor", "--log-level", "error", "gateway", "--lease"]
    return subprocess.Popen(
        [sys.executable, "-m", *command, str(path), "--announce", "--tied"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )


async def measure(replicas, folder, body):
    """Returns the cost at the first gateway; without peers if `replicas` is None."""
    ports = Ports(os.getpid() + (replicas or 0))
    servers, list_address = await start_hosts()
    paths, address = configurations(replicas, folder, list_address, ports)
    processes = [start_gateway(path) for path in paths]
    for process in processes:
        await asyncio.get_running_loop().run_in_executor(None, process.stdout.readline)
    client = Client(body)
    await client.connect(address)
    await asyncio.sleep(CONNECT_S)
    await client.load(WARM_UP_S)
    client.response_times_ms = []
    before_ms = cpu_ms(processes[0].pid)
    await client.load(MEASURED_S)
    spent_ms = cpu_ms(processes[0].pid) - before_ms
    requests = len(client.response_times_ms)
    for process in processes:
        process.kill()
        process.wait()
    for server in servers:
        server.close()
    p50_ms, p99_ms = np.percentile(client.response_times_ms, (50, 99))
    return Cost(1000 * spent_ms / requests, float(p50_ms), float(p99_ms), requests)


def main():
    for size in BODY_SIZES:
        for _ in range(ROUNDS):
            for replicas in REPLICA_COUNTS:
                with tempfile.TemporaryDirectory() as folder:
                    cost = uvloop.run(measure(replicas, folder, b"x" * size))
                row = {
                    "body": size,
                    "who": "alone" if replicas is None else f"{replicas} replicas",
                    "us a request": round(cost.cpu_us_per_request),
                    "p50 ms": round(cost.p50_ms, 2),
                    "p99 ms": round(cost.p99_ms, 2),
                    "requests": cost.requests,
                }
                print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
