"""Limits the messages read from each client while the CPU core is overloaded: max-min fairness."""

from collections.abc import Iterable

from cherrydoor.admission.connections import AdmittedConnection, ReadGroup
from cherrydoor.admission.messages import Action, PauseReading, ResumeReading

WINDOW_MS = 100.0  # between two usage measurements, and between two updates of the read level
BUSY_ABOVE = 0.85  # core utilization above which reading is limited
BUSY_TARGET = 0.80  # core utilization that the read level aims at
CALM_BELOW = 0.60  # core utilization below which the read level rises
LEVEL_GROWTH_FACTOR = 1.25  # of the read level after each calm window
MIN_READ_LEVEL = 2  # messages per window that any client may send, however busy the core is
MIN_CONNECTION_READS = 1  # the same for any connection, however many its client has


class FairReading:
    """Sets how many messages are read from each connection, and each group of these, in a window.

    While the core is overloaded, connections that send far more than the rest would make the
    requests of all others miss their latency objectives. The core is divided among the groups, and
    the share of a group among its connections, so that others behind the same address are served
    too. The cost is that a connection which is entitled to more than an equal share is limited to
    it, but only while the core is overloaded.

    Attributes:
        level: The read level: messages that each group may send in a window; None for no limit.
        groups: Exactly the groups with admitted connections.
        paused: The connections from which reading has been paused in this window.
    """

    def __init__(self) -> None:
        self.level: float | None = None
        self.groups: dict[ReadGroup, bool] = {}
        self.paused: dict[AdmittedConnection, bool] = {}

    def add(self, connection: AdmittedConnection, group: ReadGroup) -> None:
        """Adds an admitted connection to its group."""
        connection.move_to(group)
        group.connections[connection] = True
        self.groups[group] = True
        if group.allowed is None and self.level is not None:
            group.allowed = group.connection_allowed = self.level

    def remove(self, connection: AdmittedConnection, group: ReadGroup) -> None:
        """Removes a closed connection from its group."""
        group.connections.pop(connection, None)
        group.readers.pop(connection, None)
        self.paused.pop(connection, None)
        connection.paused = False
        if group.connections:
            return
        self.groups.pop(group, None)
        group.paused = False
        group.read = 0
        group.allowed = None

    def pause(self, connection: AdmittedConnection, group: ReadGroup) -> list[Action]:
        """Pauses reading from a connection until the window ends."""
        if connection.paused or group.allowed is None:
            return []
        connection.paused = True
        group.paused = True
        self.paused[connection] = True
        return [PauseReading(connection)]

    def end_window(self, busy: float) -> list[Action]:
        """Updates the read level, and resumes reading from the paused connections.

        Args:
            busy: Fraction of the window in which the process ran or waited for a core.
        """
        self._set_level(busy)
        allowed = None if self.level is None else int(self.level)
        for group in self.groups:
            if allowed is not None:
                group.connection_allowed = self._connection_level(group, allowed)
            group.allowed = allowed
            group.read = 0
            group.paused = False
            for connection in group.readers:
                connection.read = 0
            group.readers.clear()
        resumed = list(self.paused)
        self.paused.clear()
        for connection in resumed:
            connection.paused = False
        return [ResumeReading(connection) for connection in resumed]

    def _connection_level(self, group: ReadGroup, allowed: float) -> float:
        """Returns how many messages each connection of a group may send in the next window."""
        # A paused connection would have sent more than was read from it.
        demands = [
            float("inf") if connection.paused else connection.read for connection in group.readers
        ]
        if sum(demands) <= allowed:
            return allowed
        return max(MIN_CONNECTION_READS, int(max_min_level(demands, allowed)))

    def _set_level(self, busy: float) -> None:
        """Sets the read level of the next window from the requests that were read in this one."""
        read = [group.read for group in self.groups if group.read]
        if busy > BUSY_ABOVE and read:
            # A paused group would have sent more than was read from it, so its demand is taken as
            # unbounded.
            demands = [
                float("inf") if group.paused else group.read for group in self.groups if group.read
            ]
            level = max_min_level(demands, sum(read) * BUSY_TARGET / busy)
            self.level = max(MIN_READ_LEVEL, level)
        elif self.level is not None and busy < CALM_BELOW:
            self.level *= LEVEL_GROWTH_FACTOR
            if not self.paused and self.level > 2 * max(read, default=0):
                self.level = None  # no group comes near the limit any more


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Returns the level up to which to serve each demand (max-min fairness).

    Serving each demand up to this level uses the capacity, or meets all demands if it is enough.

    >>> max_min_level([1, 2, 10, float("inf")], 13)
    5.0
    >>> max_min_level([1, 2], 10)
    2
    """
    level = 0.0
    left = capacity
    ascending = sorted(demands)
    for served, demand in enumerate(ascending):
        equal_share = left / (len(ascending) - served)
        if demand >= equal_share:
            return equal_share
        level = demand
        left -= demand
    return level
