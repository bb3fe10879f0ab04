"""`cherrydoor gateway`: runs one or more gateways in one process until a signal ends it."""

import asyncio
import errno
import gc
import signal
import sys
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import structlog
import uvloop

from cherrydoor.admission.descriptors import divide_descriptors
from cherrydoor.admission.usage import ProcessUsage
from cherrydoor.config import Problems
from cherrydoor.config.figures import read_config
from cherrydoor.gateway.event_loop import address
from cherrydoor.gateway.exit_codes import ADDRESS_NOT_BOUND, BAD_CONFIGURATION
from cherrydoor.gateway.metrics import serve_metrics
from cherrydoor.gateway.service import GatewayService
from cherrydoor.tls.errors import InvalidCredentialsError

log = structlog.get_logger()

DESCRIPTORS_PER_GATEWAY = 2  # client listener and endpoint list
MAX_HOSTS = 256  # number of hosts for whose connections each gateway requests descriptors
# Time between closing all sockets and ending the process, in which pending output is sent.
FINAL_OUTPUT_S = 0.05
STDIN_CHUNK_BYTES = 4096


class StartError(Exception):
    """The process cannot start; the reason has been logged.

    Attributes:
        exit_code: Exit code of the process.
    """

    def __init__(self, exit_code: int) -> None:
        """Creates the error for a process that must end with this exit code."""
        super().__init__(f"the gateway cannot start, exit code {exit_code}")
        self.exit_code = exit_code


class Daemon:
    """Runs the gateways of one process and handles its signals.

    Attributes:
        services: The gateways, in the order of their configuration files.
    """

    def __init__(
        self,
        paths: Sequence[str],
        make_router: Callable[[Any], Any],
        ends_with_stdin: bool = False,
        announce: Callable[[str, int], None] | None = None,
        join_peers: Callable[..., Any] | None = None,
    ) -> None:
        """Prepares a process that `run` runs.

        Args:
            paths: The configuration files, read again on SIGHUP.
            make_router: Makes a gateway's router from its routing settings.
            ends_with_stdin: Whether the end of standard input ends the process immediately.
            announce: Called with name and port of each gateway once clients can connect to it.
            join_peers: Makes the peer services of a gateway.
        """
        self.paths = paths
        self.make_router = make_router
        self.ends_with_stdin = ends_with_stdin
        self.announce = announce
        self.join_peers = join_peers
        self.services: list[GatewayService] = []
        self.termination_count = 0

    async def run(self, configs: Sequence[Any]) -> int:
        """Runs one gateway for each configuration until all have ended; returns the exit code."""
        usage = ProcessUsage(min(config.memory for config in configs))
        connection_slots = self.divide_descriptors(usage, configs)
        try:
            for config in configs:
                await self.start_service(config, usage, connection_slots)
            if configs[0].metrics:
                self.start_metrics(configs[0].metrics)
        except StartError as error:
            return error.exit_code
        self.handle_signals()
        gc.collect()
        gc.freeze()  # excludes objects that live as long as the process from garbage collection
        exit_codes = await asyncio.gather(*(service.done for service in self.services))
        for service in self.services:
            await service.stop()
        await asyncio.sleep(FINAL_OUTPUT_S)
        log.info("process ended", exit_code=max(exit_codes))
        return max(exit_codes)

    # ---- start
    def divide_descriptors(self, usage: ProcessUsage, configs: Sequence[Any]) -> int:
        """Divides the process's descriptors; returns the connection slots of each gateway."""
        hosts, connection_slots, spare = divide_descriptors(
            usage.descriptor_limit,
            usage.count_descriptors() + DESCRIPTORS_PER_GATEWAY * len(configs),
            len(configs),
            sum(config.limits.links * MAX_HOSTS for config in configs),
        )
        for config in configs:
            config.limits.host_connections = max(1, hosts // len(configs))
        log.info(
            "file descriptors divided",
            limit=usage.descriptor_limit,
            used=usage.count_descriptors(),
            hosts=hosts,
            connection_slots_per_gateway=connection_slots,
            spare=spare,
        )
        return int(connection_slots)

    async def start_service(self, config: Any, usage: ProcessUsage, connection_slots: int) -> None:
        """Starts one gateway.

        Raises:
            StartError: Keys are not valid, or an address cannot be bound.
        """
        service = GatewayService(
            config, self.make_router, usage, connection_slots, join_peers=self.join_peers
        )
        self.services.append(service)
        try:
            await service.start()
        except InvalidCredentialsError as error:
            log.error("invalid keys or tokens", gateway=config.name, why=str(error))
            raise StartError(BAD_CONFIGURATION) from error
        except OSError as error:
            log.error(
                "listener port already in use"
                if error.errno == errno.EADDRINUSE
                else "listener cannot be opened",
                address=config.door,
                error=str(error),
            )
            raise StartError(ADDRESS_NOT_BOUND) from error
        host, _ = address(config.door)
        log.info("listener open", gateway=config.name, address=f"{host}:{service.port}")
        if self.announce:
            self.announce(config.name, service.port)

    def start_metrics(self, listen_address: str) -> None:
        """Serves metrics of all gateways.

        Raises:
            StartError: The address cannot be bound.
        """
        try:
            serve_metrics(self.services, address(listen_address))
        except OSError as error:
            log.error("metrics listener cannot be opened", address=listen_address, error=str(error))
            raise StartError(ADDRESS_NOT_BOUND) from error

    def handle_signals(self) -> None:
        """Installs the signal handlers and, with `ends_with_stdin`, watches standard input."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.terminate)
        loop.add_signal_handler(signal.SIGHUP, self.reload_configuration)
        if self.ends_with_stdin:
            loop.add_reader(sys.stdin.fileno(), self.stdin_readable)

    # ---- signals
    def terminate(self) -> None:
        """Drains all gateways on the first call, and ends them immediately on any further call."""
        self.termination_count += 1
        for service in self.services:
            if self.termination_count == 1:
                service.drain("the gateway is leaving")
            else:
                service.drain_timed_out()

    def stdin_readable(self) -> None:
        """Ends the process immediately if standard input has ended; discards what is read."""
        if not sys.stdin.buffer.read1(STDIN_CHUNK_BYTES):
            asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
            self.terminate()
            self.terminate()

    def reload_configuration(self) -> None:
        """Reads all configuration files again and applies the settings that need no restart.

        These are limits and keys; a change of other settings is logged as one that needs a restart.
        If any file is invalid, no gateway is changed.
        """
        try:
            configs = [read_config(path) for path in self.paths]
        except Problems as error:
            log.error("new configuration is invalid, keeping the old one", problems=str(error))
            return
        for service, config in zip(self.services, configs, strict=True):
            self.apply_configuration(service, config)

    def apply_configuration(self, service: GatewayService, config: Any) -> None:
        """Applies the limits of a reloaded configuration and checks the key files for changes."""
        service.tls.reload_changed_files(True)
        old = service.config
        if (config.lease, config.door, config.keys) != (old.lease, old.door, old.keys):
            log.warning(
                "configuration changed in settings that need a restart", gateway=config.name
            )
        service.bounds = old.bounds = config.bounds
        config.limits.host_connections = old.limits.host_connections
        config.limits.most_body_bytes = old.limits.most_body_bytes
        service.dispatcher.limits = old.limits = config.limits
        log.info("configuration reloaded", gateway=config.name)


def main(
    paths: Sequence[str],
    make_router: Callable[[Any], Any],
    ends_with_stdin: bool = False,
    announce: Callable[[str, int], None] | None = None,
    join_peers: Callable[..., Any] | None = None,
) -> int:
    """Runs a gateway for each configuration file until a signal ends it; returns the exit code.

    See `Daemon` for the parameters. The problems found in all files are printed to standard error.
    """
    configs, problems = [], []
    for path in paths:
        try:
            configs.append(read_config(path))
        except Problems as error:
            problems.append(str(error))
    if problems:
        print("\n".join(problems), file=sys.stderr)
        return BAD_CONFIGURATION
    daemon = Daemon(paths, make_router, ends_with_stdin, announce, join_peers)
    return uvloop.run(partial(daemon.run, configs)())
