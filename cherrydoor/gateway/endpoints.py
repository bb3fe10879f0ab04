"""The desk's side of the list of hosts: what it says, what the module is told of it, and when a host is forgotten."""

from typing import Any

from cherrydoor.gateway.tables import OPEN, SHUT, Host
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class HostList:
    """The tables are the desk's."""

    now: float
    terms: Any
    notes: Any
    hosts: dict
    alarm: Any

    def listed(self, how, rows):
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
            host = self.hosts[row.host] = host or Host(row)
            host.row, host.since = row, max(host.since, row.started_at_ms)
            told.append(self.told(host))
        self.notes.append(routing.EndpointsUpdated(how, tuple(told)))

    def list_failed(self):
        self.notes.append(routing.EndpointsUpdated(routing.UpdateKind.FAILED, ()))

    def told(self, host):
        row = host.row
        return routing.Endpoint(row.host, row.state, host.since, row.zone, row.cell)

    def rows(self):
        """The list as last held, for the next start."""
        return [h.row for h in self.hosts.values() if h.row.state != "gone"]

    def tidy(self):
        """Closes idle links and forgets hosts that are gone and unlinked."""
        self.alarm(self.now + self.terms.idle / 10, self.tidy)
        for host in list(self.hosts.values()):
            gone = host.row.state == "gone"
            for link in list(host.links):
                if (
                    link.state == OPEN
                    and not link.out
                    and (gone or self.now - link.used > self.terms.idle)
                ):
                    link.state = SHUT
                    host.links.remove(link)
                    link.wire.close("")
            if gone and not host.links:
                del self.hosts[host.id]
