"""One client connection: an HTTP conversation with one request in flight at a time."""

import asyncio
from typing import TYPE_CHECKING, Any

from cherrydoor.admission.chunked_reading import ChunkedReading
from cherrydoor.codecs import invoke
from cherrydoor.gateway.dispatcher import ClientConnection
from cherrydoor.gateway.sockets import has_unread_input, peer_closed
from cherrydoor.platform import client_log
from cherrydoor.protocol import messages as protocol

if TYPE_CHECKING:
    from cherrydoor.platform.client_listener import ClientListener

OK, BAD_GATEWAY, SERVICE_UNAVAILABLE = 200, 502, 503
WRITE_BUFFER_MAX_BYTES = 256 * 1024  # buffered for a client that does not read
# How long a connection that is closed with unread input stays open for reading. If it were closed
# at once, the kernel would send a reset, and the client would lose the last response. The cost is a
# descriptor that stays in use for this time.
CLOSE_READ_TIMEOUT_S = 0.25
# How long a closing connection may take to write what is buffered. A client that reads nothing
# would otherwise keep the connection's descriptor and its output for as long as it likes. The cost
# is that a response is cut off which a client takes longer to read.
CLOSE_WRITE_TIMEOUT_S = 2.0


class ClientProtocol(ChunkedReading, asyncio.BaseProtocol):
    """A client connection; the dispatcher writes responses to it.

    Args:
        listener: Owner of all client connections.
        incoming: Admission's record of this connection.

    Attributes:
        conversation: The HTTP codec, with the pipelined input that it buffers.
        client: The dispatcher's record of this connection.
        awaiting_id: Id of the request that has no response yet; None if there is none.
        awaits_probe: Whether its readiness probe has no answer yet.
        due_ms: When the client of that request stops waiting, in ms of the service's clock.
        messages_read: Complete messages that were read from the connection.
        is_admitted: Whether admission gave the connection a slot.
        closing: Whether the connection is no longer read or written.
        close_timers: Timers that end a closing connection; cancelled once it has ended.
    """

    def __init__(self, listener: "ClientListener", incoming: Any) -> None:
        self.listener = listener
        self.incoming = incoming
        self.loop = listener.service.loop
        self.read_buffer = listener.read_buffer
        self.conversation = invoke.Conversation()
        self.transport: Any = None
        self.closing = False
        self.close_timers: list[asyncio.TimerHandle] = []
        self.client = ClientConnection(self, has_closed=self.has_closed)
        self.awaiting_id: int | None = None
        self.awaits_probe = False
        self.due_ms = 0.0
        self.messages_read = 0
        self.is_admitted = False
        incoming.connection.open = self.client.pending_requests

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attaches the transport to this connection and to admission's record."""
        self.transport = transport
        self.limit_output(0)
        self.listener.connection_made(self)
        self.incoming.protocol_made(self)

    def data_received(self, data: bytes) -> None:
        """Handles one message of the input; what is behind it waits for the next pass.

        The other clients and the replies of hosts would otherwise wait for all that this client has
        sent at once.
        """
        message = None
        if not self.closing:
            message = self.conversation.feed(data)
            self.parsed(message)
        # Parsing may have closed the connection, which drops what was buffered.
        self.report_unfinished_bytes(self.conversation.buffered_bytes, message is not None)
        if self.leaves_input(message):
            self.wait_with_input()

    def leaves_input(self, message: invoke.Call | invoke.Ping | invoke.BadRequest | None) -> bool:
        """Returns whether more input was read than is handled now, given the message just read.

        The rest of an incomplete message is read on at once. Behind a request in flight, and where
        input is dropped, reading goes on by one chunk in each pass: the end of the input shows that
        the client has disconnected.
        """
        if self.closing or self.conversation.pipeline_overflowed:
            return True
        is_behind = message is not None or self.conversation.open
        return is_behind and self.conversation.buffered_bytes > 0

    def parsed(self, message: invoke.Call | invoke.Ping | invoke.BadRequest | None) -> None:
        """Handles a message of the codec; None means that no message is complete."""
        if self.conversation.reply:
            self.transport.write(self.conversation.reply)
            self.conversation.reply = b""
        if isinstance(message, invoke.BadRequest):
            counters = self.listener.service.dispatcher.counters
            counters[f"bad requests: {message.status}"] += 1
            self.respond(message.status, message.reason, close=True)
            return
        if message is None:
            return
        self.messages_read += 1
        if self.listener.admit(self):
            self.listener.message_received(self, message)

    def admitted(self, largest: int) -> None:
        """Records that admission gave this connection a slot."""
        self.is_admitted = True

    def write(self, message: Any) -> None:
        """Writes a response of the dispatcher; the protocol has no form for its other messages."""
        if type(message) is not protocol.Response:
            return
        self.awaiting_id = None
        late_ms = self.listener.service.clock.now() - self.due_ms
        if late_ms > 0:
            client_log.late_response(self.listener.service, message, late_ms)
        if message.outcome != "handled":
            client_log.refusal(self.listener.service, message)
        if message.outcome == "handled":
            self.respond(OK, message.body)
        elif message.outcome == "deferred":
            self.respond(SERVICE_UNAVAILABLE, message.reason, message.retry_after_ms)
        else:
            self.respond(BAD_GATEWAY, message.reason)

    def respond(
        self, status: int, body: bytes | str, retry_after_ms: float = 0.0, close: bool = False
    ) -> None:
        """Writes a response, then reads the pipelined input. No other method writes responses.

        Args:
            status: HTTP status.
            body: The body; text is encoded.
            retry_after_ms: Delay before a retry, rounded up to whole ms; 0 if none is stated.
            close: Whether the connection closes after it; while draining it always does.
        """
        self.awaits_probe = False
        if self.closing or self.transport.is_closing():
            return
        data, closes = self.conversation.answer(
            status,
            body.encode() if isinstance(body, str) else body,
            -int(-retry_after_ms // 1) if retry_after_ms else None,
            close or self.listener.draining,
        )
        self.transport.write(data)
        self.report_output()
        self.incoming.connection.used = self.listener.service.clock.now()
        if closes:
            self.close_when_written()
        elif self.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            self.abort()
        elif self.conversation.buffered_bytes:
            self.wait_with_input()

    def handle_rest(self) -> None:
        """Handles the next message that was read, and reads on where none is left.

        Input behind a response waits until that is sent: a client that reads nothing gets no
        further ones, which would pile up here.
        """
        if self.transport is None or self.output_waits and not self.closing:
            return
        conversation = self.conversation
        if not self.closing and not conversation.open and conversation.buffered_bytes:
            self.data_received(b"")
        if not self.rest_scheduled:
            self.continue_input()

    def resume_writing(self) -> None:
        """Handles the input that waited for the response to be sent."""
        super().resume_writing()
        if self.input_waits:
            self.schedule_rest()

    def has_closed(self) -> bool:
        """Whether the client has closed, even if the event loop has not read that yet."""
        return self.closing or bool(peer_closed(self.transport))

    def has_unread(self) -> bool:
        """Whether the kernel has input of this connection that has not been read."""
        return bool(has_unread_input(self.transport))

    def is_idle(self) -> bool:
        """Whether the connection stays open with no request in flight, incomplete or unread."""
        return (
            not self.conversation.open
            and not self.conversation.buffered_bytes
            and not self.closing
            and not self.has_unread()
        )

    def close_when_written(self) -> None:
        """Closes once everything is written.

        If there is unread input, closing the socket would make the kernel send a reset, which
        discards the response on its way. In that case only the sending side is closed, and the
        client's side is read for CLOSE_READ_TIMEOUT_S.
        """
        if self.closing:
            return
        self.closing = True
        loop = self.listener.service.loop
        self.close_timers.append(loop.call_later(CLOSE_WRITE_TIMEOUT_S, self.transport.abort))
        if self.conversation.failed or not self.has_unread():
            self.transport.close()
        elif self.transport.can_write_eof():
            self.transport.write_eof()
            self.close_timers.append(loop.call_later(CLOSE_READ_TIMEOUT_S, self.transport.close))
        self.conversation.release()

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Closes at admission's request; with a reason, a 503 response is sent if possible.

        A request that was passed to the dispatcher keeps the connection open until the dispatcher's
        own response, because a 503 response would promise that the request has had no effect, and
        an attempt may be running. A client that has not read its last response gets no other one.
        """
        if reason and not self.closing:
            client_log.closing(self, reason)
        if self.awaiting_id is not None and not self.closing:
            self.conversation.close_after_response()
            return
        if self.output_waits:
            self.abort()
        if reason:
            self.respond(SERVICE_UNAVAILABLE, reason, retry_after_ms, close=True)
        if not self.closing:
            self.close_when_written()

    def abort(self) -> None:
        """Closes at once."""
        self.closing = True
        self.transport.abort()

    def eof_received(self) -> bool:
        """Notifies the dispatcher at once, because connection_lost comes one tick later."""
        self.listener.client_closed(self)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the listener that the connection has ended."""
        self.closing = True
        for timer in self.close_timers:
            timer.cancel()
        self.close_timers.clear()
        self.listener.connection_lost(self)

    def release(self) -> None:
        """Drops what the connection held, and its reference cycles, once it has ended.

        It is then freed without the garbage collector, which may not run for long, however much
        input was buffered.
        """
        self.awaits_probe = False
        self.incoming.release()
        self.client.release()
        self.conversation.release()
        self.transport = None
        self.incoming = None  # type: ignore[assignment]
