"""One end of a connection on asyncio: a Reader, a bound on what waits to be written, and three things to call.

Used by the gateway and by every stand-in; it knows frames and nothing else.
"""

import asyncio
from typing import Any

from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

MOST_WAITING = (
    32 * 2**20
)  # bytes that may wait for a slow peer before the connection is the casualty
HELLO_WAIT = 5.0  # s that a peer may take to say who it is


class OrderedSet(dict):
    """A set that is gone through in the order of arrival, so that no order of addresses shows."""

    def add(self, one):
        self[one] = None

    def discard(self, one):
        self.pop(one, None)


class FramedConnection(asyncio.BaseProtocol):
    """kinds: what is taken; hello: a callable that makes ours; the owner has greeted(end, hello), heard(end, message)
    and lost(end). `why` says why it ended, '' where the peer closed."""

    transport: Any

    def __init__(
        self,
        owner,
        kinds,
        hello,
        most_waiting=MOST_WAITING,
        largest=protocol.DEFAULT_MAX_FRAME_BYTES,
    ):
        self.owner, self.hello, self.most_waiting = owner, hello, most_waiting
        self.reader, self.transport, self.why, self.largest = (
            codec.FrameReader(kinds, largest),
            None,
            "",
            protocol.DEFAULT_MAX_FRAME_BYTES,
        )

    def connection_made(self, transport):
        self.transport = transport
        self.write(self.hello())
        self.timer = asyncio.get_running_loop().call_later(HELLO_WAIT, self.hello_late)

    def hello_late(self):
        if self.reader.hello is None:
            self.close(f"no hello within {HELLO_WAIT:g} s")

    def data_received(self, data):
        self.take(data)

    def take(self, data):
        """The number of messages in it."""
        owner, messages = self.owner, self.reader.feed(data)
        for message in messages:
            kind = type(message)
            if kind is protocol.Hello:
                self.timer.cancel()
                self.largest = message.max_frame_bytes or protocol.DEFAULT_MAX_FRAME_BYTES
                owner.greeted(self, message)
            elif kind is protocol.GoAway:
                self.why = self.why or f"peer: {message.reason}"
                self.transport.close()
                return 0
            else:
                owner.heard(self, message)
        if self.reader.fault:
            self.close(self.reader.fault)
        return len(messages)

    def write(self, message):
        """A frame too large for the peer is left out, and the caller told by BadFrame."""
        self.write_bytes(codec.encode(message, self.largest))

    def write_bytes(self, data):
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > self.most_waiting:
            self.abort("the peer reads too slowly")

    def close(self, reason="", stay_away=0.0):
        """With a reason the peer is told it first, and how long to stay away."""
        if self.transport is not None and not self.transport.is_closing():
            if reason:
                self.why = self.why or reason
                self.transport.write(codec.encode(protocol.GoAway(reason[:1000], stay_away)))
            self.transport.close()

    def abort(self, why=""):
        self.why = self.why or why
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self):
        return False  # the peer has closed, and so do we

    def connection_lost(self, error):
        self.timer.cancel()
        if error is not None:
            self.why = self.why or str(error)
        if fault := self.reader.end():
            self.why = self.why or fault
        self.owner.lost(self)
