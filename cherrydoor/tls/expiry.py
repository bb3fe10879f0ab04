"""Warnings before certificates expire. Pure: the time is passed in. Times in ms since 1970."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from cherrydoor.tls.messages import ExpiryWarning

DAY_MS = 86400000.0
# Fractions of `warn_before_ms` left at which a warning is given: with the default of 14 days at
# 14, 7, 3.5 and 1 days, and at the end.
WARNING_STEPS = (1.0, 0.5, 0.25, 1 / 14, 0.0)


@dataclass(slots=True)
class ExpiryPolicy:
    """How long replaced credentials are tolerated, and when expiry is warned of.

    Attributes:
        grace_period_ms: How long connections go on after the credentials that they were accepted
            on have gone out of service.
        warn_before_ms: How long before its end a certificate is first warned of.
        seed: Seed of the jitter by which connections of replaced credentials end.
        warning_steps: Fractions of `warn_before_ms` left at which a warning is given.
    """

    grace_period_ms: float = 900000.0
    warn_before_ms: float = 14 * DAY_MS
    seed: int = 1
    warning_steps: tuple[float, ...] = WARNING_STEPS


class ExpiryWarnings:
    """Steps at which each certificate in service was warned of.

    Invariant: `steps_warned` holds certificates in service alone, each with the highest step that
    was warned of, so that no step is warned of twice.
    """

    def __init__(self, policy: ExpiryPolicy) -> None:
        """Nothing has been warned of."""
        self.policy = policy
        self.steps_warned: dict[tuple[str, float], int] = {}

    def due(self, now_ms: float, in_service: Iterable[tuple[str, float]]) -> list[ExpiryWarning]:
        """Warnings that are due and were not given before.

        Args:
            now_ms: The time.
            in_service: Name and end of validity (ms) of each certificate in service.
        """
        certificates = list(in_service)
        names = {name for name, _ in certificates}
        self.steps_warned = {
            certificate: step
            for certificate, step in self.steps_warned.items()
            if certificate[0] in names
        }
        warnings = []
        for name, not_after_ms in certificates:
            left_ms = not_after_ms - now_ms
            step = self._steps_passed(left_ms)
            if step > self.steps_warned.get((name, not_after_ms), 0):
                self.steps_warned[name, not_after_ms] = step
                warnings.append(ExpiryWarning(name, left_ms))
        return warnings

    def _steps_passed(self, left_ms: float) -> int:
        before_ms = self.policy.warn_before_ms
        return sum(left_ms <= before_ms * fraction for fraction in self.policy.warning_steps)


def format_time(ms: float) -> str:
    """A time as text.

    >>> format_time(1.8e12)
    '2027-01-15 08:00 UTC'
    """
    return (datetime(1970, 1, 1) + timedelta(milliseconds=ms)).strftime("%Y-%m-%d %H:%M UTC")
