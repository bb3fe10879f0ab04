"""Base class of client protocols: reads in chunks, and counts the bytes of unfinished frames."""

import asyncio
from typing import Any

from cherrydoor.admission.incoming_connection import IncomingConnection
from cherrydoor.admission.messages import BufferLimitExceeded

CHUNK_BYTES = 16 * 1024  # read at most from one client in one event loop pass, for fairness


class ChunkedReading(asyncio.BaseProtocol):
    """Base class of the buffered protocols of client connections.

    A subclass sets `incoming`, `read_buffer` and `transport`, defines data_received(data), and
    calls report_unfinished_bytes() with the size of its unfinished frame.

    Attributes:
        incoming: The connection's I/O side in admission.
        read_buffer: The buffer that the event loop reads into. Connections may share it, as the
            data is copied out immediately.
        transport: The transport, from connection_made() on.
        reading_paused: Whether reading is paused.
    """

    incoming: IncomingConnection
    read_buffer: bytearray
    transport: Any
    reading_paused = False

    def data_received(self, data: bytes) -> Any:
        """Handles the bytes that were read."""
        raise NotImplementedError

    def get_buffer(self, hint: int) -> memoryview:
        """Returns the buffer that the event loop reads into."""
        return memoryview(self.read_buffer)

    def buffer_updated(self, count: int) -> None:
        """Passes on the `count` bytes that the event loop has read into the buffer."""
        connection = self.incoming.connection
        self.data_received(bytes(memoryview(self.read_buffer)[:count]))
        connection.used = self.incoming.listeners.clock.now()

    def report_unfinished_bytes(self, size: int, finished: Any) -> None:
        """Records the unfinished frame, and reports if its group is above its limit.

        Args:
            size: Bytes of the unfinished frame; 0 if there is none.
            finished: Truthy if a frame was completed since the last call.
        """
        connection = self.incoming.connection
        if size and (finished or not connection.partial):
            connection.partial = self.incoming.listeners.clock.now()
        elif not size:
            connection.partial = 0.0
        group = connection.group
        if group is None:
            return
        change = size - connection.held
        connection.held = size
        if change and group.add_held_bytes(change) and change > 0:
            self.incoming.listeners.post(BufferLimitExceeded(connection))

    def pause(self) -> None:
        """Stops reading until resume()."""
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self.reading_paused and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()
