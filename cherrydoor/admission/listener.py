"""The sockets of admission: listening, accepting, turning away, and what the process has in use. Carries out, and
decides nothing: decide.py does."""

import asyncio
import errno
import os
import resource
import socket
import ssl
import time
from functools import lru_cache
from typing import Any

from cherrydoor.admission import decide as d
from cherrydoor.frames import codec
from cherrydoor.frames import messages as m
from cherrydoor.gateway.sockets import after_input, has_pending_connection

NO_DESCRIPTORS = {errno.EMFILE, errno.ENFILE}
NO_ROOM = NO_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM}
AT_ONCE = 8                 # accepted in one pass of the loop: what is due is then not kept waiting by a crowd
BACKLOG = 1024              # connections that the kernel accepts for us until we do
CHUNK = 16 * 1024           # bytes read from one client in one pass, so that all have their turn


def logged(event, **said):
    import structlog  # here, as a process that has another log need not load it
    structlog.get_logger().info(event, **said)


@lru_cache(maxsize=256)
def word_of(reason, stay_away):
    """The bytes of a refusal; the wait in whole 10 ms, upwards, so that few are made."""
    return codec.encode(m.Fault(reason, stay_away))


class Uses:
    """What this process has in use, measured: descriptors, memory, the core. One for all gateways of a process.

    A descriptor is held spare, to be let go where one is missing for a host."""

    def __init__(self, memory=2 * 2**30):
        self.memory, self.page = memory, os.sysconf("SC_PAGE_SIZE")
        self.spare: int | None = os.open(os.devnull, os.O_RDONLY)
        self.limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.files = {name: self.opened(f"/proc/thread-self/{name}") for name in ("schedstat", "statm")}
        self.at, self.ran, self.last, self.counted, self.descriptors = time.monotonic(), self.core(), None, 0.0, 0

    def opened(self, path):
        try:
            return os.open(path, os.O_RDONLY)
        except OSError:
            return None

    def used(self):
        """Descriptors open now; the limit where even that cannot be found out."""
        try:
            return len(os.listdir("/proc/self/fd")) - 1
        except OSError:
            return self.limit

    def core(self):
        """Seconds that this thread ran or waited for a core, by the system's own count where it has one."""
        if self.files.get("schedstat") is not None:
            ran, waited, _ = os.pread(self.files["schedstat"], 64, 0).split()
            return (int(ran) + int(waited)) / 1e9
        return time.thread_time()

    def measure(self):
        """A note for the guard; those who ask within the same moment get the same one."""
        t = time.monotonic()
        if self.last is not None and t - self.at < 0.05:
            return self.last
        ran = self.core()
        busy = min(1.0, (ran - self.ran) / max(1e-3, t - self.at))
        self.at, self.ran = t, ran
        if t - self.counted > 0.5:
            self.counted, self.descriptors = t, self.used()
        self.last = d.Measured(self.descriptors / self.limit, self.measure_held() / self.memory, busy)
        return self.last

    def measure_held(self):
        """Bytes of memory; 0 where the system does not tell."""
        if self.files.get("statm") is None:
            return 0
        return int(os.pread(self.files["statm"], 128, 0).split()[1]) * self.page

    def let_go(self):
        """The spare one, if it is still held; True where there was one to give."""
        if self.spare is None:
            return False
        os.close(self.spare)
        self.spare = None
        return True

    def take_back(self):
        if self.spare is None:
            try:
                self.spare = os.open(os.devnull, os.O_RDONLY)
            except OSError:
                pass

    def close(self):
        self.let_go()
        for name, number in self.files.items():
            if number is not None:
                os.close(number)
            self.files[name] = None


class Arrival:
    """A connection on its way in: first a bare socket, then an end on a transport."""

    def __init__(self, hall, listener, sock, address, now):
        self.hall, self.listener, self.sock, self.end, self.task = hall, listener, sock, None, None
        self.waited = now - listener.since if listener.since is not None else 0.0   # ms to be accepted, at most
        self.caller = d.Caller(address, now, self)

    def let_in(self):
        self.task = asyncio.get_running_loop().create_task(self.join())

    async def join(self):
        sock, self.sock = self.sock, None
        listener = self.listener
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            context = listener.context() if listener.context else None
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: listener.make(self), sock, ssl=context,
                **({"ssl_handshake_timeout": 30.0, "ssl_shutdown_timeout": 1.0} if context else {}))
        except (OSError, ssl.SSLError, TimeoutError) as error:
            sock.close()
            self.hall.handshake_failed(self, error)
        except asyncio.CancelledError:
            sock.close()
            raise

    def seat(self, largest):
        self.end.seated(largest)

    def refuse(self, word, stay_away):
        """Tells it if it can be told, and closes. What it has sent is read first: a close over unread bytes would
        throw away what it was told."""
        if self.end is not None:
            return self.end.close(word, stay_away)
        if self.task is not None:
            self.task.cancel()
        sock, self.sock = self.sock, None
        if sock is not None:
            try:
                sock.send(self.listener.word_of(word, -(-stay_away // 10) * 10.0))
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

    def __init__(self, hall, where, make, context=None, backlog=BACKLOG, word=word_of):
        self.hall, self.make, self.context, self.resting, self.word_of = hall, make, context, None, word
        self.since = None           # since when more wait to be accepted than one pass takes in
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
        hall.listeners.append(self)

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
            self.since = self.hall.clock.now()

    def accept(self):
        """Takes in one connection; whether another may wait."""
        hall = self.hall
        try:
            sock, peer = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in NO_ROOM:
                hall.post(d.Exhausted(False))
                return False
            return True         # it was gone before it was accepted
        sock.setblocking(False)
        arrival = Arrival(hall, self, sock, peer[0].partition("%")[0], hall.clock.now())
        hall.post(d.Knock(arrival.caller, self.context is not None))
        return True

    def rest(self, span):
        if self.resting is None and self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.resting = self.loop.call_later(span / 1000, self.wake)

    def wake(self):
        self.resting = None
        if self.sock is not None:
            self.hall.uses.take_back()
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


class Hall:
    """One gateway's guard with its listeners. close() ends all."""

    def __init__(self, manners, clock, uses, log=logged):
        self.log = log
        self.guard, self.clock, self.uses, self.listeners = d.Guard(manners, clock.now()), clock, uses, []
        self.loop, self.said = asyncio.get_running_loop(), {}
        self.carry = {d.LetIn: self.let_in, d.Seat: self.seat, d.Refuse: self.refuse, d.Pause: self.pause,
                      d.Resume: self.resume, d.Rest: self.rest}
        self.timer = self.loop.call_later(d.FLOW_WINDOW / 1000, self.window)

    def post(self, note):
        for action in self.guard.take(self.clock.now(), note):
            self.carry[type(action)](action)

    def window(self):
        """What is late is judged once all that is ready has been read: after a stall the silent may have spoken."""
        self.timer = self.loop.call_later(d.FLOW_WINDOW / 1000, self.window)
        after_input(self.loop, self.judge)

    def judge(self):
        self.uses.take_back()
        self.post(self.uses.measure())

    def let_in(self, action):
        action.caller.wire.let_in()

    def seat(self, action):
        action.caller.wire.seat(action.largest)

    def refuse(self, action):
        self.tell(action.word, action.caller.address)
        action.caller.wire.refuse(action.word, action.stay_away)

    def tell(self, word, address):
        """Each word is logged once in ten seconds, with how often it was said in between."""
        now = self.clock.now()
        at, count = self.said.get(word, (-1e18, 0))
        if now - at >= 10000:
            self.log("clients are refused", why=word, address=address, more=count)
            at, count = now, -1
        self.said[word] = at, count + 1

    def pause(self, action):
        action.caller.wire.pause()

    def resume(self, action):
        action.caller.wire.resume()

    def rest(self, action):
        for listener in self.listeners:
            listener.rest(action.span)

    def handshake_failed(self, arrival, error):
        self.guard.count("handshakes failed")
        if getattr(error, "errno", None) in NO_DESCRIPTORS:
            self.post(d.Exhausted(False))
        self.post(d.Gone(arrival.caller))

    def needs_descriptor(self):
        """A host connection found none: a stranger is closed for it, and the spare one is let go."""
        self.uses.let_go()
        self.post(d.Exhausted(True))

    def close(self):
        self.timer.cancel()
        for listener in self.listeners:
            listener.close()


class Read(asyncio.BaseProtocol):
    """What an end that was let in shares, on a protocol that reads in chunks. A subclass has `arrival` and take(data),
    which gives how many bytes of an unfinished frame are held."""
    arrival: Arrival
    chunk: bytearray
    transport: Any
    resting = False

    def data_received(self, data):
        raise NotImplementedError

    def get_buffer(self, hint):
        return memoryview(self.chunk)

    def buffer_updated(self, count):
        caller = self.arrival.caller
        self.data_received(bytes(memoryview(self.chunk)[:count]))
        caller.used = self.arrival.hall.clock.now()

    def holds(self, size, finished):
        """Keeps count of what is unfinished; the guard is told where the group holds too much."""
        caller = self.arrival.caller
        if size and (finished or not caller.partial):
            caller.partial = self.arrival.hall.clock.now()
        elif not size:
            caller.partial = 0.0
        group = caller.group
        if group is not None:
            more, caller.held = size - caller.held, size
            if more and group.holds(more) and more > 0:
                self.arrival.hall.post(d.Swollen(caller))

    def pause(self):
        if not self.resting and not self.transport.is_closing():
            self.resting = True
            self.transport.pause_reading()

    def resume(self):
        if self.resting and not self.transport.is_closing():
            self.resting = False
            self.transport.resume_reading()
