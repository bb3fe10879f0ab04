"""How often functions are called at this gateway, and how long their requests usually take."""

from cherrydoor.releases.quantile import QuantileEstimate

HALVING_MS = 60000.0  # call counts halve in this time
FORGOTTEN_CALLS = 0.5  # a function with a lower count counts as uncalled and is forgotten
SLOW_FACTOR = 1.3  # a request is slow if it takes so many times what the quantile is
QUANTILE_REQUESTS = 10  # with fewer observations nothing is called slow


class TrafficTable:
    """Call counts, and latencies of the versions in service, by function.

    Invariant: a function that is not called leaves both tables within a few halvings, so they are
    bounded by the functions that are in use.
    """

    def __init__(self) -> None:
        """Start without a function."""
        self._calls: dict[str, float] = {}
        self._latencies: dict[str, QuantileEstimate] = {}

    def add_call(self, function: str) -> None:
        """Count a call of the function."""
        self._calls[function] = self._calls.get(function, 0.0) + 1.0

    def calls(self, function: str) -> float:
        """Return the calls counted, roughly those of the last minute or two."""
        return self._calls.get(function, 0.0)

    def is_called(self, function: str) -> bool:
        """Return whether the function is called here at all."""
        return self._calls.get(function, 0.0) >= FORGOTTEN_CALLS

    def add_latency(self, function: str, took_ms: float) -> None:
        """Follow the latency of a warm success; without a call counted it is ignored."""
        if not self._calls.get(function):
            return
        latency = self._latencies.get(function)
        if latency is None:
            latency = self._latencies[function] = QuantileEstimate()
        latency.add(took_ms)

    def slow_above_ms(self, function: str) -> float:
        """Return the ms beyond which a request is slow; 0 where too little is known."""
        latency = self._latencies.get(function)
        if latency is None or latency.count < QUANTILE_REQUESTS:
            return 0.0
        return SLOW_FACTOR * latency.value

    def halve(self) -> None:
        """Halve the counts and forget what is no longer called."""
        self._calls = {
            function: calls / 2
            for function, calls in self._calls.items()
            if calls >= FORGOTTEN_CALLS
        }
        self._latencies = {
            function: latency
            for function, latency in self._latencies.items()
            if function in self._calls
        }
