"""Which host owns which range of the Zone Table, kept up to date with each change of a host.

The work for one change does not grow with the number of hosts, except that all ranges are sorted
anew when they are redistributed. In a fleet of thousands, many hosts are replaced within seconds,
and each replacement is several updates of the endpoint list.
"""

from heapq import heappop, heappush

from cherrydoor.routing.host import Host
from cherrydoor.routing.messages import HostState

# Ranges are redistributed after a vacancy of this length, or after a quarter of it if a new host
# has no range.
REDISTRIBUTE_AFTER_MS = 60000


class RangeOwners:
    """The owner of each range. A range is vacant while its owner is not ready.

    Invariant: a range changes its owner only if a new host fills a vacancy; the host with the
    lowest id fills the first one. All ranges are redistributed only if a vacancy lasts long or a
    host is without a range for long. Few functions therefore move to another host.

    Attributes:
        owners: The hosts in order of their ranges.
    """

    def __init__(self, hosts: dict[str, Host]) -> None:
        """Create the table without ranges.

        Args:
            hosts: All hosts of the router by id; read only.
        """
        self._hosts = hosts
        self.owners: list[Host] = []
        self._positions: dict[Host, int] = {}
        self._gone_owners: set[Host] = set()
        # Positions of vacant ranges and ids of ready hosts without a range, each as a heap and as
        # the set of its entries. Entries that no longer apply are removed when they come up.
        self._vacancies: list[int] = []
        self._vacancy_set: set[int] = set()
        self._new_hosts: list[str] = []
        self._new_host_set: set[str] = set()
        self._complete_at_ms = 0.0  # when last every range had a host and every host a range

    def owns_range(self, host: Host) -> bool:
        """Whether a range belongs to the host."""
        return host in self._positions

    def record_state(self, host: Host) -> None:
        """Record that the host's state in the endpoint list may have changed."""
        position = self._positions.get(host)
        if position is not None:
            self._record_owner(host, position)
        elif host.state == HostState.READY and host.id not in self._new_host_set:
            self._new_host_set.add(host.id)
            heappush(self._new_hosts, host.id)

    def update(self, now: float) -> None:
        """Give vacant ranges to new hosts; redistribute all if the table is incomplete for long."""
        has_new_host = self._fill_vacancies()
        limit_ms = REDISTRIBUTE_AFTER_MS / 4 if has_new_host else REDISTRIBUTE_AFTER_MS
        if not self.owners or now - self._complete_at_ms > limit_ms:
            self._redistribute()
            has_new_host = False
        if not has_new_host and not self._gone_owners:
            self._complete_at_ms = now

    def _record_owner(self, host: Host, position: int) -> None:
        if host.state == HostState.GONE:
            self._gone_owners.add(host)
        else:
            self._gone_owners.discard(host)
        if host.state != HostState.READY and position not in self._vacancy_set:
            self._vacancy_set.add(position)
            heappush(self._vacancies, position)

    def _fill_vacancies(self) -> bool:
        """Give vacant ranges to new hosts; return whether a new host is left without a range."""
        while (host := self._first_new_host()) is not None:
            position = self._first_vacancy()
            if position is None:
                return True
            self._remove_first_new_host()
            self._remove_first_vacancy()
            former = self.owners[position]
            del self._positions[former]
            self._gone_owners.discard(former)
            self.owners[position] = host
            self._positions[host] = position
        return False

    def _first_new_host(self) -> Host | None:
        while self._new_hosts:
            host = self._hosts.get(self._new_hosts[0])
            if host is not None and host.state == HostState.READY and host not in self._positions:
                return host
            self._remove_first_new_host()
        return None

    def _first_vacancy(self) -> int | None:
        while self._vacancies:
            position = self._vacancies[0]
            if self.owners[position].state != HostState.READY:
                return position
            self._remove_first_vacancy()
        return None

    def _remove_first_new_host(self) -> None:
        self._new_host_set.remove(heappop(self._new_hosts))

    def _remove_first_vacancy(self) -> None:
        self._vacancy_set.remove(heappop(self._vacancies))

    def _redistribute(self) -> None:
        """Give each host that is not gone a range, in order of the ids."""
        listed = (host for host in self._hosts.values() if host.state != HostState.GONE)
        self.owners = sorted(listed, key=lambda host: host.id)
        self._positions = {host: position for position, host in enumerate(self.owners)}
        self._gone_owners.clear()
        self._new_hosts.clear()
        self._new_host_set.clear()
        self._vacancies.clear()
        self._vacancy_set.clear()
        for host, position in self._positions.items():
            self._record_owner(host, position)
