"""Runs a scenario as a rehearsal does, but in one process and in virtual time.

The recorded traffic has the same form, so the same audit reads it.
"""

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec

from cherrydoor.config import read, show
from cherrydoor.config.figures import GatewayConfig, schema
from cherrydoor.connection import FramedConnection
from cherrydoor.emulator.client_listener import EmulatedGateway
from cherrydoor.emulator.world import World
from cherrydoor.fakes.catalogue import Catalogue
from cherrydoor.fakes.command import HostCommands
from cherrydoor.fakes.copies import HostSpec
from cherrydoor.fakes.endpoint_list import EndpointListServer
from cherrydoor.fakes.feed import Feed
from cherrydoor.fakes.host_pool import HostPool
from cherrydoor.fakes.record import Clocks, Record, now
from cherrydoor.fakes.store import Store
from cherrydoor.protocol import messages as protocol
from cherrydoor.rehearsal.baselines import ROUTER_FACTORIES
from cherrydoor.rehearsal.clients import Clients
from cherrydoor.rehearsal.day import host_specs, lease_values, terms
from cherrydoor.rehearsal.scenario_runner import RunFailedError, ScenarioRunner, group_by_process
from cherrydoor.routing import Router

# Faults of sockets, descriptors and TLS, and those that need the fault-injecting proxy between
# peers.
UNSUPPORTED_FAULTS = ("flood", "reconnect", "key-change", "cut-off", "noise")


class InProcessCommands:
    """Stands for a process of a rehearsal: commands are handled at once, by a function.

    Attributes:
        returncode: Always None, as of a process that runs.
    """

    returncode = None

    def __init__(self, name, handle_command):
        self.name, self.handle_command, self.process = name, handle_command, self

    def command(self, do, **values):
        future = asyncio.get_running_loop().create_future()
        result = self.handle_command(do, values)
        if asyncio.iscoroutine(result):
            return asyncio.ensure_future(result)
        future.set_result(result)
        return future


class Emulation(ScenarioRunner):
    """A scenario runner that keeps all parts in this process instead of starting processes."""

    def __init__(self, day, folder, report_progress=lambda text: None):
        """Prepares a run, without TLS, the proxy between peers and the unsupported faults."""
        if day["doors"]["tls"]:
            day = day | {"doors": day["doors"] | {"tls": False}}
        if day.get("fellows", {}).get("between"):
            day = day | {"fellows": day["fellows"] | {"between": False}}
        super().__init__(
            day | {"without": [*day.get("without", ()), *UNSUPPORTED_FAULTS]},
            folder,
            report_progress,
        )
        self.world: Any = asyncio.get_running_loop()
        # `disk` holds the stored votes of all gateways, by path.
        self.records, self.services, self.disk = [self.record], {}, {}
        self.ports: Any = self  # the scenario runner calls `ports.take()`

    def take(self):
        """Returns an address with a free port.

        Ports, and so the ids of hosts, ascend with time, as in rehearsals.
        """
        return f"127.0.0.1:{self.world.take_port()}"

    def open_record(self, end, who):
        """Returns a traffic record for one part; it is closed when the run ends."""
        record = Record(self.traffic, end, who)
        self.records.append(record)
        return record

    async def play(self):
        try:
            await self.begin()
            await self.follow()
            await self.finish()
        finally:
            for task in self.tasks:
                task.cancel()
            for record in self.records:
                record.close()
            self.log_file.close()

    async def begin(self):
        day = self.day
        self.record.add("terms", text=json.dumps(terms(day)))
        catalogue = Catalogue(
            **{
                key: day["functions"][key]
                for key in ("memory", "load", "work", "lanes", "fetch", "core")
            }
        )
        store = await Store(self.open_record("store", "store"), catalogue, **day["store"]).start()
        self.store = InProcessCommands(
            "store",
            lambda name, values: (
                store.set(**values)
                if name == "set"
                else store.releases.update(dict.fromkeys(values["functions"], values["release"]))
            ),
        )
        host_pool = HostPool(self.open_record("host", "farm"), catalogue, day["seed"])
        host_pool.scopes = {
            request_class["name"]: request_class["group"]
            for request_class in day["events"]
            if request_class["kind"] == "keyed"
        }
        await self.world.create_connection(
            lambda: FramedConnection(
                host_pool.store,
                protocol.FROM_STORE,
                lambda: protocol.Hello(protocol.VERSION, "host", "farm"),
            ),
            "127.0.0.1",
            store.port,
        )
        self.host_pool, self.host_specs = (
            InProcessCommands("hosts", HostCommands(host_pool)),
            host_specs(day),
        )
        for number, host_spec in enumerate(self.host_specs):
            self.host_ids[number] = (await host_pool.add(self.take(), HostSpec(**host_spec))).id
        host_pool.sweep()
        endpoint_list = await EndpointListServer(
            self.open_record("list", "list"),
            [1000 * delay_s for delay_s in day["list"]["notice"]],
            day["list"]["stale"],
            day["seed"],
        ).start()
        self.list, self.list_address = (
            InProcessCommands(
                "list", lambda name, values: self.handle_list_command(endpoint_list, name, values)
            ),
            (f"127.0.0.1:{endpoint_list.port}"),
        )
        for number, host in self.host_ids.items():
            await self.set_endpoint(number, host, "ready", 0.0, self.host_specs[number])
        if day["feed"]["gradual"]:
            feed = await Feed(
                self.open_record("feed", "feed"),
                [1000 * delay_s for delay_s in day["feed"]["notice"]],
                day["feed"]["misses"],
                day["seed"],
            ).start()
            self.feed = InProcessCommands("feed", lambda name, values: feed.release(**values))
            self.feed_address = f"127.0.0.1:{feed.port}"
        await self.assign_peer_addresses()
        count = day["gateways"]["count"]
        for group in group_by_process(
            count, day["gateways"]["in_a_process"], len(day["fleet"]["floors"])
        ):
            await self.start_gateways(group)
        clients = Clients(
            day,
            [self.addresses[gateway] for gateway in range(count)],
            self.open_record("client", "clients"),
            self.client_sources(),
        )
        for gateway_connections in clients.connections:
            for connection in gateway_connections:
                self.tasks.add(self.world.create_task(connection.maintain()))
        while any(
            connection.framed_connection is None
            for gateway_connections in clients.connections
            for connection in gateway_connections
        ):
            await asyncio.sleep(0.02)
        self.clients, self.clients_done = InProcessCommands("clients", None), clients.finished
        self.started_ms = now() + 500
        clients.go(self.started_ms)
        self.record.add("begun", t=self.started_ms, a=day["warm"], b=day["length"])

    def handle_list_command(self, endpoint_list, name, values):
        """Mutes the endpoint list, or sets one of its rows."""
        if name == "deaf":
            endpoint_list.muted = values["on"]
        else:
            endpoint_list.set_endpoint(msgspec.convert(values, protocol.Endpoint))

    async def start_gateways(self, group):
        """Starts these gateways; after a kill, on the same ports and with the stored votes."""
        decides = self.day["gateways"]["decides"]
        for number in group:
            address = self.addresses.get(number) or self.take()
            settings = lease_values(
                self.day,
                number,
                address,
                self.list_address,
                self.folder,
                self.feed_address,
                self.peer_addresses,
            )
            for section in ("releases", "peers"):
                settings.get(section, {}).pop("control", None)
            text = show(settings)
            config = GatewayConfig(
                read(text, f"g{number}.lease", schema("gateway.schema"), "#Lease")
            )
            service = self.services[number] = EmulatedGateway(
                self.world, config, ROUTER_FACTORIES.get(decides, Router), self.disk
            )
            await service.start()
            self.addresses[number], self.gateways[number] = (
                address,
                (InProcessCommands(f"g{number}", None), group),
            )
            self.record.add("gateway up", f"g{number}")

    async def ask_gateway(self, said):
        """Returns the response of the first running gateway to an operator's command, or None."""
        for _, service in sorted(self.services.items()):
            if not service.killed and not service.paused and service.peer_services:
                return service.peer_services.run_command(said)
        return None

    async def do_kill_gateway(self, gateway):
        for number in self.gateways[gateway][1]:
            if not self.services[number].killed:
                self.record.add("gateway killed", f"g{number}")
                self.services[number].kill()

    async def do_start_gateway(self, gateway):
        group = self.gateways[gateway][1]
        if self.services[gateway].killed:
            await asyncio.sleep(0.8)  # about the time that a gateway process takes to start
            if self.services[gateway].killed:
                await self.start_gateways(group)

    async def do_stop_gateway(self, gateway):
        for number in self.gateways[gateway][1]:
            self.record.add("gateway stopped", f"g{number}")
            self.services[number].set_paused(True)

    async def do_continue_gateway(self, gateway):
        for number in self.gateways[gateway][1]:
            self.services[number].set_paused(False)
            self.record.add("gateway continued", f"g{number}")

    async def finish(self):
        """Waits for the last responses, then drains all gateways.

        Raises:
            RunFailedError: A gateway ended with a non-zero exit code.
        """
        await asyncio.wait_for(self.clients_done, 600.0)
        await asyncio.sleep(0.3)
        self.record.add("closing")
        for service in self.services.values():
            service.drain("the gateway is leaving")
        codes = await asyncio.gather(
            *(service.done for service in self.services.values() if not service.killed)
        )
        if any(codes):
            raise RunFailedError(f"gateways ended with {sorted(set(codes))}")


def emulate(day, folder, report_progress=lambda text: None):
    """Runs the scenario in virtual time; the traffic is recorded in `folder`/traffic.

    Raises:
        RunFailedError: The scenario could not be run to its end.
    """
    world = World(day["seed"])
    real_clocks = Clocks.monotonic, Clocks.wall
    Clocks.monotonic, Clocks.wall = world.time, world.wall_time
    asyncio.set_event_loop(world)
    try:

        async def play():
            await Emulation(day, Path(folder), report_progress).play()

        world.run_until_complete(play())
    finally:
        Clocks.monotonic, Clocks.wall = real_clocks
        for task in (unfinished := asyncio.all_tasks(world)):
            task.cancel()
        world.run_until_complete(asyncio.gather(*unfinished, return_exceptions=True))
        asyncio.set_event_loop(None)
