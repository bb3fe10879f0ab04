"""Counters and means that age by themselves."""

WINDOW_MS = 2000  # counts halve each window


class DecayingValue:
    """A value that halves its distance to a resting value in each half-life.

    Attributes:
        at_ms: Time of the last change.
        value: Value at that time.
        half_life_ms: Time in which the distance to rest halves.
    """

    __slots__ = ("at_ms", "half_life_ms", "value")

    def __init__(
        self, at_ms: float = 0.0, value: float = 0.0, half_life_ms: float = WINDOW_MS
    ) -> None:
        self.at_ms = at_ms
        self.value = value
        self.half_life_ms = half_life_ms

    def read(self, now: float, rest: float = 0.0) -> float:
        """The value as of now, on its way to ``rest``."""
        decayed: float = 0.5 ** ((now - self.at_ms) / self.half_life_ms)
        return rest + decayed * (self.value - rest)

    def add(self, now: float, amount: float) -> None:
        """Count ``amount`` on top of what is left."""
        self.value = self.read(now) + amount
        self.at_ms = now

    def add_sample(self, now: float, sample: float, min_weight: float, rest: float) -> None:
        """Take a sample into a moving mean; the older the mean is, the more the sample weighs."""
        weight = max(min_weight, 1 - 0.5 ** ((now - self.at_ms) / WINDOW_MS))
        old = self.read(now, rest)
        self.at_ms = now
        self.value = old + weight * (sample - old)
