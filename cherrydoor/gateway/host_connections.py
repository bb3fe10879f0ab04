"""Connections to hosts, the calls in flight on them, and how each call ends. No I/O, no clock."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from cherrydoor.gateway.tables import (
    CallKind,
    ConnectionState,
    HostCall,
    HostConnection,
    HostRecord,
)
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases import decide as releases
from cherrydoor.routing import messages as routing
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

# Requests remembered on a connection as missing at its host; old ones have had their last reply.
MISSING_REMEMBERED = 32
# Share of the worth of all calls to a host that may go into connections beside the first.
HANDSHAKE_SHARE = 0.01
# New work, which is held back where a host drains or a request is over.
NEW_WORK = (protocol.Attempt, protocol.LoadOrder, protocol.HealthCheck)


class HostConnections:
    """Owner of the connections of each host (``host.links``) and of the calls on them.

    Invariant: a call that was made ends exactly once, in ``end_call``. A connection is among its
    host's ``links`` until it is closed; a call is in its connection's ``out`` until it ends.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    # ---- calls out
    def check_health(self, action: routing.CheckHealth) -> None:
        """Sends a health check, as the router decided."""
        wait_ms = self.dispatcher.limits.probe
        self.ask(action.host, CallKind.HEALTH_CHECK, "", wait_ms, protocol.HealthCheck)

    def ask(
        self,
        host_id: str,
        kind: CallKind,
        function: str,
        wait_ms: float,
        make_message: Callable[..., Any],
        *values: Any,
    ) -> None:
        """Sends a health check or a load order; the router gets exactly one message of its end.

        Args:
            host_id: The host; one that was never listed counts as not reachable.
            kind: Which of the two.
            function: The function of a load order.
            wait_ms: After this time it ends without a response.
            make_message: Makes the message of the call's number and ``values``.
            values: Further fields of the message.
        """
        dispatcher = self.dispatcher
        call = HostCall(kind, dispatcher.next_number(), dispatcher.now, function=function)
        host = dispatcher.hosts.get(host_id)
        if host is None:
            dispatcher.counters["questions to hosts never listed"] += 1
            self.notify_router_of_end(call, host_id, AttemptOutcome.CONNECT_FAILED, 0, 0.0)
        elif self.send(host, call, make_message(call.id, *values)):
            dispatcher.timers.set(
                dispatcher.now + wait_ms, self.abandon_call, call, AttemptOutcome.NO_RESPONSE
            )

    def held_back_reason(self, host: HostRecord, call: HostCall, message: Any) -> str:
        """Returns why a message may not go out to the host now, "" where it may.

        Each attempt, health check and load order is checked when it is sent, and again when it
        waited for a connection. Guards against new work for a host that is known to drain, and
        against attempts for a request that is finished or whose client has disconnected.
        """
        if type(message) not in NEW_WORK:
            return ""
        if host.row.state != "ready":
            return "the host drains"
        pending = call.pending
        if pending is None:
            return ""
        dispatcher = self.dispatcher
        if not pending.finished and not pending.client.connected(dispatcher.now):
            dispatcher.counters["closes found at a launch"] += 1
            dispatcher.request_table.cancel(pending)
        if pending.finished:
            return "the event is over"
        return "" if dispatcher.now < pending.deadline_ms else "the time is up"

    def send(self, host: HostRecord, call: HostCall, message: Any) -> bool:
        """Sends a call on a connection to the host; returns False where nothing may go out."""
        if reason := self.held_back_reason(host, call, message):
            self.dispatcher.counters[f"held back: {reason}"] += 1
            self.end_call(call, AttemptOutcome.NOT_SENT, host_id=host.id)
            return False
        host.calls_sent += 1
        link = self.choose_connection(host, call)
        call.link = link
        link.out[call.id] = call
        link.last_used_ms = self.dispatcher.now
        link.write(message)
        return True

    def choose_connection(self, host: HostRecord, call: HostCall) -> HostConnection:
        """Returns the connection for a call: the first one with room, or a new one.

        A new one is opened up to the bound and as far as the host's calls are worth it; then
        connections are shared. Guards against hundreds of gateways opening connections that serve
        once each; harms where a connection that is lost takes more attempts with it.

        A request that was missing at the host goes out on another connection, where there is one:
        a second copy of that reply would pass for the new attempt's.
        """
        limits = self.dispatcher.limits
        responsive = [link for link in host.links if not link.unresponsive]
        pending = call.pending
        if pending is None:
            suitable = responsive
        else:
            number = pending.number
            suitable = [link for link in responsive if number not in link.missing_requests]
        for link in suitable:
            if len(link.out) < limits.per_link:
                return link
        worth_it = HANDSHAKE_SHARE * host.calls_sent >= limits.handshake * len(responsive)
        if worth_it and len(host.links) < limits.links:
            return self.open(host)
        return min(suitable or responsive or host.links, key=calls_in_flight)

    # ---- connections
    def open(self, host: HostRecord) -> HostConnection:
        """Dials the host; what is written meanwhile is sent once the connection is open."""
        dispatcher = self.dispatcher
        link = HostConnection(host, dispatcher.now)
        host.links.append(link)
        dispatcher.timers.set(
            dispatcher.now + dispatcher.limits.connect, self.connect_timed_out, link
        )
        dispatcher.dial(link)
        return link

    def opened(self, link: HostConnection, wire: Any) -> None:
        """Sends what waited for the connection, as far as it still may go out."""
        if link.state is not ConnectionState.DIALING:  # it timed out in the meantime
            wire.close("")
            return
        link.state = ConnectionState.OPEN
        link.wire = wire
        link.last_reply_ms = self.dispatcher.now
        unsent = link.unsent
        link.unsent = []
        for message in unsent:
            call = link.out.get(message.id)
            reason = self.held_back_reason(link.host, call, message) if call else ""
            if call and reason:
                self.dispatcher.counters[f"held back: {reason}"] += 1
                self.end_call(call, AttemptOutcome.NOT_SENT)
            else:
                wire.write(message)

    def message_not_sent(self, link: HostConnection, number: int) -> None:
        """Ends a call whose message the I/O could not write."""
        call = link.out.get(number)
        if call is not None:
            self.end_call(call, AttemptOutcome.NOT_SENT)

    def connect_timed_out(self, link: HostConnection) -> None:
        """Gives up a connection that was not opened in time."""
        if link.state is ConnectionState.DIALING:
            self.dispatcher.counters["connections not up in time"] += 1
            self.lost(link)

    def lost(self, link: HostConnection) -> None:
        """Ends all calls on a connection that was refused, never opened, or lost."""
        if link.state is ConnectionState.CLOSED:
            return
        outcome = AttemptOutcome.CONNECTION_LOST
        if link.state is ConnectionState.DIALING:
            outcome = AttemptOutcome.CONNECT_FAILED
        link.state = ConnectionState.CLOSED
        link.unsent = []
        link.host.links.remove(link)
        self.dispatcher.counters[f"links: {outcome}"] += bool(link.out)
        calls = list(link.out.values())
        if outcome is AttemptOutcome.CONNECTION_LOST and calls:
            self.dispatcher.takeover.cancel_on_other_connection(link.host, calls)
        for call in calls:
            self.end_call(call, outcome)

    def close_idle(self, host: HostRecord, idle_ms: float, host_is_gone: bool) -> None:
        """Closes the host's connections that are unused for ``idle_ms``, or at all if it is gone."""
        now_ms = self.dispatcher.now
        for link in list(host.links):
            if (
                link.state is ConnectionState.OPEN
                and not link.out
                and (host_is_gone or now_ms - link.last_used_ms > idle_ms)
            ):
                self.close(link)

    def close_silent(self, host: HostRecord, since_ms: float) -> None:
        """Closes the host's unused connections without a reply since then.

        Guards against connections that a cut network leaves open, where each attempt would be lost
        anew; harms where a host is only slow: it is dialed again.
        """
        for link in list(host.links):
            if (
                link.state is ConnectionState.OPEN
                and not link.out
                and link.last_reply_ms <= since_ms
            ):
                self.dispatcher.counters["silent connections closed"] += 1
                self.close(link)

    def close(self, link: HostConnection) -> None:
        """Closes an open connection on which no call is in flight."""
        link.state = ConnectionState.CLOSED
        link.host.links.remove(link)
        link.wire.close("")

    # ---- ends of calls
    def replied(self, link: HostConnection, message: Any) -> None:
        """Takes in a host's reply; it counts only for a call in flight on this connection."""
        link.last_used_ms = link.last_reply_ms = self.dispatcher.now
        link.unresponsive = False
        call = link.out.get(message.id)
        kind = call.kind if call is not None else None
        message_type = type(message)
        if call is not None and kind is CallKind.QUERY:
            self.end_call(call, AttemptOutcome.SUCCEEDED, message)
        elif call is not None and RESULT_TYPES.get(message_type) is kind:
            self.end_call(call, message.outcome, message)
        elif call is not None and (
            kind is CallKind.ATTEMPT and message_type is protocol.AttemptStreaming
        ):
            self.dispatcher.attempts.streaming_started(call)
        elif message_type is not protocol.UnloadResult:
            self.dispatcher.counters["replies without a call in flight"] += 1

    def abandon_call(self, call: HostCall, outcome: AttemptOutcome) -> None:
        """Ends a call without waiting further; the host is sent a cancellation of an attempt.

        Args:
            call: Ignored if it has ended.
            outcome: How it ends; if it waited for a connection, the router gets that instead.
        """
        if call.outcome is not None:
            return
        link = call.link
        assert link is not None, "a call without a connection ends as it is made"
        if link.state is ConnectionState.DIALING:
            link.unsent = [message for message in link.unsent if message.id != call.id]
            if outcome is AttemptOutcome.CANCELLED:
                outcome = AttemptOutcome.NOT_SENT
            else:
                outcome = AttemptOutcome.CONNECT_FAILED
        elif call.kind is CallKind.ATTEMPT:
            link.write(protocol.CancelAttempt(call.id))
        self.end_call(call, outcome)
        dispatcher = self.dispatcher
        silent_since_ms = max(call.started_at_ms, link.last_reply_ms)
        if (
            link.state is ConnectionState.OPEN
            and dispatcher.now - silent_since_ms >= dispatcher.limits.silence
        ):
            link.unresponsive = True
            self.close_silent(link.host, call.started_at_ms)

    def end_call(
        self, call: HostCall, outcome: AttemptOutcome, message: Any = None, host_id: str = ""
    ) -> None:
        """Ends a call; the only place where one ends.

        Args:
            call: Ignored if it has ended.
            outcome: How it ended.
            message: The host's reply, if there was one.
            host_id: The host of a call that never had a connection.
        """
        if call.outcome is not None:
            return
        call.outcome = outcome
        took_ms = self.dispatcher.now - call.started_at_ms
        link = call.link
        if link is not None:
            host_id = link.host.id
            link.out.pop(call.id, None)
            if outcome == AttemptOutcome.FUNCTION_MISSING and call.pending is not None:
                remember_missing(link, call.pending.number)
        if call.kind is CallKind.ATTEMPT:
            self.dispatcher.attempts.ended(call, outcome, took_ms, host_id, message)
        elif call.on_reply is not None:
            call.on_reply(host_id, outcome, message)
        else:
            copies = message.copies if message and call.kind is CallKind.LOAD_ORDER else 0
            self.notify_router_of_end(call, host_id, outcome, copies, took_ms)
            if call.kind is CallKind.LOAD_ORDER:
                self.load_order_ended(call, host_id, outcome, took_ms)

    def notify_router_of_end(
        self, call: HostCall, host_id: str, outcome: AttemptOutcome, copies: int, took_ms: float
    ) -> None:
        """Notifies the router of the end of a health check or a load order."""
        ended: Any
        if call.kind is CallKind.HEALTH_CHECK:
            ended = routing.HealthCheckEnded(host_id, outcome, took_ms)
        else:
            ended = routing.LoadOrderEnded(call.function, host_id, outcome, copies, took_ms)
        self.dispatcher.router_messages.append(ended)

    def load_order_ended(
        self, call: HostCall, host_id: str, outcome: AttemptOutcome, took_ms: float
    ) -> None:
        """Notifies releases and the zone drain of the end of a load order."""
        dispatcher = self.dispatcher
        dispatcher.call_ended(releases.Loaded(call.function, outcome, took_ms))
        if dispatcher.zone_drain is not None:
            dispatcher.zone_drain.load_ended(
                call.function, host_id, outcome == AttemptOutcome.SUCCEEDED
            )


RESULT_TYPES = {
    protocol.AttemptResult: CallKind.ATTEMPT,
    protocol.HealthCheckResult: CallKind.HEALTH_CHECK,
    protocol.LoadOrderResult: CallKind.LOAD_ORDER,
}


def calls_in_flight(link: HostConnection) -> int:
    """Returns how many calls are in flight on a connection."""
    return len(link.out)


def remember_missing(link: HostConnection, number: int) -> None:
    """Remembers that the connection's host answered a request without running it."""
    numbers = [*link.missing_requests, number]
    link.missing_requests = dict.fromkeys(numbers[-MISSING_REMEMBERED:])
