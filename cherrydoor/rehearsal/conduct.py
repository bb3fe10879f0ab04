"""Plays a day: starts every part as a process of its own, follows the steps of its troubles, and stops all of it."""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
from functools import partial
from pathlib import Path

from cherrydoor.keys.make import Folder
from cherrydoor.lease import show
from cherrydoor.rehearsal.day import address_of, builds, client_keys, lease_values, terms
from cherrydoor.rehearsal.troubles import Steps
from cherrydoor.standin.record import Record, now, wall


class CannotRun(RuntimeError):
    """The run could not be made; says why."""


class Part:
    """One process, in a group of its own. Its standard input is held open: when we die, it ends."""

    def __init__(self, name, log_file):
        self.name, self.log_file, self.process, self.waiting, self.tags = name, log_file, None, {}, 0
        self.said = asyncio.Queue()

    async def start(self, *words, given=None, descriptors=0):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cherrydoor", *words, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            stderr=self.log_file, start_new_session=True, limit=2**24,
            preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (descriptors,) * 2) if descriptors else None,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(p for p in sys.path if p)})
        if given is not None:
            self.process.stdin.write(json.dumps(given).encode() + b"\n")
        self.task = asyncio.get_running_loop().create_task(self.listen())
        return self

    async def listen(self):
        while line := await self.process.stdout.readline():
            said = json.loads(line)
            future = self.waiting.pop(said.get("of"), None) if said["is"] == "done" else None
            if future:
                future.set_result(said["result"])
            elif said["is"] != "done":
                self.said.put_nowait(said)
        code = await self.process.wait()
        self.said.put_nowait({"is": "ended", "code": code})
        for future in self.waiting.values():
            future.set_exception(CannotRun(f"{self.name} ended with {code}"))

    async def until(self, what, wait=60.0):
        """The next thing of that kind that it says; CannotRun where it says none in time or ends."""
        try:
            while True:
                said = await asyncio.wait_for(self.said.get(), wait)
                if said["is"] == what:
                    return said
                if said["is"] in ("ended", "wrong"):
                    raise CannotRun(f"{self.name}: {said}; see {self.log_file.name}")
        except TimeoutError:
            raise CannotRun(f"{self.name} says no {what!r} within {wait:g} s") from None

    def tell(self, do, **values):
        """A command; the future gives its result."""
        self.tags += 1
        future = self.waiting[self.tags] = asyncio.get_running_loop().create_future()
        self.process.stdin.write(json.dumps({"do": do, "tag": self.tags, **values}).encode() + b"\n")
        return future

    def signal(self, number):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):       # it ended a moment ago
                os.killpg(self.process.pid, number)

    async def end(self, wait=5.0):
        """Lets it end by itself, then makes it."""
        if self.process is None:
            return None
        self.process.stdin.close()
        try:
            return await asyncio.wait_for(self.process.wait(), wait)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.process.wait()


class Ports:
    """Ports that no outgoing connection is given by chance, so that a part can come back on its own after a crash."""

    def __init__(self, seed):
        self.next = 12000 + (os.getpid() * 97 + seed) % 15000

    def take(self):
        """A free one as an address; CannotRun where there is none."""
        for _ in range(18000):
            self.next = 12000 + (self.next - 11999) % 18000
            with socket.socket() as one:
                try:
                    one.bind(("127.0.0.1", self.next))
                except OSError:
                    continue
            return f"127.0.0.1:{self.next}"
        raise CannotRun("no port from 12000 to 30000 is free")


def in_processes(count, together, floors):
    """Gateway numbers by process. Those of one process are on one floor, so that a floor lost takes no other along.

    >>> in_processes(7, 2, 3)
    [[0, 3], [6], [1, 4], [2, 5]]
    """
    found = []
    for floor in range(min(floors, count)):
        here = list(range(floor, count, floors))
        found += [here[i:i + together] for i in range(0, len(here), together)]
    return found


class Conductor:
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
        self.replaced, self.feed_at = set(), ""

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
                part.signal(signal.SIGTERM if part.process and part.process.returncode is None else 0)
            for part in self.parts:
                await part.end(3.0)
            self.record.close()
            self.log_file.close()

    async def begin(self):
        day, traffic = self.day, str(self.traffic)
        self.record.add("terms", text=json.dumps(terms(day)))
        catalogue = {k: day["functions"][k] for k in ("memory", "load", "work", "lanes", "fetch", "core")}
        self.store = await self.part("store").start("stand-in", "store", given={
            "record": traffic, "catalogue": catalogue, "figures": day["store"]})
        at = (await self.store.until("ready"))["port"]
        self.builds = builds(day)
        self.farm = await self.part("hosts").start("stand-in", "hosts", given={
            "record": traffic, "catalogue": catalogue, "store": f"127.0.0.1:{at}", "seed": day["seed"],
            "builds": self.builds, "names": [self.ports.take() for _ in self.builds],
            "scopes": {e["name"]: e["group"] for e in day["events"] if e["kind"] == "keyed"}})
        self.list = await self.part("list").start("stand-in", "roll", given={
            "record": traffic, "figures": {"notice": [1000 * n for n in day["list"]["notice"]],
                                           "stale": day["list"]["stale"], "seed": day["seed"]}})
        self.ids = dict(enumerate((await self.farm.until("ready"))["hosts"]))
        self.list_at = f"127.0.0.1:{(await self.list.until('ready'))['port']}"
        for number, host in self.ids.items():
            build = self.builds[number]
            await self.row(number, host, "ready", 0.0, build)
        self.make_keys()
        if day["feed"]["gradual"]:
            self.feed = await self.part("feed").start("stand-in", "feed", given={"record": traffic, "figures": {
                "notice": [1000 * n for n in day["feed"]["notice"]], "misses": day["feed"]["misses"],
                "seed": day["seed"]}})
            self.feed_at = f"127.0.0.1:{(await self.feed.until('ready'))['port']}"
        count, together = day["gateways"]["count"], day["gateways"]["in_a_process"]
        groups = in_processes(count, together, len(day["fleet"]["floors"]))
        for i in range(0, len(groups), 8):
            await asyncio.gather(*(self.start_gateways(group) for group in groups[i:i + 8]))
        self.clients = await self.part("clients").start("stand-in", "clients", given={
            "record": traffic, "day": day, "doors": [self.doors[g] for g in range(count)], "comes": self.comes()})
        if any(t["what"] in ("flood", "reconnect") for t in day["troubles"]):
            self.crowd = await self.part("crowd").start("stand-in", "crowd", given={"record": traffic})
            await self.crowd.until("ready")
        self.count = (await self.clients.until("ready", 120.0))["events"]
        self.begun = now() + 500
        self.clients.tell("go", at=self.begun)
        self.record.add("begun", t=self.begun, a=day["warm"], b=day["length"])

    def make_keys(self):
        """On days with TLS: an authority, and certificates of all gateways and offices."""
        if not self.day["doors"]["tls"]:
            return
        self.keys = Folder(self.folder / "keys")
        self.keys.authority()
        for number in range(self.day["gateways"]["count"]):
            self.keys.issue("gateway", f"g{number}", addresses=["127.0.0.1"])
        for office in self.day["offices"]:
            self.keys.issue("client", office["name"])

    def comes(self):
        """Office -> where it comes from and the keys it has; {} where nobody is known."""
        if not self.day["doors"]["known"]:
            return {}
        return {o["name"]: {"address": address_of(self.day, o["name"]),
                            "keys": client_keys(self.day, o["name"], self.folder)} for o in self.day["offices"]}

    async def start_gateways(self, group):
        """One process for a group of gateways; after a crash on the same ports."""
        part, words = self.part("gateways " + " ".join(map(str, group))), []
        for number in group:
            door = self.doors.get(number) or self.ports.take()
            path = self.folder / f"g{number}.lease"
            path.write_text(show(lease_values(self.day, number, door, self.list_at, self.folder, self.feed_at)) + "\n")
            words += ["--lease", str(path)]
        decides = self.day["gateways"]["decides"]
        await part.start("gateway", *words, "--tied", "--announce",
                         *(["--baseline", decides] if decides != "module" else []),
                         descriptors=self.day["doors"]["descriptors"])
        for _ in group:
            said = await part.until("door")
            number = int(said["gateway"][1:])
            self.doors[number], self.gateways[number] = f"127.0.0.1:{said['port']}", (part, group)
            self.record.add("gateway up", f"g{number}")

    async def row(self, number, host, state, since, build):
        self.rows[host] = (state, since, build)
        await self.list.tell("row", host=host, state=state, since=since, zone=build["zone"], cell=build["cell"])

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
                task = asyncio.get_running_loop().create_task(getattr(self, "do_" + what.replace(" ", "_"))(**values))
                self.tasks.add(task)
            for task in [task for task in self.tasks if task.done()]:
                self.tasks.discard(task)
                task.result()
            if t >= whole:
                break
            for part in (self.farm, self.store, self.list, self.clients):
                if part.process.returncode is not None:
                    raise CannotRun(f"{part.name} ended with {part.process.returncode}; see {self.log_file.name}")
            if t - last > 5000:
                last = t
                self.tell(f"{t / 1000:5.0f} of {whole / 1000:.0f} s")
            await asyncio.sleep(min(0.05, max(0.001, (pending[0][0] - t) / 1000)) if pending else 0.05)

    async def do_trouble(self, name, on):
        self.record.add("trouble", fate="begins" if on else "ends", text=name)

    async def do_hosts(self, do, hosts, values):
        names = {} if hosts is None else {"hosts": [self.ids[h] for h in hosts if h in self.ids]}
        await self.farm.tell(do, **names, **values)

    async def do_crash(self, host):
        await self.farm.tell("crash", hosts=[self.ids[host]])
        await asyncio.sleep(self.day["list"]["miss"] / 1000)
        state, since, build = self.rows[self.ids[host]]
        if (await self.farm.tell("who"))[self.ids[host]]["up"] is False:
            await self.row(host, self.ids[host], "gone", since, build)

    async def do_return(self, host):
        if host not in self.ids:
            return
        [since] = await self.farm.tell("restart", hosts=[self.ids[host]])
        await self.row(host, self.ids[host], "ready", since, self.rows[self.ids[host]][2])

    async def do_drain(self, host):
        _, since, build = self.rows[self.ids[host]]
        await self.row(host, self.ids[host], "draining", since, build)
        await self.farm.tell("drain", hosts=[self.ids[host]])

    async def do_leave(self, host):
        _, since, build = self.rows[self.ids[host]]
        await self.farm.tell("crash", hosts=[self.ids[host]])
        await self.row(host, self.ids[host], "gone", since, build)

    async def do_join(self, host, like):
        build = self.builds[self.like[host]]
        [name] = await self.farm.tell("add", builds=[build], names=[self.ports.take()], cold=True)
        self.ids[host] = name
        await self.row(host, name, "ready", wall(), build)

    async def do_store(self, **values):
        await self.store.tell("set", **values)

    async def do_list(self, on):
        await self.list.tell("deaf", on=on)

    async def do_flush(self, functions, release):
        await self.store.tell("release", functions=functions, release=release)
        await self.farm.tell("flush", functions=functions, release=release)

    async def do_flood(self, per_second):
        await self.crowd.tell("flood", doors=list(self.doors.values()), per_second=per_second,
                              tls=self.day["doors"]["tls"])

    async def do_reconnect(self, count):
        """At the gateways that run, an office's connections beside those that it has."""
        up = [g for g, (part, _) in self.gateways.items() if part.process.returncode is None]
        await self.crowd.tell("come back", doors={f"g{g}": self.doors[g] for g in sorted(up)},
                              offices=self.comes(), count=count)

    async def do_key_change(self, gateways, times):
        """New certificates one after the other, with a half-written key between two."""
        for turn in range(times):
            for number in gateways:
                if turn:
                    path = self.folder / "keys" / f"g{number}.key"
                    path.write_bytes(path.read_bytes()[:80])
            await asyncio.sleep(0.4 if turn else 0)
            for number in gateways:
                self.keys.issue("gateway", f"g{number}", addresses=["127.0.0.1"])
            await asyncio.sleep(0.4)

    async def do_release(self, functions, version, bad):
        """A version is announced where there is a feed; where there is none all copies go void, as on other days."""
        if not self.day["feed"]["gradual"]:
            return await self.do_flush(functions, version)
        if bad:
            await self.farm.tell("bad", functions=[f"{name}@{version}" for name in functions], **bad)
        await self.feed.tell("release", functions=functions, version=version)

    def mates(self, gateway):
        part, group = self.gateways[gateway]
        return part, group

    async def do_kill_gateway(self, gateway):
        part, group = self.mates(gateway)
        if part.process.returncode is None:
            for one in group:
                self.record.add("gateway killed", f"g{one}")
            part.signal(signal.SIGKILL)
            await part.process.wait()

    async def do_start_gateway(self, gateway):
        part, group = self.mates(gateway)
        if part.process.returncode is not None and part not in self.replaced:
            self.replaced.add(part)         # its mates are to be started at the same moment, and come along
            await self.start_gateways(group)

    async def do_stop_gateway(self, gateway):
        part, group = self.mates(gateway)
        for one in group:
            self.record.add("gateway stopped", f"g{one}")
        part.signal(signal.SIGSTOP)

    async def do_continue_gateway(self, gateway):
        part, group = self.mates(gateway)
        part.signal(signal.SIGCONT)
        for one in group:
            self.record.add("gateway continued", f"g{one}")

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
            raise CannotRun(f"gateways ended with {sorted(set(self.codes))}; see {self.log_file.name}")


def rehearse(day, folder, tell=lambda text: None):
    """Plays the day into the folder; the traffic is then in folder/traffic."""
    asyncio.run(Conductor(day, folder, tell).play())
