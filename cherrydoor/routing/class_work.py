"""The work of a request of each class, in units of the mean work of all requests.

A count of requests stands for work only where all requests take about as much of it. Where one
class takes many times the work of another, a host in slow start would otherwise be sent heavy
requests at the rate of light ones, and fail under them.
"""

from collections.abc import Callable
from math import inf

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW_MS, DecayingValue

MIN_SAMPLE_WEIGHT = 0.03  # of a new response time in the mean of its class
# A response time counts for at most this multiple of the mean, so that a few long waits do not make
# a light class look heavy.
MAX_SAMPLE_FACTOR = 3.0
MIN_SAMPLES = 3  # response times of a class before their mean is used
# A class up to this multiple of the mean of all requests counts as one unit, as the difference may
# be chance.
HEAVY_FACTOR = 1.5


class ClassWork:
    """Successful responses of one class.

    Attributes:
        count: Their number, which decays.
        mean_ms: Moving mean of the response times at loaded copies, in ms.
    """

    __slots__ = ("_samples", "count", "mean_ms")

    def __init__(self) -> None:
        self.count = DecayingValue(half_life_ms=4 * WINDOW_MS)
        self.mean_ms = 0.0
        self._samples = 0

    @property
    def is_measured(self) -> bool:
        """Whether there were enough response times for a mean."""
        return self._samples >= MIN_SAMPLES

    def add_sample(self, duration_ms: float) -> None:
        """Add the response time of a loaded copy."""
        max_ms = MAX_SAMPLE_FACTOR * self.mean_ms or inf
        self._samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._samples)
        self.mean_ms += weight * (min(duration_ms, max_ms) - self.mean_ms)


class ClassWorkTable:
    """The work of each class. With a single class, each request is one unit.

    What is read at one time is computed once, because hosts in slow start are asked for their
    budget many times for one request.

    Args:
        request_classes: All request classes by name.
    """

    __slots__ = ("_classes", "_is_single", "_mean_ms", "_read_at_ms", "_request_classes", "_units")

    def __init__(self, request_classes: dict[str, messages.RequestClass]) -> None:
        self._request_classes = request_classes
        self._is_single = len(request_classes) == 1
        self._classes = {name: ClassWork() for name in request_classes}
        self._units = dict.fromkeys(request_classes, 1.0)
        self._mean_ms = 0.0
        self._read_at_ms: float | None = None  # None if a success has been recorded since

    def record_success(self, name: str, work_ms: float | None, now: float) -> None:
        """Record a success of a class.

        Args:
            name: Name of the class.
            work_ms: What its response time would have been at a warm host, in ms; None if it says
                nothing of the work, as the request waited for a load.
            now: Time in ms.
        """
        if self._is_single:
            return
        work = self._classes[name]
        work.count.add(now, 1.0)
        if work_ms is not None:
            work.add_sample(work_ms)
        self._read_at_ms = None

    def mean_ms(self, now: float) -> float:
        """The mean work of all recent requests, in ms; 0 unless some class is a heavy one."""
        self._read(now)
        return self._mean_ms

    def units(self, request_class: messages.RequestClass, now: float) -> float:
        """The work of a request of this class, in units of the mean work of all recent requests.

        It is at least 1, so that a heavy class gives no more room to a light one. A class that is
        not measured yet is taken to need as much of its latency objective as the others need of
        theirs.
        """
        self._read(now)
        return self._units[request_class.name]

    def _read(self, now: float) -> None:
        """Compute the mean work and the units of all classes at this time."""
        if self._is_single or now == self._read_at_ms:
            return
        self._read_at_ms = now
        mean_ms = self._mean(now, self._work_ms)
        mean_objective_ms = self._mean(now, self._objective_ms)
        for name, work in self._classes.items():
            if work.is_measured:
                self._units[name] = units_of(self._work_ms(name), mean_ms)
            else:
                self._units[name] = units_of(self._objective_ms(name), mean_objective_ms)
        has_heavy = any(self._units[name] > 1.0 for name in self._measured())
        self._mean_ms = mean_ms if has_heavy else 0.0

    def _measured(self) -> list[str]:
        """Names of the classes that are measured."""
        return [name for name, work in self._classes.items() if work.is_measured]

    def _work_ms(self, name: str) -> float:
        return self._classes[name].mean_ms

    def _objective_ms(self, name: str) -> float:
        return self._request_classes[name].latency_objective_ms

    def _mean(self, now: float, amount: Callable[[str], float]) -> float:
        """The mean of an amount over all recent requests of measured classes; 0 without any."""
        counts = {name: self._classes[name].count.read(now) for name in self._measured()}
        total = sum(counts.values())
        return sum(count * amount(name) for name, count in counts.items()) / total if total else 0.0


def units_of(amount: float, mean: float) -> float:
    """Returns an amount in units of the mean: 1 unless it is well above the mean."""
    return amount / mean if amount > HEAVY_FACTOR * mean > 0.0 else 1.0
