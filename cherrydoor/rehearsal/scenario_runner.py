"""Plays a day: starts every part as a process of its own, follows the steps of its troubles, and stops all of it."""

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


def in_processes(count, together, floors):
    """Gateway numbers by process. Those of one process are on one floor, so that a floor lost takes no other along.

    >>> in_processes(7, 2, 3)
    [[0, 3], [6], [1, 4], [2, 5]]
    """
    found = []
    for floor in range(min(floors, count)):
        here = list(range(floor, count, floors))
        found += [here[i : i + together] for i in range(0, len(here), together)]
    return found


class ScenarioRunner(FaultSteps):
    def __init__(self, day, folder, tell=lambda text: None):
        self.day, self.folder, self.report_progress = day, Path(folder), tell
        self.folder.mkdir(parents=True, exist_ok=True)
        self.traffic = self.folder / "traffic"
        if self.traffic.exists() and any(self.traffic.iterdir()):
            raise RunFailedError(f"{self.traffic} holds traffic of another run")
        self.log_file = (self.folder / "parts.log").open("ab")
        self.record = Record(self.traffic, "conductor", "conductor")
        self.started, self.gateways, self.addresses, self.ids = [], {}, {}, {}
        self.endpoints, self.codes, self.tasks, self.ports = {}, [], set(), Ports(day["seed"])
        self.replaced, self.feed_at, self.proxy, self.peer_addresses = set(), "", None, {}

    def new_process(self, name):
        part = ManagedProcess(name, self.log_file)
        self.started.append(part)
        return part

    async def play(self):
        """The whole day; raises RunFailedError where it could not be played."""
        try:
            await self.begin()
            await self.follow()
            await self.finish()
        finally:
            for task in self.tasks:
                task.cancel()
            for part in self.started:
                part.signal(signal.SIGCONT)
                part.signal(
                    signal.SIGTERM if part.process and part.process.returncode is None else 0
                )
            for part in self.started:
                await part.end(3.0)
            self.record.close()
            self.log_file.close()

    async def begin(self):
        day, traffic = self.day, str(self.traffic)
        self.record.add("terms", text=json.dumps(terms(day)))
        catalogue = {
            k: day["functions"][k] for k in ("memory", "load", "work", "lanes", "fetch", "core")
        }
        self.store = await self.new_process("store").start(
            "stand-in",
            "store",
            given={"record": traffic, "catalogue": catalogue, "figures": day["store"]},
        )
        at = (await self.store.until("ready"))["port"]
        self.host_specs, names = host_specs(day), [self.ports.take() for _ in host_specs(day)]
        await self.start_proxy()
        binds = [await self.proxied(name) for name in names] if self.proxy else None
        self.host_pool = await self.new_process("hosts").start(
            "stand-in",
            "hosts",
            given={
                "record": traffic,
                "catalogue": catalogue,
                "store": f"127.0.0.1:{at}",
                "seed": day["seed"],
                "builds": self.host_specs,
                "names": names,
                "binds": binds,
                "scopes": {e["name"]: e["group"] for e in day["events"] if e["kind"] == "keyed"},
            },
        )
        self.list = await self.new_process("list").start(
            "stand-in",
            "roll",
            given={
                "record": traffic,
                "figures": {
                    "notice": [1000 * n for n in day["list"]["notice"]],
                    "stale": day["list"]["stale"],
                    "seed": day["seed"],
                },
            },
        )
        self.ids = dict(enumerate((await self.host_pool.until("ready"))["hosts"]))
        self.list_at = f"127.0.0.1:{(await self.list.until('ready'))['port']}"
        for number, host in self.ids.items():
            build = self.host_specs[number]
            await self.set_endpoint(number, host, "ready", 0.0, build)
        self.make_keys()
        await self.assign_peer_addresses()
        if day["feed"]["gradual"]:
            self.feed = await self.new_process("feed").start(
                "stand-in",
                "feed",
                given={
                    "record": traffic,
                    "figures": {
                        "notice": [1000 * n for n in day["feed"]["notice"]],
                        "misses": day["feed"]["misses"],
                        "seed": day["seed"],
                    },
                },
            )
            self.feed_at = f"127.0.0.1:{(await self.feed.until('ready'))['port']}"
        count, together = day["gateways"]["count"], day["gateways"]["in_a_process"]
        groups = in_processes(count, together, len(day["fleet"]["floors"]))
        for i in range(0, len(groups), 8):
            await asyncio.gather(*(self.start_gateways(group) for group in groups[i : i + 8]))
        self.clients = await self.new_process("clients").start(
            "stand-in",
            "clients",
            given={
                "record": traffic,
                "day": day,
                "doors": [self.addresses[g] for g in range(count)],
                "comes": self.client_sources(),
            },
        )
        if any(t["what"] in ("flood", "reconnect") for t in day["troubles"]):
            self.crowd = await self.new_process("crowd").start(
                "stand-in", "crowd", given={"record": traffic}
            )
            await self.crowd.until("ready")
        self.count = (await self.clients.until("ready", 120.0))["events"]
        self.begun = now() + 500
        self.clients.command("go", at=self.begun)
        self.record.add("begun", t=self.begun, a=day["warm"], b=day["length"])
        self.tasks.add(
            asyncio.get_running_loop().create_task(
                CpuStarvationMonitor(self.record, now, self.monitored_processes).watch()
            )
        )

    async def start_proxy(self):
        """A relay, on days on which gateways have fellows and links that trouble may strike."""
        fellows = self.day.get("fellows") or {}
        if fellows.get("keepers") and fellows["between"]:
            self.proxy = await self.new_process("between").start(
                "stand-in", "between", given={"record": str(self.traffic), "seed": self.day["seed"]}
            )
            await self.proxy.until("ready")

    async def proxied(self, at, label=""):
        """Where the one must listen that is to be reached at this address through the relay."""
        real = self.ports.take()
        await self.proxy.command("port", to=label or at, target=real, at=at)
        return real

    async def assign_peer_addresses(self):
        """Doors for peers."""
        if (self.day.get("fellows") or {}).get("keepers"):
            for number in range(self.day["gateways"]["count"]):
                at = self.ports.take()
                self.peer_addresses[number] = (
                    await self.proxied(at, f"g{number}") if self.proxy else at,
                    at,
                )

    def make_keys(self):
        """On days with TLS: an authority, and certificates of all gateways and offices."""
        if not self.day["doors"]["tls"]:
            return
        self.keys = LocalAuthority(self.folder / "keys")
        self.keys.create_authority()
        for number in range(self.day["gateways"]["count"]):
            self.keys.issue("gateway", f"g{number}", addresses=["127.0.0.1"])
        for office in self.day["offices"]:
            self.keys.issue("client", office["name"])

    def client_sources(self):
        """Office -> where it comes from and the keys it has; {} where nobody is known."""
        if not self.day["doors"]["known"]:
            return {}
        return {
            o["name"]: {
                "address": address_of(self.day, o["name"]),
                "keys": client_keys(self.day, o["name"], self.folder),
            }
            for o in self.day["offices"]
        }

    async def start_gateways(self, group):
        """One process for a group of gateways; after a crash on the same ports."""
        part, words = self.new_process("gateways " + " ".join(map(str, group))), []
        for number in group:
            door = self.addresses.get(number) or self.ports.take()
            path = self.folder / f"g{number}.lease"
            path.write_text(
                show(
                    lease_values(
                        self.day,
                        number,
                        door,
                        self.list_at,
                        self.folder,
                        self.feed_at,
                        self.peer_addresses,
                    )
                )
                + "\n"
            )
            words += ["--lease", str(path)]
        decides = self.day["gateways"]["decides"]
        await part.start(
            "gateway",
            *words,
            "--tied",
            "--announce",
            *(["--baseline", decides] if decides != "module" else []),
            descriptors=self.day["doors"]["descriptors"],
        )
        for _ in group:
            said = await part.until("door")
            number = int(said["gateway"][1:])
            self.addresses[number], self.gateways[number] = (
                f"127.0.0.1:{said['port']}",
                (part, group),
            )
            self.record.add("gateway up", f"g{number}")

    def monitored_processes(self):
        """(names, process id) of the parts whose time counts: those that judge, and the gateways by their names."""
        found: list = [
            (("clients",), self.clients),
            (("hosts",), self.host_pool),
            (("list",), self.list),
        ]
        found += [
            (tuple(f"g{g}" for g in group), part)
            for part, group in {
                id(part): (part, group) for part, group in self.gateways.values()
            }.values()
        ]
        return [
            (names, part.process.pid) for names, part in found if part.process.returncode is None
        ]

    async def set_endpoint(self, number, host, state, since, build):
        self.endpoints[host] = (state, since, build)
        await self.list.command(
            "row", host=host, state=state, since=since, zone=build["zone"], cell=build["cell"]
        )

    # ---- the steps
    async def follow(self):
        plan = FaultPlan(self.day)
        for new, old in plan.replaces.items():
            while old in plan.replaces:
                old = plan.replaces[old]
            plan.replaces[new] = old
        self.replaces = plan.replaces
        whole, last = self.day["warm"] + self.day["length"], 0.0
        pending = list(plan.steps)
        while True:
            t = now() - self.begun
            while pending and pending[0][0] <= t:
                _, what, values = pending.pop(0)
                task = asyncio.get_running_loop().create_task(
                    getattr(self, "do_" + what.replace(" ", "_"))(**values)
                )
                self.tasks.add(task)
            for task in [task for task in self.tasks if task.done()]:
                self.tasks.discard(task)
                task.result()
            if t >= whole:
                break
            for part in (self.host_pool, self.store, self.list, self.clients):
                if part.process.returncode is not None:
                    raise RunFailedError(
                        f"{part.name} ended with {part.process.returncode}; see {self.log_file.name}"
                    )
            if t - last > 5000:
                last = t
                self.report_progress(f"{t / 1000:5.0f} of {whole / 1000:.0f} s")
            await asyncio.sleep(
                min(0.05, max(0.001, (pending[0][0] - t) / 1000)) if pending else 0.05
            )

    async def finish(self):
        """Waits for the last answers, then has every gateway drain and notes how each ended."""
        await self.clients.until("over", 120.0)
        await asyncio.sleep(0.3)
        self.record.add("closing")
        parts = {id(part): part for part, _ in self.gateways.values()}.values()
        for part in parts:
            part.signal(signal.SIGTERM)
        for part in parts:
            code = await asyncio.wait_for(part.process.wait(), 30.0)
            self.codes.append(code)
            self.record.add("gateway ended", part.name, number=code)
        if any(self.codes):
            raise RunFailedError(
                f"gateways ended with {sorted(set(self.codes))}; see {self.log_file.name}"
            )


def rehearse(day, folder, tell=lambda text: None):
    """Plays the day into the folder; the traffic is then in folder/traffic."""
    asyncio.run(ScenarioRunner(day, folder, tell).play())
