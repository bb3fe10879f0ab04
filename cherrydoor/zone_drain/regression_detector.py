"""Whether fewer requests than before a drain meet their latency objective, and for how long.

No gateway reports what neighbours can serve; that they can serve less than was assumed shows here
first. A small regression may be chance and passes; a deep one is overload, which grows while one
waits. Pure; times are ms of the caller's clock.
"""

TOLERATED_DROP = 0.05  # of the share in time, against before the drain ...
TOLERATED_DROP_BEYOND_CAPACITY = 0.02  # ... and beyond known capacity: overload feeds itself
MAX_TOLERATED_MS = 4000.0  # for a regression of TOLERATED_DROP; the less, the deeper it is ...
MIN_TOLERATED_MS = 1000.0  # ... but this long at the least
RECOVERY_MS = 4000.0  # after a step back, until queues at hosts have been served or dropped
SHARE_WINDOW_MS = 4000.0  # of responses that a share is made of once all sessions have moved
ATTRIBUTION_MS = 20000.0  # after the last wave, for which a regression is held to be its effect
ASSUMED_RESPONSES = 1e9  # where the caller knows no number: chance plays no part


class RegressionDetector:
    """Compares the share in time with the one before the drain.

    Harms where another cause lowers the share meanwhile: the drain waits or steps back for it.

    Attributes:
        baseline: The share before the drain; None until it is known.
        since_ms: Since when there has been a regression; None while there is none.
        reason: What the share has fallen to, for people.
    """

    def __init__(self) -> None:
        self.baseline: float | None = None
        self.since_ms: float | None = None
        self.reason = ""
        self._drop = 0.0

    def reset(self) -> None:
        """Forgets a regression that was seen; the baseline stays."""
        self.since_ms = None

    def observe(
        self,
        now_ms: float,
        share: float | None,
        responses: float = ASSUMED_RESPONSES,
        tolerated_drop: float = TOLERATED_DROP,
    ) -> bool:
        """Whether there is a regression.

        Args:
            now_ms: Now.
            share: Of the last responses, those in time; None where they are too few.
            responses: How many those are: what may be chance among so few counts for nothing.
            tolerated_drop: By which the share may fall.
        """
        baseline = self.baseline
        if share is None or baseline is None:
            return self._clear_regression()
        chance = 2 * (baseline * (1 - baseline) / responses) ** 0.5 if baseline else 0.0
        if share >= baseline - tolerated_drop - chance:
            return self._clear_regression()
        if self.since_ms is None:
            self.since_ms = now_ms
        self._drop = baseline - share
        self.reason = f"{share:.2f} within target, {baseline:.2f} before"
        return True

    def _clear_regression(self) -> bool:
        self.since_ms = None
        self.reason = ""
        return False

    def persists(self, now_ms: float) -> bool:
        """Whether the regression has lasted for longer than it is tolerated."""
        if self.since_ms is None:
            return False
        tolerated_ms = MAX_TOLERATED_MS * TOLERATED_DROP / max(TOLERATED_DROP, self._drop)
        return now_ms - self.since_ms > max(MIN_TOLERATED_MS, tolerated_ms)
