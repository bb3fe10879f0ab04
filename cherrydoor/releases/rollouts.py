"""The transitions of releases: the one place where a release changes its state."""

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
from cherrydoor.releases.rollback_breaker import ROLLBACKS, RollbackBreaker
from cherrydoor.releases.traffic import TrafficTable

MOST_LOAD_FAILURES = 3  # loads that may fail in a row before the version is rolled back
# Functions whose traffic is split here at once: copies of both versions are colder and take memory
# for both. Further releases go to the last step once they are loaded.
MOST_SPLIT = 2
FEWEST_CALLS_TO_SPLIT = 4.0  # a minute here; below it a function is not split either


class Rollouts:
    """All releases of one gateway, and what may happen to them.

    Invariant: a release that is over has no load under way, and a version that was rolled back is
    not in service.

    Attributes:
        now: The time of the message that is being taken, ms since 1970.
        functions: By name, those that the feed or an operator has announced.
        loads: Loads ahead of requests.
        background: Evidence about all versions that are no canary: the baseline of a release that
            splits no traffic.
        has_unsaved_changes: Whether a state has changed since it was stored.
    """

    def __init__(self, now: float, traffic: TrafficTable) -> None:
        """Start without a release; the traffic table is the controller's and only read here."""
        self.now = now
        self.functions: dict[str, FunctionVersions] = {}
        self.loads = LoadQueue()
        self.background = VersionEvidence()
        self.has_unsaved_changes = False
        self._traffic = traffic
        self._breaker = RollbackBreaker()
        self._actions: list[Action] = []

    def take_actions(self) -> list[Action]:
        """Return the actions that the transitions since the last call ask for."""
        actions = self._actions
        self._actions = []
        return actions

    def announce(self, versions: FunctionVersions, version: int) -> None:
        """Begin the release of a version, unless it or a newer one was announced before."""
        if version <= versions.newest_version:  # twice, or out of order
            return
        versions.newest_version = version
        self.supersede(versions, version)
        release = versions.release = Release(versions, version, self.now)
        self.loads.add(release)
        self.report(release)
        self.start_loads()

    def supersede(self, versions: FunctionVersions, version: int) -> None:
        """End the release in progress, if any, as a newer version has come."""
        release = versions.release
        if release is not None and release.in_progress():
            self._finish(release, ReleaseState.SUPERSEDED, f"by {version}")

    # ---- loads ahead
    def start_loads(self) -> None:
        """Begin what may begin now: loads ahead, and releases that nobody calls here."""
        self.loads.drop_begun()
        if self.rollouts_stopped():
            return
        for release in self.loads.start(self.now, self._traffic):
            self.report(release)
            self._actions.append(LoadAhead(release.name))
        for release in self.loads.uncalled(self.now, self._traffic):
            self.begin_canary(release)
        self.loads.drop_begun()

    def rollouts_stopped(self) -> bool:
        """Return whether no further rollout begins, as several releases were found bad together."""
        return self._breaker.is_open(self.now)

    def split_functions(self) -> int:
        """Return how many functions have their traffic split over two versions here."""
        return sum(
            versions.release is not None
            and versions.release.state is ReleaseState.CANARY
            and versions.release.splits_traffic
            for versions in self.functions.values()
        )

    def load_failed(self, release: Release) -> None:
        """Let a release whose load failed wait for another, or roll it back after several."""
        release.load_failures += 1
        if release.load_failures >= MOST_LOAD_FAILURES:
            self.found_bad(release, "it does not load")
        else:
            release.state = ReleaseState.ANNOUNCED
            self.loads.add(release)

    def begin_canary(self, release: Release) -> None:
        """Give the release its first traffic share."""
        splits_traffic = (
            self._traffic.calls(release.owner.function) >= FEWEST_CALLS_TO_SPLIT
            and self.split_functions() < MOST_SPLIT
        )
        release.begin_canary(self.now, splits_traffic, self.background)
        self.report(release)

    def advance(self, release: Release) -> None:
        """Take the next step, or complete the release, where its evidence or its time allows it."""
        if release.state is not ReleaseState.CANARY or release.paused:
            return
        called_here = self._traffic.is_called(release.owner.function)
        if not release.step_is_over(self.now, called_here):
            return
        if release.step == LAST_STEP:
            self.complete(release, release.proof())
            return
        release.next_step(self.now)
        self.report(release)

    # ---- ends
    def complete(self, release: Release, reason: str) -> None:
        """Put the version in service; the version before may be unloaded."""
        versions = release.owner
        before = version_name(versions.function, versions.version)
        versions.version = release.version
        self._finish(release, ReleaseState.COMPLETE, reason)
        self._actions.append(UnloadIdle(before, tuple(release.hosts)))

    def found_bad(self, release: Release, reason: str) -> None:
        """Roll back by this gateway's own verdict."""
        stopped_before = self.rollouts_stopped()
        self._breaker.add(self.now)
        self.roll_back(release, reason)
        if self.rollouts_stopped() and not stopped_before:
            self._actions.append(
                ReleaseChanged("", 0, "held off", f"{ROLLBACKS} releases found bad together")
            )

    def roll_back(self, release: Release, reason: str) -> None:
        """Take the version out of service for good; its copies may be unloaded."""
        versions = release.owner
        if versions.version == release.version:
            versions.version = release.fallback_version
        versions.add_rolled_back(release.version, reason)
        self._finish(release, ReleaseState.ROLLED_BACK, reason)
        if release.hosts:
            self._actions.append(UnloadIdle(release.name, tuple(release.hosts)))

    def _finish(self, release: Release, state: ReleaseState, reason: str) -> None:
        """The one place where a release ends: a load that is under way is no longer waited for."""
        release.finish(state, reason)
        self.loads.forget(release)
        self.report(release, reason)
        self.start_loads()

    def report(self, release: Release, reason: str = "") -> None:
        """Ask for a log entry about the release's state, and for it to be saved."""
        self.has_unsaved_changes = True
        state = release.state.value
        if release.state is ReleaseState.CANARY:
            state = f"{state}, {release.traffic_share():.0%}"
        self._actions.append(ReleaseChanged(release.owner.function, release.version, state, reason))
