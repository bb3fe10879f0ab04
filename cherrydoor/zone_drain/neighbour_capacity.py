"""What the neighbours of a drained zone can serve, and whether hosts of theirs are lost. Pure.

Each gateway reports of each zone how many hosts it holds to be available, the requests a second
that it sends there, and the response time. Of the host counts the median is taken, so that a
gateway that is cut off makes nobody think that a zone is lost. What a host has in flight follows
from rate and time (Little's law), and from that the least that it can do: one request takes its
response time divided by what is in flight. A host of many cores can do more, which shows as it is
given more; so this is what neighbours are *known* to serve.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cherrydoor.protocol.zone_drain import ZoneLoad

REPORT_LIFETIME_MS = 15000.0  # three of the longest intervals between two reports of a gateway
LOST_HOSTS_SHARE = 0.25  # of the neighbours' hosts that must be missing before waves wait for them
MAX_UTILIZATION = 0.9  # to which neighbours may be filled; with hosts lost, the excess goes back


class ZoneState(NamedTuple):
    """A zone by all gateways' reports.

    Attributes:
        hosts: Hosts that are available.
        requests_per_s: Requests a second that go there.
        utilization: Share of the capacity in use, at the most; None where it is unknown.
    """

    hosts: int
    requests_per_s: float
    utilization: float | None

    @property
    def capacity_per_s(self) -> float | None:
        """Requests a second that it is known to serve at full utilization."""
        return self.requests_per_s / self.utilization if self.utilization else None


def lower_median(values: Iterable[int]) -> int:
    """The lower one of the two in the middle.

    >>> lower_median([6, 2, 5]), lower_median([6, 0])
    (5, 0)
    """
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]


def utilization(requests_per_s: float, response_time_ms: float | None, hosts: int) -> float | None:
    """The share of their capacity that hosts use at the most: n of n + 1 with n in flight at each.

    >>> utilization(40.0, 50.0, 2), utilization(40.0, None, 2)
    (0.5, None)
    """
    if not hosts or not response_time_ms:
        return None
    in_flight = requests_per_s * response_time_ms / 1000 / hosts
    return in_flight / (1 + in_flight) or None


def combined_zone(loads: Sequence[ZoneLoad]) -> ZoneState:
    """One zone by the loads that gateways report of it."""
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
    """Each zone by the loads that all gateways report.

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
    """Requests a second that other zones are known to serve beyond their load.

    They are filled to MAX_UTILIZATION. None where no utilization is known.

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
    """Owns what the other zones had and could serve at their best since the drain began.

    Guards against a neighbour that is lost while the zone drains into it. Harms where hosts of a
    neighbour are removed on purpose meanwhile: the drain waits for them.
    """

    def __init__(self, drained_zone: str):
        self._drained_zone = drained_zone
        self._zones: Mapping[str, ZoneState] = {}
        self._most_hosts: dict[str, int] = {}
        self._capacity_per_s: dict[str, float] = {}

    def update(self, zones: Mapping[str, ZoneState]) -> None:
        """Takes the zones as all reports that still count describe them."""
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
        """The share of the neighbours' hosts that is available."""
        most = sum(self._most_hosts.values())
        now = sum(min(hosts, self._available(name)) for name, hosts in self._most_hosts.items())
        return now / most if most else 1.0

    def loss_reason(self) -> str:
        """Why no wave goes out, for people; "" where nothing is lost."""
        if self.available_share() > 1 - LOST_HOSTS_SHARE:
            return ""
        short = [
            f"{name} {self._available(name)} of {most}"
            for name, most in sorted(self._most_hosts.items())
            if self._available(name) < most
        ]
        return "neighbours are lost: " + ", ".join(short) + " hosts stand"

    def excess_per_s(self) -> float:
        """Requests a second beyond what the neighbours left can serve; 0 where it is not known."""
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
        """Whether the drained zone's own hosts are available."""
        return self._available(self._drained_zone) > 0
