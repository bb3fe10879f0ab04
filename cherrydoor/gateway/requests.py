"""Pending requests and clients: acceptance, deadlines, responses and cancellation. No I/O."""

from typing import TYPE_CHECKING, Any, Final

from cherrydoor.gateway.tables import (
    ATTEMPTS_AFTER_CLOSE,
    CLOSE_GRACE_MS,
    ClientConnection,
    PendingRequest,
)
from cherrydoor.gateway.timers import MAX_LAG_SHARE, Callback
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol.basics import Draining, FinalOutcome
from cherrydoor.routing import messages as routing
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

SUCCEEDED: Final = "handled"
REJECTED: Final = "deferred"
FAILED: Final = "dead-lettered"
# Timers that fire late cost a request twice: once as it is read, once as its deadline passes.
LAGS_PER_REQUEST = 2


class RequestTable:
    """Owner of the tables of pending requests and of clients.

    Invariant: a request is in ``requests`` from ``accept`` until it is finished and nothing refers
    to it any more (``references`` is 0); it gets one response at most. It is among its client's
    ``open`` requests until it is finished.

    Attributes:
        requests: Pending requests by their numbers.
        clients: Clients connected, in the order in which they connected.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher
        self.requests: dict[int, PendingRequest] = {}
        self.clients: dict[ClientConnection, bool] = {}
        self.cancelled: list[PendingRequest] = []  # the router has not been notified of them yet

    # ---- clients
    def client_connected(self, client: ClientConnection, hello: Any) -> None:
        """Adds a client and notifies it if the gateway is draining."""
        dispatcher = self.dispatcher
        client.name = hello.name
        client.late(hello.clock_ms, dispatcher.now)
        self.clients[client] = True
        if dispatcher.draining is not None:
            client.wire.write(Draining(dispatcher.draining))

    def client_disconnected(self, client: ClientConnection) -> None:
        """Cancels all that the client has open."""
        self.clients.pop(client, None)
        for pending in list(client.open.values()):
            self.cancel(pending)

    # ---- acceptance
    def request_received(self, client: ClientConnection, request: protocol.Request) -> None:
        """Accepts a request, rejects it, or ignores it: one that is open already or past its time.

        The time that is set aside for its response grows with the lag of the timers. Guards
        against a response after the client's deadline, as a request that is read late is also
        answered late; harms where the lag was a single stall: the request has less time for it.
        """
        dispatcher = self.dispatcher
        delay_ms = client.late(request.sent_at_ms, dispatcher.now)
        client_deadline_ms = dispatcher.now + request.timeout_ms - delay_ms
        lag_ms = min(
            LAGS_PER_REQUEST * dispatcher.timers.lag_ms, MAX_LAG_SHARE * request.timeout_ms
        )
        deadline_ms = client_deadline_ms - dispatcher.limits.spare - lag_ms
        if request.id in client.open:
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
        """Returns why no gateway would accept the request, None where one would."""
        dispatcher = self.dispatcher
        if request.request_class not in dispatcher.router.settings.request_classes:
            return "no such event type"
        # only the gateway names versions
        if dispatcher.releases is not None and "@" in request.function:
            return "no function has a name with @"
        return None

    def overload_reason(self, request: protocol.Request) -> str | None:
        """Returns why this gateway does not accept the request now, None where it does."""
        dispatcher = self.dispatcher
        if dispatcher.draining is not None:
            return dispatcher.draining
        if len(self.requests) >= dispatcher.limits.most_open:
            return "as many events are open as may be"
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
        """Answers a request that is not accepted."""
        self.dispatcher.counters[f"not accepted: {reason}"] += 1
        client.wire.write(protocol.Response(request.id, outcome, retry_after_ms, reason))

    def accept(
        self, client: ClientConnection, request: protocol.Request, deadline_ms: float
    ) -> PendingRequest:
        """Makes a request pending: from here on its client is owed a response by the deadline."""
        dispatcher = self.dispatcher
        number = dispatcher.next_number()
        client.last_connected_ms = dispatcher.now
        pending = PendingRequest(number, request, client, deadline_ms, dispatcher.now)
        self.requests[number] = pending
        client.open[request.id] = pending
        dispatcher.counters["taken"] += 1
        dispatcher.timers.set(deadline_ms, self.deadline_passed, pending)
        return pending

    def route(self, pending: PendingRequest) -> None:
        """Hands a pending request to the router, without the attempts of another gateway."""
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
            drained_zone = dispatcher.zone_drain.drained_zone(request, pending.function)
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

    # ---- ends
    def request_withdrawn(self, client: ClientConnection, request_id: int) -> None:
        """Cancels a request that its client no longer waits for."""
        pending = client.open.get(request_id)
        if pending is None:
            self.dispatcher.counters["cancellations of unknown requests"] += 1
        else:
            self.cancel(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Finishes a request whose client has disconnected or withdrawn it.

        The router decides about its attempts in flight. Only those of a stream are cancelled here:
        a stream has no deadline at which that would happen.
        """
        dispatcher = self.dispatcher
        dispatcher.counters["clients left"] += 1
        last_connected_ms = pending.client.last_connected_ms
        for call in pending.attempts:
            if call.link and call.started_at_ms - last_connected_ms > CLOSE_GRACE_MS:
                dispatcher.counters[ATTEMPTS_AFTER_CLOSE] += 1
        if pending.streaming:
            for call in pending.attempts:
                dispatcher.calls.abandon(call, AttemptOutcome.CANCELLED)
        # what the router decides before it is notified must find the request
        pending.references += 1
        self.cancelled.append(pending)
        self.finish(pending)
        dispatcher.router_messages.append(routing.RequestCancelled(pending.number))

    def forget_cancelled(self) -> None:
        """Forgets the cancelled requests, once the router has been notified of all of them."""
        while self.cancelled:
            pending = self.cancelled.pop()
            pending.references -= 1
            self.forget(pending)

    def respond(self, pending: PendingRequest, response: protocol.Response) -> None:
        """Sends the response to a request and finishes it."""
        dispatcher = self.dispatcher
        dispatcher.counters[response.outcome] += 1
        if dispatcher.zone_drain is not None:
            dispatcher.zone_drain.request_finished(pending, response.outcome, dispatcher.now)
        pending.client.wire.write(response)
        self.finish(pending)

    def respond_to_all(self, reason: str) -> None:
        """Answers all requests at once, as the gateway ends.

        Those without an attempt are rejected, as a repeat of them is harmless; the others fail.
        """
        for pending in list(self.requests.values()):
            if not pending.finished:
                outcome: FinalOutcome = FAILED if pending.attempts else REJECTED
                self.respond(pending, protocol.Response(pending.request.id, outcome, 0.0, reason))

    def finish(self, pending: PendingRequest) -> None:
        """Marks a request as finished; the only place that does."""
        pending.finished = True
        pending.client.open.pop(pending.request.id, None)
        if self.dispatcher.failover is not None:
            self.dispatcher.failover.request_finished(pending)
        self.forget(pending)

    def forget(self, pending: PendingRequest) -> None:
        """Drops a request that is finished and that nothing refers to any more."""
        if pending.finished and not pending.references:
            self.requests.pop(pending.number, None)

    # ---- deadlines
    def deadline_passed(self, pending: PendingRequest) -> None:
        """Cancels the attempts in flight, also those of a finished request, and answers it.

        The router is notified first and owes the response. One is sent for it if it owes it still;
        that is counted, as it should never happen but for an attempt it does not know of.
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

    def is_obsolete(self, callback: Callback, args: tuple[Any, ...]) -> bool:
        """Returns whether a timer is the deadline of a request that has been forgotten."""
        return callback == self.deadline_passed and args[0].finished and not args[0].references
