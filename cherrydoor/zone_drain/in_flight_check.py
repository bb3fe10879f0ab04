"""Whether a zone is empty by its hosts' own counts, once no gateway has anything in flight there.

A gateway's report covers what it knows to have sent. A host also has what a lost gateway left, what
came from one that is cut off, and what a load order began. A zone is empty when each of its hosts
has twice, a while apart, reported nothing in flight, and nothing arrived in between. Pure; times
are ms of the caller's clock.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

CONFIRMATION_SPACING_MS = 1000.0  # between the two reports of a host
QUERY_INTERVAL_MS = 500.0  # after which a host is queried again
MAX_CONCURRENT_QUERIES = 32  # within that time: each may need a connection, and descriptors are few
MAX_NAMED = 3  # hosts that a reason names


class HostCount(NamedTuple):
    """A host's own count.

    Attributes:
        in_flight: Attempts in flight.
        arrived: Attempts that have ever arrived.
        gateways: Whose attempts are in flight or ended within the last second.
    """

    in_flight: int
    arrived: int
    gateways: Sequence[str] = ()


class HostStatus:
    """What is known of one host.

    Attributes:
        queried_at_ms: When it was last queried.
        has_answered: Whether it answered the last query.
        count: Its last count; None until there is one.
        idle_since_ms: When it first reported nothing in flight, with nothing arrived since; None
            while that is not known.
    """

    __slots__ = ("count", "has_answered", "idle_since_ms", "queried_at_ms")

    def __init__(self) -> None:
        self.queried_at_ms = -1e18
        self.has_answered = False
        self.count: HostCount | None = None
        self.idle_since_ms: float | None = None

    def update(self, now_ms: float, count: HostCount | None) -> None:
        """Takes an answer; None where the host gave none."""
        self.has_answered = count is not None
        if count is None:
            self.idle_since_ms = None
            return
        has_arrivals = self.count is None or count.arrived != self.count.arrived
        if count.in_flight or has_arrivals or self.idle_since_ms is None:
            self.idle_since_ms = None if count.in_flight else now_ms
        self.count = count

    def is_idle(self, now_ms: float) -> bool:
        """Whether two reports, far enough apart, show nothing in flight and no arrival."""
        if not self.has_answered or self.idle_since_ms is None:
            return False
        return now_ms - self.idle_since_ms >= CONFIRMATION_SPACING_MS


class InFlightCheck:
    """Owns the status of each host that the endpoint list has in the zone, draining ones too.

    Harms where a listed host never answers: the zone is not held to be empty until the list drops
    that host.
    """

    def __init__(self, listed_hosts: Callable[[], Sequence[str] | None]):
        """Starts without any count.

        Args:
            listed_hosts: Gives the names of the zone's hosts in the list now; None where no list
                is known here.
        """
        self._listed_hosts = listed_hosts
        self._is_list_known = False
        self.hosts: dict[str, HostStatus] = {}

    def hosts_to_query(self, now_ms: float) -> list[str]:
        """Hosts to be queried now; those that are no longer listed are forgotten."""
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
        """Takes a host's answer; None where it gave none."""
        status = self.hosts.get(host)
        if status is not None:
            status.update(now_ms, count)

    def is_empty(self, now_ms: float) -> bool:
        """Whether every host is idle; never where no list is known."""
        return self._is_list_known and all(one.is_idle(now_ms) for one in self.hosts.values())

    def in_flight(self) -> int:
        """Sum of the last counts of all hosts."""
        return sum(one.count.in_flight for one in self.hosts.values() if one.count)

    def reason(self) -> str:
        """What the check waits for, for people."""
        if not self._is_list_known:
            return "no list of hosts is known to who conducts"
        busy = [
            f"{name} has {one.count.in_flight} in hand, of {' '.join(one.count.gateways)}"
            for name, one in self.hosts.items()
            if one.count and one.count.gateways
        ]
        if busy:
            return "hosts still get work: " + ", ".join(busy[:MAX_NAMED])
        silent = [name for name, one in self.hosts.items() if not one.has_answered]
        if silent:
            return f"hosts that do not say what they have: {' '.join(silent[:MAX_NAMED])}"
        return ""
