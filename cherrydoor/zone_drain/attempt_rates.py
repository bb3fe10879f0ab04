"""Rates of this gateway's attempts by function and zone: the load that a drain has to move.

Attempts at second workers and borrowed hosts are included.

Pure; times are ms of the caller's clock.
"""

from typing import NamedTuple

HALF_LIFE_MS = 4000.0  # of a count, so that a drain is planned from the last seconds
MAX_FUNCTIONS = 4000  # limits the size of the table
MIN_COUNT = 0.05  # attempts; a count that has decayed below it is removed
LN_2 = 0.693


class FunctionRate(NamedTuple):
    """Attempts per second of one function in one zone."""

    function: str
    requests_per_s: float


class AttemptRates:
    """Owns the counts by function and zone; each halves every HALF_LIFE_MS.

    Invariant: at most MAX_FUNCTIONS functions, each with at least one count of MIN_COUNT or more.
    """

    def __init__(self, now_ms: float):
        self.counts: dict[str, dict[str, float]] = {}
        self._decayed_at_ms = now_ms
        self._started_at_ms = now_ms

    def attempt_started(self, function: str, zone: str) -> None:
        """Counts an attempt; a new function is ignored once the table is full."""
        by_zone = self.counts.get(function)
        if by_zone is None:
            if len(self.counts) >= MAX_FUNCTIONS:
                return
            by_zone = self.counts[function] = {}
        by_zone[zone] = by_zone.get(zone, 0.0) + 1.0

    def decay(self, now_ms: float) -> None:
        """Decays the counts to the current time and removes small ones; to be called regularly."""
        factor = 0.5 ** ((now_ms - self._decayed_at_ms) / HALF_LIFE_MS)
        self._decayed_at_ms = now_ms
        for function in list(self.counts):
            kept = {
                zone: count * factor
                for zone, count in self.counts[function].items()
                if count * factor >= MIN_COUNT
            }
            if kept:
                self.counts[function] = kept
            else:
                del self.counts[function]

    def rates(self, now_ms: float, zone: str) -> list[FunctionRate]:
        """Returns the rates of the functions attempted in the zone, the busiest first.

        >>> rates = AttemptRates(0.0)
        >>> for t in range(0, 60000, 100): rates.decay(float(t)); rates.attempt_started("a", "z")
        >>> [(name, round(rate)) for name, rate in rates.rates(60000.0, "z")]
        [('a', 10)]
        """
        self.decay(now_ms)
        counted_share = 1 - 0.5 ** ((now_ms - self._started_at_ms) / HALF_LIFE_MS)
        window_s = HALF_LIFE_MS / 1000 / LN_2 * counted_share
        found = [
            FunctionRate(name, by_zone[zone] / max(window_s, 0.1))
            for name, by_zone in self.counts.items()
            if zone in by_zone
        ]
        return sorted(found, key=lambda one: (-one.requests_per_s, one.function))
