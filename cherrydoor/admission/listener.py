"""The sockets of admission: listening, accepting, turning away, and what the process has in use. Carries out, and
decides nothing: decide.py does."""

import asyncio
import errno
import socket
import ssl
from functools import lru_cache

from cherrydoor.admission import decide as d
from cherrydoor.gateway.sockets import after_input, has_pending_connection
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

NO_DESCRIPTORS = {errno.EMFILE, errno.ENFILE}
NO_ROOM = NO_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM}
AT_ONCE = 8  # accepted in one pass of the loop: what is due is then not kept waiting by a crowd
BACKLOG = 1024  # connections that the kernel accepts for us until we do


def logged(event, **said):
    import structlog  # here, as a process that has another log need not load it

    structlog.get_logger().info(event, **said)


@lru_cache(maxsize=256)
def rejection_bytes(reason, retry_after_ms):
    """The bytes of a refusal; the wait in whole 10 ms, upwards, so that few are made."""
    return codec.encode(protocol.GoAway(reason, retry_after_ms))


class IncomingConnection:
    """A connection on its way in: first a bare socket, then an end on a transport."""

    def __init__(self, listeners, listener, sock, address, now):
        self.listeners, self.listener, self.sock, self.end, self.task = (
            listeners,
            listener,
            sock,
            None,
            None,
        )
        self.waited = (
            now - listener.since if listener.since is not None else 0.0
        )  # ms to be accepted, at most
        self.connection = d.AdmittedConnection(address, now, self)

    def let_in(self):
        self.task = asyncio.get_running_loop().create_task(self.join())

    async def join(self):
        sock, self.sock = self.sock, None
        listener = self.listener
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            context = listener.context() if listener.context else None
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: listener.make(self),
                sock,
                ssl=context,
                **({"ssl_handshake_timeout": 30.0, "ssl_shutdown_timeout": 1.0} if context else {}),
            )
        except (OSError, ssl.SSLError, TimeoutError) as error:
            sock.close()
            self.listeners.handshake_failed(self, error)
        except asyncio.CancelledError:
            sock.close()
            raise

    def seat(self, largest):
        self.end.seated(largest)

    def refuse(self, word, retry_after_ms):
        """Tells it if it can be told, and closes. What it has sent is read first: a close over unread bytes would
        throw away what it was told."""
        if self.end is not None:
            return self.end.close(word, retry_after_ms)
        if self.task is not None:
            self.task.cancel()
        sock, self.sock = self.sock, None
        if sock is not None:
            try:
                sock.send(self.listener.word_of(word, -(-retry_after_ms // 10) * 10.0))
                sock.shutdown(socket.SHUT_WR)
                sock.recv(4096)
            except OSError:
                pass
            sock.close()

    def pause(self):
        self.end.pause()

    def resume(self):
        self.end.resume()


class Listener:
    """One listening socket. make(arrival) gives the protocol; context() the TLS to use now, or None is in its place;
    word(reason, stay_away) the bytes of a refusal."""

    def __init__(self, listeners, where, make, context=None, backlog=BACKLOG, word=rejection_bytes):
        self.listeners, self.make, self.context, self.resting, self.word_of = (
            listeners,
            make,
            context,
            None,
            word,
        )
        self.since = None  # since when more wait to be accepted than one pass takes in
        host, port = where
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock: socket.socket | None = socket.socket(family, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind((host, port))
            self.sock.listen(backlog)
        except OSError:
            self.sock.close()
            raise
        self.port = self.sock.getsockname()[1]
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.sock, self.ready)
        listeners.listeners.append(self)

    def ready(self, most=AT_ONCE):
        for _ in range(most):
            if self.resting is not None:
                return
            if not self.accept():
                self.since = None
                return
        if not has_pending_connection(self.sock):
            self.since = None
        elif self.since is None:
            self.since = self.listeners.clock.now()

    def accept(self):
        """Takes in one connection; whether another may wait."""
        listeners = self.listeners
        try:
            sock, peer = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in NO_ROOM:
                listeners.post(d.DescriptorsExhausted(False))
                return False
            return True  # it was gone before it was accepted
        sock.setblocking(False)
        arrival = IncomingConnection(
            listeners, self, sock, peer[0].partition("%")[0], listeners.clock.now()
        )
        listeners.post(d.ConnectionAccepted(arrival.connection, self.context is not None))
        return True

    def rest(self, span):
        if self.resting is None and self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.resting = self.loop.call_later(span / 1000, self.wake)

    def wake(self):
        self.resting = None
        if self.sock is not None:
            self.listeners.uses.take_back()
            self.loop.add_reader(self.sock, self.ready)

    def close(self):
        """Takes in first what the kernel has accepted: closing would reset those connections under their requests."""
        if self.sock is not None:
            self.ready(BACKLOG)
            if self.resting is not None:
                self.resting.cancel()
            else:
                self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None


class ListenerSet:
    """One gateway's guard with its listeners. close() ends all."""

    def __init__(self, client_limits, clock, uses, log=logged):
        self.log = log
        self.controller, self.clock, self.uses, self.listeners = (
            d.AdmissionController(client_limits, clock.now()),
            clock,
            uses,
            [],
        )
        self.loop, self.said = asyncio.get_running_loop(), {}
        self.carry = {
            d.StartHandshake: self.let_in,
            d.Admit: self.seat,
            d.Reject: self.refuse,
            d.PauseReading: self.pause,
            d.ResumeReading: self.resume,
            d.PauseAccepting: self.rest,
        }
        self.timer = self.loop.call_later(d.FLOW_WINDOW / 1000, self.window)

    def post(self, note):
        for action in self.controller.take(self.clock.now(), note):
            self.carry[type(action)](action)

    def window(self):
        """What is late is judged once all that is ready has been read: after a stall the silent may have spoken."""
        self.timer = self.loop.call_later(d.FLOW_WINDOW / 1000, self.window)
        after_input(self.loop, self.judge)

    def judge(self):
        self.uses.take_back()
        self.post(self.uses.measure())

    def let_in(self, action):
        action.connection.wire.let_in()

    def seat(self, action):
        action.connection.wire.seat(action.largest)

    def refuse(self, action):
        self.tell(action.word, action.connection.address)
        action.connection.wire.refuse(action.word, action.retry_after_ms)

    def tell(self, word, address):
        """Each word is logged once in ten seconds, with how often it was said in between."""
        now = self.clock.now()
        at, count = self.said.get(word, (-1e18, 0))
        if now - at >= 10000:
            self.log("clients are refused", why=word, address=address, more=count)
            at, count = now, -1
        self.said[word] = at, count + 1

    def pause(self, action):
        action.connection.wire.pause()

    def resume(self, action):
        action.connection.wire.resume()

    def rest(self, action):
        for listener in self.listeners:
            listener.rest(action.span)

    def handshake_failed(self, arrival, error):
        self.controller.count("handshakes failed")
        if getattr(error, "errno", None) in NO_DESCRIPTORS:
            self.post(d.DescriptorsExhausted(False))
        self.post(d.ConnectionClosed(arrival.connection))

    def needs_descriptor(self):
        """A host connection found none: a stranger is closed for it, and the spare one is let go."""
        self.uses.let_go()
        self.post(d.DescriptorsExhausted(True))

    def close(self):
        self.timer.cancel()
        for listener in self.listeners:
            listener.close()
