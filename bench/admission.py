"""Measures admission control; `make bench-doors` prints the tables of docs/measurements.md.

Measures the CPU time that a rejection, an accepted hello and a handshake cost the gateway, and the
memory that remains in use after connections from a million addresses. The gateway is a separate
process and reports its CPU time when asked; this process opens the connections.
"""

import asyncio
import json
import logging
import multiprocessing
import os
import resource
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog
import uvloop
from cherrydoor.tls.make import Folder

from cherrydoor.admission.connections import AdmittedConnection
from cherrydoor.admission.controller import AdmissionController
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.admission.messages import ConnectionAccepted, ConnectionClosed, UsageMeasured
from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import files

CONNECTIONS_PER_ROW = 3000
CONCURRENT_CONNECTIONS = 20
ADDRESSES = 1_000_000
HOLD_S = 0.005  # from the response to its hello until a client closes its connection

SETTINGS = (
    'name: "g0", number: 0, gateways: 1, list: "127.0.0.1:1", cold: {}, ration: {}, may: {}, '
    "bounds: {}\n"
    'clauses: [{name: "draft", target: 750ms, max_age: 2.5s}]\n'
)
UNLIMITED = (
    "admission: {pace: 100000, burst: 100000, known_pace: 100000, handshakes: 100000, "
    'known: [{name: "harbour", places: 200, addresses: ["127.0.0.0/8"]}]}\n'
)
RATE_LIMITED = "admission: {pace: 0.001, burst: 1}\n"


@dataclass
class Row:
    """One row of the table: a gateway, and the connections that are opened to it.

    Attributes:
        settings: The gateway's configuration.
        act: Opens the connections to a port, and returns their result.
        bare: Whether a bare asyncio server takes the place of the gateway.
    """

    name: str
    settings: str
    act: Callable[[int], Any]
    bare: bool = False


def cpu_seconds():
    """Returns the CPU time of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def resident_bytes():
    """Returns the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class NoOwner:
    """The owner of connections on the bare server; ignores all messages."""

    def hello_received(self, end, hello):
        """Ignores the hello."""

    def message_received(self, end, message):
        """Ignores the message."""

    def connection_ended(self, end):
        """Ignores the closed connection."""


async def start_bare_server():
    """Starts an asyncio server that only accepts hellos; returns its port."""
    server = await asyncio.get_running_loop().create_server(
        lambda: FramedConnection(
            NoOwner(), protocol.FROM_CLIENT, lambda: protocol.Hello(1, "gateway")
        ),
        "127.0.0.1",
        0,
        backlog=1024,
    )
    return server.sockets[0].getsockname()[1]


async def start_gateway(settings):
    """Starts a gateway with these settings; returns its port."""
    from cherrydoor.config import read
    from cherrydoor.config.figures import GatewayConfig, schema
    from cherrydoor.gateway.service import GatewayService
    from cherrydoor.routing import Router

    config = GatewayConfig(read(settings, "f", schema("gateway.schema"), "#Lease"))
    service = GatewayService(config, Router)
    await service.start()
    return service.port


def server_process(pipe, settings, bare):
    """Sends the port, then the CPU time for each True on the pipe; ends at False."""

    async def serve():
        loop = asyncio.get_running_loop()
        pipe.send(await (start_bare_server() if bare else start_gateway(settings)))
        finished = loop.create_future()

        def command_received():
            if pipe.recv():
                pipe.send(cpu_seconds())
            else:
                finished.set_result(None)

        loop.add_reader(pipe.fileno(), command_received)
        await finished

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    uvloop.run(serve())


class BenchClient:
    """A client that closes its connection shortly after the response to its hello."""

    def __init__(self):
        self.closed = asyncio.get_running_loop().create_future()
        self.admitted = False

    def hello_received(self, end, hello):
        """Sends a message, and closes the connection after `HOLD_S`."""
        self.admitted = True
        end.write(protocol.CancelRequest(1))
        asyncio.get_running_loop().call_later(HOLD_S, end.close)

    def message_received(self, end, message):
        """Ignores the message; none is expected."""

    def connection_ended(self, end):
        """Completes `closed`."""
        if not self.closed.done():
            self.closed.set_result(end)


async def connect(port, count, context):
    """Opens `count` connections; returns (how many were admitted, seconds)."""
    admitted = 0
    begun_at_s = time.monotonic()

    async def connect_in_turn(share):
        nonlocal admitted
        for _ in range(share):
            client = BenchClient()
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda client=client: FramedConnection(
                        client, protocol.TO_CLIENT, lambda: protocol.Hello(1, "client", "c")
                    ),
                    "127.0.0.1",
                    port,
                    ssl=context,
                    server_hostname="127.0.0.1" if context else None,
                )
                await client.closed
            except OSError:
                continue
            admitted += client.admitted

    await asyncio.gather(
        *(connect_in_turn(count // CONCURRENT_CONNECTIONS) for _ in range(CONCURRENT_CONNECTIONS))
    )
    return admitted, time.monotonic() - begun_at_s


def connect_rejected(port, count):
    """Opens raw connections that are rejected; returns how many received the reason."""
    rejections_read = 0
    for _ in range(count):
        with socket.create_connection(("127.0.0.1", port)) as sock:
            rejections_read += b"fault" in sock.recv(4096)
    return rejections_read


def measure(row):
    """Returns (CPU seconds of the server while the row ran, result of its connections)."""
    context = multiprocessing.get_context("spawn")
    our_end, their_end = context.Pipe()
    process = context.Process(target=server_process, args=(their_end, row.settings, row.bare))
    process.start()
    port = our_end.recv()
    our_end.send(True)
    before = our_end.recv()
    result = row.act(port)
    our_end.send(True)
    used = our_end.recv() - before
    our_end.send(False)
    process.join(10)
    return used, result


def addresses_seen(count):
    """Returns (bytes in use, network prefixes) after `count` addresses, ten thousand per second."""
    controller = AdmissionController(ClientLimits(400), 0.0)
    now = 0.0
    before = resident_bytes()
    for i in range(count):
        now += 0.1
        connection = AdmittedConnection(
            f"{20 + i % 200}.{i // 200 % 256}.{i * 13 // 51200 % 256}.{i * 31 % 256}", now
        )
        controller.take(now, ConnectionAccepted(connection))
        controller.take(now, ConnectionClosed(connection))
        if i % 1000 == 0:
            controller.take(now, UsageMeasured(0.1, 0.1, 0.1))
    return resident_bytes() - before, len(controller.networks)


def rows_of(folder):
    """Returns the rows; creates their keys in this folder."""
    keys = Folder(folder)
    keys.authority()
    keys.issue("gateway", "g0", addresses=["127.0.0.1"])
    keys.issue("client", "harbour")
    path = Path(folder)
    _, _, trusted = files.authorities(path / "authorities.pem")
    chain = files.pair(path / "harbour.pem", path / "harbour.key")[2:]
    tls = (
        f'keys: {{certificate: "{folder}/g0.pem", key: "{folder}/g0.key", '
        f'authorities: "{folder}/authorities.pem"}}\n'
    )

    def admitted(context=None):
        return lambda port: uvloop.run(connect(port, CONNECTIONS_PER_ROW, context))

    without_certificate = files.context(False, b"", b"", trusted)
    with_certificate = files.context(False, *chain, trusted)
    open_to_all = SETTINGS + UNLIMITED
    return (
        Row("bare hello, no admission", "", admitted(), bare=True),
        Row("hello accepted", open_to_all, admitted()),
        Row(
            "rejected by rate",
            SETTINGS + RATE_LIMITED,
            lambda port: connect_rejected(port, CONNECTIONS_PER_ROW),
        ),
        Row("handshake, no certificate", open_to_all + tls, admitted(without_certificate)),
        Row("handshake with certificate", open_to_all + tls, admitted(with_certificate)),
    )


def text_of(value):
    """Returns a figure as the table shows it."""
    return f"{round(value, 1) if isinstance(value, float) else value}"


def main():
    """Measures all rows and prints them; with --json, as one object."""
    results = {}
    with tempfile.TemporaryDirectory() as folder:
        for row in rows_of(folder):
            used, result = measure(row)
            results[row.name] = {"us": used / CONNECTIONS_PER_ROW * 1e6, "found": result}
        used_bytes, prefixes = addresses_seen(ADDRESSES)
        results["a million addresses"] = {"kB": used_bytes / 1000, "prefixes": prefixes}
    if "--json" in sys.argv:
        print(json.dumps(results, indent=1))
    else:
        for name, figures in results.items():
            line = ", ".join(f"{key} {text_of(value)}" for key, value in figures.items())
            print(f"{name:28}", line)
    print("one process of", os.cpu_count(), "cores", file=sys.stderr)


if __name__ == "__main__":
    main()
