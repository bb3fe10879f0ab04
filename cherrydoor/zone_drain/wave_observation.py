"""Observes a wave: whether participants confirm it, and whether it makes responses slower.

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

CONFIRMATION_TIMEOUT_MS = 5000.0  # then the next wave no longer waits for missing confirmations
SETTLE_MS = 1500.0  # least time that a wave is observed before the next
SETTLE_FACTOR_BEYOND_CAPACITY = 3  # multiplies SETTLE_MS, as overload shows with a delay
BASELINE_WINDOW_MS = 60000.0  # responses of this time before the first wave form the baseline


class WaveObservation:
    """Owns the participants' reports, and the time from which they show the last wave's effect.

    The next wave waits until slow gateways have applied the last one and an overload has had time
    to show. The cost: if a gateway hangs but is still a member, each wave waits
    CONFIRMATION_TIMEOUT_MS for it.
    """

    def __init__(self, now_ms: float, living_gateways: Callable[[], Sequence[str]]):
        """Starts observing; `living_gateways` returns the names of the current members."""
        self.reports = ParticipantReports()
        self.regression = RegressionDetector()
        self.living_gateways = living_gateways
        self._began_at_ms = now_ms
        self._measured_from_ms = now_ms  # from then on, responses show the last wave
        self._recovery_ms = 0.0  # delay until the effect of a rollback shows

    def begin_preloading(self, now_ms: float) -> None:
        """Begins a preload phase: no share has changed, so the measurement continues."""
        self._began_at_ms = now_ms

    def begin_wave(self, now_ms: float) -> None:
        """Begins a wave: responses count only from the time when they can show its effect."""
        self._began_at_ms = now_ms
        self.regression.reset()
        self._measured_from_ms = now_ms + (self._recovery_ms or SETTLE_MS / 2)
        self._recovery_ms = 0.0

    def expect_recovery(self) -> None:
        """Delays the measurement of the next wave: it is a rollback, whose effect shows later."""
        self._recovery_ms = RECOVERY_MS

    def set_baseline(self, now_ms: float) -> None:
        """Sets the baseline before the first wave: the timely share until now."""
        if self.regression.baseline is None:
            timely = self.reports.timely_share(now_ms - BASELINE_WINDOW_MS)
            self.regression.baseline = timely.share

    def may_still_confirm(self, now_ms: float) -> bool:
        """Returns whether gateways still have time to confirm the wave."""
        return now_ms - self._began_at_ms <= CONFIRMATION_TIMEOUT_MS

    def unconfirmed(self, version: tuple[int, int]) -> list[str]:
        """Returns the living gateways that have not confirmed this wave."""
        return self.reports.not_confirmed(self.living_gateways(), version)

    def is_wave_in_progress(
        self, now_ms: float, version: tuple[int, int], settle_factor: int = 1
    ) -> bool:
        """Returns whether the wave still has to settle or to be confirmed by a living gateway."""
        if now_ms - self._began_at_ms < SETTLE_MS * settle_factor:
            return True
        return self.may_still_confirm(now_ms) and bool(self.unconfirmed(version))

    def is_effect_measured(self, now_ms: float) -> bool:
        """Returns whether responses have shown the wave's effect for half of SETTLE_MS."""
        return now_ms >= self._measured_from_ms + SETTLE_MS / 2

    def has_regressed(self, now_ms: float, is_beyond_capacity: bool) -> bool:
        """Returns whether the timely share has regressed since the last wave."""
        return self._observe(now_ms, self._measured_from_ms, is_beyond_capacity)

    def has_regressed_since_last_wave(self, now_ms: float, is_beyond_capacity: bool) -> bool:
        """Returns whether there is a persistent regression that the last wave may have caused."""
        if now_ms - self._began_at_ms > ATTRIBUTION_MS:
            return False
        since_ms = max(self._measured_from_ms, now_ms - SHARE_WINDOW_MS)
        has_regressed = self._observe(now_ms, since_ms, is_beyond_capacity)
        return has_regressed and self.regression.persists(now_ms)

    def _observe(self, now_ms: float, since_ms: float, is_beyond_capacity: bool) -> bool:
        timely = self.reports.timely_share(since_ms)
        tolerated = TOLERATED_DROP_BEYOND_CAPACITY if is_beyond_capacity else TOLERATED_DROP
        return self.regression.observe(now_ms, timely.share, timely.responses, tolerated)
