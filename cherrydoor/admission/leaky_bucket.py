"""The rate limiter that admission uses for new connections and for TLS handshakes."""


class LeakyBucket:
    """A leaky bucket; rate and depth are the caller's and may differ from call to call.

    Invariant: `level` is never negative, and `at_ms` is the time up to which leaking has been
    counted.
    """

    __slots__ = ("level", "at_ms")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.at_ms = now

    def wait_ms(self, now: float, rate: float, depth: float) -> float:
        """Leaks up to now, and says how long until one more has room.

        Args:
            now: Time in ms; a clock that is set back leaks nothing.
            rate: What leaks, in units per second.
            depth: How many the bucket holds.

        Returns:
            Ms until one more has room; 0 where it has room now.
        """
        if now > self.at_ms:
            self.level = max(0.0, self.level - (now - self.at_ms) * rate / 1000)
        self.at_ms = now
        return max(0.0, (self.level + 1 - depth) / rate * 1000)

    def add(self) -> None:
        """Counts one more."""
        self.level += 1
