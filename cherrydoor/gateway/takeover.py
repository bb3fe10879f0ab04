"""Takeover of another gateway's requests: host queries, adopted attempts and cancellation.

Used by failover and zone drains (``cherrydoor/failover``); a gateway without peers uses none of it.
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
    """Takes over requests of a failed gateway; failover decides which ones.

    It owns no table: requests taken over are pending requests of ``RequestTable`` with an origin.
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
        """Sends a query to a host, which may be draining; the router is not notified of it.

        Args:
            host_id: The host.
            make_message: Makes the message from the query's id.
            wait_ms: After this time the query ends without a response.
            on_reply: Called exactly once as (host id, outcome, message or None).
        """
        dispatcher = self.dispatcher
        host = dispatcher.hosts.get(host_id)
        if host is None or host.row.state == "gone":
            on_reply(host_id, AttemptOutcome.CONNECT_FAILED, None)
            return
        call = HostCall(CallKind.QUERY, dispatcher.next_number(), dispatcher.now, on_reply=on_reply)
        dispatcher.calls.send(host, call, make_message(call.id))
        dispatcher.calls.set_timeout(call, dispatcher.now + wait_ms)

    def take_over_request(
        self,
        client: ClientConnection,
        request: protocol.Request,
        deadline_ms: float,
        origin: tuple[Any, ...],
    ) -> None:
        """Accepts a request of another gateway and routes it again within its remaining time.

        Args:
            client: Represents the client, which may claim its response at this gateway.
            request: The request as it was replicated.
            deadline_ms: When the client stops waiting.
            origin: The request's identity in the other gateway, as attempts carry it.
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
        """Accepts a request of another gateway whose attempt is still in flight, and adopts it.

        If the attempt succeeds, its result is the response.

        Args:
            client: See ``take_over_request``.
            request: See ``take_over_request``.
            deadline_ms: See ``take_over_request``.
            origin: See ``take_over_request``.
            host_id: The host that runs the attempt.
            make_message: Makes the message that adopts the attempt, from the call's id.
        """
        dispatcher = self.dispatcher
        pending = dispatcher.request_table.accept(client, request, deadline_ms)
        pending.origin = origin
        pending.adopted = True
        dispatcher.counters["attempts adopted"] += 1
        call = dispatcher.attempts.add(pending)
        dispatcher.calls.send(dispatcher.hosts[host_id], call, make_message(call.id))

    def adopted_attempt_failed(self, pending: PendingRequest, outcome: AttemptOutcome) -> None:
        """Routes the request again if failover allows a retry; otherwise fails it."""
        if self.dispatcher.failover.may_retry_adopted(pending, outcome):
            self.dispatcher.request_table.route(pending)
        else:
            reason = f"adopted, then {outcome}"
            response = protocol.Response(pending.request.id, FAILED, 0.0, reason)
            self.dispatcher.request_table.respond(pending, response)

    def cancel_on_other_connection(self, host: HostRecord, calls: list[HostCall]) -> None:
        """Cancels the attempts of a lost connection over another connection to the same host.

        Needed only with failover. There a host keeps running its attempts after a connection is
        lost, because it cannot tell this from a failed gateway. Without the cancellation, a retry
        could run at the same time as the first attempt of its request.
        """
        if self.dispatcher.failover is None or host.row.state == "gone":
            return
        link = host.connections[0] if host.connections else self.dispatcher.connections.open(host)
        for call in calls:
            if call.kind is CallKind.ATTEMPT:
                link.write(protocol.CancelAttempt(call.id))
