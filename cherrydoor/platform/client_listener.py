"""The platform's door: client connections, each a conversation, and the one event that is open on it."""

import asyncio

from cherrydoor.admission import decide as d
from cherrydoor.admission.chunked_reading import CHUNK_BYTES, ChunkedReading
from cherrydoor.codecs import invoke
from cherrydoor.gateway.dispatcher import ClientConnection
from cherrydoor.gateway.sockets import has_unread_input, peer_closed
from cherrydoor.protocol import messages as protocol

HANDLED, BAD, KNOWN, LOST, DEFERRED = 200, 400, 409, 502, 503
MOST_WAITING = 256 * 1024  # bytes that may wait for a client that does not read
LINGER = 0.25  # s for which a connection that is closed over unread input is read to its end


class ClientProtocol(ChunkedReading, asyncio.BaseProtocol):
    """A client connection, and the desk's `wire` to it."""

    def __init__(self, door, arrival):
        self.client_listener, self.arrival, self.chunk = door, arrival, door.chunk
        self.talk, self.transport, self.closing = invoke.Conversation(), None, False
        self.client = ClientConnection(self, has_closed=self.has_closed)
        self.waits, self.seated_once = None, False  # the id that an answer is owed for
        arrival.connection.open = self.client.open

    def connection_made(self, transport):
        self.arrival.end, self.transport = self, transport

    def data_received(self, data):
        if not self.closing:
            self.noted(self.talk.feed(data))
            self.holds(self.talk.held, False)

    def noted(self, note):
        if self.talk.reply:
            self.transport.write(self.talk.reply)
            self.talk.reply = b""
        if type(note) is invoke.Bad:
            self.client_listener.service.dispatcher.counters[f"bad calls: {note.status}"] += 1
            self.reply(note.status, note.reason, close=True)
        elif note is not None and self.client_listener.seat(self):
            self.client_listener.heard(self, note)

    def seated(self, largest):
        self.seated_once = True

    def write(self, message):
        """An answer of the desk's; where the gateway is leaving, the connection closes with its next answer."""
        if type(message) is not protocol.Response:
            return
        self.client_listener.answered(self)
        if message.outcome == "handled":
            self.reply(HANDLED, message.body)
        elif message.outcome == "deferred":
            self.reply(DEFERRED, message.reason, message.retry_after_ms)
        else:
            self.reply(LOST, message.reason)

    def reply(self, status, body, stay_away=0.0, close=False):
        """The one place where an answer goes out; what was pipelined behind it is taken up."""
        if self.closing or self.transport.is_closing():
            return
        body = body.encode() if isinstance(body, str) else body
        data, over = self.talk.answer(
            status,
            body,
            -int(-stay_away // 1) if stay_away else None,
            close or self.client_listener.leaving,
        )
        self.transport.write(data)
        self.arrival.connection.used = self.client_listener.service.clock.now()
        if over:
            return self.shut()
        if self.transport.get_write_buffer_size() > MOST_WAITING:
            return self.abort()
        if self.talk.held:
            self.client_listener.service.loop.call_soon(self.go_on)

    def go_on(self):
        """What was pipelined behind the answered event."""
        if not self.closing and not self.talk.open:
            self.data_received(b"")

    def has_closed(self):
        """Whether the client has closed, though that has not been read yet."""
        return self.closing or peer_closed(self.transport)

    def has_unread(self):
        return has_unread_input(self.transport)

    def shut(self):
        """Closes once all is written. Over unread input the kernel would answer with a reset that destroys what was
        written: then our side alone closes, and the client's is read to its end for a moment."""
        self.closing = True
        if self.talk.bad or not self.has_unread():
            self.transport.close()
        elif self.transport.can_write_eof():
            self.transport.write_eof()
            self.client_listener.service.loop.call_later(LINGER, self.transport.close)

    def close(self, reason="", stay_away=0.0):
        """Turned away by the doors: an answer where one can be given."""
        if reason:
            self.reply(DEFERRED, reason, stay_away, close=True)
        if not self.closing:
            self.shut()

    def abort(self, why=""):
        self.closing = True
        self.transport.abort()

    def eof_received(self):
        """The client waits no longer: told at once, as the connection's end itself is told a pass later."""
        self.client_listener.went(self)
        return False

    def connection_lost(self, error):
        self.closing = True
        self.client_listener.lost(self)

    def released(self):
        """Nothing points back here any more: what has ended is freed at once, and does not wait for a collection."""
        self.arrival.end = self.arrival.task = self.arrival.connection.wire = self.transport = None
        self.client.wire = self.arrival = None  # type: ignore[assignment]


class RecentRequestIds:
    """Ids of events taken within the last two spans, so that no id is taken twice while an answer, a launch or a host
    may still know it. Two sets take turns, and each is emptied when its span is over."""

    def __init__(self, span):
        self.span, self.since, self.new, self.old = span, 0.0, set(), set()

    def add(self, number, now):
        """True where the id is new."""
        if now - self.since > self.span:
            self.old = self.new if now - self.since < 2 * self.span else set()
            self.new, self.since = set(), now
        if number in self.new or number in self.old:
            return False
        self.new.add(number)
        return True


class ClientListener:
    """All client connections of a gateway. `ends` are open, `leaving` says that each closes with its next answer."""

    def __init__(self, service):
        self.service, self.ends, self.leaving = service, {}, False
        self.chunk = bytearray(
            CHUNK_BYTES
        )  # one for all: what is read is copied out before the next is read
        self.known = RecentRequestIds(2 * service.configuration.longest)

    def make(self, arrival):
        end = ClientProtocol(self, arrival)
        self.ends[end] = True
        return end

    def seat(self, end):
        """A client has said something whole: it has a place from now on, or is turned away."""
        if not end.seated_once:
            self.service.listeners.post(d.ClientIdentified(end.arrival.connection, ""))
            if end.seated_once:
                self.service.post(
                    self.service.dispatcher.client_connected,
                    end.client,
                    protocol.Hello(protocol.VERSION, "client", "", self.service.clock.now()),
                )
        return end.seated_once and not end.closing

    def heard(self, end, note):
        station, counts = self.service.configuration, self.service.dispatcher.counters
        if type(note) is invoke.Ping:
            ready = self.service.ready and not self.leaving
            return end.reply(HANDLED if ready else DEFERRED, "" if ready else "not ready")
        wrong = ""
        if note.kind not in self.service.dispatcher.router.settings.request_classes:
            wrong = "X-Class: no such event type"
        elif station.customers and note.customer not in station.customers:
            wrong = "X-Customer: no such customer"
        elif note.patience > station.patience:
            wrong = "X-Patience-Ms: longer than any event may take"
        if wrong:
            counts[f"bad calls: {wrong}"] += 1
            return end.reply(BAD, wrong, close=True)
        now = self.service.clock.now()
        if not self.known.add(note.id, now):
            counts["bad calls: a known id"] += 1
            return end.reply(KNOWN, "X-Call-Id: known already", close=True)
        extras = note.extras
        # A client sends as soon as the kernel has accepted it: what it waited for us until then is of its time.
        lasts, end.arrival.waited = max(1.0, note.patience - end.arrival.waited), 0.0
        event = protocol.Request(
            int(note.id, 16),
            note.kind,
            note.function,
            lasts,
            now,
            note.customer,
            note.idempotency_key,
            extras.get("lanes", 0.0),
            extras.get("load_ms", 0.0),
            note.body,
        )
        end.waits = event.id
        self.service.post(self.came, end, event)

    def came(self, end, event):
        """The desk takes no notice of an event whose time is over; here each is owed an answer."""
        self.service.dispatcher.request_received(end.client, event)
        if end.waits == event.id and event.id not in end.client.open:
            end.write(protocol.Response(event.id, "deferred", 0.0, "the time is up"))

    def answered(self, end):
        end.waits = None

    def went(self, end):
        if end.seated_once:
            self.service.post(self.service.dispatcher.client_disconnected, end.client)

    def lost(self, end):
        self.ends.pop(end, None)
        self.service.listeners.post(d.ConnectionClosed(end.arrival.connection))
        self.went(end)
        self.service.post(end.released)

    def leave(self):
        """Idle connections close; those with an open event do so with its answer."""
        self.leaving = True
        for end in list(self.ends):
            if not end.talk.open and not end.talk.held and not end.closing and not end.has_unread():
                end.shut()
