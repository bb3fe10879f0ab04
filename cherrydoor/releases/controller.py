"""The rollout controller: one gateway's decisions about releases.

It decides which version of a function a request calls, and how each release proceeds. It does no
I/O: callers pass in messages with the current time and carry out the actions that are returned.
Times are ms since 1970, so that stored times are still valid after a restart.

Memory: `functions` has one entry for each function in the release feed. Evidence is kept only for
releases in progress, with one entry for each host that answered. The traffic table drops functions
that are no longer called.
"""

from typing import assert_never

from cherrydoor.releases.messages import (
    Action,
    AttemptEnded,
    LoadEnded,
    Message,
    OperatorAction,
    OperatorCommand,
    ReleaseState,
    ReleaseUpdated,
    Tick,
    canary_position,
    split_version_name,
    version_name,
)
from cherrydoor.releases.release import FunctionVersions, Release
from cherrydoor.releases.rollouts import MAX_LOAD_FAILURES, Rollouts
from cherrydoor.releases.status import ReleaseStatus, status_rows
from cherrydoor.releases.stored_state import StoredFunction, from_stored, to_stored
from cherrydoor.releases.traffic import HALVING_INTERVAL_MS, TrafficTable
from cherrydoor.routing.messages import AttemptOutcome

# Read for every request. In Python 3.11, reading a global is several times faster than reading an
# enum member.
_SUCCEEDED = AttemptOutcome.SUCCEEDED
_CANARY = ReleaseState.CANARY
_LOADING = ReleaseState.LOADING
_ROLLED_BACK = ReleaseState.ROLLED_BACK

# Evidence is evaluated again once the number of requests has grown by this factor.
EVALUATION_GROWTH = 1.02


class RolloutController:
    """All releases as one gateway sees them.

    Turns messages into state transitions, made by `Rollouts`, and returns the resulting actions.

    Attributes:
        now: The latest time passed in, ms since 1970.
        rollouts: The releases and their transitions.
        functions: The function table of `rollouts`. The feed and `restore` add entries here.
        slow_above_ms: `TrafficTable.slow_above_ms`: the latency in ms above which a request of the
            given function is slow, or 0 if there are too few observations.
    """

    def __init__(self, now: float) -> None:
        """Create a controller without releases."""
        self.now = now
        self._traffic = TrafficTable()
        self.rollouts = Rollouts(now, self._traffic)
        self.functions = self.rollouts.functions
        self._halved_at_ms = now
        self.slow_above_ms = self._traffic.slow_above_ms

    def take(self, now: float, message: Message) -> list[Action]:
        """Process one message; return the actions to carry out."""
        self.now = max(now, self.now)
        self.rollouts.now = self.now
        match message:
            case AttemptEnded():
                self._attempt_ended(message)
            case LoadEnded():
                self._load_ended(message)
            case Tick():
                self._tick()
            case ReleaseUpdated():
                self._release_updated(message)
            case OperatorCommand():
                self._operator_command(message)
            case _:
                assert_never(message)
        return self.rollouts.take_actions()

    # ---- which version a request calls
    def version_for(self, function: str, affinity_key: str) -> str:
        """Count a call; return the name of the version that serves it."""
        self._traffic.add_call(function)
        versions = self.functions.get(function)
        if versions is None:
            return function
        release = versions.release
        if (
            release is not None
            and release.state is _CANARY
            and canary_position(function, release.version, affinity_key) < release.traffic_share()
        ):
            return release.name
        return version_name(function, versions.version)

    def version_for_retry(self, name: str) -> str:
        """Return the name of the version that a retry calls after an attempt at `name`.

        It is the previous version if `name` is a canary or was rolled back, otherwise `name`.
        """
        function, _, version = name.partition("@")
        if not version:
            return name
        versions = self.functions.get(function)
        release = versions.release if versions is not None else None
        if (
            release is not None
            and name == release.name
            and (release.state is _CANARY or release.state is _ROLLED_BACK)
        ):
            return version_name(function, release.fallback_version)
        return name

    # ---- the feed and the operator
    def _release_updated(self, update: ReleaseUpdated) -> None:
        versions = self.functions.get(update.function)
        if versions is None:
            versions = self.functions[update.function] = FunctionVersions(update.function)
        if update.state == ReleaseState.ANNOUNCED:
            self.rollouts.announce(versions, update.version)
            return
        versions.newest_version = max(versions.newest_version, update.version)
        if update.state == ReleaseState.ROLLED_BACK:
            self._rolled_back_by_feed(versions, update.version)
        elif update.state == ReleaseState.COMPLETE:
            self._completed_by_feed(versions, update.version)

    def _rolled_back_by_feed(self, versions: FunctionVersions, version: int) -> None:
        release = versions.release
        if (
            release is not None
            and release.version == version
            and release.state is not ReleaseState.ROLLED_BACK
        ):
            self.rollouts.roll_back(release, "by whoever released it")
        elif versions.version == version:  # in service, but never a canary at this gateway
            versions.version = 0
            versions.rolled_back[version] = "withdrawn by whoever released it"
            self.rollouts.has_unsaved_changes = True

    def _completed_by_feed(self, versions: FunctionVersions, version: int) -> None:
        if version in versions.rolled_back or version < versions.version:
            return
        release = versions.release
        if release is not None and release.version == version:
            if release.state is not ReleaseState.COMPLETE:
                self.rollouts.complete(release, "by whoever released it")
        elif release is None or release.version < version:
            self.rollouts.supersede(versions, version)
            versions.version = version
            versions.release = None
            self.rollouts.has_unsaved_changes = True

    def _operator_command(self, command: OperatorCommand) -> None:
        versions = self.functions.get(command.function)
        release = versions.release if versions is not None else None
        if release is None:
            return
        action = command.action
        if not release.in_progress():
            if action == OperatorAction.ROLL_BACK and release.state is ReleaseState.COMPLETE:
                self.rollouts.roll_back(release, "by hand")
        elif action in (OperatorAction.PAUSE, OperatorAction.RESUME):
            release.paused = action == OperatorAction.PAUSE
            release.phase_started_at_ms = self.now
            self.rollouts.record_change(release, str(action))
        elif action == OperatorAction.ROLL_BACK:
            self.rollouts.roll_back(release, "by hand")
        elif action == OperatorAction.COMPLETE:
            self.rollouts.complete(release, "by hand")

    def _load_ended(self, load: LoadEnded) -> None:
        succeeded = load.outcome == _SUCCEEDED
        release = self.rollouts.loads.load_ended(load.name, self.now, succeeded)
        if release is None:
            return
        if release.state is ReleaseState.LOADING:
            if succeeded:
                self.rollouts.begin_canary(release)
            else:
                self.rollouts.load_failed(release)
        self.rollouts.start_loads()

    # ---- evidence
    def _attempt_ended(self, attempt: AttemptEnded) -> None:
        function, version = split_version_name(attempt.name)
        versions = self.functions.get(function)
        release = versions.release if versions is not None else None
        slow_above_ms = self.slow_above_ms(function)
        if release is None or version != release.version:
            if attempt.outcome == _SUCCEEDED and not attempt.cold:
                self._traffic.add_latency(function, attempt.took_ms)
            self.rollouts.background.add_local(attempt, slow_above_ms, tenant="")
        if release is None or not (release.state is _CANARY or release.state is _LOADING):
            return
        if version == release.version:
            self._canary_attempt_ended(release, attempt, slow_above_ms)
        elif version == release.fallback_version and release.splits_traffic:
            release.baseline.add(attempt, slow_above_ms)

    def _canary_attempt_ended(
        self, release: Release, attempt: AttemptEnded, slow_above_ms: float
    ) -> None:
        release.hosts[attempt.host] = None
        if attempt.load_failed:
            release.load_failures += 1
            if release.load_failures >= MAX_LOAD_FAILURES and release.state is ReleaseState.CANARY:
                self.rollouts.roll_back_automatically(release, "it does not load")
                return
        elif attempt.outcome == _SUCCEEDED:
            release.load_failures = 0
        release.canary.add(attempt, slow_above_ms)
        requests = release.canary.count("errors").total + release.canary.lost.total
        if requests < EVALUATION_GROWTH * release.evaluated_requests:
            return  # with many requests counted, a few more hardly change the verdict
        release.evaluated_requests = requests
        worse_measure = release.verdict()
        if worse_measure:
            self.rollouts.roll_back_automatically(release, f"worse in {worse_measure}")
        else:
            self.rollouts.advance(release)

    # ---- time
    def _tick(self) -> None:
        if self.now - self._halved_at_ms >= HALVING_INTERVAL_MS:
            self._halved_at_ms = self.now
            self.rollouts.background.halve()
            self._traffic.halve()
        for release in self.rollouts.loads.time_out(self.now):
            if release.state is ReleaseState.LOADING:
                self.rollouts.begin_canary(release)
        for versions in self.functions.values():
            if versions.release is not None and versions.release.state is ReleaseState.CANARY:
                self.rollouts.advance(versions.release)
        self.rollouts.start_loads()

    # ---- persistence and operator status
    @property
    def has_unsaved_changes(self) -> bool:
        """Whether any state has changed since the last call of `stored`."""
        return self.rollouts.has_unsaved_changes

    def stored(self) -> dict[str, StoredFunction]:
        """Return the state that must survive a restart, as plain values."""
        self.rollouts.has_unsaved_changes = False
        return {
            versions.function: to_stored(versions, self.now) for versions in self.functions.values()
        }

    def restore(self, stored: dict[str, StoredFunction]) -> None:
        """Restore the state that `stored` returned before the restart.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: The value does not have the shape that
                `stored` returns.
        """
        for function, values in stored.items():
            versions = from_stored(function, values, self.now, self.rollouts.background)
            self.functions[function] = versions
            release = versions.release
            if release is not None and release.state is ReleaseState.ANNOUNCED:
                self.rollouts.loads.add(release)

    def table(self) -> list[ReleaseStatus]:
        """Return the operator's status table: one row for each function that has a release."""
        return status_rows(self.functions.values(), self._traffic)
