"""The record of a drain from which its coordinator builds every wave. Pure."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from cherrydoor.protocol.zone_drain import DrainState, DrainWave, MovedShare, ReadyCopy
from cherrydoor.zone_drain.drain_actions import AnnounceWave, DrainAction
from cherrydoor.zone_drain.participant import ALL_MOVED_STATES
from cherrydoor.zone_drain.session_groups import LoadedCopy
from cherrydoor.zone_drain.wave_plan import DEFAULT_WAVE_SHARE


class CoordinatorState(StrEnum):
    """State of a coordinator; operators read the values."""

    PRELOADING = "copies"
    MOVING = "moving"
    PAUSED = "held"
    EMPTYING = "emptying"
    EMPTY = "empty"
    COMPLETED = "over"


class RequestedDrain(NamedTuple):
    """An operator's request: the share per wave, and whether to accept a capacity shortfall."""

    wave_share: float = DEFAULT_WAVE_SHARE
    allow_shortfall: bool = False


class DrainRecord:
    """Owns the number of the last wave, and the contents of waves except the moved shares.

    Invariant: the wave number never decreases.

    Attributes:
        zone: The zone that is drained.
        fencing_token: Fencing token of the lease under which the coordinator acts.
        gateway: The coordinator's name.
        wave: Number of the last wave that was announced.
        reason: What the drain waits for or why it is paused, as text for operators.
        shed_functions: Functions whose remaining sessions are rejected once all others have moved.
        wave_share: The largest share of the zone's traffic that one wave moves.
        allow_shortfall: Whether to drain although neighbours lack capacity for all sessions.
    """

    def __init__(
        self,
        zone: str,
        fencing_token: int,
        gateway: str,
        last: DrainWave | None,
        copies: Iterable[LoadedCopy],
    ):
        """Continues from the last wave that any gateway has; None if the drain is new."""
        self.zone = zone
        self.fencing_token = fencing_token
        self.gateway = gateway
        self.wave = last.wave if last else 0
        self.reason = ""
        self.shed_functions = list(last.shed_functions) if last else []
        self.wave_share = last.wave_share if last else DEFAULT_WAVE_SHARE
        self.allow_shortfall = last is not None and last.allow_shortfall
        self._ready_copies = [ReadyCopy(copy.version, copy.host) for copy in copies]

    @property
    def version(self) -> tuple[int, int]:
        """Version of the last announced wave: its fencing token and number."""
        return self.fencing_token, self.wave

    def add_copy(self, version: str, host: str) -> None:
        """Adds a copy to all later waves."""
        self._ready_copies.append(ReadyCopy(version, host))

    def announce(self, state: DrainState, moved_shares: list[MovedShare]) -> list[DrainAction]:
        """Returns the action that announces the next wave."""
        self.wave += 1
        wave = DrainWave(
            zone=self.zone,
            fencing_token=self.fencing_token,
            wave=self.wave,
            coordinator=self.gateway,
            state=state,
            moved_shares=moved_shares,
            shed_functions=self.shed_functions if state in ALL_MOVED_STATES else [],
            ready_copies=self._ready_copies,
            reason=self.reason,
            wave_share=self.wave_share,
            allow_shortfall=self.allow_shortfall,
        )
        return [AnnounceWave(wave)]


def takeover_wave(
    zone: str, fencing_token: int, gateway: str, last: DrainWave | None, requested: RequestedDrain
) -> DrainWave:
    """Returns a wave with the drain's unchanged state under the new coordinator's token.

    Args:
        zone: The zone to be drained.
        fencing_token: Fencing token of the new coordinator's lease.
        gateway: The new coordinator's name.
        last: The latest wave that it knows; None if the drain is new.
        requested: The operator's request, used only if the drain is new.
    """
    reason = f"{gateway} coordinates the drain"
    if last is None:
        return DrainWave(
            zone,
            fencing_token,
            wave=0,
            coordinator=gateway,
            reason=reason,
            wave_share=requested.wave_share,
            allow_shortfall=requested.allow_shortfall,
        )
    return DrainWave(
        zone,
        fencing_token,
        last.wave,
        gateway,
        last.state,
        last.moved_shares,
        last.shed_functions,
        last.ready_copies,
        reason,
        last.wave_share,
        last.allow_shortfall,
    )
