"""A framed connection on asyncio, which decodes messages and passes them to its owner.

The gateway and all test doubles use it. It handles frames, the opening hello and the closing
go-away, and does not interpret other messages.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any, Protocol, TypeVar

from cherrydoor.dialing import DialedProtocol
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

# Unsent bytes above which the connection to a slow peer is aborted, so that no peer can exhaust the
# memory of the process.
MAX_WRITE_BUFFER_BYTES = 32 * 2**20
# Time for the peer's hello to arrive; a connection without one is useless and holds a descriptor.
HELLO_TIMEOUT_S = 5.0
# How long a closing connection may take to send what is buffered. A peer that reads nothing would
# otherwise keep its descriptor and its output. The cost is that a peer which takes longer to read
# loses the rest.
CLOSE_WRITE_TIMEOUT_S = 5.0
# Longer close reasons are truncated before they are sent to the peer.
MAX_REASON_CHARACTERS = 1000

Element = TypeVar("Element")


class OrderedSet(dict[Element, None]):
    """A set that iterates in insertion order, so that behaviour is independent of addresses."""

    def add(self, element: Element) -> None:
        """Adds an element; an element that is already present keeps its position."""
        self[element] = None

    def discard(self, element: Element) -> None:
        """Removes an element if it is present."""
        self.pop(element, None)


class ConnectionOwner(Protocol):
    """Methods that a `FramedConnection` calls on its owner."""

    def hello_received(self, connection: Any, hello: Any) -> None:
        """Called with the peer's hello, which is always its first message."""

    def message_received(self, connection: Any, message: Any) -> None:
        """Called with each message after the hello."""

    def connection_ended(self, connection: Any) -> None:
        """Called once the connection has ended, with its reason in `connection.close_reason`."""


class FramedConnection(DialedProtocol):
    """An asyncio protocol that reads and writes frames.

    Attributes:
        owner: Notified of the hello, of messages and of the connection's end.
        reader: Decodes input; holds the peer's hello.
        unhandled: Messages that were read and not yet passed to the owner.
        reading_paused: Whether reading is paused; a subclass sets it.
        messages_allowed: Messages that may still be passed on; a subclass that sets it resets it.
        body_bytes_allowed: The same for the bytes of their bodies; the last one may exceed it.
        transport: The asyncio transport; None until the connection is made.
        close_timer: Ends a closing connection whose peer does not read; None without one.
        close_reason: Why the connection ended; empty if the peer closed it without a reason.
        peer_max_frame_bytes: Longest frame body that the peer accepts, as stated in its hello.
    """

    transport: Any
    reader: Any
    reading_paused = False
    messages_allowed: float = inf
    body_bytes_allowed: float = inf

    def __init__(
        self,
        owner: Any,
        message_types: Any,
        make_hello: Callable[[], Any],
        max_write_buffer_bytes: int = MAX_WRITE_BUFFER_BYTES,
        max_frame_bytes: int = protocol.DEFAULT_MAX_FRAME_BYTES,
    ) -> None:
        """Prepares a connection that is not yet open.

        Args:
            owner: See `ConnectionOwner`.
            message_types: The message types that are accepted.
            make_hello: Makes our hello when the connection opens.
            max_write_buffer_bytes: Unsent output above which the connection is aborted.
            max_frame_bytes: Longest frame body that is accepted.
        """
        self.owner = owner
        self.make_hello = make_hello
        self.max_write_buffer_bytes = max_write_buffer_bytes
        self.reader = codec.FrameReader(message_types, max_frame_bytes)
        self.unhandled: deque[Any] = deque()
        self.transport = None
        self.close_timer: asyncio.TimerHandle | None = None
        self.close_reason = ""
        self.peer_max_frame_bytes = protocol.DEFAULT_MAX_FRAME_BYTES

    def connection_made(self, transport: Any) -> None:
        """Sends our hello and starts the timeout for the peer's hello."""
        if self.abandoned:
            return
        self.transport = transport
        self.write(self.make_hello())
        self.hello_timer = asyncio.get_running_loop().call_later(
            HELLO_TIMEOUT_S, self.hello_timed_out
        )

    def hello_timed_out(self) -> None:
        """Closes a connection whose peer has not sent its hello."""
        if self.reader.hello is None and not self.abandoned:
            self.close(f"no hello within {HELLO_TIMEOUT_S:g} s")

    def data_received(self, data: bytes) -> None:
        """Decodes input and passes its messages to the owner."""
        self.process_data(data)

    def process_data(self, data: bytes) -> int:
        """Decodes input and passes its messages to the owner; returns how many it has passed on.

        Once reading is paused or as much is passed on as is allowed, the rest of the messages wait
        for the next call. A go-away from the peer closes the connection, and 0 is returned.
        """
        owner = self.owner
        unhandled = self.unhandled
        unhandled.extend(self.reader.feed(data))
        handled = 0
        while unhandled and not self.reading_paused and self.may_handle_more():
            message = unhandled.popleft()
            handled += 1
            self.messages_allowed -= 1
            self.body_bytes_allowed -= len(getattr(message, "body", b""))
            message_type = type(message)
            if message_type is protocol.Hello:
                self.hello_timer.cancel()
                self.peer_max_frame_bytes = (
                    message.max_frame_bytes or protocol.DEFAULT_MAX_FRAME_BYTES
                )
                owner.hello_received(self, message)
            elif message_type is protocol.GoAway:
                self.close_reason = self.close_reason or f"peer: {message.reason}"
                self.transport.close()
                return 0
            else:
                owner.message_received(self, message)
        if self.reader.fault and not unhandled:
            self.close(self.reader.fault)
        return handled

    def may_handle_more(self) -> bool:
        """Returns whether a further message may be passed on."""
        return self.messages_allowed > 0 and self.body_bytes_allowed > 0

    def write(self, message: Any) -> None:
        """Sends a message.

        Raises:
            codec.FrameTooLargeError: The frame exceeds the peer's limit; nothing was sent.
        """
        self.write_bytes(codec.encode(message, self.peer_max_frame_bytes))

    def write_bytes(self, data: bytes) -> None:
        """Sends encoded frames; does nothing on a connection that is closing.

        Aborts the connection if more than `max_write_buffer_bytes` are unsent, so that a peer that
        does not read cannot exhaust the process's memory. The cost is that a peer that is only slow
        may be disconnected by a burst of large messages.
        """
        transport = self.transport
        if transport is None or self.abandoned or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > self.max_write_buffer_bytes:
            self.abort("the peer reads too slowly")

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Closes the connection after all output has been sent.

        Args:
            reason: Sent to the peer in a go-away; if empty, none is sent.
            retry_after_ms: Time after which the peer may reconnect, sent with the reason.
        """
        if self.transport is not None and not self.transport.is_closing():
            if reason:
                self.close_reason = self.close_reason or reason
                notice = protocol.GoAway(reason[:MAX_REASON_CHARACTERS], retry_after_ms)
                self.transport.write(codec.encode(notice))
            if self.transport.get_write_buffer_size():
                loop = asyncio.get_running_loop()
                self.close_timer = loop.call_later(CLOSE_WRITE_TIMEOUT_S, self.transport.abort)
            self.transport.close()

    def abort(self, reason: str = "") -> None:
        """Closes the connection immediately; drops unsent output and sends no reason."""
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> bool:
        """Lets asyncio close our side when the peer has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Records why the connection ended and notifies the owner."""
        self.hello_timer.cancel()
        if self.close_timer is not None:
            self.close_timer.cancel()
            self.close_timer = None
        if error is not None:
            self.close_reason = self.close_reason or str(error)
        if fault := self.reader.end():
            self.close_reason = self.close_reason or fault
        self.owner.connection_ended(self)
