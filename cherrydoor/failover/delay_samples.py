"""Samples of the replication delay of requests in flight. Pure: no sockets, no clock.

The delay is the time for which a request in flight was known to no replica.
"""

MAX_DELAY_SAMPLES = 2000  # beyond this the older half is dropped
DELAY_QUANTILE = 0.99


class DelaySamples:
    """Recent replication delays in ms, shown to operators; at most `MAX_DELAY_SAMPLES`."""

    def __init__(self) -> None:
        self._delays_ms: list[float] = []

    def add(self, delay_ms: float) -> None:
        """Add a sample."""
        self._delays_ms.append(delay_ms)
        if len(self._delays_ms) > MAX_DELAY_SAMPLES:
            del self._delays_ms[: MAX_DELAY_SAMPLES // 2]

    def quantile(self) -> float:
        """Return the `DELAY_QUANTILE` quantile of the samples in ms; 0.0 without samples."""
        if not self._delays_ms:
            return 0.0
        return round(sorted(self._delays_ms)[int(len(self._delays_ms) * DELAY_QUANTILE)], 2)
