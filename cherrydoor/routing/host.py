"""The state of one host as this gateway knows it.

What the gateway's own attempts show has precedence over the endpoint list.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.endpoint_leases import EndpointListLease, HostLease
from cherrydoor.routing.host_health import HostHealth
from cherrydoor.routing.host_identity import HostIdentity
from cherrydoor.routing.host_load import HostLoad
from cherrydoor.routing.messages import AttemptOutcome, HostState
from cherrydoor.routing.slow_start import SlowStart
from cherrydoor.routing.statistics import Statistics

if TYPE_CHECKING:
    from cherrydoor.routing.function import Function
    from cherrydoor.routing.request import Attempt

RESPONSE_OUTCOMES = (
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FULL,
    AttemptOutcome.ERROR,
    AttemptOutcome.FUNCTION_MISSING,
)


class Host:
    """One worker. Owns all measurements of it, which are reset with each incarnation.

    Attributes:
        state: State in the endpoint list; None before the host has been read from the list.
        in_flight: Attempts in flight -> when each was sent, in ms; oldest first.
        last_attempt_ms: When an attempt was last sent to it. Initially a random time in the past,
            so that the gateways do not all try the host at the same moment.
        memory_refused_at_ms: When it last refused to load a copy for lack of memory.
        load: Requests at it, its response times, and whether it is overloaded.
        lease: Decides whether it may get new work while the endpoint list is outdated.
        identity: Whether the process at its address is known to be this host.
        check_sent_at_ms: When the health check in flight was sent; None if none is in flight.
    """

    __slots__ = (
        "_cancel_attempt",
        "_check_serves_lease_alone",
        "_context",
        "_listed_start_ms",
        "_statistics",
        "cell",
        "check_sent_at_ms",
        "health",
        "id",
        "identity",
        "in_flight",
        "last_attempt_ms",
        "lease",
        "load",
        "memory_refused_at_ms",
        "slow_start",
        "state",
        "zone",
    )

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        endpoint: messages.Endpoint,
        cancel_attempt: Callable[[Attempt], None],
        list_lease: EndpointListLease,
    ) -> None:
        self._context = context
        self._statistics = statistics
        self._cancel_attempt = cancel_attempt
        self.id = endpoint.host
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.state: str | None = None
        self.in_flight: dict[Attempt, float] = {}
        self.lease = HostLease(context, list_lease, self)
        self.identity = HostIdentity(list_lease)
        self._listed_start_ms = endpoint.started_at_ms
        self._start_incarnation(endpoint.started_at_ms)

    @property
    def started_at_ms(self) -> float:
        """When its process started, in ms; 0 if it started long ago."""
        return self.slow_start.started_at_ms

    def _start_incarnation(self, started_at_ms: float) -> None:
        """Reset all measurements: a new process has no copies and no history of failures."""
        context = self._context
        self.check_sent_at_ms: float | None = None
        self._check_serves_lease_alone = False
        self.health = HostHealth(context, self._statistics, self, self._cancel_attempt)
        self.load = HostLoad(context, self._statistics, self)
        self.memory_refused_at_ms = -1e18
        trial_interval_ms = context.settings.gateway_count * self._statistics.mean_response_ms()
        self.last_attempt_ms = context.now - context.next_random() * trial_interval_ms
        self.slow_start = SlowStart(context, self._statistics, started_at_ms)

    def move(self, zone: str, cell: int) -> None:
        """Apply the zone and cell of the host's entry in the endpoint list."""
        self.zone = zone
        self.cell = cell

    def update(self, state: str, started_at_ms: float) -> None:
        """Apply the host's entry in the endpoint list.

        If a restart was presumed but the list has the old start time, the host has not restarted:
        its warm-up level follows the listed start time again.
        """
        if state == HostState.READY:
            if started_at_ms != self._listed_start_ms:
                self._start_incarnation(started_at_ms)
                self.identity.record_listed_start(started_at_ms)
            elif started_at_ms != self.slow_start.started_at_ms:
                self.slow_start = SlowStart(self._context, self._statistics, started_at_ms)
            self._listed_start_ms = started_at_ms
        self.state = state

    def presume_restart(self, now: float) -> None:
        """Treat the host as restarted now, as it failed while the endpoint list was outdated."""
        self._start_incarnation(now)

    # ---- what it can accept
    def is_ready(
        self,
        now: float,
        part: float = 0.0,
        request_class: messages.RequestClass | None = None,
    ) -> bool:
        """Whether it can be sent a request now; otherwise the next host serves its range.

        Args:
            now: Time in ms.
            part: Position of the request within the host's range, from 0 to 1. A host in slow start
                owns only the lower part of its range, the same part at all gateways.
            request_class: Class of the request; None to ignore ejections for single classes.
        """
        if (
            self.state != HostState.READY
            or not self.slow_start.may_own(part, now)
            or not self.slow_start.has_budget(now, request_class)
        ):
            return False
        if not self._statistics.most_hosts_suspect and self.health.is_suspect(now):
            return False
        return request_class is None or not self.health.is_ejected_for(request_class, now)

    def holds_copy(self, function: Function, now: float) -> bool:
        """Whether a copy of the function is known to be loaded.

        It must have been seen in the current process and within the idle retention time.
        """
        started_at_ms = self.slow_start.started_at_ms
        seen_ms = function.copies.get(self, started_at_ms)
        return seen_ms > started_at_ms and now - seen_ms < self._context.settings.idle_retention_ms

    def has_memory(self) -> bool:
        """Whether it refused no load for lack of memory within the idle retention time."""
        short_for_ms = self._context.now - self.memory_refused_at_ms
        return short_for_ms > self._context.settings.idle_retention_ms

    # ---- events
    def record_sent(self, attempt: Attempt, now: float) -> None:
        """Record that an attempt was sent to it."""
        self.in_flight[attempt] = self.last_attempt_ms = now
        self.lease.record_sent(now)
        self.load.record_sent()
        self.slow_start.spend(attempt.request.request_class)

    def record_outcome(self, attempt: Attempt, ended: messages.AttemptEnded, now: float) -> None:
        """Update load, response time, health and lease from an attempt that has ended."""
        self.in_flight.pop(attempt, None)
        self.lease.record_outcome(ended.outcome, ended.concurrency, attempt.sent_at_ms, now)
        # The silence limit depends on the mean response time, so it is read before the mean is
        # updated with this attempt.
        exceeded_silence_limit = ended.duration_ms > self.health.silence_limit_ms(attempt)
        if ended.outcome in RESPONSE_OUTCOMES:
            self.health.last_response_ms = now
            self.load.record_report(ended, now)
        self.health.record_class_outcome(attempt, ended.outcome, now)
        self.load.record_response_time(attempt, ended, now)
        if ended.outcome == AttemptOutcome.SUCCEEDED:
            self.health.record_success()
        elif ended.outcome == AttemptOutcome.FULL and attempt.copy_was_loaded:
            self.load.record_full(now)
        else:
            self._record_failure(attempt, ended, exceeded_silence_limit, now)

    def check_silence(self, now: float) -> None:
        """Check whether it has been silent for too long."""
        self.health.check_silence(now)

    def request_health_check(self, now: float) -> None:
        """Request a health check of it, unless one is in flight.

        One check at a time serves both its health and its lease.
        """
        self._check_serves_lease_alone = False
        if self.check_sent_at_ms is None:
            self.check_sent_at_ms = now
            self._context.actions.append(messages.CheckHealth(self.id))

    def request_lease_check(self, now: float, timeout_ms: float) -> None:
        """Request a check that serves its lease only, unless a check is in flight.

        A failure of this check does not count against the host's health.
        """
        if self.check_sent_at_ms is None:
            self.check_sent_at_ms = now
            self._check_serves_lease_alone = True
            self._context.actions.append(messages.CheckLease(self.id, timeout_ms))

    def record_health_check(self, outcome: str, now: float) -> None:
        """Update health and lease from a health check that has ended."""
        sent_at_ms = self.check_sent_at_ms
        self.check_sent_at_ms = None
        if not self._check_serves_lease_alone:
            self.health.record_check(outcome, now)
        self._check_serves_lease_alone = False
        if sent_at_ms is not None:
            self.lease.record_check(outcome, sent_at_ms, now)

    def _record_failure(
        self,
        attempt: Attempt,
        ended: messages.AttemptEnded,
        exceeded_silence_limit: bool,
        now: float,
    ) -> None:
        """Count a failure against the host, unless the function failed to load (``copy`` 4)."""
        outcome = ended.outcome
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_LOST) and ended.copy != 4:
            self.health.record_failure(1, now, attempt.sent_at_ms)
        elif outcome == AttemptOutcome.CONNECT_FAILED or (
            outcome == AttemptOutcome.NO_RESPONSE
            and exceeded_silence_limit
            and self.health.last_response_ms < attempt.sent_at_ms
        ):
            self.health.record_failure(2, now, attempt.sent_at_ms)
