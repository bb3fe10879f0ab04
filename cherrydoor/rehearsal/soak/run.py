"""One soak: real gateways between hosts, discovery servers and clients, with the faults of a seed.

    python -m cherrydoor.rehearsal.soak --seed 7 --runs 1

plays it by hand, several seeds beside each other with ``--beside``; the exit code is 1 where a rule
was broken.
"""

import argparse
import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from cherrydoor.rehearsal.soak import plan as plan_module
from cherrydoor.rehearsal.soak.clients import GatewayClients
from cherrydoor.rehearsal.soak.plan import Signal
from cherrydoor.rehearsal.soak.settings import SETTINGS
from cherrydoor.rehearsal.soak.verdict import Verdict
from cherrydoor.rehearsal.soak.world import DISCOVERY_PORT, HOST_PORT, SoakDiscovery, SoakHost

LISTEN_PORT = 10080
READY_S = 20.0
CROWD_CONNECT_S = 0.2  # that a connection of a crowd may take
FRONT_STOPS_S = 0.3  # after SIGTERM for which the front sends new connections
KILL_MARGIN_S = 0.7  # SIGKILL comes this and the longest deadline after SIGTERM
LONGEST_COUNTED_S = 3.0
OLD_DISCOVERY_CLOSES_S = 1.5
LAG_STEP_S = 0.01
BLOCKS = 200  # of loopback addresses, one a run beside others
STATES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


@dataclass(frozen=True)
class Update:
    """A change of the endpoint list."""

    number: int
    host: int
    state: str
    started_at_ms: int


@dataclass
class PlayedDrain:
    """A drain as it was played, in s of the run; ``back_s`` is None until it is back."""

    begins_s: float
    back_s: float | None = None


class Run:
    """All parts of one run and what they recorded."""

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = Path(folder)
        self.block = plan.seed % BLOCKS + 1
        self.loop = asyncio.get_running_loop()
        self.requests = []
        self.host_events = []
        self.updates = []
        self.drains = defaultdict(list)
        self.excused = defaultdict(list)
        self.lags = []
        self.processes = {}
        self.background = []
        self.reloads = 0
        self.next_number = count(1 + plan.seed * 1_000_000).__next__
        self.hosts = [SoakHost(self, index) for index in range(plan.hosts)]
        self.discovery = [SoakDiscovery(self, index) for index in range(plan.gateways)]
        self.clients = [GatewayClients(self, index) for index in range(plan.gateways)]
        self.began_s = 0.0

    def now_s(self):
        return self.loop.time() - self.began_s

    def drains_of(self, host):
        return self.drains[host]

    def listen_address(self, gateway):
        return f"127.{20 + gateway}.{self.block}.1", LISTEN_PORT

    # ---- lag of this process, which its verdict allows for
    async def measure_lag(self):
        while True:
            before_s = self.loop.time()
            await asyncio.sleep(LAG_STEP_S)
            lag_s = self.loop.time() - before_s - LAG_STEP_S
            if lag_s > LAG_STEP_S:
                self.lags.append((before_s, self.loop.time(), lag_s))

    def lag_at(self, time_s):
        return max(
            (lag for begin, end, lag in self.lags if begin - 0.1 <= time_s <= end + 0.1),
            default=0.0,
        )

    # ---- the endpoint list
    def row(self, update, gateway):
        host = self.hosts[update.host]
        return {
            "instanceId": host.name,
            "hostPort": f"{host.address(gateway)}:{HOST_PORT}",
            "zone": "east",
            "machineType": "std",
            "cell": 0,
            "lifecycle": STATES[update.state],
            "weight": 1,
            "startedAtMs": update.started_at_ms,
        }

    def event(self, update, gateway):
        roster = {"generation": update.number, "reset": False}
        roster["instances"] = [self.row(update, gateway)]
        return {"no": update.number, "roster": roster}

    def snapshot(self, gateway):
        latest = {update.host: update for update in self.updates}
        rows = [
            self.row(latest.get(host.index, Update(0, host.index, "ready", 0)), gateway)
            for host in self.hosts
        ]
        number = len(self.updates) + 1
        roster = {"generation": number, "reset": True, "instances": rows}
        return {"no": number, "items": [{"no": number, "roster": roster}]}

    def publish(self, host, state):
        started_at_ms = self.hosts[host].started_at_ms
        self.updates.append(Update(len(self.updates) + 2, host, state, started_at_ms))
        for server in self.discovery:
            server.publish()

    # ---- gateways
    def write_configuration(self, gateway):
        settings = SETTINGS | {
            "instances": self.plan.gateways,
            "me": gateway,
            "requestClasses": [
                self.request_class("draft", "repeatable"),
                self.request_class("file", "once"),
            ],
            "tenants": [{"name": "acme", "portion": 1.0, "quotaPerS": 1000.0}],
            "rules": SETTINGS["rules"] | {"drainGrace": self.plan.grace_ms * 1000},
        }
        document = {
            "name": f"n{gateway}",
            "listen": ":".join(map(str, self.listen_address(gateway))),
            "seed": f"{self.plan.seed * 100 + gateway + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "bulletin": f"{self.discovery[gateway].address}:{DISCOVERY_PORT}",
            "known": self.snapshot(gateway),
            "settings": settings,
        }
        path = self.folder / f"n{gateway}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(path)
        return path

    def request_class(self, name, repeat):
        deadline_us = self.plan.deadline_ms * 1000
        return {"name": name, "aim": deadline_us // 2, "deadline": deadline_us, "repeat": repeat}

    async def start_gateway(self, gateway):
        environment = os.environ | {"PROXY_CONFIG": str(self.write_configuration(gateway))}
        environment["PROXY_NAME"] = f"n{gateway}"
        with open(self.folder / f"n{gateway}.log", "a") as log:
            self.processes[gateway] = subprocess.Popen(
                [sys.executable, "-m", "cherrydoor", "platform"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )
        async with asyncio.timeout(READY_S):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.02)
        self.clients[gateway].accepts = True

    async def is_ready(self, gateway):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.listen_address(gateway))
            writer.write(b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return head.startswith(b"HTTP/1.1 200")
        return False

    # ---- faults
    async def at(self, time_s):
        await asyncio.sleep(max(0.0, time_s - self.now_s()))

    async def play_outage(self, outage):
        await self.at(outage.begins_s)
        self.discovery[outage.gateway].begin(outage.fault)
        await self.at(outage.ends_s)
        await self.discovery[outage.gateway].end()

    async def play_drain(self, drain):
        host = self.hosts[drain.host]
        await self.at(drain.begins_s)
        played = PlayedDrain(self.now_s())
        self.drains[drain.host].append(played)
        host.draining_since_s = self.loop.time()
        self.publish(drain.host, "draining")
        await self.at(drain.gone_s)
        host.close()
        self.publish(drain.host, "gone")
        await self.at(drain.back_s)
        await host.restart()
        played.back_s = self.now_s()
        self.publish(drain.host, "ready")

    async def play_hang(self, hang):
        await self.at(hang.begins_s)
        self.hosts[hang.host].hangs = True
        await self.at(hang.ends_s)
        self.hosts[hang.host].hangs = False

    async def play_signals(self, gateway):
        """Plays a gateway's signals one after the other."""
        for fault in self.plan.process_faults:
            if fault.gateway == gateway:
                await self.at(fault.at_s)
                await self.play_signal(fault)

    async def play_crowd(self, crowd):
        """Holds connections that say nothing; one that is closed is opened again."""
        await self.at(crowd.begins_s)
        writers = []
        while self.now_s() < crowd.ends_s:
            writers = [writer for writer in writers if not writer.is_closing()]
            for _ in range(min(20, crowd.connections - len(writers))):
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(CROWD_CONNECT_S):
                        _, writer = await asyncio.open_connection(
                            *self.listen_address(crowd.gateway)
                        )
                        writers.append(writer)
            await asyncio.sleep(LAG_STEP_S)
        for writer in writers:
            writer.transport.abort()

    async def play_signal(self, fault):
        process = self.processes[fault.gateway]
        began_s = self.loop.time()
        if fault.signal is Signal.STOP:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts_s)
            process.send_signal(signal.SIGCONT)
            self.excused[fault.gateway].append((began_s, self.loop.time()))
        elif fault.signal is Signal.RELOAD:
            self.background.append(self.loop.create_task(self.reload(fault.gateway)))
            await asyncio.sleep(0)
        elif fault.signal is Signal.TERMINATE:
            await self.terminate(fault.gateway)
        else:
            self.clients[fault.gateway].accepts = False
            process.kill()
            process.wait()
            self.excused[fault.gateway].append((began_s, self.loop.time()))
            await self.start_gateway(fault.gateway)

    async def reload(self, gateway):
        """Discovery moves to another address; the old one tells nothing further."""
        old = self.discovery[gateway]
        self.reloads += 1
        new = SoakDiscovery(self, gateway, 1 + self.reloads)
        self.discovery[gateway] = new
        await new.open()
        if old.fault is not None:
            new.begin(old.fault)
        self.write_configuration(gateway)
        self.processes[gateway].send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_DISCOVERY_CLOSES_S)
        old.refuse()

    async def terminate(self, gateway):
        """SIGTERM; clients go on sending on open connections until the kill."""
        process = self.processes[gateway]
        process.send_signal(signal.SIGTERM)
        deadline_s = min(LONGEST_COUNTED_S, self.plan.deadline_ms / 1000)
        await asyncio.sleep(FRONT_STOPS_S)
        self.clients[gateway].accepts = False
        await asyncio.sleep(deadline_s + KILL_MARGIN_S - FRONT_STOPS_S)
        process.kill()
        process.wait()
        await self.start_gateway(gateway)

    # ---- the run
    async def play(self):
        """Plays the whole run and returns its verdict; nothing of it is left running."""
        try:
            await self.start()
            self.background.append(self.loop.create_task(self.measure_lag()))
            await asyncio.gather(*self.faults(), *self.clients_sending())
            for clients in self.clients:
                await clients.finish()
            return self.verdict()
        finally:
            for task in self.background:
                task.cancel()
            self.close()

    async def start(self):
        """Opens hosts and discovery, and waits until all gateways are ready."""
        for host in self.hosts:
            await host.open()
        for server in self.discovery:
            await server.open()
        await asyncio.gather(*(self.start_gateway(g) for g in range(self.plan.gateways)))
        self.began_s = self.loop.time()

    def faults(self):
        """Returns what plays each fault of the plan."""
        plan = self.plan
        faults = [self.play_outage(outage) for outage in plan.outages]
        faults += [self.play_drain(drain) for drain in plan.drains]
        faults += [self.play_hang(hang) for hang in plan.hangs]
        faults += [self.play_signals(gateway) for gateway in range(plan.gateways)]
        faults += [self.play_crowd(crowd) for crowd in plan.crowds]
        return faults

    def clients_sending(self):
        """Returns what sends the clients' requests of each gateway."""
        end_s = self.began_s + plan_module.DURATION_S
        return [clients.send_until(end_s) for clients in self.clients]

    def verdict(self):
        """Returns the verdict; a gateway that has ended by itself is a crash."""
        verdict = Verdict(self)
        for gateway, process in self.processes.items():
            if process.poll() is not None:
                verdict.add("crash", self.loop.time(), f"gateway {gateway} ended by itself")
        return verdict

    def close(self):
        for clients in self.clients:
            clients.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for host in self.hosts:
            host.close()
        for server in self.discovery:
            server.refuse()


def report(run, verdict):
    """The result as a dictionary for people and for the table of a long run."""
    plan = run.plan
    return {
        "seed": plan.seed,
        "gateways": plan.gateways,
        "hosts": plan.hosts,
        "grace_ms": plan.grace_ms,
        "deadline_ms": plan.deadline_ms,
        "discovery": sorted({outage.fault.name for outage in plan.outages}),
        "drains": len(plan.drains),
        "signals": [fault.signal.name for fault in plan.process_faults],
        "crowd": sum(crowd.connections for crowd in plan.crowds),
        "requests": len(run.requests),
        "served": verdict.shares,
        "most_lag_s": round(max((lag for _, _, lag in run.lags), default=0.0), 3),
        "breaks": [f"{b.rule} at {b.time_s}: {b.text}" for b in verdict.breaks],
    }


def play_seed(seed, folder=None):
    """Plays one seed and returns its report; logs and configurations stay in the folder."""

    async def whole(where):
        run = Run(plan_module.draw(seed), where)
        return report(run, await run.play())

    if folder is not None:
        Path(folder).mkdir(parents=True, exist_ok=True)
        return asyncio.run(whole(folder))
    with tempfile.TemporaryDirectory() as where:
        return asyncio.run(whole(where))


def main():
    parser = argparse.ArgumentParser(description="Plays soaks of gateways on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="how many seeds from there on")
    parser.add_argument("--beside", type=int, default=1, help="runs at once")
    parser.add_argument("--logs", help="a folder that keeps configurations and logs")
    said = parser.parse_args()
    seeds = range(said.seed, said.seed + said.runs)
    folders = [f"{said.logs}/{seed}" if said.logs else None for seed in seeds]
    broken = 0
    began_s = time.monotonic()
    with ProcessPoolExecutor(said.beside) as pool:
        for found in pool.map(play_seed, seeds, folders):
            print(json.dumps(found), flush=True)
            broken += bool(found["breaks"])
    print(f"{said.runs} runs, {broken} with a broken rule, {time.monotonic() - began_s:.0f} s")
    return 1 if broken else 0
