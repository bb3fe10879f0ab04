"""The base of client protocols: reads in chunks, and counts unfinished input."""

import asyncio
from typing import Any

from cherrydoor.admission.incoming_connection import IncomingConnection
from cherrydoor.admission.messages import BufferLimitExceeded

CHUNK_BYTES = 16 * 1024  # read from one client in one pass, so that all have their turn


class ChunkedReading(asyncio.BaseProtocol):
    """A base of buffered protocols for client connections.

    A subclass sets `arrival`, `chunk` and `transport`, defines data_received(data), and calls
    holds() with the bytes of its unfinished frame.

    Attributes:
        arrival: The connection on the side of admission.
        chunk: The buffer that is read into; it may be shared, as what is read is copied out at
            once.
        reading_paused: Reading is paused.
    """

    arrival: IncomingConnection
    chunk: bytearray
    transport: Any
    reading_paused = False

    def data_received(self, data: bytes) -> Any:
        """Takes what was read."""
        raise NotImplementedError

    def get_buffer(self, hint: int) -> memoryview:
        """Where the event loop reads into."""
        return memoryview(self.chunk)

    def buffer_updated(self, count: int) -> None:
        """The event loop has read so many bytes."""
        connection = self.arrival.connection
        self.data_received(bytes(memoryview(self.chunk)[:count]))
        connection.used = self.arrival.listeners.clock.now()

    def holds(self, size: int, finished: Any) -> None:
        """Counts unfinished input, and reports where the group holds too much.

        Args:
            size: Bytes of the unfinished frame.
            finished: Truthy where a frame was completed since the last call.
        """
        connection = self.arrival.connection
        if size and (finished or not connection.partial):
            connection.partial = self.arrival.listeners.clock.now()
        elif not size:
            connection.partial = 0.0
        group = connection.group
        if group is None:
            return
        change = size - connection.held
        connection.held = size
        if change and group.add_held_bytes(change) and change > 0:
            self.arrival.listeners.post(BufferLimitExceeded(connection))

    def pause(self) -> None:
        """Reads nothing more for now."""
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self.reading_paused and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()
