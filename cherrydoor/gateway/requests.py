"""Pending requests and clients: acceptance, deadlines, responses and cancellation. No I/O."""

from typing import TYPE_CHECKING, Any, Final

from msgspec import structs

from cherrydoor.gateway.tables import (
    ATTEMPTS_AFTER_CLOSE,
    CLOSE_GRACE_MS,
    ClientConnection,
    PendingRequest,
)
from cherrydoor.gateway.timers import MAX_LAG_SHARE
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol.basics import Draining, FinalOutcome
from cherrydoor.routing import messages as routing
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

SUCCEEDED: Final = "handled"
REJECTED: Final = "deferred"
FAILED: Final = "dead-lettered"
# A late timer delays a request twice: when the request is read and when its deadline fires.
LATE_TIMERS_PER_REQUEST = 2


class RequestTable:
    """Owns the tables of pending requests and of clients.

    Invariant: a request is in ``requests`` from ``accept`` until it is finished and its
    ``references`` are 0. It gets at most one response. It is in its client's ``open`` requests
    until it is finished.

    Attributes:
        requests: Pending requests by their numbers.
        clients: Connected clients, in the order in which they connected.
        cancelled: Cancelled requests of which the router has not been notified yet.
        body_bytes: Bytes of the bodies of all requests that are not finished.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher
        self.requests: dict[int, PendingRequest] = {}
        self.clients: dict[ClientConnection, bool] = {}
        self.cancelled: list[PendingRequest] = []
        self.body_bytes = 0

    # ---- clients
    def client_connected(self, client: ClientConnection, hello: Any) -> None:
        """Adds a client and notifies it if the gateway is draining."""
        dispatcher = self.dispatcher
        client.name = hello.name
        client.excess_delay_ms(hello.clock_ms, dispatcher.now)
        self.clients[client] = True
        if dispatcher.draining is not None:
            client.writer.write(Draining(dispatcher.draining))

    def client_disconnected(self, client: ClientConnection) -> None:
        """Removes a client and cancels all its pending requests."""
        self.clients.pop(client, None)
        for pending in list(client.pending_requests.values()):
            self.cancel(pending)

    # ---- acceptance
    def request_received(self, client: ClientConnection, request: protocol.Request) -> None:
        """Accepts a request, rejects it, or ignores a duplicate or one past its deadline.

        The time reserved for sending the response grows with the lag of the timers. A request that
        is read late is also answered late, and without the reserve its response could miss the
        client's deadline. After a single stall the reserve is too large, and the request has less
        time to run than it could have.
        """
        dispatcher = self.dispatcher
        delay_ms = client.excess_delay_ms(request.sent_at_ms, dispatcher.now)
        client_deadline_ms = dispatcher.now + request.timeout_ms - delay_ms
        lag_ms = min(
            LATE_TIMERS_PER_REQUEST * dispatcher.timers.lag_ms, MAX_LAG_SHARE * request.timeout_ms
        )
        deadline_ms = client_deadline_ms - dispatcher.limits.spare - lag_ms
        if request.id in client.pending_requests:
            dispatcher.counters["duplicate request ids"] += 1
            return
        if client_deadline_ms <= dispatcher.now:
            dispatcher.counters["requests past their deadline"] += 1
            return
        if deadline_ms <= dispatcher.now:
            reason = "less time is left than an answer's way back takes"
            self.reject(client, request, reason, dispatcher.limits.stay)
            return
        invalid = self.invalid_reason(request)
        if invalid is not None:
            self.reject(client, request, invalid, 0.0, FAILED)
            return
        overload = self.overload_reason(request)
        if overload is not None:
            self.reject(client, request, overload, dispatcher.limits.stay)
            return
        pending = self.accept(client, request, deadline_ms)
        if dispatcher.failover is None or not dispatcher.failover.find_duplicate(pending):
            self.route(pending)

    def invalid_reason(self, request: protocol.Request) -> str | None:
        """Returns why every gateway would reject the request; None if it is valid."""
        dispatcher = self.dispatcher
        if request.request_class not in dispatcher.router.settings.request_classes:
            return "no such event type"
        # Names with "@" denote versions, which only the gateway chooses.
        if dispatcher.releases is not None and "@" in request.function:
            return "no function has a name with @"
        return None

    def overload_reason(self, request: protocol.Request) -> str | None:
        """Returns why this gateway cannot accept the request now; None if it can."""
        dispatcher = self.dispatcher
        if dispatcher.draining is not None:
            return dispatcher.draining
        if len(self.requests) >= dispatcher.limits.most_open:
            return "as many events are open as may be"
        if (
            request.body
            and self.body_bytes
            and self.body_bytes + len(request.body) > dispatcher.limits.most_body_bytes
        ):
            return "as many bytes are open as may be"
        if dispatcher.zone_drain is not None:
            return dispatcher.zone_drain.rejection_reason(request) or None
        return None

    def reject(
        self,
        client: ClientConnection,
        request: protocol.Request,
        reason: str,
        retry_after_ms: float,
        outcome: FinalOutcome = REJECTED,
    ) -> None:
        """Answers a request that is not accepted, and counts the reason."""
        self.dispatcher.counters[f"not accepted: {reason}"] += 1
        client.writer.write(protocol.Response(request.id, outcome, retry_after_ms, reason))

    def accept(
        self, client: ClientConnection, request: protocol.Request, deadline_ms: float
    ) -> PendingRequest:
        """Adds a pending request, whose client must get a response by the deadline."""
        dispatcher = self.dispatcher
        number = dispatcher.next_number()
        client.last_connected_ms = dispatcher.now
        pending = PendingRequest(number, request, client, deadline_ms, dispatcher.now)
        self.requests[number] = pending
        self.body_bytes += len(request.body)
        client.pending_requests[request.id] = pending
        dispatcher.counters["taken"] += 1
        pending.deadline_timer = dispatcher.timers.set(deadline_ms, self.deadline_passed, pending)
        return pending

    def route(self, pending: PendingRequest) -> None:
        """Passes a pending request to the router, without attempts that another gateway made."""
        dispatcher = self.dispatcher
        request = pending.request
        pending.adopted = False
        pending.attempts = []
        if dispatcher.releases is not None:
            pending.function = dispatcher.releases.version_for(
                request.function,
                request.affinity_key or request.idempotency_key or pending.client.name,
            )
        drained_zone = ""
        if dispatcher.zone_drain is not None:
            drained_zone = dispatcher.zone_drain.excluded_zone(request, pending.function)
        dispatcher.router_messages.append(
            routing.RequestArrived(
                pending.number,
                request.request_class,
                request.tenant,
                pending.function,
                pending.deadline_ms,
                request.copy_concurrency,
                request.load_ms,
                drained_zone,
            )
        )
        if dispatcher.failover is not None:
            dispatcher.failover.request_accepted(pending)

    # ---- responses and cancellation
    def request_withdrawn(self, client: ClientConnection, request_id: int) -> None:
        """Cancels a request that its client no longer waits for."""
        pending = client.pending_requests.get(request_id)
        if pending is None:
            self.dispatcher.counters["cancellations of unknown requests"] += 1
        else:
            self.cancel(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Finishes a request that its client has withdrawn or whose client has disconnected.

        The router decides whether to cancel its attempts in flight. Only those of a stream are
        cancelled here, because a stream has no deadline at which they would be cancelled.
        """
        dispatcher = self.dispatcher
        dispatcher.counters["clients left"] += 1
        last_connected_ms = pending.client.last_connected_ms
        for call in pending.attempts:
            if call.connection and call.started_at_ms - last_connected_ms > CLOSE_GRACE_MS:
                dispatcher.counters[ATTEMPTS_AFTER_CLOSE] += 1
        if pending.streaming:
            for call in pending.attempts:
                dispatcher.calls.abandon(call, AttemptOutcome.CANCELLED)
        # Actions that the router decides before it is notified must still find the request.
        pending.references += 1
        self.cancelled.append(pending)
        self.finish(pending)
        dispatcher.router_messages.append(routing.RequestCancelled(pending.number))

    def release_cancelled(self) -> None:
        """Drops the reference held on each cancelled request once the router has been notified."""
        while self.cancelled:
            pending = self.cancelled.pop()
            pending.references -= 1
            self.remove_if_unreferenced(pending)

    def respond(self, pending: PendingRequest, response: protocol.Response) -> None:
        """Sends the response to a request and finishes it."""
        dispatcher = self.dispatcher
        dispatcher.counters[response.outcome] += 1
        if dispatcher.zone_drain is not None:
            dispatcher.zone_drain.request_finished(pending, response.outcome, dispatcher.now)
        pending.client.writer.write(response)
        self.finish(pending)

    def respond_to_all(self, reason: str) -> None:
        """Answers all pending requests immediately when the gateway ends.

        A request without attempts is rejected, as it is safe to retry; one with attempts fails.
        """
        for pending in list(self.requests.values()):
            if not pending.finished:
                outcome: FinalOutcome = FAILED if pending.attempts else REJECTED
                self.respond(pending, protocol.Response(pending.request.id, outcome, 0.0, reason))

    def finish(self, pending: PendingRequest) -> None:
        """Marks a request as finished; no other method does.

        No attempt is sent for it from now on, so its body is dropped, though it may wait for the
        end of its attempts in flight.
        """
        pending.finished = True
        if pending.request.body:
            self.body_bytes -= len(pending.request.body)
            pending.request = structs.replace(pending.request, body=b"")
        pending.client.pending_requests.pop(pending.request.id, None)
        if self.dispatcher.failover is not None:
            self.dispatcher.failover.request_finished(pending)
        self.remove_if_unreferenced(pending)

    def remove_if_unreferenced(self, pending: PendingRequest) -> None:
        """Removes a request that is finished and has no references left.

        Nothing refers to it then: neither its deadline nor its attempts, which refer back to it.
        Its client's connection and its body are freed with it, without the garbage collector.
        """
        if pending.finished and not pending.references:
            self.requests.pop(pending.number, None)
            pending.attempts = []
            if pending.deadline_timer is not None:
                self.dispatcher.timers.cancel(pending.deadline_timer)
                pending.deadline_timer = None

    # ---- deadlines
    def deadline_passed(self, pending: PendingRequest) -> None:
        """Cancels the attempts in flight, even of a finished request, and ensures a response.

        The router is notified first and should answer the request. If it does not, the request
        fails here, and that is counted: it should only happen to an adopted attempt, which the
        router does not know of.
        """
        if pending.streaming and not pending.finished:
            return
        dispatcher = self.dispatcher
        for call in pending.attempts:
            if call.outcome is None:
                dispatcher.counters["launches out when the client's time was up"] += 1
                dispatcher.calls.abandon(call, AttemptOutcome.NO_RESPONSE)
        dispatcher.notify_router()
        if not pending.finished:
            if pending.adopted:
                dispatcher.counters["deadline passed during an adopted attempt"] += 1
            else:
                dispatcher.counters["answered for the router"] += 1
            response = protocol.Response(pending.request.id, FAILED, 0.0, "the time is up")
            self.respond(pending, response)
            dispatcher.router_messages.append(routing.RequestCancelled(pending.number))
