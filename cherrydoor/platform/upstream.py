"""Connections to the platform's hosts: messages as commands, replies as messages."""

import asyncio
from collections import Counter
from typing import Any

from cherrydoor.codecs import resp
from cherrydoor.gateway.event_loop import dial
from cherrydoor.gateway.sockets import after_input, peer_closed
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

WRITE_BUFFER_MAX_BYTES = 4 << 20  # that may wait for a host that does not read
# How long the rest of a reply may take. Guards against hosts that stop short; harms where a host
# stands still in the midst of a reply: its attempts are held to be lost.
REPLY_REST_TIMEOUT_S = 0.25
ADDRESSES_KEPT_BEYOND = (
    16  # addresses beyond twice the hosts before those of gone hosts are dropped
)
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
HEALTH_TAG, LOAD_ORDER_TAG = "p", "o"  # first letters of the wire ids of what is no attempt


class HostProtocol(asyncio.Protocol):
    """One connection to a host.

    Args:
        upstream: Owner of all connections to hosts.
        link: The dispatcher's record of this connection.

    Attributes:
        attempts: Numbers of the attempts that a reply is owed for, by their ids on the wire. Each
            entry goes with its reply or its cancellation, so there are as many as are open.
    """

    def __init__(self, upstream: "Upstream", link: Any) -> None:
        self.upstream = upstream
        self.link = link
        self.reader = resp.Reader()
        self.attempts: dict[str, int] = {}
        self.rest_timer: asyncio.TimerHandle | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notifies the dispatcher that calls may be written."""
        self.transport = transport
        self.upstream.connections[self] = True
        service = self.upstream.service
        service.post(service.dispatcher.connection_opened, self.link, self)

    def write(self, message: Any) -> None:
        """Sends a message of the dispatcher.

        An idle connection that the host has just closed is found out before anything is written
        to it: what is written may have run.
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
        """Returns the command for a message; None for a cancellation whose attempt has ended."""
        kind = type(message)
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
        """Hands complete replies on; the rest of an incomplete one has its own time."""
        for reply in self.reader.feed(data):
            self.reply_received(reply)
        if self.reader.failure_reason:
            self.upstream.fail_connection(self, self.reader.failure_reason)
        elif self.reader.buffer and self.rest_timer is None:
            self.wait_for_rest()
        elif not self.reader.buffer and self.rest_timer is not None:
            self.rest_timer.cancel()
            self.rest_timer = None

    def wait_for_rest(self) -> None:
        """Starts the time within which more of an incomplete reply has to come."""
        loop = self.upstream.service.loop
        size = len(self.reader.buffer)
        self.rest_timer = loop.call_later(
            REPLY_REST_TIMEOUT_S, after_input, loop, self.rest_timed_out, size
        )

    def rest_timed_out(self, size_before: int) -> None:
        """Fails the connection where nothing more has come; else the time begins again.

        Args:
            size_before: Bytes of the reply that had come when the time began.
        """
        self.rest_timer = None
        if self.reader.buffer and len(self.reader.buffer) == size_before:
            self.upstream.fail_connection(self, "a reply is incomplete")
        elif self.reader.buffer:
            self.wait_for_rest()

    def reply_received(self, reply: resp.Reply) -> None:
        """Posts a reply to the dispatcher; one under an id that is not open here is ignored."""
        wire_id = reply.id
        self.upstream.count_traffic(self.link.host.id, reply.status)
        if wire_id in self.attempts:
            self.attempt_replied(reply)
        elif wire_id[:1] in "po" and wire_id[1:].isdigit() and len(wire_id) < 16:
            number = int(wire_id[1:])
            if wire_id[0] == HEALTH_TAG and reply.status in HEALTH_OUTCOMES:
                outcome = HEALTH_OUTCOMES[reply.status]
                inflight = reply.load_report.get("inflight")
                self.post_reply(protocol.HealthCheckResult(number, outcome, inflight))
            elif wire_id[0] == LOAD_ORDER_TAG and reply.status in OUTCOMES:
                outcome = OUTCOMES[reply.status]
                self.post_reply(protocol.LoadOrderResult(number, outcome, reply.copies or 0))

    def attempt_replied(self, reply: resp.Reply) -> None:
        """Posts an attempt's result."""
        if reply.status not in OUTCOMES:
            self.upstream.fail_connection(self, "a health check's reply to an attempt")
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
        """Closes once all is written."""
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


class Upstream:
    """All connections to hosts, and where hosts are.

    Attributes:
        addresses: Of each host that the dispatcher knows; cut back with the dispatcher's hosts.
        connections: Those that are open, in the order in which they opened.
        traffic: For each host how often each command and reply crossed its connections since the
            last trace; None without a trace.
    """

    def __init__(self, service: Any) -> None:
        self.service = service
        self.addresses: dict[str, str] = {}
        self.connections: dict[HostProtocol, bool] = {}
        self.traffic: dict[str, Counter[str]] | None = None

    def dial(self, link: Any) -> None:
        """Begins to open a connection, at the dispatcher's request."""
        asyncio.get_running_loop().create_task(self.connect(link))

    async def connect(self, link: Any) -> None:
        """Opens a connection; a failure is posted to the dispatcher."""
        host_address = self.addresses.get(link.host.id, "")
        await dial(self.service, link, host_address, lambda: HostProtocol(self, link))

    def fail_connection(self, connection: HostProtocol, reason: str) -> None:
        """Cuts a connection that is of no more use: what is open on it may have run."""
        service = self.service
        host_id = connection.link.host.id
        service.dispatcher.counters["host connections failed"] += 1
        self.count_traffic(host_id, "failed")
        service.log.write_limited("host connection failed", host=host_id, reason=reason)
        connection.abort()
        service.post(service.dispatcher.connection_lost, connection.link)

    def endpoints_received(
        self,
        kind: routing.UpdateKind,
        endpoints: list[protocol.Endpoint],
        addresses: dict[str, str],
    ) -> None:
        """Updates the dispatcher's endpoint list, the addresses and each host's connection limit.

        Args:
            kind: What the endpoints are: all there are, or those that have changed.
            endpoints: For the dispatcher.
            addresses: By host ids, of endpoints that are not gone.
        """
        self.addresses.update(addresses)
        dispatcher = self.service.dispatcher
        dispatcher.endpoints_updated(kind, endpoints)
        self.service.configuration.share_descriptors(
            sum(host.row.state != "gone" for host in dispatcher.hosts.values())
        )
        if len(self.addresses) > 2 * len(dispatcher.hosts) + ADDRESSES_KEPT_BEYOND:
            self.addresses = {
                host_id: host_address
                for host_id, host_address in self.addresses.items()
                if host_id in dispatcher.hosts
            }

    def count_traffic(self, host_id: str, what: str) -> None:
        """Counts what crosses the sockets, while a trace is on."""
        if self.traffic is not None:
            self.traffic.setdefault(host_id, Counter())[what] += 1
