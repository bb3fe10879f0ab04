"""What the desk does for releases: functions foreseen, copies that stand, copies to unload."""

from typing import Any

from cherrydoor.gateway.tables import OPEN
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class LoadOrders:
    """The tables are the desk's."""

    numbers: int
    router_messages: Any
    hosts: dict
    zone_drain: Any

    def function_expected(self, name, away=""):
        """Also outside a site whose sessions have moved: a release loads ahead where they are, too."""
        for site in (
            [away] if away or self.zone_drain is None else ["", *self.zone_drain.draining_zones()]
        ):
            self.router_messages.append(routing.FunctionExpected(name, site))

    def copy_reported(self, name, host):
        """Others tell that a copy of the function stands there: as good as an order's answer."""
        self.router_messages.append(
            routing.LoadOrderEnded(name, host, routing.AttemptOutcome.SUCCEEDED, 1, 0.0)
        )

    def unload(self, name, hosts):
        """Idle copies of a version may go; nobody waits for an answer."""
        for one in hosts:
            host = self.hosts.get(one)
            link = next((ln for ln in host.links if ln.state == OPEN), None) if host else None
            if link is not None:
                self.numbers += 1
                link.write(protocol.Unload(self.numbers, name))
