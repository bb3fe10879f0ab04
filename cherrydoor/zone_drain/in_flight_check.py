"""Checks by the hosts' own counts that a zone is empty, once no gateway reports requests there.

A gateway reports only attempts that it knows of. A host may also have attempts of a gateway that
ended, attempts of a gateway that the coordinator cannot reach, and work begun by a load order. A
zone is empty when each of its hosts has reported nothing in flight twice, at least
CONFIRMATION_SPACING_MS apart, and no attempt has arrived in between.

Pure; times are ms of the caller's clock.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

CONFIRMATION_SPACING_MS = 1000.0  # least time between the two idle reports of a host
QUERY_INTERVAL_MS = 500.0  # between two queries of a host
# Hosts queried within one QUERY_INTERVAL_MS: each query may need a connection, and file descriptors
# are limited.
MAX_CONCURRENT_QUERIES = 32
MAX_HOSTS_IN_REASON = 3


class HostCount(NamedTuple):
    """A host's own count.

    Attributes:
        in_flight: Number of attempts in flight.
        arrived: Number of attempts that have ever arrived.
        gateways: Gateways whose attempts are in flight or ended within the last second.
    """

    in_flight: int
    arrived: int
    gateways: Sequence[str] = ()


class HostStatus:
    """Query status of one host.

    Attributes:
        queried_at_ms: Time of the last query, ms.
        has_answered: Whether it answered the last query.
        count: Its last count; None before the first.
        idle_since_ms: Time of the first report with nothing in flight since the last arrival, ms;
            None while the host is busy or its state unknown.
    """

    __slots__ = ("count", "has_answered", "idle_since_ms", "queried_at_ms")

    def __init__(self) -> None:
        self.queried_at_ms = -1e18
        self.has_answered = False
        self.count: HostCount | None = None
        self.idle_since_ms: float | None = None

    def update(self, now_ms: float, count: HostCount | None) -> None:
        """Records an answer; None if the host did not answer."""
        self.has_answered = count is not None
        if count is None:
            self.idle_since_ms = None
            return
        has_arrivals = self.count is None or count.arrived != self.count.arrived
        if count.in_flight or has_arrivals or self.idle_since_ms is None:
            self.idle_since_ms = None if count.in_flight else now_ms
        self.count = count

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether two reports, far enough apart, show nothing in flight and no arrival."""
        if not self.has_answered or self.idle_since_ms is None:
            return False
        return now_ms - self.idle_since_ms >= CONFIRMATION_SPACING_MS


class InFlightCheck:
    """Owns the status of each host of the zone in the endpoint list, including draining hosts.

    A listed host that never answers has a cost: the zone does not count as empty until the endpoint
    list drops that host.
    """

    def __init__(self, listed_hosts: Callable[[], Sequence[str] | None]):
        """Starts without counts.

        Args:
            listed_hosts: Returns the names of the zone's hosts in the current endpoint list; None
                if this gateway has no list.
        """
        self._listed_hosts = listed_hosts
        self._is_list_known = False
        self.hosts: dict[str, HostStatus] = {}

    def hosts_to_query(self, now_ms: float) -> list[str]:
        """Returns the hosts to query now; drops the status of hosts that are no longer listed."""
        listed = self._listed_hosts()
        self._is_list_known = listed is not None
        if listed is None:
            return []
        self.hosts = {name: self.hosts.get(name) or HostStatus() for name in listed}
        due = [
            name for name in listed if now_ms - self.hosts[name].queried_at_ms >= QUERY_INTERVAL_MS
        ]
        due.sort(key=lambda name: self.hosts[name].queried_at_ms)
        recently_queried = len(listed) - len(due)
        chosen = due[: MAX_CONCURRENT_QUERIES - recently_queried]
        for name in chosen:
            self.hosts[name].queried_at_ms = now_ms
        return chosen

    def host_answered(self, now_ms: float, host: str, count: HostCount | None) -> None:
        """Records a host's answer; None if it did not answer."""
        status = self.hosts.get(host)
        if status is not None:
            status.update(now_ms, count)

    def is_empty(self, now_ms: float) -> bool:
        """Returns whether every host is idle; False if there is no endpoint list."""
        return self._is_list_known and all(one.is_idle(now_ms) for one in self.hosts.values())

    def in_flight(self) -> int:
        """Returns the sum of all hosts' last counts of attempts in flight."""
        return sum(one.count.in_flight for one in self.hosts.values() if one.count)

    def reason(self) -> str:
        """Returns what the check waits for, as text for operators; "" if it is not known."""
        if not self._is_list_known:
            return "the coordinator has no endpoint list"
        busy = [
            f"{name} has {one.count.in_flight} in flight, of {' '.join(one.count.gateways)}"
            for name, one in self.hosts.items()
            if one.count and one.count.gateways
        ]
        if busy:
            return "hosts still have or recently had attempts: " + ", ".join(
                busy[:MAX_HOSTS_IN_REASON]
            )
        silent = [name for name, one in self.hosts.items() if not one.has_answered]
        if silent:
            return f"hosts that have not answered: {' '.join(silent[:MAX_HOSTS_IN_REASON])}"
        return ""
