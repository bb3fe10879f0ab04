"""The rate limiter for new connections and for TLS handshakes."""


class LeakyBucket:
    """A leaky bucket; the caller passes rate and depth, which may differ from call to call.

    Attributes:
        level: Units in the bucket; never negative.
        at_ms: Time up to which the leak has been taken off `level`.
    """

    __slots__ = ("level", "at_ms")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.at_ms = now

    def wait_ms(self, now: float, rate: float, depth: float) -> float:
        """Applies the leak up to now, and returns the time until one more unit fits.

        Args:
            now: Time in ms; if it is earlier than at the last call, nothing leaks.
            rate: Leak rate in units per second.
            depth: Units that the bucket holds.

        Returns:
            Time in ms until one more unit fits; 0 if it fits now.
        """
        if now > self.at_ms:
            self.level = max(0.0, self.level - (now - self.at_ms) * rate / 1000)
        self.at_ms = now
        return max(0.0, (self.level + 1 - depth) / rate * 1000)

    def add(self) -> None:
        """Adds one unit."""
        self.level += 1
