"""Listening sockets: accept connections, and carry out the admission controller's actions."""

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

DESCRIPTOR_ERRNOS = {errno.EMFILE, errno.ENFILE}
RESOURCE_ERRNOS = DESCRIPTOR_ERRNOS | {errno.ENOBUFS, errno.ENOMEM}
MAX_ACCEPTS_PER_PASS = 8  # per event loop pass, so that a flood does not delay due timers
BACKLOG = 1024  # connections in the kernel's accept queue
REJECTION_LOG_INTERVAL_MS = 10_000  # between log lines with the same reason


class Clock(Protocol):
    """The gateway's clock."""

    def now(self) -> float:
        """Returns the time in ms."""


class Usage(Protocol):
    """The methods of ProcessUsage that a ListenerSet uses; the emulator has its own class."""

    def measure(self) -> UsageMeasured:
        """Returns the current resource usage."""

    def reserve_spare_descriptor(self) -> None:
        """Opens the spare descriptor if it is not held."""

    def release_spare_descriptor(self) -> bool:
        """Releases the spare descriptor; returns whether it was held."""


def log_to_structlog(event: str, **values: Any) -> None:
    """Writes one line to the structured log."""
    import structlog  # imported here, as a process with another log does not need it

    structlog.get_logger().info(event, **values)


class Listener:
    """One listening socket.

    Attributes:
        make_protocol: Makes the protocol of an IncomingConnection.
        tls_context: Returns the TLS context to use now; None if the listener has no TLS.
        encode_rejection: Returns the bytes of a rejection, given the reason and the retry-after
            time in ms.
        sock: The socket; None once it is closed.
        port: The port that it listens on.
        backlog_since_ms: Time in ms at which a pass first left connections waiting to be
            accepted; None once a pass leaves none.
    """

    def __init__(
        self,
        listeners: "ListenerSet",
        address: tuple[str, int],
        make_protocol: Callable[[IncomingConnection], asyncio.BaseProtocol],
        tls_context: Callable[[], ssl.SSLContext] | None = None,
        backlog: int = BACKLOG,
        encode_rejection: Callable[[str, float], bytes] = rejection_bytes,
    ) -> None:
        """Binds the address and starts to listen.

        Args:
            listeners: The set that this listener adds itself to.
            address: Host and port to bind; port 0 takes a free one.
            make_protocol: Makes the protocol of an IncomingConnection.
            tls_context: Returns the TLS context to use now; None for plain TCP.
            backlog: Length of the kernel's accept queue.
            encode_rejection: Returns the bytes of a rejection, given the reason and the
                retry-after time in ms.

        Raises:
            OSError: The address cannot be bound.
        """
        self.listeners = listeners
        self.make_protocol = make_protocol
        self.tls_context = tls_context
        self.encode_rejection = encode_rejection
        self.backlog_since_ms: float | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        host, port = address
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

    def ready(self, max_accepts: int = MAX_ACCEPTS_PER_PASS) -> None:
        """Accepts connections until none is left, accepting is paused or the maximum is reached."""
        for _ in range(max_accepts):
            if self._resume_timer is not None:
                return
            if not self._accept():
                self.backlog_since_ms = None
                return
        if not has_pending_connection(self.sock):
            self.backlog_since_ms = None
        elif self.backlog_since_ms is None:
            self.backlog_since_ms = self.listeners.clock.now()

    def _accept(self) -> bool:
        """Accepts one connection; returns False if there is none to accept."""
        listeners = self.listeners
        assert self.sock is not None  # its reader is removed before it is closed
        try:
            sock, peer = self.sock.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in RESOURCE_ERRNOS:
                listeners.post(DescriptorsExhausted(needed=False))
                return False
            return True  # that connection was closed before it was accepted
        sock.setblocking(False)
        address = peer[0].partition("%")[0]
        incoming = IncomingConnection(listeners, self, sock, address, listeners.clock.now())
        listeners.post(ConnectionAccepted(incoming.connection, self.tls_context is not None))
        return True

    def pause_accepting(self, duration_ms: float) -> None:
        """Stops accepting for this time; a pause in progress is not extended."""
        if self._resume_timer is None and self.sock is not None:
            self._loop.remove_reader(self.sock)
            self._resume_timer = self._loop.call_later(duration_ms / 1000, self._resume_accepting)

    def _resume_accepting(self) -> None:
        """Accepts connections again after a pause."""
        self._resume_timer = None
        if self.sock is not None:
            self.listeners.usage.reserve_spare_descriptor()
            self._loop.add_reader(self.sock, self.ready)

    def close(self) -> None:
        """Accepts what is in the kernel's accept queue, which closing would reset, then closes."""
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
        controller: Makes the decisions.
        listeners: The listening sockets; each adds itself.
        usage: Measures the resource usage of the process.
        timer: Timer of the next measurement.
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
        # By reason: when it was last logged, and the number of rejections since then.
        self._logged_reasons: dict[str, tuple[float, int]] = {}
        self.timer = self.loop.call_later(WINDOW_MS / 1000, self._end_window)

    def post(self, message: Message) -> None:
        """Passes a message to the controller, and carries out the actions that it returns."""
        for action in self.controller.take(self.clock.now(), message):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        """Dispatches an action to the connection or listeners that it is for."""
        match action:
            case StartHandshake():
                action.connection.handler.start_handshake()
            case Admit():
                action.connection.handler.admit(action.longest_frame_bytes)
            case Reject():
                self._log_rejection(action.reason, action.connection)
                action.connection.handler.refuse(action.reason, action.retry_after_ms)
            case PauseReading():
                action.connection.handler.pause()
            case ResumeReading():
                action.connection.handler.resume()
            case PauseAccepting():
                for listener in self.listeners:
                    listener.pause_accepting(action.duration_ms)

    def _end_window(self) -> None:
        """Measures usage, after the input that is ready has been read.

        A hello or a frame that has already arrived is then not timed out.
        """
        self.timer = self.loop.call_later(WINDOW_MS / 1000, self._end_window)
        after_input(self.loop, self._measure)

    def _measure(self) -> None:
        """Measures the resource usage, and posts it to the controller."""
        self.usage.reserve_spare_descriptor()
        self.post(self.usage.measure())

    def _log_rejection(self, reason: str, connection: AdmittedConnection) -> None:
        """Logs a reason at most once in ten seconds, with its number of rejections in between."""
        now = self.clock.now()
        logged_at_ms, count = self._logged_reasons.get(reason, (-1e18, 0))
        if now - logged_at_ms >= REJECTION_LOG_INTERVAL_MS:
            self.log("clients are refused", why=reason, address=connection.address, more=count)
            self._logged_reasons[reason] = now, 0
        else:
            self._logged_reasons[reason] = logged_at_ms, count + 1

    def handshake_failed(self, incoming: IncomingConnection, error: Exception) -> None:
        """Handles a connection whose handshake failed."""
        self.controller.count("handshakes failed")
        if getattr(error, "errno", None) in DESCRIPTOR_ERRNOS:
            self.post(DescriptorsExhausted(needed=False))
        self.post(ConnectionClosed(incoming.connection))
        incoming.release()

    def free_descriptor(self) -> None:
        """Frees a descriptor for an upstream connection that found none."""
        self.usage.release_spare_descriptor()
        self.post(DescriptorsExhausted(needed=True))

    def close(self) -> None:
        """Closes all listeners; connections stay open."""
        self.timer.cancel()
        for listener in self.listeners:
            listener.close()
