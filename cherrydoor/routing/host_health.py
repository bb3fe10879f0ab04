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

EJECTION_FAILURES = 2  # consecutive failures that eject a host
EJECTION_BASE_MS = 250  # doubled for each failure ...
EJECTION_MAX_DOUBLINGS = 4  # ... so often at most
CLASS_EJECTION_BASE_MS = 4000  # time for which a host gets no requests of a class at first
CLASS_EJECTION_MAX_FACTOR = 10
CLASS_LOSS_FACTOR = 20  # how much the share of lost requests of the class lengthens it ...
CLASS_LOSS_PRIOR = 20  # ... with so many requests that were not lost assumed
MIN_SILENCE_MS = 250.0  # silence for less than this shows nothing ...
SILENCE_FACTOR = 4  # ... nor for less than so many times the mean response time
LOAD_SILENCE_FACTOR = 3  # a request that waits for a load may take so many mean loads longer
CLASS_LOAD_SILENCE_FACTOR = 1.5  # the same for one class


class ClassHealth:
    """What a host's responses to one request class have shown.

    Guards against hosts that leave requests of one class unanswered, also where responses are lost
    at random; harms when a slow request is overtaken by others at a healthy host.
    """

    __slots__ = ("consecutive_losses", "ejected_until_ms", "last_loss_ms", "last_response_ms")

    def __init__(self) -> None:
        self.last_response_ms = 0.0
        self.last_loss_ms = 0.0
        self.consecutive_losses = 0
        self.ejected_until_ms = 0.0

    def record_response(self, now: float) -> None:
        """A request of the class was responded to."""
        self.last_response_ms = now
        self.consecutive_losses //= 2
        self.ejected_until_ms = 0.0


class HostHealth:
    """Health of one incarnation of a host; owns its ejection and its health check.

    Attributes:
        last_response_ms: When it last responded to anything; 0 for never.
        consecutive_failures: Failures since the last success; a severe one counts twice.
        ejected_until_ms: No requests are sent until then.
        check_in_flight: A health check has been sent and has not ended.
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
        self._latest_responded_sent_ms = 0.0  # when the latest of the answered requests was sent
        self.check_in_flight = False
        self._classes: dict[str, ClassHealth] = {}  # no more than there are classes

    def is_suspect(self, now: float) -> bool:
        """Ejected, being checked, or on trial after an ejection with one request in flight."""
        return (
            self.ejected_until_ms > now
            or self.check_in_flight
            or self.consecutive_failures >= EJECTION_FAILURES
            and bool(self._host.in_flight)
        )

    def is_ejected_for(self, request_class: messages.RequestClass, now: float) -> bool:
        """No request of this class is sent; after the time is over, one at a time."""
        health = self._classes.get(request_class.name)
        return health is not None and (
            health.ejected_until_ms > now
            or health.consecutive_losses > 0
            and any(
                attempt.request.request_class is request_class for attempt in self._host.in_flight
            )
        )

    def silence_limit_ms(self, attempt: Attempt) -> float:
        """Silence beyond this is a sign of a bad host.

        Guards against clients that wait for less, whose attempts are cut while the host works;
        harms where all do: a dead host is then found by refused connections alone.
        """
        limit_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * self._host.mean_response_ms())
        if attempt.copy_was_loaded:
            return limit_ms
        return limit_ms + LOAD_SILENCE_FACTOR * self._statistics.load_ms

    def record_class_outcome(self, attempt: Attempt, outcome: str, now: float) -> None:
        """Learn how the host treats the class of the request."""
        health = self._class_health(attempt)
        if outcome == AttemptOutcome.NO_RESPONSE and self._is_overtaken(attempt, health, now):
            self._record_class_loss(attempt, health, now)
        elif outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR):
            self._latest_responded_sent_ms = max(self._latest_responded_sent_ms, attempt.sent_at_ms)
            health.record_response(now)

    def record_success(self) -> None:
        """A success ends an ejection."""
        self.consecutive_failures = 0
        self.ejected_until_ms = 0.0

    def record_failure(self, weight: int, now: float, sent_at_ms: float) -> None:
        """Consecutive failures eject the host for a time that doubles; one success ends it.

        Requests that were in flight together count once. Guards against a host that is ejected for
        long because of one moment; harms where single requests fail.
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
        """Find a host that stalls or is cut off by its silence, and have it checked.

        Where health checks are not allowed its requests are cancelled. A response to another class
        shows no more than that the host runs: each class is looked at by itself.
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
        """A health check has ended: success clears the host, failure ejects it."""
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
        """In flight for long, no response to its class since, and later requests were answered."""
        limit_ms = max(MIN_SILENCE_MS, SILENCE_FACTOR * self._host.mean_response_ms())
        if not health.consecutive_losses:
            limit_ms *= 2
        if not attempt.copy_was_loaded:
            limit_ms += CLASS_LOAD_SILENCE_FACTOR * self._statistics.load_ms
        waited_ms = now - max(attempt.sent_at_ms, health.last_response_ms)
        return self._latest_responded_sent_ms > attempt.sent_at_ms and waited_ms > limit_ms

    def _record_class_loss(self, attempt: Attempt, health: ClassHealth, now: float) -> None:
        """An attempt is presumed lost; losses in a row eject the host for its class."""
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
