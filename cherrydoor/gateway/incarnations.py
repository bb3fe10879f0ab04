"""Ends a gateway's incarnation and begins the next, after a fault or a takeover by peers."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog

from cherrydoor.gateway.tables import CLOSED
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

if TYPE_CHECKING:
    from cherrydoor.gateway.client_listener import ClientProtocol
    from cherrydoor.gateway.service import GatewayService
    from cherrydoor.peer_services import PeerServices

log = structlog.get_logger()

INCARNATION_ENDED = "this gateway's life is over"  # sent to clients


class Incarnations:
    """Replaces a service's dispatcher with a new one, which keeps only the endpoint list.

    The service owns its dispatcher and peer services, but only this class replaces them while the
    service runs.
    """

    def __init__(self, service: "GatewayService") -> None:
        """Prepares to replace the dispatcher of this service."""
        self.service = service
        self.peer_start: asyncio.Task[None] | None = None

    def restart_after_fault(self) -> None:
        """Begins the next incarnation after a fault; aborts clients as if the process had died."""
        self.begin_next(
            lambda client_connection: client_connection.abort("the gateway restarts after a fault")
        )

    def end(self, why: str) -> None:
        """Ends an incarnation whose requests its peers have, or may have, taken over.

        Leaves those requests to the peers, rejects requests that were not accepted yet, and asks
        clients to reconnect after delays that are spread over time. Then the next incarnation
        begins. Does nothing without peers.

        Args:
            why: Reason, for the log.
        """
        service = self.service
        peer_services = service.peer_services
        if not peer_services:
            return
        log.error(
            "incarnation ended, beginning the next",
            gateway=service.config.name,
            incarnation=peer_services.incarnation,
            why=why,
            requests=len(service.dispatcher.requests),
        )
        retry_after_ms = {
            client_connection: peer_services.reconnect_delay_ms(number)
            for number, client_connection in enumerate(service.client_listener.connections)
        }
        self.answer_unreplicated_requests(peer_services, retry_after_ms)
        self.reject_queued_requests(retry_after_ms)
        self.begin_next(
            lambda client_connection: service.client_listener.closing.close_with_incarnation(
                client_connection, INCARNATION_ENDED, retry_after_ms[client_connection]
            )
        )

    def answer_unreplicated_requests(
        self, peer_services: "PeerServices", retry_after_ms: dict["ClientProtocol", float]
    ) -> None:
        """Answers the accepted requests that no peer knows of."""
        for pending in list(self.service.dispatcher.requests.values()):
            if pending.finished:
                continue
            answer = peer_services.failover.answer_at_end(pending)
            if answer is None:
                continue
            outcome, reason = answer
            writer = pending.client.writer
            writer.write(
                protocol.Response(
                    pending.request.id, outcome, retry_after_ms.get(writer, 0.0), reason
                )
            )

    def reject_queued_requests(self, retry_after_ms: dict["ClientProtocol", float]) -> None:
        """Rejects the requests that were read and are queued for the dispatcher's next tick."""
        dispatcher = self.service.dispatcher
        for handler, arguments in dispatcher.inputs:
            if handler == dispatcher.request_received:
                client, request = arguments
                self.reject_unaccepted(client, request, retry_after_ms.get(client.writer, 0.0))

    def reject_unaccepted(self, client: Any, request: Any, retry_after_ms: float) -> None:
        """Rejects a request that the ended incarnation had not accepted.

        Sends nothing if the request's deadline has passed.
        """
        if request.timeout_ms > client.excess_delay_ms(
            request.sent_at_ms, self.service.clock.now()
        ):
            client.writer.write(
                protocol.Response(request.id, "deferred", retry_after_ms, INCARNATION_ENDED)
            )

    # ---- replacement
    def begin_next(self, close_connection: Callable[["ClientProtocol"], None]) -> None:
        """Replaces dispatcher and peer services and ends all connections of the old ones.

        Args:
            close_connection: Closes one client connection.
        """
        service = self.service
        ended = service.dispatcher
        endpoints = ended.endpoints()
        for client_connection in list(service.client_listener.connections):
            # Later events of this connection reach the next dispatcher, which knows none of its
            # requests.
            client_connection.client.pending_requests.clear()
            close_connection(client_connection)
        self.abort_host_connections(ended)
        service.dispatcher = service.make_dispatcher()
        service.post(service.dispatcher.endpoints_updated, routing.UpdateKind.CACHED, endpoints)
        if service.peer_services:
            self.replace_peer_services(service.peer_services)
        if ended.draining is not None:
            service.post(service.dispatcher.drain, ended.draining)

    def abort_host_connections(self, dispatcher: Any) -> None:
        """Aborts all connections to hosts; the calls on them get no outcome."""
        for host in dispatcher.hosts.values():
            for link in host.connections:
                link.state = CLOSED
                link.calls_in_flight = {}
                if link.writer is not None:
                    link.writer.abort()

    def replace_peer_services(self, ended: "PeerServices") -> None:
        """Ends the peer services and starts those of the next incarnation.

        If another process uses this gateway's name, the gateway leaves the name to that process and
        continues without peers.
        """
        service = self.service
        ended.abort()
        service.peer_services = None
        next_services = None
        if not ended.peers.members.is_duplicated:
            incarnation = max(ended.incarnation + 1, int(service.clock.now()))
            next_services = service.join_peers(service, incarnation)
        if next_services:
            next_services.continue_from(ended)
        self.peer_start = service.loop.create_task(service.start_peer_services(next_services))
