"""This gateway's own requests, as it reports them to a drain's coordinator.

Pure; times are ms of the caller's clock.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from cherrydoor.protocol.zone_drain import FunctionLoad, ZoneLoad
from cherrydoor.zone_drain.attempt_rates import AttemptRates
from cherrydoor.zone_drain.participant import DrainDecision, Participant, session_key
from cherrydoor.zone_drain.session_groups import (
    MAX_NAMED_FUNCTIONS,
    OTHER_FUNCTIONS,
    strictest_retry_safety,
)

MAX_FUNCTIONS = 4000  # whose request classes are remembered; limits the size of the table
# Hosts with a copy that a report lists per function. One is enough to move sessions; a low limit
# keeps reports short.
MAX_REPORTED_HOSTS = 8


class ResponseCounts(NamedTuple):
    """Number of responses, and of those within their latency objective."""

    responses: int
    timely_responses: int


class LocalLoad:
    """Owns the rates, request classes and response counts of this gateway's requests.

    Invariant: at most MAX_FUNCTIONS functions. Each report removes those that are no longer
    attempted.
    """

    def __init__(
        self,
        request_classes: Mapping[str, Any],
        priority_weights: Mapping[str, float],
        now_ms: float,
    ):
        """Starts without requests.

        Args:
            request_classes: Name -> request class, from the configuration.
            priority_weights: Name of a request class -> its priority weight.
            now_ms: The current time, ms.
        """
        self.attempt_rates = AttemptRates(now_ms)
        self._request_classes = request_classes
        self._priority_weights = priority_weights
        self._classes_by_function: dict[str, dict[str, None]] = {}  # ordered sets of class names
        self._responses = 0
        self._timely_responses = 0

    def decide(self, participant: Participant, now_ms: float, request: Any) -> DrainDecision:
        """Returns the effect of the participant's drains on a request."""
        request_class = self._request_classes[request.request_class]
        is_scope_partial = (
            request_class.retry_safety == "keyed" and request_class.dedup_scope != "all"
        )
        return participant.decide(
            now_ms,
            request.function,
            request_class.retry_safety,
            request_class.dedup_window_ms if is_scope_partial else 0.0,
            session_key(request.affinity_key, request.tenant, request.function),
        )

    def request_routed(self, function: str, request_class: str) -> None:
        """Records that a request of that class calls the function, given by its versioned name."""
        known = self._classes_by_function
        if function in known or len(known) < MAX_FUNCTIONS:
            known.setdefault(function, {})[request_class] = None

    def request_finished(self, request_class: str, is_success: bool, duration_ms: float) -> None:
        """Counts a response, and whether it succeeded within its latency objective."""
        self._responses += 1
        if is_success:
            objective_ms = self._request_classes[request_class].latency_objective_ms
            self._timely_responses += duration_ms <= objective_ms

    def take_response_counts(self) -> ResponseCounts:
        """Returns the counts since the last call and resets them."""
        counts = ResponseCounts(self._responses, self._timely_responses)
        self._responses = 0
        self._timely_responses = 0
        return counts

    def function_loads(self, now_ms: float, zone: str, zone_table: Any) -> list[FunctionLoad]:
        """Returns loads of functions attempted in the zone: the busiest by name, others as one."""
        rates = self.attempt_rates.rates(now_ms, zone)
        self._classes_by_function = {
            name: classes
            for name, classes in self._classes_by_function.items()
            if name in self.attempt_rates.counts
        }
        loads = [
            self._function_load(
                one.function,
                one.requests_per_s,
                zone_table.copy_holders_outside(one.function, zone),
            )
            for one in rates[:MAX_NAMED_FUNCTIONS]
        ]
        remaining_rate = sum(one.requests_per_s for one in rates[MAX_NAMED_FUNCTIONS:])
        if remaining_rate:
            loads.append(FunctionLoad(OTHER_FUNCTIONS, remaining_rate))
        return loads

    def _function_load(
        self, function: str, requests_per_s: float, hosts_with_copy: list[str]
    ) -> FunctionLoad:
        seen = self._classes_by_function.get(function, {})
        classes = [self._request_classes[name] for name in seen]
        if not classes:  # none seen yet: assume the first class
            classes = list(self._request_classes.values())[:1]
        return FunctionLoad(
            function,
            requests_per_s,
            max(self._priority_weights[one.name] for one in classes),
            strictest_retry_safety(*(one.retry_safety for one in classes)),
            max(one.dedup_window_ms for one in classes),
            hosts_with_copy[:MAX_REPORTED_HOSTS],
        )


def zone_loads(zone_table: Any) -> list[ZoneLoad]:
    """Returns the load of each zone, from this gateway's routing tables."""
    return [ZoneLoad(*one) for one in zone_table.zone_loads()]
