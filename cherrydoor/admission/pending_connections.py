"""Connections that have not yet said who they are, and the queue for handshakes."""

from collections import OrderedDict, deque
from zlib import crc32

from cherrydoor.admission.connections import WAITING, AdmittedConnection
from cherrydoor.admission.leaky_bucket import LeakyBucket
from cherrydoor.admission.limits import ClientLimits

SLOTS_PER_PENDING = 8  # connection slots for each pending one, where no capacity is configured
LEAST_CAPACITY = 2
DRAWN = 4  # pending connections of which one leaves: enough to meet a network that floods
HELLO_TIMEOUT_DIVISORS = (1, 2, 5, 10)  # of the time for a hello, by load-shedding step
LEAST_HANDSHAKE_BURST = 4.0  # handshakes that may start at once, whatever the rate
HANDSHAKE_BURST_DIVISOR = 10  # of the rate: a tenth of a second of handshakes may start at once


class PendingConnections:
    """Connections in their handshake or before their hello.

    Attributes:
        unidentified: All of them, in the order of arrival, also those that wait for a slot of their
            known client.
        slots: Those that count against `capacity`: all but those with a slot of a known client.
        handshake_queues: Those that wait for a handshake; presumed known clients have a queue of
            their own, which goes first. An entry may be of a connection that is closed.

    Invariant: `slots` holds no more than `capacity`, and a connection in it knows its index there.
    """

    def __init__(self, client_limits: ClientLimits, now: float) -> None:
        self.client_limits = client_limits
        self.capacity = client_limits.pending or max(
            LEAST_CAPACITY, client_limits.connection_slots // SLOTS_PER_PENDING
        )
        self.unidentified: OrderedDict[AdmittedConnection, bool] = OrderedDict()
        self.slots: list[AdmittedConnection] = []
        self.handshake_queues: tuple[deque[AdmittedConnection], deque[AdmittedConnection]] = (
            deque(),
            deque(),
        )
        self.handshake_bucket = LeakyBucket(now)
        self._draws_made = 0

    def _draw(self) -> float:
        """A number from 0 up to 1, by the seed and how many were drawn before."""
        self._draws_made += 1
        text = f"porch/{self.client_limits.seed}/{self._draws_made}"  # part of recorded decisions
        return crc32(text.encode()) / 2.0**32

    def enter(self, connection: AdmittedConnection) -> AdmittedConnection | None:
        """Takes the connection in, and gives the one that has to leave for it, or None.

        Of some that are drawn by chance the one leaves whose network has most pending connections.
        Chance guards against clients that stay just as long as they may. It harms one that has just
        arrived from the network of a flood; one that says who it is at once is rarely among those
        drawn.
        """
        victim = None
        if len(self.slots) >= self.capacity:
            drawn = [self.slots[int(self._draw() * len(self.slots))] for _ in range(DRAWN)]
            victim = max(
                drawn,
                key=lambda one: (
                    one.presumed_client is None,
                    one.networks[2].pending,
                    one.networks[0].pending,
                    -one.accepted_at_ms,
                ),
            )
            self.leave(victim)
        connection.pending_index = len(self.slots)
        self.slots.append(connection)
        for prefix in connection.networks:
            prefix.pending += 1
        return victim

    def leave(self, connection: AdmittedConnection) -> None:
        """The connection counts against the capacity no more; one that did not is left as it is."""
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
        """Those whose time for a hello is over; it is shorter at a higher step of load shedding."""
        timeout_ms = self.client_limits.hello_timeout_ms / HELLO_TIMEOUT_DIVISORS[step]
        found = []
        for connection in self.unidentified:
            if now - connection.accepted_at_ms < timeout_ms:
                break
            found.append(connection)
        return found

    def queue_handshake(self, connection: AdmittedConnection) -> None:
        """The connection waits for its handshake."""
        known_first, unknown = self.handshake_queues
        queue = unknown if connection.presumed_client is None else known_first
        queue.append(connection)

    def next_handshake(self, now: float) -> AdmittedConnection | None:
        """The connection that may begin its handshake now, if the rate allows one."""
        rate = self.client_limits.handshake_rate
        burst = max(LEAST_HANDSHAKE_BURST, rate / HANDSHAKE_BURST_DIVISOR)
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
        """Entries in the queues for handshakes."""
        return sum(map(len, self.handshake_queues))
