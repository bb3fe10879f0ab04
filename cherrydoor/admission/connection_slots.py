"""Connection slots: who holds one, and who has to leave for whom."""

from collections.abc import Iterable, Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from cherrydoor.admission import reasons
from cherrydoor.admission.connections import ADMITTED, AdmittedConnection, ReadGroup
from cherrydoor.admission.known_clients import KnownClient, KnownClientTable
from cherrydoor.admission.limits import ClientLimits

SHED_NEW_CLIENTS_STEP = 2  # load-shedding step from which unknown clients get no new slot
OWN_IDLE_DIVISOR = 5  # of `idle_ms`: a connection makes room sooner for one of the same owner
STALE_ENTRIES = 64  # entries of the idle heap beyond twice the connections, before it is made anew


class SlotGrant(NamedTuple):
    """What asking for a slot came to.

    Attributes:
        refusal: Why there is none, as it is sent to the client; "" where there is one.
        victim: An idle connection to be closed to make room, or None.
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

    Invariant: acquire() is the only way to a slot, so that the reserved slots of a known client are
    kept from all others; unknown clients and known ones beyond their own together hold no more than
    `common` slots, once the victims that were named have left.
    """

    def __init__(self, client_limits: ClientLimits, now: float) -> None:
        self.client_limits = client_limits
        self.known_clients = KnownClientTable(client_limits, now)
        self.common = max(0, client_limits.connection_slots - self.known_clients.reserved_slots)
        self.unknown: dict[AdmittedConnection, bool] = {}
        # Connections of unknown clients by when they were used; an entry may be out of date.
        self.idle_heap: list[tuple[float, int, AdmittedConnection]] = []
        self._entries_made = 0

    def common_used(self) -> int:
        """Common slots that are taken."""
        return len(self.unknown) + self.known_clients.common_slots_used()

    def acquire(self, connection: AdmittedConnection, now: float, step: int) -> SlotGrant:
        """Gives the connection a slot of its known client, or a common one, where that can be done.

        Args:
            connection: Its `known_client` says whose slot it is to hold.
            now: Time in ms.
            step: The step of load shedding.
        """
        if connection.known_client is not None:
            return self._acquire_known(connection, connection.known_client, now)
        for prefix in connection.networks:
            most = max(1, int(self.common * self.client_limits.parts[prefix.width]))
            if len(prefix.admitted) >= most:
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
        """The connection of an unknown client holds a slot from now on."""
        self.unknown[connection] = True
        for prefix in connection.networks:
            prefix.admitted[connection] = True
        self._push_idle(connection.used, connection)
        return SlotGrant("", victim) if victim is not None else FREE_SLOT

    def _acquire_known(
        self, connection: AdmittedConnection, client: KnownClient, now: float
    ) -> SlotGrant:
        """A slot for a known client.

        Beyond its reserved slots an idle unknown client makes room, else an idle connection of its
        own: after an outage on its side its old connections look open for a while.
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
        """The connection holds no slot any more; one that held none is left as it is."""
        if connection.known_client is not None:
            connection.known_client.admitted.pop(connection, None)
        elif self.unknown.pop(connection, None):
            for prefix in connection.networks:
                prefix.admitted.pop(connection, None)
            if len(self.idle_heap) > 2 * len(self.unknown) + STALE_ENTRIES:
                self.idle_heap = [entry for entry in self.idle_heap if entry[2] in self.unknown]
                heapify(self.idle_heap)

    def _longest_idle(
        self, connections: Iterable[AdmittedConnection], now: float
    ) -> AdmittedConnection | None:
        """The longest idle of these, if any has been idle for a while."""
        idle_ms = self.client_limits.idle_ms / OWN_IDLE_DIVISOR
        idle = [
            connection
            for connection in connections
            if connection.state is ADMITTED
            and not connection.open
            and now - connection.used >= idle_ms
        ]
        return min(idle, key=lambda one: (one.used, one.accepted_at_ms), default=None)

    def longest_idle_unknown(self, now: float) -> AdmittedConnection | None:
        """The longest idle connection of all unknown clients, if any has been idle for `idle_ms`.

        Entries whose connection was used since are put back where they belong.
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
        """Entries of the same time stay in the order in which they were made."""
        self._entries_made += 1
        heappush(self.idle_heap, (since, self._entries_made, connection))

    def longest_unused_unknown(self) -> AdmittedConnection | None:
        """Any unknown client: one without an open request first, the longest unused of those."""
        return max(self.unknown, key=lambda one: (not one.open, -one.used), default=None)

    def largest_holder(self, group: ReadGroup) -> AdmittedConnection | None:
        """Who holds most bytes of the group or of all unknown clients, if these are too many."""
        candidates: Iterable[AdmittedConnection]
        if group.held_bytes > group.held_bytes_limit:
            candidates = group.connections
        elif group.parent is not None and group.parent.held_bytes > group.parent.held_bytes_limit:
            candidates = self.unknown
        else:
            return None
        return max(candidates, key=lambda one: (one.held, one.accepted_at_ms))

    def unfinished_since(self, before: float) -> list[AdmittedConnection]:
        """Connections with a frame that was begun before this time and is not complete."""
        return [
            connection
            for connection in self._admitted()
            if connection.partial and connection.partial < before
        ]

    def _admitted(self) -> Iterator[AdmittedConnection]:
        """All connections that hold a slot."""
        yield from self.unknown
        for client in self.known_clients.by_name.values():
            yield from client.admitted
