"""Figures over the responses of all hosts: response times, rates, load times, losses."""

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.decay import WINDOW_MS, DecayingValue
from cherrydoor.routing.request import Attempt

INITIAL_LOAD_MS = 1000.0  # time of a load before one was seen
LOAD_TIME_WEIGHT = 0.1  # weight of a new load time in the mean
MIN_RESPONSE_TIME_WEIGHT = 0.02  # least weight of a new response time in the mean of all hosts
FADE_RESPONSES = 100  # responses after which what they showed has faded by two thirds
# These two steps balance where three in ten responses are faster: the 0.3 quantile.
FAST_RESPONSE_UP = 1.006
FAST_RESPONSE_DOWN = 0.986
RATE_PER_COUNT = 1.44  # a decaying count is the rate times half-life times this (1 / ln 2)


class ClassLosses:
    """Attempts of one request class: all that were sent, and those presumed lost."""

    __slots__ = ("lost", "sent")

    def __init__(self) -> None:
        self.lost = DecayingValue(half_life_ms=4 * WINDOW_MS)
        self.sent = DecayingValue(half_life_ms=4 * WINDOW_MS)


class Statistics:
    """Figures over all hosts; the router records, hosts and tables read.

    Attributes:
        response_time: Moving mean of response times in ms, by loaded copies.
        fast_response_ms: Time that three in ten responses are faster than.
        load_ms: Mean time of a load.
        succeeded: Successful responses, each divided by the ready capacity at its time. Its
            half-life is long, as with few responses the greater of mean and floor is too much.
        ready_capacity: Number of ready hosts, one that warms up counted by its level.
        time_per_request_ms: Response time for each request that a host holds.
        response_time_sum_ms: Faded sum of the response times behind it.
        most_hosts_suspect: More than half of the ready hosts look bad, so it is likelier that this
            gateway's own view is: then no host is treated as bad.
        class_losses: By name of the request class.
    """

    __slots__ = (
        "_context",
        "_held_requests_sum",
        "class_losses",
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

    def mean_response_ms(self) -> float:
        """Mean response time of all hosts; it ages, so that an idle gateway tries again."""
        return self.response_time.read(
            self._context.now, self._context.settings.shortest_objective_ms / 4
        )

    def warm_host_rate_per_ms(self) -> float:
        """Requests a ms that a warm host takes from here; at least a part of one at a time."""
        seen = self.succeeded.read(self._context.now) / (
            RATE_PER_COUNT * self.succeeded.half_life_ms
        )
        return max(seen, 1 / (self._context.settings.gateway_count * self.mean_response_ms()))

    def requests_per_second(self) -> float:
        """Successful responses a second and warm host."""
        count = self.succeeded.read(self._context.now)
        return 1000 * count / (RATE_PER_COUNT * self.succeeded.half_life_ms)

    def record_success(
        self, attempt: Attempt, ended: messages.AttemptEnded, host_count: int
    ) -> None:
        """Learn from a success; ``host_count`` is the number of hosts in the Zone Table."""
        now = self._context.now
        # Divided by the capacity of that time: it is not divided again by those that remain later.
        self.succeeded.add(now, 1.0 / max(1.0, self.ready_capacity))
        self._record_time_per_request(attempt, ended, host_count)
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

    def _record_time_per_request(
        self, attempt: Attempt, ended: messages.AttemptEnded, host_count: int
    ) -> None:
        """Learn how much longer a response takes for each request that its host holds.

        Where hosts send no load report, the concurrency of the function is the least that was
        there.
        Guards against hosts that look fast however many requests wait; harms where other functions
        fill a host, as one request then seems to take longer than it does. So it is used only
        where a host serves more gateways than a gateway has hosts: with few, the own requests in
        flight show it.
        The time of a load would pass for the time of work, so only loaded copies count.
        """
        many_gateways = self._context.settings.gateway_count > host_count
        no_report = ended.in_flight is None and many_gateways
        held = ended.concurrency if no_report else ended.in_flight
        if held is None or not attempt.ran_on_loaded_copy:
            return
        fade = 1 - 1 / FADE_RESPONSES
        self.response_time_sum_ms = fade * self.response_time_sum_ms + ended.duration_ms
        self._held_requests_sum = fade * self._held_requests_sum + held + 1
        self.time_per_request_ms = self.response_time_sum_ms / self._held_requests_sum
