"""What a gateway does as its own incarnation ends. Pure: no sockets, no clock."""

from collections.abc import Sized
from typing import NamedTuple
from zlib import crc32

from cherrydoor.failover.retry_policy import RetryPolicy
from cherrydoor.protocol.basics import FAILED, REJECTED, FinalOutcome

# Clients are told to reconnect over this span, so that they do not all return at once.
RECONNECT_SPREAD_MS = 1000.0


class FinalAnswer(NamedTuple):
    """Outcome and reason of a request that the ending incarnation answers itself."""

    outcome: FinalOutcome
    reason: str


def reconnect_delay_ms(seed: int, connection_number: int) -> float:
    """Return when a client of an ended incarnation may reconnect, spread by seed and number.

    >>> 0.0 <= reconnect_delay_ms(1, 2) < RECONNECT_SPREAD_MS
    True
    """
    return RECONNECT_SPREAD_MS * crc32(f"{seed}/{connection_number}".encode()) / 2.0**32


def answer_at_incarnation_end(policy: RetryPolicy, attempts: Sized) -> FinalAnswer:
    """Answer a request in flight that no replica knows of, as its gateway's incarnation ends.

    No successor will ever act on it, and hosts accept nothing more from this incarnation.

    Args:
        policy: Of the request's class.
        attempts: Attempts that were started; empty where none was.

    Returns:
        A rejection where it is certain that it may be sent again, a failure otherwise.
    """
    if not attempts or policy.idempotent:
        return FinalAnswer(REJECTED, "this gateway's life is over")
    return FinalAnswer(FAILED, "it may have run; this gateway's life is over")
