"""What ends of connections that were let in share: reading in chunks, and how much unfinished input they hold."""

import asyncio
from typing import Any

from cherrydoor.admission import decide as d
from cherrydoor.admission.listener import IncomingConnection

CHUNK_BYTES = 16 * 1024  # bytes read from one client in one pass, so that all have their turn


class ChunkedReading(asyncio.BaseProtocol):
    """What an end that was let in shares, on a protocol that reads in chunks. A subclass has `arrival` and take(data),
    which gives how many bytes of an unfinished frame are held."""

    arrival: IncomingConnection
    chunk: bytearray
    transport: Any
    resting = False

    def data_received(self, data):
        raise NotImplementedError

    def get_buffer(self, hint):
        return memoryview(self.chunk)

    def buffer_updated(self, count):
        connection = self.arrival.connection
        self.data_received(bytes(memoryview(self.chunk)[:count]))
        connection.used = self.arrival.listeners.clock.now()

    def holds(self, size, finished):
        """Keeps count of what is unfinished; the guard is told where the group holds too much."""
        connection = self.arrival.connection
        if size and (finished or not connection.partial):
            connection.partial = self.arrival.listeners.clock.now()
        elif not size:
            connection.partial = 0.0
        group = connection.group
        if group is not None:
            more, connection.held = size - connection.held, size
            if more and group.holds(more) and more > 0:
                self.arrival.listeners.post(d.BufferLimitExceeded(connection))

    def pause(self):
        if not self.resting and not self.transport.is_closing():
            self.resting = True
            self.transport.pause_reading()

    def resume(self):
        if self.resting and not self.transport.is_closing():
            self.resting = False
            self.transport.resume_reading()
