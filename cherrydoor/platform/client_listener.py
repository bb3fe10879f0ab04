"""All client connections of a gateway, and the requests that arrive on them."""

from typing import Any, NamedTuple

from cherrydoor.admission.chunked_reading import CHUNK_BYTES
from cherrydoor.admission.incoming_connection import IncomingConnection
from cherrydoor.admission.messages import ClientIdentified, ConnectionClosed
from cherrydoor.codecs import invoke
from cherrydoor.platform.client_connection import SERVICE_UNAVAILABLE, ClientProtocol
from cherrydoor.platform.readiness_probes import ReadinessProbes
from cherrydoor.platform.recent_request_ids import RecentRequestIds
from cherrydoor.protocol import messages as protocol

BAD_REQUEST, CONFLICT = 400, 409
# A request has at least this time left, however long its connection waited to be accepted.
MIN_TIMEOUT_MS = 1.0


class Refusal(NamedTuple):
    """The response to a well-formed request that is refused, and the counter for it."""

    status: int
    counter: str
    reason: str


UNKNOWN_CLASS = Refusal(
    BAD_REQUEST, "bad requests: unknown request class", "X-Class: no such event type"
)
UNKNOWN_TENANT = Refusal(
    BAD_REQUEST, "bad requests: unknown tenant", "X-Customer: no such customer"
)
TIMEOUT_TOO_LONG = Refusal(
    BAD_REQUEST,
    "bad requests: timeout too long",
    "X-Patience-Ms: longer than any event may take",
)
DUPLICATE_ID = Refusal(CONFLICT, "bad requests: duplicate request id", "X-Call-Id: known already")


def request_of(call: invoke.Call, now_ms: float, incoming: IncomingConnection) -> protocol.Request:
    """Returns the dispatcher's message for a call.

    A client can send as soon as the kernel has accepted its connection. The time for which the
    connection then waited for the listener is subtracted from the first request's timeout.

    Args:
        call: The request as the client sent it.
        now_ms: When it arrived, in ms of the service's clock.
        incoming: Admission's record of the connection.
    """
    remaining_ms = max(MIN_TIMEOUT_MS, call.timeout_ms - incoming.waited_ms)
    incoming.waited_ms = 0.0
    return protocol.Request(
        int(call.id, 16),
        call.request_class,
        call.function,
        remaining_ms,
        now_ms,
        call.tenant,
        call.idempotency_key,
        call.extras.get("lanes", 0.0),
        call.extras.get("load_ms", 0.0),
        call.body,
    )


class ClientListener:
    """All client connections of a gateway.

    Attributes:
        connections: The open connections, in the order in which they were made. A connection that
            is closed before it is made never enters.
        draining: Whether each connection closes after its next response.
        read_buffer: Shared by all connections; input is copied out before the next read.
        readiness_probes: The probes that have no answer yet.
        recent_ids: Request ids that are not accepted again.
    """

    def __init__(self, service: Any) -> None:
        self.service = service
        self.connections: dict[ClientProtocol, bool] = {}
        self.draining = False
        self.read_buffer = bytearray(CHUNK_BYTES)
        self.readiness_probes = ReadinessProbes(service)
        # No attempt of a request is in flight for longer than the longest timeout.
        self.recent_ids = RecentRequestIds(service.configuration.max_timeout_ms)

    def new_connection(self, incoming: IncomingConnection) -> ClientProtocol:
        """Returns the protocol object of an accepted connection."""
        return ClientProtocol(self, incoming)

    def connection_made(self, connection: ClientProtocol) -> None:
        """Adds a connection whose transport is open, which ends with connection_lost()."""
        self.connections[connection] = True

    def admit(self, connection: ClientProtocol) -> bool:
        """Asks admission for a slot at the first complete message; returns whether to handle it."""
        if not connection.is_admitted:
            service = self.service
            service.listeners.post(ClientIdentified(connection.incoming.connection, ""))
            if connection.is_admitted:
                service.post(
                    service.dispatcher.client_connected,
                    connection.client,
                    protocol.Hello(protocol.VERSION, "client", "", service.clock.now()),
                )
        return connection.is_admitted and not connection.closing

    def message_received(
        self, connection: ClientProtocol, message: invoke.Call | invoke.Ping
    ) -> None:
        """Takes a readiness probe; posts a request to the dispatcher or refuses it."""
        if isinstance(message, invoke.Ping):
            self.readiness_probes.add(connection)
            return
        counters = self.service.dispatcher.counters
        if self.recent_ids.is_full(self.service.clock.now()):
            counters["not accepted: too many recent request ids"] += 1
            retry_after_ms = self.service.configuration.limits.stay
            connection.respond(SERVICE_UNAVAILABLE, "too many requests", retry_after_ms)
            return
        refusal = self.refusal_of(message)
        now_ms = self.service.clock.now()
        if refusal is None and not self.recent_ids.add(int(message.id, 16), now_ms):
            refusal = DUPLICATE_ID
        if refusal is not None:
            counters[refusal.counter] += 1
            connection.respond(refusal.status, refusal.reason, close=True)
            return
        request = request_of(message, now_ms, connection.incoming)
        connection.awaiting_id = request.id
        connection.due_ms = now_ms + request.timeout_ms
        self.service.post(self.dispatch, connection, request)

    def refusal_of(self, call: invoke.Call) -> Refusal | None:
        """Returns the refusal of a request that the configuration does not allow, else None."""
        configuration = self.service.configuration
        if call.request_class not in self.service.dispatcher.router.settings.request_classes:
            return UNKNOWN_CLASS
        if configuration.tenants and call.tenant not in configuration.tenants:
            return UNKNOWN_TENANT
        if call.timeout_ms > configuration.max_timeout_ms:
            return TIMEOUT_TOO_LONG
        return None

    def dispatch(self, connection: ClientProtocol, request: protocol.Request) -> None:
        """Passes a request to the dispatcher, within its tick.

        The dispatcher ignores a request whose deadline has passed. HTTP requires a response to
        each request, so it is written here.
        """
        self.service.dispatcher.request_received(connection.client, request)
        if (
            connection.awaiting_id == request.id
            and request.id not in connection.client.pending_requests
        ):
            connection.write(protocol.Response(request.id, "deferred", 0.0, "the time is up"))

    def client_closed(self, connection: ClientProtocol) -> None:
        """Notifies the dispatcher that a client has closed its connection."""
        if connection.is_admitted:
            self.service.post(self.service.dispatcher.client_disconnected, connection.client)

    def connection_lost(self, connection: ClientProtocol) -> None:
        """Removes a connection that has ended."""
        self.connections.pop(connection, None)
        self.service.listeners.post(ConnectionClosed(connection.incoming.connection))
        self.client_closed(connection)
        self.service.post(connection.release)

    def drain(self) -> None:
        """Closes idle connections; the others close after the response to their request."""
        self.draining = True
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close_when_written()
