"""The sockets of admission: listens, accepts, and carries out the controller's actions."""

import asyncio
import errno
import socket
import ssl
from collections.abc import Callable
from typing import Any, Protocol

from cherrydoor.admission.connections import AdmittedConnection
from cherrydoor.admission.controller import AdmissionController
from cherrydoor.admission.fair_reading import WINDOW_MS
from cherrydoor.admission.incoming_connection import IncomingConnection, rejection_bytes
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.admission.messages import (
    Action,
    Admit,
    ConnectionAccepted,
    ConnectionClosed,
    DescriptorsExhausted,
    Message,
    PauseAccepting,
    PauseReading,
    Reject,
    ResumeReading,
    StartHandshake,
    UsageMeasured,
)
from cherrydoor.gateway.sockets import after_input, has_pending_connection

NO_DESCRIPTORS = {errno.EMFILE, errno.ENFILE}
NO_ROOM = NO_DESCRIPTORS | {errno.ENOBUFS, errno.ENOMEM}
ACCEPTED_AT_ONCE = 8  # in one pass of the loop: timers that are due are not kept waiting by a flood
BACKLOG = 1024  # connections that the kernel accepts for us until we do
SAME_REASON_LOGGED_AFTER_MS = 10_000


class Clock(Protocol):
    """The gateway's clock."""

    def now(self) -> float:
        """Time in ms."""


class Usage(Protocol):
    """What a ListenerSet asks of ProcessUsage, or of what stands for it in the emulator."""

    def measure(self) -> UsageMeasured:
        """What is in use now."""

    def reserve_spare_descriptor(self) -> None:
        """Takes a spare descriptor, if there is none."""

    def release_spare_descriptor(self) -> bool:
        """Releases the spare descriptor."""


def log_to_structlog(event: str, **values: Any) -> None:
    """Writes one line to the structured log."""
    import structlog  # here, as a process that has another log need not load it

    structlog.get_logger().info(event, **values)


class Listener:
    """One listening socket.

    Attributes:
        make: Gives the protocol for an IncomingConnection.
        context: Gives the TLS context to use now; None where the listener has no TLS.
        rejection: Gives the bytes of a rejection, from reason and retry-after in ms.
        sock: The socket; None once it is closed.
        port: The port that it listens on.
        since: Since when more wait to be accepted than one pass takes in, in ms; None
            where none do.
    """

    def __init__(
        self,
        listeners: "ListenerSet",
        where: tuple[str, int],
        make: Callable[[IncomingConnection], asyncio.BaseProtocol],
        context: Callable[[], ssl.SSLContext] | None = None,
        backlog: int = BACKLOG,
        word: Callable[[str, float], bytes] = rejection_bytes,
    ) -> None:
        """Listens at once.

        Raises:
            OSError: The address cannot be listened on.
        """
        self.listeners = listeners
        self.make = make
        self.context = context
        self.rejection = word
        self.since: float | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
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
        self.port: int = self.sock.getsockname()[1]
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self.sock, self.ready)
        listeners.listeners.append(self)

    def ready(self, most: int = ACCEPTED_AT_ONCE) -> None:
        """Accepts connections until none waits, the most is reached, or accepting is paused."""
        for _ in range(most):
            if self._resume_timer is not None:
                return
            if not self._accept():
                self.since = None
                return
        if not has_pending_connection(self.sock):
            self.since = None
        elif self.since is None:
            self.since = self.listeners.clock.now()

    def _accept(self) -> bool:
        """Accepts one connection; False where no other waits."""
        listeners = self.listeners
        assert self.sock is not None  # it is closed only once it is read no more
        try:
            sock, peer = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in NO_ROOM:
                listeners.post(DescriptorsExhausted(needed=False))
                return False
            return True  # it was gone before it was accepted
        sock.setblocking(False)
        address = peer[0].partition("%")[0]
        incoming = IncomingConnection(listeners, self, sock, address, listeners.clock.now())
        listeners.post(ConnectionAccepted(incoming.connection, self.context is not None))
        return True

    def pause_accepting(self, duration_ms: float) -> None:
        """Accepts nothing for so long; a pause that has begun is not made longer."""
        if self._resume_timer is None and self.sock is not None:
            self._loop.remove_reader(self.sock)
            self._resume_timer = self._loop.call_later(duration_ms / 1000, self._resume_accepting)

    def _resume_accepting(self) -> None:
        """The pause is over."""
        self._resume_timer = None
        if self.sock is not None:
            self.listeners.usage.reserve_spare_descriptor()
            self._loop.add_reader(self.sock, self.ready)

    def close(self) -> None:
        """Closes, once what the kernel has accepted is accepted: closing would reset that."""
        if self.sock is None:
            return
        self.ready(BACKLOG)
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        else:
            self._loop.remove_reader(self.sock)
        self.sock.close()
        self.sock = None


class ListenerSet:
    """The admission controller of one gateway with its listeners.

    Attributes:
        controller: Decides.
        listeners: The listening sockets; each adds itself.
        usage: What the process has in use.
        timer: Of the next measurement.
    """

    def __init__(
        self,
        client_limits: ClientLimits,
        clock: Clock,
        usage: Usage,
        log: Callable[..., None] = log_to_structlog,
    ) -> None:
        self.log = log
        self.controller = AdmissionController(client_limits, clock.now())
        self.clock = clock
        self.usage = usage
        self.listeners: list[Listener] = []
        self.loop = asyncio.get_running_loop()
        # For each reason: when it was logged last, and how many rejections there were since.
        self._logged_reasons: dict[str, tuple[float, int]] = {}
        self.timer = self.loop.call_later(WINDOW_MS / 1000, self._end_window)

    def post(self, message: Message) -> None:
        """Gives the controller a message, and carries out what it decides."""
        for action in self.controller.take(self.clock.now(), message):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        """The one place where actions find what they act on."""
        match action:
            case StartHandshake():
                action.connection.wire.start_handshake()
            case Admit():
                action.connection.wire.admit(action.longest_frame_bytes)
            case Reject():
                self._log_rejection(action.reason, action.connection)
                action.connection.wire.refuse(action.reason, action.retry_after_ms)
            case PauseReading():
                action.connection.wire.pause()
            case ResumeReading():
                action.connection.wire.resume()
            case PauseAccepting():
                for listener in self.listeners:
                    listener.pause_accepting(action.duration_ms)

    def _end_window(self) -> None:
        """Measures once all that is ready has been read: silent clients may have spoken."""
        self.timer = self.loop.call_later(WINDOW_MS / 1000, self._end_window)
        after_input(self.loop, self._measure)

    def _measure(self) -> None:
        """Posts what is in use."""
        self.usage.reserve_spare_descriptor()
        self.post(self.usage.measure())

    def _log_rejection(self, reason: str, connection: AdmittedConnection) -> None:
        """Logs each reason once in ten seconds, with how often it was given in between."""
        now = self.clock.now()
        logged_at_ms, count = self._logged_reasons.get(reason, (-1e18, 0))
        if now - logged_at_ms >= SAME_REASON_LOGGED_AFTER_MS:
            self.log("clients are refused", why=reason, address=connection.address, more=count)
            self._logged_reasons[reason] = now, 0
        else:
            self._logged_reasons[reason] = logged_at_ms, count + 1

    def handshake_failed(self, incoming: IncomingConnection, error: Exception) -> None:
        """A connection ended in its handshake."""
        self.controller.count("handshakes failed")
        if getattr(error, "errno", None) in NO_DESCRIPTORS:
            self.post(DescriptorsExhausted(needed=False))
        self.post(ConnectionClosed(incoming.connection))

    def needs_descriptor(self) -> None:
        """An upstream connection found no descriptor: one is freed for it."""
        self.usage.release_spare_descriptor()
        self.post(DescriptorsExhausted(needed=True))

    def close(self) -> None:
        """Closes all listeners; connections stay as they are."""
        self.timer.cancel()
        for listener in self.listeners:
            listener.close()
