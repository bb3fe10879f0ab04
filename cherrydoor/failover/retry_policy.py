"""Whether a request may run again, by the retry safety of its class. Pure: no sockets, no clock."""

from hashlib import blake2b

from msgspec import Struct

from cherrydoor.routing.messages import AttemptOutcome, RetrySafety

# Cost of losing a request: beyond a bound, requests of the lowest rank are evicted first.
RETENTION_RANK: dict[str, int] = {
    RetrySafety.IDEMPOTENT: 0,
    RetrySafety.IDEMPOTENCY_KEY: 1,
    RetrySafety.AT_MOST_ONCE: 2,
}
# Attempt outcomes that prove that the request did not run.
NOT_RUN_OUTCOMES = (
    AttemptOutcome.FULL,
    AttemptOutcome.FUNCTION_MISSING,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.CONNECT_FAILED,
)
DEDUP_BY_ALL_HOSTS = "all"  # dedup scope in which every host drops repeats of a key
DIGEST_BYTES = 12  # long enough that two keys of one fleet do not collide


class RetryPolicy(Struct, frozen=True):
    """Whether requests of a request class may be run again.

    Attributes:
        retry_safety: One of `RetrySafety`'s values.
        dedup_scope: Group of hosts that together drop repeats of an idempotency key.
        dedup_window_ms: How long hosts remember an idempotency key, in ms.
        streaming: Whether responses are streamed.
    """

    retry_safety: str = RetrySafety.IDEMPOTENT
    dedup_scope: str = DEDUP_BY_ALL_HOSTS
    dedup_window_ms: float = 0.0
    streaming: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once without harm."""
        return self.retry_safety == RetrySafety.IDEMPOTENT


def idempotency_key_digest(tenant: str, request_class: str, idempotency_key: str) -> bytes:
    """Return a digest that identifies repeats of a request without revealing its key.

    >>> first = idempotency_key_digest("c", "file", "m1")
    >>> first == idempotency_key_digest("c", "file", "m1")
    True
    >>> first == idempotency_key_digest("c", "file", "m2")
    False
    """
    text = f"{tenant}\0{request_class}\0{idempotency_key}"
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def may_retry_adopted_attempt(policy: RetryPolicy, outcome: str) -> bool:
    """Return whether to allow another attempt after an adopted one without a response."""
    return policy.idempotent or outcome in NOT_RUN_OUTCOMES
