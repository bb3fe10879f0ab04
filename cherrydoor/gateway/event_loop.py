"""The turn of one gateway on its loop, and dialling a host: what every shell around a desk shares."""

import asyncio
import time
from math import ceil
from typing import Any

from cherrydoor.admission.listener import NO_DESCRIPTORS
from cherrydoor.gateway.sockets import after_input


def address(text):
    """'127.0.0.1:4000' or '[::1]:4000' as host and port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class Clock:
    """Ms since 1970 at the start, from there on by the monotonic clock: it never goes back."""

    def __init__(self):
        self.ahead = time.time() * 1000 - time.monotonic() * 1000

    def now(self):
        return time.monotonic() * 1000 + self.ahead


class TickingService:
    """All callbacks of one pass of the loop share a turn of the desk. A subclass has a desk."""

    dispatcher: Any

    def __init__(self, clock):
        self.clock, self.loop = clock, asyncio.get_running_loop()
        self.timer, self.timer_at, self.asked = None, 0.0, False

    def post(self, what, *args):
        if self.dispatcher.post(what, *args):
            self.schedule_tick()

    def schedule_tick(self):
        """A turn, once all input that is ready has been read: a client's close that came with its event, or while the
        process stood still, is known before anything is launched for it."""
        if not self.asked:
            self.asked = True
            after_input(self.loop, self.tick)

    def tick(self):
        self.asked = False
        try:
            self.dispatcher.tick(self.clock.now())
        except Exception:
            self.restart()
        self.set_timer()
        self.after_tick()

    def after_tick(self):
        """After each turn."""

    def restart(self):
        raise NotImplementedError

    def set_timer(self):
        at = self.dispatcher.next_timer_ms()
        if self.timer is not None:
            if self.timer_at == at:
                return
            self.timer.cancel()
        self.timer_at = at
        # whole ms, upwards: a shorter wait would be rounded to none, and the loop would turn until the time came
        self.timer = self.loop.call_later(
            max(0, ceil(at - self.clock.now())) / 1000, self.timer_fired
        )

    def timer_fired(self):
        self.timer = None
        self.schedule_tick()

    def stop_timer(self):
        if self.timer:
            self.timer.cancel()


async def open_connection(listeners, make, host, port, seal=None):
    """Connects. A lack of descriptors is told to the doors, and the connection waits for what they let go."""
    while True:
        try:
            return await asyncio.get_running_loop().create_connection(make, host, port, ssl=seal)
        except OSError as error:
            if error.errno not in NO_DESCRIPTORS:
                raise
            listeners.needs_descriptor()
            await asyncio.sleep(0.002)  # the closing takes effect in the loop's next pass


async def dial(service, link, where, make, seal=None):
    """Connects to a host within the time for it; the desk is told where that fails."""
    try:
        async with asyncio.timeout(service.dispatcher.limits.connect / 1000):
            host, port = address(where)
            await open_connection(service.listeners, make, host, port, seal)
    except (TimeoutError, OSError, ValueError):
        service.post(service.dispatcher.connection_lost, link)
