"""`cherrydoor platform`: runs one gateway, from reading its configuration to its exit code."""

import asyncio
import gc
import os
import resource
import signal
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path

import uvloop

from cherrydoor.admission.listener import Listener, ListenerSet
from cherrydoor.codecs import invoke
from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.gateway.event_loop import Clock, TickingService, address
from cherrydoor.platform import configuration
from cherrydoor.platform.client_listener import ClientListener
from cherrydoor.platform.configuration import Configuration, ConfigurationError
from cherrydoor.platform.configuration_reload import ConfigurationReload
from cherrydoor.platform.discovery_watch import DiscoveryWatch
from cherrydoor.platform.event_log import EventLog
from cherrydoor.platform.graceful_shutdown import GracefulShutdown
from cherrydoor.platform.resource_usage import PlatformUsage, WallClock
from cherrydoor.platform.router_trace import RouterTrace
from cherrydoor.platform.upstream import Upstream
from cherrydoor.routing import Router

BAD_CONFIGURATION, ADDRESS_NOT_BOUND = 64, 69  # exit codes
USAGE_INTERVAL_S = 10.0  # between log lines of resource usage
CLOSE_TIME_S = 0.02  # at the end, for closed connections to write what is buffered
# A request leaves few objects behind, so full collections are cheap, and frequent ones keep memory
# from growing.
GC_THRESHOLDS = (1000, 5, 2)


def no_reload_wanted() -> bool:
    """Default for a process that received no SIGHUP before its service started."""
    return False


class PlatformService(TickingService):
    """One gateway on the platform: its sockets, signals and log around the dispatcher.

    Args:
        configuration: The gateway's configuration.
        path: The configuration file, for reloads.
        trace_interval_ms: Interval between lines of the trace, in ms; 0 for no trace.
        reload_wanted: Returns whether SIGHUP arrived before this service handled signals.
        start_duration_ms: How long the process ran before it created this service.

    Attributes:
        dispatcher: The current dispatcher; after a fault in its tick it is replaced.
        ready: Whether readiness probes succeed.
        done: Future of the exit code.
    """

    def __init__(
        self,
        configuration: Configuration,
        path: str | Path,
        trace_interval_ms: float = 0.0,
        reload_wanted: Callable[[], bool] = no_reload_wanted,
        start_duration_ms: float = 0.0,
    ) -> None:
        # Deadlines, leases and grace periods use a monotonic clock, so that a step of the wall clock
        # does not move them.
        super().__init__(Clock())
        self.configuration = configuration
        self.trace_interval_ms = trace_interval_ms
        self.reload_wanted = reload_wanted
        self.ready = False
        self.started_at_ms = self.clock.now()
        self.log = EventLog(self.clock, WallClock())
        self.usage = PlatformUsage(configuration.memory_bytes, configuration.descriptors)
        self.listeners = ListenerSet(
            configuration.client_limits, self.clock, self.usage, self.log.write_limited
        )
        self.client_listener = ClientListener(self)
        self.upstream = Upstream(self)
        self.done: asyncio.Future[int] = self.loop.create_future()
        self.dispatcher = self.new_dispatcher()
        self.shutdown = GracefulShutdown(self)
        self.reload = ConfigurationReload(self, path)
        known = configuration.known_endpoints
        self.discovery_watch = DiscoveryWatch(
            self,
            configuration.discovery_server,
            known.revision,
            self.clock.now() - start_duration_ms,
        )
        for update in known.updates:
            self.discovery_watch.apply(update)
        self.discovery_watch.post_list_age()

    def new_dispatcher(self) -> Dispatcher:
        """Returns a new dispatcher, without hosts or requests."""
        dispatcher = Dispatcher(
            Router(self.configuration.router_settings),
            self.configuration.limits,
            self.upstream.dial,
            self.clock.now(),
        )
        dispatcher.router_log = self.log_routing
        return dispatcher

    def log_routing(self, text: str) -> None:
        """Writes a log message of the router."""
        self.log.write("routing", text=text)

    async def run(self) -> int:
        """Runs the gateway until the service ends; returns the exit code."""
        try:
            self.open_listener()
        except OSError as error:
            print(
                f"{self.configuration.listen}: the listener cannot be opened: {error.strerror}",
                file=sys.stderr,
            )
            return ADDRESS_NOT_BOUND
        self.add_signal_handlers()
        self.discovery_watch.start()
        if self.reload_wanted():
            self.reload.start()
        self.tick()
        self.settle_memory()
        self.ready = True
        self.log_ready()
        self.loop.call_later(USAGE_INTERVAL_S, self.log_usage)
        if self.trace_interval_ms:
            RouterTrace(self, self.trace_interval_ms).start()
        exit_code = await self.done
        self.log_usage()
        await self.close()
        return exit_code

    def open_listener(self) -> None:
        """Opens the listening socket; raises OSError if that fails."""
        Listener(
            self.listeners,
            address(self.configuration.listen),
            self.client_listener.new_connection,
            encode_rejection=invoke.refusal,
        )

    def add_signal_handlers(self) -> None:
        """Handles SIGHUP by a reload of the configuration, SIGTERM and SIGINT by a graceful shutdown."""
        self.loop.add_signal_handler(signal.SIGHUP, self.reload.start)
        self.loop.add_signal_handler(signal.SIGTERM, self.shutdown.start)
        self.loop.add_signal_handler(signal.SIGINT, self.shutdown.start)

    def settle_memory(self) -> None:
        """Excludes the objects of the start from garbage collection and from memory usage."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        shares = self.limit_memory(self.listeners, self.usage)
        self.client_listener.recent_ids.max_ids = shares.request_ids

    def end(self, exit_code: int) -> None:
        """Ends the service; later calls do not change the exit code."""
        if not self.done.done():
            self.done.set_result(exit_code)

    async def close(self) -> None:
        """Closes all sockets, after a short time for buffered output."""
        self.discovery_watch.stop()
        self.listeners.close()
        for client in list(self.client_listener.connections):
            client.close_when_written()
        for host in list(self.upstream.connections):
            host.close()
        self.stop_timer()
        await asyncio.sleep(CLOSE_TIME_S)
        self.usage.close()

    def restart(self) -> None:
        """Replaces the dispatcher after a fault in its tick.

        Requests in flight fail, connections to hosts are aborted, and the new dispatcher starts with
        the same hosts. The process and its client connections survive the fault; the cost is that
        requests fail which had nothing to do with it.
        """
        self.log.write_text(traceback.format_exc())
        failed = self.dispatcher
        endpoints = failed.endpoints()
        failed.respond_to_all("the gateway starts anew")
        for connection in list(self.upstream.connections):
            connection.abort()
        self.dispatcher = self.new_dispatcher()
        self.dispatcher.counters.update(failed.counters)
        self.dispatcher.counters["dispatcher restarts"] += 1
        self.post(self.dispatcher.endpoints_updated, "saved", endpoints)
        self.discovery_watch.post_list_age()

    def tick_delayed(self, delay_ms: float) -> None:
        """Logs a pass of the event loop that took so long that requests may be answered late."""
        self.log.write_limited(
            "tick delayed",
            delay_ms=round(delay_ms),
            inputs=len(self.dispatcher.inputs),
            requests=len(self.dispatcher.requests),
            client_connections=len(self.client_listener.connections),
            held_for_clients_bytes=self.listeners.controller.all_clients.held_bytes,
        )

    def log_ready(self) -> None:
        """Logs the gateway's state and limits at the start."""
        self.log.write_limited(
            "ready",
            gateway=self.configuration.name,
            listen=self.configuration.listen,
            hosts=len(self.dispatcher.hosts),
            memory_used_mb=round(self.usage.resident_bytes() / 2**20, 1),
            connections_per_host=self.configuration.limits.links,
            host_connections=self.configuration.limits.host_connections,
            client_slots=self.configuration.client_limits.connection_slots,
            cores=self.configuration.cores,
            memory_limit_mb=self.configuration.memory_bytes >> 20,
            descriptor_limit=self.configuration.descriptors,
        )

    def log_usage(self) -> None:
        """Logs resource usage and counters, and schedules the next such line."""
        process = resource.getrusage(resource.RUSAGE_SELF)
        admission = self.listeners.controller
        self.loop.call_later(USAGE_INTERVAL_S, self.log_usage)
        self.log.write(
            "usage",
            uptime_s=round((self.clock.now() - self.started_at_ms) / 1000, 1),
            cpu_s=round(process.ru_utime + process.ru_stime, 2),
            longest_tick_delay_ms=round(self.loop_delay.take_longest(), 1),
            memory_used_mb=round(self.usage.resident_bytes() / 2**20, 1),
            held_for_clients_mb=round(admission.all_clients.held_bytes / 2**20, 2),
            bodies_mb=round(self.dispatcher.request_table.body_bytes / 2**20, 2),
            load_shedding_step=admission.load_shedding.step,
            descriptors=self.usage.count_descriptors(),
            client_connections=len(self.client_listener.connections),
            host_connections=len(self.upstream.connections),
            requests=len(self.dispatcher.requests),
            hosts=len(self.dispatcher.hosts),
            counters=dict(self.dispatcher.counters),
            outcomes=dict(self.dispatcher.calls.outcome_counts),
            admission=admission.counters,
        )


def configured_by_environment() -> tuple[Configuration, str]:
    """Reads the configuration that the environment names; returns it and its file's path.

    Raises:
        ConfigurationError: The environment or the file is invalid.
    """
    path = os.environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigurationError("PROXY_CONFIG", "a file's path expected in the environment")
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    found = configuration.read(path, os.environ.get("PROXY_LISTEN"), descriptors)
    name = os.environ.get("PROXY_NAME")
    if name and name != found.name:
        raise ConfigurationError(
            "PROXY_NAME", f"{name!r} is not the configuration's name {found.name!r}"
        )
    return found, path


def main(trace_interval_ms: float = 0.0) -> int:
    """Runs the gateway that the environment configures; returns its exit code.

    Args:
        trace_interval_ms: Interval between lines of the trace, in ms; 0 for no trace.
    """
    # SIGHUP may arrive before the event loop handles it; without a handler it would end the process.
    early_reloads: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: early_reloads.append(True))
    try:
        found, path = configured_by_environment()
    except ConfigurationError as error:
        print(f"cherrydoor platform: {error}", file=sys.stderr)
        return BAD_CONFIGURATION

    # So far the process has only used CPU time, limited to its cores, which gives the elapsed time.
    start_duration_ms = time.process_time() * 1000 / (min(1.0, found.cores) or 1.0)

    def reload_wanted() -> bool:
        return bool(early_reloads)

    async def serve() -> int:
        return await PlatformService(
            found, path, trace_interval_ms, reload_wanted, start_duration_ms
        ).run()

    return uvloop.run(serve())
