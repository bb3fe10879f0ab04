"""The load of one host: requests at it, response times, and the thresholds T1 and T2."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.decay import WINDOW_MS, DecayingValue
from cherrydoor.routing.messages import AttemptOutcome
from cherrydoor.routing.statistics import FADE_RESPONSES, Statistics

if TYPE_CHECKING:
    from cherrydoor.routing.function import Function
    from cherrydoor.routing.host import Host
    from cherrydoor.routing.request import Attempt

T2_OBJECTIVE_SHARE = 0.5  # at T2, the requests in flight take this share of the latency objective
T2_MIN_REQUESTS = 3.0
T1_SHARE_OF_T2 = 0.6
T2_MIN_MEAN_TIMES = 1.5  # by load reports, T2 is at least this many mean response times
# Requests of other gateways that are assumed at the host when the own requests in flight are
# compared with their usual number.
ASSUMED_OTHER_REQUESTS = 2
USUAL_IN_FLIGHT_WEIGHT = 0.1  # weight of a new sample in the usual number of own requests
MIN_RESPONSE_TIME_WEIGHT = 0.1  # of a new sample in the mean response time of the host


class HostLoad:
    """What this gateway knows of the load of one incarnation of a host.

    Attributes:
        response_time: Moving mean of its response times, in ms.
        others_in_flight: Requests of other gateways at the host, which decay.
        fullness: Set to 1 by a response that the host is full; decays towards 0.
        overloaded: The load has reached T2 and has not yet fallen below T1.
    """

    __slots__ = (
        "_context",
        "_host",
        "_statistics",
        "_usual_in_flight",
        "fullness",
        "others_in_flight",
        "overloaded",
        "response_time",
    )

    def __init__(self, context: Context, statistics: Statistics, host: Host) -> None:
        self._context = context
        self._statistics = statistics
        self._host = host
        self.overloaded = False
        self.response_time = DecayingValue(half_life_ms=2 * WINDOW_MS)
        self._usual_in_flight = 1.0
        self.others_in_flight = DecayingValue()
        self.fullness = DecayingValue()

    def requests(self) -> float:
        """Own requests in flight plus those reported of other gateways, which decay."""
        own = len(self._host.in_flight)
        return own + round(self.others_in_flight.read(self._context.now), 1)

    def mean_response_ms(self) -> float:
        """The host's mean response time in ms.

        Without new responses it decays to the mean of all hosts.
        """
        return self.response_time.read(self._context.now, self._statistics.mean_response_ms())

    def predicted_response_ms(self, function: Function) -> float:
        """The predicted response time, in ms, of a request that is sent now.

        The prediction starts from the longest of three times: the mean response time, the longest
        wait of a request in flight, and a part of the latency objective if the host was full. For
        requests of other functions, the wait counts from the last response of the host. The result
        is scaled by the own requests in flight relative to their usual number. A recent load report
        raises it to at least the time that all requests at the host take.
        """
        now = self._context.now
        in_flight = self._host.in_flight
        fullness = self.fullness.read(now)
        last_response_ms = self._host.health.last_response_ms
        waiting_since_ms = [
            attempt.sent_at_ms
            if attempt.request.function is function
            else max(attempt.sent_at_ms, last_response_ms)
            for attempt in in_flight
            if attempt.copy_was_loaded and not attempt.presumed_lost
        ]
        response_ms = max(
            self.mean_response_ms(),
            now - min(waiting_since_ms, default=now),
            fullness * self._context.settings.shortest_objective_ms,
        )
        own_ms = (
            response_ms
            * (len(in_flight) + 1 + ASSUMED_OTHER_REQUESTS)
            / (self._usual_in_flight + ASSUMED_OTHER_REQUESTS)
        )
        if now - self.others_in_flight.at_ms >= WINDOW_MS:
            return max(own_ms, 0.0)
        return max(own_ms, self._statistics.time_per_request_ms * (self.requests() + 1))

    def check_overload(self) -> bool:
        """Update and return ``overloaded``: set at T2, cleared once the load is below T1.

        An overloaded host's requests go to other hosts. A response that the host is full counts as
        a load of T2, which decays.
        """
        objective_ms = self._context.settings.shortest_objective_ms
        statistics = self._statistics
        t2 = max(T2_MIN_REQUESTS, T2_OBJECTIVE_SHARE * objective_ms / statistics.fast_response_ms)
        fleet_mean_ms = statistics.response_time_sum_ms / FADE_RESPONSES
        by_reports = (
            self.requests()
            * statistics.time_per_request_ms
            / max(T2_OBJECTIVE_SHARE * objective_ms, T2_MIN_MEAN_TIMES * fleet_mean_ms)
        )
        share = max(len(self._host.in_flight) / t2, by_reports)
        share += self.fullness.read(self._context.now)
        self.overloaded = share >= (T1_SHARE_OF_T2 if self.overloaded else 1.0)
        return self.overloaded

    # ---- events
    def record_sent(self) -> None:
        """Update the usual number of own requests in flight; the new attempt is one of them."""
        in_flight = max(1, len(self._host.in_flight))
        self._usual_in_flight += USUAL_IN_FLIGHT_WEIGHT * (in_flight - self._usual_in_flight)

    def record_full(self, now: float) -> None:
        """Record a response that the host is full though a copy is loaded."""
        self.fullness = DecayingValue(now, 1.0)

    def record_report(self, ended: messages.AttemptEnded, now: float) -> None:
        """Update the number of requests of other gateways at the host from a response."""
        if ended.in_flight is None:
            held_requests = max(self.others_in_flight.read(now), ended.concurrency or 0)
        else:
            held_requests = ended.in_flight
        self.others_in_flight = DecayingValue(
            now, max(0.0, held_requests - len(self._host.in_flight)), 2 * WINDOW_MS
        )

    def record_response_time(
        self, attempt: Attempt, ended: messages.AttemptEnded, now: float
    ) -> None:
        """Add a response time to the mean; a long wait without a response counts as one."""
        if ended.outcome == AttemptOutcome.SUCCEEDED:
            is_sample = attempt.ran_on_loaded_copy
        else:
            is_sample = (
                ended.outcome in (AttemptOutcome.NO_RESPONSE, AttemptOutcome.CANCELLED)
                and attempt.copy_was_loaded
                and not attempt.presumed_lost
                and ended.duration_ms > self.mean_response_ms()
            )
        if is_sample:
            rest_ms = self._statistics.mean_response_ms()
            self.response_time.add_sample(now, ended.duration_ms, MIN_RESPONSE_TIME_WEIGHT, rest_ms)
