"""Responses of taken-over requests, kept for whoever may claim them. Pure: no sockets, no clock."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cherrydoor.failover.in_flight_set import ReplicatedEntry
from cherrydoor.protocol.messages import Response

MAX_BODY_BYTES = 16 * 2**20  # of responses kept; beyond it the oldest goes first
# For how long after its client's deadline a response is kept: clocks and network paths differ.
RETENTION_AFTER_DEADLINE_MS = 2000.0

ResponseCallback = Callable[[Response], object]


class RequestKey(NamedTuple):
    """A request of an in-flight set. Two clients may give one id to a request each."""

    owner: str
    incarnation: int
    request_id: int
    client: str


LookupKey = tuple[str, int, int | bytes]  # owner, incarnation, request id or idempotency key digest


class ClaimLookup(NamedTuple):
    """Whether a claim's request is known, and its response; None while that is awaited."""

    known: bool
    response: Response | None


UNKNOWN = ClaimLookup(False, None)


class ClaimableResponse:
    """A request that was taken over, and its response once it is known.

    Attributes:
        claim_key: The secret by which it may be claimed; "" if it never may.
        key_digest: Idempotency key digest, where the request must not run a second time.
        deadline_ms: Of its client.
        response: None until it is known.
        waiting: Claims that came before the response.
    """

    __slots__ = ("claim_key", "deadline_ms", "key_digest", "response", "waiting")

    def __init__(self, claim_key: str, key_digest: bytes, deadline_ms: float) -> None:
        self.claim_key = claim_key
        self.key_digest = key_digest
        self.deadline_ms = deadline_ms
        self.response: Response | None = None
        self.waiting: list[ResponseCallback] = []


class ResponseClaims:
    """Requests that were taken over here, by key, with their responses.

    Invariants: `index` has each row under its request's id and, where it has one, under its
    idempotency key digest; `body_bytes` is the sum of the responses' bodies, and at most
    `max_body_bytes` but for the latest one. A row goes when its client's time is over.

    Args:
        max_body_bytes: Bound on the bodies of responses kept.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.body_bytes = 0
        self.rows: dict[RequestKey, ClaimableResponse] = {}
        self.index: dict[LookupKey, dict[RequestKey, bool]] = {}
        self.counters: Counter[str] = Counter()

    def expect(
        self, owner: str, incarnation: int, entry: ReplicatedEntry, key_digest: bytes = b""
    ) -> None:
        """Take in a request whose response is to come."""
        request = entry.request
        key = RequestKey(owner, incarnation, request.request_id, request.client)
        if key in self.rows:
            self._remove(key)
        self.rows[key] = ClaimableResponse(request.claim_key, key_digest, entry.deadline_ms)
        for lookup_key in self._lookup_keys(key):
            self.index.setdefault(lookup_key, {})[key] = True

    def _lookup_keys(self, key: RequestKey) -> list[LookupKey]:
        lookup_keys: list[LookupKey] = [(key.owner, key.incarnation, key.request_id)]
        key_digest = self.rows[key].key_digest
        if key_digest:
            lookup_keys.append((key.owner, key.incarnation, key_digest))
        return lookup_keys

    def respond(
        self, owner: str, incarnation: int, entry: ReplicatedEntry, response: Response
    ) -> list[ResponseCallback]:
        """Keep a response.

        Returns:
            The claims that wait for it, to be called with it; none where there was a response.
        """
        request = entry.request
        row = self.rows.get(RequestKey(owner, incarnation, request.request_id, request.client))
        if row is None or row.response is not None:
            return []
        waiting = row.waiting
        row.waiting = []
        row.response = response
        self.body_bytes += len(response.body)
        self._evict_beyond_bound(row)
        return waiting

    def _evict_beyond_bound(self, latest: ClaimableResponse) -> None:
        while self.body_bytes > self.max_body_bytes:
            oldest = next(
                (
                    key
                    for key, row in self.rows.items()
                    if row.response is not None and row is not latest
                ),
                None,
            )
            if oldest is None:
                break
            self.counters["answers left out"] += 1
            self._remove(oldest)

    def claim(
        self,
        owner: str,
        incarnation: int,
        request_id: int,
        claim_key: str,
        callback: ResponseCallback,
        key_digest: bytes = b"",
    ) -> ClaimLookup:
        """Look a response up, by request id, or by idempotency key digest for a repeated request.

        A response can be claimed again: the way back may fail once more.

        Args:
            owner: Gateway that accepted the request.
            incarnation: The owner's.
            request_id: The client's id for it.
            claim_key: The request's own; without it all that is told is that nothing is known.
            callback: Called with the response, where that is still to come.
            key_digest: If given, looked up in place of the request's id.
        """
        lookup_key = owner, incarnation, key_digest or request_id
        for key in self.index.get(lookup_key, ()):
            row = self.rows[key]
            if claim_key and row.claim_key == claim_key:
                self.counters["claimed"] += 1
                if row.response is None:
                    row.waiting.append(callback)
                return ClaimLookup(True, row.response)
        self.counters["claims of what is not known"] += 1
        return UNKNOWN

    def _remove(self, key: RequestKey) -> None:
        for lookup_key in self._lookup_keys(key):
            keys = self.index[lookup_key]
            del keys[key]
            if not keys:
                del self.index[lookup_key]
        row = self.rows.pop(key)
        if row.response is not None:
            self.body_bytes -= len(row.response.body)

    def tick(self, now: float) -> None:
        """Drop what nobody can claim any more."""
        expired = [
            key
            for key, row in self.rows.items()
            if row.deadline_ms + RETENTION_AFTER_DEADLINE_MS < now
        ]
        for key in expired:
            self._remove(key)
