"""Plays a scenario: starts its processes, carries out its faults, stops the processes."""

import asyncio
import json
import signal
from pathlib import Path

from cherrydoor.config import show
from cherrydoor.fakes.record import Record, now
from cherrydoor.rehearsal.cpu_starvation import CpuStarvationMonitor
from cherrydoor.rehearsal.day import address_of, client_keys, host_specs, lease_values, terms
from cherrydoor.rehearsal.fault_steps import FaultSteps
from cherrydoor.rehearsal.faults import FaultPlan
from cherrydoor.rehearsal.processes import ManagedProcess, Ports, RunFailedError
from cherrydoor.tls.local_authority import LocalAuthority


def group_by_process(count, per_process, floors):
    """Returns the gateway numbers of each process.

    All gateways of a process are on the same floor, so a fault that stops the gateways of one floor
    stops no gateway of another floor.

    >>> group_by_process(7, 2, 3)
    [[0, 3], [6], [1, 4], [2, 5]]
    """
    groups = []
    for floor in range(min(floors, count)):
        on_floor = list(range(floor, count, floors))
        groups += [on_floor[i : i + per_process] for i in range(0, len(on_floor), per_process)]
    return groups


class ScenarioRunner(FaultSteps):
    """Plays one scenario (`day`).

    It writes the records to `folder/traffic` and the logs of all processes to `folder/parts.log`.
    """

    def __init__(self, day, folder, on_progress=lambda text: None):
        self.day, self.folder, self.report_progress = day, Path(folder), on_progress
        self.folder.mkdir(parents=True, exist_ok=True)
        self.traffic = self.folder / "traffic"
        if self.traffic.exists() and any(self.traffic.iterdir()):
            raise RunFailedError(f"{self.traffic} already contains the traffic of another run")
        self.log_file = (self.folder / "parts.log").open("ab")
        self.record = Record(self.traffic, "conductor", "conductor")
        self.started, self.gateways, self.addresses, self.host_ids = [], {}, {}, {}
        self.endpoints, self.exit_codes, self.tasks, self.ports = {}, [], set(), Ports(day["seed"])
        self.replaced, self.feed_address, self.proxy, self.peer_addresses = set(), "", None, {}

    def new_process(self, name):
        child = ManagedProcess(name, self.log_file)
        self.started.append(child)
        return child

    async def play(self):
        """Plays the whole scenario; raises RunFailedError if it could not be played."""
        try:
            await self.begin()
            await self.follow()
            await self.finish()
        finally:
            for task in self.tasks:
                task.cancel()
            for child in self.started:
                child.signal(signal.SIGCONT)
                child.signal(
                    signal.SIGTERM if child.process and child.process.returncode is None else 0
                )
            for child in self.started:
                await child.stop(3.0)
            self.record.close()
            self.log_file.close()

    async def begin(self):
        """Starts the processes, waits until they are ready and sets the clients' start time."""
        day, record_folder = self.day, str(self.traffic)
        self.record.add("terms", text=json.dumps(terms(day)))
        catalogue = {
            key: day["functions"][key]
            for key in ("memory", "load", "work", "lanes", "fetch", "core")
        }
        self.store = await self.new_process("store").start(
            "stand-in",
            "store",
            settings={"record": record_folder, "catalogue": catalogue, "figures": day["store"]},
        )
        store_port = (await self.store.wait_for_message("ready"))["port"]
        self.host_specs, host_addresses = (
            host_specs(day),
            [self.ports.take() for _ in host_specs(day)],
        )
        await self.start_proxy()
        listen_addresses = (
            [await self.proxied(address) for address in host_addresses] if self.proxy else None
        )
        self.host_pool = await self.new_process("hosts").start(
            "stand-in",
            "hosts",
            settings={
                "record": record_folder,
                "catalogue": catalogue,
                "store": f"127.0.0.1:{store_port}",
                "seed": day["seed"],
                "builds": self.host_specs,
                "names": host_addresses,
                "binds": listen_addresses,
                "scopes": {
                    event["name"]: event["group"]
                    for event in day["events"]
                    if event["kind"] == "keyed"
                },
            },
        )
        self.list = await self.new_process("list").start(
            "stand-in",
            "roll",
            settings={
                "record": record_folder,
                "figures": {
                    "notice": [1000 * n for n in day["list"]["notice"]],
                    "stale": day["list"]["stale"],
                    "seed": day["seed"],
                },
            },
        )
        self.host_ids = dict(enumerate((await self.host_pool.wait_for_message("ready"))["hosts"]))
        self.list_address = f"127.0.0.1:{(await self.list.wait_for_message('ready'))['port']}"
        for number, host in self.host_ids.items():
            host_spec = self.host_specs[number]
            await self.set_endpoint(number, host, "ready", 0.0, host_spec)
        self.make_keys()
        await self.assign_peer_addresses()
        if day["feed"]["gradual"]:
            self.feed = await self.new_process("feed").start(
                "stand-in",
                "feed",
                settings={
                    "record": record_folder,
                    "figures": {
                        "notice": [1000 * n for n in day["feed"]["notice"]],
                        "misses": day["feed"]["misses"],
                        "seed": day["seed"],
                    },
                },
            )
            self.feed_address = f"127.0.0.1:{(await self.feed.wait_for_message('ready'))['port']}"
        count, per_process = day["gateways"]["count"], day["gateways"]["in_a_process"]
        groups = group_by_process(count, per_process, len(day["fleet"]["floors"]))
        for i in range(0, len(groups), 8):
            await asyncio.gather(*(self.start_gateways(group) for group in groups[i : i + 8]))
        self.clients = await self.new_process("clients").start(
            "stand-in",
            "clients",
            settings={
                "record": record_folder,
                "day": day,
                "doors": [self.addresses[g] for g in range(count)],
                "comes": self.client_sources(),
            },
        )
        if any(fault["what"] in ("flood", "reconnect") for fault in day["troubles"]):
            self.crowd = await self.new_process("crowd").start(
                "stand-in", "crowd", settings={"record": record_folder}
            )
            await self.crowd.wait_for_message("ready")
        self.count = (await self.clients.wait_for_message("ready", 120.0))["events"]
        self.started_ms = now() + 500
        self.clients.command("go", at=self.started_ms)
        self.record.add("begun", t=self.started_ms, a=day["warm"], b=day["length"])
        self.tasks.add(
            asyncio.get_running_loop().create_task(
                CpuStarvationMonitor(self.record, now, self.monitored_processes).watch()
            )
        )

    async def start_proxy(self):
        """Starts the fault-injecting proxy if gateways have peers and `between` is set."""
        peers = self.day.get("fellows") or {}
        if peers.get("keepers") and peers["between"]:
            self.proxy = await self.new_process("between").start(
                "stand-in",
                "between",
                settings={"record": str(self.traffic), "seed": self.day["seed"]},
            )
            await self.proxy.wait_for_message("ready")

    async def proxied(self, address, label=""):
        """Opens the proxy at `address`; returns the address at which the server behind it listens.

        `label` names the target in the proxy's rules; by default it is the address.
        """
        listen_address = self.ports.take()
        await self.proxy.command("port", to=label or address, target=listen_address, at=address)
        return listen_address

    async def assign_peer_addresses(self):
        """Assigns each gateway the addresses at which peers reach it and at which it listens."""
        if (self.day.get("fellows") or {}).get("keepers"):
            for number in range(self.day["gateways"]["count"]):
                address = self.ports.take()
                self.peer_addresses[number] = (
                    await self.proxied(address, f"g{number}") if self.proxy else address,
                    address,
                )

    def make_keys(self):
        """With TLS, creates an authority and the certificates of all gateways and offices."""
        if not self.day["doors"]["tls"]:
            return
        self.keys = LocalAuthority(self.folder / "keys")
        self.keys.create_authority()
        for number in range(self.day["gateways"]["count"]):
            self.keys.issue("gateway", f"g{number}", addresses=["127.0.0.1"])
        for office in self.day["offices"]:
            self.keys.issue("client", office["name"])

    def client_sources(self):
        """Returns each office's source address and key files by name; {} without known clients."""
        if not self.day["doors"]["known"]:
            return {}
        return {
            office["name"]: {
                "address": address_of(self.day, office["name"]),
                "keys": client_keys(self.day, office["name"], self.folder),
            }
            for office in self.day["offices"]
        }

    async def start_gateways(self, group):
        """Starts one process for a group of gateways; after a crash, on their old ports."""
        child, arguments = self.new_process("gateways " + " ".join(map(str, group))), []
        for number in group:
            address = self.addresses.get(number) or self.ports.take()
            config_path = self.folder / f"g{number}.lease"
            config_path.write_text(
                show(
                    lease_values(
                        self.day,
                        number,
                        address,
                        self.list_address,
                        self.folder,
                        self.feed_address,
                        self.peer_addresses,
                    )
                )
                + "\n"
            )
            arguments += ["--lease", str(config_path)]
        router = self.day["gateways"]["decides"]
        await child.start(
            "gateway",
            *arguments,
            "--tied",
            "--announce",
            *(["--baseline", router] if router != "module" else []),
            descriptors=self.day["doors"]["descriptors"],
        )
        for _ in group:
            message = await child.wait_for_message("door")
            number = int(message["gateway"][1:])
            self.addresses[number], self.gateways[number] = (
                f"127.0.0.1:{message['port']}",
                (child, group),
            )
            self.record.add("gateway up", f"g{number}")

    def monitored_processes(self):
        """Returns (names, process id) of each running process whose CPU starvation is recorded.

        These are the processes whose records the audit judges by, and the gateways.
        """
        processes: list = [
            (("clients",), self.clients),
            (("hosts",), self.host_pool),
            (("list",), self.list),
        ]
        processes += [
            (tuple(f"g{gateway}" for gateway in group), child)
            for child, group in {
                id(child): (child, group) for child, group in self.gateways.values()
            }.values()
        ]
        return [
            (names, child.process.pid)
            for names, child in processes
            if child.process.returncode is None
        ]

    async def set_endpoint(self, number, host, state, since, host_spec):
        self.endpoints[host] = (state, since, host_spec)
        await self.list.command(
            "row",
            host=host,
            state=state,
            since=since,
            zone=host_spec["zone"],
            cell=host_spec["cell"],
        )

    async def follow(self):
        """Carries out the steps of the fault plan, each at its time, until the scenario is over."""
        plan = FaultPlan(self.day)
        for successor, replaced in plan.replaces.items():
            while replaced in plan.replaces:
                replaced = plan.replaces[replaced]
            plan.replaces[successor] = replaced
        self.replaces = plan.replaces
        total_ms, reported_ms = self.day["warm"] + self.day["length"], 0.0
        pending = list(plan.steps)
        while True:
            elapsed_ms = now() - self.started_ms
            while pending and pending[0][0] <= elapsed_ms:
                _, step, values = pending.pop(0)
                task = asyncio.get_running_loop().create_task(
                    getattr(self, "do_" + step.replace(" ", "_"))(**values)
                )
                self.tasks.add(task)
            for task in [task for task in self.tasks if task.done()]:
                self.tasks.discard(task)
                task.result()
            if elapsed_ms >= total_ms:
                break
            for child in (self.host_pool, self.store, self.list, self.clients):
                if child.process.returncode is not None:
                    raise RunFailedError(
                        f"{child.name} exited with {child.process.returncode} during the scenario; "
                        f"see {self.log_file.name}"
                    )
            if elapsed_ms - reported_ms > 5000:
                reported_ms = elapsed_ms
                self.report_progress(f"{elapsed_ms / 1000:5.0f} of {total_ms / 1000:.0f} s")
            await asyncio.sleep(
                min(0.05, max(0.001, (pending[0][0] - elapsed_ms) / 1000)) if pending else 0.05
            )

    async def finish(self):
        """Waits for the last responses, drains the gateways and records their exit codes."""
        await self.clients.wait_for_message("over", 120.0)
        await asyncio.sleep(0.3)
        self.record.add("closing")
        processes = {id(child): child for child, _ in self.gateways.values()}.values()
        for child in processes:
            child.signal(signal.SIGTERM)
        for child in processes:
            code = await asyncio.wait_for(child.process.wait(), 30.0)
            self.exit_codes.append(code)
            self.record.add("gateway ended", child.name, number=code)
        if any(self.exit_codes):
            raise RunFailedError(
                f"gateways exited with {sorted(set(self.exit_codes))}, expected 0; "
                f"see {self.log_file.name}"
            )


def rehearse(day, folder, on_progress=lambda text: None):
    """Plays the scenario `day`; the recorded traffic is in `folder/traffic` afterwards."""
    asyncio.run(ScenarioRunner(day, folder, on_progress).play())
