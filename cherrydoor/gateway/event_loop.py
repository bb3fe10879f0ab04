"""How a gateway service drives its dispatcher on the event loop, and how it connects to hosts.

The daemon and the platform's gateway share this module; it imports nothing that the platform does
without.
"""

import asyncio
import time
from collections.abc import Callable
from math import ceil
from typing import Any

from cherrydoor.admission.listener import NO_DESCRIPTORS
from cherrydoor.gateway.sockets import after_input

# Time until a connection that found no descriptor is tried again: a close takes effect in the
# loop's next pass.
DESCRIPTOR_RETRY_S = 0.002


def address(text: str) -> tuple[str, int]:
    """Splits `127.0.0.1:4000` or `[::1]:4000` into host and port.

    Raises:
        ValueError: The text names no port.
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Clock:
    """Unix time in ms as of the start, from then on by the monotonic clock: it never goes back.

    Attributes:
        ahead: What is added to the monotonic time, in ms.
    """

    def __init__(self) -> None:
        """Reads the system's time once."""
        self.ahead = time.time() * 1000 - time.monotonic() * 1000

    def now(self) -> float:
        """The time in ms since 1970."""
        return time.monotonic() * 1000 + self.ahead


class TickingService:
    """Runs a dispatcher in ticks: all callbacks of one pass of the event loop share one.

    A subclass sets `dispatcher` and implements `restart`.
    """

    dispatcher: Any

    def __init__(self, clock: Any) -> None:
        """Binds the service to the running loop.

        Args:
            clock: Gives the time in ms as `now()`.
        """
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at_ms = 0.0
        self.tick_scheduled = False

    def post(self, handler: Callable[..., object], *arguments: Any) -> None:
        """Queues a call of a dispatcher's method for the next tick."""
        if self.dispatcher.post(handler, *arguments):
            self.schedule_tick()

    def schedule_tick(self) -> None:
        """Schedules a tick for when all input that is ready has been read.

        A client's close that came with its request, or while the process was suspended, is then
        known before anything is sent to a host for it.
        """
        if not self.tick_scheduled:
            self.tick_scheduled = True
            after_input(self.loop, self.tick)

    def tick(self) -> None:
        """Runs the dispatcher once; a fault in it restarts the service."""
        self.tick_scheduled = False
        try:
            self.dispatcher.tick(self.clock.now())
        except Exception:
            self.restart()
        self.set_timer()
        self.after_tick()

    def after_tick(self) -> None:
        """Called at the end of each tick; does nothing unless overridden."""

    def restart(self) -> None:
        """Called within the handler of an exception that the dispatcher raised."""
        raise NotImplementedError

    def set_timer(self) -> None:
        """Arranges a tick for when the dispatcher's next timer falls due."""
        timer_at_ms = self.dispatcher.next_timer_ms()
        if self.timer is not None:
            if self.timer_at_ms == timer_at_ms:
                return
            self.timer.cancel()
        self.timer_at_ms = timer_at_ms
        # Whole ms, rounded up: a fraction would be rounded down to none, and the loop would spin
        # until it had passed.
        delay_ms = max(0, ceil(timer_at_ms - self.clock.now()))
        self.timer = self.loop.call_later(delay_ms / 1000, self.timer_fired)

    def timer_fired(self) -> None:
        """Schedules the tick that runs the timers which are due."""
        self.timer = None
        self.schedule_tick()

    def stop_timer(self) -> None:
        """Cancels the pending timer, if there is one."""
        if self.timer:
            self.timer.cancel()


async def open_connection(
    listeners: Any,
    make_protocol: Callable[[], Any],
    host: str,
    port: int,
    tls: Any = None,
) -> tuple[Any, Any]:
    """Connects; where no descriptor is free the listeners are asked for one, and it tries again.

    Args:
        listeners: The service's listener set.
        make_protocol: Makes the asyncio protocol of the connection.
        host: Address to connect to.
        port: Port to connect to.
        tls: SSL context; None connects in plain TCP.

    Raises:
        OSError: The connection failed for another reason than a lack of descriptors.
    """
    while True:
        try:
            return await asyncio.get_running_loop().create_connection(
                make_protocol, host, port, ssl=tls
            )
        except OSError as error:
            if error.errno not in NO_DESCRIPTORS:
                raise
            listeners.needs_descriptor()
            await asyncio.sleep(DESCRIPTOR_RETRY_S)


async def dial(
    service: Any,
    connection: Any,
    where: str,
    make_protocol: Callable[[], Any],
    tls: Any = None,
) -> None:
    """Connects to a host within the connect timeout; the dispatcher is notified of a failure."""
    try:
        async with asyncio.timeout(service.dispatcher.limits.connect / 1000):
            host, port = address(where)
            await open_connection(service.listeners, make_protocol, host, port, tls)
    except (TimeoutError, OSError, ValueError):
        service.post(service.dispatcher.connection_lost, connection)
