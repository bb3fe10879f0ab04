"""The status of rollouts as shown to operators."""

from collections.abc import Iterable
from typing import TypedDict

from cherrydoor.releases.evidence import Measure
from cherrydoor.releases.release import FunctionVersions, Release
from cherrydoor.releases.traffic import TrafficTable


class ReleaseStatus(TypedDict):
    """One release in the response of the control socket.

    `errors`, `slow` and `lost` each hold four counts: canary failures and total, then baseline
    failures and total. `before` is the previous version.
    """

    function: str
    version: int
    before: int
    state: str
    share: float
    held: bool
    why: str
    calls: float
    errors: list[int]
    slow: list[int]
    lost: list[int]


def _counts(release: Release, measure: Measure) -> list[int]:
    canary = release.canary.count(measure)
    baseline = release.baseline.count(measure)
    return [canary.failures, canary.total, baseline.failures, baseline.total]


def status_rows(
    functions: Iterable[FunctionVersions], traffic: TrafficTable
) -> list[ReleaseStatus]:
    """Return a row for each function that has a release, sorted by calls, highest first."""
    rows: list[ReleaseStatus] = []
    for versions in functions:
        release = versions.release
        if release is None:
            continue
        rows.append(
            {
                "function": versions.function,
                "version": release.version,
                "before": release.fallback_version,
                "state": release.state.value,
                "share": release.traffic_share(),
                "held": release.paused,
                "why": release.reason,
                "calls": round(traffic.calls(versions.function), 1),
                "errors": _counts(release, "errors"),
                "slow": _counts(release, "slow"),
                "lost": _counts(release, "lost"),
            }
        )
    return sorted(rows, key=lambda row: (-row["calls"], row["function"]))
