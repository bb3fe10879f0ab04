"""A participant in zone drains: keeps each zone's current wave and decides where requests may go.

Of two waves the one with the higher (fencing token, number) applies, in whatever order they arrive.
A gateway that receives no waves stays at its last one and continues to serve. A session is served
outside the zone if its hash is below the moved share. It therefore stays moved as the share grows,
and no table of sessions is needed.

Pure; times are ms of the caller's clock.
"""

from collections import Counter
from zlib import crc32

from msgspec import Struct

from cherrydoor.protocol.zone_drain import DrainState, DrainWave
from cherrydoor.zone_drain.session_groups import OTHER_FUNCTIONS

# In these states no request is routed to the zone.
ALL_MOVED_STATES = (DrainState.EMPTYING, DrainState.EMPTY)
KEYS_REMEMBERED_REASON = "its marks are still remembered at a site that is drained"
NO_CAPACITY_REASON = "a site is drained and its neighbours have no room"


def session_key(affinity_key: str, tenant: str, function: str) -> str:
    """Returns the key of a session: the affinity key, or else tenant and function."""
    return affinity_key or f"{tenant}\0{function}"


def unversioned(name: str) -> str:
    """Returns the function name without its version, as requests use it.

    >>> unversioned("deed-1@7"), unversioned("deed-1")
    ('deed-1', 'deed-1')
    """
    return name.partition("@")[0]


def hash_position(zone: str, session: str) -> float:
    """Returns the session's position in [0, 1), which is the same at every gateway.

    >>> hash_position("z", "a") == hash_position("z", "a") and 0.0 <= hash_position("z", "a") < 1.0
    True
    """
    return crc32(f"{zone}\0{session}".encode()) / 2.0**32


class DrainDecision(Struct, frozen=True):
    """Effect of drains on a request: a zone to avoid and a reason to reject it; "" if none."""

    excluded_zone: str = ""
    rejection_reason: str = ""


UNAFFECTED = DrainDecision()


class Participant:
    """Owns the latest wave of each zone, and when each function's moved share last grew.

    Invariant: the (fencing token, number) of a zone's wave never decreases. A completed drain is
    kept until the zone's next drain, so that its outdated waves are still recognized.
    """

    def __init__(self) -> None:
        self.drains: dict[str, DrainWave] = {}
        self.counters: Counter[str] = Counter()
        self._share_grew_at_ms: dict[str, dict[str, float]] = {}

    def accept_wave(self, now_ms: float, wave: DrainWave) -> bool:
        """Applies the wave if it is newer than the known one; returns whether it was."""
        known = self.drains.get(wave.zone)
        if known is not None and known.version >= wave.version:
            self.counters["outdated_waves"] += known.version > wave.version
            return False
        before: dict[str, float] = {}
        if known is not None and known.state == DrainState.COMPLETED:
            self._share_grew_at_ms.pop(wave.zone, None)  # a new drain moves its sessions again
        elif known is not None:
            before = {one.function: one.share for one in known.moved_shares}
        grew_at_ms = self._share_grew_at_ms.setdefault(wave.zone, {})
        for one in wave.moved_shares:
            if one.share > before.get(one.function, 0.0):
                grew_at_ms[one.function] = now_ms
        self.drains[wave.zone] = wave
        return True

    def active_drain(self, zone: str) -> DrainWave | None:
        """Returns the latest wave of the zone's drain; None if the zone is not being drained."""
        wave = self.drains.get(zone)
        return None if wave is None or wave.state == DrainState.COMPLETED else wave

    def any_active_drain(self) -> DrainWave | None:
        """Returns the latest wave of any active drain; None if there is none."""
        active = (one for one in self.drains.values() if one.state != DrainState.COMPLETED)
        return next(active, None)

    def zones_with_moved_sessions(self) -> list[str]:
        """Returns the draining zones from which sessions have moved."""
        return [
            zone
            for zone, wave in self.drains.items()
            if wave.state != DrainState.COMPLETED
            and (wave.moved_shares or wave.state in ALL_MOVED_STATES)
        ]

    def decide(
        self, now_ms: float, function: str, retry_safety: str, dedup_window_ms: float, session: str
    ) -> DrainDecision:
        """Decides which zone a request must avoid, and whether it is rejected.

        Some idempotency keys are remembered by a part of the hosts only. A request with such a key
        is rejected until the dedup window after its share grew has passed: elsewhere, a retry would
        be executed a second time. The cost is that first requests with new keys are rejected during
        that time too, because they cannot be distinguished from retries.

        Args:
            now_ms: The current time, ms.
            function: Function name as in the request.
            retry_safety: Retry safety of the request class.
            dedup_window_ms: How long a part of the hosts remembers the request's key, ms; 0 if all
                hosts remember it, or none.
            session: Session key of the request.
        """
        for zone, wave in self.drains.items():
            if wave.state == DrainState.COMPLETED:
                continue
            shares = {one.function: one.share for one in wave.moved_shares}
            is_named = function in shares or function in wave.shed_functions
            name = function if is_named else OTHER_FUNCTIONS
            if hash_position(zone, session) < shares.get(name, 0.0):
                grew_at_ms = self._share_grew_at_ms[zone].get(name, 0.0)
                is_remembered = now_ms - grew_at_ms < dedup_window_ms
                if retry_safety == "keyed" and dedup_window_ms and is_remembered:
                    return DrainDecision(zone, KEYS_REMEMBERED_REASON)
                return DrainDecision(zone)
            if wave.state in ALL_MOVED_STATES:
                is_shed = name in wave.shed_functions
                return DrainDecision(zone, NO_CAPACITY_REASON if is_shed else "")
        return UNAFFECTED
