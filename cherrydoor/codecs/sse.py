"""Codec of the platform's endpoint stream: server-sent events over HTTP/1.1, based on h11; no I/O.

Each event has a revision and carries either the changes of the endpoint list or the complete list.
"""

import json
from dataclasses import dataclass
from typing import Any, Literal

import h11

MAX_EVENT_BYTES = 4 << 20
MAX_PORT = 65535
MAX_QUOTED_CHARACTERS = 40  # of an invalid value, in an error text

State = Literal["ready", "draining", "gone"]
READY: State = "ready"
DRAINING: State = "draining"
GONE: State = "gone"
STATES: dict[str, State] = {"in_service": READY, "terminating": DRAINING, "terminated": GONE}


class UnreadableError(Exception):
    """The input is not a valid endpoint stream; the text names the invalid field."""


@dataclass(slots=True)
class ListedEndpoint:
    """One host in the endpoint list.

    Attributes:
        id: The host's id.
        address: Its address:port.
        state: Its lifecycle state.
        zone: Its zone; "" if none is stated.
        cell: Number of the group of hosts that deduplicate requests among themselves.
        started_at_ms: When it started, in Unix ms; 0 if unknown or long ago.
    """

    id: str
    address: str
    state: State
    zone: str
    cell: int
    started_at_ms: float


@dataclass(slots=True)
class EndpointUpdate:
    """One event of the stream.

    Attributes:
        revision: Its revision number.
        is_snapshot: Whether it holds the complete list rather than only the changes.
        endpoints: The endpoints in it; None if the event carries none.
    """

    revision: int
    is_snapshot: bool
    endpoints: list[ListedEndpoint] | None


def read_update(event: Any) -> EndpointUpdate:
    """Returns the update in an event's decoded JSON.

    Raises:
        UnreadableError: A field is missing or invalid.
    """
    try:
        revision = event["no"]
        if type(revision) is not int or revision < 0:
            raise UnreadableError(f"no: expected a number of 0 or more, found {quoted(revision)}")
        roster = event.get("roster")
        if roster is None:
            return EndpointUpdate(revision, False, None)
        endpoints = [read_endpoint(instance) for instance in roster["instances"]]
        return EndpointUpdate(revision, bool(roster.get("reset")), endpoints)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableError(f"{type(error).__name__}: {error}") from None


def read_endpoint(instance: Any) -> ListedEndpoint:
    """Returns one endpoint of an event; raises the same errors as ``read_update``."""
    state = STATES.get(instance["lifecycle"])
    if state is None:
        found = quoted(instance["lifecycle"])
        raise UnreadableError(f"roster.instances.lifecycle: unknown state: {found}")
    address = instance["hostPort"]
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise UnreadableError(
            f"roster.instances.hostPort: expected host:port, found {quoted(address)}"
        )
    return ListedEndpoint(
        str(instance["instanceId"]),
        address,
        state,
        str(instance.get("zone", "")),
        int(instance.get("cell") or 0),
        float(instance.get("startedAtMs") or 0),
    )


def quoted(value: object) -> str:
    """Returns the beginning of a value, for an error text."""
    return repr(str(value)[:MAX_QUOTED_CHARACTERS])


def watch_request(server: str, last_revision: int) -> bytes:
    """Returns the HTTP request for all updates after a revision."""
    return (
        f"GET /bulletins HTTP/1.1\r\nHost: {server}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last_revision}\r\n\r\n"
    ).encode()


class UpdateReader:
    """Reads the response to a watch request: bytes in, complete updates out.

    Attributes:
        comments: Number of complete comments so far.
        events: Number of complete events so far, whether they carry an update or not.
    """

    def __init__(self) -> None:
        self.comments = 0
        self.events = 0
        self._incomplete_line = b""
        self._event_begun = False
        self._data_lines: list[bytes] = []
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(
            h11.Request(method="GET", target="/bulletins", headers=[("Host", "bulletin")])
        )
        self._http.send(h11.EndOfMessage())

    @property
    def is_within_message(self) -> bool:
        """Whether a comment or an event has begun to arrive and is not complete."""
        return self._event_begun or bool(self._incomplete_line)

    def feed(self, data: bytes) -> list[EndpointUpdate]:
        """Returns the updates that these bytes complete.

        Raises:
            UnreadableError: The response is not that of an endpoint stream.
        """
        updates: list[EndpointUpdate] = []
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if type(event) is h11.Response:
                    if event.status_code != 200:
                        raise UnreadableError(
                            f"the discovery server responded with status {event.status_code}"
                        )
                elif type(event) is h11.Data:
                    updates += self._read_lines(bytes(event.data))
                elif type(event) is not h11.InformationalResponse:
                    return updates  # the stream has ended, or more bytes are needed
        except h11.RemoteProtocolError as error:
            raise UnreadableError(str(error)) from None

    def _read_lines(self, data: bytes) -> list[EndpointUpdate]:
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        buffered_bytes = len(self._incomplete_line) + sum(map(len, self._data_lines))
        if buffered_bytes > MAX_EVENT_BYTES:
            raise UnreadableError("an event exceeds the size limit")
        updates = []
        for line in lines:
            update = self._read_line(line.rstrip(b"\r"))
            if update is not None:
                updates.append(update)
        return updates

    def _read_line(self, line: bytes) -> EndpointUpdate | None:
        """Returns the update that this line completes, if any."""
        if line.startswith(b":"):
            self.comments += 1
            return None
        if line:
            self._event_begun = True
            if line.startswith(b"data:"):
                self._data_lines.append(line[5:].removeprefix(b" "))
            return None
        self.events += self._event_begun
        self._event_begun = False
        return self._end_event()

    def _end_event(self) -> EndpointUpdate | None:
        """Returns the update in the data of the event that has ended, if it has any."""
        if not self._data_lines:
            return None
        text = b"\n".join(self._data_lines)
        self._data_lines = []
        try:
            return read_update(json.loads(text))
        except ValueError as error:
            raise UnreadableError(f"event data is not valid JSON: {error}") from None
