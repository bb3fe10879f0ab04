"""How a gateway ends one incarnation and begins the next: after a fault, or a takeover by peers."""

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
    """Replaces the dispatcher of a service by a new one; only the endpoint list is kept.

    The service owns dispatcher and peer services; only this class exchanges them while the service
    runs.
    """

    def __init__(self, service: "GatewayService") -> None:
        """Keeps the service whose dispatcher is exchanged."""
        self.service = service
        self.peer_start: asyncio.Task[None] | None = None

    def abandon(self) -> None:
        """Begins anew after a fault: clients are cut off, as if the process had died."""
        self.begin_next(lambda end: end.abort("the gateway starts anew"))

    def end(self, why: str) -> None:
        """Ends an incarnation whose requests its peers have taken over, or may have.

        It answers none of those requests, rejects what it had not accepted, asks its clients to
        reconnect spread over time, and begins the next incarnation. Without peers it does nothing.

        Args:
            why: For the log.
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
            end: peer_services.reconnect_delay_ms(number)
            for number, end in enumerate(service.client_listener.ends)
        }
        self.answer_own_requests(peer_services, retry_after_ms)
        self.reject_queued_requests(retry_after_ms)
        self.begin_next(
            lambda end: service.client_listener.close_with_incarnation(
                end, INCARNATION_ENDED, retry_after_ms[end]
            )
        )

    def answer_own_requests(
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
            wire = pending.client.wire
            wire.write(
                protocol.Response(
                    pending.request.id, outcome, retry_after_ms.get(wire, 0.0), reason
                )
            )

    def reject_queued_requests(self, retry_after_ms: dict["ClientProtocol", float]) -> None:
        """Rejects the requests that were read and wait for the dispatcher's next tick."""
        dispatcher = self.service.dispatcher
        for handler, arguments in dispatcher.inputs:
            if handler == dispatcher.request_received:
                client, request = arguments
                self.reject_unaccepted(client, request, retry_after_ms.get(client.wire, 0.0))

    def reject_unaccepted(self, client: Any, request: Any, retry_after_ms: float) -> None:
        """Rejects a request that the ended incarnation had not accepted.

        Nothing is sent where the deadline of the request has passed as well.
        """
        if request.timeout_ms > client.excess_delay_ms(
            request.sent_at_ms, self.service.clock.now()
        ):
            client.wire.write(
                protocol.Response(request.id, "deferred", retry_after_ms, INCARNATION_ENDED)
            )

    # ---- the exchange
    def begin_next(self, close_connection: Callable[["ClientProtocol"], None]) -> None:
        """Exchanges dispatcher and peer services, and ends all connections of the old ones.

        Args:
            close_connection: Ends one client connection.
        """
        service = self.service
        ended = service.dispatcher
        endpoints = ended.endpoints()
        for end in list(service.client_listener.ends):
            # What is reported of it from here on reaches the next dispatcher, which has none of its
            # requests.
            end.client.open.clear()
            close_connection(end)
        self.abort_host_connections(ended)
        service.dispatcher = service.make_dispatcher()
        service.post(service.dispatcher.endpoints_updated, routing.UpdateKind.CACHED, endpoints)
        if service.peer_services:
            self.exchange_peer_services(service.peer_services)
        if ended.draining is not None:
            service.post(service.dispatcher.drain, ended.draining)

    def abort_host_connections(self, dispatcher: Any) -> None:
        """Ends all connections to hosts; what was sent on them has no outcome any more."""
        for host in dispatcher.hosts.values():
            for link in host.links:
                link.state = CLOSED
                link.out = {}
                if link.wire is not None:
                    link.wire.abort()

    def exchange_peer_services(self, ended: "PeerServices") -> None:
        """Ends the peer services and starts those of the next incarnation.

        A name that another process goes by is left to that process: this gateway is then alone.
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
