"""The periodic sweep over all hosts, and the end of each window."""

from cherrydoor.routing.context import Context
from cherrydoor.routing.decay import WINDOW_MS
from cherrydoor.routing.endpoint_leases import EndpointListLease
from cherrydoor.routing.history_table import HistoryTable
from cherrydoor.routing.host import Host
from cherrydoor.routing.load_orders import LoadOrders
from cherrydoor.routing.messages import HostState
from cherrydoor.routing.statistics import Statistics
from cherrydoor.routing.zone_table import ZoneTable

SWEEP_MS = 100  # interval of the sweep that checks hosts for silence
# A sweep with a longer delay shows that this gateway was paused: it then does not take the silence
# for a failure of the hosts.
MAX_SWEEP_DELAY_MS = 2 * SWEEP_MS
SWEEP_TIMER = "sweep"


class Sweep:
    """Checks hosts for silence and renews leases; ends each window and drops hosts that are gone.

    Args:
        context: Shared state of the router's components.
        statistics: Measurements over all hosts; the sweep writes the ready capacity and whether
            most hosts are suspect.
        hosts: The router's hosts by id.
        list_lease: Whether the endpoint list is up to date.
        history: The History Table.
        load_orders: The load orders, whose quota window moves on.
        zone_table: The Zone Table.
    """

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        hosts: dict[str, Host],
        list_lease: EndpointListLease,
        history: HistoryTable,
        load_orders: LoadOrders,
        zone_table: ZoneTable,
    ) -> None:
        self._context = context
        self._statistics = statistics
        self._hosts = hosts
        self._list_lease = list_lease
        self._history = history
        self._load_orders = load_orders
        self._zone_table = zone_table
        self._next_window_ms = 0.0
        self._next_sweep_ms = 0.0

    def start(self, now: float) -> None:
        """Begin the first window and set the timer of the first sweep, at a random time."""
        self._history.halved_at_ms = now
        self._next_window_ms = now + WINDOW_MS
        self._next_sweep_ms = now + SWEEP_MS * (1 + self._context.next_random())
        self._context.set_timer(self._next_sweep_ms - now, SWEEP_TIMER)

    def run(self) -> None:
        """Check all hosts for silence and renew leases; update the tables after each window."""
        context = self._context
        now = context.now
        delay_ms = now - self._next_sweep_ms
        self._next_sweep_ms = now + SWEEP_MS
        context.set_timer(SWEEP_MS, SWEEP_TIMER)
        self._load_orders.drop_old_requests()
        ready = [host for host in self._hosts.values() if host.state == HostState.READY]
        if delay_ms < MAX_SWEEP_DELAY_MS:
            self._check_silence(ready)
        if self._list_lease.needs_host_leases(now):
            self._list_lease.log_change(now)
            for host in ready:
                context.queue(host.lease.renew_if_in_use, now)
        self._measure(ready)
        if now >= self._next_window_ms:
            self._next_window_ms = now + WINDOW_MS
            self._end_window()

    def _check_silence(self, ready: list[Host]) -> None:
        for host in ready:
            if host.in_flight or host.health.consecutive_failures:
                self._context.queue(host.check_silence, self._context.now)

    def _measure(self, ready: list[Host]) -> None:
        """Update what the statistics hold of all ready hosts."""
        now = self._context.now
        suspects = sum(
            host.health.check_in_flight or host.health.ejected_until_ms > now for host in ready
        )
        self._statistics.most_hosts_suspect = 2 * suspects > len(ready)
        self._statistics.ready_capacity = sum(host.slow_start.level(now) for host in ready)

    def _end_window(self) -> None:
        """Update the tables, and drop hosts that are gone, idle and without a range."""
        now = self._context.now
        self._context.queue(self._history.end_window, now)
        for host in list(self._hosts.values()):
            if (
                host.state == HostState.GONE
                and not host.in_flight
                and not self._zone_table.owns_range(host)
            ):
                del self._hosts[host.id]
        self._context.queue(self._zone_table.update, now)
