"""How long the inputs of a gateway wait for the tick that handles them. No I/O, no clock."""

# The platform's slack for each time limit: an input that waits longer may be answered late.
REPORTED_DELAY_MS = 50.0


class LoopDelay:
    """Measures the time from the first input after a tick until the next tick begins.

    On an idle core this is one pass of the event loop. It grows with the input that one pass
    handles, so a client whose input is handled without a limit shows here first.

    Attributes:
        scheduled_at_ms: When the pending tick was scheduled; None without one.
        longest_ms: The longest delay since `take_longest` was last called.
    """

    __slots__ = ("longest_ms", "scheduled_at_ms")

    def __init__(self) -> None:
        self.scheduled_at_ms: float | None = None
        self.longest_ms = 0.0

    def tick_scheduled(self, now_ms: float) -> None:
        """Records that a tick waits for the end of the pass."""
        self.scheduled_at_ms = now_ms

    def tick_began(self, now_ms: float) -> float:
        """Returns in ms how long the tick that begins now has waited; 0 if it was not scheduled."""
        if self.scheduled_at_ms is None:
            return 0.0
        delay_ms = now_ms - self.scheduled_at_ms
        self.scheduled_at_ms = None
        self.longest_ms = max(self.longest_ms, delay_ms)
        return delay_ms

    def take_longest(self) -> float:
        """Returns the longest delay in ms since the last call."""
        longest_ms = self.longest_ms
        self.longest_ms = 0.0
        return longest_ms
