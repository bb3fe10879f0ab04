"""Client connections of one gateway, from their hello to their end."""

import asyncio
from typing import TYPE_CHECKING, Any

import structlog

from cherrydoor.admission import messages as admission
from cherrydoor.admission.chunked_reading import CHUNK_BYTES, ChunkedReading
from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.gateway.dispatcher import ClientConnection
from cherrydoor.gateway.sockets import peer_closed
from cherrydoor.protocol import failover as failover_messages
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import messages as credentials
from cherrydoor.tls.errors import PeerAuthenticationError
from cherrydoor.tls.peer_authentication import Proof

if TYPE_CHECKING:
    from cherrydoor.gateway.service import GatewayService

log = structlog.get_logger()

MAX_HELLO_BYTES = 8192  # longest hello that is read from a client which is not yet admitted
IDENTIFICATION_RETRY_AFTER_MS = 1000.0  # for a client whose certificate or token is invalid
# A connection whose credentials are withdrawn is closed once it is idle. A request that is under
# way to us as we close would be lost, so that it counts as idle only after a pause longer than a
# message usually takes; and a client that never pauses may not keep a withdrawn credential in use
# for long.
IDLE_CHECK_INTERVAL_S = 0.1
IDLE_AFTER_MS = 250.0
MAX_WITHDRAWAL_S = 30.0
# Time in which what a client sent before an incarnation ended is still read, and rejected with a
# retry-after.
LAST_READ_S = 0.05


class ClientProtocol(ChunkedReading, FramedConnection):
    """The connection of one client; until it is admitted only a short hello is read from it.

    Attributes:
        arrival: The connection as admission control knows it.
        client: The client as the dispatcher knows it.
        credential_facts: What the client's certificate or token showed, set with its hello.
        retry_after_ms: Set once the incarnation that admitted the client has ended: its requests
            are rejected.
    """

    def __init__(self, service: "GatewayService", arrival: Any) -> None:
        """Prepares a connection that admission control has accepted."""
        super().__init__(
            service.client_listener,
            failover_messages.FROM_CLIENT,
            service.hello,
            service.bounds.client_bytes,
            MAX_HELLO_BYTES,
        )
        self.reader.halts = True
        self.arrival = arrival
        self.chunk = bytearray(CHUNK_BYTES)
        self.client = ClientConnection(self, has_closed=self.has_closed)
        self.credential_facts: Proof = {}
        self.retry_after_ms: float | None = None
        arrival.connection.open = self.client.open

    def connection_made(self, transport: Any) -> None:
        """Lets admission control send the client, from now on, the reason of a rejection."""
        self.arrival.end = self
        super().connection_made(transport)

    def has_closed(self) -> bool:
        """Whether the client has closed, also where that has not been read yet."""
        return peer_closed(self.transport)

    def data_received(self, data: bytes) -> None:
        """Decodes input, and keeps admission control's count of unfinished input."""
        message_count = self.process_data(data)
        if (
            message_count
            and self.reader.held
            and self.arrival.connection.state == "seated"
            and not self.reader.fault
        ):
            message_count += self.process_data(b"")  # what came along with the hello
        self.holds(len(self.reader.held), message_count)

    def admitted(self, max_frame_bytes: int) -> None:
        """Admission control has admitted the client: larger frames are read from now on."""
        self.reader.largest = min(max_frame_bytes, self.owner.service.bounds.frame)
        self.owner.admitted(self)


class ClientListener:
    """All client connections of one gateway.

    Attributes:
        ends: The admitted connections of this incarnation.
    """

    def __init__(self, service: "GatewayService") -> None:
        """Keeps the service whose dispatcher is notified."""
        self.service = service
        self.ends: OrderedSet[ClientProtocol] = OrderedSet()

    # ---- what connections report
    def hello_received(self, end: ClientProtocol, hello: protocol.Hello) -> None:
        """Identifies a client by its certificate or token; admission control then decides on it."""
        service = self.service
        if hello.role != "client":
            end.close(f"a client is expected here, not a {hello.role}")
            return
        try:
            known_client, facts = service.tls.identify(end.transport, hello.token)
        except PeerAuthenticationError as error:
            # One name for all of them: the error's text may hold what a client wrote.
            service.listeners.controller.count("authentication failures")
            end.close(str(error), IDENTIFICATION_RETRY_AFTER_MS)
            return
        end.credential_facts = facts
        service.listeners.post(admission.ClientIdentified(end.arrival.connection, known_client))

    def admitted(self, end: ClientProtocol) -> None:
        """Admission control has admitted the client."""
        service = self.service
        self.ends.add(end)
        service.tls.post(credentials.ConnectionOpened(end, **end.credential_facts))
        service.post(service.dispatcher.client_connected, end.client, end.reader.hello)

    def message_received(self, end: ClientProtocol, message: Any) -> None:
        """Hands a client's message to the dispatcher; a request counts against its read quota."""
        service = self.service
        message_type = type(message)
        if end not in self.ends:
            if end.retry_after_ms is not None and message_type is protocol.Request:
                service.incarnations.reject_unaccepted(end.client, message, end.retry_after_ms)
            return
        if message_type is protocol.Request:
            service.post(service.dispatcher.request_received, end.client, message)
            connection = end.arrival.connection
            group = connection.group
            group.read += 1
            if group.allowed is not None and group.read >= group.allowed and not group.paused:
                service.listeners.post(admission.ReadQuotaExceeded(connection))
        elif message_type is protocol.CancelRequest:
            service.post(service.dispatcher.request_withdrawn, end.client, message.id)
        elif service.peer_services:
            service.peer_services.claim_response(end, message)
        else:
            end.write(failover_messages.ResponseUnknown(message.id, "this gateway is alone"))

    def connection_ended(self, end: ClientProtocol) -> None:
        """Notifies admission control, credentials and dispatcher of a connection that has ended."""
        service = self.service
        service.listeners.post(admission.ConnectionClosed(end.arrival.connection))
        if end in self.ends:
            self.ends.discard(end)
            service.tls.post(credentials.ConnectionClosed(end))
            service.post(service.dispatcher.client_disconnected, end.client)
        if end.close_reason and not end.close_reason.startswith("[Errno"):
            log.info("client connection closed", client=end.client.name, why=end.close_reason)

    # ---- connections that the gateway ends
    def close_with_incarnation(
        self, end: ClientProtocol, reason: str, retry_after_ms: float
    ) -> None:
        """Ends a connection of an incarnation that is over.

        A request that is still read on it was never accepted, and is rejected with the same
        retry-after.
        """
        self.ends.discard(end)
        self.service.tls.post(credentials.ConnectionClosed(end))
        end.retry_after_ms = retry_after_ms
        asyncio.get_running_loop().call_later(LAST_READ_S, end.close, reason, retry_after_ms)

    def withdraw(self, end: ClientProtocol, reason: str, at_once: bool) -> None:
        """Ends a connection whose certificate or token is in service no more.

        Unless `at_once`, the client is notified that it should go elsewhere, and the connection is
        closed once it is idle.
        """
        if end not in self.ends:
            return
        if at_once:
            self.close_withdrawn(end, reason)
        else:
            withdrawn_at_s = asyncio.get_running_loop().time()
            end.write(protocol.Draining(reason))
            self.close_when_idle(end, reason, withdrawn_at_s)

    def close_when_idle(self, end: ClientProtocol, reason: str, withdrawn_at_s: float) -> None:
        """Closes a withdrawn connection if it is idle or its time is over; else checks again later.

        Args:
            end: The connection; ignored once it has ended.
            reason: Sent to the client.
            withdrawn_at_s: Time of the event loop at which the client was notified.
        """
        if end not in self.ends:
            return
        loop = asyncio.get_running_loop()
        clock = self.service.clock
        quiet_since_ms = max(end.arrival.connection.used, 1000 * withdrawn_at_s + clock.ahead)
        idle = not end.client.open and clock.now() - quiet_since_ms > IDLE_AFTER_MS
        if idle or loop.time() - withdrawn_at_s > MAX_WITHDRAWAL_S:
            self.close_withdrawn(end, reason)
        else:
            loop.call_later(
                IDLE_CHECK_INTERVAL_S, self.close_when_idle, end, reason, withdrawn_at_s
            )

    def close_withdrawn(self, end: ClientProtocol, reason: str) -> None:
        """Counts and closes a connection whose credentials are withdrawn."""
        counters = self.service.dispatcher.counters
        counters["connections closed for withdrawn credentials"] += 1
        end.close(reason)
