"""Runs the fakes as processes that are controlled over standard input and output.

Each line of standard input is a command, a JSON object whose "do" names it; the other keys are its
values. Each line of standard output is a JSON object whose "is" says what happened: "ready" after
the start, then "done" or "wrong" for each command. The process ends when its standard input ends,
so no process is left running when the one that started it dies.
"""

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


def emit(what, **fields):
    """Writes one line to standard output."""
    print(json.dumps({"is": what, **fields}), flush=True)


async def serve_commands(handle_command):
    """Calls `handle_command(name, values)` for each command, and writes its result or error.

    Returns when standard input ends, or on SIGTERM or SIGINT.
    """
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=2**22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, reader.feed_eof)
    while line := await reader.readline():
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
    """Commands to the hosts of a pool.

    A command is the method of that name, and its values are the parameters. `running_hosts` and
    `repeat_pause` are helpers of the commands.

    `hosts` lists the ids of the hosts to which a command applies; None stands for all. Hosts that
    are down are skipped, except by `restart`.
    """

    def __init__(self, host_pool):
        self.host_pool = host_pool

    def __call__(self, name, values):
        return getattr(self, name.replace(" ", "_"))(**values)

    def running_hosts(self, hosts):
        """Returns those of the given hosts that are up; of all hosts if None."""
        chosen = (
            [self.host_pool.hosts[h] for h in hosts]
            if hosts is not None
            else list(self.host_pool.hosts.values())
        )
        return [h for h in chosen if h.up]

    async def add(self, builds, names=None, cold=False, binds=None):
        """Starts hosts, whose `HostSpec` values are in `builds`; returns their ids."""
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
        """Starts or ends draining: a draining host rejects new attempts."""
        for host in self.running_hosts(hosts):
            host.draining = on

    def crash(self, hosts=None):
        """Crashes hosts: they lose all state except the images on disk."""
        for host in self.running_hosts(hosts):
            host.kill()

    async def restart(self, hosts, cold=True):
        """Restarts crashed hosts on their ports; returns their start times, in ms since 1970."""
        for name in hosts:
            if not self.host_pool.hosts[name].up:
                await self.host_pool.hosts[name].start(cold=cold)
        return [self.host_pool.hosts[name].started_at_ms for name in hosts]

    def silent(self, hosts=None, on=True):
        """Lets hosts run attempts but send nothing."""
        for host in self.running_hosts(hosts):
            host.silenced = on

    def refuse(self, hosts=None, on=True):
        """Lets hosts abort new connections."""
        for host in self.running_hosts(hosts):
            host.refusing = on

    def slow(self, hosts=None, times=1.0):
        """Slows all work by a factor."""
        for host in self.running_hosts(hosts):
            host.slowdown = times
            host.reschedule()

    def deaf(self, hosts=None, clause="", share=0.0):
        """Leaves a fraction of the attempts of one request class unanswered after they ran."""
        for host in self.running_hosts(hosts):
            host.unanswered_shares_by_class = {clause: share} if share else {}

    def lose(self, hosts=None, share=0.0):
        """Leaves a fraction of all attempts unanswered after they ran."""
        for host in self.running_hosts(hosts):
            host.unanswered_share = share

    def pause(self, hosts=None, ms=0.0, every=1000.0):
        """Pauses work for `ms` ms, repeatedly, with `every` ms in between on average.

        0 ms ends the pauses.
        """
        for host in self.running_hosts(hosts):
            host.pause_cycle = (ms, every) if ms else None
            self.repeat_pause(host, host.pause_cycle)

    def repeat_pause(self, host, pause):
        """Pauses a host and schedules its next pause, unless a later command has replaced it."""
        if pause and host.pause_cycle is pause and host.up:
            host.pause_work(pause[0])
            self.host_pool.loop.call_later(
                (pause[0] + pause[1] * (0.5 + host.random_fraction())) / 1000,
                self.repeat_pause,
                host,
                pause,
            )

    def late(self, hosts=None, ms=0.0):
        """Sets the delay of load reports, in ms."""
        for host in self.running_hosts(hosts):
            host.spec.late = ms

    def change(self, hosts=None, **figures):
        """Changes values of the hosts' `HostSpec`."""
        for host in self.running_hosts(hosts):
            host.spec.__dict__.update(figures)

    def flush(self, functions, release):
        """Releases functions again: their copies and images of earlier releases become invalid."""
        for function in functions:
            self.host_pool.releases[function] = release
            for host in self.running_hosts(None):
                host.unload_outdated(function)

    def fail(self, functions, on=True):
        """Lets every attempt of these functions fail, or ends that."""
        (
            self.host_pool.failing_functions.update
            if on
            else self.host_pool.failing_functions.difference_update
        )(functions)

    def bad(self, functions, **faults):
        """Makes versions of functions faulty for the rest of the run.

        `fail`, `crash` and `load_fail` are the fractions of runs that fail, of runs that crash the
        host, and of loads that fail; `slow` is the factor by which runs are slower.
        """
        for function in functions:
            self.host_pool.faulty_versions[function] = faults

    def who(self):
        """Returns, by id, whether each host is up, its attempts in flight and its start time."""
        return {
            h.id: {
                "up": h.up,
                "held": len(h.running_attempts) if h.up else 0,
                "started": h.started_at_ms,
            }
            for h in self.host_pool.hosts.values()
        }


async def hosts(settings):
    """Runs a pool of hosts, connected to the function store if its address is given."""
    record = Record(settings.get("record"), "host", settings.get("name", "farm"))
    host_pool = HostPool(
        record, Catalogue(**settings.get("catalogue", {})), settings.get("seed", 1)
    )
    host_pool.scopes = settings.get("scopes", {})
    if settings.get("store"):
        host, _, port = settings["store"].rpartition(":")
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
        settings.get("builds", []), settings.get("names"), binds=settings.get("binds")
    )
    host_pool.sweep()
    emit("ready", hosts=ids)
    await serve_commands(handle_command)
    record.close()


async def store(settings):
    """Runs the function store."""
    record = Record(settings.get("record"), "store", "store")
    server = await Store(
        record, Catalogue(**settings.get("catalogue", {})), **settings.get("figures", {})
    ).start(port=settings.get("port", 0))

    def handle_command(name, values):
        if name == "release":
            server.releases.update(dict.fromkeys(values["functions"], values["release"]))
        elif name == "set":
            server.set(**values)
        else:
            raise ValueError(f"unknown command {name}, expected 'release' or 'set'")

    emit("ready", port=server.port)
    await serve_commands(handle_command)
    record.close()


async def endpoint_list(settings):
    """Runs the endpoint list."""
    record = Record(settings.get("record"), "list", "list")
    server = await EndpointListServer(record, **settings.get("figures", {})).start(
        port=settings.get("port", 0)
    )
    for host in settings.get("hosts", ()):
        server.set_endpoint(protocol.Endpoint(host, "ready"))

    def handle_command(name, values):
        if name == "row":
            server.set_endpoint(msgspec.convert(values, protocol.Endpoint))
        elif name == "deaf":
            server.muted = values["on"]
        else:
            raise ValueError(f"unknown command {name}, expected 'row' or 'deaf'")

    emit("ready", port=server.port)
    await serve_commands(handle_command)
    record.close()


async def feed(settings):
    """Runs the release feed."""
    from cherrydoor.fakes.feed import Feed

    record = Record(settings.get("record"), "feed", "feed")
    server = await Feed(record, **settings.get("figures", {})).start(port=settings.get("port", 0))

    def handle_command(name, values):
        if name == "release":
            server.release(**values)
        elif name == "misses":
            server.missed_share = values["share"]
        else:
            raise ValueError(f"unknown command {name}, expected 'release' or 'misses'")

    emit("ready", port=server.port)
    await serve_commands(handle_command)
    record.close()


async def connection_flood(settings):
    """Runs the connection flood."""
    from cherrydoor.fakes.connection_flood import serve

    await serve(settings, emit, serve_commands)


KINDS = {
    "hosts": hosts,
    "store": store,
    "roll": endpoint_list,
    "crowd": connection_flood,
    "feed": feed,
}


def main(kind, settings):
    """Runs one fake, of a kind listed in `KINDS`, until its standard input ends."""
    uvloop.run(KINDS[kind](settings))
