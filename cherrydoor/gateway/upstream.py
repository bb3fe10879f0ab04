"""Connections of one gateway to hosts."""

import asyncio
from typing import TYPE_CHECKING, Any

import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.event_loop import dial
from cherrydoor.protocol import codec
from cherrydoor.protocol import failover as failover_messages
from cherrydoor.protocol import messages as protocol

if TYPE_CHECKING:
    from cherrydoor.gateway.service import GatewayService

log = structlog.get_logger()


class HostProtocol(FramedConnection):
    """The connection behind one of the dispatcher's host connections.

    Attributes:
        link: The dispatcher's record of this connection.
        incarnation: Incarnation of the gateway that opened it, 0 without peers.
    """

    def __init__(self, service: "GatewayService", link: Any) -> None:
        """Prepares a connection within the service's current bounds."""
        super().__init__(
            service.upstream,
            failover_messages.FROM_HOST,
            service.hello,
            service.bounds.host_bytes,
            service.bounds.frame,
        )
        self.link = link
        self.incarnation = service.incarnation

    def connection_made(self, transport: Any) -> None:
        """Notifies the dispatcher, which then sends what waited for this connection."""
        super().connection_made(transport)
        service = self.owner.service
        service.post(service.dispatcher.connection_opened, self.link, self)

    def write(self, message: Any) -> None:
        """Sends a message; one that is too large for the host counts as answered by it."""
        try:
            super().write(message)
        except codec.FrameTooLargeError as error:
            self.owner.frame_too_large(self, message, error)


class Upstream:
    """Opens connections to hosts and hands what they send to the dispatcher."""

    def __init__(self, service: "GatewayService") -> None:
        """Keeps the service whose dispatcher is notified."""
        self.service = service
        self.connecting: set[object] = set()  # references that keep the tasks from being collected

    def dial(self, link: Any) -> None:
        """Starts to connect; the dispatcher is notified of success and failure alike."""
        self.connecting.add(asyncio.get_running_loop().create_task(self.connect(link)))

    async def connect(self, link: Any) -> None:
        """Connects to the link's host within the connect timeout."""
        try:
            await dial(
                self.service,
                link,
                link.host.id,
                lambda: HostProtocol(self.service, link),
                self.service.tls.client,
            )
        finally:
            self.connecting.discard(asyncio.current_task())

    def hello_received(self, end: HostProtocol, hello: protocol.Hello) -> None:
        """A peer that is no host is refused."""
        if hello.role != "host":
            end.close(f"a host is expected here, not a {hello.role}")
            return
        self.service.post(self.service.dispatcher.host_greeted, end.link, hello)

    def message_received(self, end: HostProtocol, message: Any) -> None:
        """Hands a host's message to the dispatcher."""
        self.service.post(self.service.dispatcher.host_replied, end.link, message)

    def frame_too_large(
        self, end: HostProtocol, message: Any, error: codec.FrameTooLargeError
    ) -> None:
        """An attempt that the host would not read ends as if the host had no capacity for it."""
        log.warning(
            "message exceeds the host's frame limit", host=end.link.host.id, error=str(error)
        )
        self.service.post(
            self.service.dispatcher.host_replied,
            end.link,
            protocol.AttemptResult(message.id, "full"),
        )

    def connection_ended(self, end: HostProtocol) -> None:
        """Notifies the dispatcher, or ends an incarnation that the host reports as taken over."""
        if (
            failover_messages.INCARNATION_ENDED in end.close_reason
            and self.service.peer_services
            and self.service.incarnation == end.incarnation
        ):
            self.service.end_incarnation("a host rejects this incarnation")
            return
        self.service.post(self.service.dispatcher.connection_lost, end.link)
