"""A breaker that stops new rollouts while several releases are rolled back together."""

from collections import deque

ROLLBACKS = 3  # so many rollbacks ...
WINDOW_MS = 60000.0  # ... within this time open the breaker ...
OPEN_MS = 600000.0  # ... for so long after the last


class RollbackBreaker:
    """Opens when releases are found bad in quick succession.

    Guards against a fault that many releases share: several found bad together are likely bad by
    one cause, and so is what was released with them. Harms releases that only happen to follow; an
    operator completes those by hand.
    """

    def __init__(self) -> None:
        """Start closed."""
        self._rolled_back_at_ms: deque[float] = deque(maxlen=ROLLBACKS)

    def add(self, now: float) -> None:
        """Count a release that this gateway found bad."""
        self._rolled_back_at_ms.append(now)

    def is_open(self, now: float) -> bool:
        """Return whether no further rollout may begin."""
        times = self._rolled_back_at_ms
        return (
            len(times) == ROLLBACKS
            and times[-1] - times[0] <= WINDOW_MS
            and now - times[-1] < OPEN_MS
        )
