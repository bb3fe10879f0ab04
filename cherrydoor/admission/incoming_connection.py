"""The I/O side of a client connection: a bare socket at first, then a protocol on a transport."""

from __future__ import annotations

import asyncio
import socket
import ssl
from functools import lru_cache
from typing import TYPE_CHECKING, Any

from cherrydoor.admission.connections import AdmittedConnection
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

if TYPE_CHECKING:
    from cherrydoor.admission.listener import Listener, ListenerSet

TLS_HANDSHAKE_TIMEOUT_S = 30.0  # above any hello timeout, by which the controller closes sooner
TLS_SHUTDOWN_TIMEOUT_S = 1.0
# The retry-after time that is sent is rounded up to a multiple of this, so that the cache of
# encoded rejections is hit more often.
RETRY_AFTER_UNIT_MS = 10
MAX_DISCARDED_BYTES = 4096  # of unread input, read before a rejected socket is closed


@lru_cache(maxsize=256)
def rejection_bytes(reason: str, retry_after_ms: float) -> bytes:
    """Returns a rejection as a frame of this project's own protocol."""
    encoded: bytes = codec.encode(protocol.GoAway(reason, retry_after_ms))
    return encoded


class IncomingConnection:
    """The I/O side of an AdmittedConnection; it carries out the controller's actions.

    Attributes:
        sock: The socket; None once the handshake starts or the connection is closed.
        protocol: The protocol, from protocol_made() on; None until then.
        handshake_task: The task that runs the handshake; None until it starts.
        early_refusal: The refusal that came before the protocol was made; None without one.
        waited_ms: Upper bound of the time that it waited to be accepted.
        connection: The connection in the controller's tables.
    """

    def __init__(
        self,
        listeners: ListenerSet,
        listener: Listener,
        sock: socket.socket,
        address: str,
        now: float,
    ) -> None:
        self.listeners = listeners
        self.listener = listener
        self.sock: socket.socket | None = sock
        self.protocol: Any = None
        self.handshake_task: asyncio.Task[None] | None = None
        self.early_refusal: tuple[str, float] | None = None
        self.waited_ms = (
            now - listener.backlog_since_ms if listener.backlog_since_ms is not None else 0.0
        )
        self.connection = AdmittedConnection(address, now, self)

    def start_handshake(self) -> None:
        """Starts the TLS handshake, or makes the protocol directly if the listener has no TLS."""
        self.handshake_task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        """Makes the protocol on the socket; closes the socket if that fails."""
        sock = self.sock
        self.sock = None
        # start_handshake() is called once, and not after refuse() has closed the socket.
        assert sock is not None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tls_context = self.listener.tls_context() if self.listener.tls_context else None
            timeouts = {}
            if tls_context:
                timeouts["ssl_handshake_timeout"] = TLS_HANDSHAKE_TIMEOUT_S
                timeouts["ssl_shutdown_timeout"] = TLS_SHUTDOWN_TIMEOUT_S
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self.listener.make_protocol(self), sock, ssl=tls_context, **timeouts
            )
        except (OSError, ssl.SSLError, TimeoutError) as error:
            sock.close()
            self.listeners.handshake_failed(self, error)
        except asyncio.CancelledError:
            sock.close()
            raise

    def protocol_made(self, protocol: Any) -> None:
        """Records the protocol, whose transport is open, and closes it if it was refused before."""
        self.protocol = protocol
        if self.early_refusal is not None:
            protocol.close(*self.early_refusal)

    def admit(self, longest_frame_bytes: int) -> None:
        """Tells the protocol that the connection is admitted."""
        self.protocol.admitted(longest_frame_bytes)

    def refuse(self, reason: str, retry_after_ms: float) -> None:
        """Sends the client the reason if possible, and closes the connection.

        What the client has sent is read before the close: if a socket is closed with unread input,
        the kernel sends a reset, and the client may lose the rejection.

        Without TLS a protocol that is being made is closed as soon as it is made, in the event
        loop's next pass. If the making were cancelled, uvloop would call its connection_made() with
        a closed transport and never its connection_lost(). With TLS it may take long.
        """
        if self.protocol is not None:
            self.protocol.close(reason, retry_after_ms)
            return
        if self.handshake_task is not None:
            if self.listener.tls_context is None:
                self.early_refusal = reason, retry_after_ms
                return
            self.handshake_task.cancel()
        sock = self.sock
        self.sock = None
        self.release()
        if sock is None:
            return
        rounded_up_ms = -(-retry_after_ms // RETRY_AFTER_UNIT_MS) * float(RETRY_AFTER_UNIT_MS)
        try:
            sock.send(self.listener.encode_rejection(reason, rounded_up_ms))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(MAX_DISCARDED_BYTES)
        except OSError:
            pass
        sock.close()

    def release(self) -> None:
        """Clears reference cycles once the connection has ended and admission has forgotten it."""
        self.protocol = None
        self.handshake_task = None
        self.connection.handler = None

    def pause(self) -> None:
        """Stops reading from the connection."""
        self.protocol.pause()

    def resume(self) -> None:
        """Resumes reading from the connection."""
        self.protocol.resume()
