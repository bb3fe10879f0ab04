"""Measures the doors in one run: what a refusal, an accepted hello and a handshake cost the gateway, and what a million
addresses seen leave in memory. `make bench-doors` prints the tables that docs/measurements.md keeps.

The gateway is a process of its own and says its CPU when asked; the connections come from here.
"""

import asyncio
import json
import multiprocessing
import os
import resource
import socket
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from cherrydoor.tls.make import Folder

from cherrydoor.admission import decide as d
from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import files

COUNT = 3000


def cpu():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def resident():
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def gateway(pipe, text, bare):
    """A gateway, or with `bare` a server of asyncio that takes hellos and nothing else."""
    from cherrydoor.config import read
    from cherrydoor.config.figures import GatewayConfig, schema
    from cherrydoor.gateway.service import GatewayService
    from cherrydoor.routing import Router

    class Owner:
        def greeted(self, end, hello):
            pass

        def heard(self, end, message):
            pass

        def lost(self, end):
            pass

    async def play():
        loop = asyncio.get_running_loop()
        if bare:
            server = await loop.create_server(
                lambda: FramedConnection(
                    Owner(), protocol.FROM_CLIENT, lambda: protocol.Hello(1, "gateway")
                ),
                "127.0.0.1",
                0,
                backlog=1024,
            )
            port = server.sockets[0].getsockname()[1]
        else:
            service = GatewayService(
                GatewayConfig(read(text, "f", schema("lease.schema"), "#Lease")), Router
            )
            await service.start()
            port = service.port
        pipe.send(port)
        over = loop.create_future()

        def asked():
            pipe.send(cpu()) if pipe.recv() else over.set_result(None)

        loop.add_reader(pipe.fileno(), asked)
        await over

    import logging

    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    uvloop.run(play())


class Came:
    def __init__(self):
        self.over = asyncio.get_running_loop().create_future()
        self.let_in = False

    def greeted(self, end, hello):
        self.let_in = True
        end.write(protocol.CancelRequest(1))
        asyncio.get_running_loop().call_later(0.005, end.close)

    def heard(self, end, message):
        pass

    def lost(self, end):
        if not self.over.done():
            self.over.set_result(end)


async def connects(port, count, context, at_once=20):
    """(let in, seconds)"""
    let_in, begun = 0, time.monotonic()

    async def some(many):
        nonlocal let_in
        for _ in range(many):
            came = Came()
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda came=came: FramedConnection(
                        came, protocol.TO_CLIENT, lambda: protocol.Hello(1, "client", "c")
                    ),
                    "127.0.0.1",
                    port,
                    ssl=context,
                    server_hostname="127.0.0.1" if context else None,
                )
                await came.over
            except OSError:
                continue
            let_in += came.let_in

    await asyncio.gather(*(some(count // at_once) for _ in range(at_once)))
    return let_in, time.monotonic() - begun


def knocks(port, count):
    """Raw connects that are refused; how many were told so."""
    told = 0
    for _ in range(count):
        with socket.create_connection(("127.0.0.1", port)) as one:
            told += b"fault" in one.recv(4096)
    return told


def measured(text, act, bare=False):
    """(CPU seconds of the gateway while act(port) ran, what it gave)."""
    ours, theirs = multiprocessing.get_context("spawn").Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=gateway, args=(theirs, text, bare)
    )
    process.start()
    port = ours.recv()
    ours.send(True)
    before = ours.recv()
    found = act(port)
    ours.send(True)
    used = ours.recv() - before
    ours.send(False)
    process.join(10)
    return used, found


def addresses_seen(count):
    """(bytes held, streets) after so many addresses knocked and went, ten thousand a second."""
    guard, now = d.AdmissionController(d.ClientLimits(400), 0.0), 0.0
    before = resident()
    for i in range(count):
        now += 0.1
        caller = d.AdmittedConnection(
            f"{20 + i % 200}.{i // 200 % 256}.{i * 13 // 51200 % 256}.{i * 31 % 256}", now
        )
        guard.take(now, d.ConnectionAccepted(caller))
        guard.take(now, d.ConnectionClosed(caller))
        if i % 1000 == 0:
            guard.take(now, d.UsageMeasured(0.1, 0.1, 0.1))
    return resident() - before, sum(map(len, guard.networks.tables))


def main():
    with tempfile.TemporaryDirectory() as folder:
        keys = Folder(folder)
        keys.authority()
        keys.issue("gateway", "g0", addresses=["127.0.0.1"])
        keys.issue("client", "harbour")
        path = Path(folder)
        _, _, trusted = files.authorities(path / "authorities.pem")
        chain = files.pair(path / "harbour.pem", path / "harbour.key")[2:]
        base = (
            'name: "g0", number: 0, gateways: 1, list: "127.0.0.1:1", cold: {}, ration: {}, may: {}, bounds: {}\n'
            'clauses: [{name: "draft", target: 750ms, max_age: 2.5s}]\n'
        )
        wide = "admission: {pace: 100000, burst: 100000, known_pace: 100000, handshakes: 100000, known: [%s]}\n"
        free = wide % '{name: "harbour", places: 200, addresses: ["127.0.0.0/8"]}'
        sealed = (
            f'keys: {{certificate: "{folder}/g0.pem", key: "{folder}/g0.key", '
            f'authorities: "{folder}/authorities.pem"}}\n'
        )
        rows = {}
        for name, text, act, bare in (
            ("bare hello, no admission", "", lambda p: uvloop.run(connects(p, COUNT, None)), True),
            ("hello accepted", base + free, lambda p: uvloop.run(connects(p, COUNT, None)), False),
            (
                "refused by pace",
                base + "admission: {pace: 0.001, burst: 1}\n",
                lambda p: knocks(p, COUNT),
                False,
            ),
            (
                "handshake, no certificate",
                base + free + sealed,
                lambda p: uvloop.run(connects(p, COUNT, files.context(False, b"", b"", trusted))),
                False,
            ),
            (
                "handshake with certificate",
                base + free + sealed,
                lambda p: uvloop.run(connects(p, COUNT, files.context(False, *chain, trusted))),
                False,
            ),
        ):
            used, found = measured(text, act, bare)
            rows[name] = {"us": used / COUNT * 1e6, "found": found}
        held, streets = addresses_seen(1_000_000)
        rows["a million addresses"] = {"kB": held / 1000, "streets": streets}
    if "--json" in sys.argv:
        print(json.dumps(rows, indent=1))
    else:
        for name, row in rows.items():
            print(
                f"{name:28}",
                ", ".join(
                    f"{k} {round(v, 1) if isinstance(v, float) else v}" for k, v in row.items()
                ),
            )
    print("one process of", os.cpu_count(), "cores", file=sys.stderr)


if __name__ == "__main__":
    main()
