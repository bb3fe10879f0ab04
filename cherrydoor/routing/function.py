"""One function as this gateway knows it: its positions, its concurrency and its copies."""

from __future__ import annotations

from hashlib import sha1
from typing import TYPE_CHECKING

from cherrydoor.routing.decay import DecayingValue
from cherrydoor.routing.settings import RoutingSettings

if TYPE_CHECKING:
    from cherrydoor.routing.host import Host

MIN_CONCURRENCY_WEIGHT = 0.2  # of a new sample in the mean concurrency
MAX_OTHER_GROUPS = 4  # other groups whose second workers may hold a copy


def position(key: str) -> float:
    """The position of a key in the Zone Table, in [0, 1); the same at all gateways."""
    return int.from_bytes(sha1(key.encode()).digest()[:8], "big") / 2.0**64


class Function:
    """A row of the History Table.

    The gateways are divided into groups by their index, and each group has its own second worker.
    The number of groups is a power of two and follows the concurrency of the function.

    Attributes:
        call_count: Calls by this gateway; the History Table halves the count periodically.
        open_requests: Requests of the function that are not finished.
        home_position: Position of its home worker.
        copy_concurrency: Requests that one copy can run at the same time.
        concurrency: Mean number of requests that run at the same time, over all gateways.
        groups: Number of groups of gateways.
        copies: Host -> when a copy was last known to be loaded there, in ms.
        pending_loads: Host -> when this gateway began a load there that has not ended, in ms.
        no_memory_until_ms: Host -> until when it is assumed to have no memory for a copy.
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
        self._max_groups = settings.gateway_count  # further groups would be empty
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
        self._second_positions_groups = 0  # number of groups that the positions were computed for

    def lacks_memory_at(self, host: Host, now: float) -> bool:
        """Whether the host has recently refused a load of the function for lack of memory."""
        return self.no_memory_until_ms.get(host, 0) > now

    def second_position(self) -> float:
        """Position of the second worker of this gateway's group."""
        return position(f"{self.name}/{self._gateway_index % self.groups}")

    def second_positions(self) -> list[float]:
        """Positions of the own second worker and of up to ``MAX_OTHER_GROUPS`` others.

        The others are of the lower half of the groups, as gateways that still use half as many
        groups send their requests there, too.
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
        """Record a loaded copy, update the concurrency and adapt the number of groups.

        Args:
            host: Host that has the copy.
            concurrency: Requests of the function at the host, as reported. Multiplied by the number
                of hosts that share the function, this gives the concurrency over all gateways. None
                if the host does not report it.
            own_estimate: Concurrency estimated from own calls; used if the host reports none.
            now: Time in ms.
        """
        self.copies[host] = now
        sample = own_estimate if concurrency is None else concurrency * (1 + self.groups)
        self.concurrency.add_sample(now, sample, MIN_CONCURRENCY_WEIGHT, self.concurrency.value)
        # One group for each half of a copy's own concurrency.
        needed = 2 * self.concurrency.value / self.copy_concurrency
        while self.groups < min(needed, self._max_groups):
            self.groups *= 2
        if needed < self.groups / 4 and self.groups > 1:
            self.groups //= 2
