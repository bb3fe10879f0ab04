"""One soak: real gateways between hosts, discovery servers and clients, with the faults of a plan."""

import asyncio
import contextlib
import errno
import signal
import socket
from collections import defaultdict
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from cherrydoor.rehearsal.soak import plan as plan_module
from cherrydoor.rehearsal.soak.clients import GatewayClients
from cherrydoor.rehearsal.soak.endpoint_list import SoakEndpointList
from cherrydoor.rehearsal.soak.gateways import GatewayProcesses
from cherrydoor.rehearsal.soak.plan import Signal
from cherrydoor.rehearsal.soak.verdict import Verdict
from cherrydoor.rehearsal.soak.world import SoakDiscovery, SoakHost

LISTEN_PORT = 10080
CROWD_CONNECT_S = 0.2  # that a connection of a crowd may take
FRONT_STOPS_S = 0.3  # after SIGTERM for which the front sends new connections
KILL_MARGIN_S = 0.7  # SIGKILL comes this and the longest deadline after SIGTERM
LONGEST_COUNTED_S = 3.0
OLD_DISCOVERY_CLOSES_S = 1.5
LAG_STEP_S = 0.01
BLOCKS = 200  # of loopback addresses, one a run beside others


@dataclass
class PlayedDrain:
    """A drain as it was played, in s of the run; ``back_s`` is None until it is back."""

    begins_s: float
    back_s: float | None = None


def lock_block(seed):
    """Returns a socket that holds a block of loopback addresses which no other run beside uses."""
    for offset in range(BLOCKS):
        lock = socket.socket()
        try:
            lock.bind((f"127.19.{(seed + offset) % BLOCKS + 1}.1", LISTEN_PORT))
            return lock
        except OSError:
            lock.close()
    raise OSError(errno.EADDRINUSE, "no block of loopback addresses is free")


class Run:
    """All parts of one run and what they recorded."""

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = Path(folder)
        self.block_lock = lock_block(plan.seed)
        self.block = int(self.block_lock.getsockname()[0].split(".")[2])
        self.loop = asyncio.get_running_loop()
        self.requests = []
        self.host_events = []
        self.drains = defaultdict(list)
        self.excused = defaultdict(list)
        self.lags = []
        self.gateways = GatewayProcesses(self)
        self.background = []
        self.reloads = 0
        self.next_number = count(1 + plan.seed * 1_000_000).__next__
        self.hosts = [SoakHost(self, index) for index in range(plan.hosts)]
        self.endpoint_list = SoakEndpointList(self.hosts)
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

    # ---- faults
    def publish(self, host, state):
        """Changes the endpoint list and has it told where it can be."""
        self.endpoint_list.change(host, state)
        for server in self.discovery:
            server.publish()

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
        process = self.gateways.processes[fault.gateway]
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
            await self.gateways.start(fault.gateway)

    async def reload(self, gateway):
        """Discovery moves to another address; the old one tells nothing further."""
        old = self.discovery[gateway]
        self.reloads += 1
        new = SoakDiscovery(self, gateway, 1 + self.reloads)
        self.discovery[gateway] = new
        await new.open()
        if old.fault is not None:
            new.begin(old.fault)
        self.gateways.write_configuration(gateway)
        self.gateways.processes[gateway].send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_DISCOVERY_CLOSES_S)
        old.refuse()

    async def terminate(self, gateway):
        """SIGTERM; clients go on sending on open connections until the kill."""
        process = self.gateways.processes[gateway]
        process.send_signal(signal.SIGTERM)
        deadline_s = min(LONGEST_COUNTED_S, self.plan.deadline_ms / 1000)
        await asyncio.sleep(FRONT_STOPS_S)
        self.clients[gateway].accepts = False
        await asyncio.sleep(deadline_s + KILL_MARGIN_S - FRONT_STOPS_S)
        process.kill()
        process.wait()
        await self.gateways.start(gateway)

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
        await asyncio.gather(*(self.gateways.start(g) for g in range(self.plan.gateways)))
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
        for gateway, process in self.gateways.processes.items():
            if process.poll() is not None:
                verdict.add("crash", self.loop.time(), f"gateway {gateway} ended by itself")
        return verdict

    def close(self):
        for clients in self.clients:
            clients.close()
        self.gateways.kill()
        self.block_lock.close()
        for host in self.hosts:
            host.close()
        for server in self.discovery:
            server.refuse()
