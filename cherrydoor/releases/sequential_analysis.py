"""Sequential tests of failure rates: evidence that may be evaluated after every answer.

The bound is Robbins' method of mixtures with a beta mixture (Robbins 1970; Howard, Ramdas,
McAuliffe, Sekhon 2021): the chance that the true rate is ever, at any number of answers, outside
the interval is at most alpha. A fixed-sample test evaluated repeatedly would roll back good
versions; this one does not.
"""

from math import exp, inf, lgamma, log, log1p

UNKNOWN_BASELINE_RATE = 0.5  # failure rate assumed at most of a baseline without observations
MIXTURE_A = 0.5  # parameters of the beta mixture: the bound is tightest at failure rates near 0
MIXTURE_B = 2.0
FEWEST_CANARY_OBSERVATIONS = 2  # below it nothing is concluded about a canary
BISECTION_STEPS = 40  # halvings of [0, 1]: an interval's end is known to 1e-12
CARRIED_ALPHA = 0.05  # of the baseline's bound that a finished step's evidence is taken against
LEAST_CARRIED_EVIDENCE = -1.0  # a finished step in favour of the canary lowers the sum by this much
EVIDENCE_OF_LOWER_RATE = -0.5  # carried from a step whose canary failed no more than the baseline


def log_beta(a: float, b: float) -> float:
    """Return the logarithm of the beta function."""
    return lgamma(a) + lgamma(b) - lgamma(a + b)


def log_evidence(failures: int, successes: int, rate: float) -> float:
    """Return the log likelihood ratio of the mixture over `rate`.

    It is large where the observations speak against `rate`.
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
    """Return the (least, greatest) failure rate that is not ruled out.

    Args:
        failures: Observations that failed.
        successes: Observations that did not.
        alpha: Chance that the true rate is ever outside the interval, at any number of looks.

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
    """How many of the observations failed. Invariant: 0 <= failures <= total."""

    __slots__ = ("failures", "total")

    def __init__(self, failures: int = 0, total: int = 0) -> None:
        """Start from what was counted already."""
        self.failures = failures
        self.total = total

    def add(self, failed: bool) -> None:
        """Count one observation."""
        self.failures += failed
        self.total += 1

    def halve(self) -> None:
        """Forget half of the observations, so that old ones fade."""
        self.failures //= 2
        self.total //= 2

    def bounds(self, alpha: float) -> tuple[float, float]:
        """Return the (least, greatest) failure rate that is not ruled out at this alpha."""
        return confidence_bounds(self.failures, self.total - self.failures, alpha)


def is_worse(
    canary: FailureCount,
    baseline: FailureCount,
    alpha: float,
    margin: float,
    carried_evidence: float = 0.0,
) -> bool:
    """Return whether the canary surely fails more often than the baseline, by more than the margin.

    Each side errs with at most alpha/2, so a canary that is no worse is held to be worse with at
    most alpha, at any number of looks.

    Args:
        canary: Observations of the new version.
        baseline: Observations of the version before.
        alpha: Chance of a false alarm that is allowed.
        margin: Difference of the rates that is tolerated.
        carried_evidence: Log evidence of earlier steps. It multiplies, as it was gathered from
            other requests.
    """
    if canary.total < FEWEST_CANARY_OBSERVATIONS or not canary.failures:
        return False
    canary_least, _ = canary.bounds(min(0.5, alpha / 2 * exp(carried_evidence)))
    if canary_least <= margin:
        return False
    baseline_greatest = UNKNOWN_BASELINE_RATE
    if baseline.total:
        _, baseline_greatest = baseline.bounds(alpha / 2)
    return canary_least > baseline_greatest + margin


def evidence_to_carry(canary: FailureCount, baseline: FailureCount, margin: float) -> float:
    """Return the log evidence of a finished step.

    It speaks against the canary's rate being within the margin of the baseline's.
    """
    if not canary.total or not baseline.total:
        return 0.0
    rate = min(1.0, baseline.bounds(CARRIED_ALPHA)[1] + margin)
    if canary.failures <= rate * canary.total:
        return EVIDENCE_OF_LOWER_RATE
    return max(
        LEAST_CARRIED_EVIDENCE,
        log_evidence(canary.failures, canary.total - canary.failures, rate),
    )


def is_no_worse(canary: FailureCount, baseline: FailureCount, alpha: float, margin: float) -> bool:
    """Return whether the canary's rate is surely below the baseline's least plus the margin."""
    _, canary_greatest = canary.bounds(alpha / 2)
    baseline_least, _ = baseline.bounds(alpha / 2)
    return canary_greatest < baseline_least + margin
