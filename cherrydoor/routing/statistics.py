"""Measurements over the responses of all hosts: response times, rates, load times, losses."""

from cherrydoor.routing import messages
from cherrydoor.routing.class_work import ClassWorkTable
from cherrydoor.routing.context import Context
from cherrydoor.routing.decay import WINDOW_MS, DecayingValue
from cherrydoor.routing.request import Attempt

INITIAL_LOAD_MS = 1000.0  # mean load time before any load was seen
LOAD_TIME_WEIGHT = 0.1  # weight of a new sample in the mean load time
MIN_RESPONSE_TIME_WEIGHT = 0.02  # of a new sample in the mean response time of all hosts
FADE_RESPONSES = 100  # responses after which the weight of older ones has fallen by two thirds
# Factors that move the fast response time up after a slower response and down after a faster one.
# They balance where three in ten responses are faster, at the 0.3 quantile.
FAST_RESPONSE_UP = 1.006
FAST_RESPONSE_DOWN = 0.986
# A decaying count converges to its rate times its half-life times this factor, 1 / ln 2.
RATE_PER_COUNT = 1.44


class ClassLosses:
    """Attempts of one request class: all that were sent, and those presumed lost."""

    __slots__ = ("lost", "sent")

    def __init__(self) -> None:
        self.lost = DecayingValue(half_life_ms=4 * WINDOW_MS)
        self.sent = DecayingValue(half_life_ms=4 * WINDOW_MS)


class Statistics:
    """Measurements over all hosts, recorded by the router and read by hosts and tables.

    Attributes:
        response_time: Moving mean of the response times of loaded copies, in ms.
        fast_response_ms: Fast-answer quantile: three in ten responses are faster than this.
        load_ms: Mean load time.
        succeeded: Decaying count of successful responses, each divided by the ready capacity at its
            time. The half-life is long: with few responses the count varies much, and as
            ``warm_host_rate_per_ms`` takes the greater of the rate and a floor, it would be too
            high.
        ready_capacity: Sum of the warm-up levels of all ready hosts.
        time_per_request_ms: Mean response time divided by the requests that the host held.
        response_time_sum_ms: Decaying sum of the response times behind that value.
        most_hosts_suspect: More than half of the ready hosts look faulty. It is then more likely
            that this gateway is at fault, so no host is treated as faulty.
        class_losses: Lost attempts by name of the request class.
        class_work: Work of a request of each class.
    """

    __slots__ = (
        "_context",
        "_held_requests_sum",
        "class_losses",
        "class_work",
        "fast_response_ms",
        "load_ms",
        "most_hosts_suspect",
        "ready_capacity",
        "response_time",
        "succeeded",
        "time_per_request_ms",
        "response_time_sum_ms",
    )

    def __init__(self, context: Context) -> None:
        self._context = context
        self.response_time = DecayingValue(half_life_ms=2 * WINDOW_MS)
        self.fast_response_ms = context.settings.shortest_objective_ms / 10
        self.load_ms = INITIAL_LOAD_MS
        self.succeeded = DecayingValue(half_life_ms=4 * WINDOW_MS)
        self.ready_capacity = 0.0
        self.time_per_request_ms = 0.0
        self.response_time_sum_ms = 0.0
        self._held_requests_sum = 0.0
        self.most_hosts_suspect = False
        self.class_losses = {name: ClassLosses() for name in context.settings.request_classes}
        self.class_work = ClassWorkTable(context.settings.request_classes)

    def mean_response_ms(self) -> float:
        """Mean response time of all hosts, in ms.

        Without new responses it decays to a quarter of the shortest latency objective, so that a
        gateway that was idle after slow responses sends requests again.
        """
        return self.response_time.read(
            self._context.now, self._context.settings.shortest_objective_ms / 4
        )

    def warm_host_rate_per_ms(self) -> float:
        """Requests of mean work per ms that a warm host takes from this gateway.

        It is at least this gateway's equal part of one request at a time.
        """
        now = self._context.now
        measured_rate = self.succeeded.read(now) / (RATE_PER_COUNT * self.succeeded.half_life_ms)
        # The mean response time hardly shows a rare class that takes much longer than the others.
        response_ms = max(self.mean_response_ms(), self.class_work.mean_ms(now))
        return max(measured_rate, 1 / (self._context.settings.gateway_count * response_ms))

    def requests_per_second(self) -> float:
        """Successful responses per second and warm host."""
        count = self.succeeded.read(self._context.now)
        return 1000 * count / (RATE_PER_COUNT * self.succeeded.half_life_ms)

    def record_success(
        self, attempt: Attempt, ended: messages.AttemptEnded, host_count: int
    ) -> None:
        """Update the measurements from a successful attempt.

        Args:
            attempt: The attempt.
            ended: How it ended.
            host_count: Number of hosts in the Zone Table.
        """
        now = self._context.now
        # Divided by the capacity at this time; later changes of the capacity do not matter to it.
        self.succeeded.add(now, 1.0 / max(1.0, self.ready_capacity))
        self._record_time_per_request(attempt, ended, host_count)
        self._record_class_work(attempt, ended)
        if attempt.ran_on_loaded_copy:
            sample_ms = min(ended.duration_ms, 2 * self.mean_response_ms())
            rest_ms = self._context.settings.shortest_objective_ms / 4
            self.response_time.add_sample(now, sample_ms, MIN_RESPONSE_TIME_WEIGHT, rest_ms)
            slower = ended.duration_ms > self.fast_response_ms
            self.fast_response_ms *= FAST_RESPONSE_UP if slower else FAST_RESPONSE_DOWN
        waited_for_load = ended.copy == 2 or (
            ended.copy is None
            and not attempt.copy_was_loaded
            and ended.duration_ms > 2 * self.mean_response_ms()
        )
        if waited_for_load:
            self.load_ms += LOAD_TIME_WEIGHT * (ended.duration_ms - self.load_ms)

    def _record_class_work(self, attempt: Attempt, ended: messages.AttemptEnded) -> None:
        """Update the work of the request's class; a host in slow start takes longer for it."""
        now = self._context.now
        work_ms = None
        if attempt.ran_on_loaded_copy:
            work_ms = ended.duration_ms * attempt.host.slow_start.level(now)
        self.class_work.record_success(attempt.request.request_class.name, work_ms, now)

    def _record_time_per_request(
        self, attempt: Attempt, ended: messages.AttemptEnded, host_count: int
    ) -> None:
        """Update the response time for each request that a host holds.

        Without it, a host would look fast however many requests wait there.

        If hosts send no load report, the concurrency of the function is used as the least number of
        requests at the host. The cost: where other functions fill the host, a request then seems to
        take longer than it does. This is therefore done only if there are more gateways than hosts;
        with few gateways, the own requests in flight show the load.

        Only responses of loaded copies count, as a load time would be taken for work.
        """
        many_gateways = self._context.settings.gateway_count > host_count
        no_report = ended.in_flight is None and many_gateways
        held_requests = ended.concurrency if no_report else ended.in_flight
        if held_requests is None or not attempt.ran_on_loaded_copy:
            return
        fade = 1 - 1 / FADE_RESPONSES
        self.response_time_sum_ms = fade * self.response_time_sum_ms + ended.duration_ms
        self._held_requests_sum = fade * self._held_requests_sum + held_requests + 1
        self.time_per_request_ms = self.response_time_sum_ms / self._held_requests_sum
