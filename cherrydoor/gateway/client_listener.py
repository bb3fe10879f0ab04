"""The door of one gateway: clients' connections, their hellos and what is read from them."""

import asyncio

import structlog

from cherrydoor.admission import decide as d
from cherrydoor.admission.chunked_reading import CHUNK_BYTES, ChunkedReading
from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.gateway.dispatcher import ClientConnection
from cherrydoor.gateway.sockets import peer_closed
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import decide as k
from cherrydoor.tls.keeper import NotProved

log = structlog.get_logger()

HELLO = 8192  # bytes of the longest hello that is read
EASE, LONGEST_EASE = (
    0.1,
    30.0,
)  # s between looks at whether a connection that is to end has anything open
UNREAD = 0.05  # s in which what had come before a life was over is read
QUIET = 250.0  # ms without a word from a client before its connection is closed on it


class ClientProtocol(ChunkedReading, FramedConnection):
    """A client at the door: at first only a short hello is read from it."""

    def __init__(self, service, arrival):
        super().__init__(
            service.client_listener,
            custody.FROM_CLIENT,
            service.hello,
            service.bounds.client_bytes,
            HELLO,
        )
        self.reader.halts, self.arrival, self.chunk = True, arrival, bytearray(CHUNK_BYTES)
        self.client, self.stay = ClientConnection(self, has_closed=self.has_closed), None
        arrival.connection.open = self.client.open

    def connection_made(self, transport):
        self.arrival.end = self  # from now on it can be told why it is refused
        super().connection_made(transport)

    def has_closed(self):
        """Whether the client has closed, though that has not been read yet."""
        return peer_closed(self.transport)

    def data_received(self, data):
        heard = self.take(data)
        if (
            heard
            and self.reader.held
            and self.arrival.connection.state == "seated"
            and not self.reader.fault
        ):
            heard += self.take(b"")  # what came along with the hello
        self.holds(len(self.reader.held), heard)

    def seated(self, largest):
        self.reader.largest = min(largest, self.owner.service.bounds.frame)
        self.owner.seated(self)


class ClientListener:
    def __init__(self, service):
        self.service, self.ends = service, OrderedSet()

    def greeted(self, end, hello):
        service = self.service
        if hello.role != "client":
            return end.close(f"a client is expected here, not a {hello.role}")
        try:
            office, proof = service.tls.identify(end.transport, hello.token)
        except NotProved as error:
            service.listeners.controller.count(
                "not proved"
            )  # not the word itself: it may hold what a client wrote
            return end.close(str(error), 1000.0)
        end.proof = proof
        service.listeners.post(d.ClientIdentified(end.arrival.connection, office))

    def seated(self, end):
        self.ends.add(end)
        self.service.tls.post(k.Joined(end, **end.proof))
        self.service.post(self.service.dispatcher.client_connected, end.client, end.reader.hello)

    def heard(self, end, message):
        service = self.service
        if end not in self.ends:
            if end.stay is not None and type(message) is protocol.Request:
                service.unread(end.client, message, end.stay)
            return
        if type(message) is protocol.Request:
            service.post(service.dispatcher.request_received, end.client, message)
            caller = end.arrival.connection
            group = caller.group
            group.read += 1
            if group.allowed is not None and group.read >= group.allowed and not group.paused:
                service.listeners.post(d.ReadQuotaExceeded(caller))
        elif type(message) is protocol.CancelRequest:
            service.post(service.dispatcher.request_withdrawn, end.client, message.id)
        elif service.peer_services:
            service.peer_services.reclaim(end, message)
        else:
            end.write(custody.ResponseUnknown(message.id, "this gateway is alone"))

    def let_go(self, end, why, stay):
        """Ends a connection of a life that is over: what is still read on it was never taken, and is deferred."""
        self.ends.discard(end)
        self.service.tls.post(k.Left(end))
        end.stay = stay
        asyncio.get_running_loop().call_later(UNREAD, end.close, why, stay)

    def put_out(self, end, why, at_once, since=None):
        """Ends a connection whose keys are out of service. Unless at once the client is told to go elsewhere, and it
        is closed when nothing is open on it and nothing has come for a while: what is under way to us while we close
        would be cut off untaken."""
        loop = asyncio.get_running_loop()
        if end not in self.ends:
            return
        if since is None:
            since = loop.time()
            if not at_once:
                end.write(protocol.Draining(why))
        quiet = (
            self.service.clock.now()
            - max(end.arrival.connection.used, 1000 * since + self.service.clock.ahead)
            > QUIET
        )
        if at_once or not end.client.open and quiet or loop.time() - since > LONGEST_EASE:
            self.service.dispatcher.counters["connections put out"] += 1
            end.close(why)
        else:
            loop.call_later(EASE, self.put_out, end, why, False, since)

    def lost(self, end):
        self.service.listeners.post(d.ConnectionClosed(end.arrival.connection))
        if end in self.ends:
            self.ends.discard(end)
            self.service.tls.post(k.Left(end))
            self.service.post(self.service.dispatcher.client_disconnected, end.client)
        if end.why and not end.why.startswith("[Errno"):
            log.info("a client's connection was closed", client=end.client.name, why=end.why)
