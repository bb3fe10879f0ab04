"""The state transitions of releases. Releases change their state only through this module."""

from cherrydoor.releases.evidence import VersionEvidence
from cherrydoor.releases.load_queue import LoadQueue
from cherrydoor.releases.messages import (
    Action,
    LoadAhead,
    ReleaseChanged,
    ReleaseState,
    UnloadIdle,
    version_name,
)
from cherrydoor.releases.release import LAST_STEP, FunctionVersions, Release
from cherrydoor.releases.rollback_breaker import ROLLBACKS_TO_OPEN, RollbackBreaker
from cherrydoor.releases.traffic import TrafficTable

MAX_LOAD_FAILURES = 3  # consecutive failed loads after which a version is rolled back
# Functions whose traffic this gateway splits at the same time. During a split both versions take
# memory, and the copies of each get fewer requests and are cold more often. Releases above this
# limit go to the last step as soon as they are loaded.
MAX_SPLIT_FUNCTIONS = 2
# Approximate calls per minute at this gateway, below which a function's traffic is not split.
MIN_CALLS_TO_SPLIT = 4.0


class Rollouts:
    """All releases of one gateway and their state transitions.

    Invariant: a release that has ended has no load in flight, and a version that was rolled back is
    not in service.

    Attributes:
        now: The time of the message that is being processed, ms since 1970.
        functions: The versions of each function that the feed or an operator has named, by name.
        loads: The queue of preloads.
        background: Evidence about all versions that are not canaries. It is the baseline of
            releases that do not split traffic.
        has_unsaved_changes: Whether any state has changed since it was last stored.
    """

    def __init__(self, now: float, traffic: TrafficTable) -> None:
        """Start without releases. The controller owns the traffic table; here it is only read."""
        self.now = now
        self.functions: dict[str, FunctionVersions] = {}
        self.loads = LoadQueue()
        self.background = VersionEvidence()
        self.has_unsaved_changes = False
        self._traffic = traffic
        self._breaker = RollbackBreaker()
        self._actions: list[Action] = []

    def take_actions(self) -> list[Action]:
        """Return and clear the actions requested by transitions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def announce(self, versions: FunctionVersions, version: int) -> None:
        """Start the release of a version, unless it or a newer one was announced before."""
        if version <= versions.newest_version:  # repeated or out of order
            return
        versions.newest_version = version
        self.supersede(versions, version)
        release = versions.release = Release(versions, version, self.now)
        self.loads.add(release)
        self.record_change(release)
        self.start_loads()

    def supersede(self, versions: FunctionVersions, version: int) -> None:
        """End the release in progress, if any, because a newer version was announced."""
        release = versions.release
        if release is not None and release.in_progress():
            self._finish(release, ReleaseState.SUPERSEDED, f"by {version}")

    # ---- preloads
    def start_loads(self) -> None:
        """Start preloads, and the canaries of functions that are not called here."""
        self.loads.remove_started()
        if self.rollouts_stopped():
            return
        for release in self.loads.start(self.now, self._traffic):
            self.record_change(release)
            self._actions.append(LoadAhead(release.name))
        for release in self.loads.due_without_load(self.now, self._traffic):
            self.begin_canary(release)
        self.loads.remove_started()

    def rollouts_stopped(self) -> bool:
        """Return whether new rollouts are stopped because of several recent rollbacks."""
        return self._breaker.is_open(self.now)

    def split_functions(self) -> int:
        """Return the number of functions whose traffic this gateway splits over two versions."""
        return sum(
            versions.release is not None
            and versions.release.state is ReleaseState.CANARY
            and versions.release.splits_traffic
            for versions in self.functions.values()
        )

    def load_failed(self, release: Release) -> None:
        """Queue the release for another load, or roll it back after `MAX_LOAD_FAILURES`."""
        release.load_failures += 1
        if release.load_failures >= MAX_LOAD_FAILURES:
            self.roll_back_automatically(release, "it does not load")
        else:
            release.state = ReleaseState.ANNOUNCED
            self.loads.add(release)

    def begin_canary(self, release: Release) -> None:
        """Give the release its first traffic share."""
        splits_traffic = (
            self._traffic.calls(release.function_versions.function) >= MIN_CALLS_TO_SPLIT
            and self.split_functions() < MAX_SPLIT_FUNCTIONS
        )
        release.begin_canary(self.now, splits_traffic, self.background)
        self.record_change(release)

    def advance(self, release: Release) -> None:
        """Take the next step or complete the release, if the evidence or the time limit allows."""
        if release.state is not ReleaseState.CANARY or release.paused:
            return
        called_here = self._traffic.is_called(release.function_versions.function)
        if not release.step_is_finished(self.now, called_here):
            return
        if release.step == LAST_STEP:
            self.complete(release, release.completion_reason())
            return
        release.next_step(self.now)
        self.record_change(release)

    # ---- end of a release
    def complete(self, release: Release, reason: str) -> None:
        """Put the version in service; the previous version may be unloaded."""
        versions = release.function_versions
        before = version_name(versions.function, versions.version)
        versions.version = release.version
        self._finish(release, ReleaseState.COMPLETE, reason)
        self._actions.append(UnloadIdle(before, tuple(release.hosts)))

    def roll_back_automatically(self, release: Release, reason: str) -> None:
        """Roll back by this gateway's own verdict, and count the rollback in the breaker."""
        stopped_before = self.rollouts_stopped()
        self._breaker.add(self.now)
        self.roll_back(release, reason)
        if self.rollouts_stopped() and not stopped_before:
            self._actions.append(
                ReleaseChanged(
                    "", 0, "held off", f"{ROLLBACKS_TO_OPEN} releases found bad together"
                )
            )

    def roll_back(self, release: Release, reason: str) -> None:
        """Take the version out of service permanently; its copies may be unloaded."""
        versions = release.function_versions
        if versions.version == release.version:
            versions.version = release.fallback_version
        versions.add_rolled_back(release.version, reason)
        self._finish(release, ReleaseState.ROLLED_BACK, reason)
        if release.hosts:
            self._actions.append(UnloadIdle(release.name, tuple(release.hosts)))

    def _finish(self, release: Release, state: ReleaseState, reason: str) -> None:
        """End the release and stop waiting for its load. All releases end here."""
        release.finish(state, reason)
        self.loads.cancel(release)
        self.record_change(release, reason)
        self.start_loads()

    def record_change(self, release: Release, reason: str = "") -> None:
        """Request a log entry about the release's state, and that the state is saved."""
        self.has_unsaved_changes = True
        state = release.state.value
        if release.state is ReleaseState.CANARY:
            state = f"{state}, {release.traffic_share():.0%}"
        self._actions.append(
            ReleaseChanged(release.function_versions.function, release.version, state, reason)
        )
