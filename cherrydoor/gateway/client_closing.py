"""Closes client connections that may still have requests in flight or on their way."""

import asyncio
from typing import TYPE_CHECKING

from cherrydoor.connection import OrderedSet
from cherrydoor.protocol import messages as protocol
from cherrydoor.tls import messages as credentials

if TYPE_CHECKING:
    from cherrydoor.gateway.client_listener import ClientProtocol
    from cherrydoor.gateway.service import GatewayService

# Interval at which a connection with withdrawn credentials is checked; it is closed once idle.
IDLE_CHECK_INTERVAL_S = 0.1
# Silence after which such a connection is idle. It is longer than a message usually takes to
# arrive, because a request in transit is lost when the gateway closes the connection.
IDLE_AFTER_MS = 250.0
# Time after which such a connection is closed even if it is not idle, so that a client that never
# pauses cannot keep using a withdrawn credential.
MAX_WITHDRAWAL_S = 30.0
# Time for which a connection that admission control has closed waits for the responses to its
# requests in flight. It is longer than most deadlines; a stream has none.
MAX_RESPONSE_WAIT_S = 30.0
# Requests that clients sent before an incarnation ended are still read for this time, and rejected
# with a retry-after.
FINAL_READ_S = 0.05


class ClientClosing:
    """Closes the client connections of one gateway without losing responses that are owed.

    It keeps no table: a connection that waits to be closed is in the event loop's timers.
    """

    def __init__(
        self, service: "GatewayService", connections: OrderedSet["ClientProtocol"]
    ) -> None:
        """Closes connections among the listener's admitted ones."""
        self.service = service
        self.connections = connections

    def close_when_answered(
        self, client_connection: "ClientProtocol", reason: str, retry_after_ms: float
    ) -> None:
        """Closes a connection that admission control has closed, once its requests are answered.

        Args:
            client_connection: An admitted connection, whose input is dropped from now on.
            reason: Sent to the client.
            retry_after_ms: Sent with the reason.
        """
        until_s = asyncio.get_running_loop().time() + MAX_RESPONSE_WAIT_S
        # In the next tick, which first accepts the requests that have been read.
        self.service.post(
            self.close_if_answered, client_connection, reason, retry_after_ms, until_s
        )

    def close_if_answered(
        self,
        client_connection: "ClientProtocol",
        reason: str,
        retry_after_ms: float,
        until_s: float,
    ) -> None:
        """Closes a connection without requests in flight; otherwise checks again later.

        Args:
            client_connection: See `close_when_answered`.
            reason: Sent to the client.
            retry_after_ms: Sent with the reason.
            until_s: Event loop time at which the connection is closed in any case.
        """
        loop = asyncio.get_running_loop()
        if client_connection.client.pending_requests and loop.time() < until_s:
            loop.call_later(
                IDLE_CHECK_INTERVAL_S,
                self.close_if_answered,
                client_connection,
                reason,
                retry_after_ms,
                until_s,
            )
        else:
            client_connection.close(reason, retry_after_ms)

    def close_with_incarnation(
        self, client_connection: "ClientProtocol", reason: str, retry_after_ms: float
    ) -> None:
        """Closes a connection of an incarnation that has ended, after ``FINAL_READ_S``.

        Requests read until then were never accepted and are rejected with the same retry-after.
        """
        self.connections.discard(client_connection)
        self.service.tls.post(credentials.ConnectionClosed(client_connection))
        client_connection.retry_after_ms = retry_after_ms
        asyncio.get_running_loop().call_later(
            FINAL_READ_S, client_connection.close, reason, retry_after_ms
        )

    def withdraw(self, client_connection: "ClientProtocol", reason: str, immediately: bool) -> None:
        """Closes a connection whose certificate or token is no longer valid.

        Unless `immediately` is set, the client is notified that this connection is draining, and
        the connection is closed once it is idle.
        """
        if client_connection not in self.connections:
            return
        if immediately:
            self.close_withdrawn(client_connection, reason)
        else:
            withdrawn_at_s = asyncio.get_running_loop().time()
            client_connection.write(protocol.Draining(reason))
            self.close_when_idle(client_connection, reason, withdrawn_at_s)

    def close_when_idle(
        self, client_connection: "ClientProtocol", reason: str, withdrawn_at_s: float
    ) -> None:
        """Closes a connection if it is idle or its time is over; otherwise checks again later.

        Args:
            client_connection: Connection with withdrawn credentials; ignored if it has ended.
            reason: Sent to the client.
            withdrawn_at_s: Event loop time at which the client was notified.
        """
        if client_connection not in self.connections:
            return
        loop = asyncio.get_running_loop()
        clock = self.service.clock
        quiet_since_ms = max(
            client_connection.incoming.connection.used, 1000 * withdrawn_at_s + clock.offset_ms
        )
        idle = (
            not client_connection.client.pending_requests
            and clock.now() - quiet_since_ms > IDLE_AFTER_MS
        )
        if idle or loop.time() - withdrawn_at_s > MAX_WITHDRAWAL_S:
            self.close_withdrawn(client_connection, reason)
        else:
            loop.call_later(
                IDLE_CHECK_INTERVAL_S,
                self.close_when_idle,
                client_connection,
                reason,
                withdrawn_at_s,
            )

    def close_withdrawn(self, client_connection: "ClientProtocol", reason: str) -> None:
        """Counts and closes a connection whose credentials are withdrawn."""
        counters = self.service.dispatcher.counters
        counters["connections closed for withdrawn credentials"] += 1
        client_connection.close(reason)
