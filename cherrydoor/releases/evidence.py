"""Evidence about one version: outcomes observed at this gateway, and counts reported by hosts.

Gateways share no state. However, all gateways use the same home host for a function, and each of
its answers carries a tally of all requests that it ran with that version. Every gateway that
receives answers therefore evaluates nearly the same evidence and reaches the same verdict.
"""

from typing import Literal

from cherrydoor.releases.messages import AttemptEnded, HostTally
from cherrydoor.releases.sequential_analysis import FailureCount
from cherrydoor.routing.messages import AttemptOutcome

Measure = Literal["errors", "slow", "lost"]
StoredEvidence = dict[Measure, list[int]]

# Read for every request. In Python 3.11, reading a global is several times faster than reading an
# enum member.
_SUCCEEDED = AttemptOutcome.SUCCEEDED
_ERROR = AttemptOutcome.ERROR
_CONNECTION_LOST = AttemptOutcome.CONNECTION_LOST

COUNTED_OUTCOMES = (_SUCCEEDED, _ERROR, _CONNECTION_LOST)


class HostTallies:
    """Counts that hosts have reported for one version since collection of its evidence began.

    Hosts report cumulative counts, so the counts from before that time (`_base`) are subtracted
    from each host's last report (`_last`). Invariant: both tables have the same hosts.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._base: dict[str, HostTally] = {}
        self._last: dict[str, HostTally] = {}

    def add(self, host: str, tally: HostTally, error: bool) -> None:
        """Add a host's report; a report that arrives after a newer one is ignored.

        Args:
            host: The host that reported.
            tally: Its counts since it started.
            error: Whether the attempt that carried the report was an error. The report already
                includes that attempt.
        """
        previous = self._last.get(host)
        if previous is None:
            self._base[host] = (tally[0] - 1, tally[1] - error, tally[2])
        elif tally[0] < previous[0] / 2:  # the host restarted: keep the counts it reported before
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
        """Return the total runs, errors and slow runs of all hosts."""
        runs = errors = slow = 0
        for host, last in self._last.items():
            base = self._base[host]
            runs += last[0] - base[0]
            errors += last[1] - base[1]
            slow += last[2] - base[2]
        return runs, errors, slow

    def clear(self) -> None:
        """Remove all reports."""
        self._base = {}
        self._last = {}


class VersionEvidence:
    """Evidence about one version, collected since some point in time.

    It holds the counts reported by hosts, the counts observed at this gateway, and the errors of
    each tenant.
    """

    def __init__(self) -> None:
        """Create empty evidence."""
        self.reported_errors = FailureCount()
        self.reported_slow = FailureCount()
        self.local_errors = FailureCount()
        self.local_slow = FailureCount()
        self.lost = FailureCount()
        self.errors_by_tenant: dict[str, FailureCount] = {}
        self._tallies = HostTallies()

    def add(self, attempt: AttemptEnded, slow_above_ms: float) -> None:
        """Count an attempt and the host's report that it carried.

        Args:
            attempt: The attempt and its outcome.
            slow_above_ms: Latency above which a success is slow; 0 if not known yet.
        """
        if not self.add_local(attempt, slow_above_ms, attempt.tenant) or attempt.tally is None:
            return
        error = attempt.outcome == _ERROR and not attempt.load_failed
        self._tallies.add(attempt.host, attempt.tally, error)
        runs, errors, slow = self._tallies.totals()
        self.reported_errors = FailureCount(errors, runs)
        self.reported_slow = FailureCount(slow, max(0, runs - errors))

    def add_local(self, attempt: AttemptEnded, slow_above_ms: float, tenant: str) -> bool:
        """Count an attempt without the host's report; return whether the host answered it."""
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
        """Return the reported or the local count, whichever has more observations.

        If hosts report, their counts include those observed at this gateway.
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
        """Halve the local counts and drop the counts of each tenant."""
        self.local_errors.halve()
        self.local_slow.halve()
        self.lost.halve()
        self.errors_by_tenant = {}

    def drop_details(self) -> None:
        """Keep the totals, which are still shown, and drop the counts of each host and tenant."""
        self._tallies.clear()
        self.errors_by_tenant = {}

    def stored(self) -> StoredEvidence:
        """Return the totals as plain values."""
        return {
            "errors": [self.count("errors").failures, self.count("errors").total],
            "slow": [self.count("slow").failures, self.count("slow").total],
            "lost": [self.lost.failures, self.lost.total],
        }

    def restore(self, stored: StoredEvidence) -> None:
        """Restore stored totals as local counts; hosts report their counts again."""
        self.local_errors = FailureCount(*stored["errors"])
        self.local_slow = FailureCount(*stored["slow"])
        self.lost = FailureCount(*stored["lost"])
