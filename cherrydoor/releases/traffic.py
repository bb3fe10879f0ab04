"""Call rates and typical latencies of functions at this gateway."""

from cherrydoor.releases.quantile import QuantileEstimate

HALVING_INTERVAL_MS = 60000.0  # interval at which call counts are halved
MIN_CALLS = 0.5  # functions with a lower count are treated as not called, and dropped
SLOW_FACTOR = 1.3  # a request is slow if it takes longer than this multiple of the quantile
MIN_LATENCY_OBSERVATIONS = 10  # with fewer, no request counts as slow


class TrafficTable:
    """Call counts by function, and latencies of the versions that are not canaries.

    Invariant: a function that is no longer called is dropped from both tables after a few halvings,
    so the size of the tables is bounded by the number of functions in use.
    """

    def __init__(self) -> None:
        """Create empty tables."""
        self._calls: dict[str, float] = {}
        self._latencies: dict[str, QuantileEstimate] = {}

    def add_call(self, function: str) -> None:
        """Count one call of the function."""
        self._calls[function] = self._calls.get(function, 0.0) + 1.0

    def calls(self, function: str) -> float:
        """Return the call count, which covers roughly the last one or two minutes."""
        return self._calls.get(function, 0.0)

    def is_called(self, function: str) -> bool:
        """Return whether the function is called at this gateway."""
        return self._calls.get(function, 0.0) >= MIN_CALLS

    def add_latency(self, function: str, took_ms: float) -> None:
        """Add the latency of a warm success; ignored if no call of the function is counted."""
        if not self._calls.get(function):
            return
        latency = self._latencies.get(function)
        if latency is None:
            latency = self._latencies[function] = QuantileEstimate()
        latency.add(took_ms)

    def slow_above_ms(self, function: str) -> float:
        """Return the latency in ms above which a request is slow; 0 with too few observations."""
        latency = self._latencies.get(function)
        if latency is None or latency.count < MIN_LATENCY_OBSERVATIONS:
            return 0.0
        return SLOW_FACTOR * latency.value

    def halve(self) -> None:
        """Halve the counts and drop functions that are no longer called."""
        self._calls = {
            function: calls / 2 for function, calls in self._calls.items() if calls >= MIN_CALLS
        }
        self._latencies = {
            function: latency
            for function, latency in self._latencies.items()
            if function in self._calls
        }
