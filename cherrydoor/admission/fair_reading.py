"""How many requests are read from each client while the core is short: max-min fairness."""

from collections.abc import Iterable

from cherrydoor.admission.connections import AdmittedConnection, ReadGroup
from cherrydoor.admission.messages import Action, PauseReading, ResumeReading

WINDOW_MS = 100.0  # between measurements of use, and between settings of the read level
BUSY_ABOVE = 0.85  # use of the core above which reading is limited
BUSY_TARGET = 0.80  # use of the core that the level aims at
CALM_BELOW = 0.60  # use of the core below which the level rises
LEVEL_GROWTH = 1.25  # by which the level rises in a calm window
LOWEST_LEVEL = 2  # requests a window that any client may send, however short the core is


class FairReading:
    """The read level: requests that each group may send in a window, or None for any number.

    Guards others' latency objectives against connections that send far more than the rest. It harms
    a group that has a right to more than an equal part, but only while the core is short, and never
    below LOWEST_LEVEL.

    Invariant: `groups` holds exactly the groups with admitted connections; `limited` those paused
    in this window.
    """

    def __init__(self) -> None:
        self.level: float | None = None
        self.groups: dict[ReadGroup, bool] = {}
        self.limited: dict[ReadGroup, bool] = {}

    def add(self, connection: AdmittedConnection, group: ReadGroup) -> None:
        """The connection is admitted, and is read as part of this group."""
        connection.group = group
        group.connections[connection] = True
        self.groups[group] = True
        if group.allowed is None and self.level is not None:
            group.allowed = self.level

    def remove(self, connection: AdmittedConnection, group: ReadGroup) -> None:
        """The connection is closed."""
        group.connections.pop(connection, None)
        if group.connections:
            return
        self.groups.pop(group, None)
        self.limited.pop(group, None)
        group.paused = False
        group.read = 0
        group.allowed = None

    def pause(self, group: ReadGroup) -> list[Action]:
        """Nothing more is read from the group in this window."""
        if group.paused or group.allowed is None:
            return []
        group.paused = True
        self.limited[group] = True
        return [PauseReading(connection) for connection in group.connections]

    def end_window(self, busy: float) -> list[Action]:
        """Sets the level anew, and resumes those that were paused.

        Args:
            busy: The part of the window in which the process ran or waited for a core.
        """
        self._set_level(busy)
        allowed = None if self.level is None else int(self.level)
        for group in self.groups:
            group.read = 0
            group.allowed = allowed
        actions: list[Action] = []
        for group in self.limited:
            group.paused = False
            actions.extend(ResumeReading(connection) for connection in group.connections)
        self.limited = {}
        return actions

    def _set_level(self, busy: float) -> None:
        """The level for the next window, from what was read in this one."""
        read = [group.read for group in self.groups if group.read]
        if busy > BUSY_ABOVE and read:
            # a group that was paused would have sent more than was read: its demand is unbounded
            demands = [
                float("inf") if group.paused else group.read for group in self.groups if group.read
            ]
            level = max_min_level(demands, sum(read) * BUSY_TARGET / busy)
            self.level = max(LOWEST_LEVEL, level)
        elif self.level is not None and busy < CALM_BELOW:
            self.level *= LEVEL_GROWTH
            if not self.limited and self.level > 2 * max(read, default=0):
                self.level = None  # nobody has been near it: the limit ends by itself


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """The level up to which to serve each so that the capacity is used: max-min fairness.

    >>> max_min_level([1, 2, 10, float("inf")], 13)
    5.0
    >>> max_min_level([1, 2], 10)
    2
    """
    level = 0.0
    left = capacity
    ascending = sorted(demands)
    for served, demand in enumerate(ascending):
        equal = left / (len(ascending) - served)
        if demand >= equal:
            return equal
        level = demand
        left -= demand
    return level
