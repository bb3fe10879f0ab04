"""The platform's bulletin: server-sent events over HTTP/1.1 (on h11), and the changes of the list that they carry."""

import json
from dataclasses import dataclass
from typing import Literal

import h11

LONGEST = 4 << 20  # bytes of one event
State = Literal["ready", "draining", "gone"]
READY: State = "ready"
DRAINING: State = "draining"
GONE: State = "gone"
STATES = {"in_service": READY, "terminating": DRAINING, "terminated": GONE}


class Unreadable(Exception):
    """What came is no bulletin."""


@dataclass(slots=True)
class Entry:
    """A host as the list has it; started: ms since 1970, 0 long ago."""

    id: str
    address: str
    state: State
    zone: str
    cell: int
    started: float


@dataclass(slots=True)
class Told:
    """Event number `no`: what has changed, or where `whole` all there is. rows is None for what is no list."""

    no: int
    whole: bool
    rows: list | None


def told(item):
    """An event's data, read; Unreadable names the field that is wrong."""
    try:
        no, roster = item["no"], item.get("roster")
        if type(no) is not int or no < 0:
            raise Unreadable(f"no: a number expected, not {str(no)[:40]!r}")
        if roster is None:
            return Told(no, False, None)
        rows = []
        for one in roster["instances"]:
            state = STATES.get(one["lifecycle"])
            if state is None:
                raise Unreadable(
                    f"roster.instances.lifecycle: not known: {str(one['lifecycle'])[:40]!r}"
                )
            host, _, port = one["hostPort"].rpartition(":")
            if not host or not port.isdigit() or not 0 < int(port) < 65536:
                raise Unreadable(f"roster.instances.hostPort: no address: {one['hostPort'][:40]!r}")
            rows.append(
                Entry(
                    str(one["instanceId"]),
                    one["hostPort"],
                    state,
                    str(one.get("zone", "")),
                    int(one.get("cell") or 0),
                    float(one.get("startedAtMs") or 0),
                )
            )
        return Told(no, bool(roster.get("reset")), rows)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Unreadable(f"{type(error).__name__}: {error}") from None


def request(where, last):
    """The bytes that ask for all events after number `last`."""
    return (
        f"GET /bulletins HTTP/1.1\r\nHost: {where}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last}\r\n\r\n"
    ).encode()


class Reader:
    """Fed bytes, gives Tolds of whole events.

    Attributes:
        lines: Complete lines so far, each a sign of life.
        comments: Those of them that are comments.
    """

    def __init__(self):
        self.http = h11.Connection(h11.CLIENT)
        self.http.send(
            h11.Request(method="GET", target="/bulletins", headers=[("Host", "bulletin")])
        )
        self.http.send(h11.EndOfMessage())
        self.held, self.data, self.lines, self.began = b"", [], 0, False
        self.comments = 0

    def feed(self, data):
        found = []
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                kind = type(event)
                if kind is h11.Response:
                    if event.status_code != 200:
                        raise Unreadable(f"the bulletin answers {event.status_code}")
                    self.began = True
                elif kind is h11.Data:
                    self.text(bytes(event.data), found)
                elif event is h11.NEED_DATA or event is h11.PAUSED:
                    return found
                elif kind is h11.EndOfMessage or kind is h11.ConnectionClosed:
                    return found
        except h11.RemoteProtocolError as error:
            raise Unreadable(str(error)) from None

    def text(self, data, found):
        *lines, self.held = (self.held + data).split(b"\n")
        if len(self.held) + sum(map(len, self.data)) > LONGEST:
            raise Unreadable("an event that does not end")
        for line in lines:
            line = line.rstrip(b"\r")
            self.lines += 1
            self.comments += line.startswith(b":")
            if line.startswith(b"data:"):
                self.data.append(line[5:].removeprefix(b" "))
            elif not line and self.data:
                whole, self.data = b"\n".join(self.data), []
                try:
                    found.append(told(json.loads(whole)))
                except ValueError as error:
                    raise Unreadable(f"an event's data: {error}") from None
