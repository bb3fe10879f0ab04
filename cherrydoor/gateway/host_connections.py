"""Connections to hosts: opening, choosing and closing them. No I/O, no clock."""

from typing import TYPE_CHECKING, Any

from cherrydoor.gateway.tables import ConnectionState, HostCall, HostConnection, HostRecord
from cherrydoor.routing.messages import AttemptOutcome, HostConnectionsChanged

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

# Upper bound on handshake cost, as a share of the calls to a host. Each connection after the first
# costs as much as ``limits.handshake`` calls.
MAX_HANDSHAKE_SHARE = 0.01


class HostConnections:
    """Owns the connections to each host (``host.connections``).

    Invariant: a connection is in its host's ``connections`` and in ``all`` from when it is dialed
    until it is closed, refused or lost, which ends all calls on it. No more than
    ``limits.host_connections`` are kept open beyond those that carry calls.

    Attributes:
        all: The connections to all hosts, in the order in which they were dialed.
        changed_hosts: Hosts whose connections have changed since the router was last notified.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher
        self.all: dict[HostConnection, None] = {}
        self.changed_hosts: dict[HostRecord, None] = {}

    def choose(self, host: HostRecord, call: HostCall) -> HostConnection:
        """Returns the connection for a call: the first one with room, a new one, or a shared one.

        A new connection is opened only below ``limits.links``, and only once the host has had
        enough calls to outweigh the handshake. Otherwise the call shares the least busy connection.
        This keeps hundreds of gateways from opening connections that are used only once; the cost
        is that a lost connection ends more attempts.

        A request that a host answered with "function missing" is sent to that host on another
        connection if there is one. On the same connection, a duplicate of that reply could be taken
        for the reply to the new attempt.
        """
        limits = self.dispatcher.limits
        responsive = [link for link in host.connections if not link.unresponsive]
        pending = call.pending
        if pending is None:
            suitable = responsive
        else:
            number = pending.number
            suitable = [link for link in responsive if number not in link.missing_requests]
        for link in suitable:
            if len(link.calls_in_flight) < limits.per_link:
                return link
        worth_handshake = MAX_HANDSHAKE_SHARE * host.calls_sent >= limits.handshake * len(
            responsive
        )
        if worth_handshake and len(host.connections) < limits.links:
            return self.open(host)
        return min(suitable or responsive or host.connections, key=count_calls)

    def open(self, host: HostRecord) -> HostConnection:
        """Dials the host; messages written before the connection is open are sent once it is."""
        dispatcher = self.dispatcher
        self.close_beyond_limit(dispatcher.limits.host_connections - 1)
        link = HostConnection(host, dispatcher.now)
        host.connections.append(link)
        self.all[link] = None
        dispatcher.timers.set(
            dispatcher.now + dispatcher.limits.connect, self.connect_timed_out, link
        )
        dispatcher.dial(link)
        return link

    def connection_opened(self, link: HostConnection, writer: Any) -> None:
        """Sends the messages that waited for the connection, except those now held back."""
        if link.state is not ConnectionState.DIALING:  # it has timed out
            writer.close("")
            return
        link.state = ConnectionState.OPEN
        link.writer = writer
        link.last_reply_ms = self.dispatcher.now
        if link.host.connected_since_ms is None:
            link.host.connected_since_ms = self.dispatcher.now
            self.changed_hosts[link.host] = None
        unsent = link.unsent
        link.unsent = []
        calls = self.dispatcher.calls
        for message in unsent:
            call = link.calls_in_flight.get(message.id)
            if call is None or not calls.end_if_held_back(link.host, call, message):
                writer.write(message)

    def connect_timed_out(self, link: HostConnection) -> None:
        """Ends a connection that was not opened within the connect timeout."""
        if link.state is ConnectionState.DIALING:
            self.dispatcher.counters["connect timeouts"] += 1
            self.connection_lost(link)

    def connection_lost(self, link: HostConnection) -> None:
        """Ends all calls on a connection that was refused, timed out while connecting, or lost."""
        if link.state is ConnectionState.CLOSED:
            return
        outcome = AttemptOutcome.CONNECTION_LOST
        if link.state is ConnectionState.DIALING:
            outcome = AttemptOutcome.CONNECT_FAILED
        link.unsent = []
        self.remove(link)
        if link.host.connected_since_ms is None:
            link.host.broken_at_ms = self.dispatcher.now
            self.changed_hosts[link.host] = None
        self.dispatcher.counters[f"connections: {outcome}"] += bool(link.calls_in_flight)
        calls = list(link.calls_in_flight.values())
        if outcome is AttemptOutcome.CONNECTION_LOST and calls:
            self.dispatcher.takeover.cancel_on_other_connection(link.host, calls)
        for call in calls:
            self.dispatcher.calls.end(call, outcome)

    def close_idle(self, host: HostRecord, idle_ms: float, host_is_gone: bool) -> None:
        """Closes the host's connections idle for ``idle_ms``; if it is gone, all without calls."""
        now_ms = self.dispatcher.now
        for link in list(host.connections):
            if (
                link.state is ConnectionState.OPEN
                and not link.calls_in_flight
                and (host_is_gone or now_ms - link.last_used_ms > idle_ms)
            ):
                self.close(link)

    def close_silent(self, host: HostRecord, since_ms: float) -> None:
        """Closes the host's connections that carry no call and had no reply after ``since_ms``.

        A network partition can leave dead connections open, and each would lose another attempt.
        If the host was only slow, the cost is dialing it again.
        """
        for link in list(host.connections):
            if (
                link.state is ConnectionState.OPEN
                and not link.calls_in_flight
                and link.last_reply_ms <= since_ms
            ):
                self.dispatcher.counters["silent connections closed"] += 1
                self.close(link)

    def close_beyond_limit(self, limit: float) -> None:
        """Closes the longest idle connections until no more than ``limit`` are left.

        With more hosts than descriptors, idle connections would otherwise take those that clients
        need. The cost is dialing a host again that is called rarely. Connections that carry calls
        are kept, even beyond the limit.
        """
        while len(self.all) > limit and self.close_longest_idle():
            self.dispatcher.counters["idle host connections closed for others"] += 1

    def close_longest_idle(self) -> bool:
        """Closes the longest idle connection; returns False if every one carries a call."""
        idle = (
            link
            for link in self.all
            if link.state is ConnectionState.OPEN and not link.calls_in_flight
        )
        longest_idle = min(idle, key=last_used, default=None)
        if longest_idle is None:
            return False
        self.close(longest_idle)
        return True

    def close(self, link: HostConnection) -> None:
        """Closes an open connection on which no call is in flight."""
        self.remove(link)
        link.writer.close("")

    def remove(self, link: HostConnection) -> None:
        """Marks a connection as closed and removes it from all tables; no other method does."""
        host = link.host
        link.state = ConnectionState.CLOSED
        host.connections.remove(link)
        self.all.pop(link, None)  # a replaced dispatcher's connection is not in this table
        if not any(other.state is ConnectionState.OPEN for other in host.connections):
            host.gaps += 1
            host.connected_since_ms = None
            self.changed_hosts[host] = None

    def take_changes(self) -> list[HostConnectionsChanged]:
        """Returns what the router has to know of changed connections, and forgets the changes."""
        changed = [
            HostConnectionsChanged(host.id, host.connected_since_ms, host.broken_at_ms)
            for host in self.changed_hosts
        ]
        self.changed_hosts.clear()
        return changed


def count_calls(link: HostConnection) -> int:
    """Returns the number of calls in flight on a connection."""
    return len(link.calls_in_flight)


def last_used(link: HostConnection) -> float:
    """Returns when a connection last carried a message, in ms."""
    return link.last_used_ms
