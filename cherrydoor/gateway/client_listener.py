"""Client connections of one gateway, from the hello until they are closed."""

from typing import TYPE_CHECKING, Any

import structlog

from cherrydoor.admission import messages as admission
from cherrydoor.admission.chunked_reading import CHUNK_BYTES, ChunkedReading
from cherrydoor.admission.connections import ADMITTED, CLOSED
from cherrydoor.admission.work_per_tick import MAX_BODY_BYTES_PER_TICK, MAX_MESSAGES_PER_TICK
from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.gateway.client_closing import ClientClosing
from cherrydoor.gateway.dispatcher import ClientConnection
from cherrydoor.gateway.sockets import peer_closed
from cherrydoor.protocol import failover as failover_messages
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import messages as credentials
from cherrydoor.tls.errors import PeerAuthenticationError
from cherrydoor.tls.peer_authentication import PeerCredentials

if TYPE_CHECKING:
    from cherrydoor.gateway.service import GatewayService

log = structlog.get_logger()

MAX_HELLO_BYTES = 8192  # longest hello accepted from a client that is not yet admitted
# Output of a connection that is not reported to admission control while it waits to be sent, so
# that the responses of one event loop tick are sent together.
UNREPORTED_OUTPUT_BYTES = 16 * 1024
MESSAGE_BYTES = 512  # of memory, for a message without its body
IDENTIFICATION_RETRY_AFTER_MS = 1000.0  # for a client whose certificate or token is invalid


class ClientProtocol(ChunkedReading, FramedConnection):
    """The connection of one client; only a short hello is read from it until it is admitted.

    Attributes:
        incoming: Admission control's record of the connection.
        client: The dispatcher's record of the client.
        credential_facts: What the client's certificate or token proves; set on its hello.
        retry_after_ms: Set once the incarnation that admitted the client has ended; its requests
            are then rejected with this retry-after.
        discards_input: Whether admission control has closed the connection, which stays open for
            the responses to its requests in flight.
    """

    messages_allowed = MAX_MESSAGES_PER_TICK
    body_bytes_allowed = MAX_BODY_BYTES_PER_TICK

    def __init__(self, service: "GatewayService", incoming: Any) -> None:
        """Prepares a connection that admission control has accepted."""
        super().__init__(
            service.client_listener,
            failover_messages.FROM_CLIENT,
            service.hello,
            service.bounds.client_bytes,
            MAX_HELLO_BYTES,
        )
        self.reader.stop_after_hello = True
        self.incoming = incoming
        self.loop = service.loop
        self.read_buffer = service.client_listener.read_buffer
        self.client = ClientConnection(self, has_closed=self.has_closed)
        self.credential_facts: PeerCredentials = {}
        self.retry_after_ms: float | None = None
        self.discards_input = False
        incoming.connection.open = self.client.pending_requests

    def connection_made(self, transport: Any) -> None:
        """Registers with admission control, which can then send the client a rejection reason."""
        super().connection_made(transport)
        self.limit_output(UNREPORTED_OUTPUT_BYTES)
        self.incoming.protocol_made(self)

    def write_bytes(self, data: bytes) -> None:
        """Sends encoded frames, and reports to admission control how much output waits."""
        super().write_bytes(data)
        self.report_output()

    def has_closed(self) -> bool:
        """Returns whether the client has closed, even if the close has not been read yet."""
        return peer_closed(self.transport)

    def data_received(self, data: bytes) -> None:
        """Decodes input, and handles a few messages of it in each tick.

        One read brings thousands of small messages. If all were handled at once, the replies of
        hosts and the requests of all other clients would wait for them. The rest waits, and nothing
        more is read meanwhile.
        """
        if self.discards_input:
            return
        message_count = self.process_data(data)
        is_admitted = self.incoming.connection.state is ADMITTED
        if message_count and is_admitted and self.reader.buffer and not self.reader.fault:
            self.process_data(b"")  # decodes the messages that arrived with the hello
        unhandled_bytes = sum(
            MESSAGE_BYTES + len(getattr(message, "body", b"")) for message in self.unhandled
        )
        self.report_unfinished_bytes(len(self.reader.buffer) + unhandled_bytes, message_count)
        if not self.input_waits and (self.unhandled or not self.may_handle_more()):
            self.wait_with_input()

    def handle_rest(self) -> None:
        """Handles some more of the messages that were read, and reads on after the last one.

        It runs after the tick that handles the messages before it, so that no more than one such
        part waits for each tick. While admission has paused the connection, they wait for resume().
        They are dropped once the client has closed, even while the end of its input is unread.
        """
        if self.transport.is_closing():
            return
        if self.has_closed():
            # Nobody waits for the answers. The end of the input is read next.
            self.unhandled.clear()
        self.messages_allowed = MAX_MESSAGES_PER_TICK
        self.body_bytes_allowed = MAX_BODY_BYTES_PER_TICK
        self.data_received(b"")
        if self.unhandled:
            self.schedule_rest()
        else:
            self.continue_input()

    def close(self, reason: str = "", retry_after_ms: float = 0.0) -> None:
        """Closes the connection, with the reason if there is one.

        Where admission control closes a connection that it had admitted, the requests that were
        read are answered first: a client that sends its frames too slowly is still owed those
        responses. Further input is dropped.
        """
        closed_by_admission = self.incoming.connection.state is CLOSED
        if closed_by_admission and not self.discards_input and self in self.owner.connections:
            self.discards_input = True
            self.reader.buffer.clear()
            self.unhandled.clear()
            self.report_unfinished_bytes(0, 0)
            self.owner.closing.close_when_answered(self, reason, retry_after_ms)
        elif closed_by_admission and self.output_waits:
            self.abort(reason)  # a client that does not read would not get the reason
        else:
            super().close(reason, retry_after_ms)

    def release(self) -> None:
        """Drops what the connection held, and its reference cycles, once it has ended.

        It is then freed without the garbage collector, however much input was buffered.
        """
        self.incoming.release()
        self.client.release()
        self.reader.buffer.clear()
        self.unhandled.clear()

    def admitted(self, max_frame_bytes: int) -> None:
        """Accepts larger frames from now on, as admission control has admitted the client."""
        self.reader.max_frame_bytes = min(max_frame_bytes, self.owner.service.bounds.frame)
        self.owner.admitted(self)


class ClientListener:
    """All client connections of one gateway.

    Attributes:
        connections: The admitted connections of this incarnation.
        closing: Closes connections that still have requests in flight or on their way.
        read_buffer: Shared by all connections; input is copied out before the next read.
    """

    def __init__(self, service: "GatewayService") -> None:
        """Creates a listener that notifies the service's current dispatcher."""
        self.service = service
        self.connections: OrderedSet[ClientProtocol] = OrderedSet()
        self.closing = ClientClosing(service, self.connections)
        self.read_buffer = bytearray(CHUNK_BYTES)

    # ---- events of connections
    def hello_received(self, client_connection: ClientProtocol, hello: protocol.Hello) -> None:
        """Identifies a client by certificate or token and asks admission control to admit it."""
        service = self.service
        if hello.role != "client":
            client_connection.close(f"a client is expected here, not a {hello.role}")
            return
        try:
            known_client, facts = service.tls.identify(client_connection.transport, hello.token)
        except PeerAuthenticationError as error:
            # One counter for all failures, as the error's text may contain input from the client.
            service.listeners.controller.count("authentication failures")
            client_connection.close(str(error), IDENTIFICATION_RETRY_AFTER_MS)
            return
        client_connection.credential_facts = facts
        service.listeners.post(
            admission.ClientIdentified(client_connection.incoming.connection, known_client)
        )

    def admitted(self, client_connection: ClientProtocol) -> None:
        """Adds an admitted client and notifies credentials and the dispatcher."""
        service = self.service
        self.connections.add(client_connection)
        service.tls.post(
            credentials.ConnectionOpened(client_connection, **client_connection.credential_facts)
        )
        service.post(
            service.dispatcher.client_connected,
            client_connection.client,
            client_connection.reader.hello,
        )

    def message_received(self, client_connection: ClientProtocol, message: Any) -> None:
        """Passes a client's message to the dispatcher, and counts it against its read quota."""
        service = self.service
        message_type = type(message)
        if client_connection not in self.connections:
            if client_connection.retry_after_ms is not None and message_type is protocol.Request:
                service.incarnations.reject_unaccepted(
                    client_connection.client, message, client_connection.retry_after_ms
                )
            return
        connection = client_connection.incoming.connection
        if connection.count_read():
            service.listeners.post(admission.ReadQuotaExceeded(connection))
        if message_type is protocol.Request:
            service.post(service.dispatcher.request_received, client_connection.client, message)
        elif message_type is protocol.CancelRequest:
            service.post(service.dispatcher.request_withdrawn, client_connection.client, message.id)
        elif service.peer_services:
            service.peer_services.claim_response(client_connection, message)
        else:
            client_connection.write(
                failover_messages.ResponseUnknown(message.id, "this gateway is alone")
            )

    def connection_ended(self, client_connection: ClientProtocol) -> None:
        """Notifies admission control, credentials and the dispatcher of an ended connection."""
        service = self.service
        service.listeners.post(admission.ConnectionClosed(client_connection.incoming.connection))
        if client_connection in self.connections:
            self.connections.discard(client_connection)
            service.tls.post(credentials.ConnectionClosed(client_connection))
            service.post(service.dispatcher.client_disconnected, client_connection.client)
        if client_connection.close_reason and not client_connection.close_reason.startswith(
            "[Errno"
        ):
            log.info(
                "client connection closed",
                client=client_connection.client.name,
                why=client_connection.close_reason,
            )
        service.post(client_connection.release)
