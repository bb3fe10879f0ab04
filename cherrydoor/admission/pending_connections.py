"""Connections that have not sent their hello yet, and the queues for TLS handshakes."""

from collections import OrderedDict, deque
from zlib import crc32

from cherrydoor.admission.connections import WAITING, AdmittedConnection
from cherrydoor.admission.leaky_bucket import LeakyBucket
from cherrydoor.admission.limits import ClientLimits

# Connection slots for each pending connection, where no capacity for these is configured.
SLOTS_PER_PENDING = 8
MIN_CAPACITY = 2
# Pending connections drawn at random, of which one is evicted. Four are enough that one of a
# flooding network is very likely among them.
EVICTION_CANDIDATES = 4
HELLO_TIMEOUT_DIVISORS = (1, 2, 5, 10)  # of the hello timeout, by load-shedding step
MIN_HANDSHAKE_BURST = 4.0  # handshakes that may start at once, however low the rate
HANDSHAKE_BURST_DIVISOR = 10  # of the rate: handshakes of a tenth of a second may start at once


class PendingConnections:
    """Connections that are in their handshake or have not sent their hello.

    Attributes:
        unidentified: All of them in order of arrival, including those that wait for a slot of their
            known client.
        slots: Those that count against `capacity`, which are all except connections from the
            configured network of a known client.
        handshake_queues: Those that wait for a handshake. Presumed known clients have their own
            queue, which is served first. A queue may still contain connections that are closed.

    Invariant: `slots` holds no more than `capacity` connections, and `pending_index` of each is its
    index there.
    """

    def __init__(self, client_limits: ClientLimits, now: float) -> None:
        self.client_limits = client_limits
        self.capacity = client_limits.pending or max(
            MIN_CAPACITY, client_limits.connection_slots // SLOTS_PER_PENDING
        )
        self.unidentified: OrderedDict[AdmittedConnection, bool] = OrderedDict()
        self.slots: list[AdmittedConnection] = []
        self.handshake_queues: tuple[deque[AdmittedConnection], deque[AdmittedConnection]] = (
            deque(),
            deque(),
        )
        self.handshake_bucket = LeakyBucket(now)
        self._draw_count = 0

    def _draw(self) -> float:
        """Returns the next pseudo-random number of the seed, at least 0 and below 1."""
        self._draw_count += 1
        # Recorded decisions depend on this text.
        text = f"porch/{self.client_limits.seed}/{self._draw_count}"
        return crc32(text.encode()) / 2.0**32

    def add(self, connection: AdmittedConnection) -> AdmittedConnection | None:
        """Adds the connection, and evicts another if the capacity is reached.

        Of a few connections drawn at random the one is evicted whose network has the most pending
        connections. With a predictable choice, clients could keep the slots occupied by staying
        just as long as they may; the random draw prevents that. The cost is that a connection
        that has just arrived from a flooding network may be evicted; one that sends its hello
        immediately is rarely drawn.

        Returns:
            The evicted connection, which the caller has to close, or None.
        """
        victim = None
        if len(self.slots) >= self.capacity:
            drawn = [
                self.slots[int(self._draw() * len(self.slots))] for _ in range(EVICTION_CANDIDATES)
            ]
            victim = max(
                drawn,
                key=lambda one: (
                    one.presumed_client is None,
                    one.networks[2].pending,
                    one.networks[0].pending,
                    -one.accepted_at_ms,
                ),
            )
            self.discard(victim)
        connection.pending_index = len(self.slots)
        self.slots.append(connection)
        for prefix in connection.networks:
            prefix.pending += 1
        return victim

    def discard(self, connection: AdmittedConnection) -> None:
        """Removes the connection from `slots`, if it is there."""
        slots = self.slots
        index = connection.pending_index
        if index >= len(slots) or slots[index] is not connection:
            return
        last = slots.pop()
        if last is not connection:
            slots[index] = last
            last.pending_index = index
        for prefix in connection.networks:
            prefix.pending -= 1

    def overdue(self, now: float, step: int) -> list[AdmittedConnection]:
        """Returns the connections whose hello timeout is over.

        The timeout is shorter at a higher load-shedding step.
        """
        timeout_ms = self.client_limits.hello_timeout_ms / HELLO_TIMEOUT_DIVISORS[step]
        found = []
        for connection in self.unidentified:
            if now - connection.accepted_at_ms < timeout_ms:
                break
            found.append(connection)
        return found

    def queue_handshake(self, connection: AdmittedConnection) -> None:
        """Queues the connection for its handshake."""
        known_first, unknown = self.handshake_queues
        queue = unknown if connection.presumed_client is None else known_first
        queue.append(connection)

    def next_handshake(self, now: float) -> AdmittedConnection | None:
        """Takes from the queues the connection to start its handshake now; None if there is none.

        None is also returned while the rate limit allows no handshake.
        """
        rate = self.client_limits.handshake_rate
        burst = max(MIN_HANDSHAKE_BURST, rate / HANDSHAKE_BURST_DIVISOR)
        for queue in self.handshake_queues:
            while queue:
                if queue[0].state is not WAITING:
                    queue.popleft()
                elif self.handshake_bucket.wait_ms(now, rate, burst) > 0:
                    return None
                else:
                    self.handshake_bucket.add()
                    return queue.popleft()
        return None

    def handshakes_waiting(self) -> int:
        """Returns the number of entries in the handshake queues."""
        return sum(map(len, self.handshake_queues))
