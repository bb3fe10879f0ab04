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

from cherrydoor.admission.decide import divide_descriptors
from cherrydoor.admission.listener import Listener
from cherrydoor.admission.usage import ProcessUsage
from cherrydoor.config.figures import read_config
from cherrydoor.config.records import Problems
from cherrydoor.gateway.metrics import MetricsRequest
from cherrydoor.gateway.service import GatewayService, address
from cherrydoor.tls.files import BadKeys

log = structlog.get_logger()
DONE, LATE, BAD_CONFIGURATION, PORT_TAKEN, BROKEN = 0, 3, 64, 69, 70


class MetricsCollector:
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
        for service in self.shells:
            name, dispatcher = service.config.name, service.dispatcher
            for what, count in [
                *dispatcher.counters.items(),
                *service.listeners.controller.counters.items(),
            ]:
                told.add_metric([name, what], count)
            for what, count in (
                ("events", len(dispatcher.requests)),
                ("hosts", len(dispatcher.hosts)),
                ("clients", len(dispatcher.clients)),
                ("alarms", len(dispatcher.timers)),
                *service.listeners.controller.config(),
            ):
                now.add_metric([name, what], count)
        yield told
        yield now


class Daemon:
    def __init__(self, paths, make_router, tied=False, announce=None, join=None):
        self.paths, self.make_router, self.tied, self.announce, self.join = (
            paths,
            make_router,
            tied,
            announce,
            join,
        )
        self.shells, self.terms = [], 0

    async def run(self, config):
        loop = asyncio.get_running_loop()
        uses = ProcessUsage(min(one.memory for one in config))
        hosts, places, spare = divide_descriptors(
            uses.limit,
            uses.used() + 2 * len(config),
            len(config),
            sum(one.limits.links * 256 for one in config),
        )
        log.info(
            "descriptors are divided",
            limit=uses.limit,
            used=uses.used(),
            hosts=hosts,
            places_of_each=places,
            spare=spare,
        )
        for one in config:
            service = GatewayService(one, self.make_router, uses, places, join=self.join)
            self.shells.append(service)
            try:
                await service.start()
            except BadKeys as error:
                log.error("the keys are not good", gateway=one.name, why=str(error))
                return BAD_CONFIGURATION
            except OSError as error:
                pending = error.errno == errno.EADDRINUSE
                log.error(
                    "the door's port is taken" if pending else "the door cannot be opened",
                    door=one.door,
                    error=str(error),
                )
                return PORT_TAKEN
            log.info(
                "the door is open", gateway=one.name, door=f"{address(one.door)[0]}:{service.port}"
            )
            if self.announce:
                self.announce(one.name, service.port)
        if config[0].metrics:
            registry = CollectorRegistry()
            registry.register(MetricsCollector(self.shells))
            try:
                Listener(
                    self.shells[0].listeners,
                    address(config[0].metrics),
                    lambda arrival: MetricsRequest(arrival, lambda: generate_latest(registry)),
                )
            except OSError as error:
                log.error("the metrics' port is taken", metrics=config[0].metrics, error=str(error))
                return PORT_TAKEN
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.terminate)
        loop.add_signal_handler(signal.SIGHUP, self.check)
        if self.tied:
            loop.add_reader(sys.stdin.fileno(), self.untied)
        gc.collect()
        gc.freeze()
        codes = await asyncio.gather(*(service.done for service in self.shells))
        for service in self.shells:
            await service.stop()
        await asyncio.sleep(0.05)
        log.info("ended", code=max(codes))
        return max(codes)

    def terminate(self):
        self.terms += 1
        for service in self.shells:
            if self.terms == 1:
                service.drain("the gateway is leaving")
            else:
                service.drained_out()

    def untied(self):
        if not sys.stdin.buffer.read1(4096):
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            self.terminate()
            self.terminate()

    def check(self):
        """SIGHUP: the leases are read anew; bounds change at once, the rest is told to need a start."""
        try:
            read = [read_config(path) for path in self.paths]
        except Problems as error:
            return log.error("the new lease is wrong, the old one is kept", problems=str(error))
        for service, new in zip(self.shells, read, strict=True):
            service.tls.look(True)
            if (new.lease, new.door, new.keys) != (
                service.config.lease,
                service.config.door,
                service.config.keys,
            ):
                log.warning(
                    "the lease has changed where only a start takes it up", gateway=new.name
                )
            service.bounds = service.config.bounds = new.bounds
            service.dispatcher.limits = service.config.limits = new.limits
            log.info("the lease is read anew", gateway=new.name)


def main(paths, make_router, tied=False, announce=None, join=None):
    """Runs until a signal; returns the exit code."""
    config, wrong = [], []
    for path in paths:
        try:
            config.append(read_config(path))
        except Problems as error:
            wrong.append(str(error))
    if wrong:
        print("\n".join(wrong), file=sys.stderr)
        return BAD_CONFIGURATION
    return uvloop.run(partial(Daemon(paths, make_router, tied, announce, join).run, config)())
