"""Encodes messages as frames, and decodes frames, without I/O.

A frame is its body's length in four bytes, most significant first, and then the body, one
MessagePack map. A `FrameReader` is fed bytes as they arrive and returns whole messages. Its first
error is final: the messages before it have been returned, nothing after it is read, and the
connection has to be closed with a `GoAway` that gives the error as its reason.
"""

from collections.abc import Iterable
from functools import lru_cache, reduce
from operator import or_
from typing import Any

import msgspec

from cherrydoor.protocol.basics import DEFAULT_MAX_FRAME_BYTES, VERSION, Hello, Message

PREFIX = 4  # bytes that hold the length of the body
MAX_REASON_CHARS = 500  # of a decoding error that is sent to the peer
_encoder = msgspec.msgpack.Encoder()


class ProtocolError(ValueError):
    """Base of the errors of this protocol."""


class FrameTooLargeError(ProtocolError):
    """The message cannot be sent, as its body is longer than the peer accepts."""


@lru_cache(maxsize=64)
def _decoder(kinds: tuple[type[Message], ...]) -> "msgspec.msgpack.Decoder[Any]":
    return msgspec.msgpack.Decoder(reduce(or_, kinds))


def encode(message: Message, largest: int = DEFAULT_MAX_FRAME_BYTES) -> bytes:
    r"""Returns the message as one frame.

    Args:
        message: The message to encode.
        largest: Longest body that the peer accepts, in bytes.

    Raises:
        FrameTooLargeError: The body is longer than `largest`.

    >>> from cherrydoor.protocol.messages import Poll
    >>> encode(Poll())
    b'\x00\x00\x00\x08\x81\xa2is\xa3ask'
    """
    frame = bytearray(PREFIX)
    _encoder.encode_into(message, frame, PREFIX)
    size = len(frame) - PREFIX
    if size > largest:
        raise FrameTooLargeError(f"a frame of {size} bytes, where {largest} is the most")
    frame[:PREFIX] = size.to_bytes(PREFIX, "big")
    return bytes(frame)


class FrameReader:
    """Decodes the frames of one direction of a connection.

    It also checks that a hello comes first and only once, so that its callers do not have to.

    Attributes:
        max_frame_bytes: Longest body that is accepted, in bytes; it may change between two
            calls of feed().
        stop_after_hello: Whether feed() returns a hello alone, and the messages after it at
            the next call: which of these are allowed depends on the sender of the hello.
        buffer: Bytes that have not been decoded yet.
        needed_bytes: Number of buffered bytes below which no frame can be complete.
        hello: The peer's hello; None until it has come.
        fault: The error after which nothing is read; None or empty if there is none.
    """

    def __init__(
        self,
        kinds: Iterable[type[Message]],
        max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES,
        stop_after_hello: bool = False,
    ) -> None:
        self.stop_after_hello = stop_after_hello
        self.decode = _decoder(tuple(kinds)).decode
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()
        self.needed_bytes = PREFIX
        self.hello: Hello | None = None
        self.fault: str | None = None

    def feed(self, data: bytes) -> list[Any]:
        """Returns the messages that these bytes complete, oldest first; none after an error."""
        if self.fault:
            return []
        buffer = self.buffer
        buffer += data
        if len(buffer) < self.needed_bytes:
            return []
        found: list[Any] = []
        at = 0
        with memoryview(buffer) as view:
            while self.fault is None:
                start = at + PREFIX
                if len(view) < start:
                    self.needed_bytes = PREFIX
                    break
                size = int.from_bytes(view[at:start], "big")
                if size > self.max_frame_bytes:
                    self.fault = (
                        f"a frame of {size} bytes, where {self.max_frame_bytes} is the most"
                    )
                elif len(view) < start + size:
                    self.needed_bytes = PREFIX + size
                    break
                else:
                    at = start + size
                    self._decode_body(view[start:at], found)
                    if self.stop_after_hello and self.hello is not None:
                        self.stop_after_hello = False
                        self.needed_bytes = PREFIX
                        break
        del buffer[: at if self.fault is None else len(buffer)]
        return found

    def end(self) -> str | None:
        """Ends the stream.

        Returns:
            The error that ended reading, which may be that the stream stops within a frame; None or
            empty if there is none.
        """
        if self.buffer and not self.fault:
            self.fault = f"the stream ends within a frame, {len(self.buffer)} bytes in"
        return self.fault

    def _decode_body(self, body: memoryview, found: list[Any]) -> None:
        try:
            message = self.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
            self.fault = str(error)[:MAX_REASON_CHARS]
            return
        is_hello = type(message) is Hello
        if is_hello == (self.hello is not None):
            self.fault = "a second hello" if self.hello else "a hello must come first"
        elif is_hello and message.version != VERSION:
            self.fault = f"version {message.version}, where {VERSION} is spoken"
        else:
            if is_hello:
                self.hello = message
            found.append(message)
