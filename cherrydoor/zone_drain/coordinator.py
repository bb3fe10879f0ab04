"""Coordinates a zone drain: decides when a wave is announced or rolled back and when it ends.

Waves are numbered under the lease's fencing token, and each participant applies the newest wave
that it has received. A new coordinator continues from the highest wave that any gateway has. It
never returns to an earlier wave and never announces one under an old token.

Pure; times are ms of the caller's clock.
"""

from collections.abc import Callable, Iterable, Sequence

from cherrydoor.protocol.zone_drain import (
    CoordinatorCommand,
    DrainState,
    DrainWave,
    ParticipantReport,
)
from cherrydoor.zone_drain.drain_actions import DrainAction, PreloadCopy, QueryHost
from cherrydoor.zone_drain.drain_record import CoordinatorState, DrainRecord
from cherrydoor.zone_drain.in_flight_check import HostCount, InFlightCheck
from cherrydoor.zone_drain.neighbour_capacity import NeighbourCapacity
from cherrydoor.zone_drain.preload_tracker import PreloadTracker
from cherrydoor.zone_drain.session_groups import LoadedCopy
from cherrydoor.zone_drain.wave_observation import SETTLE_FACTOR_BEYOND_CAPACITY, WaveObservation
from cherrydoor.zone_drain.wave_plan import WavePlan
from cherrydoor.zone_drain.wave_progress import WaveProgress

MAX_ROLLBACKS = 3  # after that many, the drain pauses until an operator resumes it
MAX_GATEWAYS_IN_REASON = 3


class DrainCoordinator:
    """Coordinates one drain under one fencing token, from the last announced wave on.

    Owns the drain's state. Its attributes own the tables: `record` owns what is announced,
    `progress` the waves, `observation` the participants' reports, `preloads` the copies to be
    loaded, `neighbours` the neighbours' capacity, and `in_flight_check` the hosts' own counts.
    Each method that takes an event returns the actions to execute.
    """

    def __init__(
        self,
        zone: str,
        fencing_token: int,
        gateway: str,
        plan: WavePlan,
        living_gateways: Callable[[], Sequence[str]],
        now_ms: float,
        last: DrainWave | None = None,
        copies: Iterable[LoadedCopy] = (),
        listed_hosts: Callable[[], Sequence[str] | None] = lambda: (),
    ):
        """Begins a drain or takes one over; nothing happens until `start` is called.

        Args:
            zone: The zone to be drained.
            fencing_token: Fencing token of the lease under which this coordinator acts.
            gateway: The coordinator's own name.
            plan: The waves, planned from the current reports.
            living_gateways: Returns the names of the gateways that are members now.
            now_ms: The current time, ms.
            last: The highest wave that any gateway has; None if the drain is new.
            copies: Copies that are loaded outside the zone.
            listed_hosts: Returns the zone's hosts in the endpoint list; None if there is no list.
        """
        loaded = list(copies)
        self.plan = plan
        self.record = DrainRecord(zone, fencing_token, gateway, last, loaded)
        self.progress = WaveProgress(plan.waves, last)
        self.observation = WaveObservation(now_ms, living_gateways)
        self.preloads = PreloadTracker(copy.function for copy in loaded)
        self.neighbours = NeighbourCapacity(zone)
        self.in_flight_check = InFlightCheck(listed_hosts)
        self.state = CoordinatorState.PRELOADING
        self._is_undoing = last is not None and last.state == DrainState.UNDOING
        self._starts_paused = False
        if last is not None and last.state == DrainState.PAUSED:
            self._starts_paused = True
            self.record.reason = last.reason
        self._rollback_count = 0

    @property
    def has_moved_all_sessions(self) -> bool:
        """Whether requests are no longer routed to the zone."""
        return self.state in (CoordinatorState.EMPTYING, CoordinatorState.EMPTY)

    @property
    def is_beyond_capacity(self) -> bool:
        """Whether more load has moved than neighbours are known to have capacity for."""
        return self.progress.reached > self.plan.waves_within_capacity

    # ---- events
    def start(self, now_ms: float) -> list[DrainAction]:
        """Continues the drain from its last wave; a pause also holds under a new coordinator."""
        if self._is_undoing:
            return self._undo(now_ms)
        if self._starts_paused:
            self._starts_paused = False
            return self._pause(self.record.reason)
        return self._prepare_next_wave(now_ms)

    def report_received(self, now_ms: float, report: ParticipantReport) -> list[DrainAction]:
        """Processes a participant's report."""
        return self.tick(now_ms) if self.observation.reports.add(now_ms, report) else []

    def copy_loaded(
        self, now_ms: float, function: str, host: str, version: str = ""
    ) -> list[DrainAction]:
        """Records a copy loaded outside the zone; `version` is the function's name at hosts."""
        self.record.add_copy(version or function, host)
        self.preloads.copy_loaded(function)
        return self.tick(now_ms)

    def host_answered(self, now_ms: float, host: str, count: HostCount | None) -> list[DrainAction]:
        """Records a host's own count; None if the host did not report one."""
        self.in_flight_check.host_answered(now_ms, host, count)
        return self.tick(now_ms)

    def command(self, now_ms: float, command: CoordinatorCommand) -> list[DrainAction]:
        """Executes an operator's command; one that is invalid in the current state is ignored."""
        if command == CoordinatorCommand.PAUSE:
            can_pause = self.state in (CoordinatorState.PRELOADING, CoordinatorState.MOVING)
            return self._pause("paused by an operator") if can_pause else []
        if command == CoordinatorCommand.RESUME:
            has_shed = bool(self.record.shed_functions) and self.has_moved_all_sessions
            can_resume = self.state == CoordinatorState.PAUSED or has_shed
            return self._resume(now_ms) if can_resume else []
        return [] if self._is_undoing else self._undo(now_ms)

    def _resume(self, now_ms: float) -> list[DrainAction]:
        self.observation.regression.reset()
        self._rollback_count = 0
        self.record.reason = ""
        self.record.shed_functions = []
        self.preloads.resume()
        return self.start(now_ms)

    def tick(self, now_ms: float) -> list[DrainAction]:
        """Takes the next action that is due, if any."""
        if self._is_undoing or self.state == CoordinatorState.COMPLETED:
            return self._check_wave_effect(now_ms) if self.state == CoordinatorState.MOVING else []
        if loss_reason := self.neighbours.loss_reason():
            return self._handle_lost_neighbours(now_ms, loss_reason)
        if self.record.reason.startswith("neighbours"):
            self.record.reason = ""
        if self.state == CoordinatorState.PRELOADING:
            return self._check_preloads(now_ms)
        if self.state == CoordinatorState.MOVING:
            return self._check_wave_effect(now_ms)
        if self.has_moved_all_sessions and self._has_regressed_after_last_wave(now_ms):
            return self._roll_back_last_wave(now_ms)
        return self._check_empty(now_ms) if self.state == CoordinatorState.EMPTYING else []

    # ---- the next wave
    def _prepare_next_wave(self, now_ms: float) -> list[DrainAction]:
        if self.progress.is_finished:
            return self._begin_emptying(now_ms)
        self.state = CoordinatorState.PRELOADING
        self.observation.begin_preloading(now_ms)
        wanted = self.preloads.begin_wave(now_ms, self.progress.next_wave)
        if wanted:
            return [PreloadCopy(name) for name in wanted]
        return self._send_next_wave(now_ms)

    def _check_preloads(self, now_ms: float) -> list[DrainAction]:
        is_last = self.progress.is_at_last_wave
        overdue = self.preloads.overdue(now_ms, is_last)
        for name in overdue.postpone:
            remaining = self.preloads.postpone(name, self.progress.remaining_waves)
            self.progress.replace_remaining(remaining)
            self.record.reason = f"postponed, no copy loaded: {' '.join(self.preloads.postponed)}"
        if is_last and (reason := self.preloads.give_up_if_overdue(now_ms)):
            return self._pause(reason)
        if self.preloads.pending:
            return [PreloadCopy(name) for name in overdue.order_again]
        if self.progress.next_wave:
            return self._send_next_wave(now_ms)
        self.progress.skip()
        return self._prepare_next_wave(now_ms)

    def _send_next_wave(self, now_ms: float) -> list[DrainAction]:
        if self.neighbours.loss_reason():
            return []
        self.progress.advance()
        self.observation.set_baseline(now_ms)
        return self._announce_move(now_ms, DrainState.MOVING)

    # ---- announcements
    def _announce(self, state: DrainState) -> list[DrainAction]:
        return self.record.announce(state, self.progress.announced_shares())

    def _announce_move(self, now_ms: float, state: DrainState) -> list[DrainAction]:
        self.state = CoordinatorState.MOVING
        self.observation.begin_wave(now_ms)
        return self._announce(state)

    def _begin_emptying(self, now_ms: float) -> list[DrainAction]:
        """Announces that all sessions have moved; those of shed functions are now rejected."""
        self.state = CoordinatorState.EMPTYING
        self.observation.begin_wave(now_ms)
        return self._announce(DrainState.EMPTYING)

    def _pause(self, reason: str) -> list[DrainAction]:
        """Pauses until an operator resumes; announced so that a new coordinator also pauses."""
        self.state = CoordinatorState.PAUSED
        self.record.reason = reason
        return self._announce(DrainState.PAUSED)

    # ---- after a wave
    def _check_wave_effect(self, now_ms: float) -> list[DrainAction]:
        needs_longer_settling = self.is_beyond_capacity and not self._is_undoing
        settle_factor = SETTLE_FACTOR_BEYOND_CAPACITY if needs_longer_settling else 1
        if self.observation.is_wave_in_progress(now_ms, self.record.version, settle_factor):
            return []
        if self._is_undoing:
            return self._undo(now_ms)
        if not self.observation.is_effect_measured(now_ms):
            return []
        if self.observation.has_regressed(now_ms, self.is_beyond_capacity):
            regression = self.observation.regression
            self.record.reason = regression.reason
            return self._roll_back_last_wave(now_ms) if regression.persists(now_ms) else []
        return self._prepare_next_wave(now_ms)

    def _has_regressed_after_last_wave(self, now_ms: float) -> bool:
        """Whether a persistent regression may stem from the last wave and can be rolled back."""
        can_roll_back = self.record.allow_shortfall or self.neighbours.is_drained_zone_available()
        if not self.progress.reached or not can_roll_back:
            return False
        return self.observation.has_regressed_since_last_wave(now_ms, self.is_beyond_capacity)

    def _roll_back_last_wave(self, now_ms: float) -> list[DrainAction]:
        """Rolls the last wave back; pauses after MAX_ROLLBACKS, or if all sessions had moved.

        If a shortfall is allowed, the functions of this wave and of all later ones are shed
        instead: their priority is lower, and no further wave follows.
        """
        had_moved_all_sessions = self.has_moved_all_sessions
        self.record.reason = self.observation.regression.reason
        self.observation.expect_recovery()
        self._rollback_count += 1
        self.progress.roll_back_last()
        if self.record.allow_shortfall:
            self.record.shed_functions = self.progress.remaining_functions()
            return self._begin_emptying(now_ms)
        if had_moved_all_sessions or self._rollback_count >= MAX_ROLLBACKS:
            return self._pause(self.record.reason)
        return self._announce_move(now_ms, DrainState.MOVING)

    def _handle_lost_neighbours(self, now_ms: float, loss_reason: str) -> list[DrainAction]:
        """Stops further waves; rolls back the load that the remaining neighbours cannot serve."""
        if self.state == CoordinatorState.PAUSED:
            return []
        self.record.reason = loss_reason
        excess_per_s = self.neighbours.excess_per_s()
        if (
            not excess_per_s
            or not self.progress.reached
            or not self.neighbours.is_drained_zone_available()
        ):
            return []
        is_moving = self.state == CoordinatorState.MOVING
        if is_moving and self.observation.is_wave_in_progress(now_ms, self.record.version):
            return []
        self.progress.roll_back_rate(excess_per_s)
        return self._announce_move(now_ms, DrainState.MOVING)

    # ---- emptying and undo
    def _check_empty(self, now_ms: float) -> list[DrainAction]:
        """Checks the gateways' reports first, then the hosts' own counts."""
        unconfirmed = self.observation.unconfirmed(self.record.version)
        self.record.reason = ""
        if unconfirmed and self.observation.may_still_confirm(now_ms):
            return []
        living = self.observation.living_gateways()
        busy = self.observation.reports.with_requests_in_flight(living)
        if busy:
            self.record.reason = "requests in flight at " + " ".join(busy[:MAX_GATEWAYS_IN_REASON])
            return []
        if unconfirmed:
            self.record.reason = "wave not confirmed by " + " ".join(
                unconfirmed[:MAX_GATEWAYS_IN_REASON]
            )
        hosts = self.in_flight_check.hosts_to_query(now_ms)
        if not self.in_flight_check.is_empty(now_ms):
            self.record.reason = self.in_flight_check.reason() or self.record.reason
            return [QueryHost(name) for name in hosts]
        self.state = CoordinatorState.EMPTY
        return self._announce(DrainState.EMPTY)

    def _undo(self, now_ms: float) -> list[DrainAction]:
        """Rolls the waves back in reverse order; each must be confirmed before the next."""
        self._is_undoing = True
        if not self.progress.moved_shares:
            self.state = CoordinatorState.COMPLETED
            return self._announce(DrainState.COMPLETED)
        self.progress.roll_back_last()
        return self._announce_move(now_ms, DrainState.UNDOING)
