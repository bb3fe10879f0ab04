"""Records of the dispatcher: clients, pending requests, calls to hosts, connections and hosts.

They hold state and make no decisions. Each docstring names the record's owner; other objects write
only the attributes for which it says so.
"""

from collections.abc import Callable
from enum import Enum, StrEnum
from typing import Any, Protocol

from cherrydoor.gateway.timers import Timer
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

# Counter that must stay 0: attempts started more than CLOSE_GRACE_MS after the last check that
# found their client, which has since disconnected, still connected.
ATTEMPTS_AFTER_CLOSE = "attempts after the client had closed"
# At most one tick passes between the check for a client's close and the write of its attempt.
CLOSE_GRACE_MS = 100.0


class ConnectionState(StrEnum):
    """State of a connection to a host; it only changes to a later state in this order."""

    DIALING = "dialing"
    OPEN = "open"
    CLOSED = "closed"


CLOSED = ConnectionState.CLOSED  # used when the service replaces its dispatcher


class CallKind(Enum):
    """Kind of a call, which a host is expected to answer."""

    ATTEMPT = 1
    HEALTH_CHECK = 2
    LOAD_ORDER = 3
    QUERY = 4  # sent for failover or a zone drain; the router is not notified


class MessageWriter(Protocol):
    """The sending side of a connection, provided by the I/O layer."""

    def write(self, message: Any) -> None:
        """Sends a message."""

    def close(self, reason: str) -> None:
        """Closes the connection and sends the reason to the peer."""


def never_closed() -> bool:
    """Default of ``has_closed`` where the I/O layer cannot check for an unread close."""
    return False


def already_closed() -> bool:
    """``has_closed`` of a connection that has been released."""
    return True


class ClientConnection:
    """One connection of a client. Owned by ``RequestTable``.

    Attributes:
        writer: Where responses are written.
        name: Name in the client's hello.
        pending_requests: Pending requests by the ids that the client gave them.
        has_closed: Returns whether the client has closed, even if the close has not been read yet.
        min_clock_gap_ms: Smallest difference seen between our receive time and the client's send
            time, which is taken as zero delay; None before the first message.
        last_connected_ms: When the client was last known to be connected.
    """

    def __init__(
        self, writer: Any, name: str = "", has_closed: Callable[[], bool] = never_closed
    ) -> None:
        self.writer = writer
        self.name = name
        self.has_closed = has_closed
        self.pending_requests: dict[int, PendingRequest] = {}
        self.min_clock_gap_ms: float | None = None
        self.last_connected_ms = 0.0

    def release(self) -> None:
        """Drops the connection's I/O side once it has ended.

        Requests whose attempts are still in flight refer to this record until these end. They must
        not keep what was read from the connection.
        """
        self.writer = None
        self.has_closed = already_closed

    def check_connected(self, now_ms: float) -> bool:
        """Returns whether the client has not closed, checked before each attempt is sent."""
        if self.has_closed():
            return False
        self.last_connected_ms = now_ms
        return True

    def excess_delay_ms(self, sent_at_ms: float, now_ms: float) -> float:
        """Returns how many ms longer a frame took than the fastest frame of this connection.

        After a stall of the gateway or the network, a request would otherwise get time that its
        client no longer has. If the client's clock runs slower than ours, the drift counts as
        delay.

        Args:
            sent_at_ms: When the frame was sent, by the client's clock.
            now_ms: When it was read, by our clock.
        """
        gap_ms = now_ms - sent_at_ms
        if self.min_clock_gap_ms is None or gap_ms < self.min_clock_gap_ms:
            self.min_clock_gap_ms = gap_ms
        return gap_ms - self.min_clock_gap_ms


class PendingRequest:
    """A request from its arrival until it has a response and its last attempt has ended.

    Owned by ``RequestTable``; ``Attempts`` adds its attempts and ends them.

    Attributes:
        number: Number in this gateway; ``request.id`` is the client's.
        deadline_ms: When the client stops waiting, less the time reserved for the response.
        attempts: All attempts, in the order in which the router decided them.
        references: Number of attempts in flight, plus one while the router has yet to be notified
            of a cancellation.
        finished: Whether the response was sent or the request was cancelled.
        streaming: Whether the response has started to stream.
        function: The version of the function under which the router knows the request.
        origin: Identity in the gateway it was taken over from, as attempts carry it; None if it
            was accepted here.
        adopted: Whether an attempt of another gateway, unknown to the router, is in flight.
        deadline_timer: Fires at the deadline; None once the request is removed.
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
        "deadline_timer",
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
        self.deadline_timer: Timer | None = None


class HostCall:
    """An attempt, health check, load order or query, which a host is expected to answer.

    Owned by ``HostCalls``, which sets ``outcome`` exactly once.

    Attributes:
        id: Number on the wire.
        started_at_ms: When the call was created.
        connection: The connection to the host that it was sent on; None if it was not sent.
        pending: The request of an attempt; None for other kinds.
        index: Position of an attempt among those of its request.
        function: Function of a load order.
        called_function: Version that an attempt calls.
        outcome: The outcome; None while the call is in flight.
        gaps_before: The host's ``gaps`` when the call was decided.
        on_reply: Called as (host id, outcome, message) when a query has ended.
        timeout_timer: Ends the call if no reply arrives; None without one.
    """

    __slots__ = (
        "kind",
        "id",
        "started_at_ms",
        "connection",
        "pending",
        "index",
        "function",
        "called_function",
        "outcome",
        "gaps_before",
        "on_reply",
        "timeout_timer",
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
        self.connection: HostConnection | None = None
        self.pending = pending
        self.index = index
        self.function = function
        self.called_function = function
        self.outcome: routing.AttemptOutcome | None = None
        self.gaps_before = 0
        self.on_reply = on_reply
        self.timeout_timer: Timer | None = None


class HostConnection:
    """One connection to a host. Owned by ``HostConnections``.

    Attributes:
        writer: Where messages are written; None until the connection is open.
        calls_in_flight: Calls in flight on it, by their ids.
        unsent: Messages written while dialing; they are dropped if dialing fails.
        last_used_ms: When it last carried a message.
        last_reply_ms: When the last reply was read from it, or when it was opened.
        unresponsive: Whether a call on it was abandoned after a long silence. If the host has other
            connections, new calls avoid this one until a reply arrives on it.
        missing_requests: Numbers of requests that the host answered on this connection with
            "function missing", oldest first.
    """

    def __init__(self, host: "HostRecord", now_ms: float) -> None:
        self.host = host
        self.state = ConnectionState.DIALING
        self.writer: Any = None
        self.calls_in_flight: dict[int, HostCall] = {}
        self.unsent: list[Any] = []
        self.last_used_ms = now_ms
        self.last_reply_ms = now_ms
        self.unresponsive = False
        self.missing_requests: dict[int, None] = {}

    def write(self, message: Any) -> None:
        """Sends a message, or queues it until the connection is open; ignored once it is closed."""
        if self.state is ConnectionState.OPEN:
            self.writer.write(message)
        elif self.state is ConnectionState.DIALING:
            self.unsent.append(message)


class HostRecord:
    """A host that the endpoint list has named. Owned by ``EndpointList``.

    Attributes:
        row: Its latest row of the endpoint list.
        connections: Connections to it that are not closed; written by ``HostConnections``.
        started_at_ms: The later of the start times in the endpoint list and in the host's hello.
        calls_sent: Number of calls sent to it; written by ``HostCalls``.
        connected_since_ms: Since when at least one connection to it has been open without a gap;
            None while none is open. Written by ``HostConnections``, like the next two.
        broken_at_ms: When it last closed or refused a connection and no other one was open; None if
            it never has.
        gaps: How often no connection to it was left open; in each gap the process at its address
            may have been replaced.
    """

    def __init__(self, row: protocol.Endpoint) -> None:
        self.id = row.host
        self.row = row
        self.connections: list[HostConnection] = []
        self.started_at_ms = row.started_at_ms
        self.calls_sent = 0
        self.connected_since_ms: float | None = None
        self.broken_at_ms: float | None = None
        self.gaps = 0
