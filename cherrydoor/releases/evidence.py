"""Evidence about one version: outcomes observed here, and counts reported by hosts.

Gateways share nothing; but a function has one home host for all of them, whose answers carry a
tally of all requests of that version it ran. So each gateway that is answered weighs nearly the
same evidence and reaches the same verdict.
"""

from typing import Literal

from cherrydoor.releases.messages import AttemptEnded, HostTally
from cherrydoor.releases.sequential_analysis import FailureCount
from cherrydoor.routing.messages import AttemptOutcome

Measure = Literal["errors", "slow", "lost"]
StoredEvidence = dict[Measure, list[int]]

# Read for each request: in Python 3.11 a global is several times as fast as an enum's member.
_SUCCEEDED = AttemptOutcome.SUCCEEDED
_ERROR = AttemptOutcome.ERROR
_CONNECTION_LOST = AttemptOutcome.CONNECTION_LOST

COUNTED_OUTCOMES = (_SUCCEEDED, _ERROR, _CONNECTION_LOST)


class HostTallies:
    """What hosts have reported of one version since its evidence began.

    Invariant: both tables have the same hosts; a host's part is its last report less its base.
    """

    def __init__(self) -> None:
        """Start without a report."""
        self._base: dict[str, HostTally] = {}
        self._last: dict[str, HostTally] = {}

    def add(self, host: str, tally: HostTally, error: bool) -> None:
        """Take a host's report; one that was overtaken by a later report is ignored.

        Args:
            host: The host that reported.
            tally: Its counts since it started.
            error: Whether the attempt that brought the report was an error; it counts already.
        """
        previous = self._last.get(host)
        if previous is None:
            self._base[host] = (tally[0] - 1, tally[1] - error, tally[2])
        elif tally[0] < previous[0] / 2:  # the host was restarted: what it reported before stands
            base = self._base[host]
            self._base[host] = (
                base[0] - previous[0],
                base[1] - previous[1],
                base[2] - previous[2],
            )
        elif tally[0] < previous[0]:
            return
        self._last[host] = tally

    def totals(self) -> HostTally:
        """Return runs, errors and slow runs over all hosts."""
        runs = errors = slow = 0
        for host, last in self._last.items():
            base = self._base[host]
            runs += last[0] - base[0]
            errors += last[1] - base[1]
            slow += last[2] - base[2]
        return runs, errors, slow

    def clear(self) -> None:
        """Drop all reports."""
        self._base = {}
        self._last = {}


class VersionEvidence:
    """Evidence about one version since a moment.

    It holds the counts that hosts reported, those observed at this gateway, and errors by tenant.
    """

    def __init__(self) -> None:
        """Start without an observation."""
        self.reported_errors = FailureCount()
        self.reported_slow = FailureCount()
        self.local_errors = FailureCount()
        self.local_slow = FailureCount()
        self.lost = FailureCount()
        self.errors_by_tenant: dict[str, FailureCount] = {}
        self._tallies = HostTallies()

    def add(self, attempt: AttemptEnded, slow_above_ms: float) -> None:
        """Count an attempt and the host's report that came with it.

        Args:
            attempt: How it ended.
            slow_above_ms: Beyond it a success is slow; 0 where that is not known yet.
        """
        if not self.add_local(attempt, slow_above_ms, attempt.tenant) or attempt.tally is None:
            return
        error = attempt.outcome == _ERROR and not attempt.load_failed
        self._tallies.add(attempt.host, attempt.tally, error)
        runs, errors, slow = self._tallies.totals()
        self.reported_errors = FailureCount(errors, runs)
        self.reported_slow = FailureCount(slow, max(0, runs - errors))

    def add_local(self, attempt: AttemptEnded, slow_above_ms: float, tenant: str) -> bool:
        """Count an attempt without its report; return whether it was answered."""
        if attempt.outcome not in COUNTED_OUTCOMES:
            return False
        lost = attempt.outcome == _CONNECTION_LOST
        self.lost.add(lost)
        if lost:
            return False
        error = attempt.outcome == _ERROR and not attempt.load_failed
        self.local_errors.add(error)
        if not error and not attempt.cold and slow_above_ms:
            self.local_slow.add(attempt.took_ms > slow_above_ms)
        self.errors_by_tenant.setdefault(tenant, FailureCount()).add(error)
        return True

    def count(self, measure: Measure) -> FailureCount:
        """Return the larger of the reported and the local count.

        Where hosts report, the local one is a part of theirs.
        """
        if measure == "lost":
            return self.lost
        if measure == "errors":
            reported = self.reported_errors
            local = self.local_errors
        else:
            reported = self.reported_slow
            local = self.local_slow
        return reported if reported.total >= local.total else local

    def halve(self) -> None:
        """Forget half of the local counts, and those by tenant."""
        self.local_errors.halve()
        self.local_slow.halve()
        self.lost.halve()
        self.errors_by_tenant = {}

    def drop_details(self) -> None:
        """Keep the sums, which are still shown, and drop what they were made of."""
        self._tallies.clear()
        self.errors_by_tenant = {}

    def stored(self) -> StoredEvidence:
        """Return the sums as plain values."""
        return {
            "errors": [self.count("errors").failures, self.count("errors").total],
            "slow": [self.count("slow").failures, self.count("slow").total],
            "lost": [self.lost.failures, self.lost.total],
        }

    def restore(self, stored: StoredEvidence) -> None:
        """Take stored sums as local counts; hosts report the rest again."""
        self.local_errors = FailureCount(*stored["errors"])
        self.local_slow = FailureCount(*stored["slow"])
        self.lost = FailureCount(*stored["lost"])
