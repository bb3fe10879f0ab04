"""The desk's side of the list of hosts: what it says, what the module is told of it, and when a host is forgotten."""

from typing import Any

from cherrydoor.gateway.tables import CLOSED, OPEN, HostRecord
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class Endpoints:
    """The tables are the desk's."""

    now: float
    limits: Any
    router_messages: Any
    hosts: dict
    set_timer: Any

    def endpoints_updated(self, how, rows):
        """Rows of the list's wire. A whole list leaves out what is gone."""
        if how != routing.UpdateKind.INCREMENTAL:
            named = {row.host for row in rows}
            for host in self.hosts.values():
                if host.id not in named:
                    host.row = protocol.Endpoint(
                        host.id, "gone", host.row.started_at_ms, host.row.zone, host.row.cell
                    )
        told = []
        for row in rows:
            host = self.hosts.get(row.host)
            if host is None and row.state == "gone":
                continue
            host = self.hosts[row.host] = host or HostRecord(row)
            host.row, host.since = row, max(host.since, row.started_at_ms)
            told.append(self.told(host))
        self.router_messages.append(routing.EndpointsUpdated(how, tuple(told)))

    def endpoint_poll_failed(self):
        self.router_messages.append(routing.EndpointsUpdated(routing.UpdateKind.FAILED, ()))

    def told(self, host):
        row = host.row
        return routing.Endpoint(row.host, row.state, host.since, row.zone, row.cell)

    def endpoints(self):
        """The list as last held, for the next start."""
        return [h.row for h in self.hosts.values() if h.row.state != "gone"]

    def tidy(self):
        """Closes idle links and forgets hosts that are gone and unlinked."""
        self.set_timer(self.now + self.limits.idle / 10, self.tidy)
        for host in list(self.hosts.values()):
            gone = host.row.state == "gone"
            for link in list(host.links):
                if (
                    link.state == OPEN
                    and not link.out
                    and (gone or self.now - link.used > self.limits.idle)
                ):
                    link.state = CLOSED
                    host.links.remove(link)
                    link.wire.close("")
            if gone and not host.links:
                del self.hosts[host.id]
