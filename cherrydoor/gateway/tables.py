"""Records of the dispatcher: clients, pending requests, calls to hosts, connections and hosts.

Plain state without decisions. Each record names the object that owns it; nobody else writes it.
"""

from collections.abc import Callable
from enum import Enum, StrEnum
from typing import Any, Protocol

from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

# Counter that must stay 0: attempts started more than CLOSE_GRACE_MS after their client, which
# disconnected, was last seen connected.
ATTEMPTS_AFTER_CLOSE = "attempts after the client had closed"
# Between a check for the client's close and the write of its attempt lies one tick at most.
CLOSE_GRACE_MS = 100.0


class ConnectionState(StrEnum):
    """State of a connection to a host; it only moves down this list."""

    DIALING = "dialing"
    OPEN = "open"
    CLOSED = "closed"


CLOSED = ConnectionState.CLOSED  # the service closes all connections as it starts anew


class CallKind(Enum):
    """What a host was sent that it owes a reply to."""

    ATTEMPT = 1
    HEALTH_CHECK = 2
    LOAD_ORDER = 3
    QUERY = 4  # asked for failover or a zone drain, unknown to the router


class Wire(Protocol):
    """The sending side of a connection, as the I/O provides it."""

    def write(self, message: Any) -> None:
        """Sends a message."""

    def close(self, reason: str) -> None:
        """Closes the connection and states the reason to the other end."""


def never_closed() -> bool:
    """Stands for the check for a close where the I/O has none."""
    return False


class ClientConnection:
    """One connection of a client. Owned by ``RequestTable``.

    Attributes:
        wire: Where responses are written.
        name: Name that the client gave.
        open: Pending requests by the client's own ids.
        has_closed: Whether the other end has closed, though that has not been read yet.
        min_clock_gap_ms: Least (our clock less its clock) seen, which is taken as no delay.
        last_connected_ms: When it was last known to be connected.
    """

    def __init__(
        self, wire: Any, name: str = "", has_closed: Callable[[], bool] = never_closed
    ) -> None:
        self.wire = wire
        self.name = name
        self.has_closed = has_closed
        self.open: dict[int, PendingRequest] = {}
        self.min_clock_gap_ms: float | None = None
        self.last_connected_ms = 0.0

    def connected(self, now_ms: float) -> bool:
        """Checks for a close that has not been read; called before each attempt."""
        if self.has_closed():
            return False
        self.last_connected_ms = now_ms
        return True

    def late(self, sent_at_ms: float, now_ms: float) -> float:
        """Returns by how many ms a frame took longer than the fastest one of this connection.

        Guards against a stall of ours or of the network, after which a request would be given
        time that its client no longer has; harms where the client's clock goes slow against ours,
        as that counts as a delay.

        Args:
            sent_at_ms: When it was sent, by the client's clock.
            now_ms: When it was read, by ours.
        """
        gap_ms = now_ms - sent_at_ms
        if self.min_clock_gap_ms is None or gap_ms < self.min_clock_gap_ms:
            self.min_clock_gap_ms = gap_ms
        return gap_ms - self.min_clock_gap_ms


class PendingRequest:
    """A request from its arrival to its response and the end of its last attempt.

    Owned by ``RequestTable``; ``Attempts`` adds its attempts and ends them.

    Attributes:
        number: Its number in this gateway; ``request.id`` is the client's.
        deadline_ms: When its client stops waiting, less the time that a response takes.
        attempts: All attempts, in the order in which the router decided them.
        references: Attempts not yet ended, and a cancellation that the router is yet to get.
        finished: Its response was sent, or its client disconnected.
        streaming: Its response has begun as a stream.
        function: The version of the function that the router knows it by.
        origin: Identity in the gateway it was taken over from, as an attempt carries it; or None.
        adopted: An attempt of another gateway is still in flight, unknown to the router.
    """

    __slots__ = (
        "number",
        "request",
        "client",
        "deadline_ms",
        "accepted_at_ms",
        "attempts",
        "references",
        "finished",
        "streaming",
        "function",
        "origin",
        "adopted",
    )

    def __init__(
        self,
        number: int,
        request: protocol.Request,
        client: ClientConnection,
        deadline_ms: float,
        accepted_at_ms: float,
    ) -> None:
        self.number = number
        self.request = request
        self.client = client
        self.deadline_ms = deadline_ms
        self.accepted_at_ms = accepted_at_ms
        self.attempts: list[HostCall] = []
        self.references = 0
        self.finished = False
        self.streaming = False
        self.function = request.function
        self.origin: tuple[Any, ...] | None = None
        self.adopted = False


class HostCall:
    """An attempt, health check, load order or query that a host owes a reply to.

    Owned by ``HostCalls``, which sets ``outcome`` exactly once.

    Attributes:
        id: Its number on the wire.
        started_at_ms: When it was decided.
        link: The connection that it went out on, or None.
        pending: The request of an attempt, else None.
        index: Position of an attempt among those of its request.
        function: Function of a load order.
        called_function: Version that an attempt calls.
        outcome: How it ended, None while it is in flight.
        on_reply: Called as (host id, outcome, message) when a query has ended.
    """

    __slots__ = (
        "kind",
        "id",
        "started_at_ms",
        "link",
        "pending",
        "index",
        "function",
        "called_function",
        "outcome",
        "on_reply",
    )

    def __init__(
        self,
        kind: CallKind,
        number: int,
        started_at_ms: float,
        pending: PendingRequest | None = None,
        index: int = 0,
        function: str = "",
        on_reply: Callable[[str, Any, Any], object] | None = None,
    ) -> None:
        self.kind = kind
        self.id = number
        self.started_at_ms = started_at_ms
        self.link: HostConnection | None = None
        self.pending = pending
        self.index = index
        self.function = function
        self.called_function = function
        self.outcome: routing.AttemptOutcome | None = None
        self.on_reply = on_reply


class HostConnection:
    """One connection to a host. Owned by ``HostConnections``.

    Attributes:
        wire: Where messages are written, None until it is open.
        out: Calls in flight on it, by their ids.
        unsent: Messages written while it is dialed; if that fails they were never sent.
        last_used_ms: When it last carried a message.
        last_reply_ms: When a reply last came in on it, or it was opened.
        unresponsive: A call on it was given up after a long silence: it gets no new ones until a
            reply comes in.
        missing_requests: Numbers of requests that the host answered here without running them.
    """

    def __init__(self, host: "HostRecord", now_ms: float) -> None:
        self.host = host
        self.state = ConnectionState.DIALING
        self.wire: Any = None
        self.out: dict[int, HostCall] = {}
        self.unsent: list[Any] = []
        self.last_used_ms = now_ms
        self.last_reply_ms = now_ms
        self.unresponsive = False
        self.missing_requests: dict[int, None] = {}

    def write(self, message: Any) -> None:
        """Sends a message, or keeps it until the connection is open."""
        if self.state is ConnectionState.OPEN:
            self.wire.write(message)
        elif self.state is ConnectionState.DIALING:
            self.unsent.append(message)


class HostRecord:
    """A host that the endpoint list has named. Owned by ``EndpointList``.

    Attributes:
        row: Its latest row of the endpoint list.
        links: Connections to it that are not closed; ``HostConnections`` changes them.
        started_at_ms: The later of what the list and the host's own hello state.
        calls_sent: How many calls it was sent, written by ``HostCalls``.
    """

    def __init__(self, row: protocol.Endpoint) -> None:
        self.id = row.host
        self.row = row
        self.links: list[HostConnection] = []
        self.started_at_ms = row.started_at_ms
        self.calls_sent = 0
