"""What ends of connections that were let in share: reading in chunks, and how much unfinished input they hold."""

import asyncio
from typing import Any

from cherrydoor.admission import decide as d
from cherrydoor.admission.listener import Arrival

CHUNK = 16 * 1024  # bytes read from one client in one pass, so that all have their turn


class Read(asyncio.BaseProtocol):
    """What an end that was let in shares, on a protocol that reads in chunks. A subclass has `arrival` and take(data),
    which gives how many bytes of an unfinished frame are held."""

    arrival: Arrival
    chunk: bytearray
    transport: Any
    resting = False

    def data_received(self, data):
        raise NotImplementedError

    def get_buffer(self, hint):
        return memoryview(self.chunk)

    def buffer_updated(self, count):
        caller = self.arrival.caller
        self.data_received(bytes(memoryview(self.chunk)[:count]))
        caller.used = self.arrival.listeners.clock.now()

    def holds(self, size, finished):
        """Keeps count of what is unfinished; the guard is told where the group holds too much."""
        caller = self.arrival.caller
        if size and (finished or not caller.partial):
            caller.partial = self.arrival.listeners.clock.now()
        elif not size:
            caller.partial = 0.0
        group = caller.group
        if group is not None:
            more, caller.held = size - caller.held, size
            if more and group.holds(more) and more > 0:
                self.arrival.listeners.post(d.Swollen(caller))

    def pause(self):
        if not self.resting and not self.transport.is_closing():
            self.resting = True
            self.transport.pause_reading()

    def resume(self):
        if self.resting and not self.transport.is_closing():
            self.resting = False
            self.transport.resume_reading()
