"""What of the rollouts outlives a restart, as plain values; `state_file.py` writes them."""

from typing import NotRequired, TypedDict

from cherrydoor.releases.evidence import StoredEvidence, VersionEvidence
from cherrydoor.releases.messages import ReleaseState
from cherrydoor.releases.release import FunctionVersions, Release


class StoredRelease(TypedDict):
    """A release; `spent` are the ms that its step has lasted."""

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
    """A function's versions; `ended` are those rolled back, with the reason."""

    version: int
    newest: int
    ended: dict[str, str]
    release: NotRequired[StoredRelease]


def to_stored(versions: FunctionVersions, now: float) -> StoredFunction:
    """Return a function's versions as plain values.

    What is loading is announced again after a restart.
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
        "spent": now - release.since_at_ms,
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
    """Return the versions that were stored.

    A step is not shortened by the time that the gateway was down.

    Args:
        function: Its name.
        stored: What `to_stored` gave.
        now: The time, ms since 1970.
        background: The baseline of releases that split no traffic.

    Raises:
        KeyError, TypeError, ValueError: It is not what `to_stored` gives.
    """
    versions = FunctionVersions(
        function,
        stored["version"],
        None,
        stored["newest"],
        {int(version): reason for version, reason in stored["ended"].items()},
    )
    found = stored.get("release")
    if found is None:
        return versions
    release = versions.release = Release(versions, found["version"], now)
    release.state = ReleaseState(found["state"])
    release.step = found["step"]
    release.paused = found["held"]
    release.reason = found["why"]
    release.fallback_version = found["fallback"]
    release.since_at_ms = now - found["spent"]
    release.carried_evidence = found["carried"]
    release.splits_traffic = found["splits"]
    release.canary.restore(found["new"])
    if release.splits_traffic:
        release.baseline.restore(found["old"])
    else:
        release.baseline = background
    return versions
