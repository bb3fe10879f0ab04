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
from cherrydoor.routing.statistics import Statistics

MAX_SPREAD_TRIES = (
    3  # how often a position that a host in slow start cannot take is moved elsewhere
)
SPREAD_FACTOR = 4096  # positions are moved by the bits below this part
# Calls within the idle time of a copy: by chance none comes in one idle time of 150.
MIN_CALLS_TO_KEEP_COPY = 5
# A vacancy of this length, or a host without a range for a quarter of it, makes the ranges anew.
REDISTRIBUTE_AFTER_MS = 60000


class ZoneLoad(NamedTuple):
    """What is known of one zone.

    Attributes:
        zone: Its name.
        requests_per_second: Requests of this gateway that go there.
        mean_response_ms: Mean response time of its ready hosts; None where there are none.
        ready_hosts: Hosts that are ready and not ejected.
    """

    zone: str
    requests_per_second: float
    mean_response_ms: float | None
    ready_hosts: int


class ZoneTable:
    """Equal ranges of positions over the hosts, which are sorted by id.

    Invariant: a range changes hands only to a new host that takes a vacancy, until a long vacancy
    or a host long without a range makes all ranges anew; so few functions move.

    Attributes:
        owners: The hosts in order of their ranges.
    """

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        hosts: dict[str, Host],
        history: HistoryTable,
    ) -> None:
        self._context = context
        self._statistics = statistics
        self._hosts = hosts
        self._history = history
        self.owners: list[Host] = []
        self._complete_at_ms = 0.0  # when each range last had its host, and each host a range

    def update(self, now: float) -> None:
        """Give vacant ranges to new hosts; where that was not enough for long, make all anew."""
        listed = sorted(
            (host for host in self._hosts.values() if host.state != HostState.GONE),
            key=lambda host: host.id,
        )
        new = [host for host in listed if host not in self.owners and host.state == HostState.READY]
        self.owners = [
            new.pop(0) if new and host.state != HostState.READY else host for host in self.owners
        ]
        limit_ms = REDISTRIBUTE_AFTER_MS / 4 if new else REDISTRIBUTE_AFTER_MS
        if not self.owners or now - self._complete_at_ms > limit_ms:
            self.owners = listed
            new = []
        if not new and all(host.state != HostState.GONE for host in self.owners):
            self._complete_at_ms = now

    def owner(
        self,
        position: float,
        accepts: Callable[[Host], bool],
        request_class: messages.RequestClass | None = None,
    ) -> Host | None:
        """The host of this position, or the next ready one in order that is accepted.

        What an owner in slow start cannot take is spread over all others by the position's lower
        bits, as its neighbour would have two ranges. With no ready host, one that is not ejected.
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
        """Hosts where the calls of all gateways keep a copy, though this gateway saw none there.

        Guards against load orders and waits of each gateway for copies that are loaded already.
        Harms where hosts are short of memory, or a copy was evicted by calls of others: requests
        then wait for a load there. A host in slow start is never presumed to hold one.
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
            positions += function.second_positions()  # else there are no second workers
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
        """What is known of each zone."""
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
                sum(host.mean_response_ms() for host in hosts) / len(hosts) if hosts else None,
                len(hosts),
            )
            for zone, hosts in ready.items()
        ]
