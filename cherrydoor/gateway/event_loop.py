"""Runs a gateway's dispatcher on the event loop, and connects to hosts.

The daemon and the platform's gateway share this module, so it must not import anything that the
platform does not have.
"""

import asyncio
import time
from collections.abc import Callable
from math import ceil
from typing import Any

from cherrydoor.admission.listener import DESCRIPTOR_ERRNOS
from cherrydoor.admission.memory_shares import MemoryShares
from cherrydoor.dialing import connect
from cherrydoor.gateway.loop_delay import REPORTED_DELAY_MS, LoopDelay
from cherrydoor.gateway.sockets import after_input

# Delay before a connection that found no free descriptor is tried again; a closed connection frees
# its descriptor in the event loop's next iteration.
DESCRIPTOR_RETRY_S = 0.002


def address(text: str) -> tuple[str, int]:
    """Splits `127.0.0.1:4000` or `[::1]:4000` into host and port.

    Raises:
        ValueError: The text contains no valid port.
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Clock:
    """Unix time in ms, read once at the start and advanced by the monotonic clock.

    It never goes back.

    Attributes:
        offset_ms: Added to the monotonic time.
    """

    def __init__(self) -> None:
        """Reads the system time, which is not read again."""
        self.offset_ms = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """Returns the Unix time in ms."""
        return time.monotonic() * 1000 + self.offset_ms


class TickingService:
    """Runs a dispatcher in ticks; all callbacks of one event loop iteration share one tick.

    A subclass sets `dispatcher` and `listeners`, and implements `restart`.

    Attributes:
        loop_delay: How long inputs wait for their tick.
    """

    dispatcher: Any
    listeners: Any

    def __init__(self, clock: Any) -> None:
        """Binds the service to the running loop.

        Args:
            clock: Returns the time in ms from `now()`.
        """
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at_ms = 0.0
        self.tick_scheduled = False
        self.loop_delay = LoopDelay()

    def post(self, handler: Callable[..., object], *arguments: Any) -> None:
        """Queues a call of a dispatcher method for the next tick."""
        if self.dispatcher.post(handler, *arguments):
            self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedules a tick for when all available input has been read.

        If a client closed right after its request, or while the process was suspended, the close is
        then known before an attempt is sent to a host.
        """
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.loop_delay.tick_scheduled(self.clock.now())
            after_input(self.loop, self.tick)

    def tick(self) -> None:
        """Runs the dispatcher once; a fault in it restarts the service."""
        self.tick_scheduled = False
        now_ms = self.clock.now()
        delay_ms = self.loop_delay.tick_began(now_ms)
        if delay_ms > REPORTED_DELAY_MS:
            self.dispatcher.counters["ticks delayed over 50 ms"] += 1
            self.tick_delayed(delay_ms)
        try:
            self.dispatcher.tick(now_ms)
        except Exception:
            self.restart()
        self.set_timer()
        self.after_tick()

    def tick_delayed(self, delay_ms: float) -> None:
        """Called before a tick whose inputs waited too long; does nothing unless overridden."""

    def after_tick(self) -> None:
        """Called at the end of each tick; does nothing unless overridden."""

    def restart(self) -> None:
        """Called from the exception handler when the dispatcher has raised."""
        raise NotImplementedError

    def set_timer(self) -> None:
        """Schedules a tick for when the dispatcher's next timer is due."""
        timer_at_ms = self.dispatcher.next_timer_ms()
        if self.timer is not None:
            if self.timer_at_ms == timer_at_ms:
                return
            self.timer.cancel()
        self.timer_at_ms = timer_at_ms
        # Rounded up to whole ms: the event loop rounds a fraction of a ms down to 0 and would spin
        # until the timer is due.
        delay_ms = max(0, ceil(timer_at_ms - self.clock.now()))
        self.timer = self.loop.call_later(delay_ms / 1000, self.timer_fired)

    def timer_fired(self) -> None:
        """Schedules the tick that runs the timers which are due."""
        self.timer = None
        self.schedule_tick()

    def free_descriptor(self) -> None:
        """Closes a connection for another one that found no descriptor; called within a tick.

        An idle connection to a host goes first: it costs a connect later, and a client would have
        to come again.
        """
        if not self.dispatcher.connections.close_longest_idle():
            self.listeners.free_descriptor()

    def limit_memory(self, listeners: Any, usage: Any) -> MemoryShares:
        """Bounds what is held for clients, once the process uses what it needs without them.

        Args:
            listeners: Admission control of the gateway.
            usage: Measures the process's memory, and knows its limit.

        Returns:
            The shares; those for held bytes and bodies are in force from now on.
        """
        shares: MemoryShares = listeners.controller.set_memory(
            usage.memory_limit_bytes, usage.resident_bytes()
        )
        self.dispatcher.limits.most_body_bytes = shares.bodies
        return shares

    def stop_timer(self) -> None:
        """Cancels the pending timer, if there is one."""
        if self.timer:
            self.timer.cancel()


async def open_connection(
    service: TickingService,
    make_protocol: Callable[[], Any],
    host: str,
    port: int,
    tls: Any = None,
) -> tuple[Any, Any]:
    """Connects; if no descriptor is free, has the service free one and tries again.

    Args:
        service: The gateway's service.
        make_protocol: Makes the asyncio protocol of the connection.
        host: Address to connect to.
        port: Port to connect to.
        tls: SSL context; None connects over plain TCP.

    Raises:
        OSError: The connection failed for a reason other than a lack of descriptors.
    """
    while True:
        try:
            return await connect(make_protocol, host, port, tls)
        except OSError as error:
            if error.errno not in DESCRIPTOR_ERRNOS:
                raise
            service.post(service.free_descriptor)
            await asyncio.sleep(DESCRIPTOR_RETRY_S)


async def dial(
    service: Any,
    connection: Any,
    host_address: str,
    make_protocol: Callable[[], Any],
    tls: Any = None,
) -> None:
    """Connects to a host within the connect timeout; notifies the dispatcher of a failure."""
    try:
        async with asyncio.timeout(service.dispatcher.limits.connect / 1000):
            host, port = address(host_address)
            await open_connection(service, make_protocol, host, port, tls)
    except (TimeoutError, OSError, ValueError):
        service.post(service.dispatcher.connection_lost, connection)
