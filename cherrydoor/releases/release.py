"""One release of a function: its state, its traffic share, and the evaluation of its evidence.

A release is announced, loading, canary, complete, rolled back or superseded. A canary gets a share
of the requests, selected by a hash of the affinity key. The share grows step by step.
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

# Traffic share of the canary at each step. At the last step the previous version keeps some
# requests, to compare with.
TRAFFIC_SHARES = (0.2, 0.4, 0.7, 0.9)
LAST_STEP = len(TRAFFIC_SHARES) - 1
# Canary requests that each step needs before the next one.
REQUIRED_CANARY_REQUESTS = (20, 40, 60, 150)
# A step ends after this time even with fewer requests, because the function is rarely called.
STEP_TIMEOUT_MS = 300000.0
# The same, if the function is not called at this gateway at all.
UNCALLED_TIMEOUT_MS = 30000.0

# Probability of rolling back a version that is no worse than the previous one, over all steps and
# tests of a release.
FALSE_ROLLBACK_RATE = 0.02
# Fraction of the false rollback rate that each step may use.
STEP_ALPHA_FRACTIONS = (0.4, 0.2, 0.2, 0.2)
# Fraction of a step's rate that the test of each measure may use. The remainder is used by the test
# for failures that affect a single tenant.
MEASURE_ALPHA_FRACTIONS: dict[Measure, float] = {"errors": 0.5, "slow": 0.25, "lost": 0.15}
TENANT_ALPHA_FRACTION = 1 - sum(MEASURE_ALPHA_FRACTIONS.values())
# Differences of the rates, canary less baseline, that do not count as worse.
RATE_MARGINS: dict[Measure, float] = {"errors": 0.0, "slow": 0.1, "lost": 0.02}
TENANT_MARGIN = 0.02  # the same, for the error rate of a single tenant
# A tenant with fewer baseline requests is compared with the baseline of all tenants.
TENANT_BASELINE_REQUESTS = 5

# Significance level at which evidence against the canary delays the next step.
HINT_ALPHA = 0.3
# Each step but the last ends once the canary's error rate probably (at HINT_ALPHA) exceeds the
# baseline's by less than this.
STEP_MARGINS = (0.17, 0.1, 0.08)
# Significance level of the test that completes a release.
COMPLETE_ALPHA = 0.05
# The release completes once the canary's error rate exceeds the baseline's by less than this.
COMPLETE_MARGIN = 0.05

# Read for every request. In Python 3.11, reading a global is several times faster than reading an
# enum member.
_CANARY = ReleaseState.CANARY

# Number of rolled-back versions of a function whose reasons are kept.
MAX_ROLLED_BACK_VERSIONS = 8


@dataclass(slots=True)
class FunctionVersions:
    """The versions of one function.

    Attributes:
        function: The function's name.
        version: The version in service; 0 for the unversioned function.
        release: The newest release, even after it has ended; None before the first.
        newest_version: The highest version known. Announcements of this or a lower version are
            repeated or late, and are ignored.
        rolled_back: Reason for the rollback of each version; `add_rolled_back` keeps the newest.
    """

    function: str
    version: int = 0
    release: "Release | None" = None
    newest_version: int = 0
    rolled_back: dict[int, str] = field(default_factory=dict)

    def add_rolled_back(self, version: int, reason: str) -> None:
        """Record why a version was rolled back; drop the oldest version beyond the limit."""
        self.rolled_back[version] = reason
        while len(self.rolled_back) > MAX_ROLLED_BACK_VERSIONS:
            self.rolled_back.pop(min(self.rolled_back))


class Release:
    """One release of a function, from its announcement to its end.

    `Rollouts` changes its state. The release itself keeps its step and evaluates its evidence.

    Attributes:
        function_versions: The function's versions.
        version: The version released.
        state: The current state.
        step: Index of its traffic share in `TRAFFIC_SHARES`.
        paused: Whether an operator has paused it at its step.
        phase_started_at_ms: When the current state or step began, or the last pause or resume.
        load_failures: Number of consecutive loads that failed.
        reason: Why it ended.
        fallback_version: The previous version, used for retries and after a rollback.
        splits_traffic: Whether requests are split between this version and the previous one. If
            not, all requests go to the canary.
        canary: Evidence about this version.
        baseline: Evidence about the previous version; about all other versions if traffic is not
            split.
        hosts: The hosts that answered for this version, in order of their first answer.
        evaluated_requests: Number of canary requests when the evidence was last evaluated.
        carried_evidence: Log evidence carried over from earlier steps.
    """

    def __init__(self, function_versions: FunctionVersions, version: int, now: float) -> None:
        """Create the release of a newly announced version."""
        self.function_versions = function_versions
        self.version = version
        self.state = ReleaseState.ANNOUNCED
        self.step = 0
        self.paused = False
        self.phase_started_at_ms = now
        self.load_failures = 0
        self.reason = ""
        self.fallback_version = function_versions.version
        self.splits_traffic = True
        self.canary = VersionEvidence()
        self.baseline = VersionEvidence()
        self.hosts: dict[str, None] = {}
        self.evaluated_requests = 0
        self.carried_evidence = 0.0

    @property
    def name(self) -> str:
        """The version's name."""
        return version_name(self.function_versions.function, self.version)

    def in_progress(self) -> bool:
        """Return whether the release has not ended."""
        return self.state in (ReleaseState.ANNOUNCED, ReleaseState.LOADING, ReleaseState.CANARY)

    def traffic_share(self) -> float:
        """Return the fraction of the affinity keys, 0 to 1, that get this version."""
        if self.state is _CANARY:
            return TRAFFIC_SHARES[self.step] if self.splits_traffic else 1.0
        return 1.0 if self.state is ReleaseState.COMPLETE else 0.0

    def verdict(self) -> str:
        """Return the measure in which the canary is significantly worse; empty if there is none."""
        alpha = FALSE_ROLLBACK_RATE * STEP_ALPHA_FRACTIONS[self.step]
        for measure, margin in RATE_MARGINS.items():
            if is_worse(
                self.canary.count(measure),
                self.baseline.count(measure),
                alpha * MEASURE_ALPHA_FRACTIONS[measure],
                margin,
                self.carried_evidence if measure == "errors" else 0.0,
            ):
                return measure
        return self._tenant_verdict(alpha)

    def _tenant_verdict(self, alpha: float) -> str:
        """Find a tenant for whom the canary fails, which the totals would not show."""
        by_tenant = self.canary.errors_by_tenant
        for tenant, count in by_tenant.items():
            baseline = self.baseline.errors_by_tenant.get(tenant, FailureCount())
            if baseline.total < TENANT_BASELINE_REQUESTS:
                baseline = self.baseline.count("errors")
            if is_worse(
                count, baseline, alpha * TENANT_ALPHA_FRACTION / len(by_tenant), TENANT_MARGIN
            ):
                return f"errors of {tenant or 'one customer'}"
        return ""

    def begin_canary(self, now: float, splits_traffic: bool, background: VersionEvidence) -> None:
        """Become a canary at the first step, or at the last step if traffic is not split.

        Args:
            now: The current time, ms since 1970.
            splits_traffic: Whether the previous version keeps a share of the requests.
            background: Evidence about all versions that are not canaries. It is the baseline if
                the previous version gets no requests.
        """
        self.splits_traffic = splits_traffic
        self.state = ReleaseState.CANARY
        self.phase_started_at_ms = now
        self.canary = VersionEvidence()
        if splits_traffic:
            self.step = 0
            self.baseline = VersionEvidence()
        else:
            self.step = LAST_STEP
            self.baseline = background

    def next_step(self, now: float) -> None:
        """Raise the traffic share and start with empty evidence.

        Within a step the shares of both versions are constant, so a fault that affects both has the
        same effect on both failure rates. In evidence summed over several steps it would not.
        """
        carried = evidence_to_carry(
            self.canary.count("errors"), self.baseline.count("errors"), margin=0.0
        )
        self.carried_evidence = max(0.0, self.carried_evidence + carried)
        self.step += 1
        self.phase_started_at_ms = now
        self.evaluated_requests = 0
        self.canary = VersionEvidence()
        self.baseline = VersionEvidence()

    def hints_at_regression(self) -> bool:
        """Return whether weak evidence, not enough for a verdict, says that the canary is worse."""
        return any(
            is_worse(self.canary.count(measure), self.baseline.count(measure), HINT_ALPHA, margin)
            for measure, margin in RATE_MARGINS.items()
        )

    def step_is_finished(self, now: float, called_here: bool) -> bool:
        """Return whether the step has enough good evidence, or has reached its time limit.

        Weak evidence against the canary delays the step, so that the share of a bad version is not
        raised by chance. The cost is that a good version with a few chance failures must wait for
        more evidence.
        """
        if self.hints_at_regression():
            return False
        errors = self.canary.count("errors")
        timeout_ms = STEP_TIMEOUT_MS if errors.total or called_here else UNCALLED_TIMEOUT_MS
        if now - self.phase_started_at_ms >= timeout_ms:
            return True
        if errors.total < REQUIRED_CANARY_REQUESTS[self.step]:
            return False
        baseline = self.baseline.count("errors")
        if self.step == LAST_STEP:
            return is_no_worse(errors, baseline, COMPLETE_ALPHA, COMPLETE_MARGIN)
        return is_no_worse(errors, baseline, HINT_ALPHA, STEP_MARGINS[self.step])

    def completion_reason(self) -> str:
        """Return the reason for completing the release once its last step is finished."""
        requests = self.canary.count("errors").total
        if requests >= REQUIRED_CANARY_REQUESTS[LAST_STEP]:
            return "proved"
        return f"after {requests} events, seldom called"

    def finish(self, state: ReleaseState, reason: str) -> None:
        """End the release; keep the totals of its evidence, which are still shown."""
        self.state = state
        self.reason = reason
        self.paused = False
        self.canary.drop_details()
        if self.splits_traffic:  # otherwise other releases share the baseline
            self.baseline.drop_details()
