"""Load orders, and what releases and zone drains know of functions and their copies."""

from typing import TYPE_CHECKING

from cherrydoor.gateway.tables import CallKind, ConnectionState
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher


class LoadOrders:
    """Sends load orders and unloads to hosts, and functions and copies to the router.

    It has no table: a load order in flight is a call of ``HostConnections``.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    def order_load(self, action: routing.OrderLoad) -> None:
        """Orders a host to load copies of a function, as the router decided."""
        self.dispatcher.counters["load orders"] += 1
        self.dispatcher.calls.ask(
            action.host,
            CallKind.LOAD_ORDER,
            action.function,
            self.dispatcher.limits.order,
            protocol.LoadOrder,
            action.function,
            action.copies,
        )

    def function_expected(self, function: str, drained_zone: str = "") -> None:
        """Notifies the router that a function will be called.

        Args:
            function: The version expected.
            drained_zone: A zone outside which alone it is wanted. Without one it is wanted
                everywhere, and beside that outside each zone that drains: a release loads ahead
                where the sessions of that zone have moved as well.
        """
        dispatcher = self.dispatcher
        if drained_zone:
            zones = [drained_zone]
        elif dispatcher.zone_drain is None:
            zones = [""]
        else:
            zones = ["", *dispatcher.zone_drain.draining_zones()]
        for zone in zones:
            dispatcher.router_messages.append(routing.FunctionExpected(function, zone))

    def copy_reported(self, function: str, host_id: str) -> None:
        """Notifies the router of a loaded copy that others report, as of a load order's end."""
        self.dispatcher.router_messages.append(
            routing.LoadOrderEnded(function, host_id, routing.AttemptOutcome.SUCCEEDED, 1, 0.0)
        )

    def unload(self, function: str, host_ids: list[str]) -> None:
        """Allows hosts to drop idle copies of a version; no reply is waited for."""
        for host_id in host_ids:
            host = self.dispatcher.hosts.get(host_id)
            if host is None:
                continue
            for link in host.links:
                if link.state is ConnectionState.OPEN:
                    link.write(protocol.Unload(self.dispatcher.next_number(), function))
                    break
