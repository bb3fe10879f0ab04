"""Detects that fewer requests meet their latency objective than before a drain, and for how long.

No gateway reports the capacity of neighbours directly. If it is less than assumed, the *timely
share* shows that first: the share of responses within their latency objective. A small regression
may be chance and pass. A large one is overload, which grows if nothing is done; it is therefore
tolerated for a shorter time.

Pure; times are ms of the caller's clock.
"""

TOLERATED_DROP = 0.05  # of the timely share below the baseline
TOLERATED_DROP_BEYOND_CAPACITY = 0.02  # smaller, as an overload makes itself worse
MAX_TOLERATED_MS = 4000.0  # for a drop of TOLERATED_DROP; the larger the drop, the shorter
MIN_TOLERATED_MS = 1000.0  # for a drop of any size
RECOVERY_MS = 4000.0  # after a rollback, until the queues at hosts have been served or dropped
SHARE_WINDOW_MS = 4000.0  # of responses in a timely share once all sessions have moved
ATTRIBUTION_MS = 20000.0  # after the last wave; later regressions are not attributed to it
ASSUMED_RESPONSES = 1e9  # if the caller gives no number: sampling error is then negligible


class RegressionDetector:
    """Compares the timely share with its baseline from before the drain.

    It cannot distinguish causes: if something else lowers the share during the drain, the drain
    waits or rolls a wave back as well.

    Attributes:
        baseline: The timely share before the drain; None until it is known.
        since_ms: Start of the current regression, ms; None if there is none.
        reason: Share and baseline of the last regression, as text for operators; "" after the
            share has recovered.
    """

    def __init__(self) -> None:
        self.baseline: float | None = None
        self.since_ms: float | None = None
        self.reason = ""
        self._drop = 0.0

    def reset(self) -> None:
        """Restarts the detection of a regression; the baseline stays."""
        self.since_ms = None

    def observe(
        self,
        now_ms: float,
        share: float | None,
        responses: float = ASSUMED_RESPONSES,
        tolerated_drop: float = TOLERATED_DROP,
    ) -> bool:
        """Records a timely share and returns whether it is a regression.

        Args:
            now_ms: The current time, ms.
            share: The timely share of the last responses; None if they are too few.
            responses: Number of those responses. The tolerated drop is widened by two standard
                errors of a sample of that size, as such a drop may be chance.
            tolerated_drop: How far the share may fall below the baseline.
        """
        baseline = self.baseline
        if share is None or baseline is None:
            return self._clear_regression()
        sampling_error = 2 * (baseline * (1 - baseline) / responses) ** 0.5 if baseline else 0.0
        if share >= baseline - tolerated_drop - sampling_error:
            return self._clear_regression()
        if self.since_ms is None:
            self.since_ms = now_ms
        self._drop = baseline - share
        self.reason = f"{share:.2f} of responses within latency objective, {baseline:.2f} before"
        return True

    def _clear_regression(self) -> bool:
        self.since_ms = None
        self.reason = ""
        return False

    def persists(self, now_ms: float) -> bool:
        """Returns whether the regression has lasted longer than a drop of its size is tolerated."""
        if self.since_ms is None:
            return False
        tolerated_ms = MAX_TOLERATED_MS * TOLERATED_DROP / max(TOLERATED_DROP, self._drop)
        return now_ms - self.since_ms > max(MIN_TOLERATED_MS, tolerated_ms)
