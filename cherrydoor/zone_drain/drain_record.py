"""What a coordinator announces of its drain: one record from which every wave is made. Pure."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from cherrydoor.protocol.zone_drain import DrainState, DrainWave, MovedShare, ReadyCopy
from cherrydoor.zone_drain.drain_actions import AnnounceWave, DrainAction
from cherrydoor.zone_drain.participant import ALL_MOVED_STATES
from cherrydoor.zone_drain.session_groups import LoadedCopy
from cherrydoor.zone_drain.wave_plan import DEFAULT_WAVE_SHARE


class CoordinatorState(StrEnum):
    """What a coordinator is doing; operators read the values."""

    PRELOADING = "copies"
    MOVING = "moving"
    PAUSED = "held"
    EMPTYING = "emptying"
    EMPTY = "empty"
    COMPLETED = "over"


class RequestedDrain(NamedTuple):
    """What an operator asked for: the share of a wave, and whether to accept a shortfall."""

    wave_share: float = DEFAULT_WAVE_SHARE
    allow_shortfall: bool = False


class DrainRecord:
    """Owns the number of the last wave and what waves contain beside the moved shares.

    Invariant: the wave number only grows.

    Attributes:
        zone: The zone that is drained.
        fencing_token: Of the lease under which the coordinator acts.
        gateway: The coordinator's name.
        wave: Number of the last wave that was announced.
        reason: What the drain waits for or why it is paused, for people.
        shed_functions: Functions whose remaining sessions are rejected once all others moved.
        wave_share: Share of the zone's traffic that a wave moves at most.
        allow_shortfall: Whether to go on where neighbours lack capacity for all.
    """

    def __init__(
        self,
        zone: str,
        fencing_token: int,
        gateway: str,
        last: DrainWave | None,
        copies: Iterable[LoadedCopy],
    ):
        """Goes on from the last wave that any gateway has; None at the beginning."""
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
        """Of the last wave that was announced."""
        return self.fencing_token, self.wave

    def add_copy(self, version: str, host: str) -> None:
        """Further waves list this copy."""
        self._ready_copies.append(ReadyCopy(version, host))

    def announce(self, state: DrainState, moved_shares: list[MovedShare]) -> list[DrainAction]:
        """The next wave."""
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
    """The current state of the drain, under a new coordinator's token.

    Args:
        zone: The zone to be drained.
        fencing_token: Of the new coordinator's lease.
        gateway: The new coordinator's name.
        last: The latest wave that it knows; None where the drain begins.
        requested: What the operator asked for, where the drain begins.
    """
    reason = f"{gateway} conducts"
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
