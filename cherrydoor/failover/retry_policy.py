"""Whether a request may run again, by the retry safety of its class. Pure: no sockets, no clock."""

from hashlib import blake2b

from msgspec import Struct

from cherrydoor.routing.messages import AttemptOutcome, RetrySafety

# What it costs to lose a request, in order: beyond a bound the cheapest goes first.
RETENTION_RANK: dict[str, int] = {
    RetrySafety.IDEMPOTENT: 0,
    RetrySafety.IDEMPOTENCY_KEY: 1,
    RetrySafety.AT_MOST_ONCE: 2,
}
# Outcomes of an attempt that prove that its request did not run.
DID_NOT_RUN = (
    AttemptOutcome.FULL,
    AttemptOutcome.FUNCTION_MISSING,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.CONNECT_FAILED,
)
DEDUP_BY_ALL_HOSTS = "all"  # the scope in which every host drops repeats of a key
DIGEST_BYTES = 12  # enough that two keys of one fleet do not collide


class RetryPolicy(Struct, frozen=True):
    """What a request class says of running one of its requests again.

    Attributes:
        retry_safety: One of `RetrySafety`'s values.
        dedup_scope: Group of hosts within which repeats of an idempotency key are dropped.
        dedup_window_ms: How long hosts remember an idempotency key.
        streaming: Whether its responses stream.
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
    """Identify the repeats of one request, to nobody who does not know its key.

    >>> first = idempotency_key_digest("c", "file", "m1")
    >>> first == idempotency_key_digest("c", "file", "m1")
    True
    >>> first == idempotency_key_digest("c", "file", "m2")
    False
    """
    text = f"{tenant}\0{request_class}\0{idempotency_key}"
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def may_retry_adopted_attempt(policy: RetryPolicy, outcome: str) -> bool:
    """Return whether another attempt may follow an adopted one that ended without a response."""
    return policy.idempotent or outcome in DID_NOT_RUN
