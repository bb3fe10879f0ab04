"""`cherrydoor gateway`: one process, one or more gateways, until a signal ends it. Exit codes: docs/commands.md."""

import asyncio
import errno
import gc
import signal
import sys
from functools import partial

import structlog
import uvloop
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from cherrydoor.admission.decide import divide
from cherrydoor.admission.listener import Listener
from cherrydoor.admission.usage import Uses
from cherrydoor.config.figures import lease_of
from cherrydoor.config.records import Problems
from cherrydoor.gateway.metrics import Asked
from cherrydoor.gateway.service import Shell, address
from cherrydoor.tls.files import BadKeys

log = structlog.get_logger()
DONE, LATE, BAD_LEASE, PORT_TAKEN, BROKEN = 0, 3, 64, 69, 70


class Counts:
    """Plain metrics, read off the desks when they are asked for."""

    def __init__(self, shells):
        self.shells = shells

    def collect(self):
        told = CounterMetricFamily(
            "cherrydoor_total", "What a gateway counted", labels=["gateway", "what"]
        )
        now = GaugeMetricFamily(
            "cherrydoor_now", "What a gateway holds", labels=["gateway", "what"]
        )
        for shell in self.shells:
            name, desk = shell.figures.name, shell.desk
            for what, count in [*desk.counts.items(), *shell.hall.guard.counts.items()]:
                told.add_metric([name, what], count)
            for what, count in (
                ("events", len(desk.taken)),
                ("hosts", len(desk.hosts)),
                ("clients", len(desk.clients)),
                ("alarms", len(desk.alarms)),
                *shell.hall.guard.figures(),
            ):
                now.add_metric([name, what], count)
        yield told
        yield now


class Daemon:
    def __init__(self, paths, make_gate, tied=False, announce=None, join=None):
        self.paths, self.make_gate, self.tied, self.announce, self.join = (
            paths,
            make_gate,
            tied,
            announce,
            join,
        )
        self.shells, self.terms = [], 0

    async def run(self, figures):
        loop = asyncio.get_running_loop()
        uses = Uses(min(one.memory for one in figures))
        hosts, places, spare = divide(
            uses.limit,
            uses.used() + 2 * len(figures),
            len(figures),
            sum(one.terms.links * 256 for one in figures),
        )
        log.info(
            "descriptors are divided",
            limit=uses.limit,
            used=uses.used(),
            hosts=hosts,
            places_of_each=places,
            spare=spare,
        )
        for one in figures:
            shell = Shell(one, self.make_gate, uses, places, join=self.join)
            self.shells.append(shell)
            try:
                await shell.start()
            except BadKeys as error:
                log.error("the keys are not good", gateway=one.name, why=str(error))
                return BAD_LEASE
            except OSError as error:
                taken = error.errno == errno.EADDRINUSE
                log.error(
                    "the door's port is taken" if taken else "the door cannot be opened",
                    door=one.door,
                    error=str(error),
                )
                return PORT_TAKEN
            log.info(
                "the door is open", gateway=one.name, door=f"{address(one.door)[0]}:{shell.port}"
            )
            if self.announce:
                self.announce(one.name, shell.port)
        if figures[0].metrics:
            registry = CollectorRegistry()
            registry.register(Counts(self.shells))
            try:
                Listener(
                    self.shells[0].hall,
                    address(figures[0].metrics),
                    lambda arrival: Asked(arrival, lambda: generate_latest(registry)),
                )
            except OSError as error:
                log.error(
                    "the metrics' port is taken", metrics=figures[0].metrics, error=str(error)
                )
                return PORT_TAKEN
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.terminate)
        loop.add_signal_handler(signal.SIGHUP, self.check)
        if self.tied:
            loop.add_reader(sys.stdin.fileno(), self.untied)
        gc.collect()
        gc.freeze()
        codes = await asyncio.gather(*(shell.done for shell in self.shells))
        for shell in self.shells:
            await shell.stop()
        await asyncio.sleep(0.05)
        log.info("ended", code=max(codes))
        return max(codes)

    def terminate(self):
        self.terms += 1
        for shell in self.shells:
            if self.terms == 1:
                shell.drain("the gateway is leaving")
            else:
                shell.drained_out()

    def untied(self):
        if not sys.stdin.buffer.read1(4096):
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            self.terminate()
            self.terminate()

    def check(self):
        """SIGHUP: the leases are read anew; bounds change at once, the rest is told to need a start."""
        try:
            read = [lease_of(path) for path in self.paths]
        except Problems as error:
            return log.error("the new lease is wrong, the old one is kept", problems=str(error))
        for shell, new in zip(self.shells, read, strict=True):
            shell.keeper.look(True)
            if (new.lease, new.door, new.keys) != (
                shell.figures.lease,
                shell.figures.door,
                shell.figures.keys,
            ):
                log.warning(
                    "the lease has changed where only a start takes it up", gateway=new.name
                )
            shell.bounds = shell.figures.bounds = new.bounds
            shell.desk.terms = shell.figures.terms = new.terms
            log.info("the lease is read anew", gateway=new.name)


def main(paths, make_gate, tied=False, announce=None, join=None):
    """Runs until a signal; returns the exit code."""
    figures, wrong = [], []
    for path in paths:
        try:
            figures.append(lease_of(path))
        except Problems as error:
            wrong.append(str(error))
    if wrong:
        print("\n".join(wrong), file=sys.stderr)
        return BAD_LEASE
    return uvloop.run(partial(Daemon(paths, make_gate, tied, announce, join).run, figures)())
