"""Bytes to messages and back: four bytes of length, most significant first, then one MessagePack map.

A Reader is fed bytes as they come and gives whole messages. Its first fault is final: what stood before it in the
stream has been given, nothing after it is read, and the connection is to be closed with a Fault that names it.
"""

from functools import lru_cache, reduce
from operator import or_

import msgspec

from cherrydoor.protocol import messages

PREFIX = 4
_encoder = msgspec.msgpack.Encoder()


class FrameTooLarge(ValueError):
    """A message that cannot go out."""


@lru_cache(maxsize=64)
def _decoder(kinds):
    return msgspec.msgpack.Decoder(reduce(or_, kinds))


def encode(message, largest=messages.DEFAULT_MAX_FRAME_BYTES):
    """One frame as bytes; BadFrame where its body is longer than `largest`.

    >>> encode(messages.Poll())
    b'\\x00\\x00\\x00\\x08\\x81\\xa2is\\xa3ask'
    """
    frame = bytearray(PREFIX)
    _encoder.encode_into(message, frame, PREFIX)
    size = len(frame) - PREFIX
    if size > largest:
        raise FrameTooLarge(f"a frame of {size} bytes, where {largest} is the most")
    frame[:PREFIX] = size.to_bytes(PREFIX, "big")
    return bytes(frame)


class FrameReader:
    """Bytes in, messages out, for one direction of one connection.

    kinds: the message types that this end takes; largest: the longest body, in bytes. A hello must come first and
    come once; it is checked here, so that no end has to. `hello` holds it, `fault` the reason once there is one. With
    `halts` it gives the hello alone, and the rest at the next feed: what it may be depends on who says hello.
    """

    def __init__(self, kinds, largest=messages.DEFAULT_MAX_FRAME_BYTES, halts=False):
        self.halts = halts
        self.decode = _decoder(kinds).decode
        self.largest, self.held, self.need = largest, bytearray(), PREFIX
        self.hello = self.fault = None

    def feed(self, data):
        """The messages that these bytes complete, oldest first; [] once there was a fault."""
        if self.fault:
            return []
        held = self.held
        held += data
        if len(held) < self.need:
            return []
        found, at = [], 0
        with memoryview(held) as view:
            while self.fault is None:
                start = at + PREFIX
                if len(view) < start:
                    self.need = PREFIX
                    break
                size = int.from_bytes(view[at:start], "big")
                if size > self.largest:
                    self.fault = f"a frame of {size} bytes, where {self.largest} is the most"
                elif len(view) < start + size:
                    self.need = PREFIX + size
                    break
                else:
                    at = start + size
                    self._body(view[start:at], found)
                    if self.halts and self.hello is not None:
                        self.halts, self.need = False, PREFIX
                        break
        del held[: at if self.fault is None else len(held)]
        return found

    def end(self):
        """The stream is over: a fault where it stopped within a frame."""
        if self.held and not self.fault:
            self.fault = f"the stream ends within a frame, {len(self.held)} bytes in"
        return self.fault

    def _body(self, body, found):
        try:
            message = self.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
            self.fault = str(error)[:500]
            return
        if (type(message) is messages.Hello) == (self.hello is not None):
            self.fault = "a second hello" if self.hello else "a hello must come first"
        elif self.hello is None:
            if message.version != messages.VERSION:
                self.fault = f"version {message.version}, where {messages.VERSION} is spoken"
                return
            self.hello = message
            found.append(message)
        else:
            found.append(message)
