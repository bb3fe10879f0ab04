"""How long requests in flight were known to no replica. Pure: no sockets, no clock."""

MAX_DELAY_SAMPLES = 2000  # of replication delays; beyond it the older half goes
DELAY_QUANTILE = 0.99


class DelaySamples:
    """Recent replication delays in ms, for operators. Holds at most `MAX_DELAY_SAMPLES`."""

    def __init__(self) -> None:
        self._delays_ms: list[float] = []

    def add(self, delay_ms: float) -> None:
        """Add a delay."""
        self._delays_ms.append(delay_ms)
        if len(self._delays_ms) > MAX_DELAY_SAMPLES:
            del self._delays_ms[: MAX_DELAY_SAMPLES // 2]

    def quantile(self) -> float:
        """Return the delay that `DELAY_QUANTILE` of the samples do not exceed; 0.0 without any."""
        if not self._delays_ms:
            return 0.0
        return round(sorted(self._delays_ms)[int(len(self._delays_ms) * DELAY_QUANTILE)], 2)
