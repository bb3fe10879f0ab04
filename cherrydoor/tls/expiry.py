"""Warnings before certificates expire. The time is passed in; times are ms since 1970."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from cherrydoor.tls.messages import ExpiryWarning

DAY_MS = 86400000.0
# Remaining validity at which warnings are given, as fractions of `warn_before_ms`. With the default
# of 14 days these are 14, 7, 3.5 and 1 days, and expiry.
WARNING_STEPS = (1.0, 0.5, 0.25, 1 / 14, 0.0)


@dataclass(slots=True)
class ExpiryPolicy:
    """Grace period of replaced credentials, and times of expiry warnings.

    Attributes:
        grace_period_ms: How long connections may continue after the credentials that they were
            accepted with have been replaced.
        warn_before_ms: Time between the first warning and the expiry of a certificate.
        seed: Seed of the jitter of the grace period.
        warning_steps: Remaining validity at which warnings are given, as fractions of
            `warn_before_ms`.
    """

    grace_period_ms: float = 900000.0
    warn_before_ms: float = 14 * DAY_MS
    seed: int = 1
    warning_steps: tuple[float, ...] = WARNING_STEPS


class ExpiryWarnings:
    """Keeps track of the expiry warnings given for each certificate in service.

    Invariant: `warned_steps` holds only certificates in service, each with the number of warning
    steps already passed, so that no warning is repeated.
    """

    def __init__(self, policy: ExpiryPolicy) -> None:
        """Starts without warnings given."""
        self.policy = policy
        self.warned_steps: dict[tuple[str, float], int] = {}

    def due(self, now_ms: float, in_service: Iterable[tuple[str, float]]) -> list[ExpiryWarning]:
        """Returns the warnings that are due and have not been given before.

        Args:
            now_ms: The current time.
            in_service: Name and end of validity of each certificate in service.
        """
        certificates = list(in_service)
        names = {name for name, _ in certificates}
        self.warned_steps = {
            certificate: step
            for certificate, step in self.warned_steps.items()
            if certificate[0] in names
        }
        warnings = []
        for name, not_after_ms in certificates:
            remaining_ms = not_after_ms - now_ms
            step = self._steps_passed(remaining_ms)
            if step > self.warned_steps.get((name, not_after_ms), 0):
                self.warned_steps[name, not_after_ms] = step
                warnings.append(ExpiryWarning(name, remaining_ms))
        return warnings

    def _steps_passed(self, remaining_ms: float) -> int:
        before_ms = self.policy.warn_before_ms
        return sum(remaining_ms <= before_ms * fraction for fraction in self.policy.warning_steps)


def format_time(ms: float) -> str:
    """Formats a time for messages.

    >>> format_time(1.8e12)
    '2027-01-15 08:00 UTC'
    """
    return (datetime(1970, 1, 1) + timedelta(milliseconds=ms)).strftime("%Y-%m-%d %H:%M UTC")
