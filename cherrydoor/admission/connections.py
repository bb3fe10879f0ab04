"""Client connections as admission sees them, and the groups and networks that they count in."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final, Protocol

from cherrydoor.admission.leaky_bucket import LeakyBucket

if TYPE_CHECKING:
    from cherrydoor.admission.known_clients import KnownClient


class ConnectionState(StrEnum):
    """The state of a connection in admission."""

    NEW = "new"
    WAITING = "waiting"  # for a slot of its known client, or for its handshake to start
    PENDING = "porch"  # in its handshake, or waiting for its hello
    ADMITTED = "seated"
    CLOSED = "over"


# Module-level names for the members: reading a member from the class takes ten times as long in
# Python 3.11, and admission compares states several times for each connection.
NEW: Final = ConnectionState.NEW
WAITING: Final = ConnectionState.WAITING
PENDING: Final = ConnectionState.PENDING
ADMITTED: Final = ConnectionState.ADMITTED
CLOSED: Final = ConnectionState.CLOSED


class ConnectionHandler(Protocol):
    """The I/O side of a connection: the listener passes the controller's actions to it."""

    def start_handshake(self) -> None:
        """Starts the TLS handshake, or reads the hello if the listener has no TLS."""

    def admit(self, longest_frame_bytes: int, /) -> None:
        """Admits the connection; frames up to this length in bytes are accepted from it."""

    def refuse(self, reason: str, retry_after_ms: float, /) -> None:
        """Sends the client the reason if possible, and closes the connection."""

    def pause(self) -> None:
        """Stops reading from the connection."""

    def resume(self) -> None:
        """Resumes reading from the connection."""


class ReadGroup:
    """Connections that share a read quota and a limit on the bytes that are held for them.

    There is one for each known client, one for each network prefix of unknown clients, one that is
    the parent of all of the latter, and one above all. Bytes are held for a connection from its
    first byte on, whether or not it is admitted: input that is not handled yet, and output that is
    not sent yet. AdmittedConnection.count_read() counts `read` and `readers`; FairReading sets
    `allowed`, `connection_allowed`, `paused` and `connections`.

    Attributes:
        read: Messages read in the current window.
        readers: Connections from which messages were read in the current window.
        allowed: Messages that may be read in one window; None for no limit.
        connection_allowed: The same for each of its connections.
        paused: Whether reading from any connection was paused in the current window.
        held_bytes: Bytes held for all connections of the group.
        held_bytes_limit: Above this many bytes the connection that holds the most is closed.
        parent: A wider group that counts the same bytes too, or None.
        connections: Admitted connections, in the order of their admission.
    """

    __slots__ = (
        "read",
        "readers",
        "allowed",
        "connection_allowed",
        "paused",
        "held_bytes",
        "held_bytes_limit",
        "parent",
        "connections",
    )

    def __init__(self, held_bytes_limit: int, parent: ReadGroup | None = None) -> None:
        self.read = 0
        self.readers: dict[AdmittedConnection, bool] = {}
        self.allowed: float | None = None
        self.connection_allowed = 0.0
        self.paused = False
        self.held_bytes = 0
        self.held_bytes_limit = held_bytes_limit
        self.parent = parent
        self.connections: dict[AdmittedConnection, bool] = {}

    def add_held_bytes(self, change: int) -> bool:
        """Adds to the bytes held, in this group and the wider ones.

        Returns:
            Whether this group or a wider one is above its limit.
        """
        self.held_bytes += change
        exceeded = self.held_bytes > self.held_bytes_limit
        if self.parent is not None:
            exceeded = self.parent.add_held_bytes(change) or exceeded
        return exceeded

    def above_limit(self) -> ReadGroup | None:
        """Returns the narrowest of this group and the wider ones that is above its limit."""
        group: ReadGroup | None = self
        while group is not None and group.held_bytes <= group.held_bytes_limit:
            group = group.parent
        return group

    def is_within(self, wider: ReadGroup) -> bool:
        """Returns whether this is that group, or a part of it."""
        group: ReadGroup | None = self
        while group is not None and group is not wider:
            group = group.parent
        return group is not None


class NetworkPrefix:
    """The connections of one network prefix, which has one of three widths.

    Attributes:
        width: Index of the width, 0 for the narrowest prefix.
        key: IP version and the leading bits of the addresses.
        bucket: Rate limiter for its new connections.
        pending: Number of its connections in `PendingConnections.slots`.
        admitted: Connections of unknown clients that hold a slot.
        group: Read group of its unknown clients; only that of the narrowest width is used.
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
    """One client connection, from the time it is accepted until it is closed.

    The listener's side updates `used`, `open`, `partial` and, with hold(), `held`; the controller
    updates all other attributes.

    Attributes:
        address: The client's IP address, as text.
        networks: Its network prefixes, the narrowest first.
        known_client: The known client whose slot it holds or is about to ask for; else None.
        presumed_client: The known client that its address suggests, before it has proved its
            identity.
        state: Its state in admission.
        accepted_at_ms: Time at which it was accepted.
        used: Time of the last read or write on it, in ms.
        open: Its requests that wait for a response; falsy if there are none.
        partial: Time at which its unfinished frame began, in ms; 0 if there is no such frame.
        held: Bytes held for it: input that is not handled yet, and output that is not sent yet.
        group: Its read group: that of its network, or of its known client; None until accepted.
        read: Messages read from it in the current window.
        paused: Whether reading from it is paused for the rest of the current window.
        handler: Its I/O side.
        pending_index: Its index in `PendingConnections.slots`.
        needs_handshake: Whether it starts with a TLS handshake.
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
        "read",
        "paused",
        "handler",
        "pending_index",
        "needs_handshake",
    )

    def __init__(self, address: str, now: float, handler: ConnectionHandler | None = None) -> None:
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
        self.read = 0
        self.paused = False
        self.handler = handler
        self.pending_index = 0
        self.needs_handshake = False

    def count_read(self) -> bool:
        """Counts a message that was read from it.

        Returns:
            Whether its share of this window, or that of its whole group, is used up.
        """
        group = self.group
        assert group is not None, "an accepted connection has a group"
        group.read += 1
        self.read += 1
        group.readers[self] = True
        if group.allowed is None or self.paused:
            return False
        return self.read >= group.connection_allowed or group.read > group.allowed

    def hold(self, size: int) -> bool:
        """Records how many bytes are held for it.

        Returns:
            Whether they have grown, and its group or a wider one is above its limit.
        """
        change = size - self.held
        if not change or self.group is None:
            return False
        self.held = size
        return self.group.add_held_bytes(change) and change > 0

    def move_to(self, group: ReadGroup) -> None:
        """Sets its read group, which then counts what is held for it."""
        held = self.held
        self.hold(0)
        self.group = group
        self.hold(held)
