"""Releases that wait for their preload, and the preloads that are in flight."""

from typing import NamedTuple

from cherrydoor.releases.load_pacing import LoadPacer
from cherrydoor.releases.messages import ReleaseState
from cherrydoor.releases.release import UNCALLED_TIMEOUT_MS, Release
from cherrydoor.releases.traffic import TrafficTable

# Time after which a preload is given up. The version is then loaded by its first requests.
LOAD_TIMEOUT_MS = 10000.0


class InFlightLoad(NamedTuple):
    """A preload that has not ended."""

    started_at_ms: float
    release: Release


class LoadQueue:
    """Queue of preloads, the most-called function first, with concurrency limited by `LoadPacer`.

    Invariant: only announced releases wait, and each release has at most one load in flight.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.pacer = LoadPacer()
        self.in_flight: dict[str, InFlightLoad] = {}
        self._waiting: list[Release] = []

    def add(self, release: Release) -> None:
        """Queue an announced release for its preload."""
        self._waiting.append(release)

    def remove_started(self) -> None:
        """Remove releases that are no longer announced, because they have started or ended."""
        self._waiting = [
            release for release in self._waiting if release.state is ReleaseState.ANNOUNCED
        ]

    def start(self, now: float, traffic: TrafficTable) -> list[Release]:
        """Start as many loads as the pacer allows; return their releases.

        Functions that are not called at this gateway are not preloaded. A paused release is removed
        when it reaches the head of the queue.
        """
        self._waiting.sort(
            key=lambda release: (
                -traffic.calls(release.function_versions.function),
                release.function_versions.function,
            )
        )
        started = []
        while self._waiting and len(self.in_flight) < int(self.pacer.limit):
            release = self._waiting[0]
            if not release.paused and not traffic.is_called(release.function_versions.function):
                break  # the queue is sorted, so those that follow are not called either
            self._waiting.pop(0)
            if release.paused:
                continue
            release.state = ReleaseState.LOADING
            release.phase_started_at_ms = now
            self.in_flight[release.name] = InFlightLoad(now, release)
            started.append(release)
        return started

    def due_without_load(self, now: float, traffic: TrafficTable) -> list[Release]:
        """Return the waiting releases that may become a canary without a preload.

        Their functions have not been called here for `UNCALLED_TIMEOUT_MS`. If such a function is
        called before then, its release is preloaded while the previous version serves requests.
        """
        return [
            release
            for release in self._waiting
            if not traffic.is_called(release.function_versions.function)
            and not release.paused
            and now - release.phase_started_at_ms >= UNCALLED_TIMEOUT_MS
        ]

    def load_ended(self, name: str, now: float, succeeded: bool) -> Release | None:
        """End a load; return its release, or None if no such load is in flight."""
        load = self.in_flight.pop(name, None)
        if load is None:
            return None
        self.pacer.load_ended(now - load.started_at_ms, succeeded)
        return load.release

    def time_out(self, now: float) -> list[Release]:
        """End the loads that have exceeded `LOAD_TIMEOUT_MS`; return their releases.

        Otherwise a release would wait forever if its load order found no host or the host's answer
        was lost.
        """
        expired = [
            name
            for name, load in self.in_flight.items()
            if now - load.started_at_ms >= LOAD_TIMEOUT_MS
        ]
        releases = []
        for name in expired:
            load = self.in_flight.pop(name)
            self.pacer.load_ended(now - load.started_at_ms, False)
            releases.append(load.release)
        return releases

    def cancel(self, release: Release) -> None:
        """Stop waiting for a load of this release."""
        self.in_flight.pop(release.name, None)
