"""Releases that wait for their first load, and the loads that are under way."""

from typing import NamedTuple

from cherrydoor.releases.load_pacing import LoadPacer
from cherrydoor.releases.messages import ReleaseState
from cherrydoor.releases.release import UNCALLED_TIMEOUT_MS, Release
from cherrydoor.releases.traffic import TrafficTable

LOAD_TIMEOUT_MS = 10000.0  # so long is waited for a load ahead; then the first requests load it


class LoadUnderWay(NamedTuple):
    """A load ahead that has not ended."""

    started_at_ms: float
    release: Release


class LoadQueue:
    """Loads ahead of requests: the most-called function first, as many at once as loads go well.

    Invariant: a release waits only while it is announced, and is under way at most once.
    """

    def __init__(self) -> None:
        """Start without a release."""
        self.pacer = LoadPacer()
        self.under_way: dict[str, LoadUnderWay] = {}
        self._waiting: list[Release] = []

    def add(self, release: Release) -> None:
        """Let an announced release wait for its load."""
        self._waiting.append(release)

    def drop_begun(self) -> None:
        """Forget those waiting that are no longer announced."""
        self._waiting = [
            release for release in self._waiting if release.state is ReleaseState.ANNOUNCED
        ]

    def start(self, now: float, traffic: TrafficTable) -> list[Release]:
        """Begin as many loads as the pacer allows; return their releases.

        A function that is not called is not loaded ahead at all. A paused release that is reached
        leaves the queue.
        """
        self._waiting.sort(
            key=lambda release: (-traffic.calls(release.owner.function), release.owner.function)
        )
        started = []
        while self._waiting and len(self.under_way) < int(self.pacer.limit):
            release = self._waiting[0]
            if not release.paused and not traffic.is_called(release.owner.function):
                break  # and all that follow are called as seldom
            self._waiting.pop(0)
            if release.paused:
                continue
            release.state = ReleaseState.LOADING
            release.since_at_ms = now
            self.under_way[release.name] = LoadUnderWay(now, release)
            started.append(release)
        return started

    def uncalled(self, now: float, traffic: TrafficTable) -> list[Release]:
        """Return those that nobody has called here for so long that they may begin without a load.

        Were one called meanwhile, it would be loaded ahead while the version before serves.
        """
        return [
            release
            for release in self._waiting
            if not traffic.is_called(release.owner.function)
            and not release.paused
            and now - release.since_at_ms >= UNCALLED_TIMEOUT_MS
        ]

    def load_ended(self, name: str, now: float, succeeded: bool) -> Release | None:
        """End a load; return its release, None where no such load is under way."""
        load = self.under_way.pop(name, None)
        if load is None:
            return None
        self.pacer.load_ended(now - load.started_at_ms, succeeded)
        return load.release

    def time_out(self, now: float) -> list[Release]:
        """End the loads that have taken too long; return their releases.

        Guards against a load order that found no host, or whose answer is lost.
        """
        late = [
            name
            for name, load in self.under_way.items()
            if now - load.started_at_ms >= LOAD_TIMEOUT_MS
        ]
        releases = []
        for name in late:
            load = self.under_way.pop(name)
            self.pacer.load_ended(now - load.started_at_ms, False)
            releases.append(load.release)
        return releases

    def forget(self, release: Release) -> None:
        """Wait no longer for a load of this release."""
        self.under_way.pop(release.name, None)
