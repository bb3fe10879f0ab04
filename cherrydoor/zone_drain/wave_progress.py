"""Tracks which waves of a plan have been announced, and the shares moved by them. Pure."""

from cherrydoor.protocol.zone_drain import DrainWave, MovedShare
from cherrydoor.zone_drain.participant import ALL_MOVED_STATES
from cherrydoor.zone_drain.wave_plan import Waves, WaveStep


class WaveProgress:
    """Owns the waves of a drain and the moved share of each function.

    Invariant: the first `reached` waves have been announced; no moved share is below theirs, unless
    they have been rolled back.

    Attributes:
        waves: The steps of each wave, including the announced ones.
        reached: Number of announced waves.
        moved_shares: Function -> share of its sessions that is served outside the zone.
    """

    def __init__(self, waves: Waves, last: DrainWave | None):
        """Continues from the last wave that any gateway has; None if the drain is new.

        Sessions that have moved stay moved, even if the new plan would move them later.
        """
        self.waves = [list(wave) for wave in waves]
        self.reached = 0
        self.moved_shares: dict[str, float] = {}
        if last is not None:
            self.moved_shares = {one.function: one.share for one in last.moved_shares}
        all_moved = last is not None and last.state in ALL_MOVED_STATES
        while not self.is_finished and (all_moved or self._has_moved(self.waves[self.reached])):
            self.reached += 1

    def _has_moved(self, wave: list[WaveStep]) -> bool:
        return all(self.moved_shares.get(step.function, 0.0) >= step.share for step in wave)

    @property
    def is_finished(self) -> bool:
        """Whether every wave has been announced."""
        return self.reached >= len(self.waves)

    @property
    def is_at_last_wave(self) -> bool:
        """Whether only one wave is left."""
        return self.reached == len(self.waves) - 1

    @property
    def next_wave(self) -> list[WaveStep]:
        """The steps of the next wave."""
        return self.waves[self.reached]

    @property
    def remaining_waves(self) -> Waves:
        """The waves that have not been announced."""
        return self.waves[self.reached :]

    def replace_remaining(self, waves: Waves) -> None:
        """Replaces the waves that have not been announced."""
        self.waves[self.reached :] = waves

    def advance(self) -> None:
        """Adds the next wave's shares to the moved ones."""
        for step in self.next_wave:
            before = self.moved_shares.get(step.function, 0.0)
            self.moved_shares[step.function] = max(step.share, before)
        self.reached += 1

    def skip(self) -> None:
        """Skips the next wave, which has no step left."""
        self.reached += 1

    def roll_back_last(self) -> None:
        """Rolls the last announced wave back, if there is one."""
        self.reached = max(0, self.reached - 1)
        self._recompute_shares()

    def roll_back_rate(self, requests_per_s: float) -> None:
        """Rolls back as many of the last waves as add up to at least this rate."""
        while requests_per_s > 0 and self.reached:
            self.reached -= 1
            requests_per_s -= sum(step.requests_per_s for step in self.next_wave)
        self._recompute_shares()

    def _recompute_shares(self) -> None:
        self.moved_shares = {}
        for wave in self.waves[: self.reached]:
            for step in wave:
                before = self.moved_shares.get(step.function, 0.0)
                self.moved_shares[step.function] = max(step.share, before)

    def remaining_functions(self) -> list[str]:
        """Returns the functions of the waves that have not been announced, each once."""
        return list(dict.fromkeys(step.function for wave in self.remaining_waves for step in wave))

    def announced_shares(self) -> list[MovedShare]:
        """Returns the moved shares as a wave announces them."""
        return [
            MovedShare(function, share)
            for function, share in self.moved_shares.items()
            if share > 0
        ]
