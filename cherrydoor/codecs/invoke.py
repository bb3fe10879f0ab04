"""HTTP/1.1 codec of the platform's clients, based on h11: requests in, responses out.

A Conversation takes bytes and returns Call, Ping or BadRequest, one at a time. Pipelined requests
are buffered, up to a limit, until the response before them is written. After a BadRequest nothing
more is read: its response closes the connection.

Nearly all calls arrive complete, with nothing pipelined behind them and in a simple form. These are
parsed by a fast path, because h11 takes a third of the time that a request takes. Input that
differs in any way is parsed by h11 from its first byte on. h11 sees nothing of a call that the fast
path has parsed.
"""

import re
from typing import Any

import h11

from cherrydoor.codecs.request_head import MAX_BODY_BYTES as MAX_BODY_BYTES
from cherrydoor.codecs.request_head import (
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    read_fast_path,
    read_head,
)
from cherrydoor.codecs.request_head import BadRequest as BadRequest
from cherrydoor.codecs.request_head import Call as Call
from cherrydoor.codecs.request_head import Ping as Ping
from cherrydoor.codecs.request_head import read_extras as read_extras

MAX_PIPELINED_BYTES = 32 * 1024  # behind a call in flight; see Conversation.pipeline_overflowed
HEAD_END = re.compile(rb"\n\r?\n")  # as h11 finds it
PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    505: b"HTTP Version Not Supported",
}


class Conversation:
    """The protocol state of one client connection.

    Attributes:
        open: Whether a message was returned whose response has not been written yet.
        buffered_bytes: Bytes that are buffered: an incomplete request, or input behind the open
            one.
        reply: Bytes to send at once, before any response.
        failed: Whether a BadRequest was returned, so that nothing more is read.
        used_fast_path: Whether the open call was parsed by the fast path, so that h11 has seen
            nothing of it.
        pipeline_overflowed: Whether more was pipelined than the limit, or `close_after_response`
            was called. The rest of the input is dropped, and the connection closes with the open
            call's response. Reading goes on, because the end of the input shows that the client has
            disconnected.
    """

    def __init__(self):
        self.http: Any = None  # created when the fast path first does not apply
        self.message, self.body, self.open, self.failed, self.buffered_bytes, self.reply = (
            None,
            [],
            False,
            False,
            0,
            b"",
        )
        self.used_fast_path = False
        self.pipeline_overflowed = False

    def feed(self, data):
        """Returns the next Call, Ping or BadRequest; None while none is complete.

        Bytes that have to be sent at once are put into `reply`.
        """
        if self.failed or self.pipeline_overflowed:
            return None
        if not self.open and not self.buffered_bytes and (message := read_fast_path(data)):
            self.open = self.used_fast_path = True
            return message
        self.buffered_bytes += len(data)
        if self.open and self.buffered_bytes > MAX_PIPELINED_BYTES:
            self.pipeline_overflowed = True
            return None
        self.http = self.http or h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        try:
            if data:
                self.http.receive_data(data)
            return None if self.open else self.read_next()
        except h11.RemoteProtocolError as error:
            return self.fail(error.error_status_hint, str(error))

    def read_next(self):
        """Returns the next message that h11 has complete, otherwise None."""
        if self.http.their_state is h11.IDLE and self.has_too_many_fields():
            return self.fail(431, f"a head holds {MAX_HEAD_FIELDS} fields at most")
        while True:
            event = self.http.next_event()
            kind = type(event)
            if kind is h11.Request:
                self.message, self.body = read_head(event), []
                if type(self.message) is BadRequest:
                    return self.fail(self.message.status, self.message.reason)
                if self.http.they_are_waiting_for_100_continue:
                    self.reply += self.http.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif kind is h11.Data:
                self.body.append(bytes(event.data))
            elif kind is h11.EndOfMessage:
                message, self.open = self.message, True
                self.buffered_bytes = len(self.http.trailing_data[0])
                if type(message) is Call:
                    message.body, self.body = b"".join(self.body), []
                return message
            else:  # NEED_DATA, PAUSED, or ConnectionClosed
                return None

    def has_too_many_fields(self):
        """Returns whether the head that comes next has too many fields; h11 has not read it yet.

        Without this limit, a head of many short fields takes a hundred times as long as others.
        """
        buffered = self.http.trailing_data[0]
        end = HEAD_END.search(buffered)
        return buffered.count(b"\n", 0, end.start() if end else len(buffered)) > MAX_HEAD_FIELDS

    def close_after_response(self):
        """Closes the connection with the response to the open request; drops what is behind it."""
        self.release()

    def release(self) -> None:
        """Drops all input that is buffered; no more is read. A response needs none of it."""
        self.pipeline_overflowed = True
        self.buffered_bytes = 0
        self.http = None
        self.message = None
        self.body = []

    def fail(self, status, reason):
        """Stops reading; returns the BadRequest that the client gets as its response."""
        self.failed = self.open = True
        return BadRequest(status if status in PHRASES else 400, reason[:200])

    def answer(self, status, body=b"", retry_after_ms=None, close=False):
        """Returns the response to the open request.

        Returns:
            Its bytes, and whether the connection closes after them.
        """
        close = close or self.failed or self.pipeline_overflowed
        self.open = False
        if self.used_fast_path and not close:
            self.used_fast_path = False
            retry_after_header = (
                b"" if retry_after_ms is None else b"X-Come-Back-Ms: %d\r\n" % retry_after_ms
            )
            return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
                status,
                PHRASES[status],
                len(body),
                retry_after_header,
                body,
            ), False
        self.http = self.http or h11.Connection(h11.SERVER)
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b"", True
        headers = [(b"Content-Length", b"%d" % len(body))]
        if retry_after_ms is not None:
            headers.append((b"X-Come-Back-Ms", b"%d" % retry_after_ms))
        if close:
            headers.append((b"Connection", b"close"))
        data = self.http.send(
            h11.Response(status_code=status, headers=headers, reason=PHRASES[status])
        )
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        if close or self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return data, True
        self.http.start_next_cycle()
        return data, False


def refusal(reason, retry_after_ms):
    """Returns the response for a connection that is refused before it has sent anything."""
    body = reason.encode()
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n"
        b"X-Come-Back-Ms: %d\r\nConnection: close\r\n\r\n" % (len(body), retry_after_ms) + body
    )
