"""Timers of the dispatcher and how late they recently fired. No I/O, no clock."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

# Largest share of a request's timeout that may be reserved for late timers on a busy core.
MAX_LAG_SHARE = 0.25
LAG_HALF_LIFE_MS = 2000.0  # a short stall is over by then
# The queue is rebuilt without its cancelled entries once these are more than half of it and more
# than this many.
MAX_CANCELLED_ENTRIES = 64

Callback = Callable[..., object]


class Timer:
    """A timer that was set: what it calls, until it fires or is cancelled.

    Attributes:
        callback: What it calls; None once it was cancelled.
        args: Arguments of the call.
    """

    __slots__ = ("callback", "args")

    def __init__(self, callback: Callback, args: tuple[Any, ...]) -> None:
        self.callback: Callback | None = callback
        self.args = args


Entry = tuple[float, int, Timer]


class TimerQueue:
    """Timers in order of due time; owned by the dispatcher.

    Invariants: timers with the same time fire in the order in which they were set. A cancelled
    timer refers to nothing any more, and no more than ``MAX_CANCELLED_ENTRIES``, or as many as
    there are others, are kept.

    Attributes:
        lag_ms: How late recent timers fired; decays with ``LAG_HALF_LIFE_MS``.
    """

    __slots__ = ("next_number", "entries", "cancelled_count", "lag_ms")

    def __init__(self, next_number: Callable[[], int]) -> None:
        self.next_number = next_number
        self.entries: list[Entry] = []
        self.cancelled_count = 0
        self.lag_ms = 0.0

    def __len__(self) -> int:
        """Returns the number of timers that will fire."""
        return len(self.entries) - self.cancelled_count

    def set(self, at_ms: float, callback: Callback, *args: Any) -> Timer:
        """Calls ``callback(*args)`` in the first tick at or after ``at_ms``."""
        timer = Timer(callback, args)
        heappush(self.entries, (at_ms, self.next_number(), timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancels a timer that has not fired, and drops what it refers to.

        Otherwise the deadline of a request would keep the request, its client and all that was read
        from that client until it is due.
        """
        if timer.callback is None:
            return
        timer.callback = None
        timer.args = ()
        self.cancelled_count += 1
        if self.cancelled_count > max(MAX_CANCELLED_ENTRIES, len(self)):
            self.entries = [entry for entry in self.entries if entry[2].callback is not None]
            heapify(self.entries)
            self.cancelled_count = 0

    def decay_lag(self, elapsed_ms: float) -> None:
        """Decays the lag over the time since the last tick."""
        self.lag_ms *= 0.5 ** (elapsed_ms / LAG_HALF_LIFE_MS)

    def fire_next(self, now_ms: float) -> bool:
        """Fires the first timer that is due; returns whether there was one."""
        at_ms = self.next_due_ms()
        if at_ms is None or at_ms > now_ms:
            return False
        timer = heappop(self.entries)[2]
        callback, args = timer.callback, timer.args
        assert callback is not None, "next_due_ms leaves no cancelled timer at the head"
        timer.callback = None  # a fired timer cannot be cancelled
        timer.args = ()
        self.lag_ms = max(self.lag_ms, now_ms - at_ms)
        callback(*args)
        return True

    def next_due_ms(self) -> float | None:
        """Returns when the next timer is due; None if there is none.

        Cancelled timers at the head of the queue are dropped, so that they cause no tick.
        """
        while self.entries and self.entries[0][2].callback is None:
            heappop(self.entries)
            self.cancelled_count -= 1
        return self.entries[0][0] if self.entries else None
