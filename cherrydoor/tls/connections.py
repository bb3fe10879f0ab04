"""Open connections, the credentials that each was accepted with, and their deadlines. No I/O."""

from dataclasses import dataclass
from math import inf
from zlib import crc32

from cherrydoor.tls.expiry import ExpiryPolicy
from cherrydoor.tls.messages import ConnectionOpened, EndConnection

# Fraction of the grace period over which connections with replaced credentials are ended. Spreading
# the ends prevents all clients from reconnecting at the same time; in return, some connections end
# before the full grace period.
JITTER_FRACTION = 0.25


@dataclass(slots=True)
class OpenConnection:
    """A connection, its credentials and its deadline.

    Attributes:
        opened: The credentials that the connection was accepted with.
        deadline_ms: When the connection must end, ms since 1970; infinite for no deadline.
        reason: Why it must end then.
        end_requested: Whether its end has already been requested.
    """

    opened: ConnectionOpened
    deadline_ms: float = inf
    reason: str = ""
    end_requested: bool = False


class ConnectionTable:
    """All open connections by handle, in the order in which they were opened.

    Invariants: a deadline is only moved to an earlier time, and `end_due` does not return a
    connection whose end has already been requested.
    """

    def __init__(self, policy: ExpiryPolicy) -> None:
        """Creates an empty table."""
        self.policy = policy
        self.open: dict[object, OpenConnection] = {}
        self.jitter_draws = 0

    def add(self, opened: ConnectionOpened) -> OpenConnection:
        """Adds a connection without a deadline."""
        connection = OpenConnection(opened)
        self.open[opened.connection] = connection
        return connection

    def remove(self, handle: object) -> None:
        """Removes a connection; ignores an unknown handle."""
        self.open.pop(handle, None)

    def bring_deadline_forward(
        self, connection: OpenConnection, deadline_ms: float, reason: str
    ) -> None:
        """Sets the connection's deadline and reason, unless its deadline is already earlier."""
        if deadline_ms < connection.deadline_ms:
            connection.deadline_ms = deadline_ms
            connection.reason = reason

    def grace_deadline(self, now_ms: float) -> float:
        """Returns the end of a grace period that begins now, with jitter from a seeded sequence."""
        self.jitter_draws += 1
        draw = f"standing/{self.policy.seed}/{self.jitter_draws}".encode()
        fraction = crc32(draw) / 2.0**32
        return now_ms + self.policy.grace_period_ms * (1 - JITTER_FRACTION * fraction)

    def end_now(self, connection: OpenConnection, now_ms: float, reason: str) -> EndConnection:
        """Requests the immediate end of a connection whose credentials are no longer valid."""
        connection.deadline_ms = now_ms
        connection.end_requested = True
        return EndConnection(connection.opened.connection, reason, True)

    def end_due(self, now_ms: float) -> list[EndConnection]:
        """Requests the end of the connections whose deadline has passed."""
        ended = []
        for handle, connection in self.open.items():
            if connection.deadline_ms <= now_ms and not connection.end_requested:
                connection.end_requested = True
                ended.append(EndConnection(handle, connection.reason, False))
        return ended
