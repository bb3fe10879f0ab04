"""A relay between processes that does to their frames what networks do: by command and seed it delays, drops one way or
both, holds and lets go later, doubles, reorders, resets, and cuts groups apart.

Each target has a port of its own here; who comes is told by the name in its hello, the first frame. A rule is for what
goes from one name to another, * for any; the last one that fits counts. What is held or cut stays open and silent, as a
network does it; a reset is seen by both ends. A frame is dropped whole, so that what follows can still be read.
"""

import asyncio
import random
from fnmatch import fnmatchcase

from msgspec import msgpack

from cherrydoor.fakes.record import Record, now
from cherrydoor.protocol.codec import PREFIX

CALM = {
    "delay": 0.0,
    "spread": 0.0,
    "drop": 0.0,
    "double": 0.0,
    "reorder": 0.0,
    "cut": False,
    "hold": False,
}


class OneWayLink:
    """Frames of one connection in one direction."""

    def __init__(self, proxy, origin, to, writer):
        self.proxy, self.origin, self.to, self.writer = proxy, origin, to, writer
        self.held, self.last, self.loop = [], 0.0, asyncio.get_running_loop()

    def pass_on(self, frame):
        rule, rng = self.proxy.rule(self.origin, self.to), self.proxy.rng
        if rule["cut"]:
            return self.proxy.count("cut")
        if rule["drop"] and rng.random() < rule["drop"]:
            return self.proxy.count("dropped")
        if rule["hold"]:
            self.proxy.count("held")
            return self.held.append(frame)
        times = 1 + (rng.random() < rule["double"])
        self.proxy.counts["doubled"] = self.proxy.counts.get("doubled", 0) + times - 1
        for _ in range(times):
            late = (rule["delay"] + rule["spread"] * rng.random()) / 1000
            at = self.loop.time() + late
            if rule["reorder"] and rng.random() < rule["reorder"]:
                self.proxy.count("reordered")
                self.loop.call_at(at + 0.05 * rng.random(), self.write, frame)
            elif late or self.last > self.loop.time():
                self.last = max(self.last + 1e-6, at)
                self.loop.call_at(self.last, self.write, frame)
            else:
                self.write(frame)

    def release_held(self):
        held, self.held = self.held, []
        for frame in held:
            self.pass_on(frame)

    def write(self, frame):
        if not self.writer.is_closing():
            self.writer.write(frame)


class FaultInjectingProxy:
    def __init__(self, seed=1):
        self.rng, self.rules, self.pairs, self.counts, self.servers = (
            random.Random(seed),
            [],
            [],
            {},
            [],
        )

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def rule(self, origin, to):
        for one, other, values in reversed(self.rules):
            if fnmatchcase(origin, one) and fnmatchcase(to, other):
                return values
        return CALM

    async def port(self, to, target, at=""):
        """Opens a port in front of a target; its address."""
        host, _, port = (at or "127.0.0.1:0").rpartition(":")
        server = await asyncio.start_server(
            lambda r, w: self.accept(r, w, to, target), host, int(port), limit=2**26
        )
        self.servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def accept(self, reader, writer, to, target):
        other = None
        try:
            first = await frame_of(reader)
            origin = str(msgpack.decode(first[PREFIX:]).get("name", ""))
            if self.rule(origin, to)["cut"]:
                return await asyncio.sleep(3600)  # nothing comes up, and nothing is said
            host, _, port = target.rpartition(":")
            other_reader, other = await asyncio.open_connection(host, int(port), limit=2**26)
            there, back = OneWayLink(self, origin, to, other), OneWayLink(self, to, origin, writer)
            pair = (origin, to, writer, other, there, back)
            self.pairs.append(pair)
            other.write(first)
            try:
                await asyncio.gather(pump(reader, there), pump(other_reader, back, hello=True))
            finally:
                self.pairs.remove(pair)
        except asyncio.CancelledError:
            pass  # the rehearsal ends
        except (OSError, asyncio.IncompleteReadError, ValueError, AttributeError):
            writer.transport.abort()  # nobody there: it is told as a refusal would be
        finally:
            for one in (writer, other):
                if one is not None:
                    one.transport.abort() if self.stopped(writer, other) else one.close()

    def stopped(self, *writers):
        return any(w is not None and w.transport.is_closing() for w in writers)

    # ---- commands
    def set(self, origin, to, both=False, **values):
        """From now on; what was held is let go where the new rule does not hold it."""
        for one, other in ((origin, to), (to, origin)) if both else ((origin, to),):
            self.rules.append((one, other, {**CALM, **values}))
        for *_, there, back in list(self.pairs):
            for way in (there, back):
                if way.held and not self.rule(way.origin, way.to)["hold"]:
                    way.release_held()

    def calm(self):
        """No rule any more."""
        self.rules.clear()
        self.set("*", "*")

    def cut(self, ones, others):
        """Cuts two groups of names apart, both ways."""
        for one in ones:
            for other in others:
                self.set(one, other, True, cut=True)

    def reset(self, origin, to):
        """Both ends of what stands between them see it end at once."""
        for one, other, writer, beyond, *_ in list(self.pairs):
            if fnmatchcase(one, origin) and fnmatchcase(other, to):
                writer.transport.abort()
                beyond.transport.abort()


async def frame_of(reader):
    prefix = await reader.readexactly(PREFIX)
    return prefix + await reader.readexactly(int.from_bytes(prefix, "big"))


async def pump(reader, way, hello=False):
    """Frames until the end, which the other side is then told. A hello goes through as it is, unless cut."""
    try:
        while True:
            frame = await frame_of(reader)
            if hello and not way.proxy.rule(way.origin, way.to)["cut"]:
                way.write(frame)
                hello = False
            else:
                way.pass_on(frame)
    finally:
        while way.proxy.rule(way.origin, way.to)[
            "cut"
        ]:  # an end is not heard of through a cut either
            await asyncio.sleep(0.05)
        way.writer.close()


async def play(said):
    """As a process of a rehearsal."""
    from cherrydoor.fakes.command import emit, serve_commands

    record = Record(said.get("record"), "between", "between")
    proxy = FaultInjectingProxy(said.get("seed", 1))

    async def handle_command(name, values):
        if name == "port":
            return await proxy.port(**values)
        if name not in ("set", "calm", "cut", "reset", "counts"):
            raise ValueError(f"unknown: {name}")
        if name == "counts":
            return proxy.counts
        record.add("rule", text=f"{name} {values}", a=now())
        getattr(proxy, name)(**values)

    emit("ready")
    await serve_commands(handle_command)
    record.close()
