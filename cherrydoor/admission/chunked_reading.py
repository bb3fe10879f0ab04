"""Base class of client protocols: reads in chunks, and counts the bytes held for the client."""

import asyncio
from typing import Any

from cherrydoor.admission.incoming_connection import IncomingConnection
from cherrydoor.admission.messages import BufferLimitExceeded
from cherrydoor.gateway.sockets import after_input

CHUNK_BYTES = 16 * 1024  # read at most from one client in one event loop pass, for fairness


class ChunkedReading(asyncio.BaseProtocol):
    """Base class of the buffered protocols of client connections.

    A subclass sets `incoming`, `loop`, `read_buffer` and `transport`, defines data_received(data),
    and calls report_unfinished_bytes() with the size of its unfinished frame. It calls
    limit_output() in connection_made(), and report_output() after each write. Where it leaves input
    unhandled, it calls wait_with_input(), and handle_rest() is called in the next pass of the event
    loop.

    Attributes:
        incoming: The connection's I/O side in admission.
        loop: The event loop that calls handle_rest().
        read_buffer: The buffer that the event loop reads into. Connections may share it, as the
            data is copied out immediately.
        transport: The transport, from connection_made() on.
        reading_paused: Whether admission has paused reading.
        input_waits: Whether reading waits until the input that was read before is handled.
        rest_scheduled: Whether a call of handle_rest() is scheduled.
        output_waits: Whether the client has not read all that was written, beyond the limit that
            limit_output() has set.
        input_bytes: Bytes of input that is not handled yet.
        output_bytes: Bytes of output that is not sent yet; 0 unless `output_waits`.
    """

    incoming: IncomingConnection
    loop: Any
    read_buffer: bytearray
    transport: Any
    reading_paused = False
    input_waits = False
    rest_scheduled = False
    output_waits = False
    input_bytes = 0
    output_bytes = 0

    def data_received(self, data: bytes) -> Any:
        """Handles the bytes that were read."""
        raise NotImplementedError

    def handle_rest(self) -> None:
        """Handles some of the input that waits; calls continue_input() once none is left."""
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
        """Records the unfinished frame, and what is held with it.

        Args:
            size: Bytes of the unfinished frame; 0 if there is none.
            finished: Truthy if a frame was completed since the last call.
        """
        connection = self.incoming.connection
        if size and (finished or not connection.partial):
            connection.partial = self.incoming.listeners.clock.now()
        elif not size:
            connection.partial = 0.0
        if size or self.input_bytes:
            self.input_bytes = size
            self._report_held_bytes()

    def limit_output(self, unreported_bytes: int) -> None:
        """Sets how many bytes of output may wait to be sent without being reported as held."""
        self.transport.set_write_buffer_limits(high=unreported_bytes, low=0)

    def pause_writing(self) -> None:
        """Called by the transport once more output waits than limit_output() allows."""
        self.output_waits = True
        self.report_output()

    def resume_writing(self) -> None:
        """Called by the transport once all output is sent."""
        self.output_waits = False
        self.output_bytes = 0
        self._report_held_bytes()

    def report_output(self) -> None:
        """Records how much output waits to be sent."""
        if self.output_waits:
            self.output_bytes = self.transport.get_write_buffer_size()
            self._report_held_bytes()

    def _report_held_bytes(self) -> None:
        """Records what is held for the client, and reports if its group is above its limit."""
        connection = self.incoming.connection
        if connection.hold(self.input_bytes + self.output_bytes):
            self.incoming.listeners.post(BufferLimitExceeded(connection))

    def pause(self) -> None:
        """Stops reading until resume(), as admission has decided."""
        if not self.reading_paused:
            self.reading_paused = True
            self._pause_transport(not self.input_waits)

    def resume(self) -> None:
        """Resumes reading, as admission has decided; input that waits is handled first."""
        if self.reading_paused:
            self.reading_paused = False
            self._resume_transport(not self.input_waits)
            if self.input_waits:
                self.schedule_rest()

    def wait_with_input(self) -> None:
        """Stops reading until the input that was read before is handled.

        Otherwise a client that sends faster than its messages are handled makes its input pile up,
        and each pass of the event loop reads more of it.
        """
        if not self.input_waits:
            self.input_waits = True
            self._pause_transport(not self.reading_paused)
        self.schedule_rest()

    def schedule_rest(self) -> None:
        """Has handle_rest() called after the next tick, once, however often this is called before.

        If each message scheduled a call, the messages handled in a pass would grow without bound.
        """
        if not self.rest_scheduled:
            self.rest_scheduled = True
            after_input(self.loop, self._run_rest)

    def _run_rest(self) -> None:
        self.rest_scheduled = False
        if not self.reading_paused:
            self.handle_rest()

    def continue_input(self) -> None:
        """Resumes reading, as the input that was read before is handled."""
        if self.input_waits:
            self.input_waits = False
            self._resume_transport(not self.reading_paused)

    def _pause_transport(self, is_reading: bool) -> None:
        if is_reading and not self.transport.is_closing():
            self.transport.pause_reading()

    def _resume_transport(self, may_read: bool) -> None:
        if may_read and not self.transport.is_closing():
            self.transport.resume_reading()
