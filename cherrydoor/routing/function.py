"""One function as this gateway knows it: its place among the hosts, its traffic, its copies."""

from __future__ import annotations

from hashlib import sha1
from typing import TYPE_CHECKING

from cherrydoor.routing.decay import DecayingValue
from cherrydoor.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from cherrydoor.routing.host import Host

MIN_CONCURRENCY_WEIGHT = 0.2  # least weight of a new figure in the mean concurrency
MAX_OTHER_GROUPS = 4  # positions of other groups' second workers that are looked at, at most


def position(key: str) -> float:
    """The place of a key among the hosts, in [0, 1); the same at all gateways."""
    return int.from_bytes(sha1(key.encode()).digest()[:8], "big") / 2.0**64


class Function:
    """A row of the History Table.

    Gateways are folded into groups, and each group has a second worker of its own; the number of
    groups, a power of two, follows the concurrency of the function.

    Attributes:
        call_count: Calls, halved by the History Table.
        open_requests: Requests of the function that are not over.
        home_position: Place of its home worker.
        copy_concurrency: Requests that one copy runs at a time.
        concurrency: Requests at work at a time, over all gateways.
        copies: Host -> when a copy was last known to be loaded there.
        pending_loads: Host -> since when a load that this gateway began is awaited.
        no_memory_until_ms: Host -> until when it is held to have no memory for a copy.
    """

    __slots__ = (
        "_gateway_index",
        "_max_groups",
        "_second_positions",
        "_second_positions_groups",
        "call_count",
        "concurrency",
        "copies",
        "copy_concurrency",
        "groups",
        "home_position",
        "name",
        "no_memory_until_ms",
        "open_requests",
        "pending_loads",
    )

    def __init__(self, name: str, settings: RoutingSettings) -> None:
        self.name = name
        self._gateway_index = settings.gateway_index
        self._max_groups = settings.gateway_count  # more groups would not differ
        self.call_count = 0.0
        self.open_requests = 0
        self.home_position = position(name)
        self.concurrency = DecayingValue()
        self.copy_concurrency = 1
        self.groups = 1
        self.copies: dict[Host, float] = {}
        self.pending_loads: dict[Host, float] = {}
        self.no_memory_until_ms: dict[Host, float] = {}
        self._second_positions: list[float] = []
        self._second_positions_groups = 0  # number of groups that they were computed for

    def lacks_memory_at(self, host: Host, now: float) -> bool:
        """The host has refused a load of the function a short while ago."""
        return self.no_memory_until_ms.get(host, 0) > now

    def second_position(self) -> float:
        """Place of this gateway's second worker."""
        return position(f"{self.name}/{self._gateway_index % self.groups}")

    def second_positions(self) -> list[float]:
        """Places of the own second worker and of up to four others.

        The others are of the lower half of the groups, which gateways that go by half as many
        groups use, too.
        """
        if self._second_positions_groups != self.groups:
            half = max(1, self.groups // 2)
            groups = [
                self._gateway_index % self.groups,
                *((self._gateway_index + offset) % half for offset in range(MAX_OTHER_GROUPS)),
            ]
            self._second_positions = [
                position(f"{self.name}/{group}") for group in dict.fromkeys(groups)
            ]
            self._second_positions_groups = self.groups
        return self._second_positions

    def record_copy(
        self, host: Host, concurrency: int | None, own_estimate: float, now: float
    ) -> None:
        """A copy is loaded at the host; learn the concurrency and adapt the number of groups.

        Args:
            host: Where the copy is.
            concurrency: Requests of the function that the host reports; times the hosts that
                share the function this is the concurrency. None where hosts do not report.
            own_estimate: Concurrency by own calls, used where hosts do not report.
            now: Time in ms.
        """
        self.copies[host] = now
        sample = own_estimate if concurrency is None else concurrency * (1 + self.groups)
        self.concurrency.add_sample(now, sample, MIN_CONCURRENCY_WEIGHT, self.concurrency.value)
        # One group for half of what a copy runs at a time.
        needed = 2 * self.concurrency.value / self.copy_concurrency
        while self.groups < min(needed, self._max_groups):
            self.groups *= 2
        if needed < self.groups / 4 and self.groups > 1:
            self.groups //= 2
