"""Connections to hosts: when they are opened, chosen and closed. No I/O, no clock."""

from typing import TYPE_CHECKING, Any

from cherrydoor.gateway.tables import ConnectionState, HostCall, HostConnection, HostRecord
from cherrydoor.routing.messages import AttemptOutcome

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

# Share of the calls to a host that connections beside the first may cost (limits.handshake each).
HANDSHAKE_SHARE = 0.01


class HostConnections:
    """Owner of the connections to each host (``host.links``).

    Invariant: a connection is among its host's ``links`` from when it is dialed until it is
    closed, refused or lost; whichever comes first ends all calls on it.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    def choose(self, host: HostRecord, call: HostCall) -> HostConnection:
        """Returns the connection for a call: the first one with room, or a new one.

        A new one is opened up to the bound, and once the host has had calls enough to be worth the
        cost; then connections are shared. Guards against hundreds of gateways opening connections
        that serve once each; harms where a connection that is lost takes more attempts with it.

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
        calls = self.dispatcher.calls
        for message in unsent:
            call = link.out.get(message.id)
            if call is None or not calls.hold_back(link.host, call, message):
                wire.write(message)

    def connect_timed_out(self, link: HostConnection) -> None:
        """Gives up a connection that was not opened in time."""
        if link.state is ConnectionState.DIALING:
            self.dispatcher.counters["connect timeouts"] += 1
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
        self.dispatcher.counters[f"connections: {outcome}"] += bool(link.out)
        calls = list(link.out.values())
        if outcome is AttemptOutcome.CONNECTION_LOST and calls:
            self.dispatcher.takeover.cancel_on_other_connection(link.host, calls)
        for call in calls:
            self.dispatcher.calls.end(call, outcome)

    def close_idle(self, host: HostRecord, idle_ms: float, host_is_gone: bool) -> None:
        """Closes the host's connections unused for ``idle_ms``; if it is gone, all unused ones."""
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


def calls_in_flight(link: HostConnection) -> int:
    """Returns how many calls are in flight on a connection."""
    return len(link.out)
