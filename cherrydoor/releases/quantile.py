"""Running estimate of a quantile in constant memory."""

QUANTILE = 0.8  # fraction of the observed values that the estimate should exceed
# Smallest step, as a fraction of the estimate. It lets the estimate follow changes even after many
# observations.
MIN_STEP = 0.02
# First step, as a fraction of the estimate. It is divided by the number of observations, so that
# the estimate settles quickly.
INITIAL_STEP = 0.5


class QuantileEstimate:
    """Quantile estimated by stochastic approximation.

    The estimate moves up by one step if an observed value exceeds it, otherwise down by a smaller
    step. In equilibrium the fraction `QUANTILE` of the values lies below the estimate.
    """

    __slots__ = ("value", "count")

    def __init__(self) -> None:
        """Start without observations."""
        self.value = 0.0
        self.count = 0

    def add(self, observed: float) -> None:
        """Update the estimate with one observed value."""
        self.count += 1
        if self.count == 1:
            self.value = observed
        step = max(MIN_STEP, INITIAL_STEP / self.count) * max(self.value, 1.0)
        if observed > self.value:
            self.value += step * QUANTILE
        else:
            self.value += -step * (1 - QUANTILE)
