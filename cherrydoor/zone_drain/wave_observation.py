"""How participants take a wave: whether they confirm it, and whether requests fare worse for it.

Pure; times are ms of the caller's clock.
"""

from collections.abc import Callable, Sequence

from cherrydoor.zone_drain.participant_reports import ParticipantReports
from cherrydoor.zone_drain.regression_detector import (
    ATTRIBUTION_MS,
    RECOVERY_MS,
    SHARE_WINDOW_MS,
    TOLERATED_DROP,
    TOLERATED_DROP_BEYOND_CAPACITY,
    RegressionDetector,
)

CONFIRMATION_TIMEOUT_MS = 5000.0  # after which a wave no longer waits for who has not confirmed it
SETTLE_MS = 1500.0  # for which a wave is watched before the next
SETTLE_FACTOR_BEYOND_CAPACITY = 3  # overload takes its time to show
BASELINE_WINDOW_MS = 60000.0  # of responses that the share before the drain is made of


class WaveObservation:
    """Owns the participants' reports, and since when they show the last wave's effect.

    Guards against waves that outrun slow gateways or hide an overload. Harms where a gateway is
    stuck but still a member: each wave waits CONFIRMATION_TIMEOUT_MS for it.
    """

    def __init__(self, now_ms: float, living_gateways: Callable[[], Sequence[str]]):
        """Starts observing; `living_gateways` gives the names of members now."""
        self.reports = ParticipantReports()
        self.regression = RegressionDetector()
        self.living_gateways = living_gateways
        self._began_at_ms = now_ms
        self._measured_from_ms = now_ms  # since when responses show the effect of the last wave
        self._recovery_ms = 0.0  # for which a step back that was just made has no effect yet

    def begin_preloading(self, now_ms: float) -> None:
        """Nothing has moved since the last wave; responses go on to count."""
        self._began_at_ms = now_ms

    def begin_wave(self, now_ms: float) -> None:
        """Shares have changed: responses count from when they can show it."""
        self._began_at_ms = now_ms
        self.regression.reset()
        self._measured_from_ms = now_ms + (self._recovery_ms or SETTLE_MS / 2)
        self._recovery_ms = 0.0

    def expect_recovery(self) -> None:
        """The next wave takes the last one back: its effect shows later."""
        self._recovery_ms = RECOVERY_MS

    def set_baseline(self, now_ms: float) -> None:
        """Before the first wave: the share in time until now."""
        if self.regression.baseline is None:
            timely = self.reports.timely_share(now_ms - BASELINE_WINDOW_MS)
            self.regression.baseline = timely.share

    def may_still_confirm(self, now_ms: float) -> bool:
        """Whether gateways still have time to confirm the wave."""
        return now_ms - self._began_at_ms <= CONFIRMATION_TIMEOUT_MS

    def unconfirmed(self, version: tuple[int, int]) -> list[str]:
        """Living gateways that have not confirmed this wave."""
        return self.reports.not_confirmed(self.living_gateways(), version)

    def is_wave_in_progress(
        self, now_ms: float, version: tuple[int, int], settle_factor: int = 1
    ) -> bool:
        """Whether the wave is still to be confirmed by a living gateway, or to settle."""
        if now_ms - self._began_at_ms < SETTLE_MS * settle_factor:
            return True
        return self.may_still_confirm(now_ms) and bool(self.unconfirmed(version))

    def is_effect_measured(self, now_ms: float) -> bool:
        """Whether responses have shown the wave's effect for a while."""
        return now_ms >= self._measured_from_ms + SETTLE_MS / 2

    def has_regressed(self, now_ms: float, is_beyond_capacity: bool) -> bool:
        """Whether requests fare worse since the last wave."""
        return self._observe(now_ms, self._measured_from_ms, is_beyond_capacity)

    def has_regressed_since_last_wave(self, now_ms: float, is_beyond_capacity: bool) -> bool:
        """Whether a regression persists that the last wave may have caused."""
        if now_ms - self._began_at_ms > ATTRIBUTION_MS:
            return False
        since_ms = max(self._measured_from_ms, now_ms - SHARE_WINDOW_MS)
        has_regressed = self._observe(now_ms, since_ms, is_beyond_capacity)
        return has_regressed and self.regression.persists(now_ms)

    def _observe(self, now_ms: float, since_ms: float, is_beyond_capacity: bool) -> bool:
        timely = self.reports.timely_share(since_ms)
        tolerated = TOLERATED_DROP_BEYOND_CAPACITY if is_beyond_capacity else TOLERATED_DROP
        return self.regression.observe(now_ms, timely.share, timely.responses, tolerated)
