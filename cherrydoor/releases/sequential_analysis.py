"""Sequential tests of failure rates, which may be evaluated after every answer.

The confidence bounds use Robbins' method of mixtures with a beta mixture (Robbins 1970; Howard,
Ramdas, McAuliffe, Sekhon 2021). The probability that the true rate lies outside the interval at any
time, however many answers there are, is at most alpha. A fixed-sample test that is evaluated
repeatedly would exceed its error rate and roll back good versions.
"""

from math import exp, inf, lgamma, log, log1p

UNKNOWN_BASELINE_RATE = 0.5  # upper bound of the failure rate of a baseline without observations
# Parameters a and b of the beta mixture. These make the bounds tightest for failure rates near 0.
MIXTURE_A = 0.5
MIXTURE_B = 2.0
MIN_CANARY_OBSERVATIONS = 2  # with fewer, the canary is never considered worse
BISECTION_STEPS = 40  # each step halves the interval [0, 1], which gives a precision of 1e-12
# Significance level of the baseline's upper bound, against which a finished step's evidence is
# computed.
CARRIED_ALPHA = 0.05
# Lower limit of the log evidence of a finished step. It limits how much one step in favour of the
# canary lowers the sum.
MIN_CARRIED_EVIDENCE = -1.0
# Log evidence of a finished step whose canary failed no more often than the baseline's upper bound.
EVIDENCE_OF_LOWER_RATE = -0.5


def log_beta(a: float, b: float) -> float:
    """Return the logarithm of the beta function."""
    return lgamma(a) + lgamma(b) - lgamma(a + b)


def log_evidence(failures: int, successes: int, rate: float) -> float:
    """Return the log likelihood ratio of the mixture against `rate`.

    It is large if the observations contradict `rate`.
    """
    if rate <= 0.0:
        if failures:
            return inf
        return log_beta(MIXTURE_A, MIXTURE_B + successes) - log_beta(MIXTURE_A, MIXTURE_B)
    if rate >= 1.0:
        if successes:
            return inf
        return log_beta(MIXTURE_A + failures, MIXTURE_B) - log_beta(MIXTURE_A, MIXTURE_B)
    return (
        log_beta(MIXTURE_A + failures, MIXTURE_B + successes)
        - log_beta(MIXTURE_A, MIXTURE_B)
        - failures * log(rate)
        - successes * log1p(-rate)
    )


def confidence_bounds(failures: int, successes: int, alpha: float) -> tuple[float, float]:
    """Return the (lowest, highest) failure rate that is not ruled out.

    Args:
        failures: Number of observations that failed.
        successes: Number of observations that did not fail.
        alpha: Probability that the true rate is ever outside the interval, however often the
            interval is evaluated.

    >>> [round(x, 3) for x in confidence_bounds(0, 200, 0.01)]
    [0.0, 0.034]
    >>> [round(x, 2) for x in confidence_bounds(20, 180, 0.01)]
    [0.04, 0.2]
    """
    total = failures + successes
    if not total:
        return 0.0, 1.0
    threshold = log(1 / alpha)
    mean = failures / total
    low = 0.0
    high = 1.0
    if failures:
        inside = mean
        for _ in range(BISECTION_STEPS):
            middle = (low + inside) / 2
            if log_evidence(failures, successes, middle) > threshold:
                low = middle
            else:
                inside = middle
    if successes:
        inside = mean
        for _ in range(BISECTION_STEPS):
            middle = (inside + high) / 2
            if log_evidence(failures, successes, middle) > threshold:
                high = middle
            else:
                inside = middle
    return low, high


class FailureCount:
    """Number of observations and of failures among them. Invariant: 0 <= failures <= total."""

    __slots__ = ("failures", "total")

    def __init__(self, failures: int = 0, total: int = 0) -> None:
        """Start with the given counts."""
        self.failures = failures
        self.total = total

    def add(self, failed: bool) -> None:
        """Count one observation."""
        self.failures += failed
        self.total += 1

    def halve(self) -> None:
        """Halve both counts, so that old observations lose weight."""
        self.failures //= 2
        self.total //= 2

    def bounds(self, alpha: float) -> tuple[float, float]:
        """Return the (lowest, highest) failure rate that is not ruled out at this alpha."""
        return confidence_bounds(self.failures, self.total - self.failures, alpha)


def is_worse(
    canary: FailureCount,
    baseline: FailureCount,
    alpha: float,
    margin: float,
    carried_evidence: float = 0.0,
) -> bool:
    """Return whether the canary's failure rate is significantly above the baseline's plus margin.

    Each of the two bounds is wrong with probability at most alpha/2, so a canary that is no worse
    is considered worse with probability at most alpha, however often the test is evaluated.

    Args:
        canary: Observations of the new version.
        baseline: Observations of the previous version.
        alpha: Allowed probability of a false alarm.
        margin: Tolerated difference of the rates.
        carried_evidence: Log evidence of earlier steps. It comes from other requests and is
            therefore independent, so that the likelihood ratios are multiplied.
    """
    if canary.total < MIN_CANARY_OBSERVATIONS or not canary.failures:
        return False
    canary_lower, _ = canary.bounds(min(0.5, alpha / 2 * exp(carried_evidence)))
    if canary_lower <= margin:
        return False
    baseline_upper = UNKNOWN_BASELINE_RATE
    if baseline.total:
        _, baseline_upper = baseline.bounds(alpha / 2)
    return canary_lower > baseline_upper + margin


def evidence_to_carry(canary: FailureCount, baseline: FailureCount, margin: float) -> float:
    """Return the log evidence of a finished step that the canary's failure rate is too high.

    Too high means above the upper bound of the baseline's rate plus the margin.
    """
    if not canary.total or not baseline.total:
        return 0.0
    rate = min(1.0, baseline.bounds(CARRIED_ALPHA)[1] + margin)
    if canary.failures <= rate * canary.total:
        return EVIDENCE_OF_LOWER_RATE
    return max(
        MIN_CARRIED_EVIDENCE,
        log_evidence(canary.failures, canary.total - canary.failures, rate),
    )


def is_no_worse(canary: FailureCount, baseline: FailureCount, alpha: float, margin: float) -> bool:
    """Return whether the canary's upper bound is below the baseline's lower bound plus margin."""
    _, canary_upper = canary.bounds(alpha / 2)
    baseline_lower, _ = baseline.bounds(alpha / 2)
    return canary_upper < baseline_lower + margin
