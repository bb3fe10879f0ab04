"""Load orders, unloads, and notices to the router about expected functions and their copies."""

from typing import TYPE_CHECKING

from cherrydoor.gateway.tables import CallKind, ConnectionState
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

if TYPE_CHECKING:
    from cherrydoor.gateway.dispatcher import Dispatcher


class LoadOrders:
    """Sends load orders and unloads to hosts, and notifies the router of functions and copies.

    It owns no table: load orders in flight are calls of ``HostCalls``.
    """

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    def order_load(self, action: routing.OrderLoad) -> None:
        """Orders a host to load copies of a function, as the router decided."""
        self.dispatcher.counters["load orders"] += 1
        self.dispatcher.calls.start_call(
            action.host,
            CallKind.LOAD_ORDER,
            action.function,
            self.dispatcher.limits.order,
            protocol.LoadOrder,
            action.function,
            action.copies,
        )

    def function_expected(self, function: str, drained_zone: str = "") -> None:
        """Notifies the router that a function will be called, so that it is loaded ahead.

        Args:
            function: The expected version.
            drained_zone: If set, the function is expected only outside this zone. If empty, it is
                expected everywhere and also, separately, outside each zone that is draining, so
                that a release is loaded ahead where the sessions of those zones have moved.
        """
        dispatcher = self.dispatcher
        if drained_zone:
            zones = [drained_zone]
        elif dispatcher.zone_drain is None:
            zones = [""]
        else:
            zones = ["", *dispatcher.zone_drain.zones_with_moved_sessions()]
        for zone in zones:
            dispatcher.router_messages.append(routing.FunctionExpected(function, zone))

    def copy_reported(self, function: str, host_id: str) -> None:
        """Notifies the router of a copy that others report as loaded, as if a load order ended."""
        self.dispatcher.router_messages.append(
            routing.LoadOrderEnded(function, host_id, routing.AttemptOutcome.SUCCEEDED, 1, 0.0)
        )

    def unload(self, function: str, host_ids: list[str]) -> None:
        """Allows hosts to drop idle copies of a version, without waiting for a reply."""
        for host_id in host_ids:
            host = self.dispatcher.hosts.get(host_id)
            if host is None:
                continue
            for link in host.connections:
                if link.state is ConnectionState.OPEN:
                    link.write(protocol.Unload(self.dispatcher.next_number(), function))
                    break
