"""Carries out the router's decisions on requests and reports outcomes of attempts.

No I/O, no clock.
"""

from typing import TYPE_CHECKING

from cherrydoor.gateway.requests import FAILED, REJECTED, SUCCEEDED
from cherrydoor.gateway.tables import CallKind, HostCall, PendingRequest
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol.basics import FinalOutcome
from cherrydoor.releases import messages as releases
from cherrydoor.routing import messages as routing
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

# Values of ``copy`` in an attempt's result: whether the host had to load the function.
LOAD_STARTED = 2
LOAD_AWAITED = 3
LOAD_FAILED = 4


class Attempts:
    """Carries out the router's decisions on requests and notifies it of each attempt's outcome.

    Owns ``PendingRequest.attempts``: ``add`` extends it, ``RequestTable.route`` empties it.
    An action on a finished request or an ended attempt is ignored.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    # ---- decisions
    def start(self, action: routing.StartAttempt) -> None:
        """Sends an attempt to a host, with a timeout no later than the request's deadline."""
        dispatcher = self.dispatcher
        pending = dispatcher.requests.get(action.request_id)
        host = dispatcher.hosts.get(action.host)
        if pending is None:
            dispatcher.counters["attempts for finished requests"] += 1
            return
        remaining_ms = pending.deadline_ms - dispatcher.now
        timeout_ms = min(remaining_ms, action.timeout_ms or remaining_ms)
        call = self.add(pending)
        if host is None or pending.streaming or timeout_ms <= 0:
            dispatcher.calls.end(call, AttemptOutcome.NOT_SENT)
            return
        message = self.make_message(pending, call, timeout_ms)
        if not dispatcher.calls.send(host, call, message):
            return
        if dispatcher.failover is not None:
            dispatcher.failover.attempt_started(pending, host.id)
        if dispatcher.zone_drain is not None:
            dispatcher.zone_drain.attempt_started(pending.function, host.row.zone)
        dispatcher.counters["attempts"] += 1
        timeout_at_ms = dispatcher.now + timeout_ms
        if action.timeout_ms and timeout_at_ms < pending.deadline_ms:
            dispatcher.calls.set_timeout(call, timeout_at_ms)

    def add(self, pending: PendingRequest) -> HostCall:
        """Adds an attempt to a request; the request is kept until the attempt has ended."""
        dispatcher = self.dispatcher
        call = HostCall(
            CallKind.ATTEMPT,
            dispatcher.next_number(),
            dispatcher.now,
            pending,
            len(pending.attempts),
        )
        pending.attempts.append(call)
        pending.references += 1
        return call

    def make_message(
        self, pending: PendingRequest, call: HostCall, timeout_ms: float
    ) -> protocol.Attempt:
        """Returns the message of an attempt and records the version that it calls.

        After an error, a release may make the next attempt call the previous version.
        """
        request = pending.request
        versions = self.dispatcher.releases
        call.called_function = pending.function
        slow_after_ms = 0.0
        if versions is not None:
            if any(other.outcome == AttemptOutcome.ERROR for other in pending.attempts):
                call.called_function = versions.version_for_retry(pending.function)
            slow_after_ms = versions.slow_above_ms(request.function)
        return protocol.Attempt(
            call.id,
            request.id,
            pending.client.name,
            request.request_class,
            call.called_function,
            timeout_ms,
            call.index,
            request.idempotency_key,
            slow_after_ms,
            request.body,
            *(pending.origin or ()),
        )

    def cancel(self, action: routing.CancelAttempt) -> None:
        """Cancels an attempt in flight, unless its response has begun to stream."""
        dispatcher = self.dispatcher
        pending = dispatcher.requests.get(action.request_id)
        if pending is None or not 0 <= action.attempt < len(pending.attempts) or pending.streaming:
            dispatcher.counters["cancellations of finished attempts"] += 1
            return
        dispatcher.counters["attempts cancelled"] += 1
        dispatcher.calls.abandon(pending.attempts[action.attempt], AttemptOutcome.CANCELLED)

    def reject_request(self, action: routing.RejectRequest) -> None:
        """Rejects a request with a retry-after."""
        self.respond_without_result(action.request_id, REJECTED, action.retry_after_ms)

    def fail_request(self, action: routing.FailRequest) -> None:
        """Fails a request."""
        self.respond_without_result(action.request_id, FAILED, 0.0)

    def respond_without_result(
        self, number: int, outcome: FinalOutcome, retry_after_ms: float
    ) -> None:
        """Answers a request; the reason lists the outcomes of its attempts."""
        dispatcher = self.dispatcher
        pending = dispatcher.requests.get(number)
        if pending is None or pending.finished:
            dispatcher.counters["responses to finished requests"] += 1
            return
        outcomes = ", ".join(call.outcome for call in pending.attempts if call.outcome)
        reason = outcomes or "no host would be in time"
        dispatcher.request_table.respond(
            pending, protocol.Response(pending.request.id, outcome, retry_after_ms, reason)
        )

    # ---- outcomes
    def streaming_started(self, call: HostCall) -> None:
        """Notifies client and router of the request's first attempt that starts to stream."""
        pending = call.pending
        link = call.connection
        assert pending is not None and link is not None, "an attempt in flight has both"
        if pending.finished or pending.streaming:
            return
        dispatcher = self.dispatcher
        request = pending.request
        if dispatcher.router.settings.request_classes[request.request_class].streaming:
            pending.streaming = True
            pending.client.writer.write(protocol.StreamStarted(request.id))
            dispatcher.router_messages.append(
                routing.StreamStarted(pending.number, call.index, link.host.id)
            )

    def attempt_ended(
        self,
        call: HostCall,
        outcome: AttemptOutcome,
        took_ms: float,
        host_id: str,
        message: protocol.AttemptResult | None,
    ) -> None:
        """Answers the client if the outcome calls for it, and notifies releases and the router."""
        dispatcher = self.dispatcher
        pending = call.pending
        assert pending is not None, "an attempt belongs to a request"
        adopted = pending.adopted
        pending.references -= 1
        if not pending.finished:
            self.respond_to_outcome(pending, outcome, message)
        if dispatcher.releases is not None and call.connection is not None:
            self.notify_releases(call, outcome, took_ms, host_id, message)
        if not adopted:
            self.notify_router(call, pending, outcome, took_ms, host_id, message)
        dispatcher.request_table.remove_if_unreferenced(pending)

    def respond_to_outcome(
        self,
        pending: PendingRequest,
        outcome: AttemptOutcome,
        message: protocol.AttemptResult | None,
    ) -> None:
        """Answers the client after a success or a broken stream, or retries an adopted attempt."""
        dispatcher = self.dispatcher
        request_id = pending.request.id
        if outcome == AttemptOutcome.SUCCEEDED and message is not None:
            dispatcher.request_table.respond(
                pending, protocol.Response(request_id, SUCCEEDED, 0.0, "", message.body)
            )
        elif pending.adopted:
            dispatcher.takeover.adopted_attempt_failed(pending, outcome)
        elif pending.streaming:
            dispatcher.request_table.respond(
                pending, protocol.Response(request_id, FAILED, 0.0, "the stream broke")
            )

    def notify_router(
        self,
        call: HostCall,
        pending: PendingRequest,
        outcome: AttemptOutcome,
        took_ms: float,
        host_id: str,
        message: protocol.AttemptResult | None,
    ) -> None:
        """Notifies the router of an attempt's outcome and of what the host reports about itself.

        Values that hosts are configured not to report are None, except that a failed load is
        always passed on. The copy and concurrency of a version other than the one that the router
        knows are not passed on.
        """
        copy = None
        concurrency = None
        in_flight = None
        queued = None
        unevictable_memory = None
        if message is not None:
            reports_copy, reports_concurrency = self.dispatcher.limits.tells
            if call.called_function == pending.function:
                if reports_copy or message.copy == LOAD_FAILED:
                    copy = message.copy
                if reports_concurrency:
                    concurrency = message.concurrency
            in_flight = message.in_flight
            queued = message.queued
            unevictable_memory = message.unevictable_memory
        self.dispatcher.router_messages.append(
            routing.AttemptEnded(
                pending.number,
                call.index,
                outcome,
                pending.finished,
                host_id,
                took_ms,
                copy,
                concurrency,
                in_flight,
                queued,
                unevictable_memory,
            )
        )

    def notify_releases(
        self,
        call: HostCall,
        outcome: AttemptOutcome,
        took_ms: float,
        host_id: str,
        message: protocol.AttemptResult | None,
    ) -> None:
        """Notifies releases of the outcome of an attempt that called a version."""
        assert call.pending is not None, "an attempt belongs to a request"
        copy = message.copy if message is not None else 0
        self.dispatcher.call_ended(
            releases.AttemptEnded(
                call.called_function,
                host_id,
                outcome,
                took_ms,
                copy in (LOAD_STARTED, LOAD_AWAITED),
                copy == LOAD_FAILED,
                message.version_counts if message is not None else None,
                call.pending.request.tenant,
            )
        )
