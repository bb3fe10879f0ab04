"""A running estimate of a quantile in constant memory."""

QUANTILE = 0.8  # the part of the values that the estimate is to exceed
LEAST_STEP = 0.02  # of the value, by which the estimate follows a change however many were seen
FIRST_STEP = 0.5  # of the value, divided by how many were seen: it settles quickly


class QuantileEstimate:
    """Quantile by stochastic approximation.

    The estimate takes a step up where a value exceeds it, a smaller one down where not.
    """

    __slots__ = ("value", "count")

    def __init__(self) -> None:
        """Start without a value."""
        self.value = 0.0
        self.count = 0

    def add(self, observed: float) -> None:
        """Follow one observed value."""
        self.count += 1
        if self.count == 1:
            self.value = observed
        step = max(LEAST_STEP, FIRST_STEP / self.count) * max(self.value, 1.0)
        if observed > self.value:
            self.value += step * QUANTILE
        else:
            self.value += -step * (1 - QUANTILE)
