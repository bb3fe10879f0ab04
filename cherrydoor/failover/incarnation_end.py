"""How a gateway answers its clients when its incarnation ends. Pure: no sockets, no clock."""

from collections.abc import Sized
from typing import NamedTuple
from zlib import crc32

from cherrydoor.failover.retry_policy import RetryPolicy
from cherrydoor.protocol.basics import FAILED, REJECTED, FinalOutcome

# Span over which clients are asked to reconnect, so that they do not all return at once.
RECONNECT_SPREAD_MS = 1000.0


class FinalAnswer(NamedTuple):
    """Outcome and reason for a request that the ending incarnation answers itself."""

    outcome: FinalOutcome
    reason: str


def reconnect_delay_ms(seed: int, connection_number: int) -> float:
    """Return the reconnect delay in ms of a client, spread by seed and connection number.

    >>> 0.0 <= reconnect_delay_ms(1, 2) < RECONNECT_SPREAD_MS
    True
    """
    return RECONNECT_SPREAD_MS * crc32(f"{seed}/{connection_number}".encode()) / 2.0**32


def answer_at_incarnation_end(policy: RetryPolicy, attempts: Sized) -> FinalAnswer:
    """Answer a request in flight that no replica holds, when its gateway's incarnation ends.

    No successor will act on the request, and hosts accept nothing more from this incarnation.

    Args:
        policy: Retry policy of the request's class.
        attempts: Attempts that were started; empty if there was none.

    Returns:
        A rejection if the client can safely send the request again, otherwise a failure.
    """
    if not attempts or policy.idempotent:
        return FinalAnswer(REJECTED, "this gateway's life is over")
    return FinalAnswer(FAILED, "it may have run; this gateway's life is over")
