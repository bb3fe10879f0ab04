"""The Zone Table: which host owns which range of positions."""

from __future__ import annotations

from collections.abc import Callable
from math import modf
from typing import NamedTuple

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.function import Function
from cherrydoor.routing.history_table import MIN_SECOND_WORKER_CONCURRENCY, HistoryTable
from cherrydoor.routing.host import Host
from cherrydoor.routing.messages import HostState
from cherrydoor.routing.range_owners import RangeOwners
from cherrydoor.routing.statistics import Statistics

MAX_SPREAD_TRIES = 3  # times that a position outside the owned part of a range is moved
SPREAD_FACTOR = 4096  # a position is moved to the fraction of its product with this factor
# Mean calls within the idle retention time of a copy, from which on it is presumed to stay loaded.
# With random arrivals, one retention time in 150 has no call.
MIN_CALLS_TO_KEEP_COPY = 5


class ZoneLoad(NamedTuple):
    """The state of one zone as this gateway knows it.

    Attributes:
        zone: Name of the zone.
        requests_per_second: Requests of this gateway to the zone.
        mean_response_ms: Mean response time of its ready hosts, in ms; None if there are none.
        ready_hosts: Hosts that are ready and not ejected.
    """

    zone: str
    requests_per_second: float
    mean_response_ms: float | None
    ready_hosts: int


class ZoneTable:
    """Equal ranges of positions, one for each host; ``RangeOwners`` decides who owns which."""

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        hosts: dict[str, Host],
        history: HistoryTable,
    ) -> None:
        self._context = context
        self._statistics = statistics
        self._history = history
        self._ranges = RangeOwners(hosts)

    @property
    def owners(self) -> list[Host]:
        """The hosts in order of their ranges."""
        return self._ranges.owners

    def owns_range(self, host: Host) -> bool:
        """Whether a range belongs to the host."""
        return self._ranges.owns_range(host)

    def record_state(self, host: Host) -> None:
        """Record that the host's state in the endpoint list may have changed."""
        self._ranges.record_state(host)

    def update(self, now: float) -> None:
        """Give vacant ranges to new hosts; redistribute all if the table is incomplete for long."""
        self._ranges.update(now)

    def owner(
        self,
        position: float,
        accepts: Callable[[Host], bool],
        request_class: messages.RequestClass | None = None,
    ) -> Host | None:
        """The owner of this position, or the next host in order that is ready and accepted.

        Positions that an owner in slow start does not own yet are spread over all other hosts by
        the lower bits of the position; otherwise the next host would serve two ranges. If no host
        is ready, a host that is merely not ejected is returned.

        Args:
            position: Position in [0, 1).
            accepts: Whether a host may be returned.
            request_class: Class of the request; None to ignore ejections for single classes.

        Returns:
            The host; None if there is none.
        """
        now = self._context.now
        owners = self.owners
        count = len(owners)
        part, index = modf(position * count)
        for _ in range(MAX_SPREAD_TRIES if owners else 0):
            if owners[int(index)].slow_start.may_own(part, now):
                break
            position = modf(position * SPREAD_FACTOR)[0]
            part, index = modf(position * count)
        first = int(index)
        for owned_part in (part, 0.0):
            for offset in range(count):
                host = owners[(first + offset) % count]
                if host.is_ready(now, owned_part, request_class) and accepts(host):
                    return host
        for offset in range(count):
            host = owners[(first + offset) % count]
            if host.health.ejected_until_ms <= now and accepts(host):
                return host
        return None

    def presumed_holders(self, function: Function) -> list[Host]:
        """Hosts where the calls of all gateways presumably keep a copy loaded.

        This saves each gateway from ordering and awaiting loads of copies that are already loaded.
        The cost: if hosts lack memory, or a copy was evicted by calls of other functions, requests
        wait for a load there. A host in slow start is never presumed to hold a copy.
        """
        settings = self._context.settings
        count = len(self.owners)
        mean_ms = self._statistics.mean_response_ms()
        concurrency = function.concurrency.value
        calls = concurrency * settings.idle_retention_ms / mean_ms / (1 + function.groups)
        if calls <= MIN_CALLS_TO_KEEP_COPY or settings.gateway_count < 2 or not count:
            return []
        positions = [function.home_position]
        if (
            concurrency >= MIN_SECOND_WORKER_CONCURRENCY
            and settings.gateway_count > 2 * function.groups
        ):
            positions += function.second_positions()  # otherwise there are no second workers
        now = self._context.now
        hosts = [self.owners[int(position * count)] for position in positions]
        return [host for host in hosts if host.slow_start.level(now) >= 1.0]

    def copy_holders_outside(self, name: str, zone: str) -> list[str]:
        """Ids of hosts of other zones where a copy of the function is known to be loaded."""
        function = self._history.functions.get(name)
        if function is None:
            return []
        now = self._context.now
        known = dict.fromkeys([*function.copies, *self.presumed_holders(function)])
        return [host.id for host in known if host.zone != zone and host.holds_copy(function, now)]

    def zone_loads(self) -> list[ZoneLoad]:
        """The state of each zone."""
        now = self._context.now
        ready: dict[str, list[Host]] = {}
        for host in self.owners:
            in_zone = ready.setdefault(host.zone, [])
            if host.state == HostState.READY and host.health.ejected_until_ms <= now:
                in_zone.append(host)
        rate = self._statistics.requests_per_second()
        return [
            ZoneLoad(
                zone,
                rate * len(hosts),
                sum(host.load.mean_response_ms() for host in hosts) / len(hosts) if hosts else None,
                len(hosts),
            )
            for zone, hosts in ready.items()
        ]
