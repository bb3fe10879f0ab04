"""One client connection: an HTTP conversation with one request in flight at a time."""

import asyncio
from typing import TYPE_CHECKING, Any

from cherrydoor.admission.chunked_reading import ChunkedReading
from cherrydoor.codecs import invoke
from cherrydoor.gateway.dispatcher import ClientConnection
from cherrydoor.gateway.sockets import has_unread_input, peer_closed
from cherrydoor.protocol import messages as protocol

if TYPE_CHECKING:
    from cherrydoor.platform.client_listener import ClientListener

OK, BAD_GATEWAY, SERVICE_UNAVAILABLE = 200, 502, 503
WRITE_BUFFER_MAX_BYTES = 256 * 1024  # that may wait for a client that does not read
# For how long a connection that is closed over unread input is still read. Guards the last
# response, which a reset would destroy; harms by keeping a descriptor for that long.
CLOSE_READ_TIMEOUT_S = 0.25


class ClientProtocol(ChunkedReading, asyncio.BaseProtocol):
    """A client connection, and what the dispatcher writes responses to.

    Args:
        listener: Owner of all client connections.
        arrival: Admission's record of this connection.

    Attributes:
        conversation: The HTTP codec, with what is pipelined.
        client: The dispatcher's record of this connection.
        awaiting_id: Id of the request that a response is owed for.
        is_admitted: Whether admission gave it a connection slot.
        closing: Whether nothing more is read or written.
    """

    def __init__(self, listener: "ClientListener", arrival: Any) -> None:
        self.listener = listener
        self.arrival = arrival
        self.chunk = listener.chunk
        self.conversation = invoke.Conversation()
        self.transport: Any = None
        self.closing = False
        self.client = ClientConnection(self, has_closed=self.has_closed)
        self.awaiting_id: int | None = None
        self.is_admitted = False
        arrival.connection.open = self.client.open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Joins the transport with admission's record."""
        self.arrival.end = self
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Reads on; admission is told how much of an incomplete request is held."""
        if not self.closing:
            self.parsed(self.conversation.feed(data))
            self.holds(self.conversation.buffered_bytes, False)

    def parsed(self, message: invoke.Call | invoke.Ping | invoke.BadRequest | None) -> None:
        """Handles what the codec made of the input; None where nothing is complete."""
        if self.conversation.reply:
            self.transport.write(self.conversation.reply)
            self.conversation.reply = b""
        if isinstance(message, invoke.BadRequest):
            counters = self.listener.service.dispatcher.counters
            counters[f"bad requests: {message.status}"] += 1
            self.respond(message.status, message.reason, close=True)
        elif message is not None and self.listener.admit(self):
            self.listener.message_received(self, message)

    def admitted(self, largest: int) -> None:
        """Notes that admission gave this connection a slot."""
        self.is_admitted = True

    def write(self, message: Any) -> None:
        """Writes a response of the dispatcher; its other messages have no form on this wire."""
        if type(message) is not protocol.Response:
            return
        self.awaiting_id = None
        if message.outcome != "handled":
            self.log_refusal(message)
        if message.outcome == "handled":
            self.respond(OK, message.body)
        elif message.outcome == "deferred":
            self.respond(SERVICE_UNAVAILABLE, message.reason, message.retry_after_ms)
        else:
            self.respond(BAD_GATEWAY, message.reason)

    def log_refusal(self, response: protocol.Response) -> None:
        """Logs the id of a request without a result, and how its attempts ended."""
        self.listener.service.log.write_limited(
            "request refused" if response.outcome == "deferred" else "request failed",
            request=f"{response.id:016x}",
            reason=response.reason,
            retry_after_ms=round(response.retry_after_ms),
        )

    def respond(
        self, status: int, body: bytes | str, retry_after_ms: float = 0.0, close: bool = False
    ) -> None:
        """Writes a response, the one place that does; then what was pipelined is read.

        Args:
            status: HTTP status.
            body: The body; text is encoded.
            retry_after_ms: When the client may come back, rounded up to whole ms; 0 for unstated.
            close: Whether the connection closes, as it does with each response while draining.
        """
        if self.closing or self.transport.is_closing():
            return
        data, last = self.conversation.answer(
            status,
            body.encode() if isinstance(body, str) else body,
            -int(-retry_after_ms // 1) if retry_after_ms else None,
            close or self.listener.draining,
        )
        self.transport.write(data)
        self.arrival.connection.used = self.listener.service.clock.now()
        if last:
            self.close_when_written()
        elif self.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            self.abort()
        elif self.conversation.buffered_bytes:
            self.listener.service.loop.call_soon(self.read_pipelined)

    def read_pipelined(self) -> None:
        """Reads what was pipelined behind the request that has its response."""
        if not self.closing and not self.conversation.open:
            self.data_received(b"")

    def has_closed(self) -> bool:
        """Whether the client has closed, though that has not been read yet."""
        return self.closing or bool(peer_closed(self.transport))

    def has_unread(self) -> bool:
        """Whether the kernel holds input that has not been read."""
        return bool(has_unread_input(self.transport))

    def is_idle(self) -> bool:
        """Whether no request is in flight, incomplete or unread, and no close has begun."""
        return (
            not self.conversation.open
            and not self.conversation.buffered_bytes
            and not self.closing
            and not self.has_unread()
        )

    def close_when_written(self) -> None:
        """Closes once all is written.

        Over unread input the kernel would answer with a reset that destroys what was written:
        then our side alone closes, and the client's is read to its end for a moment.
        """
        self.closing = True
        if self.conversation.failed or not self.has_unread():
            self.transport.close()
        elif self.transport.can_write_eof():
            self.transport.write_eof()
            loop = self.listener.service.loop
            loop.call_later(CLOSE_READ_TIMEOUT_S, self.transport.close)

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Closes at admission's request, with a response where one can be given."""
        if reason:
            self.respond(SERVICE_UNAVAILABLE, reason, retry_after_ms, close=True)
        if not self.closing:
            self.close_when_written()

    def abort(self) -> None:
        """Closes at once."""
        self.closing = True
        self.transport.abort()

    def eof_received(self) -> bool:
        """Notifies the dispatcher at once: the connection's end itself comes a tick later."""
        self.listener.client_closed(self)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the owner that the connection has ended."""
        self.closing = True
        self.listener.connection_lost(self)

    def release(self) -> None:
        """Cuts all references back to this connection, so that it is freed without collection."""
        self.arrival.end = None
        self.arrival.task = None
        self.arrival.connection.wire = None
        self.transport = None
        self.client.wire = None
        self.arrival = None  # type: ignore[assignment]
