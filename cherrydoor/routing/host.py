"""One host as this gateway sees it: by its own attempts first, by the endpoint list second."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.decay import WINDOW_MS, DecayingValue
from cherrydoor.routing.endpoint_leases import EndpointListLease, HostLease
from cherrydoor.routing.host_health import HostHealth
from cherrydoor.routing.messages import AttemptOutcome, HostState
from cherrydoor.routing.slow_start import SlowStart
from cherrydoor.routing.statistics import FADE_RESPONSES, Statistics

if TYPE_CHECKING:
    from cherrydoor.routing.function import Function
    from cherrydoor.routing.request import Attempt

T2_OBJECTIVE_SHARE = 0.5  # T2 is the in-flight requests that take this share of the objective
T2_MIN_REQUESTS = 3.0
T1_SHARE_OF_T2 = 0.6
ASSUMED_OTHER_REQUESTS = (
    2  # requests of others assumed at a host when own ones are compared to the usual
)
USUAL_IN_FLIGHT_WEIGHT = 0.1  # weight of a new figure in the usual number of own requests
MIN_RESPONSE_TIME_WEIGHT = 0.1  # least weight of a new response time in the mean of a host
T2_MIN_MEAN_TIMES = 1.5  # by reports, T2 is at least the requests that take so many mean times

RESPONSE_OUTCOMES = (
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FULL,
    AttemptOutcome.ERROR,
    AttemptOutcome.FUNCTION_MISSING,
)


class Host:
    """One worker; the only owner of its figures, which start anew with each incarnation.

    Attributes:
        state: As the endpoint list has it; None before it was read.
        in_flight: Attempts in flight -> when they were sent, oldest first.
        response_time: Moving mean of its response times in ms.
        last_attempt_ms: When an attempt was last sent there. It starts at a random time back, so
            that not all gateways try a host at once.
        fullness: 1 after a response that the host is full, and fading.
        memory_refused_at_ms: When it last had no memory for a copy.
        overloaded: It has reached T2 and is not below T1 again.
        lease: Whether it may get new work while the endpoint list is outdated.
        check_sent_at_ms: When the health check in flight was sent; None without one.
    """

    __slots__ = (
        "_cancel_attempt",
        "_check_serves_lease_alone",
        "_context",
        "_listed_start_ms",
        "_statistics",
        "_usual_in_flight",
        "cell",
        "check_sent_at_ms",
        "fullness",
        "health",
        "id",
        "in_flight",
        "last_attempt_ms",
        "lease",
        "others_in_flight",
        "overloaded",
        "response_time",
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
        self._listed_start_ms = endpoint.started_at_ms
        self._start_incarnation(endpoint.started_at_ms)

    @property
    def started_at_ms(self) -> float:
        """When its process started, in ms; 0 for long ago."""
        return self.slow_start.started_at_ms

    def _start_incarnation(self, started_at_ms: float) -> None:
        """A process that starts anew has no copies and no history of failures."""
        context = self._context
        self.check_sent_at_ms: float | None = None
        self._check_serves_lease_alone = False
        self.health = HostHealth(context, self._statistics, self, self._cancel_attempt)
        self.overloaded = False
        self.response_time = DecayingValue(half_life_ms=2 * WINDOW_MS)
        self._usual_in_flight = 1.0
        self.others_in_flight = DecayingValue()  # requests of other gateways there, as reported
        self.fullness = DecayingValue()
        self.memory_refused_at_ms = -1e18
        probe_interval_ms = context.settings.gateway_count * self._statistics.mean_response_ms()
        self.last_attempt_ms = context.now - context.next_random() * probe_interval_ms
        self.slow_start = SlowStart(context, self._statistics, started_at_ms)

    def update(self, state: str, started_at_ms: float) -> None:
        """Take over what the endpoint list has of the host.

        A restart that was presumed and that the list does not confirm was none: the host is warm.
        """
        if state == HostState.READY:
            if started_at_ms != self._listed_start_ms:
                self._start_incarnation(started_at_ms)
            elif started_at_ms != self.slow_start.started_at_ms:
                self.slow_start = SlowStart(self._context, self._statistics, started_at_ms)
            self._listed_start_ms = started_at_ms
        self.state = state

    def presume_restart(self, now: float) -> None:
        """Take the host to have restarted just now, as its list is outdated and it was down."""
        self._start_incarnation(now)

    # ---- what it can take
    def is_ready(
        self,
        now: float,
        part: float = 0.0,
        request_class: messages.RequestClass | None = None,
    ) -> bool:
        """Whether it can have a request now; a host that is not hands its range on.

        Args:
            now: Time in ms.
            part: Part of its range, from 0 to 1, that the request is at: a host in slow start owns
                the lower part only, the same at all gateways.
            request_class: Class of the request; None where it does not matter.
        """
        if (
            self.state != HostState.READY
            or not self.slow_start.may_own(part, now)
            or not self.slow_start.has_budget(now)
        ):
            return False
        if not self._statistics.most_hosts_suspect and self.health.is_suspect(now):
            return False
        return request_class is None or not self.health.is_ejected_for(request_class, now)

    def holds_copy(self, function: Function, now: float) -> bool:
        """A copy of the function is known to be loaded, by the current process and not long ago."""
        started_at_ms = self.slow_start.started_at_ms
        seen_ms = function.copies.get(self, started_at_ms)
        return seen_ms > started_at_ms and now - seen_ms < self._context.settings.idle_retention_ms

    def has_memory(self) -> bool:
        """It was not short of memory lately."""
        short_for_ms = self._context.now - self.memory_refused_at_ms
        return short_for_ms > self._context.settings.idle_retention_ms

    # ---- how loaded it is
    def load(self) -> float:
        """Own requests in flight and others', as far as reported and not aged."""
        return len(self.in_flight) + round(self.others_in_flight.read(self._context.now), 1)

    def mean_response_ms(self) -> float:
        """Its mean response time; without responses it ages towards that of all hosts."""
        return self.response_time.read(self._context.now, self._statistics.mean_response_ms())

    def predicted_response_ms(self, function: Function) -> float:
        """The time that a request sent now is predicted to take.

        By the host's mean response time, by how long requests have been in flight without a
        response, and by the number of own requests in flight against the usual number.
        """
        now = self._context.now
        fullness = self.fullness.read(now)
        last_response_ms = self.health.last_response_ms
        waiting_since_ms = [
            attempt.sent_at_ms
            if attempt.request.function is function
            else max(attempt.sent_at_ms, last_response_ms)
            for attempt in self.in_flight
            if attempt.copy_was_loaded and not attempt.presumed_lost
        ]
        response_ms = max(
            self.mean_response_ms(),
            now - min(waiting_since_ms, default=now),
            fullness * self._context.settings.shortest_objective_ms,
        )
        own_ms = (
            response_ms
            * (len(self.in_flight) + 1 + ASSUMED_OTHER_REQUESTS)
            / (self._usual_in_flight + ASSUMED_OTHER_REQUESTS)
        )
        if now - self.others_in_flight.at_ms >= WINDOW_MS:
            return max(own_ms, 0.0)
        return max(own_ms, self._statistics.time_per_request_ms * (self.load() + 1))

    def check_overload(self) -> bool:
        """Whether requests go to other hosts: from T2 on, until the load is below T1 again.

        A response that the host is full counts as T2 and ages.
        """
        objective_ms = self._context.settings.shortest_objective_ms
        statistics = self._statistics
        t2 = max(T2_MIN_REQUESTS, T2_OBJECTIVE_SHARE * objective_ms / statistics.fast_response_ms)
        usual_ms = statistics.response_time_sum_ms / FADE_RESPONSES
        by_reports = (
            self.load()
            * statistics.time_per_request_ms
            / max(T2_OBJECTIVE_SHARE * objective_ms, T2_MIN_MEAN_TIMES * usual_ms)
        )
        share = max(len(self.in_flight) / t2, by_reports)
        share += self.fullness.read(self._context.now)
        self.overloaded = share >= (T1_SHARE_OF_T2 if self.overloaded else 1.0)
        return self.overloaded

    # ---- what happens to it
    def record_sent(self, attempt: Attempt, now: float) -> None:
        """An attempt is sent to it."""
        self.in_flight[attempt] = self.last_attempt_ms = now
        self.lease.record_sent(now)
        in_flight = max(1, len(self.in_flight))
        self._usual_in_flight += USUAL_IN_FLIGHT_WEIGHT * (in_flight - self._usual_in_flight)
        self.slow_start.spend()

    def record_outcome(self, attempt: Attempt, ended: messages.AttemptEnded, now: float) -> None:
        """An attempt has ended: learn its load, response time and health."""
        self.in_flight.pop(attempt, None)
        self.lease.record_outcome(ended.outcome, ended.concurrency, attempt.sent_at_ms, now)
        # Before the mean response time, which the limit goes by, learns of this one.
        was_long = ended.duration_ms > self.health.silence_limit_ms(attempt)
        if ended.outcome in RESPONSE_OUTCOMES:
            self._record_load(ended, now)
        self.health.record_class_outcome(attempt, ended.outcome, now)
        self._record_response_time(attempt, ended, now)
        if ended.outcome == AttemptOutcome.SUCCEEDED:
            self.health.record_success()
        elif ended.outcome == AttemptOutcome.FULL and attempt.copy_was_loaded:
            self.fullness = DecayingValue(now, 1.0)
        else:
            self._record_failure(attempt, ended, was_long, now)

    def check_silence(self, now: float) -> None:
        """Look whether it has been silent for too long."""
        self.health.check_silence(now)

    def request_health_check(self, now: float) -> None:
        """Have it checked for its health; one check at a time serves health and lease."""
        self._check_serves_lease_alone = False
        if self.check_sent_at_ms is None:
            self.check_sent_at_ms = now
            self._context.actions.append(messages.CheckHealth(self.id))

    def request_lease_check(self, now: float, timeout_ms: float) -> None:
        """Have it checked for its lease alone: a failure does not count against its health."""
        if self.check_sent_at_ms is None:
            self.check_sent_at_ms = now
            self._check_serves_lease_alone = True
            self._context.actions.append(messages.CheckLease(self.id, timeout_ms))

    def record_health_check(self, outcome: str, now: float) -> None:
        """A health check of it has ended."""
        sent_at_ms = self.check_sent_at_ms
        self.check_sent_at_ms = None
        if not self._check_serves_lease_alone:
            self.health.record_check(outcome, now)
        self._check_serves_lease_alone = False
        if sent_at_ms is not None:
            self.lease.record_check(outcome, sent_at_ms, now)

    def _record_load(self, ended: messages.AttemptEnded, now: float) -> None:
        """Learn from a response how many requests of other gateways are there."""
        if ended.in_flight is None:
            held = max(self.others_in_flight.read(now), ended.concurrency or 0)
        else:
            held = ended.in_flight
        self.health.last_response_ms = now
        self.others_in_flight = DecayingValue(
            now, max(0.0, held - len(self.in_flight)), 2 * WINDOW_MS
        )

    def _record_response_time(
        self, attempt: Attempt, ended: messages.AttemptEnded, now: float
    ) -> None:
        """Learn a response time, also from a long wait that ended without a response."""
        if ended.outcome == AttemptOutcome.SUCCEEDED:
            counts = attempt.ran_on_loaded_copy
        else:
            counts = (
                ended.outcome in (AttemptOutcome.NO_RESPONSE, AttemptOutcome.CANCELLED)
                and attempt.copy_was_loaded
                and not attempt.presumed_lost
                and ended.duration_ms > self.mean_response_ms()
            )
        if counts:
            rest_ms = self._statistics.mean_response_ms()
            self.response_time.add_sample(now, ended.duration_ms, MIN_RESPONSE_TIME_WEIGHT, rest_ms)

    def _record_failure(
        self, attempt: Attempt, ended: messages.AttemptEnded, was_long: bool, now: float
    ) -> None:
        """Count what is the host's failure; a failed load (``copy`` 4) is the function's."""
        outcome = ended.outcome
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.CONNECTION_LOST) and ended.copy != 4:
            self.health.record_failure(1, now, attempt.sent_at_ms)
        elif outcome == AttemptOutcome.CONNECT_FAILED or (
            outcome == AttemptOutcome.NO_RESPONSE
            and was_long
            and self.health.last_response_ms < attempt.sent_at_ms
        ):
            self.health.record_failure(2, now, attempt.sent_at_ms)
