"""One soak run: real gateways, simulated hosts, discovery and clients, and the plan's faults."""

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
FLOOD_CONNECT_TIMEOUT_S = 0.2
# The front end goes on sending new connections for this time after a gateway got SIGTERM.
FRONT_END_STOP_DELAY_S = 0.3
# SIGKILL follows SIGTERM after the request deadline, capped at MAX_COUNTED_DEADLINE_S, plus this
# margin.
KILL_MARGIN_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
OLD_DISCOVERY_CLOSE_DELAY_S = 1.5
POLL_INTERVAL_S = 0.01
ADDRESS_BLOCKS = 200  # blocks of loopback addresses; each of the parallel runs uses one


@dataclass
class PlayedDrain:
    """A drain as it took place, in seconds since the start of the run.

    ``restarted_s`` is None until the host has restarted.
    """

    start_s: float
    restarted_s: float | None = None


def lock_address_block(seed):
    """Returns a socket that reserves a block of loopback addresses for this run alone."""
    for offset in range(ADDRESS_BLOCKS):
        lock = socket.socket()
        try:
            lock.bind((f"127.19.{(seed + offset) % ADDRESS_BLOCKS + 1}.1", LISTEN_PORT))
            return lock
        except OSError:
            lock.close()
    raise OSError(errno.EADDRINUSE, "no block of loopback addresses is free")


class Run:
    """All parts of one run and the events that they recorded.

    Attributes:
        requests: All requests of the clients.
        host_events: The requests and load orders that reached the hosts.
        drains: Host number -> its drains so far.
        interruptions: Gateway number -> (start, end) of each time that its process was paused or
            killed without notice, in seconds of the event loop's clock.
        lags: (start, end, lag) of each measured lag of this process's event loop, in seconds.
    """

    def __init__(self, plan, folder):
        self.plan = plan
        self.folder = Path(folder)
        self.address_block_lock = lock_address_block(plan.seed)
        self.address_block = int(self.address_block_lock.getsockname()[0].split(".")[2])
        self.loop = asyncio.get_running_loop()
        self.requests = []
        self.host_events = []
        self.drains = defaultdict(list)
        self.interruptions = defaultdict(list)
        self.lags = []
        self.gateways = GatewayProcesses(self)
        self.background = []
        self.reloads = 0
        self.next_request_number = count(1 + plan.seed * 1_000_000).__next__
        self.hosts = [SoakHost(self, index) for index in range(plan.hosts)]
        self.endpoint_list = SoakEndpointList(self.hosts)
        self.discovery = [SoakDiscovery(self, index) for index in range(plan.gateways)]
        self.clients = [GatewayClients(self, index) for index in range(plan.gateways)]
        self.started_s = 0.0

    def now_s(self):
        return self.loop.time() - self.started_s

    def drains_of(self, host):
        return self.drains[host]

    def listen_address(self, gateway):
        return f"127.{20 + gateway}.{self.address_block}.1", LISTEN_PORT

    # ---- event loop lag of this process, which the verdict allows for
    async def measure_lag(self):
        while True:
            before_s = self.loop.time()
            await asyncio.sleep(POLL_INTERVAL_S)
            lag_s = self.loop.time() - before_s - POLL_INTERVAL_S
            if lag_s > POLL_INTERVAL_S:
                self.lags.append((before_s, self.loop.time(), lag_s))

    def lag_at(self, time_s):
        return max(
            (lag for start, end, lag in self.lags if start - 0.1 <= time_s <= end + 0.1),
            default=0.0,
        )

    # ---- faults
    def publish(self, host, state):
        """Changes the endpoint list and has every reachable discovery server send the change."""
        self.endpoint_list.record_change(host, state)
        for server in self.discovery:
            server.publish()

    async def wait_until(self, time_s):
        await asyncio.sleep(max(0.0, time_s - self.now_s()))

    async def play_outage(self, outage):
        await self.wait_until(outage.start_s)
        self.discovery[outage.gateway].start_fault(outage.fault)
        await self.wait_until(outage.end_s)
        await self.discovery[outage.gateway].end_fault()

    async def play_drain(self, drain):
        host = self.hosts[drain.host]
        await self.wait_until(drain.start_s)
        played = PlayedDrain(self.now_s())
        self.drains[drain.host].append(played)
        host.draining_since_s = self.loop.time()
        self.publish(drain.host, "draining")
        await self.wait_until(drain.gone_s)
        host.close()
        self.publish(drain.host, "gone")
        await self.wait_until(drain.restarted_s)
        await host.restart()
        played.restarted_s = self.now_s()
        self.publish(drain.host, "ready")

    async def play_hang(self, hang):
        await self.wait_until(hang.start_s)
        self.hosts[hang.host].unresponsive = True
        await self.wait_until(hang.end_s)
        self.hosts[hang.host].unresponsive = False

    async def play_signals(self, gateway):
        """Sends a gateway's signals one after the other."""
        for fault in self.plan.process_faults:
            if fault.gateway == gateway:
                await self.wait_until(fault.at_s)
                await self.play_signal(fault)

    async def play_idle_flood(self, flood):
        """Holds connections on which nothing is sent, and replaces those that are closed."""
        await self.wait_until(flood.start_s)
        writers = []
        while self.now_s() < flood.end_s:
            writers = [writer for writer in writers if not writer.is_closing()]
            for _ in range(min(20, flood.connections - len(writers))):
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(FLOOD_CONNECT_TIMEOUT_S):
                        _, writer = await asyncio.open_connection(
                            *self.listen_address(flood.gateway)
                        )
                        writers.append(writer)
            await asyncio.sleep(POLL_INTERVAL_S)
        for writer in writers:
            writer.transport.abort()

    async def play_signal(self, fault):
        process = self.gateways.processes[fault.gateway]
        started_s = self.loop.time()
        if fault.signal is Signal.STOP:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            process.send_signal(signal.SIGCONT)
            self.interruptions[fault.gateway].append((started_s, self.loop.time()))
        elif fault.signal is Signal.RELOAD:
            self.background.append(self.loop.create_task(self.reload(fault.gateway)))
            await asyncio.sleep(0)
        elif fault.signal is Signal.TERMINATE:
            await self.terminate(fault.gateway)
        else:
            self.clients[fault.gateway].accepting = False
            process.kill()
            process.wait()
            self.interruptions[fault.gateway].append((started_s, self.loop.time()))
            await self.gateways.start(fault.gateway)

    async def reload(self, gateway):
        """Moves discovery to another address; the old server sends no further updates."""
        old = self.discovery[gateway]
        self.reloads += 1
        new = SoakDiscovery(self, gateway, 1 + self.reloads)
        self.discovery[gateway] = new
        await new.open()
        if old.fault is not None:
            new.start_fault(old.fault)
        self.gateways.write_configuration(gateway)
        self.gateways.processes[gateway].send_signal(signal.SIGHUP)
        await asyncio.sleep(OLD_DISCOVERY_CLOSE_DELAY_S)
        old.stop_serving()

    async def terminate(self, gateway):
        """Sends SIGTERM and later SIGKILL; until then clients still use their open connections."""
        process = self.gateways.processes[gateway]
        process.send_signal(signal.SIGTERM)
        deadline_s = min(MAX_COUNTED_DEADLINE_S, self.plan.deadline_ms / 1000)
        await asyncio.sleep(FRONT_END_STOP_DELAY_S)
        self.clients[gateway].accepting = False
        await asyncio.sleep(deadline_s + KILL_MARGIN_S - FRONT_END_STOP_DELAY_S)
        process.kill()
        process.wait()
        await self.gateways.start(gateway)

    # ---- the run
    async def play(self):
        """Plays the whole run, ends all its processes and servers, and returns its verdict."""
        try:
            await self.start()
            self.background.append(self.loop.create_task(self.measure_lag()))
            await asyncio.gather(*self.fault_coroutines(), *self.client_coroutines())
            for clients in self.clients:
                await clients.finish()
            return self.verdict()
        finally:
            for task in self.background:
                task.cancel()
            self.close()

    async def start(self):
        """Starts hosts and discovery servers, and waits until all gateways are ready."""
        for host in self.hosts:
            await host.open()
        for server in self.discovery:
            await server.open()
        await asyncio.gather(*(self.gateways.start(g) for g in range(self.plan.gateways)))
        self.started_s = self.loop.time()

    def fault_coroutines(self):
        """Returns the coroutines that play the faults of the plan."""
        plan = self.plan
        fault_coroutines = [self.play_outage(outage) for outage in plan.outages]
        fault_coroutines += [self.play_drain(drain) for drain in plan.drains]
        fault_coroutines += [self.play_hang(hang) for hang in plan.hangs]
        fault_coroutines += [self.play_signals(gateway) for gateway in range(plan.gateways)]
        fault_coroutines += [self.play_idle_flood(flood) for flood in plan.idle_floods]
        return fault_coroutines

    def client_coroutines(self):
        """Returns the coroutines that send each gateway's requests."""
        end_s = self.started_s + plan_module.DURATION_S
        return [clients.send_until(end_s) for clients in self.clients]

    def verdict(self):
        """Returns the verdict; a gateway that exited unexpectedly counts as a crash."""
        verdict = Verdict(self)
        for gateway, process in self.gateways.processes.items():
            if process.poll() is not None:
                verdict.add("crash", self.loop.time(), f"gateway {gateway} exited unexpectedly")
        return verdict

    def close(self):
        for clients in self.clients:
            clients.close()
        self.gateways.kill()
        self.address_block_lock.close()
        for host in self.hosts:
            host.close()
        for server in self.discovery:
            server.stop_serving()
