"""Circuit breaker that stops new rollouts after several rollbacks in a short time."""

from collections import deque

ROLLBACKS_TO_OPEN = 3
ROLLBACK_WINDOW_MS = 60000.0  # the breaker opens if the rollbacks happen within this time
OPEN_DURATION_MS = 600000.0  # counted from the last rollback


class RollbackBreaker:
    """Opens when releases are rolled back automatically in quick succession.

    Several bad releases at the same time probably have one cause, which other releases of the same
    time are likely to share; while the breaker is open, these do not start. The drawback is that
    unrelated releases are delayed too; an operator can complete them manually.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self._rolled_back_at_ms: deque[float] = deque(maxlen=ROLLBACKS_TO_OPEN)

    def add(self, now: float) -> None:
        """Count a release that this gateway has rolled back automatically."""
        self._rolled_back_at_ms.append(now)

    def is_open(self, now: float) -> bool:
        """Return whether the breaker is open, so that no rollout may start."""
        times = self._rolled_back_at_ms
        return (
            len(times) == ROLLBACKS_TO_OPEN
            and times[-1] - times[0] <= ROLLBACK_WINDOW_MS
            and now - times[-1] < OPEN_DURATION_MS
        )
