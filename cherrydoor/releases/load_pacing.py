"""Limits how many preloads (loads before requests are routed to a version) run concurrently."""

MIN_CONCURRENT_LOADS = 1.0  # lets releases proceed even if all loads are slow
MAX_CONCURRENT_LOADS = 8.0
INITIAL_CONCURRENT_LOADS = 4.0  # between the two bounds, as no load has been observed yet
# A load that takes longer than this multiple of the typical load time halves the limit.
DECREASE_ABOVE_FACTOR = 3.0
# A load that takes at most this multiple of the typical load time raises the limit.
INCREASE_UP_TO_FACTOR = 1.5
TYPICAL_TIME_GROWTH = 1.02  # maximum growth of the typical load time per load


class LoadPacer:
    """Limit of concurrent preloads, by additive increase and multiplicative decrease (AIMD).

    A load that is slow compared to the typical load time counts as congestion. This keeps a mass
    release from overloading the program store and the hosts. The drawback is that a release with an
    unusually large program is slowed down, because its loads look like congestion.
    """

    def __init__(self) -> None:
        """Start with the initial limit and no typical load time."""
        self.limit = INITIAL_CONCURRENT_LOADS
        self.typical_ms: float | None = None

    def load_ended(self, took_ms: float, succeeded: bool) -> None:
        """Adjust the limit after a load has ended."""
        typical_ms = self.typical_ms
        if not succeeded or typical_ms is not None and took_ms > DECREASE_ABOVE_FACTOR * typical_ms:
            self.limit = max(MIN_CONCURRENT_LOADS, self.limit / 2)
        elif typical_ms is None or took_ms <= INCREASE_UP_TO_FACTOR * typical_ms:
            self.limit = min(MAX_CONCURRENT_LOADS, self.limit + 1 / self.limit)
        if not succeeded:
            return
        if typical_ms is None:
            self.typical_ms = took_ms
        else:  # follow fast loads at once: slow ones may only be slowed by concurrent loads
            self.typical_ms = min(took_ms, typical_ms * TYPICAL_TIME_GROWTH)
