"""Plans the waves in which a zone's sessions move to neighbours with known capacity. Pure.

A wave holds whole session groups or a share of one. It is limited both by its share of the zone's
traffic and by the number of copies to be loaded for it. Sessions beyond the known capacity of the
neighbours are those of the lowest priority; they move last, in smaller waves. If neighbours turn
out to have no capacity for them, they are *shed*: their requests are rejected, so that sessions of
higher priority are still served.
"""

from msgspec import Struct

from cherrydoor.zone_drain.session_groups import SessionGroup, ordered_groups

DEFAULT_WAVE_SHARE = 0.25  # largest share of the zone's request rate that one wave moves
MAX_COPIES_PER_WAVE = 4  # the store and the warm-up budgets allow that many loads at a time
EPSILON = 1e-9  # smaller shares and rates are rounding errors of sums and count as 0


class WaveStep(Struct, frozen=True):
    """One function's part of a wave: sessions with a hash below the share are served elsewhere.

    Attributes:
        function: Name of the function.
        share: Total share that has moved after this step, including earlier steps.
        needs_copy: Whether a copy must first be loaded outside the zone.
        requests_per_s: Requests per second that move with this step.
    """

    function: str
    share: float
    needs_copy: bool = False
    requests_per_s: float = 0.0


Waves = list[list[WaveStep]]


class WavePlan(Struct, frozen=True):
    """The waves of a drain.

    Attributes:
        waves: The steps of each wave.
        waves_within_capacity: Number of waves, from the first on, that fit into the known capacity
            of the neighbours; the waves after them are smaller.
        capacity_per_s: Requests per second that neighbours are known to have capacity for.
        demand_per_s: Requests per second at the zone.
    """

    waves: Waves = []
    waves_within_capacity: int = 0
    capacity_per_s: float = 0.0
    demand_per_s: float = 0.0

    @property
    def shortfall_per_s(self) -> float:
        """Requests per second for which neighbours have no known capacity."""
        return max(0.0, self.demand_per_s - self.capacity_per_s)

    def is_refused(self, allow_shortfall: bool) -> bool:
        """Whether the drain is refused for a shortfall that the operator has not allowed."""
        return self.shortfall_per_s > 0 and not allow_shortfall

    def refusal_reason(self) -> str:
        """Why the drain is refused, as text for operators."""
        return (
            f"neighbours are known to have capacity for {self.capacity_per_s:.1f} more requests "
            f"per second, and this zone has {self.demand_per_s:.1f}: "
            f"{self.shortfall_per_s:.1f} are missing; "
            "--even moves them last and rejects those for which there is no capacity"
        )


class WaveBuilder:
    """Owns the waves while a plan is built.

    Invariant: no closed wave is empty, moves more than its limit or needs more than `max_copies`
    loads.
    """

    def __init__(
        self, capacity_per_s: float, max_per_wave: float, max_copies: int = MAX_COPIES_PER_WAVE
    ):
        self.waves: Waves = []
        self.waves_within_capacity: int | None = None  # None until the capacity is used up
        self._remaining_capacity = capacity_per_s
        self._max_per_wave = max_per_wave
        self._max_copies = max_copies
        self._wave: list[WaveStep] = []
        self._moved = 0.0
        self._copies = 0

    def add_group(self, group: SessionGroup) -> None:
        """Adds steps until the whole group has moved."""
        share = 0.0
        while share < 1 - EPSILON:
            share = self._add_step(group, share)

    def _add_step(self, group: SessionGroup, share: float) -> float:
        """Adds as much of the group as fits into the wave; returns the total share moved."""
        is_beyond_capacity = self._remaining_capacity <= EPSILON
        is_first_beyond = is_beyond_capacity and self.waves_within_capacity is None
        needs_copy = not group.hosts_with_copy and not share
        is_full = self._moved >= self._max_per_wave - EPSILON
        if needs_copy and self._copies >= self._max_copies:
            is_full = True
        if is_full or (is_first_beyond and self._wave):
            self._close_wave()
        if is_first_beyond:  # the part that did not fit moves next, ahead of smaller groups
            self.waves_within_capacity = len(self.waves)
            self._max_per_wave /= 2
        rate = group.requests_per_s
        added = min(
            1 - share,
            (self._max_per_wave - self._moved) / rate,
            1.0 if is_beyond_capacity else self._remaining_capacity / rate,
        )
        share = min(1.0, share + added)
        self._remaining_capacity -= added * rate
        self._moved += added * rate
        self._copies += needs_copy
        step_share = 1.0 if share > 1 - EPSILON else share
        self._wave.append(WaveStep(group.function, step_share, needs_copy, added * rate))
        return share

    def _close_wave(self) -> None:
        self.waves.append(self._wave)
        self._wave = []
        self._moved = 0.0
        self._copies = 0

    def finish(self) -> None:
        """Closes the last wave, if it has steps."""
        if self._wave:
            self._close_wave()


def plan_waves(
    groups: list[SessionGroup],
    capacity_per_s: float,
    wave_share: float = DEFAULT_WAVE_SHARE,
    max_copies: int = MAX_COPIES_PER_WAVE,
) -> WavePlan:
    """Returns the waves that drain a zone of these groups.

    Args:
        groups: The session groups to move.
        capacity_per_s: Requests per second that neighbours are known to have capacity for.
        wave_share: The largest share of the zone's requests that one wave moves.
        max_copies: The largest number of copies that one wave needs loaded.

    >>> groups = [SessionGroup("a", 1.0), SessionGroup("b", 1.0, 5.0)]
    >>> [[step.function for step in wave] for wave in plan_waves(groups, 10.0, 0.5).waves]
    [['b'], ['a']]
    """
    ordered = ordered_groups(groups)
    demand_per_s = sum(group.requests_per_s for group in ordered)
    builder = WaveBuilder(capacity_per_s, max(wave_share * demand_per_s, EPSILON), max_copies)
    for group in ordered:
        builder.add_group(group)
    builder.finish()
    within_capacity = builder.waves_within_capacity
    if within_capacity is None:
        within_capacity = len(builder.waves)
    return WavePlan(builder.waves, within_capacity, capacity_per_s, demand_per_s)


def wave_share_within(duration_ms: float, wave_ms: float) -> float | None:
    """Returns the share per wave with which the drain ends in time; None if no wave fits.

    It is DEFAULT_WAVE_SHARE unless the duration allows too few waves of that share.

    >>> wave_share_within(60000.0, 2000.0), wave_share_within(4000.0, 2000.0)
    (0.25, 0.5)
    >>> wave_share_within(1000.0, 2000.0)
    """
    waves = int(duration_ms // wave_ms)
    return max(DEFAULT_WAVE_SHARE, 1.0 / waves) if waves else None


def served_weight_per_s(plan: WavePlan, groups: list[SessionGroup]) -> float:
    """Returns the priority weight per second that moves within capacity: the quality of an order.

    >>> groups = [SessionGroup("a", 1.0), SessionGroup("b", 1.0, 5.0)]
    >>> served_weight_per_s(plan_waves(groups, 1.0), groups)
    5.0
    """
    known_waves = plan.waves[: plan.waves_within_capacity]
    shares = {step.function: step.share for wave in known_waves for step in wave}
    return sum(
        group.requests_per_s * group.priority_weight * shares.get(group.function, 0.0)
        for group in ordered_groups(groups)
    )
