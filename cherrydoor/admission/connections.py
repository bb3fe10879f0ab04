"""A client connection as admission sees it, and what connections are counted by."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final, Protocol

from cherrydoor.admission.leaky_bucket import LeakyBucket

if TYPE_CHECKING:
    from cherrydoor.admission.known_clients import KnownClient


class ConnectionState(StrEnum):
    """Where a connection stands in admission."""

    NEW = "new"
    WAITING = "waiting"  # for a connection slot of its known client, or for its handshake
    PENDING = "porch"  # in its handshake, or before its hello
    ADMITTED = "seated"
    CLOSED = "over"


# The members by themselves: reading them from the class takes ten times as long in Python 3.11, and
# admission compares states several times for each connection.
NEW: Final = ConnectionState.NEW
WAITING: Final = ConnectionState.WAITING
PENDING: Final = ConnectionState.PENDING
ADMITTED: Final = ConnectionState.ADMITTED
CLOSED: Final = ConnectionState.CLOSED


class ConnectionHandler(Protocol):
    """The I/O side of a connection, to which the listener passes the controller's actions."""

    def start_handshake(self) -> None:
        """Starts the handshake, or reads the hello where there is no handshake."""

    def admit(self, longest_frame_bytes: int, /) -> None:
        """The connection is admitted; frames up to this length are read from it."""

    def refuse(self, reason: str, retry_after_ms: float, /) -> None:
        """Tells the client the reason where that can be done, and closes."""

    def pause(self) -> None:
        """Reads nothing from the connection."""

    def resume(self) -> None:
        """Reads from the connection again."""


class ReadGroup:
    """Connections that share a read quota and a bound on unfinished bytes.

    There is one for each known client, one for each network prefix of an unknown client, and one
    above all of the latter. The listener counts `read`; FairReading owns `allowed`, `paused` and
    `connections`.

    Attributes:
        read: Requests read in the current window.
        allowed: Requests that may be read in one window, or None for any number.
        paused: Nothing more is read in the current window.
        held_bytes: Bytes of unfinished frames held for all connections of the group.
        held_bytes_limit: Above this the connection that holds most is closed.
        parent: The group that holds the same bytes once more, or None.
        connections: Admitted connections, in the order of their admission.
    """

    __slots__ = (
        "read",
        "allowed",
        "paused",
        "held_bytes",
        "held_bytes_limit",
        "parent",
        "connections",
    )

    def __init__(self, held_bytes_limit: int, parent: ReadGroup | None = None) -> None:
        self.read = 0
        self.allowed: float | None = None
        self.paused = False
        self.held_bytes = 0
        self.held_bytes_limit = held_bytes_limit
        self.parent = parent
        self.connections: dict[AdmittedConnection, bool] = {}

    def add_held_bytes(self, change: int) -> bool:
        """Counts bytes of unfinished frames, here and in the parent.

        Returns:
            True where this group or its parent holds more than it may.
        """
        self.held_bytes += change
        exceeded = self.held_bytes > self.held_bytes_limit
        if self.parent is not None:
            exceeded = self.parent.add_held_bytes(change) or exceeded
        return exceeded


class NetworkPrefix:
    """The counts of one network at one of the three prefix widths.

    Attributes:
        width: Index of the width, 0 for the narrowest.
        key: IP version and leading bits.
        pending: Connections in PendingConnections.
        admitted: Connections of unknown clients that hold a slot.
        group: The read group of unknown clients; only that of the narrowest width is used.
    """

    __slots__ = ("width", "key", "bucket", "pending", "admitted", "group")

    def __init__(self, width: int, key: tuple[int, int], now: float, group: ReadGroup) -> None:
        self.width = width
        self.key = key
        self.bucket = LeakyBucket(now)
        self.pending = 0
        self.admitted: dict[AdmittedConnection, bool] = {}
        self.group = group


class AdmittedConnection:
    """One client connection, from its acceptance to its end.

    The listener's side keeps `used`, `open`, `partial` and `held`; everything else is the
    controller's.

    Attributes:
        address: The client's IP address, as text.
        networks: Its network prefixes, the narrowest first.
        known_client: Whose slot it holds; None for an unknown client, or for none.
        presumed_client: The known client that it seems to be by its address, before it has proved
            anything.
        state: Where it stands.
        accepted_at_ms: When it was accepted.
        used: When something was last read from it or written to it, in ms.
        open: Requests that wait for an answer; falsy where there are none.
        partial: Since when a frame is unfinished, in ms; 0 for none.
        held: Bytes of that frame.
        group: Its read group, once it is admitted.
        wire: The I/O side.
        pending_index: Its index in PendingConnections.slots.
        needs_handshake: It begins with a TLS handshake.
    """

    __slots__ = (
        "address",
        "networks",
        "known_client",
        "presumed_client",
        "state",
        "accepted_at_ms",
        "used",
        "open",
        "partial",
        "held",
        "group",
        "wire",
        "pending_index",
        "needs_handshake",
    )

    def __init__(self, address: str, now: float, wire: ConnectionHandler | None = None) -> None:
        self.address = address
        self.networks: tuple[NetworkPrefix, ...] = ()
        self.known_client: KnownClient | None = None
        self.presumed_client: KnownClient | None = None
        self.state: ConnectionState = NEW
        self.accepted_at_ms = now
        self.used = now
        self.open: Any = 0
        self.partial = 0.0
        self.held = 0
        self.group: ReadGroup | None = None
        self.wire = wire
        self.pending_index = 0
        self.needs_handshake = False
