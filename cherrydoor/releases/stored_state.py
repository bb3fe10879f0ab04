"""The state of rollouts that survives a restart, as plain values for `state_file.py`."""

from typing import NotRequired, TypedDict

from cherrydoor.releases.evidence import StoredEvidence, VersionEvidence
from cherrydoor.releases.messages import ReleaseState
from cherrydoor.releases.release import FunctionVersions, Release


class StoredRelease(TypedDict):
    """A release. `spent` is the time in ms since its current phase (state or step) began."""

    version: int
    step: int
    state: str
    spent: float
    carried: float
    splits: bool
    held: bool
    why: str
    fallback: int
    new: StoredEvidence
    old: StoredEvidence


class StoredFunction(TypedDict):
    """A function's versions. `ended` holds the rolled-back versions with their reasons."""

    version: int
    newest: int
    ended: dict[str, str]
    release: NotRequired[StoredRelease]


def to_stored(versions: FunctionVersions, now: float) -> StoredFunction:
    """Return a function's versions as plain values.

    A release that is loading is stored as announced, so that it is loaded again after a restart.
    """
    stored: StoredFunction = {
        "version": versions.version,
        "newest": versions.newest_version,
        "ended": {str(version): reason for version, reason in versions.rolled_back.items()},
    }
    release = versions.release
    if release is None:
        return stored
    state = release.state
    if state is ReleaseState.LOADING:
        state = ReleaseState.ANNOUNCED
    baseline = release.baseline if release.splits_traffic else VersionEvidence()
    stored["release"] = {
        "version": release.version,
        "step": release.step,
        "state": state.value,
        "spent": now - release.phase_started_at_ms,
        "carried": release.carried_evidence,
        "splits": release.splits_traffic,
        "held": release.paused,
        "why": release.reason,
        "fallback": release.fallback_version,
        "new": release.canary.stored(),
        "old": baseline.stored(),
    }
    return stored


def from_stored(
    function: str, stored: StoredFunction, now: float, background: VersionEvidence
) -> FunctionVersions:
    """Return a function's versions restored from stored values.

    The time that the gateway was down does not count towards the duration of a step.

    Args:
        function: The function's name.
        stored: The values that `to_stored` returned.
        now: The current time, ms since 1970.
        background: The baseline of releases that do not split traffic.

    Raises:
        KeyError, TypeError, ValueError: The values do not have the shape that `to_stored` returns.
    """
    versions = FunctionVersions(
        function,
        stored["version"],
        None,
        stored["newest"],
        {int(version): reason for version, reason in stored["ended"].items()},
    )
    stored_release = stored.get("release")
    if stored_release is None:
        return versions
    release = versions.release = Release(versions, stored_release["version"], now)
    release.state = ReleaseState(stored_release["state"])
    release.step = stored_release["step"]
    release.paused = stored_release["held"]
    release.reason = stored_release["why"]
    release.fallback_version = stored_release["fallback"]
    release.phase_started_at_ms = now - stored_release["spent"]
    release.carried_evidence = stored_release["carried"]
    release.splits_traffic = stored_release["splits"]
    release.canary.restore(stored_release["new"])
    if release.splits_traffic:
        release.baseline.restore(stored_release["old"])
    else:
        release.baseline = background
    return versions
