"""Plays a day: starts every part as a process of its own, follows the steps of its troubles, and stops all of it."""

import asyncio
import json
import signal
from pathlib import Path

from cherrydoor.config import show
from cherrydoor.fakes.record import Record, now
from cherrydoor.rehearsal.acts import Acts
from cherrydoor.rehearsal.crowding import Crowding
from cherrydoor.rehearsal.day import address_of, builds, client_keys, lease_values, terms
from cherrydoor.rehearsal.parts import CannotRun, Part, Ports
from cherrydoor.rehearsal.troubles import Steps
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


class Conductor(Acts):
    def __init__(self, day, folder, tell=lambda text: None):
        self.day, self.folder, self.tell = day, Path(folder), tell
        self.folder.mkdir(parents=True, exist_ok=True)
        self.traffic = self.folder / "traffic"
        if self.traffic.exists() and any(self.traffic.iterdir()):
            raise CannotRun(f"{self.traffic} holds traffic of another run")
        self.log_file = (self.folder / "parts.log").open("ab")
        self.record = Record(self.traffic, "conductor", "conductor")
        self.parts, self.gateways, self.doors, self.ids = [], {}, {}, {}
        self.rows, self.codes, self.tasks, self.ports = {}, [], set(), Ports(day["seed"])
        self.replaced, self.feed_at, self.between, self.meets = set(), "", None, {}

    def part(self, name):
        part = Part(name, self.log_file)
        self.parts.append(part)
        return part

    async def play(self):
        """The whole day; raises CannotRun where it could not be played."""
        try:
            await self.begin()
            await self.follow()
            await self.finish()
        finally:
            for task in self.tasks:
                task.cancel()
            for part in self.parts:
                part.signal(signal.SIGCONT)
                part.signal(
                    signal.SIGTERM if part.process and part.process.returncode is None else 0
                )
            for part in self.parts:
                await part.end(3.0)
            self.record.close()
            self.log_file.close()

    async def begin(self):
        day, traffic = self.day, str(self.traffic)
        self.record.add("terms", text=json.dumps(terms(day)))
        catalogue = {
            k: day["functions"][k] for k in ("memory", "load", "work", "lanes", "fetch", "core")
        }
        self.store = await self.part("store").start(
            "stand-in",
            "store",
            given={"record": traffic, "catalogue": catalogue, "figures": day["store"]},
        )
        at = (await self.store.until("ready"))["port"]
        self.builds, names = builds(day), [self.ports.take() for _ in builds(day)]
        await self.stand_between()
        binds = [await self.relayed(name) for name in names] if self.between else None
        self.farm = await self.part("hosts").start(
            "stand-in",
            "hosts",
            given={
                "record": traffic,
                "catalogue": catalogue,
                "store": f"127.0.0.1:{at}",
                "seed": day["seed"],
                "builds": self.builds,
                "names": names,
                "binds": binds,
                "scopes": {e["name"]: e["group"] for e in day["events"] if e["kind"] == "keyed"},
            },
        )
        self.list = await self.part("list").start(
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
        self.ids = dict(enumerate((await self.farm.until("ready"))["hosts"]))
        self.list_at = f"127.0.0.1:{(await self.list.until('ready'))['port']}"
        for number, host in self.ids.items():
            build = self.builds[number]
            await self.row(number, host, "ready", 0.0, build)
        self.make_keys()
        await self.meet()
        if day["feed"]["gradual"]:
            self.feed = await self.part("feed").start(
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
        self.clients = await self.part("clients").start(
            "stand-in",
            "clients",
            given={
                "record": traffic,
                "day": day,
                "doors": [self.doors[g] for g in range(count)],
                "comes": self.comes(),
            },
        )
        if any(t["what"] in ("flood", "reconnect") for t in day["troubles"]):
            self.crowd = await self.part("crowd").start(
                "stand-in", "crowd", given={"record": traffic}
            )
            await self.crowd.until("ready")
        self.count = (await self.clients.until("ready", 120.0))["events"]
        self.begun = now() + 500
        self.clients.tell("go", at=self.begun)
        self.record.add("begun", t=self.begun, a=day["warm"], b=day["length"])
        self.tasks.add(
            asyncio.get_running_loop().create_task(
                Crowding(self.record, now, self.processes).watch()
            )
        )

    async def stand_between(self):
        """A relay, on days on which gateways have fellows and links that trouble may strike."""
        fellows = self.day.get("fellows") or {}
        if fellows.get("keepers") and fellows["between"]:
            self.between = await self.part("between").start(
                "stand-in", "between", given={"record": str(self.traffic), "seed": self.day["seed"]}
            )
            await self.between.until("ready")

    async def relayed(self, at, label=""):
        """Where the one must listen that is to be reached at this address through the relay."""
        real = self.ports.take()
        await self.between.tell("port", to=label or at, target=real, at=at)
        return real

    async def meet(self):
        """Doors for peers."""
        if (self.day.get("fellows") or {}).get("keepers"):
            for number in range(self.day["gateways"]["count"]):
                at = self.ports.take()
                self.meets[number] = (
                    await self.relayed(at, f"g{number}") if self.between else at,
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

    def comes(self):
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
        part, words = self.part("gateways " + " ".join(map(str, group))), []
        for number in group:
            door = self.doors.get(number) or self.ports.take()
            path = self.folder / f"g{number}.lease"
            path.write_text(
                show(
                    lease_values(
                        self.day, number, door, self.list_at, self.folder, self.feed_at, self.meets
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
            self.doors[number], self.gateways[number] = f"127.0.0.1:{said['port']}", (part, group)
            self.record.add("gateway up", f"g{number}")

    def processes(self):
        """(names, process id) of the parts whose time counts: those that judge, and the gateways by their names."""
        found: list = [
            (("clients",), self.clients),
            (("hosts",), self.farm),
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

    async def row(self, number, host, state, since, build):
        self.rows[host] = (state, since, build)
        await self.list.tell(
            "row", host=host, state=state, since=since, zone=build["zone"], cell=build["cell"]
        )

    # ---- the steps
    async def follow(self):
        steps = Steps(self.day)
        for new, old in steps.like.items():
            while old in steps.like:
                old = steps.like[old]
            steps.like[new] = old
        self.like = steps.like
        whole, last = self.day["warm"] + self.day["length"], 0.0
        pending = list(steps.found)
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
            for part in (self.farm, self.store, self.list, self.clients):
                if part.process.returncode is not None:
                    raise CannotRun(
                        f"{part.name} ended with {part.process.returncode}; see {self.log_file.name}"
                    )
            if t - last > 5000:
                last = t
                self.tell(f"{t / 1000:5.0f} of {whole / 1000:.0f} s")
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
            raise CannotRun(
                f"gateways ended with {sorted(set(self.codes))}; see {self.log_file.name}"
            )


def rehearse(day, folder, tell=lambda text: None):
    """Plays the day into the folder; the traffic is then in folder/traffic."""
    asyncio.run(Conductor(day, folder, tell).play())
