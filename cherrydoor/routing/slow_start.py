"""Slow start of one host: how much of its capacity it has, and the budget of attempts for it."""

from cherrydoor.routing.context import Context
from cherrydoor.routing.statistics import Statistics

# Share of its range, by its warm-up level, that a host owns: few hosts start at the lowest level.
OWNED_RANGE_FACTOR = 1.5


class SlowStart:
    """The warm-up of one incarnation of a host.

    Guards against a host that fails under more load than it can take yet. Each gateway earns its
    part of what the host can take as time passes, and an attempt spends one. The budget starts
    below one, by chance, so that the parts of all gateways add up to the whole. Harms where
    no other host is left: requests beyond the budget are rejected.

    Invariant: an attempt is sent only after ``has_budget``; ``spend`` follows each.
    """

    __slots__ = ("_budget", "_context", "_earned_at_ms", "_statistics", "started_at_ms")

    def __init__(self, context: Context, statistics: Statistics, started_at_ms: float) -> None:
        self._context = context
        self._statistics = statistics
        self.started_at_ms = started_at_ms
        self._budget = context.next_random()
        self._earned_at_ms = context.now

    def level(self, now: float) -> float:
        """The share of its capacity that the host has at least; 1 once it is warm."""
        settings = self._context.settings
        if not self.started_at_ms:
            return 1.0
        age = max(0.0, now - self.started_at_ms) / (settings.slow_start_ms or 1.0)
        return min(1.0, settings.slow_start_floor + (1 - settings.slow_start_floor) * age)

    def may_own(self, part: float, now: float) -> bool:
        """Whether the host can take a request at this part, from 0 to 1, of its range."""
        return part <= OWNED_RANGE_FACTOR * self.level(now)

    def has_budget(self, now: float) -> bool:
        """Whether an attempt may be sent now; adds what was earned since the last call."""
        settings = self._context.settings
        level = self.level(now)
        if level >= 1.0 or not settings.overload_window_ms:
            return True
        rate = settings.overload_factor * level * self._statistics.warm_host_rate_per_ms()
        earned = self._budget + rate * (now - self._earned_at_ms)
        self._budget = min(earned, max(1.0, rate * settings.overload_window_ms / 2))
        self._earned_at_ms = now
        return self._budget >= 1.0

    def spend(self) -> None:
        """An attempt was sent."""
        self._budget -= 1.0
