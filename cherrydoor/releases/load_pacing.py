"""How many loads ahead of requests may be under way at once."""

FEWEST_LOADS = 1.0  # at once, however slow loads are, so that a release still moves
MOST_LOADS = 8.0  # at once, however quick they are
LOADS_AT_START = 4.0  # between the two, as no load has been seen yet
SLOW_FACTOR = 3.0  # a load that takes so many times what is usual halves the limit
USUAL_FACTOR = 1.5  # one that takes at most so many times what is usual raises it
FORGETTING = 1.02  # the usual time may rise by this factor with each load


class LoadPacer:
    """Limit of concurrent loads ahead.

    Additive increase, multiplicative decrease by how long loads take.

    Guards the program store and the hosts against the loads of a mass release. Harms a release
    whose program is large in itself: its loads look like congestion.
    """

    def __init__(self) -> None:
        """Start with a limit in the middle and no usual time."""
        self.limit = LOADS_AT_START
        self.usual_ms: float | None = None

    def load_ended(self, took_ms: float, succeeded: bool) -> None:
        """Adjust the limit by one load."""
        usual_ms = self.usual_ms
        if not succeeded or usual_ms is not None and took_ms > SLOW_FACTOR * usual_ms:
            self.limit = max(FEWEST_LOADS, self.limit / 2)
        elif usual_ms is None or took_ms <= USUAL_FACTOR * usual_ms:
            self.limit = min(MOST_LOADS, self.limit + 1 / self.limit)
        if not succeeded:
            return
        if usual_ms is None:
            self.usual_ms = took_ms
        else:  # quick loads count for more: slow ones are slowed by the others
            self.usual_ms = min(took_ms, usual_ms * FORGETTING)
