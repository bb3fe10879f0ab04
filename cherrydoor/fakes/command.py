"""Stand-ins as processes: one JSON object a line on standard input is a command, 'ready' goes out as one, and the
end of standard input ends the process, so that nothing is left over when whoever started it dies."""

import asyncio
import json
import signal
import sys

import msgspec
import uvloop

from cherrydoor.fakes.catalogue import Catalogue
from cherrydoor.fakes.copies import HostSpec
from cherrydoor.fakes.endpoint_list import EndpointListServer
from cherrydoor.fakes.host_pool import HostPool
from cherrydoor.fakes.record import Record
from cherrydoor.fakes.store import Store
from cherrydoor.protocol import messages as protocol


def emit(what, **more):
    print(json.dumps({"is": what, **more}), flush=True)


async def serve_commands(handle_command):
    """Feeds each command to handle_command(name, values); returns when standard input ends or a signal comes."""
    loop, lines = asyncio.get_running_loop(), asyncio.StreamReader(limit=2**22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lines.feed_eof)
    while line := await lines.readline():
        try:
            values = json.loads(line)
            tag = values.pop("tag", None)
            result = handle_command(values.pop("do"), values)
            if asyncio.iscoroutine(result):
                result = await result
            emit("done", of=tag, result=result)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            emit(
                "wrong",
                line=line.decode(errors="replace").strip(),
                error=f"{type(error).__name__}: {error}",
            )


class HostCommands:
    def __init__(self, host_pool):
        self.host_pool = host_pool

    def __call__(self, name, values):
        return getattr(self, name.replace(" ", "_"))(**values)

    def each(self, hosts):
        found = (
            [self.host_pool.hosts[h] for h in hosts]
            if hosts is not None
            else list(self.host_pool.hosts.values())
        )
        return [h for h in found if h.up]

    async def add(self, builds, names=None, cold=False, binds=None):
        """Starts hosts; gives their ids."""
        return [
            (
                await self.host_pool.add(
                    names[i] if names else "127.0.0.1:0",
                    HostSpec(**build),
                    cold,
                    binds[i] if binds else "",
                )
            ).id
            for i, build in enumerate(builds)
        ]

    def drain(self, hosts, on=True):
        for host in self.each(hosts):
            host.draining = on

    def crash(self, hosts=None):
        for host in self.each(hosts):
            host.kill()

    async def restart(self, hosts, cold=True):
        """Up again on the same port, empty and cold; gives when each started, ms since 1970."""
        for name in hosts:
            if not self.host_pool.hosts[name].up:
                await self.host_pool.hosts[name].start(cold=cold)
        return [self.host_pool.hosts[name].since for name in hosts]

    def silent(self, hosts=None, on=True):
        for host in self.each(hosts):
            host.silenced = on

    def refuse(self, hosts=None, on=True):
        for host in self.each(hosts):
            host.refuse = on

    def slow(self, hosts=None, times=1.0):
        for host in self.each(hosts):
            host.slow = times
            host.reschedule()

    def deaf(self, hosts=None, clause="", share=0.0):
        for host in self.each(hosts):
            host.unanswered_shares = {clause: share} if share else {}

    def lose(self, hosts=None, share=0.0):
        for host in self.each(hosts):
            host.lose = share

    def pause(self, hosts=None, ms=0.0, every=1000.0):
        """Each stands still for ms, then again after `every`, until told with 0."""
        for host in self.each(hosts):
            host.pause = (ms, every) if ms else None
            self.again(host, host.pause)

    def again(self, host, pause):
        if pause and host.pause is pause and host.up:
            host.pause_work(pause[0])
            self.host_pool.loop.call_later(
                (pause[0] + pause[1] * (0.5 + host.chance())) / 1000, self.again, host, pause
            )

    def late(self, hosts=None, ms=0.0):
        for host in self.each(hosts):
            host.spec.late = ms

    def change(self, hosts=None, **figures):
        for host in self.each(hosts):
            host.spec.__dict__.update(figures)

    def flush(self, functions, release):
        """Released anew: copies and images go void."""
        for function in functions:
            self.host_pool.releases[function] = release
            for host in self.each(None):
                host.unload_outdated(function)

    def fail(self, functions, on=True):
        (
            self.host_pool.failing_functions.update
            if on
            else self.host_pool.failing_functions.difference_update
        )(functions)

    def bad(self, functions, **what):
        """What is wrong with these versions: parts `fail`, `crash`, `load_fail`, times `slow`; nothing mends them."""
        for function in functions:
            self.host_pool.faulty_versions[function] = what

    def who(self):
        return {
            h.id: {"up": h.up, "held": len(h.running_attempts) if h.up else 0, "started": h.since}
            for h in self.host_pool.hosts.values()
        }


async def hosts(said):
    record = Record(said.get("record"), "host", said.get("name", "farm"))
    host_pool = HostPool(record, Catalogue(**said.get("catalogue", {})), said.get("seed", 1))
    host_pool.scopes = said.get("scopes", {})
    if said.get("store"):
        host, _, port = said["store"].rpartition(":")
        from cherrydoor.connection import FramedConnection

        await host_pool.loop.create_connection(
            lambda: FramedConnection(
                host_pool.store,
                protocol.FROM_STORE,
                lambda: protocol.Hello(protocol.VERSION, "host", "farm"),
            ),
            host,
            int(port),
        )
    handle_command = HostCommands(host_pool)
    ids = await handle_command.add(
        said.get("builds", []), said.get("names"), binds=said.get("binds")
    )
    host_pool.sweep()
    emit("ready", hosts=ids)
    await serve_commands(handle_command)
    record.close()


async def store(said):
    record = Record(said.get("record"), "store", "store")
    one = await Store(
        record, Catalogue(**said.get("catalogue", {})), **said.get("figures", {})
    ).start(port=said.get("port", 0))

    def handle_command(name, values):
        if name == "release":
            one.releases.update(dict.fromkeys(values["functions"], values["release"]))
        elif name == "set":
            one.set(**values)
        else:
            raise ValueError(f"unknown: {name}")

    emit("ready", port=one.port)
    await serve_commands(handle_command)
    record.close()


async def endpoint_list(said):
    record = Record(said.get("record"), "list", "list")
    one = await EndpointListServer(record, **said.get("figures", {})).start(
        port=said.get("port", 0)
    )
    for host in said.get("hosts", ()):
        one.set(protocol.Endpoint(host, "ready"))

    def handle_command(name, values):
        if name == "row":
            one.set(msgspec.convert(values, protocol.Endpoint))
        elif name == "deaf":
            one.muted = values["on"]
        else:
            raise ValueError(f"unknown: {name}")

    emit("ready", port=one.port)
    await serve_commands(handle_command)
    record.close()


async def feed(said):
    from cherrydoor.fakes.feed import Feed

    record = Record(said.get("record"), "feed", "feed")
    one = await Feed(record, **said.get("figures", {})).start(port=said.get("port", 0))

    def handle_command(name, values):
        if name == "release":
            one.release(**values)
        elif name == "misses":
            one.misses = values["share"]
        else:
            raise ValueError(f"unknown: {name}")

    emit("ready", port=one.port)
    await serve_commands(handle_command)
    record.close()


async def connection_flood(said):
    from cherrydoor.fakes.connection_flood import serve

    await serve(said, emit, serve_commands)


KINDS = {
    "hosts": hosts,
    "store": store,
    "roll": endpoint_list,
    "crowd": connection_flood,
    "feed": feed,
}


def main(kind, said):
    """Runs one stand-in, kind 'hosts', 'store', 'roll', 'crowd' or 'feed', until its standard input ends."""
    uvloop.run(KINDS[kind](said))
