"""RESP codec of the platform's hosts: commands out, replies in, as arrays of bulk strings. Sizes are limited; no I/O.

A Reader takes bytes and returns replies. After a malformed reply the connection cannot be used any more.
"""

import re
from dataclasses import dataclass, field
from math import inf

MAX_BODY_BYTES = 1 << 20
MAX_ELEMENT_BYTES = (64, 16, 4096, MAX_BODY_BYTES)  # of id, status, fields and body
LENGTH_LINE = re.compile(rb"[*$](0|[1-9]\d{0,9})\r\n")
MAX_LENGTH_LINE_BYTES = 13
# Statuses of replies to requests and load orders:
#   DONE     it succeeded
#   MISSING  the host has no copy of the function
#   FULL     the host's queue is full
#   BROKE    it failed
#   PAST     its time limit had passed, so it was not run
# Statuses of replies to health checks: FIT for a healthy host, UNFIT for an unhealthy one.
DONE, MISSING, FULL, BROKE, PAST, FIT, UNFIT = (
    "done",
    "missing",
    "full",
    "broke",
    "past",
    "fit",
    "unfit",
)
STATUSES = {
    b"DONE": DONE,
    b"LACK": MISSING,
    b"WAIT": FULL,
    b"BROKE": BROKE,
    b"PAST": PAST,
    b"FIT": FIT,
    b"UNFIT": UNFIT,
}
COPY_STATES = {"hit": 1, "spawn": 2, "pending": 3, "spawn_failed": 4}


class MalformedReplyError(Exception):
    """The input cannot be read as a reply."""


@dataclass(slots=True)
class Reply:
    """One reply of a host.

    Attributes:
        id: The id of the command that it replies to.
        status: One of the values of STATUSES.
        copy_state: The function's copy when the request came: 1 ready, 2 the request began its load, 3 the request
            waited for a load in progress, 4 the load failed, 0 not reported.
        concurrency: Requests of the function in progress on the host; None if not reported.
        copies: Copies of the function on the host; None if not reported.
        load_report: The host's load report; empty if not reported.
        body: The response body.
    """

    id: str
    status: str
    copy_state: int = 0
    concurrency: int | None = None
    copies: int | None = None
    load_report: dict = field(default_factory=dict)
    body: bytes = b""


def command(*elements):
    """Returns the elements as one RESP array.

    >>> command(b"drop", b"a1")
    b'*2\\r\\n$4\\r\\ndrop\\r\\n$2\\r\\na1\\r\\n'
    """
    return b"*%d\r\n" % len(elements) + b"".join(
        [b"$%d\r\n%b\r\n" % (len(element), element) for element in elements]
    )


def execute(request_id, request_class, function, timeout_ms, body, idempotency_key=""):
    """Returns the command that runs a function.

    `timeout_ms` is how long the gateway waits for the reply. A client's idempotency key is passed on unchanged.
    """
    fields = f"cls={request_class},item={function},limit={max(1, int(timeout_ms))}"
    if idempotency_key:
        fields += f",nonce={idempotency_key}"
    return command(b"exec", request_id.encode(), fields.encode(), body)


def drop(request_id):
    """Returns the command that cancels a request."""
    return command(b"drop", request_id.encode())


def health(check_id):
    """Returns the command that checks a host's health."""
    return command(b"health", check_id.encode())


def ensure(order_id, function, copies):
    """Returns the command that orders a host to hold a number of copies of a function."""
    return command(b"ensure", order_id.encode(), f"item={function},copies={copies}".encode())


def release(function):
    """Returns the command that allows a host to unload a function."""
    return command(b"release", function.encode())


def read_count(text):
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise MalformedReplyError(f"expected a count of up to 9 digits, found {text[:20]!r}")
    return int(text)


def read_load_report(text):
    """Returns a load report; an invalid entry makes the whole reply malformed.

    >>> read_load_report("inflight:7;util:0.61")
    {'inflight': 7.0, 'util': 0.61}
    """
    found = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        try:
            number = float(value)
        except ValueError:
            raise MalformedReplyError(
                f"expected name:number in the load report, found {pair[:40]!r}"
            ) from None
        if not colon or not name or not 0 <= number < 1e12:
            raise MalformedReplyError(
                f"expected name:number in the load report, found {pair[:40]!r}"
            )
        found[name] = number
    return found


def read_reply(elements):
    """Returns the reply that the four elements of an array hold; unknown fields are ignored."""
    request_id, status, fields, body = elements
    if status not in STATUSES:
        raise MalformedReplyError(f"unknown reply status: {status[:20]!r}")
    try:
        reply, field_text = (
            Reply(request_id.decode("ascii"), STATUSES[status], body=body),
            fields.decode("ascii"),
        )
    except UnicodeDecodeError:
        raise MalformedReplyError("the id or the fields of a reply are not ASCII") from None
    for pair in field_text.split(",") if field_text != "-" and field_text else ():
        name, equals, value = pair.partition("=")
        if not equals or not name:
            raise MalformedReplyError(f"expected name=value in the fields, found {pair[:40]!r}")
        if name == "tell":
            if value not in COPY_STATES:
                raise MalformedReplyError(f"unknown copy state: {value[:20]!r}")
            reply.copy_state = COPY_STATES[value]
        elif name == "queue_fn":
            reply.concurrency = read_count(value)
        elif name == "copies":
            reply.copies = read_count(value)
        elif name == "meter":
            reply.load_report = read_load_report(value)
    return reply


class Reader:
    """Reads the replies on one connection.

    Attributes:
        buffer: The bytes of an incomplete reply; never more than the limits of one reply.
        failure_reason: Why nothing more is read; empty while the input is valid.
    """

    def __init__(self):
        self.buffer, self.failure_reason = bytearray(), ""

    def feed(self, data, most=inf):
        """Returns the replies that are now complete, also those before a malformed one.

        At most this many are returned; the next call returns those behind them.
        """
        if self.failure_reason:
            return []
        self.buffer += data
        replies, position = [], 0
        try:
            while len(replies) < most:
                elements, end = self.read_array(position)
                if elements is None:
                    break
                replies.append(read_reply(elements))
                position = end
        except MalformedReplyError as error:
            self.failure_reason, position = str(error), len(self.buffer)
        del self.buffer[:position]
        return replies

    def fail(self, reason):
        """Drops what is buffered; nothing more is read."""
        self.failure_reason = reason
        self.buffer.clear()

    def read_length(self, position, marker):
        """Returns (length, end) of the length line at a position; (None, position) if it is incomplete.

        `marker` is the line's first byte: "*" for an array, "$" for a bulk string.
        """
        buffer = self.buffer
        if position >= len(buffer):
            return None, position
        if buffer[position] != marker:
            raise MalformedReplyError("expected an array or a bulk string of RESP")
        matched = LENGTH_LINE.match(buffer, position)
        if matched:
            return int(matched[1]), matched.end()
        rest = bytes(buffer[position + 1 : position + MAX_LENGTH_LINE_BYTES])
        digits = rest.rstrip(b"\r")
        if (
            len(rest) >= MAX_LENGTH_LINE_BYTES - 1
            or b"\n" in rest
            or digits
            and not digits.isdigit()
            or rest[:1] == b"\r"
        ):
            raise MalformedReplyError("invalid length line")
        return None, position

    def read_array(self, position):
        """Returns (elements, end) of the array at a position; (None, position) if it is incomplete."""
        size, position = self.read_length(position, 42)
        if size is None:
            return None, position
        if size != len(MAX_ELEMENT_BYTES):
            raise MalformedReplyError(f"unexpected number of reply elements: {size}")
        elements = []
        for max_bytes in MAX_ELEMENT_BYTES:
            size, position = self.read_length(position, 36)
            if size is None:
                return None, position
            if size > max_bytes:
                raise MalformedReplyError(f"reply element too large: {size} bytes")
            if len(self.buffer) < position + size + 2:
                if self.buffer[position + size : position + size + 1] not in (b"", b"\r"):
                    raise MalformedReplyError("reply element does not end at its stated length")
                return None, position
            if self.buffer[position + size : position + size + 2] != b"\r\n":
                raise MalformedReplyError("reply element does not end at its stated length")
            elements.append(bytes(self.buffer[position : position + size]))
            position += size + 2
        return elements, position
