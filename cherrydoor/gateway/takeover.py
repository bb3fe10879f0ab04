"""Requests of another gateway: queries to hosts, attempts adopted, and cancellation after a loss.

Asked for by failover and zone drains (``cherrydoor/failover``); a gateway without peers uses none
of it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cherrydoor.gateway.requests import FAILED
from cherrydoor.gateway.tables import (
    CallKind,
    ClientConnection,
    HostCall,
    HostRecord,
    PendingRequest,
)
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher


class Takeover:
    """Takes over the requests of a lost gateway, for failover, which decides which.

    It has no table: what it takes over are pending requests of ``RequestTable`` with an origin.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    def query_host(
        self,
        host_id: str,
        make_message: Callable[[int], Any],
        wait_ms: float,
        on_reply: Callable[[str, Any, Any], object],
    ) -> None:
        """Asks a host, also a draining one, something that the router does not know of.

        Args:
            host_id: The host.
            make_message: Makes the message of the query's number.
            wait_ms: After this time it ends without a response.
            on_reply: Called exactly once as (host id, outcome, message or None).
        """
        dispatcher = self.dispatcher
        host = dispatcher.hosts.get(host_id)
        if host is None or host.row.state == "gone":
            on_reply(host_id, AttemptOutcome.CONNECT_FAILED, None)
            return
        call = HostCall(CallKind.QUERY, dispatcher.next_number(), dispatcher.now, on_reply=on_reply)
        dispatcher.calls.send(host, call, make_message(call.id))
        dispatcher.timers.set(
            dispatcher.now + wait_ms,
            dispatcher.calls.abandon,
            call,
            AttemptOutcome.NO_RESPONSE,
        )

    def take_over_request(
        self,
        client: ClientConnection,
        request: protocol.Request,
        deadline_ms: float,
        origin: tuple[Any, ...],
    ) -> None:
        """Accepts a request of another gateway and routes it anew in the time that it has left.

        Args:
            client: Stands for the client, whose response is claimed here.
            request: The request as it was replicated.
            deadline_ms: When its client stops waiting.
            origin: Its identity in the other gateway, as attempts carry it.
        """
        pending = self.dispatcher.request_table.accept(client, request, deadline_ms)
        pending.origin = origin
        self.dispatcher.counters["requests taken over"] += 1
        self.dispatcher.request_table.route(pending)

    def adopt_attempt(
        self,
        client: ClientConnection,
        request: protocol.Request,
        deadline_ms: float,
        origin: tuple[Any, ...],
        host_id: str,
        make_message: Callable[[int], Any],
    ) -> None:
        """Accepts a request whose attempt is still in flight: its outcome is the response.

        Args:
            client: As in ``take_over_request``.
            request: As there.
            deadline_ms: As there.
            origin: As there.
            host_id: The host with the attempt.
            make_message: Makes the message that adopts it of the call's number.
        """
        dispatcher = self.dispatcher
        pending = dispatcher.request_table.accept(client, request, deadline_ms)
        pending.origin = origin
        pending.adopted = True
        dispatcher.counters["attempts adopted"] += 1
        call = dispatcher.attempts.add(pending)
        dispatcher.calls.send(dispatcher.hosts[host_id], call, make_message(call.id))

    def adopted_attempt_failed(self, pending: PendingRequest, outcome: AttemptOutcome) -> None:
        """Routes a request anew whose adopted attempt failed, or answers it."""
        if self.dispatcher.failover.may_retry_adopted(pending, outcome):
            self.dispatcher.request_table.route(pending)
        else:
            reason = f"adopted, then {outcome}"
            response = protocol.Response(pending.request.id, FAILED, 0.0, reason)
            self.dispatcher.request_table.respond(pending, response)

    def cancel_on_other_connection(self, host: HostRecord, calls: list[HostCall]) -> None:
        """Cancels the attempts of a lost connection over another one, where there is failover.

        With failover a host continues its work, as it cannot tell a lost connection from a lost
        gateway. Guards against two attempts of one request in flight at once.
        """
        if self.dispatcher.failover is None or host.row.state == "gone":
            return
        link = host.links[0] if host.links else self.dispatcher.connections.open(host)
        for call in calls:
            if call.kind is CallKind.ATTEMPT:
                link.write(protocol.CancelAttempt(call.id))
