"""The dispatcher's endpoint list: applies updates and removes hosts that are gone."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from cherrydoor.gateway.tables import HostRecord
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher

GONE: Final = "gone"
READY: Final = "ready"
# Number of clean-ups within the time after which an idle connection is closed.
CLEANUPS_PER_IDLE_TIME = 10


class EndpointList:
    """Owns the host table.

    Invariant: a host is in the table from the first update that lists it until it is gone and its
    last connection is closed. A host that was never listed is not in the table and is sent nothing.

    Attributes:
        hosts: Host records by host id.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher
        self.hosts: dict[str, HostRecord] = {}

    def update(self, kind: routing.UpdateKind, rows: Iterable[protocol.Endpoint]) -> None:
        """Applies rows of the endpoint list; only an incremental update may leave out hosts."""
        if kind != routing.UpdateKind.INCREMENTAL:
            self.mark_absent_as_gone({row.host for row in rows})
        endpoints = []
        for row in rows:
            host = self.hosts.get(row.host)
            if host is None:
                if row.state == GONE:
                    continue
                host = self.hosts[row.host] = HostRecord(row)
            host.row = row
            host.started_at_ms = max(host.started_at_ms, row.started_at_ms)
            endpoints.append(endpoint_of(host))
        self.dispatcher.router_messages.append(routing.EndpointsUpdated(kind, tuple(endpoints)))

    def mark_absent_as_gone(self, listed: set[str]) -> None:
        """Marks hosts that a complete list leaves out as gone."""
        for host in self.hosts.values():
            if host.id not in listed:
                row = host.row
                host.row = protocol.Endpoint(host.id, GONE, row.started_at_ms, row.zone, row.cell)

    def list_confirmed(self, at_ms: float) -> None:
        """Notifies the router that the endpoint list was up to date at ``at_ms``."""
        self.dispatcher.router_messages.append(routing.EndpointsConfirmed(at_ms))

    def updates_requested(self, at_ms: float) -> None:
        """Notifies the router that the watch requested updates at ``at_ms``."""
        self.dispatcher.router_messages.append(routing.EndpointsRequested(at_ms))

    def poll_failed(self) -> None:
        """Notifies the router that the endpoint list could not be read."""
        self.dispatcher.router_messages.append(
            routing.EndpointsUpdated(routing.UpdateKind.FAILED, ())
        )

    def host_greeted(self, host: HostRecord, started_at_ms: float) -> None:
        """Detects a restart from a host's hello, which may be newer than the endpoint list."""
        if started_at_ms > host.started_at_ms + 1 and host.row.state == READY:
            host.started_at_ms = started_at_ms
            self.dispatcher.counters["restarts learned from hosts"] += 1
            self.dispatcher.router_messages.append(
                routing.EndpointsUpdated(routing.UpdateKind.INCREMENTAL, (endpoint_of(host),))
            )

    def current_rows(self) -> list[protocol.Endpoint]:
        """Returns the current endpoint list without hosts that are gone, to be cached."""
        return [host.row for host in self.hosts.values() if host.row.state != GONE]

    def clean_up(self) -> None:
        """Closes idle connections, removes hosts that are gone, and sets its timer again."""
        dispatcher = self.dispatcher
        dispatcher.timers.set(
            dispatcher.now + dispatcher.limits.idle / CLEANUPS_PER_IDLE_TIME, self.clean_up
        )
        for host in list(self.hosts.values()):
            gone = host.row.state == GONE
            dispatcher.connections.close_idle(host, 0.0 if gone else dispatcher.limits.idle, gone)
            if gone and not host.connections:
                del self.hosts[host.id]
        dispatcher.connections.close_beyond_limit(dispatcher.limits.host_connections)


def endpoint_of(host: HostRecord) -> routing.Endpoint:
    """Converts a host record to the router's endpoint."""
    row = host.row
    return routing.Endpoint(row.host, row.state, host.started_at_ms, row.zone, row.cell)
