"""Responses to taken-over requests, kept for clients to claim. Pure: no sockets, no clock."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from cherrydoor.failover.in_flight_set import ReplicatedEntry
from cherrydoor.protocol.messages import Response

MAX_BODY_BYTES = 16 * 2**20  # beyond this sum of bodies the oldest response is evicted first
# How long a response is kept after its client's deadline, as clocks and network delays differ.
RETENTION_AFTER_DEADLINE_MS = 2000.0

ResponseCallback = Callable[[Response], object]


class RequestKey(NamedTuple):
    """Identifies a request of an in-flight set. Two clients may use the same request id."""

    owner: str
    incarnation: int
    request_id: int
    client: str


LookupKey = tuple[str, int, int | bytes]  # owner, incarnation, request id or idempotency key digest


class ClaimLookup(NamedTuple):
    """Whether the claimed request is known, and its response; None until there is one."""

    known: bool
    response: Response | None


UNKNOWN = ClaimLookup(False, None)


class ClaimableResponse:
    """A request that was taken over, and its response once there is one.

    Attributes:
        claim_key: Secret that a claim must present; "" if the response cannot be claimed.
        key_digest: Idempotency key digest if the request must not run a second time, else empty.
        deadline_ms: When its client stops waiting for the response.
        response: None until there is one.
        waiting_callbacks: Callbacks of claims that arrived before the response.
    """

    __slots__ = ("claim_key", "deadline_ms", "key_digest", "response", "waiting_callbacks")

    def __init__(self, claim_key: str, key_digest: bytes, deadline_ms: float) -> None:
        self.claim_key = claim_key
        self.key_digest = key_digest
        self.deadline_ms = deadline_ms
        self.response: Response | None = None
        self.waiting_callbacks: list[ResponseCallback] = []


class ResponseClaims:
    """Requests that this gateway has taken over, by key, with their responses.

    Invariants: `index` has each row under its request id and, if it has one, under its idempotency
    key digest. `body_bytes` is the total size of the responses' bodies; it exceeds `max_body_bytes`
    only if the latest response alone does. A row is removed `RETENTION_AFTER_DEADLINE_MS` after its
    client's deadline.

    Args:
        max_body_bytes: Bound on the total size of the bodies of kept responses.
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
        """Add a request whose response is not yet known."""
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
        """Store a response.

        Returns:
            Callbacks of the claims that wait for it, for the caller to call with the response.
            Empty if the request is unknown or already had a response.
        """
        request = entry.request
        row = self.rows.get(RequestKey(owner, incarnation, request.request_id, request.client))
        if row is None or row.response is not None:
            return []
        waiting_callbacks = row.waiting_callbacks
        row.waiting_callbacks = []
        row.response = response
        self.body_bytes += len(response.body)
        self._evict_beyond_bound(row)
        return waiting_callbacks

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
        """Look up a response by request id, or by idempotency key digest for a repeated request.

        A response can be claimed more than once, as its delivery to the client may fail again.

        Args:
            owner: Gateway that accepted the request.
            incarnation: The owner's incarnation.
            request_id: The client's id for the request.
            claim_key: The request's secret; without it the request is reported as unknown.
            callback: Called with the response later, if it is not known yet.
            key_digest: If given, looked up instead of the request id.
        """
        lookup_key = owner, incarnation, key_digest or request_id
        for key in self.index.get(lookup_key, ()):
            row = self.rows[key]
            if claim_key and row.claim_key == claim_key:
                self.counters["claimed"] += 1
                if row.response is None:
                    row.waiting_callbacks.append(callback)
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
        """Remove the rows whose retention has ended."""
        expired = [
            key
            for key, row in self.rows.items()
            if row.deadline_ms + RETENTION_AFTER_DEADLINE_MS < now
        ]
        for key in expired:
            self._remove(key)
