"""Measures the daemon beside its limits, in one run: the module alone, a bare relay on the same
loop and frames, and the daemon itself. `make bench` prints the tables that docs/measurements.md
keeps.

One process is measured; clients and hosts run in another one, on sockets, and answer at once.
CPU is the measured process's own, so what the far ends take does not count.
"""

import asyncio
import gc
import json
import multiprocessing
import random
import resource
import sys
import time

import numpy as np
import uvloop

from cherrydoor.config import read
from cherrydoor.config.figures import GatewayConfig, schema
from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.service import GatewayService
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing

LEASE = """
name: "g0", number: 0, gateways: 1, list: "127.0.0.1:%d"
clauses: [{name: "draft", target: 750ms, max_age: 2.5s}]
cold: {}, ration: {}, bounds: {}
may: {launches: 3, recall: true, probe: true, order: true, advice: 1s}
"""
HOSTS, FUNCTIONS = 20, 120


def now():
    return time.monotonic() * 1000


def cpu():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def functions(count, changing=False):
    rng = random.Random(7)
    return [
        f"deed-{min(int(rng.paretovariate(0.9)), FUNCTIONS)}{f'-{i // 2000}' if changing else ''}"
        for i in range(count)
    ]


# ---- the module alone: notes in memory, each event handled 50 ms later
def module_alone(count, open_at_once=64, changing=False):
    """CPU seconds for `count` events, each with its launch and its outcome, and the module's tables at the end."""
    gate, at = (
        Router(GatewayConfig(read(LEASE % 1, "f", schema("gateway.schema"), "#Lease")).lease),
        1e6,
    )
    gate.start(at)
    gate.take(
        at,
        routing.EndpointsUpdated(
            routing.UpdateKind.CACHED,
            tuple(
                routing.Endpoint(f"h{i}", routing.HostState.READY, 0.0, "z", 0)
                for i in range(HOSTS)
            ),
        ),
    )
    names, begun, out, sweep = functions(count, changing), cpu(), [], at + 100

    def settle(actions):
        for action in actions:
            if type(action) is routing.StartAttempt:
                out.append((action.request_id, action.host))

    for number, name in enumerate(names):
        at += 1.0
        if at > sweep:
            sweep += 100
            gate.take(at, routing.TimerFired("sweep"))
        settle(
            gate.take(at, routing.RequestArrived(number, "draft", "", name, at + 2500, 4.0, 600.0))
        )
        if len(out) > open_at_once:
            event, host = out.pop(0)
            launches = len(gate.requests[event].attempts)
            settle(
                gate.take(
                    at,
                    routing.AttemptEnded(
                        event,
                        launches - 1,
                        routing.AttemptOutcome.SUCCEEDED,
                        True,
                        host,
                        50.0,
                        1,
                        1,
                    ),
                )
            )
    return cpu() - begun, len(gate.history.functions)


# ---- the far ends, in a process of their own
class Answering:
    """Hosts that answer every launch after `wait` ms, and every probe and order."""

    def __init__(self, wait):
        self.wait, self.loop = wait / 1000, asyncio.get_running_loop()

    def hello_received(self, end, hello):
        pass

    def connection_ended(self, end):
        pass

    def message_received(self, end, message):
        kind = type(message)
        if kind is protocol.Attempt:
            if self.wait:
                self.loop.call_later(
                    self.wait, end.write, protocol.AttemptResult(message.id, "handled", 1, 1)
                )
            else:
                end.write(protocol.AttemptResult(message.id, "handled", 1, 1))
        elif kind is protocol.HealthCheck:
            end.write(protocol.HealthCheckResult(message.id))
        elif kind is protocol.LoadOrder:
            end.write(protocol.LoadOrderResult(message.id, "handled", 1))


class Listed:
    def __init__(self, rows):
        self.rows = rows

    def hello_received(self, end, hello):
        pass

    def message_received(self, end, message):
        if type(message) is protocol.Watch:
            end.write(protocol.EndpointUpdate(1, "whole", self.rows))

    def connection_ended(self, end):
        pass


class Load:
    """One client connection. A closed loop of `window` events, or an open one at `rate` a second."""

    def __init__(self, count, window, rate, changing=False):
        self.count, self.window, self.rate = count, window, rate
        self.names, self.sent, self.done, self.loop = (
            functions(count, changing),
            0,
            0,
            asyncio.get_running_loop(),
        )
        self.took, self.at, self.over, self.fates = [], {}, self.loop.create_future(), {}

    def hello_received(self, end, hello):
        self.end, self.begun = end, now()
        if self.rate:
            self.loop.call_soon(self.tick)
        else:
            for _ in range(self.window):
                self.send(now())

    def tick(self):
        t = now()
        while self.sent < self.count and (due := self.begun + self.sent * 1000 / self.rate) <= t:
            self.send(due)
        if self.sent < self.count:
            self.loop.call_later(0.0005, self.tick)

    def send(self, due):
        if self.sent < self.count:
            self.at[self.sent] = due
            self.end.write(
                protocol.Request(
                    self.sent,
                    "draft",
                    self.names[self.sent],
                    2500.0,
                    now(),
                    copy_concurrency=4.0,
                    load_ms=600.0,
                    body=b"x" * 200,
                )
            )
            self.sent += 1

    def message_received(self, end, answer):
        self.took.append(now() - self.at.pop(answer.id))
        self.fates[answer.outcome] = self.fates.get(answer.outcome, 0) + 1
        self.done += 1
        if self.done == self.count:
            self.over.set_result(None)
        elif not self.rate:
            self.send(now())

    def connection_ended(self, end):
        pass


def far_ends(pipe):
    """Hosts and list start; then each job is one load against a port; ends with None."""

    async def run():
        loop, servers, rows = asyncio.get_running_loop(), [], []
        waits = pipe.recv()
        answering = Answering(waits)
        for _ in range(HOSTS):
            server = await loop.create_server(
                lambda: FramedConnection(
                    answering, protocol.TO_HOST, lambda: protocol.Hello(1, "host")
                ),
                "127.0.0.1",
                0,
            )
            servers.append(server)
            rows.append(
                protocol.Endpoint(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "ready")
            )
        listed = Listed(rows)
        server = await loop.create_server(
            lambda: FramedConnection(listed, protocol.TO_LIST, lambda: protocol.Hello(1, "list")),
            "127.0.0.1",
            0,
        )
        pipe.send((server.sockets[0].getsockname()[1], [row.host for row in rows]))
        gc.freeze()
        while (job := await loop.run_in_executor(None, pipe.recv)) is not None:
            port, count, window, rate, changing = job
            load = Load(count, window, rate, changing)
            _, end = await loop.create_connection(
                lambda load=load: FramedConnection(
                    load, protocol.TO_CLIENT, lambda: protocol.Hello(1, "client", "c", now())
                ),
                "127.0.0.1",
                port,
            )
            begun = now()
            await load.over
            took = np.array(load.took)
            pipe.send(
                {
                    "s": (now() - begun) / 1000,
                    "fates": load.fates,
                    "ms": {f"p{p:g}": float(np.percentile(took, p)) for p in (50, 99, 99.9)},
                }
            )
            end.close()

    uvloop.run(run())


# ---- what is measured: a relay that decides nothing, and the daemon
class Relay:
    """Events go to hosts in turn, answers go back: the same loop, frames and sockets, and no decision."""

    def __init__(self):
        self.hosts, self.next, self.out = [], 0, {}

    async def start(self, hosts):
        loop = asyncio.get_running_loop()
        for host in hosts:
            _, end = await loop.create_connection(
                lambda: FramedConnection(
                    self, protocol.FROM_HOST, lambda: protocol.Hello(1, "gateway")
                ),
                "127.0.0.1",
                int(host.rpartition(":")[2]),
            )
            self.hosts.append(end)
        server = await loop.create_server(
            lambda: FramedConnection(
                self, protocol.FROM_CLIENT, lambda: protocol.Hello(1, "gateway")
            ),
            "127.0.0.1",
            0,
        )
        return server.sockets[0].getsockname()[1]

    def hello_received(self, end, hello):
        pass

    def connection_ended(self, end):
        pass

    def message_received(self, end, message):
        if type(message) is protocol.Request:
            self.next += 1
            self.out[self.next] = end, message.id
            self.hosts[self.next % len(self.hosts)].write(
                protocol.Attempt(
                    self.next,
                    message.id,
                    "c",
                    message.request_class,
                    message.function,
                    message.timeout_ms,
                    0,
                    "",
                    message.body,
                )
            )
        elif type(message) is protocol.AttemptResult:
            client, number = self.out.pop(message.id)
            client.write(protocol.Response(number, "handled", 0.0, "", message.body))


def measured(pipe, what, queue):
    """The measured process: serves on a port, tells its CPU time when asked."""

    async def run():
        list_at, hosts = queue
        if what == "relay":
            port = await Relay().start(hosts)
        else:
            service = GatewayService(
                GatewayConfig(read(LEASE % list_at, "f", schema("gateway.schema"), "#Lease")),
                Router,
            )
            await service.start()
            while not service.dispatcher.hosts:
                await asyncio.sleep(0.01)
            port = service.port
        gc.collect()
        gc.freeze()
        pipe.send(port)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, pipe.recv) is not None:
            pipe.send((cpu(), resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024))

    uvloop.run(run())


class Rig:
    def __init__(self, what, wait):
        here, there = multiprocessing.Pipe()
        self.far, self.wait = here, wait
        self.far_process = multiprocessing.Process(target=far_ends, args=(there,), daemon=True)
        self.far_process.start()
        here.send(wait)
        found = here.recv()
        here, there = multiprocessing.Pipe()
        self.near = here
        self.near_process = multiprocessing.Process(
            target=measured, args=(there, what, found), daemon=True
        )
        self.near_process.start()
        self.port = here.recv()

    def used(self):
        self.near.send("cpu")
        return self.near.recv()

    def load(self, count, window=64, rate=0.0, changing=False):
        before, _ = self.used()
        self.far.send((self.port, count, window, rate, changing))
        found = self.far.recv()
        after, memory = self.used()
        return found | {
            "cpu_us": (after - before) / count * 1e6,
            "a_second": count / found["s"],
            "memory": memory,
        }

    def end(self):
        self.far.send(None)
        self.near.send(None)
        for process in (self.far_process, self.near_process):
            process.join(5)


def codec_alone(count=50000):
    """CPU us an event of reading an Event and an Outcome and writing a Launch and an Answer."""
    from cherrydoor.protocol.codec import FrameReader, encode

    hello, body = encode(protocol.Hello(1, "client")), b"x" * 200
    one = encode(
        protocol.Request(
            1, "draft", "deed-1", 2500.0, 5.0, copy_concurrency=4.0, load_ms=600.0, body=body
        )
    )
    two = encode(protocol.AttemptResult(1, "handled", 1, 1))
    a, b = FrameReader(protocol.FROM_CLIENT), FrameReader(protocol.FROM_HOST)
    a.feed(hello)
    b.feed(hello)
    begun = cpu()
    for _ in range(count):
        a.feed(one)
        encode(protocol.Attempt(1, 1, "c", "draft", "deed-1", 2500.0, 0, "", body))
        b.feed(two)
        encode(protocol.Response(1, "handled"))
    return (cpu() - begun) / count * 1e6


def main(count=40000):
    result = {"codec_us": codec_alone()}
    alone = [module_alone(count)[0] for _ in range(3)]
    result["module_us"] = sorted(alone)[1] / count * 1e6
    for what in ("relay", "daemon"):
        rig = Rig(what, 0.0)
        rig.load(5000)
        runs = [rig.load(count) for _ in range(3)]
        result[what] = sorted(runs, key=lambda r: r["cpu_us"])[1]
        result[f"{what}_half"] = rig.load(count // 2, rate=result[what]["a_second"] / 2)
        result[f"{what}_1000"] = rig.load(10000, rate=1000.0)
        rig.end()
    if "--memory" in sys.argv:
        rig = Rig("daemon", 0.0)
        result["memory"] = [round(rig.load(100000, changing=True)["memory"], 1) for _ in range(5)]
        rig.end()
    print(json.dumps(result, indent=1))
    table(result)


def table(r):
    print(
        "\n| what | CPU us an event | events a second of one core | of the module alone |\n| --- | --- | --- | --- |"
    )
    module = 1e6 / r["module_us"]
    for name, us in (
        ("module alone, notes in memory", r["module_us"]),
        ("codec alone", r["codec_us"]),
        ("bare relay", r["relay"]["cpu_us"]),
        ("daemon", r["daemon"]["cpu_us"]),
    ):
        print(f"| {name} | {us:.0f} | {1e6 / us:.0f} | {1e6 / us / module:.2f} |")
    print("\n| at | relay p50, p99, p99.9 ms | daemon | added p99 |\n| --- | --- | --- | --- |")
    for name, key in (("1,000 events a second", "1000"), ("half of its own most", "half")):
        a, b = r[f"relay_{key}"]["ms"], r[f"daemon_{key}"]["ms"]
        show = [", ".join(f"{x[p]:.2f}" for p in ("p50", "p99", "p99.9")) for x in (a, b)]
        print(f"| {name} | {show[0]} | {show[1]} | {b['p99'] - a['p99']:.2f} |")


if __name__ == "__main__":
    multiprocessing.set_start_method("spawn")
    main()
