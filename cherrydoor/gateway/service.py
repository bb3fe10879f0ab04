"""One gateway with its sockets: starts, drains and stops the dispatcher and its I/O."""

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

# Number of restarts after faults in the router beyond which the gateway ends, as each restart
# disconnects all clients.
MAX_RESTARTS = 5
KEY_EXPIRY_SETTINGS = ("standing", "warn")  # settings of `keys` that are not file names


def no_peers(service: Any, incarnation: int = 0) -> None:
    """Default of `join_peers`, for a gateway without peers."""


class GatewayService(TickingService):
    """One gateway: its sockets, its dispatcher and the subsystems around them.

    Attributes:
        config: The gateway's configuration.
        bounds: Limits of the sockets; replaced when the configuration is reloaded.
        dispatcher: The current incarnation's dispatcher.
        peer_services: The current incarnation's peer services; None without peers.
        client_listener: Client connections.
        upstream: Connections to hosts.
        endpoint_watch: The watch of the endpoint list.
        listeners: Admission control and its listening sockets.
        tls: The keys and tokens in use.
        releases: Gradual releases; None if they are not configured.
        done: Future of the exit code, done once the gateway has ended.
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
            make_router: Makes an incarnation's router from its routing settings.
            usage: Resource usage of the process, shared by its gateways; None creates one for this
                gateway alone.
            connection_slots: Number of client connections for which there are descriptors; None
                leaves the configured limit as it is.
            clock: Clock of the gateway; None uses the system's.
            join_peers: Makes the peer services (`cherrydoor.peer_services.join`); None for a
                gateway without peers.
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
        """Makes admission control, limiting connection slots to the descriptors available."""
        limits = client_limits_of(self.config)
        if connection_slots is not None:
            limits = replace(
                limits, connection_slots=min(connection_slots, limits.connection_slots)
            )
        return ListenerSet(limits, self.clock, self.usage)

    def make_credentials(self) -> CredentialManager:
        """Makes the credential manager.

        The client listener closes connections whose credentials are withdrawn.
        """
        settings = self.config.keys
        files = {name: value for name, value in settings.items() if name not in KEY_EXPIRY_SETTINGS}
        policy = ExpiryPolicy(settings["standing"], settings["warn"], self.config.seed)
        credentials = CredentialSettings.from_config_keys(**files, usage=policy)
        return CredentialManager(credentials, self.client_listener.closing.withdraw)

    def make_dispatcher(self) -> Dispatcher:
        """Makes the dispatcher of an incarnation, with a new router."""
        router = self.make_router(self.config.lease)
        versions, attempt_ended = None, None
        if self.releases:
            versions, attempt_ended = self.releases.controller, self.releases.post
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
        """This gateway's incarnation among its peers; 0 without peers."""
        return self.peer_services.incarnation if self.peer_services else 0

    def hello(self) -> protocol.Hello:
        """Returns the gateway's hello, which it sends on every connection."""
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
            lambda incoming: ClientProtocol(self, incoming),
            (lambda: self.tls.server) if self.tls.uses_tls else None,
        )
        self.limit_memory(self.listeners, self.usage)
        self.set_timer()

    async def start_peer_services(self, peer_services: PeerServices | None) -> None:
        """Joins the fleet; from now on accepted requests are replicated to peers.

        Args:
            peer_services: Peer services of the new incarnation; None runs without peers.
        """
        self.peer_services = peer_services
        if peer_services:
            self.dispatcher.failover = peer_services.failover
            self.dispatcher.zone_drain = peer_services.zone_drains
            await peer_services.start()

    def listen(
        self,
        listen_address: tuple[str, int],
        make_protocol: Callable[[Any], Any],
        tls_context: Callable[[], Any] | None,
    ) -> int:
        """Opens the client listener and returns its port.

        Args:
            listen_address: Host and port to bind; port 0 binds a free port.
            make_protocol: Makes the asyncio protocol of an incoming connection.
            tls_context: Returns the current SSL context; None for plain TCP.

        Raises:
            OSError: The address cannot be bound.
        """
        port: int = Listener(self.listeners, listen_address, make_protocol, tls_context).port
        return port

    # ---- ticks
    def tick(self) -> None:
        """Runs the dispatcher once, or ends the incarnation if the process was suspended.

        After a long suspension, peers may have taken over the requests.
        """
        if self.peer_services and self.peer_services.was_suspended():
            self.tick_scheduled = False
            self.end_incarnation("the process was suspended")
            return
        super().tick()

    def after_tick(self) -> None:
        """Notifies the peer services of the tick's end, and ends a gateway that has drained."""
        if self.peer_services:
            self.peer_services.after_tick()
        if self.dispatcher.draining is not None and not self.dispatcher.requests:
            self.finish(DRAINED)

    def restart(self) -> None:
        """Begins a new incarnation after a fault; ends the gateway beyond ``MAX_RESTARTS``."""
        self.restart_count += 1
        log.critical(
            "fault in the routing decisions, restarting", gateway=self.config.name, exc_info=True
        )
        self.incarnations.restart_after_fault()
        if self.restart_count > MAX_RESTARTS:
            self.finish(ROUTING_BROKEN)

    def end_incarnation(self, why: str) -> None:
        """Ends this incarnation, whose requests peers may have taken over.

        See `Incarnations.end`.
        """
        self.incarnations.end(why)

    # ---- shutdown
    def drain(self, reason: str) -> None:
        """Rejects new requests; ends once all are answered, or after the drain timeout."""
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
        """Ends the gateway although requests are still unanswered."""
        if not self.done.done():
            log.warning(
                "drain timed out",
                gateway=self.config.name,
                requests=len(self.dispatcher.requests),
            )
            self.finish(DRAIN_TIMED_OUT)

    def finish(self, exit_code: int) -> None:
        """Ends the gateway with this exit code, unless it has ended with another."""
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
        await asyncio.sleep(0)  # closed connections end in the loop's next iteration

    def close_connections(self) -> None:
        """Closes all connections to clients and hosts once their output has been sent."""
        for client_connection in list(self.client_listener.connections):
            client_connection.close()
        for host in self.dispatcher.hosts.values():
            for link in host.connections:
                if link.writer is not None:
                    link.writer.close()
