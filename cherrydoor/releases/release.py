"""One release of a function: its state, its traffic share, and what its evidence allows.

A release is announced, loading, canary, complete, rolled back or superseded. As a canary it has a
share of the requests, by a hash of the affinity key, that grows step by step.
"""

from dataclasses import dataclass, field

from cherrydoor.releases.evidence import Measure, VersionEvidence
from cherrydoor.releases.messages import ReleaseState, version_name
from cherrydoor.releases.sequential_analysis import (
    FailureCount,
    evidence_to_carry,
    is_no_worse,
    is_worse,
)

# Traffic shares by step; at the last one the version before keeps some requests to compare with.
TRAFFIC_SHARES = (0.2, 0.4, 0.7, 0.9)
LAST_STEP = len(TRAFFIC_SHARES) - 1
NEEDED_REQUESTS = (20, 40, 60, 150)  # of the canary, that each step has seen before the next
# A step ends after so long with fewer, as the function is seldom called ...
STEP_TIMEOUT_MS = 300000.0
UNCALLED_TIMEOUT_MS = 30000.0  # ... and after so long where nobody calls it at this gateway

# Part of the versions that are no worse which may be rolled back, over all steps and tests; by
# step; by measure. What the measures leave is for failures that strike single tenants.
FALSE_ROLLBACK_RATE = 0.02
STEP_PARTS = (0.4, 0.2, 0.2, 0.2)
MEASURE_PARTS: dict[Measure, float] = {"errors": 0.5, "slow": 0.25, "lost": 0.15}
TENANT_PART = 1 - sum(MEASURE_PARTS.values())
MARGINS: dict[Measure, float] = {"errors": 0.0, "slow": 0.1, "lost": 0.02}  # tolerated differences
TENANT_MARGIN = 0.02
TENANT_BASELINE_REQUESTS = 5  # with fewer, a tenant is compared with the baseline of all tenants

HINT_ALPHA = 0.3  # with evidence against the canary at this level, a step is not taken
STEP_MARGINS = (0.17, 0.1, 0.08)  # a step is taken once errors lie, likely, within this of before
COMPLETE_ALPHA = 0.05  # the release completes once errors lie, surely, ...
COMPLETE_MARGIN = 0.05  # ... within this of before

# Read for each request: in Python 3.11 a global is several times as fast as an enum's member.
_CANARY = ReleaseState.CANARY

ROLLED_BACK_KEPT = 8  # versions of a function of which it is kept why they were rolled back


@dataclass(slots=True)
class FunctionVersions:
    """A function as the feed has it.

    Attributes:
        function: Its name.
        version: The version in service; 0 is the bare function.
        release: The newest release, also when it is over; None before the first.
        newest_version: The highest version announced: what is announced below it comes late.
        rolled_back: Version to the reason for its rollback, of the newest few.
    """

    function: str
    version: int = 0
    release: "Release | None" = None
    newest_version: int = 0
    rolled_back: dict[int, str] = field(default_factory=dict)

    def add_rolled_back(self, version: int, reason: str) -> None:
        """Keep why a version was rolled back, and forget the oldest beyond the bound."""
        self.rolled_back[version] = reason
        while len(self.rolled_back) > ROLLED_BACK_KEPT:
            self.rolled_back.pop(min(self.rolled_back))


class Release:
    """One release of a function, from its announcement to its end.

    The controller moves it between states; the release itself knows its step and weighs its
    evidence.

    Attributes:
        owner: The function's versions.
        version: The version released.
        state: Where it stands.
        step: Index of its traffic share.
        paused: Whether an operator holds it at its step.
        since_at_ms: When the step or the state began, or a pause.
        load_failures: Consecutive loads that failed.
        reason: Why it ended.
        fallback_version: The version before, for retries and after a rollback.
        splits_traffic: Whether the function is called often enough here for a traffic share to mean
            something.
        canary: Evidence about this version.
        baseline: Evidence about the version before.
        hosts: Those that answered for this version, in order of the first answer.
        evaluated_requests: Of the canary, when the evidence was last evaluated.
        carried_evidence: Log evidence of the steps that are over.
    """

    def __init__(self, owner: FunctionVersions, version: int, now: float) -> None:
        """Announce a version of the function."""
        self.owner = owner
        self.version = version
        self.state = ReleaseState.ANNOUNCED
        self.step = 0
        self.paused = False
        self.since_at_ms = now
        self.load_failures = 0
        self.reason = ""
        self.fallback_version = owner.version
        self.splits_traffic = True
        self.canary = VersionEvidence()
        self.baseline = VersionEvidence()
        self.hosts: dict[str, None] = {}
        self.evaluated_requests = 0
        self.carried_evidence = 0.0

    @property
    def name(self) -> str:
        """The version's name."""
        return version_name(self.owner.function, self.version)

    def in_progress(self) -> bool:
        """Return whether it is not over."""
        return self.state in (ReleaseState.ANNOUNCED, ReleaseState.LOADING, ReleaseState.CANARY)

    def traffic_share(self) -> float:
        """Return the part of the affinity keys, 0 to 1, that get this version."""
        if self.state is _CANARY:
            return TRAFFIC_SHARES[self.step] if self.splits_traffic else 1.0
        return 1.0 if self.state is ReleaseState.COMPLETE else 0.0

    def verdict(self) -> str:
        """Return what the canary is surely worse in; empty where in nothing."""
        alpha = FALSE_ROLLBACK_RATE * STEP_PARTS[self.step]
        for measure, margin in MARGINS.items():
            if is_worse(
                self.canary.count(measure),
                self.baseline.count(measure),
                alpha * MEASURE_PARTS[measure],
                margin,
                self.carried_evidence if measure == "errors" else 0.0,
            ):
                return measure
        return self._tenant_verdict(alpha)

    def _tenant_verdict(self, alpha: float) -> str:
        """Find a tenant for whom alone the canary fails: in the sums it would not show."""
        by_tenant = self.canary.errors_by_tenant
        for tenant, count in by_tenant.items():
            baseline = self.baseline.errors_by_tenant.get(tenant, FailureCount())
            if baseline.total < TENANT_BASELINE_REQUESTS:
                baseline = self.baseline.count("errors")
            if is_worse(count, baseline, alpha * TENANT_PART / len(by_tenant), TENANT_MARGIN):
                return f"errors of {tenant or 'one customer'}"
        return ""

    def begin_canary(self, now: float, splits_traffic: bool, background: VersionEvidence) -> None:
        """Become a canary at the first step; without a split at the last one, at once.

        Args:
            now: The time.
            splits_traffic: Whether the version before keeps a share of the requests.
            background: Evidence about other versions: the baseline of a canary that leaves its own
                version before none.
        """
        self.splits_traffic = splits_traffic
        self.state = ReleaseState.CANARY
        self.since_at_ms = now
        self.canary = VersionEvidence()
        if splits_traffic:
            self.step = 0
            self.baseline = VersionEvidence()
        else:
            self.step = LAST_STEP
            self.baseline = background

    def next_step(self, now: float) -> None:
        """Raise the traffic share; evidence starts from nothing.

        Within a step both versions have a constant share, so that whatever strikes both while it
        lasts counts alike for both. Across steps it would not.
        """
        carried = evidence_to_carry(
            self.canary.count("errors"), self.baseline.count("errors"), margin=0.0
        )
        self.carried_evidence = max(0.0, self.carried_evidence + carried)
        self.step += 1
        self.since_at_ms = now
        self.evaluated_requests = 0
        self.canary = VersionEvidence()
        self.baseline = VersionEvidence()

    def looks_worse(self) -> bool:
        """Return whether there is a hint, short of a verdict, that the canary is worse."""
        return any(
            is_worse(self.canary.count(measure), self.baseline.count(measure), HINT_ALPHA, margin)
            for measure, margin in MARGINS.items()
        )

    def step_is_over(self, now: float, called_here: bool) -> bool:
        """Return whether the step has seen what it needs, or has lasted long enough.

        Guards against a step taken on chance: a hint against the canary holds it. Harms a good
        version that had bad
        luck: it waits for more evidence.
        """
        if self.looks_worse():
            return False
        errors = self.canary.count("errors")
        timeout_ms = STEP_TIMEOUT_MS if errors.total or called_here else UNCALLED_TIMEOUT_MS
        if now - self.since_at_ms >= timeout_ms:
            return True
        if errors.total < NEEDED_REQUESTS[self.step]:
            return False
        baseline = self.baseline.count("errors")
        if self.step == LAST_STEP:
            return is_no_worse(errors, baseline, COMPLETE_ALPHA, COMPLETE_MARGIN)
        return is_no_worse(errors, baseline, HINT_ALPHA, STEP_MARGINS[self.step])

    def proof(self) -> str:
        """Return the reason for which the last step was over."""
        requests = self.canary.count("errors").total
        if requests >= NEEDED_REQUESTS[LAST_STEP]:
            return "proved"
        return f"after {requests} events, seldom called"

    def finish(self, state: ReleaseState, reason: str) -> None:
        """End it; the sums of the evidence stay to be shown."""
        self.state = state
        self.reason = reason
        self.paused = False
        self.canary.drop_details()
        if self.splits_traffic:  # else the baseline is shared by all releases
            self.baseline.drop_details()
