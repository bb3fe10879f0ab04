"""The platform's door: HTTP/1.1 calls in, answers out, one event at a time on a connection. On h11.

A Conversation is fed bytes and gives Call, Ping or Bad; what is pipelined waits, bounded, until the answer is given.
After a Bad nothing more is read: its answer closes the connection.

A call that comes whole, alone and in plain form, as nearly all do, is read here, as h11 takes a third of an event's
time; whatever differs in the least is h11's from its first byte, and h11 is idle while a plain call is open.
"""

import re
from dataclasses import dataclass, field
from typing import Any

import h11

LARGEST_HEAD, LARGEST_BODY = 8 * 1024, 16 * 1024
MOST_AHEAD = 32 * 1024  # bytes pipelined behind an open event; see Conversation.overfull
PATH = re.compile(rb"/call/([0-9a-f]{16})/sync\Z")
PLAIN = re.compile(
    rb"(POST) (/call/[0-9a-f]{16}/sync) HTTP/(1\.1)\r\n"
    rb"((?:[A-Za-z0-9-]{1,40}: [!-~]{1,300}\r\n){1,32})\r\n"
)
NOT_PLAIN = (b"transfer-encoding", b"expect", b"connection", b"upgrade")
ID = re.compile(rb"[0-9a-f]{16}\Z")
NAME = re.compile(rb"[!-~]{1,256}\Z")
FIGURE = re.compile(rb"\d{1,9}(\.\d{1,9})?\Z")
IDEMPOTENCY_KEY = re.compile(
    rb"[!-+.-<>-~-]{1,128}\Z"
)  # passed on as a host's field: no comma, no equals sign
LEAST_LANES, MOST = 1.0, 1e7  # what a figure of X-Extras may be
ONCE = {
    b"x-class",
    b"x-call-id",
    b"x-patience-ms",
    b"x-customer",
    b"x-extras",
    b"x-dedupe-key",
    b"content-length",
    b"host",
}
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


@dataclass(slots=True)
class Call:
    """An event as a client sent it, in full form. `extras` are its X-Extras, `idempotency_key` its X-Dedupe-Key."""

    id: str
    kind: str
    customer: str
    function: str
    patience: float
    extras: dict = field(default_factory=dict)
    body: bytes = b""
    idempotency_key: str = ""


@dataclass(slots=True)
class Ping:
    """Asks whether the gateway is ready."""


@dataclass(slots=True)
class Bad:
    """What is no call: the status it is owed, and why."""

    status: int
    reason: str


def extras(text):
    """The further figures of a call; ValueError names the one that cannot be used.

    >>> extras(b"memory_mb:512;lanes:2")
    {'memory_mb': 512.0, 'lanes': 2.0}
    """
    found: dict = {}
    for pair in text.split(b";") if text else ():
        name, _, value = pair.partition(b":")
        word = name.decode("ascii", "replace")
        if not name or not FIGURE.match(value) or word in found or float(value) > MOST:
            raise ValueError(f"X-Extras: {word[:40]!r} is no figure that can be used")
        found[word] = float(value)
    if found.get("lanes", LEAST_LANES) < LEAST_LANES:
        raise ValueError("X-Extras: lanes is below 1")
    return found


def call_of(request):
    """Call, Ping or Bad of a request's head."""
    said: dict = {}
    for name, value in request.headers:
        if name in said and name in ONCE:
            return Bad(400, f"{name.decode()} is said twice")
        said[name] = value
    if sum(map(len, said.values())) > LARGEST_HEAD:
        return Bad(431, f"a head holds {LARGEST_HEAD} bytes at most")
    if request.http_version != b"1.1":
        return Bad(505, "HTTP/1.1 is spoken here")
    if (
        b"transfer-encoding" in said
    ):  # beside a Content-Length it may hide a second call in the body
        return Bad(
            400 if b"content-length" in said else 411,
            "a body's length is said by Content-Length alone",
        )
    size = int(said.get(b"content-length", b"0"))
    if request.target == b"/ping":
        return (
            Ping()
            if request.method == b"GET" and not size
            else Bad(405, "GET /ping, without a body")
        )
    path = PATH.match(request.target)
    if not path:
        return Bad(404, "the path is /call/FUNCTION/sync, the function 16 hex digits")
    if request.method != b"POST":
        return Bad(405, "a call is a POST")
    if size > LARGEST_BODY:
        return Bad(413, f"a body holds {LARGEST_BODY} bytes at most")
    if not ID.match(said.get(b"x-call-id", b"")):
        return Bad(400, "X-Call-Id is 16 hex digits")
    if not NAME.match(said.get(b"x-class", b"")):
        return Bad(400, "X-Class names the event type")
    if b"x-customer" in said and not NAME.match(said[b"x-customer"]):
        return Bad(400, "X-Customer is no name")
    idempotency_key = said.get(b"x-dedupe-key", b"")
    if idempotency_key and not IDEMPOTENCY_KEY.match(idempotency_key):
        return Bad(
            400, "X-Dedupe-Key: up to 128 printable characters, without commas and equals signs"
        )
    patience = said.get(b"x-patience-ms", b"")
    if not FIGURE.match(patience) or not float(patience):
        return Bad(400, "X-Patience-Ms is a number of milliseconds above 0")
    try:
        figures = extras(said.get(b"x-extras", b""))
    except ValueError as error:
        return Bad(400, str(error))
    return Call(
        said[b"x-call-id"].decode(),
        said[b"x-class"].decode(),
        said.get(b"x-customer", b"").decode(),
        path[1].decode(),
        float(patience),
        figures,
        idempotency_key=idempotency_key.decode(),
    )


@dataclass(slots=True)
class Head:
    """A request's head, by the names that h11 gives it."""

    method: bytes
    target: bytes
    http_version: bytes
    headers: list


def plain(data):
    """The Call or Bad of bytes that are one whole call in plain form; None where they are anything else."""
    found = PLAIN.match(data)
    if found is None:
        return None
    headers, host = [], False
    for line in found[4][:-2].split(b"\r\n"):
        name, _, value = line.partition(b": ")
        name = name.lower()
        if (
            name in NOT_PLAIN
            or name == b"content-length"
            and not (value.isdigit() and len(value) < 6)
        ):
            return None
        host |= name == b"host"
        headers.append((name, value))
    note, size = call_of(Head(found[1], found[2], found[3], headers)), 0
    for name, value in headers:
        if name == b"content-length":
            size = int(value)
    if not host or type(note) is Bad or len(data) != found.end() + size:
        return None
    note.body = data[found.end() :]
    return note


class Conversation:
    """One client connection. `open`: a note was given and its answer is owed; `held`: bytes of what is unfinished."""

    def __init__(self):
        self.http: Any = None  # made for the first that is not plain
        self.note, self.body, self.open, self.bad, self.held, self.reply = (
            None,
            [],
            False,
            False,
            0,
            b"",
        )
        self.plain = False  # the open event was read here: h11 has seen nothing of it
        self.overfull = (
            False  # more was pipelined than is held: the rest is dropped, and the connection closes
        )
        # with the open event's answer. It is read on, as its end tells that the client left

    def feed(self, data):
        """Call, Ping or Bad, or None while nothing is whole. Bytes to be sent at once are left in `reply`."""
        if self.bad or self.overfull:
            return None
        if not self.open and not self.held and (note := plain(data)):
            self.open = self.plain = True
            return note
        self.held += len(data)
        if self.open and self.held > MOST_AHEAD:
            self.overfull = True
            return None
        self.http = self.http or h11.Connection(h11.SERVER, max_incomplete_event_size=LARGEST_HEAD)
        try:
            if data:
                self.http.receive_data(data)
            return None if self.open else self.next()
        except h11.RemoteProtocolError as error:
            return self.spoilt(error.error_status_hint, str(error))

    def next(self):
        while True:
            event = self.http.next_event()
            kind = type(event)
            if kind is h11.Request:
                self.note, self.body = call_of(event), []
                if type(self.note) is Bad:
                    return self.spoilt(self.note.status, self.note.reason)
                if self.http.they_are_waiting_for_100_continue:
                    self.reply += self.http.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            elif kind is h11.Data:
                self.body.append(bytes(event.data))
            elif kind is h11.EndOfMessage:
                note, self.open = self.note, True
                self.held = len(self.http.trailing_data[0])
                if type(note) is Call:
                    note.body, self.body = b"".join(self.body), []
                return note
            else:  # NEED_DATA, PAUSED, or ConnectionClosed
                return None

    def spoilt(self, status, reason):
        self.bad = self.open = True
        return Bad(status if status in PHRASES else 400, reason[:200])

    def answer(self, status, body=b"", come_back=None, close=False):
        """(bytes, whether the connection closes after them): the one answer that is owed."""
        close = close or self.bad or self.overfull
        self.open = False
        if self.plain and not close:
            self.plain = False
            wait = b"" if come_back is None else b"X-Come-Back-Ms: %d\r\n" % come_back
            return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
                status,
                PHRASES[status],
                len(body),
                wait,
                body,
            ), False
        self.http = self.http or h11.Connection(h11.SERVER)
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b"", True
        headers = [(b"Content-Length", b"%d" % len(body))]
        if come_back is not None:
            headers.append((b"X-Come-Back-Ms", b"%d" % come_back))
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


def refusal(reason, come_back):
    """The bytes for a connection that is turned away before it has said anything."""
    body = reason.encode()
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\nX-Come-Back-Ms: %d\r\nConnection: close\r\n\r\n"
        % (len(body), come_back)
        + body
    )
