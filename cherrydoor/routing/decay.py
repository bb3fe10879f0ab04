"""Counters and means that decay exponentially with time."""

WINDOW_MS = 2000  # default half-life of counts; also the interval between table updates


class DecayingValue:
    """A value whose distance from a resting value halves in each half-life.

    Attributes:
        at_ms: Time of the last change.
        value: Value at that time.
        half_life_ms: Time in which the distance from the resting value halves.
    """

    __slots__ = ("at_ms", "half_life_ms", "value")

    def __init__(
        self, at_ms: float = 0.0, value: float = 0.0, half_life_ms: float = WINDOW_MS
    ) -> None:
        self.at_ms = at_ms
        self.value = value
        self.half_life_ms = half_life_ms

    def read(self, now: float, resting_value: float = 0.0) -> float:
        """The value at this time, decayed towards ``resting_value``."""
        decayed: float = 0.5 ** ((now - self.at_ms) / self.half_life_ms)
        return resting_value + decayed * (self.value - resting_value)

    def add(self, now: float, amount: float) -> None:
        """Add ``amount`` to the decayed value."""
        self.value = self.read(now) + amount
        self.at_ms = now

    def add_sample(
        self, now: float, sample: float, min_weight: float, resting_value: float
    ) -> None:
        """Add a sample to a moving mean.

        The weight of the sample grows with the age of the mean and is at least ``min_weight``.
        Before the sample is added, the mean decays towards ``resting_value``.
        """
        weight = max(min_weight, 1 - 0.5 ** ((now - self.at_ms) / WINDOW_MS))
        old = self.read(now, resting_value)
        self.at_ms = now
        self.value = old + weight * (sample - old)
