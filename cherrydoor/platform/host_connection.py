"""One connection to a host of the platform: messages go out as commands, replies come in."""

import asyncio
from typing import TYPE_CHECKING, Any

from cherrydoor.admission.work_per_tick import MAX_UNASKED_REPLIES, REPLIES_AT_ONCE
from cherrydoor.codecs import resp
from cherrydoor.dialing import DialedProtocol
from cherrydoor.gateway.sockets import after_input, peer_closed
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

if TYPE_CHECKING:
    from cherrydoor.platform.upstream import Upstream

WRITE_BUFFER_MAX_BYTES = 4 << 20  # buffered for a host that does not read
# How long an incomplete reply may go without further bytes. Without it, attempts would wait in vain
# for a host that stops in the middle of a reply. The cost is that a host which only stalls for this
# time loses the connection and its attempts.
REPLY_REST_TIMEOUT_S = 0.25
OUTCOMES: dict[str, Any] = {
    resp.DONE: routing.AttemptOutcome.SUCCEEDED,
    resp.MISSING: routing.AttemptOutcome.FUNCTION_MISSING,
    resp.FULL: routing.AttemptOutcome.FULL,
    resp.BROKE: routing.AttemptOutcome.ERROR,
    resp.PAST: routing.AttemptOutcome.NOT_SENT,
}
HEALTH_OUTCOMES: dict[str, Any] = {
    resp.FIT: routing.AttemptOutcome.SUCCEEDED,
    resp.UNFIT: routing.AttemptOutcome.ERROR,
}
# First letters of the wire ids of health checks and load orders; ids of attempts are hex digits.
HEALTH_TAG, LOAD_ORDER_TAG = "p", "o"


class HostProtocol(DialedProtocol, asyncio.Protocol):
    """One connection to a host.

    Args:
        upstream: Owner of all connections to hosts.
        link: The dispatcher's record of this connection.

    Attributes:
        attempts: Numbers of the attempts in flight, by their ids on the wire. An entry is removed
            with the attempt's reply or cancellation.
        checks_in_flight: Health checks and load orders that were sent and have no reply yet.
        unasked_replies: Replies to nothing in flight, since the last command or expected reply.
    """

    def __init__(self, upstream: "Upstream", link: Any) -> None:
        self.upstream = upstream
        self.link = link
        self.reader = resp.Reader()
        self.attempts: dict[str, int] = {}
        self.checks_in_flight = 0
        self.unasked_replies = 0
        self.rest_timer: asyncio.TimerHandle | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notifies the dispatcher that the connection can be used."""
        if self.abandoned:
            return
        self.transport = transport
        self.upstream.connections[self] = True
        self.upstream.service.post(self.opened)

    def opened(self) -> None:
        """Notifies the dispatcher, within its tick, unless connecting has timed out meanwhile.

        An abandoned connection leaves the table here, as its connection_lost() is never called.
        """
        if self.abandoned:
            self.upstream.connections.pop(self, None)
        else:
            self.upstream.service.dispatcher.connection_opened(self.link, self)

    def write(self, message: Any) -> None:
        """Sends a message of the dispatcher.

        An idle connection is first checked for a close by the host. Nothing has been written
        then, so the message is reported as not sent. After a write it may have run.
        """
        if self.transport.is_closing() or not self.attempts and peer_closed(self.transport):
            if type(message) is not protocol.CancelAttempt:
                service = self.upstream.service
                service.post(service.dispatcher.message_not_sent, self.link, message.id)
            return
        data = self.encode(message)
        if data is None:
            return
        self.upstream.count_traffic(self.link.host.id, type(message).__name__)
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            self.upstream.fail_connection(self, "the host reads too slowly")

    def encode(self, message: Any) -> bytes | None:
        """Returns the command for a message; None for cancelling an attempt that has ended."""
        kind = type(message)
        self.unasked_replies = 0
        command: bytes
        if kind is protocol.Attempt:
            wire_id = f"{message.request_id:016x}"
            self.attempts[wire_id] = message.id
            command = resp.execute(
                wire_id,
                message.request_class,
                message.function,
                message.timeout_ms,
                message.body,
                message.idempotency_key,
            )
            return command
        if kind is protocol.CancelAttempt:
            for wire_id, number in self.attempts.items():
                if number == message.id:
                    del self.attempts[wire_id]
                    command = resp.drop(wire_id)
                    return command
            return None
        if kind in (protocol.HealthCheck, protocol.LoadOrder):
            self.checks_in_flight += 1
        if kind is protocol.HealthCheck:
            command = resp.health(f"{HEALTH_TAG}{message.id}")
            return command
        if kind is protocol.LoadOrder:
            command = resp.ensure(f"{LOAD_ORDER_TAG}{message.id}", message.function, message.copies)
            return command
        if kind is protocol.Unload:
            command = resp.release(message.function)
            return command
        raise TypeError(f"no command for {message!r}")

    def data_received(self, data: bytes) -> None:
        """Handles complete replies, and starts a timeout for the rest of an incomplete one."""
        replies = self.reader.feed(data, REPLIES_AT_ONCE)
        while replies:
            for reply in replies:
                self.reply_received(reply)
            if self.unasked_replies > MAX_UNASKED_REPLIES:
                self.reader.fail("the host sends replies to nothing in flight")
            replies = self.reader.feed(b"", REPLIES_AT_ONCE)
        if self.reader.failure_reason:
            self.upstream.fail_connection(self, self.reader.failure_reason)
        elif self.reader.buffer and self.rest_timer is None:
            self.wait_for_rest()
        elif not self.reader.buffer and self.rest_timer is not None:
            self.rest_timer.cancel()
            self.rest_timer = None

    def wait_for_rest(self) -> None:
        """Starts the timeout within which more of an incomplete reply has to arrive."""
        loop = self.upstream.service.loop
        size = len(self.reader.buffer)
        self.rest_timer = loop.call_later(
            REPLY_REST_TIMEOUT_S, after_input, loop, self.rest_timed_out, size
        )

    def rest_timed_out(self, size_before: int) -> None:
        """Fails the connection if nothing more has arrived; otherwise restarts the timeout.

        Args:
            size_before: Bytes of the reply that were buffered when the timeout started.
        """
        self.rest_timer = None
        if self.reader.buffer and len(self.reader.buffer) == size_before:
            self.upstream.fail_connection(self, "a reply is incomplete")
        elif self.reader.buffer:
            self.wait_for_rest()

    def reply_received(self, reply: resp.Reply) -> None:
        """Posts a reply to the dispatcher; replies with an unknown id are ignored."""
        wire_id = reply.id
        self.unasked_replies += 1
        self.upstream.count_traffic(self.link.host.id, reply.status)
        if wire_id in self.attempts:
            self.attempt_replied(reply)
        elif wire_id[:1] in "po" and wire_id[1:].isdigit() and len(wire_id) < 16:
            number = int(wire_id[1:])
            if self.checks_in_flight:
                self.checks_in_flight -= 1
                self.unasked_replies = 0
            if wire_id[0] == HEALTH_TAG and reply.status in HEALTH_OUTCOMES:
                outcome = HEALTH_OUTCOMES[reply.status]
                inflight = reply.load_report.get("inflight")
                self.post_reply(protocol.HealthCheckResult(number, outcome, inflight))
            elif wire_id[0] == LOAD_ORDER_TAG and reply.status in OUTCOMES:
                outcome = OUTCOMES[reply.status]
                self.post_reply(protocol.LoadOrderResult(number, outcome, reply.copies or 0))

    def attempt_replied(self, reply: resp.Reply) -> None:
        """Posts an attempt's result."""
        self.unasked_replies = 0
        if reply.status not in OUTCOMES:
            self.upstream.fail_connection(self, "an attempt got the status of a health check")
            return
        self.post_reply(
            protocol.AttemptResult(
                self.attempts.pop(reply.id),
                OUTCOMES[reply.status],
                reply.copy_state,
                reply.concurrency or 0,
                reply.load_report.get("inflight"),
                reply.body,
                None,
                reply.load_report.get("queue"),
                reply.load_report.get("x0"),
            )
        )

    def post_reply(self, message: Any) -> None:
        """Posts a result to the dispatcher."""
        service = self.upstream.service
        service.post(service.dispatcher.host_replied, self.link, message)

    def close(self, reason: str = "") -> None:
        """Closes once everything is written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the dispatcher."""
        if self.rest_timer is not None:
            self.rest_timer.cancel()
        self.upstream.connections.pop(self, None)
        service = self.upstream.service
        service.post(service.dispatcher.connection_lost, self.link)
