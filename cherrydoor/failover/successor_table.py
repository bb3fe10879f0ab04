"""Table of the announced successors of ended incarnations. Pure: no sockets, no clock."""

from collections.abc import Iterator

from cherrydoor.protocol.peers import SuccessorAnnounced

# How long an announcement is kept. Longer than any client's deadline.
RETENTION_MS = 60000.0

IncarnationKey = tuple[str, int]  # owner, incarnation


class SuccessorTable:
    """Announced successors, and the idempotency key digests of requests that they took over.

    Invariant: for each incarnation it holds the announcement with the highest fencing token. Under
    one token, the announcement of the completed takeover replaces that of its start. Each is
    dropped `RETENTION_MS` after it arrived.
    """

    def __init__(self) -> None:
        self._announced: dict[IncarnationKey, tuple[SuccessorAnnounced, float]] = {}
        self._by_key_digest: dict[bytes, tuple[IncarnationKey, float]] = {}

    def accept(self, now: float, announced: SuccessorAnnounced) -> bool:
        """Add an announcement; return False if it or one that supersedes it is already known."""
        key = announced.owner, announced.incarnation
        known = self._announced.get(key)
        if known is not None and _precedence(known[0]) >= _precedence(announced):
            return False
        expires_at_ms = now + RETENTION_MS
        self._announced[key] = announced, expires_at_ms
        for key_digest in announced.key_digests:
            self._by_key_digest[key_digest] = key, expires_at_ms
        return True

    def successor_of(self, owner: str, incarnation: int) -> str | None:
        """Return the name of an incarnation's successor, or None if none is known."""
        known = self._announced.get((owner, incarnation))
        return known[0].successor if known else None

    def incarnation_holding(self, key_digest: bytes) -> IncarnationKey | None:
        """Return the ended incarnation that had a request with this idempotency key, or None."""
        known = self._by_key_digest.get(key_digest)
        return known[0] if known else None

    def announcements(self) -> Iterator[SuccessorAnnounced]:
        """Yield the current announcement of each incarnation."""
        for announced, _ in self._announced.values():
            yield announced

    def tick(self, now: float) -> None:
        """Drop expired announcements."""
        for key in [key for key, (_, expires) in self._announced.items() if expires <= now]:
            del self._announced[key]
        for digest in [key for key, (_, expires) in self._by_key_digest.items() if expires <= now]:
            del self._by_key_digest[digest]


def _precedence(announced: SuccessorAnnounced) -> tuple[int, bool]:
    return announced.fencing_token, announced.completed
