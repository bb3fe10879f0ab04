"""Measures the daemon against its upper limits in one run; `make bench` prints the tables.

The limits are the routing module alone, and a bare relay with the same event loop and frames.
docs/measurements.md keeps the tables.

One process is measured. Clients and hosts run in another process, on sockets; hosts answer at once.
CPU time is that of the measured process alone, without clients and hosts.
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

CONFIGURATION = """
name: "g0", number: 0, gateways: 1, list: "127.0.0.1:%d"
clauses: [{name: "draft", target: 750ms, max_age: 2.5s}]
cold: {}, ration: {}, bounds: {}
may: {launches: 3, recall: true, probe: true, order: true, advice: 1s}
"""
HOSTS, FUNCTIONS = 20, 120


def now_ms():
    return time.monotonic() * 1000


def cpu_seconds():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def function_names(count, changing=False):
    """Returns the function of each request; a few functions are frequent.

    With `changing`, all function names are replaced every 2000 requests.
    """
    rng = random.Random(7)
    return [
        f"deed-{min(int(rng.paretovariate(0.9)), FUNCTIONS)}{f'-{i // 2000}' if changing else ''}"
        for i in range(count)
    ]


# ---- the module alone: inputs in memory; each attempt succeeds and is reported to take 50 ms
def module_alone(count, max_in_flight=64, changing=False):
    """Returns the CPU seconds for `count` requests, and the size of the History Table at the end.

    Each request has one attempt and one outcome.
    """
    router, at_ms = (
        Router(
            GatewayConfig(read(CONFIGURATION % 1, "f", schema("gateway.schema"), "#Lease")).lease
        ),
        1e6,
    )
    router.start(at_ms)
    router.take(
        at_ms,
        routing.EndpointsUpdated(
            routing.UpdateKind.CACHED,
            tuple(
                routing.Endpoint(f"h{i}", routing.HostState.READY, 0.0, "z", 0)
                for i in range(HOSTS)
            ),
        ),
    )
    names, begun_at_s, in_flight, next_sweep_ms = (
        function_names(count, changing),
        cpu_seconds(),
        [],
        at_ms + 100,
    )

    def collect_attempts(actions):
        for action in actions:
            if type(action) is routing.StartAttempt:
                in_flight.append((action.request_id, action.host))

    for request_number, function in enumerate(names):
        at_ms += 1.0
        if at_ms > next_sweep_ms:
            next_sweep_ms += 100
            router.take(at_ms, routing.TimerFired("sweep"))
        collect_attempts(
            router.take(
                at_ms,
                routing.RequestArrived(
                    request_number, "draft", "", function, at_ms + 2500, 4.0, 600.0
                ),
            )
        )
        if len(in_flight) > max_in_flight:
            in_flight_id, host = in_flight.pop(0)
            attempt_count = len(router.requests[in_flight_id].attempts)
            collect_attempts(
                router.take(
                    at_ms,
                    routing.AttemptEnded(
                        in_flight_id,
                        attempt_count - 1,
                        routing.AttemptOutcome.SUCCEEDED,
                        True,
                        host,
                        50.0,
                        1,
                        1,
                    ),
                )
            )
    return cpu_seconds() - begun_at_s, len(router.history.functions)


# ---- clients, hosts and the endpoint list, in one process apart from the measured one
class AnsweringHosts:
    """Hosts that answer each attempt after a delay, and each health check and load order at once."""

    def __init__(self, response_delay_ms):
        self.response_delay_s, self.loop = response_delay_ms / 1000, asyncio.get_running_loop()

    def hello_received(self, end, hello):
        pass

    def connection_ended(self, end):
        pass

    def message_received(self, end, message):
        kind = type(message)
        if kind is protocol.Attempt:
            if self.response_delay_s:
                self.loop.call_later(
                    self.response_delay_s,
                    end.write,
                    protocol.AttemptResult(message.id, "handled", 1, 1),
                )
            else:
                end.write(protocol.AttemptResult(message.id, "handled", 1, 1))
        elif kind is protocol.HealthCheck:
            end.write(protocol.HealthCheckResult(message.id))
        elif kind is protocol.LoadOrder:
            end.write(protocol.LoadOrderResult(message.id, "handled", 1))


class StaticEndpointList:
    """An endpoint list that never changes."""

    def __init__(self, endpoints):
        self.endpoints = endpoints

    def hello_received(self, end, hello):
        pass

    def message_received(self, end, message):
        if type(message) is protocol.Watch:
            end.write(protocol.EndpointUpdate(1, "whole", self.endpoints))

    def connection_ended(self, end):
        pass


class LoadGenerator:
    """One client connection, in a closed loop with `window` requests or an open one.

    Attributes:
        rate: Requests per second of the open loop; 0 for a closed loop.
        sent_at_ms: Request number -> when it was due, in ms, for requests in flight.
        response_times_ms: Response times, counted from when requests were due.
        finished: Completes with the last response.
        outcomes: Outcome -> number of responses.
    """

    def __init__(self, count, window, rate, changing=False):
        self.count, self.window, self.rate = count, window, rate
        self.functions, self.sent, self.responses, self.loop = (
            function_names(count, changing),
            0,
            0,
            asyncio.get_running_loop(),
        )
        self.response_times_ms, self.sent_at_ms, self.finished, self.outcomes = (
            [],
            {},
            self.loop.create_future(),
            {},
        )

    def hello_received(self, end, hello):
        self.end, self.begun_at_ms = end, now_ms()
        if self.rate:
            self.loop.call_soon(self.tick)
        else:
            for _ in range(self.window):
                self.send(now_ms())

    def tick(self):
        tick_at_ms = now_ms()
        while (
            self.sent < self.count
            and (due_ms := self.begun_at_ms + self.sent * 1000 / self.rate) <= tick_at_ms
        ):
            self.send(due_ms)
        if self.sent < self.count:
            self.loop.call_later(0.0005, self.tick)

    def send(self, due_ms):
        if self.sent < self.count:
            self.sent_at_ms[self.sent] = due_ms
            self.end.write(
                protocol.Request(
                    self.sent,
                    "draft",
                    self.functions[self.sent],
                    2500.0,
                    now_ms(),
                    copy_concurrency=4.0,
                    load_ms=600.0,
                    body=b"x" * 200,
                )
            )
            self.sent += 1

    def message_received(self, end, response):
        self.response_times_ms.append(now_ms() - self.sent_at_ms.pop(response.id))
        self.outcomes[response.outcome] = self.outcomes.get(response.outcome, 0) + 1
        self.responses += 1
        if self.responses == self.count:
            self.finished.set_result(None)
        elif not self.rate:
            self.send(now_ms())

    def connection_ended(self, end):
        pass


def serve_and_generate_load(pipe):
    """Starts hosts and the endpoint list, then one load for each job, until a job is None."""

    async def run():
        loop, servers, endpoints = asyncio.get_running_loop(), [], []
        response_delay_ms = pipe.recv()
        hosts = AnsweringHosts(response_delay_ms)
        for _ in range(HOSTS):
            server = await loop.create_server(
                lambda: FramedConnection(
                    hosts, protocol.TO_HOST, lambda: protocol.Hello(1, "host")
                ),
                "127.0.0.1",
                0,
            )
            servers.append(server)
            endpoints.append(
                protocol.Endpoint(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "ready")
            )
        endpoint_list = StaticEndpointList(endpoints)
        server = await loop.create_server(
            lambda: FramedConnection(
                endpoint_list, protocol.TO_LIST, lambda: protocol.Hello(1, "list")
            ),
            "127.0.0.1",
            0,
        )
        pipe.send((server.sockets[0].getsockname()[1], [endpoint.host for endpoint in endpoints]))
        gc.freeze()
        while (job := await loop.run_in_executor(None, pipe.recv)) is not None:
            port, count, window, rate, is_changing = job
            generator = LoadGenerator(count, window, rate, is_changing)
            _, end = await loop.create_connection(
                lambda generator=generator: FramedConnection(
                    generator,
                    protocol.TO_CLIENT,
                    lambda: protocol.Hello(1, "client", "c", now_ms()),
                ),
                "127.0.0.1",
                port,
            )
            begun_at_ms = now_ms()
            await generator.finished
            response_times_ms = np.array(generator.response_times_ms)
            pipe.send(
                {
                    "s": (now_ms() - begun_at_ms) / 1000,
                    "fates": generator.outcomes,
                    "ms": {
                        f"p{p:g}": float(np.percentile(response_times_ms, p))
                        for p in (50, 99, 99.9)
                    },
                }
            )
            end.close()

    uvloop.run(run())


# ---- what is measured: a relay without routing decisions, and the daemon
class Relay:
    """Forwards requests to hosts in turn, and results back, without routing decisions.

    Its event loop, frames and sockets are those of the daemon.
    """

    def __init__(self):
        self.hosts, self.last_id, self.in_flight = [], 0, {}

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
            self.last_id += 1
            self.in_flight[self.last_id] = end, message.id
            self.hosts[self.last_id % len(self.hosts)].write(
                protocol.Attempt(
                    self.last_id,
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
            client, number = self.in_flight.pop(message.id)
            client.write(protocol.Response(number, "handled", 0.0, "", message.body))


def measured_process(pipe, kind, upstreams):
    """Serves on a port; sends the port, then CPU seconds and peak memory in MiB when asked."""

    async def run():
        list_port, hosts = upstreams
        if kind == "relay":
            port = await Relay().start(hosts)
        else:
            service = GatewayService(
                GatewayConfig(
                    read(CONFIGURATION % list_port, "f", schema("gateway.schema"), "#Lease")
                ),
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
            pipe.send((cpu_seconds(), resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024))

    uvloop.run(run())


class Rig:
    """The measured process and the process of its clients and hosts."""

    def __init__(self, kind, response_delay_ms):
        our_end, their_end = multiprocessing.Pipe()
        self.load_pipe, self.response_delay_ms = our_end, response_delay_ms
        self.load_process = multiprocessing.Process(
            target=serve_and_generate_load, args=(their_end,), daemon=True
        )
        self.load_process.start()
        our_end.send(response_delay_ms)
        result = our_end.recv()
        our_end, their_end = multiprocessing.Pipe()
        self.measured_pipe = our_end
        self.measured_process = multiprocessing.Process(
            target=measured_process, args=(their_end, kind, result), daemon=True
        )
        self.measured_process.start()
        self.port = our_end.recv()

    def used(self):
        """Returns CPU seconds and peak memory in MiB of the measured process."""
        self.measured_pipe.send("cpu")
        return self.measured_pipe.recv()

    def run_load(self, count, window=64, rate=0.0, changing=False):
        before, _ = self.used()
        self.load_pipe.send((self.port, count, window, rate, changing))
        result = self.load_pipe.recv()
        after, memory = self.used()
        return result | {
            "cpu_us": (after - before) / count * 1e6,
            "a_second": count / result["s"],
            "memory": memory,
        }

    def end(self):
        self.load_pipe.send(None)
        self.measured_pipe.send(None)
        for process in (self.load_process, self.measured_process):
            process.join(5)


def codec_alone(count=50000):
    """Returns the CPU time in us per request for its four messages.

    A request and an attempt result are decoded; an attempt and a response are encoded.
    """
    from cherrydoor.protocol.codec import FrameReader, encode

    hello, body = encode(protocol.Hello(1, "client")), b"x" * 200
    request = encode(
        protocol.Request(
            1, "draft", "deed-1", 2500.0, 5.0, copy_concurrency=4.0, load_ms=600.0, body=body
        )
    )
    attempt_result = encode(protocol.AttemptResult(1, "handled", 1, 1))
    client_reader, host_reader = FrameReader(protocol.FROM_CLIENT), FrameReader(protocol.FROM_HOST)
    client_reader.feed(hello)
    host_reader.feed(hello)
    begun_at_s = cpu_seconds()
    for _ in range(count):
        client_reader.feed(request)
        encode(protocol.Attempt(1, 1, "c", "draft", "deed-1", 2500.0, 0, "", body))
        host_reader.feed(attempt_result)
        encode(protocol.Response(1, "handled"))
    return (cpu_seconds() - begun_at_s) / count * 1e6


def main(count=40000):
    result = {"codec_us": codec_alone()}
    module_runs_s = [module_alone(count)[0] for _ in range(3)]
    result["module_us"] = sorted(module_runs_s)[1] / count * 1e6
    for kind in ("relay", "daemon"):
        rig = Rig(kind, 0.0)
        rig.run_load(5000)
        runs = [rig.run_load(count) for _ in range(3)]
        result[kind] = sorted(runs, key=lambda run: run["cpu_us"])[1]
        result[f"{kind}_half"] = rig.run_load(count // 2, rate=result[kind]["a_second"] / 2)
        result[f"{kind}_1000"] = rig.run_load(10000, rate=1000.0)
        rig.end()
    if "--memory" in sys.argv:
        rig = Rig("daemon", 0.0)
        result["memory"] = [
            round(rig.run_load(100000, changing=True)["memory"], 1) for _ in range(5)
        ]
        rig.end()
    print(json.dumps(result, indent=1))
    print_tables(result)


def print_tables(result):
    print(
        "\n| what | CPU us an event | events a second of one core | of the module alone |\n| --- | --- | --- | --- |"
    )
    module = 1e6 / result["module_us"]
    for name, us in (
        ("module alone, notes in memory", result["module_us"]),
        ("codec alone", result["codec_us"]),
        ("bare relay", result["relay"]["cpu_us"]),
        ("daemon", result["daemon"]["cpu_us"]),
    ):
        print(f"| {name} | {us:.0f} | {1e6 / us:.0f} | {1e6 / us / module:.2f} |")
    print("\n| at | relay p50, p99, p99.9 ms | daemon | added p99 |\n| --- | --- | --- | --- |")
    for name, key in (("1,000 events a second", "1000"), ("half of its own most", "half")):
        relay_ms, daemon_ms = result[f"relay_{key}"]["ms"], result[f"daemon_{key}"]["ms"]
        show = [
            ", ".join(f"{figures[percentile]:.2f}" for percentile in ("p50", "p99", "p99.9"))
            for figures in (relay_ms, daemon_ms)
        ]
        print(f"| {name} | {show[0]} | {show[1]} | {daemon_ms['p99'] - relay_ms['p99']:.2f} |")


if __name__ == "__main__":
    multiprocessing.set_start_method("spawn")
    main()
