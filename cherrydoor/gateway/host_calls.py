"""Calls to hosts, from sending to their outcome. No I/O, no clock."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cherrydoor.gateway.tables import (
    CallKind,
    ConnectionState,
    HostCall,
    HostConnection,
    HostRecord,
)
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases import messages as releases
from cherrydoor.routing import messages as routing
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

# Requests that each connection remembers as answered with "function missing". Older ones can be
# forgotten, as no further reply to them is expected.
MAX_MISSING_REQUESTS = 32
# Messages that give a host new work; held back if the host is draining or the request has ended.
NEW_WORK_TYPES = (protocol.Attempt, protocol.LoadOrder, protocol.HealthCheck)
# Prefixes of the outcome counters of each kind of call. Queries are not counted, as their outcome
# matters only to the caller.
OUTCOME_COUNTERS: dict[CallKind, str] = {
    CallKind.ATTEMPT: "attempts ended",
    CallKind.HEALTH_CHECK: "health checks ended",
    CallKind.LOAD_ORDER: "load orders ended",
}
# The reply that ends a call of each kind.
RESULT_TYPES: dict[type, CallKind] = {
    protocol.AttemptResult: CallKind.ATTEMPT,
    protocol.HealthCheckResult: CallKind.HEALTH_CHECK,
    protocol.LoadOrderResult: CallKind.LOAD_ORDER,
}


class HostCalls:
    """Owns the calls to hosts (``link.calls_in_flight`` of each connection).

    Invariant: each call ends exactly once, in ``end``. Until then it is in its connection's
    ``calls_in_flight``, and a reply on any other connection is ignored.

    Attributes:
        outcome_counts: How often calls of each kind ended with each outcome, for the log.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher
        self.outcome_counts: Counter[str] = Counter()

    # ---- calls out
    def check_health(self, action: routing.CheckHealth) -> None:
        """Sends a health check, as the router decided."""
        wait_ms = self.dispatcher.limits.probe
        self.start_call(action.host, CallKind.HEALTH_CHECK, "", wait_ms, protocol.HealthCheck)

    def check_lease(self, action: routing.CheckLease) -> None:
        """Sends a health check with the timeout that the router sets, to renew a host's lease."""
        self.start_call(
            action.host, CallKind.HEALTH_CHECK, "", action.timeout_ms, protocol.HealthCheck
        )

    def start_call(
        self,
        host_id: str,
        kind: CallKind,
        function: str,
        wait_ms: float,
        make_message: Callable[..., Any],
        *values: Any,
    ) -> None:
        """Sends a health check or a load order; the router gets exactly one message of its outcome.

        Args:
            host_id: The host; if it was never listed, the call ends as a failed connection.
            kind: ``HEALTH_CHECK`` or ``LOAD_ORDER``.
            function: The function of a load order; empty for a health check.
            wait_ms: After this time the call ends without a response.
            make_message: Makes the message from the call's id and ``values``.
            values: Further fields of the message.
        """
        dispatcher = self.dispatcher
        call = HostCall(kind, dispatcher.next_number(), dispatcher.now, function=function)
        host = dispatcher.hosts.get(host_id)
        if host is None:
            dispatcher.counters["calls to hosts never listed"] += 1
            self.notify_router_of_end(call, host_id, AttemptOutcome.CONNECT_FAILED, 0, 0.0)
        elif self.send(host, call, make_message(call.id, *values)):
            self.set_timeout(call, dispatcher.now + wait_ms)

    def set_timeout(self, call: HostCall, at_ms: float) -> None:
        """Ends the call without a response at this time, unless it has ended before."""
        call.timeout_timer = self.dispatcher.timers.set(
            at_ms, self.abandon, call, AttemptOutcome.NO_RESPONSE
        )

    def end_if_held_back(self, host: HostRecord, call: HostCall, message: Any) -> bool:
        """Ends a call as not sent if it may not be sent to the host now; returns whether it did."""
        reason = self.held_back_reason(host, call, message)
        if not reason:
            return False
        self.dispatcher.counters[f"held back: {reason}"] += 1
        self.end(call, AttemptOutcome.NOT_SENT, host_id=host.id)
        return True

    def held_back_reason(self, host: HostRecord, call: HostCall, message: Any) -> str:
        """Returns why a message may not be sent to the host now; empty if it may.

        Each attempt, health check and load order is checked when it is sent and, if it waited for
        a connection, again when that opens. The check keeps new work from a host that is draining,
        or that may be draining while the endpoint list is outdated. It also stops attempts of a
        request that is finished or whose client has disconnected, and those of a keyed request that
        were decided for a process which may have been replaced. It costs one system call for each
        attempt.
        """
        if type(message) not in NEW_WORK_TYPES:
            return ""
        if host.row.state != "ready":
            return "the host drains"
        dispatcher = self.dispatcher
        # An outdated endpoint list may not show a recent drain, so the host lease decides.
        needs_lease = type(message) is not protocol.HealthCheck
        if needs_lease and not dispatcher.router.may_get_new_work(host.id, dispatcher.now):
            return "the host has no lease"
        pending = call.pending
        if pending is None:
            return ""
        if not pending.finished and not pending.client.check_connected(dispatcher.now):
            dispatcher.counters["closes found at a launch"] += 1
            dispatcher.request_table.cancel(pending)
        if pending.finished:
            return "the event is over"
        if pending.request.idempotency_key and call.gaps_before != host.gaps:
            return "the host may have been replaced"
        return "" if dispatcher.now < pending.deadline_ms else "the time is up"

    def send(self, host: HostRecord, call: HostCall, message: Any) -> bool:
        """Sends a call on a connection to the host; returns False if it was held back."""
        call.gaps_before = host.gaps
        if self.end_if_held_back(host, call, message):
            return False
        host.calls_sent += 1
        link = self.dispatcher.connections.choose(host, call)
        call.connection = link
        link.calls_in_flight[call.id] = call
        link.last_used_ms = self.dispatcher.now
        link.write(message)
        return True

    def message_not_sent(self, link: HostConnection, number: int) -> None:
        """Ends a call whose message the I/O layer could not write."""
        call = link.calls_in_flight.get(number)
        if call is not None:
            self.end(call, AttemptOutcome.NOT_SENT)

    # ---- outcomes
    def reply_received(self, link: HostConnection, message: Any) -> None:
        """Handles a host's reply; it is ignored unless its call is in flight on this connection."""
        link.last_used_ms = link.last_reply_ms = self.dispatcher.now
        link.unresponsive = False
        call = link.calls_in_flight.get(message.id)
        kind = call.kind if call is not None else None
        message_type = type(message)
        if call is not None and kind is CallKind.QUERY:
            self.end(call, AttemptOutcome.SUCCEEDED, message)
        elif call is not None and RESULT_TYPES.get(message_type) is kind:
            self.end(call, message.outcome, message)
        elif call is not None and (
            kind is CallKind.ATTEMPT and message_type is protocol.AttemptStreaming
        ):
            self.dispatcher.attempts.streaming_started(call)
        elif message_type is not protocol.UnloadResult:
            self.dispatcher.counters["replies without a call in flight"] += 1

    def abandon(self, call: HostCall, outcome: AttemptOutcome) -> None:
        """Ends a call without waiting for its reply; an attempt is also cancelled at the host.

        If the host has been silent for too long, the connection is marked as unresponsive and the
        host's other silent connections are closed.

        Args:
            call: Ignored if it has ended.
            outcome: The outcome. A call that still waits for its connection to open ends as not
                sent if it is cancelled, otherwise as a failed connection.
        """
        if call.outcome is not None:
            return
        link = call.connection
        assert link is not None, "a call without a connection has already ended"
        if link.state is ConnectionState.DIALING:
            link.unsent = [message for message in link.unsent if message.id != call.id]
            if outcome is AttemptOutcome.CANCELLED:
                outcome = AttemptOutcome.NOT_SENT
            else:
                outcome = AttemptOutcome.CONNECT_FAILED
        elif call.kind is CallKind.ATTEMPT:
            link.write(protocol.CancelAttempt(call.id))
        self.end(call, outcome)
        dispatcher = self.dispatcher
        silent_since_ms = max(call.started_at_ms, link.last_reply_ms)
        if (
            link.state is ConnectionState.OPEN
            and dispatcher.now - silent_since_ms >= dispatcher.limits.silence
        ):
            link.unresponsive = True
            self.dispatcher.connections.close_silent(link.host, call.started_at_ms)

    def end(
        self, call: HostCall, outcome: AttemptOutcome, message: Any = None, host_id: str = ""
    ) -> None:
        """Ends a call and reports its outcome; no other method ends a call.

        Args:
            call: Ignored if it has ended.
            outcome: The outcome.
            message: The host's reply; None without one.
            host_id: The host, for a call that never had a connection.
        """
        if call.outcome is not None:
            return
        call.outcome = outcome
        if call.timeout_timer is not None:
            self.dispatcher.timers.cancel(call.timeout_timer)
            call.timeout_timer = None
        if call.kind in OUTCOME_COUNTERS:
            self.outcome_counts[f"{OUTCOME_COUNTERS[call.kind]}: {outcome}"] += 1
        took_ms = self.dispatcher.now - call.started_at_ms
        link = call.connection
        if link is not None:
            host_id = link.host.id
            link.calls_in_flight.pop(call.id, None)
            if outcome == AttemptOutcome.FUNCTION_MISSING and call.pending is not None:
                remember_missing(link, call.pending.number)
        if call.kind is CallKind.ATTEMPT:
            self.dispatcher.attempts.attempt_ended(call, outcome, took_ms, host_id, message)
        elif call.on_reply is not None:
            call.on_reply(host_id, outcome, message)
        else:
            copies = message.copies if message and call.kind is CallKind.LOAD_ORDER else 0
            self.notify_router_of_end(call, host_id, outcome, copies, took_ms)
            if call.kind is CallKind.LOAD_ORDER:
                self.load_order_ended(call, host_id, outcome, took_ms)

    def notify_router_of_end(
        self, call: HostCall, host_id: str, outcome: AttemptOutcome, copies: int, took_ms: float
    ) -> None:
        """Notifies the router of the outcome of a health check or a load order."""
        ended: Any
        if call.kind is CallKind.HEALTH_CHECK:
            ended = routing.HealthCheckEnded(host_id, outcome, took_ms)
        else:
            ended = routing.LoadOrderEnded(call.function, host_id, outcome, copies, took_ms)
        self.dispatcher.router_messages.append(ended)

    def load_order_ended(
        self, call: HostCall, host_id: str, outcome: AttemptOutcome, took_ms: float
    ) -> None:
        """Notifies releases and the zone drain of the outcome of a load order."""
        dispatcher = self.dispatcher
        dispatcher.call_ended(releases.LoadEnded(call.function, outcome, took_ms))
        if dispatcher.zone_drain is not None:
            dispatcher.zone_drain.load_order_ended(
                call.function, host_id, outcome == AttemptOutcome.SUCCEEDED
            )


def remember_missing(link: HostConnection, number: int) -> None:
    """Records that the host answered a request with "function missing", without running it."""
    numbers = [*link.missing_requests, number]
    link.missing_requests = dict.fromkeys(numbers[-MAX_MISSING_REQUESTS:])
