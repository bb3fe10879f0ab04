"""A proxy between processes that injects network faults, by command and with a seed.

It delays, drops, duplicates and reorders frames, holds them until a later rule releases them,
resets connections, and partitions groups of processes. Faults apply to one direction or to both.

Each target has its own port at the proxy. The name in the hello, which is the first frame of a
connection, tells which process connected. A rule applies to frames from one name to another, where
names may be patterns such as `*`; the last matching rule counts. A connection that is held or cut
stays open and silent, as it would in a network partition; both ends see a reset. Frames are dropped
whole, so that the receiver can still read those that follow.
"""

import asyncio
import random
from fnmatch import fnmatchcase

from msgspec import msgpack

from cherrydoor.fakes.record import Record, now
from cherrydoor.protocol.codec import PREFIX

NO_FAULTS = {
    "delay": 0.0,  # ms
    "spread": 0.0,  # ms, the longest random delay on top of "delay"
    "drop": 0.0,  # probability that a frame is dropped
    "double": 0.0,  # probability that it is sent twice
    "reorder": 0.0,  # probability that later frames may overtake it
    "cut": False,  # no frame gets through
    "hold": False,  # frames wait until a later rule releases them
}


class OneWayLink:
    """One direction of a connection, from the process named `origin` to the one named `target`."""

    def __init__(self, proxy, origin, target, writer):
        self.proxy, self.origin, self.target, self.writer = proxy, origin, target, writer
        self.held, self.last_send_s, self.loop = [], 0.0, asyncio.get_running_loop()

    def forward(self, frame):
        """Sends a frame on, with the faults of the rule that applies."""
        rule, rng = self.proxy.rule(self.origin, self.target), self.proxy.rng
        if rule["cut"]:
            return self.proxy.count("cut")
        if rule["drop"] and rng.random() < rule["drop"]:
            return self.proxy.count("dropped")
        if rule["hold"]:
            self.proxy.count("held")
            return self.held.append(frame)
        copies = 1 + (rng.random() < rule["double"])
        self.proxy.counts["doubled"] = self.proxy.counts.get("doubled", 0) + copies - 1
        for _ in range(copies):
            delay_s = (rule["delay"] + rule["spread"] * rng.random()) / 1000
            send_at_s = self.loop.time() + delay_s
            if rule["reorder"] and rng.random() < rule["reorder"]:
                self.proxy.count("reordered")
                self.loop.call_at(send_at_s + 0.05 * rng.random(), self.write, frame)
            elif delay_s or self.last_send_s > self.loop.time():
                self.last_send_s = max(self.last_send_s + 1e-6, send_at_s)
                self.loop.call_at(self.last_send_s, self.write, frame)
            else:
                self.write(frame)

    def release_held(self):
        held, self.held = self.held, []
        for frame in held:
            self.forward(frame)

    def write(self, frame):
        if not self.writer.is_closing():
            self.writer.write(frame)


class FaultInjectingProxy:
    """The proxy's ports, connections, rules, and counts of injected faults."""

    def __init__(self, seed=1):
        self.rng, self.rules, self.pairs, self.counts, self.servers = (
            random.Random(seed),
            [],
            [],
            {},
            [],
        )

    def count(self, event):
        self.counts[event] = self.counts.get(event, 0) + 1

    def rule(self, origin, target):
        """Returns the last rule that matches frames from `origin` to `target`, given by name."""
        for origin_pattern, target_pattern, values in reversed(self.rules):
            if fnmatchcase(origin, origin_pattern) and fnmatchcase(target, target_pattern):
                return values
        return NO_FAULTS

    async def port(self, to, target, at=""):
        """Opens a port in front of a target; returns the port's address.

        Args:
            to: Name of the target, by which rules refer to it.
            target: Address of the target.
            at: Address to listen at; by default any free port of 127.0.0.1.
        """
        host, _, port = (at or "127.0.0.1:0").rpartition(":")
        server = await asyncio.start_server(
            lambda reader, writer: self.accept(reader, writer, to, target),
            host,
            int(port),
            limit=2**26,
        )
        self.servers.append(server)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def accept(self, reader, writer, target_name, target):
        """Connects an incoming connection to the target and forwards frames in both directions."""
        upstream = None
        try:
            hello = await read_frame(reader)
            origin = str(msgpack.decode(hello[PREFIX:]).get("name", ""))
            if self.rule(origin, target_name)["cut"]:
                return await asyncio.sleep(3600)  # the connection stays open and silent
            host, _, port = target.rpartition(":")
            upstream_reader, upstream = await asyncio.open_connection(host, int(port), limit=2**26)
            to_target, to_origin = (
                OneWayLink(self, origin, target_name, upstream),
                OneWayLink(self, target_name, origin, writer),
            )
            pair = (origin, target_name, writer, upstream, to_target, to_origin)
            self.pairs.append(pair)
            upstream.write(hello)
            try:
                await asyncio.gather(
                    forward_frames(reader, to_target),
                    forward_frames(upstream_reader, to_origin, hello=True),
                )
            finally:
                self.pairs.remove(pair)
        except asyncio.CancelledError:
            pass  # the run has ended
        except (OSError, asyncio.IncompleteReadError, ValueError, AttributeError):
            writer.transport.abort()  # nothing listens there: reset, like a refused connection
        finally:
            for closing in (writer, upstream):
                if closing is not None:
                    closing.transport.abort() if self.is_any_closing(
                        writer, upstream
                    ) else closing.close()

    def is_any_closing(self, *writers):
        return any(writer is not None and writer.transport.is_closing() for writer in writers)

    def set(self, origin, to, both=False, **values):
        """Adds a rule, which applies from now on.

        Frames that were held are released unless the new rules hold them too. `both` adds the rule
        for the opposite direction as well; `values` are the fields of NO_FAULTS that differ.
        """
        for sender, receiver in ((origin, to), (to, origin)) if both else ((origin, to),):
            self.rules.append((sender, receiver, {**NO_FAULTS, **values}))
        for *_, to_target, to_origin in list(self.pairs):
            for link in (to_target, to_origin):
                if link.held and not self.rule(link.origin, link.target)["hold"]:
                    link.release_held()

    def calm(self):
        """Removes all rules and releases all held frames."""
        self.rules.clear()
        self.set("*", "*")

    def cut(self, ones, others):
        """Partitions two groups of names from each other, in both directions."""
        for name in ones:
            for other_name in others:
                self.set(name, other_name, True, cut=True)

    def reset(self, origin, to):
        """Resets connections from matching origins to matching targets, at both ends at once."""
        for pair_origin, pair_target, writer, upstream, *_ in list(self.pairs):
            if fnmatchcase(pair_origin, origin) and fnmatchcase(pair_target, to):
                writer.transport.abort()
                upstream.transport.abort()


async def read_frame(reader):
    prefix = await reader.readexactly(PREFIX)
    return prefix + await reader.readexactly(int.from_bytes(prefix, "big"))


async def forward_frames(reader, link, hello=False):
    """Forwards frames until the connection ends, then closes the other side.

    Unless the link is cut, the hello of the answering side is forwarded without faults.
    """
    try:
        while True:
            frame = await read_frame(reader)
            if hello and not link.proxy.rule(link.origin, link.target)["cut"]:
                link.write(frame)
                hello = False
            else:
                link.forward(frame)
    finally:
        # A cut also hides the end of the connection from the other side.
        while link.proxy.rule(link.origin, link.target)["cut"]:
            await asyncio.sleep(0.05)
        link.writer.close()


async def play(settings):
    """Runs the proxy as a process of a rehearsal."""
    from cherrydoor.fakes.command import emit, serve_commands

    record = Record(settings.get("record"), "between", "between")
    proxy = FaultInjectingProxy(settings.get("seed", 1))

    async def handle_command(command, values):
        if command == "port":
            return await proxy.port(**values)
        if command not in ("set", "calm", "cut", "reset", "counts"):
            raise ValueError(f"unknown proxy command {command!r}")
        if command == "counts":
            return proxy.counts
        record.add("rule", text=f"{command} {values}", a=now())
        getattr(proxy, command)(**values)

    emit("ready")
    await serve_commands(handle_command)
    record.close()
