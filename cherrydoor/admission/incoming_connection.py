"""The I/O side of a client connection: first a bare socket, then a protocol on a transport."""

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

TLS_HANDSHAKE_TIMEOUT_S = 30.0  # beyond any time for a hello: the controller closes sooner
TLS_SHUTDOWN_TIMEOUT_S = 1.0
RETRY_AFTER_UNIT_MS = 10  # sent in whole units, so that few different rejections are encoded
DISCARDED_BYTES = 4096  # unread input that is read before a rejected socket is closed


@lru_cache(maxsize=256)
def rejection_bytes(reason: str, retry_after_ms: float) -> bytes:
    """The bytes of a rejection in our own protocol."""
    encoded: bytes = codec.encode(protocol.GoAway(reason, retry_after_ms))
    return encoded


class IncomingConnection:
    """The I/O side of an AdmittedConnection; it carries out the actions on it.

    Attributes:
        sock: The socket, until the protocol is made.
        end: The protocol, from connection_made on; it sets this itself.
        task: The task of the handshake.
        waited_ms: For how long at the most the connection waited to be accepted.
        connection: The connection as the controller has it.
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
        self.end: Any = None
        self.task: asyncio.Task[None] | None = None
        self.waited_ms = now - listener.since if listener.since is not None else 0.0
        self.connection = AdmittedConnection(address, now, self)

    def start_handshake(self) -> None:
        """Starts the handshake, or makes the protocol at once where there is none."""
        self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        """Puts the protocol on the socket; closes the socket where that fails."""
        sock = self.sock
        self.sock = None
        # start_handshake is called once, on a connection that is not closed
        assert sock is not None
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            context = self.listener.context() if self.listener.context else None
            timeouts = {}
            if context:
                timeouts["ssl_handshake_timeout"] = TLS_HANDSHAKE_TIMEOUT_S
                timeouts["ssl_shutdown_timeout"] = TLS_SHUTDOWN_TIMEOUT_S
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self.listener.make(self), sock, ssl=context, **timeouts
            )
        except (OSError, ssl.SSLError, TimeoutError) as error:
            sock.close()
            self.listeners.handshake_failed(self, error)
        except asyncio.CancelledError:
            sock.close()
            raise

    def admit(self, longest_frame_bytes: int) -> None:
        """The connection is admitted."""
        self.end.admitted(longest_frame_bytes)

    def refuse(self, reason: str, retry_after_ms: float) -> None:
        """Tells the client the reason where that can be done, and closes.

        What the client has sent is read first: a close over unread bytes makes the kernel answer
        with a reset, which would destroy the rejection on its way.
        """
        if self.end is not None:
            self.end.close(reason, retry_after_ms)
            return
        if self.task is not None:
            self.task.cancel()
        sock = self.sock
        self.sock = None
        if sock is None:
            return
        rounded_up_ms = -(-retry_after_ms // RETRY_AFTER_UNIT_MS) * float(RETRY_AFTER_UNIT_MS)
        try:
            sock.send(self.listener.rejection(reason, rounded_up_ms))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(DISCARDED_BYTES)
        except OSError:
            pass
        sock.close()

    def pause(self) -> None:
        """Reads nothing from the connection."""
        self.end.pause()

    def resume(self) -> None:
        """Reads from the connection again."""
        self.end.resume()
