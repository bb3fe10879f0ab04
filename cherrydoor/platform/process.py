"""`cherrydoor platform`: the one gateway of this process, from its configuration to the signal that ends it."""

import asyncio
import gc
import json
import os
import resource
import signal
import sys
import time
import traceback

import uvloop

from cherrydoor.admission import decide as d
from cherrydoor.admission.listener import Listener, ListenerSet
from cherrydoor.admission.usage import ProcessUsage
from cherrydoor.codecs import invoke
from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.gateway.event_loop import TickingService, address
from cherrydoor.platform import configuration
from cherrydoor.platform.client_listener import ClientListener
from cherrydoor.platform.discovery_watch import DiscoveryWatch
from cherrydoor.platform.upstream import Upstream
from cherrydoor.routing import Router

BAD_CONFIGURATION, PORT_TAKEN, BROKEN = 64, 69, 70
COMING = 0.7  # s after SIGTERM for which clients still come
LEAST_LAST = 3.0  # s that the longest time of an event counts for at least, when leaving
FACTS = 10.0  # s between lines with what the process uses
REREAD = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
)  # s until a file that could not be used at SIGHUP is looked at once more,
# by how often it was: it may have been half written


class Clock:
    """The system's Unix time in ms, as the rules are judged by it."""

    def now(self):
        return time.time() * 1000


class PlatformUsage(ProcessUsage):
    """What is in use, by the platform's limits: memory beyond what the start took, and no part of a core, since all
    clients come by one front and none is to be read less than another."""

    def __init__(self, memory, descriptors):
        super().__init__(memory)
        self.limit, self.base = min(self.limit, descriptors), 0

    def measure(self):
        said = super().measure()
        part = (said.memory * self.memory - self.base) / max(1.0, self.memory - self.base)
        return d.UsageMeasured(said.descriptors, max(0.0, part), 0.0)


class PlatformService(TickingService):
    """The sockets of one gateway on the platform."""

    def __init__(self, station, path, trace=0.0, reload_wanted=lambda: False):
        """reload_wanted() tells whether SIGHUP came before this process could act on it."""
        super().__init__(Clock())
        self.reload_wanted, self.rereading = reload_wanted, None
        self.configuration, self.path, self.trace, self.ready, self.code = (
            station,
            path,
            trace,
            False,
            None,
        )
        self.said, self.began, self.listener, self.dispatcher = {}, self.clock.now(), None, None
        self.uses = PlatformUsage(station.memory, station.descriptors)
        self.listeners = ListenerSet(station.client_limits, self.clock, self.uses, self.say)
        self.client_listener, self.upstream = ClientListener(self), Upstream(self)
        self.done = self.loop.create_future()
        self.dispatcher = self.new_desk()
        last, items = station.known
        self.bulletin = DiscoveryWatch(self, station.bulletin, last)
        for told in items:
            self.bulletin.tell(told)

    def new_desk(self):
        return Dispatcher(
            Router(self.configuration.lease),
            self.configuration.limits,
            self.upstream.dial,
            self.clock.now(),
        )

    def say(self, event, **said):
        """A line on standard error; the same event at most once a second, with how often it was left out."""
        now = self.clock.now()
        at, left = self.said.get(event, (-1e18, 0))
        if now - at < 1000:
            self.said[event] = at, left + 1
            return
        self.said[event] = now, 0
        self.line(event, **said, **({"left_out": left} if left else {}))

    def line(self, event, **said):
        print(
            json.dumps({"at": round(self.clock.now()), "is": event, **said}),
            file=sys.stderr,
            flush=True,
        )

    async def run(self):
        try:
            self.listener = Listener(
                self.listeners,
                address(self.configuration.listen),
                self.client_listener.make,
                word=invoke.refusal,
            )
        except OSError as error:
            print(
                f"{self.configuration.listen}: the door cannot be opened: {error.strerror}",
                file=sys.stderr,
            )
            return PORT_TAKEN
        self.loop.add_signal_handler(signal.SIGHUP, self.read_anew)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.terminate)
        self.bulletin.start()
        if self.reload_wanted():
            self.read_anew()
        self.tick()
        gc.collect()
        gc.freeze()
        gc.set_threshold(
            1000, 5, 2
        )  # little is kept: a full collection is cheap, and memory stays flat
        self.uses.base = self.uses.measure_held()
        self.ready = True
        self.say(
            "ready",
            gateway=self.configuration.name,
            listen=self.configuration.listen,
            hosts=len(self.dispatcher.hosts),
            held_mb=round(self.uses.base / 2**20, 1),
            links=self.configuration.limits.links,
            places=self.configuration.client_limits.connection_slots,
            cores=self.configuration.cores,
            memory_mb=self.configuration.memory >> 20,
            sockets=self.configuration.descriptors,
        )
        self.loop.call_later(FACTS, self.facts)
        if self.trace:
            self.upstream.traffic = {}
            self.loop.call_later(self.trace / 1000, self.believed)
        code = await self.done
        self.facts()
        self.bulletin.stop()
        self.listeners.close()
        for end in list(self.client_listener.ends):
            end.shut()
        for end in list(self.upstream.ends):
            end.close()
        self.stop_timer()
        await asyncio.sleep(0.02)
        return code

    # ---- signals
    def read_anew(self, tries=0):
        """SIGHUP: the bulletin of the file counts from now on; a file that cannot be used is told, looked at again for
        a while, and left."""
        if self.rereading is not None:
            self.rereading.cancel()
            self.rereading = None
        self.uses.let_go()  # the file can be opened, also where clients have all descriptors
        try:
            new = configuration.read(
                self.path, self.configuration.listen, self.configuration.descriptors
            )
        except configuration.ConfigurationError as error:
            if tries < len(REREAD):
                self.rereading = self.loop.call_later(REREAD[tries], self.read_anew, tries + 1)
            return self.say("the new configuration is wrong, the old one is kept", why=str(error))
        finally:
            self.uses.take_back()
        for told in new.known[1]:
            self.bulletin.heard(told)
        self.bulletin.move(new.bulletin)
        self.say("the configuration is read anew", bulletin=new.bulletin, last=self.bulletin.last)

    def terminate(self):
        """SIGTERM: clients still come for a while; then the door closes, and what is held is answered."""
        if self.code is not None:
            return
        self.code = 0
        self.say("leaving", events=len(self.dispatcher.requests))
        self.loop.call_later(COMING, self.close_door)
        last = max(LEAST_LAST, self.configuration.longest / 1000)
        self.loop.call_later(COMING + last - 0.2, self.give_up)

    def close_door(self):
        self.listeners.close()
        self.post(self.dispatcher.drain, "the gateway is leaving")
        self.client_listener.leave()
        self.loop.call_later(0.1, self.look)

    def look(self):
        """Ends when nobody waits for an answer any more."""
        if not self.client_listener.ends:
            return self.end(0)
        self.client_listener.leave()
        self.loop.call_later(0.05, self.look)

    def give_up(self):
        """The process is killed soon: whoever still waits is answered now."""
        self.dispatcher.respond_to_all("the gateway ends")
        self.end(3)

    def end(self, code):
        if not self.done.done():
            self.done.set_result(code)

    # ---- the turn
    def restart(self):
        """A fault in the decisions ends this desk's life: whatever it holds is dead-lettered, its links are cut, and
        another begins with the same hosts."""
        print(traceback.format_exc(), file=sys.stderr, flush=True)
        old, rows = self.dispatcher, self.dispatcher.endpoints()
        old.respond_to_all("the gateway starts anew")
        for end in list(self.upstream.ends):
            end.abort()
        self.dispatcher = self.new_desk()
        self.dispatcher.counters.update(old.counters)
        self.dispatcher.counters["started anew"] += 1
        self.post(self.dispatcher.endpoints_updated, "saved", rows)

    # ---- what an operator sees
    def facts(self):
        use = resource.getrusage(resource.RUSAGE_SELF)
        self.loop.call_later(FACTS, self.facts)
        self.line(
            "facts",
            for_s=round((self.clock.now() - self.began) / 1000, 1),
            cpu_s=round(use.ru_utime + use.ru_stime, 2),
            held_mb=round(self.uses.measure_held() / 2**20, 1),
            descriptors=self.uses.used(),
            clients=len(self.client_listener.ends),
            links=len(self.upstream.ends),
            events=len(self.dispatcher.requests),
            hosts=len(self.dispatcher.hosts),
            counts=dict(self.dispatcher.counters),
            doors=self.listeners.controller.counters,
        )

    def believed(self):
        """Log for each host what the router knows of it, and its traffic since the last such line."""
        self.loop.call_later(self.trace / 1000, self.believed)
        router = self.dispatcher.router
        statistics = router.statistics
        functions = router.history.functions.values()
        now = self.clock.now()
        traffic = self.upstream.traffic
        self.upstream.traffic = {}
        rows = []
        for name, host in sorted(router.hosts.items()):
            upstream_host = self.dispatcher.hosts.get(name)
            links = upstream_host.links if upstream_host else ()
            rows.append(
                {
                    "host": name,
                    "state": host.state,
                    "out": len(host.in_flight),
                    "load": host.load(),
                    "busy": host.overloaded,
                    "shut": max(0, round(host.health.ejected_until_ms - now)),
                    "strikes": host.health.consecutive_failures,
                    "probing": host.health.check_in_flight,
                    "mean": round(host.mean_response_ms(), 1),
                    "level": round(host.slow_start.level(now), 2),
                    "full": round(host.fullness.read(now), 2),
                    "copies": sum(host in function.copies for function in functions),
                    "links": len(links),
                    "open": sum(len(link.out) for link in links),
                    "crossed": traffic.get(name, {}),
                }
            )
        self.line(
            "believed",
            mean=round(router.mean(), 1),
            blind=statistics.most_hosts_suspect,
            brisk=round(statistics.fast_response_ms, 1),
            load=round(statistics.load_ms),
            hosts=rows,
        )


def main(trace=0.0):
    """Runs the gateway that the environment tells of; its exit code."""
    early: list = []  # SIGHUP before the loop runs: by default it would end the process
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))
    path, listen = os.environ.get("PROXY_CONFIG"), os.environ.get("PROXY_LISTEN")
    try:
        if not path:
            raise configuration.ConfigurationError(
                "PROXY_CONFIG: a file's path expected in the environment"
            )
        station = configuration.read(path, listen, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        said = os.environ.get("PROXY_NAME")
        if said and said != station.name:
            raise configuration.ConfigurationError(
                f"PROXY_NAME: {said!r} is not the configuration's name {station.name!r}"
            )
    except configuration.ConfigurationError as error:
        print(f"cherrydoor platform: {error}", file=sys.stderr)
        return BAD_CONFIGURATION

    async def incarnation():
        return await PlatformService(station, path, trace, lambda: bool(early)).run()

    return uvloop.run(incarnation())
