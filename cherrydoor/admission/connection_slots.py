"""Connection slots: which connections hold one, and which are evicted for others."""

from collections.abc import Iterable, Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from cherrydoor.admission import reasons
from cherrydoor.admission.connections import ADMITTED, AdmittedConnection, ReadGroup
from cherrydoor.admission.known_clients import KnownClient, KnownClientTable
from cherrydoor.admission.limits import ClientLimits

SHED_NEW_CLIENTS_STEP = 2  # load-shedding step from which unknown clients get no new slot
# `idle_ms` divided by this is the idle time after which a connection may be evicted for another of
# the same owner (known client or network), which is sooner than for a connection of anyone else.
SAME_OWNER_IDLE_DIVISOR = 5
# The idle heap is rebuilt when it has more entries than twice the connections and this many more.
MAX_STALE_HEAP_ENTRIES = 64


class SlotGrant(NamedTuple):
    """The result of a request for a slot.

    Attributes:
        refusal: Reason for the refusal, as it is sent to the client; "" if a slot was granted.
        victim: An idle connection that has to be closed to make room, or None.
    """

    refusal: str
    victim: AdmittedConnection | None


FREE_SLOT = SlotGrant("", None)
REFUSED_FOR_NETWORK = SlotGrant(reasons.TOO_MANY_FROM_NETWORK, None)
REFUSED_WHILE_SHEDDING = SlotGrant(reasons.NO_NEW_CLIENTS, None)
REFUSED_NO_SLOT = SlotGrant(reasons.NO_SLOT_FREE, None)
REFUSED_CLIENT_LIMIT = SlotGrant(reasons.CLIENT_LIMIT_REACHED, None)


class ConnectionSlots:
    """The slots of a gateway: those reserved for known clients, and the common ones.

    Invariants: Slots are granted by acquire() alone, so that no other client gets the reserved
    slots of a known client. Once the victims that acquire() named are closed, no more than `common`
    slots are held by unknown clients and, beyond their reserved slots, by known clients together.
    """

    def __init__(self, client_limits: ClientLimits, all_clients: ReadGroup, now: float) -> None:
        self.client_limits = client_limits
        self.known_clients = KnownClientTable(client_limits, all_clients, now)
        self.common = max(0, client_limits.connection_slots - self.known_clients.reserved_slots)
        self.unknown: dict[AdmittedConnection, bool] = {}
        # Connections of unknown clients by the time of their last use, which may be out of date:
        # longest_idle_unknown() corrects it.
        self.idle_heap: list[tuple[float, int, AdmittedConnection]] = []
        self._entry_count = 0

    def common_used(self) -> int:
        """Returns the number of common slots in use."""
        return len(self.unknown) + self.known_clients.common_slots_used()

    def acquire(self, connection: AdmittedConnection, now: float, step: int) -> SlotGrant:
        """Gives the connection a slot of its known client, or a common slot, if one can be had.

        Args:
            connection: Its `known_client` names whose slot it takes; None for a common slot.
            now: Time in ms.
            step: The current load-shedding step.
        """
        if connection.known_client is not None:
            return self._acquire_known(connection, connection.known_client, now)
        for prefix in connection.networks:
            max_admitted = max(1, int(self.common * self.client_limits.parts[prefix.width]))
            if len(prefix.admitted) >= max_admitted:
                victim = self._longest_idle(prefix.admitted, now)
                if victim is None:
                    return REFUSED_FOR_NETWORK
                return self._grant_common(connection, victim)
        if step >= SHED_NEW_CLIENTS_STEP:
            return REFUSED_WHILE_SHEDDING
        if self.common_used() < self.common:
            return self._grant_common(connection, None)
        victim = self.longest_idle_unknown(now)
        if victim is None:
            return REFUSED_NO_SLOT
        return self._grant_common(connection, victim)

    def _grant_common(
        self, connection: AdmittedConnection, victim: AdmittedConnection | None
    ) -> SlotGrant:
        """Gives the connection of an unknown client a common slot."""
        self.unknown[connection] = True
        for prefix in connection.networks:
            prefix.admitted[connection] = True
        self._push_idle(connection.used, connection)
        return SlotGrant("", victim) if victim is not None else FREE_SLOT

    def _acquire_known(
        self, connection: AdmittedConnection, client: KnownClient, now: float
    ) -> SlotGrant:
        """Gives the connection of a known client a slot.

        Beyond its reserved slots, if no common slot is free, an idle connection of an unknown
        client is evicted or, failing that, an idle connection of the client itself: after an outage
        on the client's side its old connections still look open for a while.
        """
        held = len(client.admitted)
        within_limit = held < client.slot_limit
        victim = None
        if held >= client.reserved_slots and (
            not within_limit or self.common_used() >= self.common
        ):
            if within_limit:
                victim = self.longest_idle_unknown(now)
            if victim is None:
                victim = self._longest_idle(client.admitted, now)
            if victim is None:
                return REFUSED_CLIENT_LIMIT
        client.admitted[connection] = True
        return SlotGrant("", victim) if victim is not None else FREE_SLOT

    def release(self, connection: AdmittedConnection) -> None:
        """Releases the slot of the connection, if it holds one."""
        if connection.known_client is not None:
            connection.known_client.admitted.pop(connection, None)
        elif self.unknown.pop(connection, None):
            for prefix in connection.networks:
                prefix.admitted.pop(connection, None)
            if len(self.idle_heap) > 2 * len(self.unknown) + MAX_STALE_HEAP_ENTRIES:
                self.idle_heap = [entry for entry in self.idle_heap if entry[2] in self.unknown]
                heapify(self.idle_heap)

    def _longest_idle(
        self, connections: Iterable[AdmittedConnection], now: float
    ) -> AdmittedConnection | None:
        """Returns the longest idle of these connections, or None.

        None is returned if none has been idle for `idle_ms / SAME_OWNER_IDLE_DIVISOR`.
        """
        idle_ms = self.client_limits.idle_ms / SAME_OWNER_IDLE_DIVISOR
        idle = [
            connection
            for connection in connections
            if connection.state is ADMITTED
            and not connection.open
            and now - connection.used >= idle_ms
        ]
        return min(idle, key=lambda one: (one.used, one.accepted_at_ms), default=None)

    def longest_idle_unknown(self, now: float) -> AdmittedConnection | None:
        """Returns the longest idle connection of all unknown clients, or None.

        None is returned if none has been idle for `idle_ms`. A heap entry whose connection has been
        used since is pushed again with its later time.
        """
        for _ in range(len(self.idle_heap)):
            used, _, connection = self.idle_heap[0]
            if connection not in self.unknown or connection.state is not ADMITTED:
                heappop(self.idle_heap)
            elif connection.open or connection.used > used:
                heappop(self.idle_heap)
                idle_since = max(connection.used, now if connection.open else 0.0)
                self._push_idle(idle_since, connection)
            elif now - used >= self.client_limits.idle_ms:
                return connection
            else:
                return None
        return None

    def _push_idle(self, since: float, connection: AdmittedConnection) -> None:
        """Adds a heap entry; entries with the same time keep the order in which they were added."""
        self._entry_count += 1
        heappush(self.idle_heap, (since, self._entry_count, connection))

    def longest_unused_unknown(self) -> AdmittedConnection | None:
        """Returns the connection of an unknown client to close when a descriptor has to be freed.

        It is the longest unused of those without a request in flight or on its way; None if there
        is none.
        """
        unused = (one for one in self.unknown if not one.open and not one.partial)
        return min(unused, key=lambda one: one.used, default=None)

    def unfinished_since(self, before: float) -> list[AdmittedConnection]:
        """Returns the connections with an unfinished frame that began before this time in ms."""
        return [
            connection
            for connection in self.admitted()
            if connection.partial and connection.partial < before
        ]

    def admitted(self) -> Iterator[AdmittedConnection]:
        """Yields all connections that hold a slot."""
        yield from self.unknown
        for client in self.known_clients.by_name.values():
            yield from client.admitted
