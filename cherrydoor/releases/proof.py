"""Evidence that may be looked at after every answer: confidence sequences for the rate of a yes-or-no thing.

The bound is Robbins' method of mixtures with a beta mixture (Robbins 1970; Howard, Ramdas, McAuliffe, Sekhon 2021): the
chance that the true rate is ever, at any number of answers, outside the interval is at most alpha.
"""

from math import exp, inf, lgamma, log, log1p

UNKNOWN = 0.5  # what an old version of which nothing is known is held to fail in at most
A, B = 0.5, 2.0  # of the beta mixture: rates of error near 0 are where it should be sharp


def lbeta(a, b):
    return lgamma(a) + lgamma(b) - lgamma(a + b)


def evidence(bad, good, rate):
    """Log of the mixture's likelihood over that of `rate`: against the rate where it is large."""
    if rate <= 0.0:
        return inf if bad else lbeta(A, B + good) - lbeta(A, B)
    if rate >= 1.0:
        return inf if good else lbeta(A + bad, B) - lbeta(A, B)
    return lbeta(A + bad, B + good) - lbeta(A, B) - bad * log(rate) - good * log1p(-rate)


def bounds(bad, good, alpha):
    """(least, most) rate that is not ruled out at this alpha.

    >>> [round(x, 3) for x in bounds(0, 200, 0.01)]
    [0.0, 0.034]
    >>> [round(x, 2) for x in bounds(20, 180, 0.01)]
    [0.04, 0.2]
    """
    total = bad + good
    if not total:
        return 0.0, 1.0
    edge, mean = log(1 / alpha), bad / total
    low, high = 0.0, 1.0
    if bad:
        a, b = 0.0, mean
        for _ in range(40):
            middle = (a + b) / 2
            a, b = (middle, b) if evidence(bad, good, middle) > edge else (a, middle)
        low = a
    if good:
        a, b = mean, 1.0
        for _ in range(40):
            middle = (a + b) / 2
            a, b = (a, middle) if evidence(bad, good, middle) > edge else (middle, b)
        high = b
    return low, high


class Count:
    """How often a thing went badly, of how many. `at` is when it was begun."""

    __slots__ = ("bad", "all")

    def __init__(self, bad=0, all=0):
        self.bad, self.all = bad, all

    def add(self, bad, all=1):
        self.bad, self.all = self.bad + bad, self.all + all

    def bounds(self, alpha):
        return bounds(self.bad, self.all - self.bad, alpha)

    def __add__(self, other):
        return Count(self.bad + other.bad, self.all + other.all)


def worse(new, old, alpha, margin, carried=0.0):
    """Whether the new rate is surely above the old one by more than the margin. `carried` is the log evidence of
    earlier steps: it multiplies, as theirs was gathered from other events.

    Each side errs with at most alpha/2, so a new version that is no worse is held to be with at most alpha, at any
    number of looks."""
    if new.all < 2 or not new.bad:
        return False
    low, _ = new.bounds(min(0.5, alpha / 2 * exp(carried)))
    if low <= margin:
        return False
    _, high = old.bounds(alpha / 2) if old.all else (0.0, UNKNOWN)
    return low > high + margin


def carry(new, old, margin):
    """Log evidence of a step that is over, against the new rate lying within the margin of the old one."""
    if not new.all or not old.all:
        return 0.0
    rate = min(1.0, old.bounds(0.05)[1] + margin)
    return (
        max(-1.0, evidence(new.bad, new.all - new.bad, rate)) if new.bad > rate * new.all else -0.5
    )


def no_worse(new, old, alpha, margin):
    """Whether the new rate is surely below the old one's least plus the margin."""
    _, high = new.bounds(alpha / 2)
    low, _ = old.bounds(alpha / 2)
    return high < low + margin
