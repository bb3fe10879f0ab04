"""The History Table: how often each function is called here and where its copies are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cherrydoor.routing.context import Context
from cherrydoor.routing.decay import WINDOW_MS
from cherrydoor.routing.function import Function
from cherrydoor.routing.messages import AttemptOutcome
from cherrydoor.routing.statistics import Statistics

if TYPE_CHECKING:
    from cherrydoor.routing.host import Host

MOST_CALLED_COUNT = 8  # functions that count as most-called
MIN_SECOND_WORKER_CONCURRENCY = 0.2  # over all gateways; below it there is no second worker
# Call counts are halved at the end of a window once there were this many calls, or, with fewer,
# after HALVING_MAX_WINDOWS windows.
HALVING_MIN_CALLS = 64
HALVING_MAX_WINDOWS = 8
PENDING_LOAD_TIMEOUT_FACTOR = 4  # in mean load times; a pending load is then forgotten
HALVED_COUNT_INTERVALS = 1.5  # a halved count holds the calls of about this many intervals

LOAD_CONTINUES_OUTCOMES = (AttemptOutcome.NO_RESPONSE, AttemptOutcome.CANCELLED)
COPY_GONE_OUTCOMES = (
    AttemptOutcome.FUNCTION_MISSING,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.CONNECTION_LOST,
)


class HistoryTable:
    """All functions that this gateway calls, and the only writer of their copies.

    Invariant: after each window, a function is kept if and only if its call count is at least 0.5
    or a request of it is open.

    Attributes:
        functions: Functions by name.
        halved_at_ms: When the counts were last halved.
        halving_interval_ms: Time between the last two halvings.
    """

    __slots__ = (
        "_calls_since_halving",
        "_context",
        "_most_called_min_count",
        "_statistics",
        "functions",
        "halved_at_ms",
        "halving_interval_ms",
    )

    def __init__(self, context: Context, statistics: Statistics) -> None:
        self._context = context
        self._statistics = statistics
        self.functions: dict[str, Function] = {}
        self._most_called_min_count = 0.0  # call count that a most-called function needs
        self._calls_since_halving = 0
        self.halved_at_ms = context.now
        self.halving_interval_ms: float = WINDOW_MS

    def find_or_add(self, name: str) -> Function:
        """Return the row of a function, adding one if there is none."""
        function = self.functions.get(name)
        if function is None:
            function = self.functions[name] = Function(name, self._context.settings)
        return function

    def end_window(self, now: float) -> None:
        """Halve the counts if due, drop old entries and determine the most-called functions."""
        halve = (
            self._calls_since_halving >= HALVING_MIN_CALLS
            or now - self.halved_at_ms >= HALVING_MAX_WINDOWS * WINDOW_MS
        )
        if halve:
            self._calls_since_halving = 0
            self.halving_interval_ms = now - self.halved_at_ms
            self.halved_at_ms = now
        pending_ms = PENDING_LOAD_TIMEOUT_FACTOR * self._statistics.load_ms
        for function in self.functions.values():
            if halve:
                function.call_count /= 2
            function.copies = {
                host: seen_ms
                for host, seen_ms in function.copies.items()
                if host.holds_copy(function, now)
            }
            function.pending_loads = {
                host: since_ms
                for host, since_ms in function.pending_loads.items()
                if now - since_ms < pending_ms
            }
            function.no_memory_until_ms = {
                host: until_ms
                for host, until_ms in function.no_memory_until_ms.items()
                if until_ms > now
            }
        self.functions = {
            name: function
            for name, function in self.functions.items()
            if function.call_count >= 0.5 or function.open_requests
        }
        counts = sorted((each.call_count for each in self.functions.values()), reverse=True)
        self._most_called_min_count = (
            counts[MOST_CALLED_COUNT - 1] if len(counts) >= MOST_CALLED_COUNT else 0.0
        )

    def is_most_called(self, function: Function) -> bool:
        """Whether the function is most-called here and has the concurrency for a second worker.

        The concurrency is the reported one or an estimate from own calls. The estimate subtracts
        two standard deviations of the call count, so that random bursts do not count.
        """
        if function.call_count < self._most_called_min_count:
            return False
        certain_calls = function.call_count - 2 * function.call_count**0.5
        gateways = self._context.settings.gateway_count
        certain_rate = certain_calls / (2 * self.halving_interval_ms) * gateways
        own_estimate = certain_rate * self._statistics.fast_response_ms
        return bool(max(function.concurrency.value, own_estimate) >= MIN_SECOND_WORKER_CONCURRENCY)

    def record_call(self, function: Function) -> None:
        """Count a call of the function."""
        function.call_count += 1
        self._calls_since_halving += 1

    def record_outcome(
        self,
        function: Function,
        host: Host,
        outcome: str,
        copy: int | None,
        concurrency: int | None,
        copy_was_loaded: bool | None,
    ) -> None:
        """Update the known copies of a function from the end of an attempt or a load order.

        If a request began a load where a copy was known to be loaded, the function has a new
        release or its copy was evicted. All other known copies are then dropped, too.

        Args:
            function: The function that was called or loaded.
            host: Host of the attempt or load order.
            outcome: How it ended, as ``AttemptOutcome``.
            copy: ``AttemptEnded.copy``.
            concurrency: ``AttemptEnded.concurrency``.
            copy_was_loaded: Whether a copy was known to be loaded there; None for a load order.
        """
        now = self._context.now
        if outcome not in LOAD_CONTINUES_OUTCOMES:
            function.pending_loads.pop(host, None)
        succeeded = outcome == AttemptOutcome.SUCCEEDED
        full = outcome == AttemptOutcome.FULL
        if succeeded and copy_was_loaded and copy == 2:
            function.copies = {}
        if succeeded or full and copy_was_loaded:
            is_order = copy_was_loaded is None  # which is no evidence of calls
            own = function.concurrency.value if is_order else self._estimate_concurrency(function)
            function.record_copy(host, concurrency, own, now)
        elif full:
            function.no_memory_until_ms[host] = now + self._statistics.load_ms
            host.memory_refused_at_ms = now
        elif outcome in COPY_GONE_OUTCOMES:
            function.copies.pop(host, None)

    def _estimate_concurrency(self, function: Function) -> float:
        """Estimate the concurrency over all gateways from own calls.

        It is assumed that all gateways call the function as often as this one.
        """
        rate = function.call_count / (HALVED_COUNT_INTERVALS * self.halving_interval_ms)
        fast_ms = self._statistics.fast_response_ms
        return rate * 2 * fast_ms * self._context.settings.gateway_count
