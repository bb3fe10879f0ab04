"""The memory that clients take: what is held for them, its limit, and what use remains of it."""

from collections.abc import Iterable

from cherrydoor.admission.connections import AdmittedConnection, ReadGroup
from cherrydoor.admission.memory_baseline import MemoryBaseline
from cherrydoor.admission.memory_shares import MAX_SHARE_BYTES, MemoryShares, divide_memory

REST_DIVISOR = 8  # at rest no more than this part of the held bytes' limit is held


class ClientMemory:
    """Counts what is held for all clients, and bounds it by the memory of the process.

    Without the bound, clients that send slowly, or read nothing, use up the memory and the process
    is killed. The cost is that a client which holds the most for good reason is disconnected.

    Attributes:
        all_clients: The group of all connections, which counts what is held for them.
        baseline: Resident memory from which use counts.
    """

    def __init__(self) -> None:
        self.all_clients = ReadGroup(MAX_SHARE_BYTES)
        self.baseline = MemoryBaseline()

    def set_limit(self, limit_bytes: float, base_bytes: float, connections: int) -> MemoryShares:
        """Divides the memory of the process; the share for held bytes is in force from now on.

        Args:
            limit_bytes: Memory limit of the process.
            base_bytes: Memory that it uses without clients.
            connections: Client connections that may be open at a time.
        """
        shares = divide_memory(limit_bytes, base_bytes, connections)
        self.all_clients.held_bytes_limit = shares.held
        self.baseline = MemoryBaseline(base_bytes / limit_bytes)
        return shares

    def use(self, now: float, resident: float) -> float:
        """Returns the use of memory that load shedding goes by, from 0.

        Args:
            now: Time in ms.
            resident: Resident memory as a fraction of the limit.
        """
        held = self.all_clients.held_bytes
        is_at_rest = REST_DIVISOR * held <= self.all_clients.held_bytes_limit
        return self.baseline.use(now, resident, is_at_rest)

    @staticmethod
    def largest_holder(
        group: ReadGroup, connections: Iterable[AdmittedConnection]
    ) -> AdmittedConnection | None:
        """Returns the connection that holds the most bytes in the group that is above its limit.

        Args:
            group: Group of a connection that holds more than before.
            connections: All connections that are open.

        Returns:
            None if neither the group nor a wider one is above its limit, or none of its connections
            holds anything.
        """
        above_limit = group.above_limit()
        if above_limit is None:
            return None
        holders = (
            connection
            for connection in connections
            if connection.held and connection.group and connection.group.is_within(above_limit)
        )
        return max(holders, key=lambda one: (one.held, one.accepted_at_ms), default=None)
