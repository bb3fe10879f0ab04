"""When hosts started, by this process's clock: stated Unix times are bounded where they come in.

Guards against a wall clock that is wrong when the gateway starts: a host that has just started
would be taken for warm, or be held in slow start for as long as the clock is wrong. Harms a host
that was listed late: it is in slow start for longer than it needs.
"""

from typing import NamedTuple

# A host is listed within this time of its start.
START_NOTICE_MS = 10000.0


class KnownStart(NamedTuple):
    """A start as the list states it, and as it was bounded when it was first read."""

    stated_at_ms: float
    bounded_at_ms: float


class HostStarts:
    """Starts of the hosts that are listed; a host that is gone is dropped.

    Invariant: one stated start of a host keeps one bounded start, so that it is no restart.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownStart] = {}

    def bounded(
        self, host_id: str, stated_at_ms: float, now_ms: float, not_before_ms: float
    ) -> float:
        """Returns when a host started, in ms of this process's clock; 0 for long ago.

        Args:
            host_id: The host.
            stated_at_ms: What the list states, in Unix ms; 0 for long ago.
            now_ms: The present time.
            not_before_ms: When the list was last known not to state this start; 0 for unknown.
        """
        if not stated_at_ms:
            self.forget(host_id)
            return 0.0
        known = self._known.get(host_id)
        if known is None or known.stated_at_ms != stated_at_ms:
            earliest_ms = not_before_ms - START_NOTICE_MS
            known = KnownStart(stated_at_ms, min(now_ms, max(earliest_ms, stated_at_ms)))
            self._known[host_id] = known
        return known.bounded_at_ms

    def forget(self, host_id: str) -> None:
        """Drops a host that is gone or states no start."""
        self._known.pop(host_id, None)
