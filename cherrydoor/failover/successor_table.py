"""Who is successor to which incarnation, as gateways announce it. Pure: no sockets, no clock."""

from collections.abc import Iterator

from cherrydoor.protocol.peers import SuccessorAnnounced

# For how long it is known who took an in-flight set over; longer than any client's deadline.
RETENTION_MS = 60000.0

IncarnationKey = tuple[str, int]  # owner, incarnation


class SuccessorTable:
    """Announced successors, and the idempotency keys of requests that they took over.

    Invariant: of announcements for one incarnation the one with the highest fencing token stands,
    and of one token the one that completes the takeover. Each goes `RETENTION_MS` after it came.
    """

    def __init__(self) -> None:
        self._announced: dict[IncarnationKey, tuple[SuccessorAnnounced, float]] = {}
        self._by_key_digest: dict[bytes, tuple[IncarnationKey, float]] = {}

    def accept(self, now: float, announced: SuccessorAnnounced) -> bool:
        """Take in an announcement; False where it was known, or a higher one is."""
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
        """Return the gateway that takes over an incarnation, None where none is known."""
        known = self._announced.get((owner, incarnation))
        return known[0].successor if known else None

    def incarnation_holding(self, key_digest: bytes) -> IncarnationKey | None:
        """Return the taken-over incarnation that had a request of this idempotency key."""
        known = self._by_key_digest.get(key_digest)
        return known[0] if known else None

    def announcements(self) -> Iterator[SuccessorAnnounced]:
        """Yield every announcement that stands."""
        for announced, _ in self._announced.values():
            yield announced

    def tick(self, now: float) -> None:
        """Drop what has expired."""
        for key in [key for key, (_, until) in self._announced.items() if until <= now]:
            del self._announced[key]
        for digest in [key for key, (_, until) in self._by_key_digest.items() if until <= now]:
            del self._by_key_digest[digest]


def _precedence(announced: SuccessorAnnounced) -> tuple[int, bool]:
    return announced.fencing_token, announced.completed
