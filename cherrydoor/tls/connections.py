"""Open connections, the credentials that each rests on and when each is to end. Pure."""

from dataclasses import dataclass
from math import inf
from zlib import crc32

from cherrydoor.tls.expiry import ExpiryPolicy
from cherrydoor.tls.messages import ConnectionOpened, EndConnection

# Fraction of the grace period over which connections of replaced credentials are ended. Guards
# against all clients connecting again at once; harms by ending some before the full grace period.
JITTER_FRACTION = 0.25


@dataclass(slots=True)
class OpenConnection:
    """A connection and what it rests on.

    Attributes:
        opened: The credentials that it was accepted on.
        deadline_ms: When it is to end.
        why: Why it is to end then.
        end_requested: Whether its end was requested already.
    """

    opened: ConnectionOpened
    deadline_ms: float = inf
    why: str = ""
    end_requested: bool = False


class ConnectionTable:
    """All open connections, by handle, in order of their opening.

    Invariants: a deadline is only ever moved earlier, and a connection whose end was
    requested is not returned by `end_due` again.
    """

    def __init__(self, policy: ExpiryPolicy) -> None:
        """No connections."""
        self.policy = policy
        self.open: dict[object, OpenConnection] = {}
        self.jitter_draws = 0

    def add(self, opened: ConnectionOpened) -> OpenConnection:
        """Enters a connection without a deadline."""
        connection = OpenConnection(opened)
        self.open[opened.connection] = connection
        return connection

    def remove(self, handle: object) -> None:
        """Forgets a connection; one that is not there is ignored."""
        self.open.pop(handle, None)

    def limit(self, connection: OpenConnection, deadline_ms: float, why: str) -> None:
        """Moves the connection's deadline to this time, unless it is earlier already."""
        if deadline_ms < connection.deadline_ms:
            connection.deadline_ms = deadline_ms
            connection.why = why

    def grace_deadline(self, now_ms: float) -> float:
        """End of a grace period that begins now, with jitter. Draws from the seeded sequence."""
        self.jitter_draws += 1
        draw = f"standing/{self.policy.seed}/{self.jitter_draws}".encode()
        fraction = crc32(draw) / 2.0**32
        return now_ms + self.policy.grace_period_ms * (1 - JITTER_FRACTION * fraction)

    def end_now(self, connection: OpenConnection, now_ms: float, why: str) -> EndConnection:
        """Requests the end of a connection whose credentials are void."""
        connection.deadline_ms = now_ms
        connection.end_requested = True
        return EndConnection(connection.opened.connection, why, True)

    def end_due(self, now_ms: float) -> list[EndConnection]:
        """Requests the end of the connections whose deadline has passed."""
        ended = []
        for handle, connection in self.open.items():
            if connection.deadline_ms <= now_ms and not connection.end_requested:
                connection.end_requested = True
                ended.append(EndConnection(handle, connection.why, False))
        return ended
