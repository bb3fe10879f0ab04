"""Connections of one gateway to hosts."""

import asyncio
from math import inf
from typing import TYPE_CHECKING, Any

import structlog

from cherrydoor.admission.work_per_tick import MAX_HOST_MESSAGES_PER_TICK
from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.event_loop import dial
from cherrydoor.gateway.sockets import after_input
from cherrydoor.protocol import codec
from cherrydoor.protocol import failover as failover_messages
from cherrydoor.protocol import messages as protocol

if TYPE_CHECKING:
    from cherrydoor.gateway.service import GatewayService

log = structlog.get_logger()


class HostProtocol(FramedConnection):
    """A connection to a host.

    Attributes:
        link: The dispatcher's record of this connection.
        incarnation: The gateway's incarnation that opened it; 0 without peers.
        input_waits: Whether reading waits until the messages that were read before are handled.
    """

    messages_allowed: float = MAX_HOST_MESSAGES_PER_TICK

    def __init__(self, service: "GatewayService", link: Any) -> None:
        """Prepares a connection with the service's current limits."""
        super().__init__(
            service.upstream,
            failover_messages.FROM_HOST,
            service.hello,
            service.bounds.host_bytes,
            service.bounds.frame,
        )
        self.link = link
        self.incarnation = service.incarnation
        self.input_waits = False

    def connection_made(self, transport: Any) -> None:
        """Notifies the dispatcher, which then sends the messages queued for this connection."""
        super().connection_made(transport)
        self.owner.service.post(self.opened)

    def opened(self) -> None:
        """Notifies the dispatcher, within its tick, unless connecting has timed out meanwhile."""
        if not self.abandoned:
            self.owner.service.dispatcher.connection_opened(self.link, self)

    def data_received(self, data: bytes) -> None:
        """Handles some messages in each tick; nothing more is read while others wait."""
        self.process_data(data)
        if not self.input_waits and not self.may_handle_more() and not self.transport.is_closing():
            self.input_waits = True
            self.transport.pause_reading()
            after_input(self.owner.service.loop, self.handle_rest)

    def handle_rest(self) -> None:
        """Handles some more of the messages that were read, and reads on after the last one."""
        if self.transport.is_closing():
            return
        self.messages_allowed = MAX_HOST_MESSAGES_PER_TICK
        self.process_data(b"")
        if self.unhandled:
            after_input(self.owner.service.loop, self.handle_rest)
        elif not self.transport.is_closing():
            self.input_waits = False
            self.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Handles the messages that were read before the connection ended, then its end."""
        if self.unhandled:
            self.messages_allowed = inf
            self.process_data(b"")
        super().connection_lost(error)

    def write(self, message: Any) -> None:
        """Sends a message; one too large for the host is handled as if the host had rejected it."""
        try:
            super().write(message)
        except codec.FrameTooLargeError as error:
            self.owner.frame_too_large(self, message, error)


class Upstream:
    """Opens connections to hosts and passes their messages to the dispatcher."""

    def __init__(self, service: "GatewayService") -> None:
        """Creates an upstream that notifies the service's current dispatcher."""
        self.service = service
        self.connecting: set[object] = set()  # keeps the tasks from being garbage collected

    def dial(self, link: Any) -> None:
        """Starts connecting; the dispatcher is notified of success or failure."""
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

    def hello_received(self, host_connection: HostProtocol, hello: protocol.Hello) -> None:
        """Notifies the dispatcher of a host's hello; closes the connection to any other peer."""
        if hello.role != "host":
            host_connection.close(f"a host is expected here, not a {hello.role}")
            return
        self.service.post(self.service.dispatcher.host_greeted, host_connection.link, hello)

    def message_received(self, host_connection: HostProtocol, message: Any) -> None:
        """Passes a host's message to the dispatcher."""
        self.service.post(self.service.dispatcher.host_replied, host_connection.link, message)

    def frame_too_large(
        self, host_connection: HostProtocol, message: Any, error: codec.FrameTooLargeError
    ) -> None:
        """Ends an attempt that exceeds the host's frame limit as if the host were at capacity."""
        log.warning(
            "message exceeds the host's frame limit",
            host=host_connection.link.host.id,
            error=str(error),
        )
        self.service.post(
            self.service.dispatcher.host_replied,
            host_connection.link,
            protocol.AttemptResult(message.id, "full"),
        )

    def connection_ended(self, host_connection: HostProtocol) -> None:
        """Notifies the dispatcher; ends this incarnation if the host reports it as taken over."""
        if (
            failover_messages.INCARNATION_ENDED in host_connection.close_reason
            and self.service.peer_services
            and self.service.incarnation == host_connection.incarnation
        ):
            self.service.end_incarnation("a host rejects this incarnation")
            return
        self.service.post(self.service.dispatcher.connection_lost, host_connection.link)
