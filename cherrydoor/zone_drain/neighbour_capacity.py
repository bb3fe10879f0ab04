"""Estimates the capacity of a drained zone's neighbours and detects loss of their hosts. Pure.

For each zone, each gateway reports the number of hosts that it considers available, the requests
per second that it sends there, and the mean response time. The median of the host counts is used,
so that a gateway without a connection to a zone does not make the zone appear lost.

The requests in flight at a host follow from rate and response time (Little's law). They give a
lower bound of its capacity: a host with n requests in flight is taken to be n / (n + 1) utilized,
as if it served one request at a time. A host with many cores can serve more, which shows only when
it receives more requests. This is therefore the capacity that neighbours are *known* to have.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cherrydoor.protocol.zone_drain import ZoneLoad

# Three times the longest interval between two reports of a gateway.
REPORT_LIFETIME_MS = 15000.0
LOST_HOSTS_SHARE = 0.25  # waves wait once this share of the neighbours' hosts is missing
MAX_UTILIZATION = 0.9  # limit for neighbours; after a loss of hosts, load above it is rolled back


class ZoneState(NamedTuple):
    """State of a zone, combined from all gateways' reports.

    Attributes:
        hosts: Number of available hosts.
        requests_per_s: Requests per second sent to the zone.
        utilization: Upper bound of the share of its capacity in use; None if unknown.
    """

    hosts: int
    requests_per_s: float
    utilization: float | None

    @property
    def capacity_per_s(self) -> float | None:
        """Requests per second that the zone is known to serve at full utilization."""
        return self.requests_per_s / self.utilization if self.utilization else None


def lower_median(values: Iterable[int]) -> int:
    """Returns the median; of an even number of values, the lower of the middle two.

    >>> lower_median([6, 2, 5]), lower_median([6, 0])
    (5, 0)
    """
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def utilization(requests_per_s: float, response_time_ms: float | None, hosts: int) -> float | None:
    """Returns an upper bound of the hosts' utilization: n / (n + 1) with n in flight at each.

    >>> utilization(40.0, 50.0, 2), utilization(40.0, None, 2)
    (0.5, None)
    """
    if not hosts or not response_time_ms:
        return None
    in_flight = requests_per_s * response_time_ms / 1000 / hosts
    return in_flight / (1 + in_flight) or None


def combined_zone(loads: Sequence[ZoneLoad]) -> ZoneState:
    """Combines the loads that gateways report of one zone."""
    hosts = lower_median(one.available_hosts for one in loads)
    requests_per_s = sum(one.requests_per_s for one in loads)
    timed = [
        (one.requests_per_s, one.response_time_ms)
        for one in loads
        if one.response_time_ms is not None and one.requests_per_s
    ]
    weight = sum(rate for rate, _ in timed)
    mean_ms = sum(rate * time_ms for rate, time_ms in timed) / weight if weight else None
    return ZoneState(hosts, requests_per_s, utilization(requests_per_s, mean_ms, hosts))


def combined_zones(reports: Iterable[Iterable[ZoneLoad]]) -> dict[str, ZoneState]:
    """Combines the loads that all gateways report, by zone.

    >>> combined_zones([[ZoneLoad("a", 60.0, 50.0, 4)], [ZoneLoad("a", 20.0, None, 4)],
    ...     [ZoneLoad("a", 0.0, 80.0, 0)]])
    {'a': ZoneState(hosts=4, requests_per_s=80.0, utilization=0.5)}
    """
    by_zone: dict[str, list[ZoneLoad]] = {}
    for loads in reports:
        for one in loads:
            by_zone.setdefault(one.zone, []).append(one)
    return {name: combined_zone(loads) for name, loads in by_zone.items()}


def spare_capacity(zones: Mapping[str, ZoneState], drained_zone: str) -> float | None:
    """Returns the requests per second that other zones are known to have spare capacity for.

    That is the capacity up to MAX_UTILIZATION. None if no zone's utilization is known.

    >>> spare_capacity({"a": ZoneState(4, 50.0, 0.9), "b": ZoneState(4, 40.0, 0.5),
    ...     "c": ZoneState(4, 40.0, None)}, "a")
    32.0
    """
    known = [
        (one.requests_per_s, one.utilization)
        for name, one in zones.items()
        if name != drained_zone and one.utilization
    ]
    if not known:
        return None
    return sum(
        rate * (MAX_UTILIZATION / used - 1.0) for rate, used in known if used < MAX_UTILIZATION
    )


class NeighbourCapacity:
    """Owns the most hosts and the highest capacity that each other zone has had during the drain.

    With these the coordinator notices when a neighbour is lost while sessions move to it, and stops
    sending more there. The drawback: if an operator removes hosts of a neighbour during the drain,
    the drain waits for them.
    """

    def __init__(self, drained_zone: str):
        self._drained_zone = drained_zone
        self._zones: Mapping[str, ZoneState] = {}
        self._most_hosts: dict[str, int] = {}
        self._capacity_per_s: dict[str, float] = {}

    def update(self, zones: Mapping[str, ZoneState]) -> None:
        """Replaces the zone states, combined from all reports that have not expired."""
        self._zones = zones
        for name, one in zones.items():
            if name != self._drained_zone and one.hosts >= self._most_hosts.get(name, 1):
                self._most_hosts[name] = one.hosts
                capacity = one.capacity_per_s
                if capacity is not None:
                    self._capacity_per_s[name] = max(capacity, self._capacity_per_s.get(name, 0.0))

    def _available(self, name: str) -> int:
        return self._zones[name].hosts if name in self._zones else 0

    def available_share(self) -> float:
        """Returns the share of the neighbours' hosts that is available, of the most seen."""
        most = sum(self._most_hosts.values())
        now = sum(min(hosts, self._available(name)) for name, hosts in self._most_hosts.items())
        return now / most if most else 1.0

    def loss_reason(self) -> str:
        """Returns which neighbours lost hosts, as text for operators; "" below LOST_HOSTS_SHARE."""
        if self.available_share() > 1 - LOST_HOSTS_SHARE:
            return ""
        short = [
            f"{name} {self._available(name)} of {most}"
            for name, most in sorted(self._most_hosts.items())
            if self._available(name) < most
        ]
        return "neighbours have lost hosts: " + ", ".join(short) + " available"

    def excess_per_s(self) -> float:
        """Returns the load beyond the remaining capacity, requests per second; 0 if unknown."""
        if not self._capacity_per_s or not self.loss_reason():
            return 0.0
        capacity = sum(
            full * self._zones[name].hosts / self._most_hosts[name]
            for name, full in self._capacity_per_s.items()
            if name in self._zones
        )
        load = sum(
            one.requests_per_s for name, one in self._zones.items() if name != self._drained_zone
        )
        return max(0.0, load - MAX_UTILIZATION * capacity)

    def is_drained_zone_available(self) -> bool:
        """Returns whether the drained zone has available hosts, so that sessions can return."""
        return self._available(self._drained_zone) > 0
