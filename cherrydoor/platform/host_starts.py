"""Converts stated start times of hosts to this process's clock, within plausible bounds.

The bounds matter when the wall clock is wrong at the start of the gateway. Without them, a host
that has just started could count as warm, or stay in slow start for as long as the clock is off.
The cost is that a host which was listed late stays in slow start for longer than necessary.
"""

from typing import NamedTuple

from cherrydoor.routing.host_identity import START_NOTICE_MS


class KnownStart(NamedTuple):
    """A start time as the list states it, and its bounded value from when it was first read."""

    stated_at_ms: float
    bounded_at_ms: float


class HostStarts:
    """Start times of the listed hosts; a host that is gone is removed.

    Invariant: as long as a host's stated start stays the same, so does its bounded start. Otherwise
    the change would count as a restart of the host.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownStart] = {}

    def bounded(
        self, host_id: str, stated_at_ms: float, now_ms: float, not_before_ms: float
    ) -> float:
        """Returns when a host started, in ms of this process's clock; 0 if unknown or long ago.

        Args:
            host_id: The host.
            stated_at_ms: Start time in the endpoint list, in Unix ms; 0 if unknown or long ago.
            now_ms: Current time, in ms of this process's clock.
            not_before_ms: Last time at which the list did not state this start; 0 if unknown.
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
        """Removes a host that is gone or has no stated start."""
        self._known.pop(host_id, None)
