"""Slow start of one host: its warm-up level and its warm-up budget of work."""

from math import modf

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.statistics import Statistics

# A host in slow start owns the share of its range that is this factor times its warm-up level. The
# factor is above 1, as few hosts start at the lowest level.
OWNED_RANGE_FACTOR = 1.5
PHASE_FACTOR = 4096  # the phase is the fraction of the first budget's product with this factor


class SlowStart:
    """The warm-up of one incarnation of a host.

    The warm-up budget prevents a host from failing under more load than it can take while it warms
    up. Its unit is the mean work of a request. Each gateway earns its part of the host's current
    capacity over time, and each attempt spends the work of its class. The budget starts at a random
    value below one, so that the parts of all gateways add up to the whole. The cost: requests
    beyond the budget are rejected if no other host is left.

    An attempt of more than one unit leaves a debt, which is earned before the next attempt is sent.
    A gateway sends the first such attempt only after it has earned a random part of the debt.
    Otherwise all gateways together would send one each at the start.

    Invariant: an attempt is sent only after ``has_budget`` returned True, and ``spend`` follows
    each attempt.

    Attributes:
        started_at_ms: When the host's process started, in ms; 0 if it started long ago.
    """

    __slots__ = (
        "_budget",
        "_context",
        "_earned_at_ms",
        "_earned_in_total",
        "_phase",
        "_statistics",
        "started_at_ms",
    )

    def __init__(self, context: Context, statistics: Statistics, started_at_ms: float) -> None:
        self._context = context
        self._statistics = statistics
        self.started_at_ms = started_at_ms
        self._budget = context.next_random()
        self._phase = modf(self._budget * PHASE_FACTOR)[0]
        self._earned_in_total = 0.0
        self._earned_at_ms = context.now

    def level(self, now: float) -> float:
        """The warm-up level: the least share of its capacity that the host has; 1 when warm."""
        settings = self._context.settings
        if not self.started_at_ms:
            return 1.0
        age = max(0.0, now - self.started_at_ms) / (settings.slow_start_ms or 1.0)
        return min(1.0, settings.slow_start_floor + (1 - settings.slow_start_floor) * age)

    def may_own(self, part: float, now: float) -> bool:
        """Whether the host owns this position within its range, from 0 to 1."""
        return part <= OWNED_RANGE_FACTOR * self.level(now)

    def has_budget(self, now: float, request_class: messages.RequestClass | None = None) -> bool:
        """Whether an attempt may be sent now; first adds the budget earned since the last call.

        Args:
            now: Time in ms.
            request_class: Class of the request; None for a request of mean work.
        """
        settings = self._context.settings
        level = self.level(now)
        if level >= 1.0 or not settings.overload_window_ms:
            return True
        rate = settings.overload_factor * level * self._statistics.warm_host_rate_per_ms()
        earned = rate * (now - self._earned_at_ms)
        self._earned_in_total += earned
        self._budget = min(self._budget + earned, max(1.0, rate * settings.overload_window_ms / 2))
        self._earned_at_ms = now
        if self._budget < 1.0:
            return False
        return self._earned_in_total >= self._phase * (self._units(request_class) - 1.0)

    def spend(self, request_class: messages.RequestClass) -> None:
        """Spend the budget of one attempt that is sent."""
        if self.level(self._context.now) < 1.0:
            self._budget -= self._units(request_class)

    def _units(self, request_class: messages.RequestClass | None) -> float:
        """The work of a request, in units of the budget."""
        if request_class is None:
            return 1.0
        return self._statistics.class_work.units(request_class, self._context.now)
