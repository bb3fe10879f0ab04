"""Timers of the dispatcher and how late they recently fired. No I/O, no clock."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

# Largest share of a request's timeout that may be reserved for late timers on a busy core.
MAX_LAG_SHARE = 0.25
LAG_HALF_LIFE_MS = 2000.0  # a short stall is over by then

Callback = Callable[..., object]
Entry = tuple[float, int, Callback, tuple[Any, ...]]


class TimerQueue:
    """Timers in order of due time; owned by the dispatcher.

    Invariant: timers with the same time fire in the order in which they were set.

    Attributes:
        lag_ms: How late recent timers fired; decays with ``LAG_HALF_LIFE_MS``.
    """

    __slots__ = ("next_number", "entries", "lag_ms")

    def __init__(self, next_number: Callable[[], int]) -> None:
        self.next_number = next_number
        self.entries: list[Entry] = []
        self.lag_ms = 0.0

    def __len__(self) -> int:
        """Returns the number of timers, including obsolete ones that are not yet dropped."""
        return len(self.entries)

    def set(self, at_ms: float, callback: Callback, *args: Any) -> None:
        """Calls ``callback(*args)`` in the first tick at or after ``at_ms``."""
        heappush(self.entries, (at_ms, self.next_number(), callback, args))

    def decay_lag(self, elapsed_ms: float) -> None:
        """Decays the lag over the time since the last tick."""
        self.lag_ms *= 0.5 ** (elapsed_ms / LAG_HALF_LIFE_MS)

    def fire_next(self, now_ms: float) -> bool:
        """Fires the first timer that is due; returns whether there was one."""
        if not self.entries or self.entries[0][0] > now_ms:
            return False
        at_ms, _, callback, args = heappop(self.entries)
        self.lag_ms = max(self.lag_ms, now_ms - at_ms)
        callback(*args)
        return True

    def next_due_ms(self, is_obsolete: Callable[[Callback, tuple[Any, ...]], bool]) -> float | None:
        """Returns when the next timer is due; None if there is none.

        Args:
            is_obsolete: Returns whether a timer has nothing left to do. Obsolete timers at the
                head of the queue are dropped, so that they cause no tick.
        """
        entries = self.entries
        while entries:
            at_ms, _, callback, args = entries[0]
            if not is_obsolete(callback, args):
                return at_ms
            heappop(entries)
        return None
