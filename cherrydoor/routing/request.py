"""A request in progress, its attempts and the usage of its tenant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW_MS, DecayingValue

if TYPE_CHECKING:
    from cherrydoor.routing.function import Function
    from cherrydoor.routing.host import Host

NEVER_RAN = (
    messages.AttemptOutcome.FULL,
    messages.AttemptOutcome.CONNECT_FAILED,
    messages.AttemptOutcome.NOT_SENT,
    messages.AttemptOutcome.FUNCTION_MISSING,
)
# A tenant is overloaded with more signs of overload than this number plus
# TOLERATED_OVERLOAD_SHARE of its requests.
TOLERATED_OVERLOAD_SIGNS = 2
TOLERATED_OVERLOAD_SHARE = 0.1


class TenantUsage:
    """Requests and signs of overload of one tenant.

    They are counted for each tenant separately, so that retries by the clients of one tenant do not
    count as overload for the others.

    Attributes:
        quota_per_ms: This gateway's equal part of the tenant's quota, in requests per ms.
        requests: Requests; the count decays.
        overload_signs: Requests that were given up or refused by a full host; the count decays.
    """

    __slots__ = ("overload_signs", "quota_per_ms", "requests")

    def __init__(self, quota_per_ms: float = 1.0) -> None:
        self.quota_per_ms = quota_per_ms
        self.requests = DecayingValue()
        self.overload_signs = DecayingValue()

    def is_overloaded(self, now: float) -> bool:
        """Whether more requests were given up or refused than isolated failures explain."""
        return self.overload_signs.read(
            now
        ) > TOLERATED_OVERLOAD_SIGNS + TOLERATED_OVERLOAD_SHARE * self.requests.read(now)

    def is_over_quota(self, now: float) -> bool:
        """Whether the tenant sends more than this gateway's equal part of its quota."""
        return self.requests.read(now) > 2 * WINDOW_MS * self.quota_per_ms


class Attempt:
    """One attempt of a request.

    Attributes:
        outcome: How it ended, as ``AttemptOutcome``; None while it is in flight.
        copy_was_loaded: Whether a copy was known to be loaded at the host when it was sent.
        ran_on_loaded_copy: Whether it did not wait for a load. Reported by the host; otherwise
            equal to ``copy_was_loaded``.
        presumed_lost: Whether the host answered requests sent after it but not this attempt.
        zone: Zone of the host when it was sent.
        cell: Cell of the host when it was sent.
        group_known: Whether the process that it was sent to was known to be the listed host, and
            so of this zone and cell.
    """

    __slots__ = (
        "cell",
        "copy_was_loaded",
        "group_known",
        "host",
        "outcome",
        "presumed_lost",
        "ran_on_loaded_copy",
        "request",
        "sent_at_ms",
        "zone",
    )

    def __init__(self, request: Request, host: Host, now: float) -> None:
        self.request = request
        self.host = host
        self.sent_at_ms = now
        self.outcome: str | None = None
        loaded = host.holds_copy(request.function, now)
        self.copy_was_loaded = loaded
        self.ran_on_loaded_copy = loaded
        self.presumed_lost = False
        self.zone = host.zone
        self.cell = host.cell
        self.group_known = host.identity.is_confirmed(now)


class Request:
    """An accepted request; it is removed once it is closed with no attempt in flight.

    Attributes:
        held_for: Host whose check it waits for, with no attempt in flight; None if it does not
            wait.
        held_until_ms: Latest end of that wait.
        skipped_hosts: Hosts that it no longer considers, as their checks took too long.
    """

    __slots__ = (
        "attempts",
        "closed",
        "deadline_ms",
        "drained_zone",
        "function",
        "held_for",
        "held_until_ms",
        "id",
        "skipped_hosts",
        "request_class",
        "streaming",
        "tenant",
    )

    def __init__(
        self,
        arrived: messages.RequestArrived,
        request_class: messages.RequestClass,
        function: Function,
        tenant: TenantUsage,
    ) -> None:
        self.id = arrived.request_id
        self.deadline_ms = arrived.deadline_ms
        self.drained_zone = arrived.drained_zone
        self.request_class = request_class
        self.function = function
        self.tenant = tenant
        self.attempts: list[Attempt] = []
        self.closed = False
        self.streaming = False
        self.held_for: Host | None = None
        self.held_until_ms = 0.0
        self.skipped_hosts: list[Host] = []

    def attempts_in_flight(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Attempts that may have had an effect, including those in flight."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]
