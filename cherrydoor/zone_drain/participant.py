"""A zone drain as each participant applies it: the current wave, and where a request may go.

Of two waves the one with the higher (fencing token, number) applies, whatever order they come in. A
gateway that receives nothing stays at its wave and serves. Sessions move by hash in nested shares:
one that has moved stays moved as the share grows, and no table grows with sessions. Pure; times are
ms of the caller's clock.
"""

from collections import Counter
from zlib import crc32

from msgspec import Struct

from cherrydoor.protocol.zone_drain import DrainState, DrainWave
from cherrydoor.zone_drain.session_groups import OTHER_FUNCTIONS

ALL_MOVED_STATES = (
    DrainState.EMPTYING,
    DrainState.EMPTY,
)  # nothing is steered to the zone any more
KEYS_REMEMBERED_REASON = "its marks are still remembered at a site that is drained"
NO_CAPACITY_REASON = "a site is drained and its neighbours have no room"


def session_key(affinity_key: str, tenant: str, function: str) -> str:
    """What moves together: requests of one affinity key, else of one tenant and function."""
    return affinity_key or f"{tenant}\0{function}"


def unversioned(name: str) -> str:
    """The function that a version is of, as requests name it.

    >>> unversioned("deed-1@7"), unversioned("deed-1")
    ('deed-1', 'deed-1')
    """
    return name.partition("@")[0]


def hash_position(zone: str, session: str) -> float:
    """The position of a session between 0 and 1, alike at every gateway.

    >>> hash_position("z", "a") == hash_position("z", "a") and 0.0 <= hash_position("z", "a") < 1.0
    True
    """
    return crc32(f"{zone}\0{session}".encode()) / 2.0**32


class DrainDecision(Struct, frozen=True):
    """What the drains mean for a request: the zone that is not eligible, and why it is rejected."""

    excluded_zone: str = ""
    rejection_reason: str = ""


UNAFFECTED = DrainDecision()


class Participant:
    """Owns the latest wave of each zone, and since when each function's share has grown.

    Invariant: the wave of a zone never goes back in (fencing token, number). A completed drain
    stays until the next one of that zone, so that its old waves are still known to be old.
    """

    def __init__(self) -> None:
        self.drains: dict[str, DrainWave] = {}
        self.counters: Counter[str] = Counter()
        self._share_grew_at_ms: dict[str, dict[str, float]] = {}

    def accept_wave(self, now_ms: float, wave: DrainWave) -> bool:
        """Goes by the wave if it is newer than the known one; whether it is."""
        known = self.drains.get(wave.zone)
        if known is not None and known.version >= wave.version:
            self.counters["outdated_waves"] += known.version > wave.version
            return False
        before: dict[str, float] = {}
        if known is not None and known.state == DrainState.COMPLETED:
            self._share_grew_at_ms.pop(wave.zone, None)  # another drain: its sessions move anew
        elif known is not None:
            before = {one.function: one.share for one in known.moved_shares}
        grew_at_ms = self._share_grew_at_ms.setdefault(wave.zone, {})
        for one in wave.moved_shares:
            if one.share > before.get(one.function, 0.0):
                grew_at_ms[one.function] = now_ms
        self.drains[wave.zone] = wave
        return True

    def active_drain(self, zone: str) -> DrainWave | None:
        """The latest wave of the zone's drain; None where none goes on."""
        wave = self.drains.get(zone)
        return None if wave is None or wave.state == DrainState.COMPLETED else wave

    def any_active_drain(self) -> DrainWave | None:
        """The latest wave of a drain that goes on, whichever zone it is of."""
        active = (one for one in self.drains.values() if one.state != DrainState.COMPLETED)
        return next(active, None)

    def zones_with_moved_sessions(self) -> list[str]:
        """Zones of which sessions have moved."""
        return [
            zone
            for zone, wave in self.drains.items()
            if wave.state != DrainState.COMPLETED
            and (wave.moved_shares or wave.state in ALL_MOVED_STATES)
        ]

    def decide(
        self, now_ms: float, function: str, retry_safety: str, dedup_window_ms: float, session: str
    ) -> DrainDecision:
        """Where a request may not go, and whether it is rejected.

        A request with an idempotency key that only a part of the hosts remembers does not move
        while that part may still know it: its retry would have its effect again elsewhere. This
        harms in that first requests with new keys are rejected for that time as well.

        Args:
            now_ms: Now.
            function: As the request names it.
            retry_safety: Of its request class.
            dedup_window_ms: For how long a part of the hosts remembers its key; 0 where all hosts
                do, or none.
            session: Its session key.
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
