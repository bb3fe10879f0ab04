"""Health of one host: outlier ejection, health checks, and health for each request class."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.messages import AttemptOutcome
from cherrydoor.routing.statistics import Statistics

if TYPE_CHECKING:
    from cherrydoor.routing.host import Host
    from cherrydoor.routing.request import Attempt

EJECTION_FAILURES = 2  # consecutive failures after which a host is ejected
EJECTION_BASE_MS = 250  # doubled with each consecutive failure
EJECTION_MAX_DOUBLINGS = 4
CLASS_EJECTION_BASE_MS = 4000  # first ejection of a host for one request class
CLASS_EJECTION_MAX_FACTOR = 10
CLASS_LOSS_FACTOR = 20  # weight of the class's share of lost requests in the ejection time
CLASS_LOSS_PRIOR = 20  # requests without a loss that are assumed in that share
MIN_SILENCE_MS = 250.0  # shorter silence is no sign of a failure
SILENCE_FACTOR = 4  # in mean response times; shorter silence is no sign of a failure
# A request that waits for a load may take this many mean load times longer.
LOAD_SILENCE_FACTOR = 3
CLASS_LOAD_SILENCE_FACTOR = 1.5  # in mean load times, where losses of one class are counted


class ClassHealth:
    """Health of a host for one request class.

    Detects a host that does not respond to the requests of one class but serves the others, and a
    host that loses responses at random. The cost: a slow request that others overtake at a healthy
    host may eject the host for that class.
    """

    __slots__ = ("consecutive_losses", "ejected_until_ms", "last_loss_ms", "last_response_ms")

    def __init__(self) -> None:
        self.last_response_ms = 0.0
        self.last_loss_ms = 0.0
        self.consecutive_losses = 0
        self.ejected_until_ms = 0.0

    def record_response(self, now: float) -> None:
        """Record a response to a request of the class."""
        self.last_response_ms = now
        self.consecutive_losses //= 2
        self.ejected_until_ms = 0.0


class HostHealth:
    """Health of one incarnation of a host; owns its ejection and the state of its health check.

    Attributes:
        last_response_ms: When it last responded to any request; 0 if it never has.
        consecutive_failures: Failures since the last success; a severe failure counts as two.
        ejected_until_ms: No requests are sent to the host before this time.
        check_in_flight: A check of its health has been requested and has not ended.
    """

    __slots__ = (
        "_cancel_attempt",
        "_classes",
        "_context",
        "_host",
        "_last_failure_ms",
        "_latest_responded_sent_ms",
        "_statistics",
        "check_in_flight",
        "consecutive_failures",
        "ejected_until_ms",
        "last_response_ms",
    )

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        host: Host,
        cancel_attempt: Callable[[Attempt], None],
    ) -> None:
        self._context = context
        self._statistics = statistics
        self._host = host
        self._cancel_attempt = cancel_attempt
        self.last_response_ms = 0.0
        self.consecutive_failures = 0
        self.ejected_until_ms = 0.0
        self._last_failure_ms = 0.0
        self._latest_responded_sent_ms = 0.0  # latest send time of all answered requests
        self.check_in_flight = False
        self._classes: dict[str, ClassHealth] = {}  # bounded by the number of request classes

    def is_suspect(self, now: float) -> bool:
        """Whether the host is ejected, is being checked, or is on trial with a request in flight.

        After an ejection the host is on trial until its next success: it gets one request at a
        time.
        """
        return (
            self.ejected_until_ms > now
            or self.check_in_flight
            or self.consecutive_failures >= EJECTION_FAILURES
            and bool(self._host.in_flight)
        )

    def is_ejected_for(self, request_class: messages.RequestClass, now: float) -> bool:
        """Whether the host gets no request of this class now.

        When the ejection time is over it gets one request of the class at a time, until a response.
        """
        health = self._classes.get(request_class.name)
        return health is not None and (
            health.ejected_until_ms > now
            or health.consecutive_losses > 0
            and any(
                attempt.request.request_class is request_class for attempt in self._host.in_flight
            )
        )

    def silence_limit_ms(self, attempt: Attempt) -> float:
        """The time without a response, in ms, after which the host is taken to have failed.

        Attempts that end sooner, as their clients wait for less, do not count as failures of a host
        that is still working. The cost: where all clients wait for less, a dead host is found only
        by its refused connections.
        """
        limit_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * self._host.load.mean_response_ms())
        if attempt.copy_was_loaded:
            return limit_ms
        return limit_ms + LOAD_SILENCE_FACTOR * self._statistics.load_ms

    def record_class_outcome(self, attempt: Attempt, outcome: str, now: float) -> None:
        """Update the host's health for the class of the request."""
        health = self._class_health(attempt)
        if outcome == AttemptOutcome.NO_RESPONSE and self._is_overtaken(attempt, health, now):
            self._record_class_loss(attempt, health, now)
        elif outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR):
            self._latest_responded_sent_ms = max(self._latest_responded_sent_ms, attempt.sent_at_ms)
            health.record_response(now)

    def record_success(self) -> None:
        """Record a success, which ends an ejection."""
        self.consecutive_failures = 0
        self.ejected_until_ms = 0.0

    def record_failure(self, weight: int, now: float, sent_at_ms: float) -> None:
        """Count a failure; consecutive failures eject the host for a time that doubles.

        Attempts that were in flight together count as one failure, so that one brief fault does not
        eject the host for long. The cost: a host that fails only some of its concurrent requests is
        ejected later.
        """
        if sent_at_ms < self._last_failure_ms:
            return
        self.consecutive_failures += weight
        self._last_failure_ms = now
        if self.consecutive_failures >= EJECTION_FAILURES:
            doublings = min(self.consecutive_failures, EJECTION_MAX_DOUBLINGS)
            jitter = 1 + self._context.next_random()
            self.ejected_until_ms = now + EJECTION_BASE_MS * 2**doublings * jitter

    def check_silence(self, now: float) -> None:
        """Detect by its silence that the host stalls or is unreachable, and request a check.

        Where health checks are not allowed, its attempts are cancelled instead. Attempts that are
        presumed lost are always cancelled. Each request class is examined separately for them, as a
        response to another class shows only that the host is running.
        """
        in_flight = self._host.in_flight
        for attempt in in_flight:
            health = self._class_health(attempt)
            if not attempt.request.streaming and self._is_overtaken(attempt, health, now):
                self._record_class_loss(attempt, health, now)
                self._context.queue(self._cancel_attempt, attempt)
        silent = any(
            now - max(sent_at_ms, self.last_response_ms) > self.silence_limit_ms(attempt)
            for attempt, sent_at_ms in in_flight.items()
            if not attempt.request.streaming
        )
        ejection_over = (
            self.consecutive_failures >= EJECTION_FAILURES and self.ejected_until_ms <= now
        )
        if self.check_in_flight or not (silent or ejection_over):
            return
        if self._context.settings.may_probe:
            self.check_in_flight = True
            self._host.request_health_check(now)
        elif silent:
            self.record_check(AttemptOutcome.NO_RESPONSE, now)

    def record_check(self, outcome: str, now: float) -> None:
        """Record the end of a health check.

        A success ends the ejection. A failure ejects the host and cancels its attempts in flight.
        """
        self.check_in_flight = False
        if outcome == AttemptOutcome.SUCCEEDED:
            self.last_response_ms = now
            self.record_success()
        elif outcome != AttemptOutcome.FULL:
            self.record_failure(2, now, now)
            for attempt in self._host.in_flight:
                self._context.queue(self._cancel_attempt, attempt)

    def _class_health(self, attempt: Attempt) -> ClassHealth:
        name = attempt.request.request_class.name
        health = self._classes.get(name)
        if health is None:
            health = self._classes[name] = ClassHealth()
        return health

    def _is_overtaken(self, attempt: Attempt, health: ClassHealth, now: float) -> bool:
        """Whether the attempt is presumed lost because the host answered requests sent after it.

        The attempt must also have waited longer than a limit, without a response of the host to its
        request class meanwhile. The limit is twice as long before the first loss.
        """
        limit_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * self._host.load.mean_response_ms())
        if not health.consecutive_losses:
            limit_ms *= 2
        if not attempt.copy_was_loaded:
            limit_ms += CLASS_LOAD_SILENCE_FACTOR * self._statistics.load_ms
        waited_ms = now - max(attempt.sent_at_ms, health.last_response_ms)
        return self._latest_responded_sent_ms > attempt.sent_at_ms and waited_ms > limit_ms

    def _record_class_loss(self, attempt: Attempt, health: ClassHealth, now: float) -> None:
        """Presume the attempt lost and eject the host for its class.

        The ejection time grows with consecutive losses and with the class's share of lost requests.
        Attempts that were in flight together count as one loss.
        """
        attempt.presumed_lost = True
        if attempt.sent_at_ms <= health.last_loss_ms:
            return
        health.last_loss_ms = now
        health.consecutive_losses += 1
        losses = self._statistics.class_losses[attempt.request.request_class.name]
        losses.lost.add(now, 1.0)
        lost = CLASS_LOSS_FACTOR * losses.lost.read(now)
        share = 1 + lost / (CLASS_LOSS_PRIOR + losses.sent.read(now))
        factor = min(CLASS_EJECTION_MAX_FACTOR, share * 4 ** (health.consecutive_losses - 1))
        jitter = 0.75 + self._context.next_random() / 2
        health.ejected_until_ms = now + CLASS_EJECTION_BASE_MS * factor * jitter
