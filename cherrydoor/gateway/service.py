"""One gateway on its sockets: starts, drains and stops the dispatcher and what is around it."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import structlog

from cherrydoor.admission.client_limits import client_limits_of
from cherrydoor.admission.listener import Listener, ListenerSet
from cherrydoor.admission.usage import ProcessUsage
from cherrydoor.gateway.client_listener import ClientListener, ClientProtocol
from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.gateway.endpoint_watch import EndpointWatch
from cherrydoor.gateway.event_loop import Clock, TickingService, address
from cherrydoor.gateway.exit_codes import DRAIN_TIMED_OUT, DRAINED, ROUTING_BROKEN
from cherrydoor.gateway.incarnations import Incarnations
from cherrydoor.gateway.upstream import Upstream
from cherrydoor.peer_services import PeerServices
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases.feed import ReleaseService
from cherrydoor.routing import messages as routing
from cherrydoor.tls.credential_manager import CredentialManager
from cherrydoor.tls.expiry import ExpiryPolicy
from cherrydoor.tls.settings import CredentialSettings

log = structlog.get_logger()

# Faults of the routing decisions after which the process gives up: each cuts off all clients.
MAX_RESTARTS = 5
KEY_EXPIRY_SETTINGS = ("standing", "warn")  # those of `keys` that are no files


def no_peers(service: Any, incarnation: int = 0) -> None:
    """Joins no fleet: the gateway is alone."""


class GatewayService(TickingService):
    """One gateway: its sockets and what goes on between them.

    Attributes:
        config: The gateway's configuration.
        bounds: Limits of the sockets; exchanged as the configuration is reloaded.
        dispatcher: Of the current incarnation.
        peer_services: Of the current incarnation; None for a gateway alone.
        client_listener: Client connections.
        upstream: Connections to hosts.
        endpoint_watch: The endpoint list.
        listeners: Admission control with its listening sockets.
        tls: Keys and tokens in service.
        releases: Gradual releases; None where they are not configured.
        done: Gets the exit code once the gateway has ended.
        port: Port of the client listener, set by `start`.
    """

    def __init__(
        self,
        config: Any,
        make_router: Callable[[Any], Any],
        usage: Any = None,
        connection_slots: int | None = None,
        clock: Any = None,
        join_peers: Callable[..., Any] | None = None,
    ) -> None:
        """Prepares a gateway that `start` opens.

        Args:
            config: The gateway's configuration.
            make_router: Makes the routing decisions of one incarnation, of their settings.
            usage: What the process has in use, shared by its gateways; its own where None.
            connection_slots: Client connections that there are descriptors for; None sets no limit
                of its own.
            clock: Gives the time; the system's where None.
            join_peers: Makes the peer services (`cherrydoor.peer_services.join`); None for a
                gateway alone.
        """
        super().__init__(clock or Clock())
        self.config = config
        self.bounds = config.bounds
        self.make_router = make_router
        self.restart_count = 0
        self.port = 0
        self.client_listener = ClientListener(self)
        self.upstream = Upstream(self)
        self.endpoint_watch = EndpointWatch(
            self, config.list_at, config.saved, config.lease.polls_endpoints
        )
        self.usage = usage or ProcessUsage(config.memory)
        self.owns_usage = usage is None
        self.listeners = self.make_listeners(connection_slots)
        self.tls = self.make_credentials()
        self.done: asyncio.Future[int] = self.loop.create_future()
        self.join_peers = join_peers or no_peers
        self.peer_services: PeerServices | None = None
        self.incarnations = Incarnations(self)
        self.releases = ReleaseService(self, config.releases) if config.releases["feed"] else None
        self.dispatcher = self.make_dispatcher()

    # ---- parts
    def make_listeners(self, connection_slots: int | None) -> ListenerSet:
        """Makes admission control, with no more connection slots than there are descriptors for."""
        limits = client_limits_of(self.config)
        if connection_slots is not None:
            limits = replace(
                limits, connection_slots=min(connection_slots, limits.connection_slots)
            )
        return ListenerSet(limits, self.clock, self.usage)

    def make_credentials(self) -> CredentialManager:
        """Makes the credentials in service.

        The client listener ends connections whose credentials are withdrawn.
        """
        settings = self.config.keys
        files = {name: value for name, value in settings.items() if name not in KEY_EXPIRY_SETTINGS}
        policy = ExpiryPolicy(settings["standing"], settings["warn"], self.config.seed)
        credentials = CredentialSettings.from_config_keys(**files, usage=policy)
        return CredentialManager(credentials, self.client_listener.withdraw)

    def make_dispatcher(self) -> Dispatcher:
        """Makes the dispatcher of one incarnation."""
        router = self.make_router(self.config.lease)
        versions, attempt_ended = None, None
        if self.releases:
            versions, attempt_ended = self.releases.versions, self.releases.post
        return Dispatcher(
            router,
            self.config.limits,
            self.upstream.dial,
            self.clock.now(),
            self.endpoint_watch.poll,
            versions,
            attempt_ended,
        )

    @property
    def incarnation(self) -> int:
        """Which of its starts this is among its peers; 0 for a gateway alone."""
        return self.peer_services.incarnation if self.peer_services else 0

    def hello(self) -> protocol.Hello:
        """The gateway's hello on any connection."""
        return protocol.Hello(
            protocol.VERSION,
            "gateway",
            self.config.name,
            self.clock.now(),
            0.0,
            self.bounds.frame,
            self.config.limits.most_open,
            incarnation=self.incarnation,
        )

    # ---- start
    async def start(self) -> None:
        """Opens the gateway; clients can connect once this returns.

        Raises:
            cherrydoor.tls.errors.InvalidCredentialsError: Keys or tokens are not valid.
            OSError: An address cannot be bound.
        """
        await self.tls.start()
        await self.start_peer_services(self.join_peers(self))
        saved = self.endpoint_watch.read_saved()
        if saved is not None:
            self.post(self.dispatcher.endpoints_updated, routing.UpdateKind.CACHED, saved)
        self.endpoint_watch.start()
        if self.releases:
            await self.releases.start()
        self.port = self.listen(
            address(self.config.door),
            lambda arrival: ClientProtocol(self, arrival),
            (lambda: self.tls.server) if self.tls.sealed else None,
        )
        self.set_timer()

    async def start_peer_services(self, peer_services: PeerServices | None) -> None:
        """Joins the fleet: requests accepted from here on outlive this gateway.

        Args:
            peer_services: Those of the incarnation that begins; None leaves the gateway alone.
        """
        self.peer_services = peer_services
        if peer_services:
            self.dispatcher.failover = peer_services.failover
            self.dispatcher.zone_drain = peer_services.zone_drains
            await peer_services.start()

    def listen(
        self,
        where: tuple[str, int],
        make_protocol: Callable[[Any], Any],
        tls_context: Callable[[], Any] | None,
    ) -> int:
        """Opens the client listener and returns its port.

        Args:
            where: Host and port to bind; port 0 takes a free one.
            make_protocol: Makes the protocol of an incoming connection.
            tls_context: Gives the SSL context to use now; None for plain TCP.

        Raises:
            OSError: The address cannot be bound.
        """
        port: int = Listener(self.listeners, where, make_protocol, tls_context).port
        return port

    # ---- ticks
    def tick(self) -> None:
        """Runs the dispatcher once, unless peers may have taken over during a suspension."""
        if self.peer_services and self.peer_services.was_suspended():
            self.tick_scheduled = False
            self.end_incarnation("the process was suspended")
            return
        super().tick()

    def after_tick(self) -> None:
        """Runs what the peer services do per tick; ends a gateway that has drained."""
        if self.peer_services:
            self.peer_services.after_tick()
        if self.dispatcher.draining is not None and not self.dispatcher.requests:
            self.finish(DRAINED)

    def restart(self) -> None:
        """Begins a new incarnation after a fault in routing decisions; gives up after several."""
        self.restart_count += 1
        log.critical(
            "fault in the routing decisions, restarting", gateway=self.config.name, exc_info=True
        )
        self.incarnations.abandon()
        if self.restart_count > MAX_RESTARTS:
            self.finish(ROUTING_BROKEN)

    def end_incarnation(self, why: str) -> None:
        """Ends this incarnation, whose requests peers may have taken over: `Incarnations.end`."""
        self.incarnations.end(why)

    # ---- end
    def drain(self, reason: str) -> None:
        """Accepts no more requests; ends once all are answered, or after the drain timeout."""
        if self.dispatcher.draining is None:
            log.info(
                "draining",
                gateway=self.config.name,
                requests=len(self.dispatcher.requests),
                reason=reason,
            )
            self.post(self.dispatcher.drain, reason)
            self.loop.call_later(self.bounds.drain / 1000, self.drain_timed_out)

    def drain_timed_out(self) -> None:
        """Ends the gateway with requests still unanswered."""
        if not self.done.done():
            log.warning(
                "drain timed out",
                gateway=self.config.name,
                requests=len(self.dispatcher.requests),
            )
            self.finish(DRAIN_TIMED_OUT)

    def finish(self, exit_code: int) -> None:
        """Sets the gateway's exit code; the first one counts."""
        if not self.done.done():
            self.done.set_result(exit_code)

    async def stop(self) -> None:
        """Closes all sockets and files, and caches the endpoint list."""
        self.listeners.close()
        self.tls.close()
        if self.releases:
            self.releases.close()
        if self.endpoint_watch.task is not None:
            self.endpoint_watch.task.cancel()
        if self.peer_services:
            self.peer_services.close()
        self.close_connections()
        self.stop_timer()
        self.endpoint_watch.save()
        if self.owns_usage:
            self.usage.close()
        await asyncio.sleep(0)  # connections that were closed end in the loop's next pass

    def close_connections(self) -> None:
        """Closes all connections to clients and hosts, once their output has been sent."""
        for end in list(self.client_listener.ends):
            end.close()
        for host in self.dispatcher.hosts.values():
            for link in host.links:
                if link.wire is not None:
                    link.wire.close()
