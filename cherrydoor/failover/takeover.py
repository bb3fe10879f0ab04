"""What becomes of the requests that a lost gateway had in flight. Pure: no sockets, no clock.

One lost incarnation has one successor, which holds the lease of its in-flight set. It asks every
host once: that incarnation is over, what do you hold of it? Then each request is answered by what
hosts report, adopted where an attempt is still running, retried where that can do no harm, or
failed. What hosts report is final; what they do not report is unknown, and is decided by the
request's retry safety. Times are in ms; a deadline is by the clock of whoever holds the record.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from msgspec import Struct

from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry
from cherrydoor.failover.retry_policy import DEDUP_BY_ALL_HOSTS, RetryPolicy
from cherrydoor.protocol.basics import FAILED, REJECTED, SUCCEEDED, FinalOutcome
from cherrydoor.protocol.failover import AttemptsReport, HostAttempt
from cherrydoor.routing.messages import RetrySafety

# Share of the time for which hosts remember an idempotency key within which a retry is safe: one
# later than that might have an effect of its own.
SAFE_DEDUP_SHARE = 0.8
MIN_REMAINING_MS = 30.0  # less time than this left of a deadline, and a request is not run
HOST_REPORT_TIMEOUT_MS = 500.0  # that hosts may take to report what they hold
MAX_HOSTS_QUERIED = 64  # at a time
MAX_RETRIES_IN_FLIGHT = 100  # at a time, so that the loss of many gateways overloads nobody
STOPPED_STATES = ("left", "over")  # states of a gateway that are final


def reason_to_refuse_lease(connected: bool, state: str) -> str:
    """Return why a voter does not grant the lease of an in-flight set, "" where it may.

    Guards against a candidate that alone has lost its connection to the owner: that the owner has
    disconnected is then repeated to this voter until the owner refutes it, so while the voter has a
    connection of its own that state does not count; a final state does. It harms when the owner
    stands still with its connections open, until these are found to be silent.

    Args:
        connected: Whether the owner's incarnation was heard here lately, directly.
        state: Of the owner, as members report it.

    >>> reason_to_refuse_lease(True, "vanished"), reason_to_refuse_lease(True, "left")
    ('this life is heard here', '')
    >>> reason_to_refuse_lease(False, "here")
    ''
    """
    return "this life is heard here" if connected and state not in STOPPED_STATES else ""


# ---- what becomes of each request
class Respond(Struct):
    """The response is known, and nothing is run."""

    entry: ReplicatedEntry
    outcome: FinalOutcome
    reason: str = ""
    body: bytes = b""


class Adopt(Struct):
    """An attempt is still running at that host, and its outcome is taken over."""

    entry: ReplicatedEntry
    host: str
    attempt_id: int


class Retry(Struct):
    """The request is run again, as any request with the time that is left."""

    entry: ReplicatedEntry


Decision = Respond | Adopt | Retry


class ReportedAttempt(NamedTuple):
    """An attempt that a host reported."""

    host: str
    attempt: HostAttempt


def decide_request(
    entry: ReplicatedEntry,
    policy: RetryPolicy,
    reported: Sequence[tuple[str, HostAttempt]],
    silent_hosts: Collection[str],
    now: float,
) -> Decision:
    """Decide what becomes of one request.

    Args:
        entry: The request, with the hosts it is known to have gone to.
        policy: Of its class.
        reported: Attempts of it that hosts reported, with their hosts.
        silent_hosts: Hosts that did not report, of those where it may have run.
        now: In ms.
    """
    succeeded = next((a for _, a in reported if a.outcome == "handled"), None)
    if succeeded is not None:
        if succeeded.body_retained:
            return Respond(entry, SUCCEEDED, "", succeeded.body)
        return Respond(entry, FAILED, "it ran, and its answer is no longer held")
    running = [(host, attempt) for host, attempt in reported if not attempt.outcome]
    if running:
        host, attempt = max(running, key=lambda one: one[1].attempt)
        return Adopt(entry, host, attempt.attempt_id)
    failed = any(attempt.outcome == "error" for _, attempt in reported)
    may_have_run = failed or bool(silent_hosts)
    if may_have_run and not _may_run_again(entry, policy, now):
        why = "it ran and failed"
        if not failed:
            why = f"it may have run: {len(silent_hosts)} hosts do not say"
        return Respond(entry, FAILED, why)
    if entry.deadline_ms - now < MIN_REMAINING_MS:
        harmless = policy.idempotent or not may_have_run
        outcome = REJECTED if harmless else FAILED
        return Respond(entry, outcome, "no time was left when it was taken over")
    return Retry(entry)


def _may_run_again(entry: ReplicatedEntry, policy: RetryPolicy, now: float) -> bool:
    """Return whether a request that may have run can run once more without a second effect.

    A repeat of an idempotency key has no effect while the hosts of its scope remember the key. If
    that scope is a part of the hosts, which one it was is not known where a host does not report.
    """
    if policy.idempotent:
        return True
    return (
        policy.retry_safety == RetrySafety.IDEMPOTENCY_KEY
        and policy.dedup_scope == DEDUP_BY_ALL_HOSTS
        and now - entry.first_seen_ms < SAFE_DEDUP_SHARE * policy.dedup_window_ms
    )


# ---- one takeover
class Takeover:
    """The takeover of one in-flight set under one fencing token.

    Hosts are queried `MAX_HOSTS_QUERIED` at a time. Once all have reported, or the wait is over,
    each request is decided, once. Retries go out `MAX_RETRIES_IN_FLIGHT` at a time, the earliest
    deadline first.

    Args:
        in_flight: The set that is taken over.
        fencing_token: Of the lease it is taken over under.
        hosts: All hosts of the endpoint list.
        policies: Retry policy by name of request class.
        now: In ms.
        timeout_ms: For how long reports of hosts are waited for.

    Attributes:
        higher_fencing_token: A token above this takeover's that a host goes by; 0 if there is none.
            This takeover is then superseded and decides nothing.
        decided: Whether the requests have been decided.
    """

    def __init__(
        self,
        in_flight: InFlightSet,
        fencing_token: int,
        hosts: Iterable[str],
        policies: Mapping[str, RetryPolicy],
        now: float,
        timeout_ms: float,
    ) -> None:
        self.in_flight = in_flight
        self.fencing_token = fencing_token
        self.policies = policies
        self.started_at_ms = now
        self.report_deadline_ms = now + timeout_ms
        self.hosts = list(hosts)
        self.unqueried = list(self.hosts)
        for entry in in_flight.entries.values():
            self.unqueried += [host for host in entry.hosts if host not in self.unqueried]
        self.queried: dict[str, bool] = {}
        self.reporting_hosts: dict[str, bool] = {}
        self.reported: dict[tuple[str, int], list[ReportedAttempt]] = {}  # by client, request id
        self.higher_fencing_token = 0
        self.decided = False
        self.retry_queue: list[ReplicatedEntry] = []
        self.retries_in_flight = 0
        self.counters: Counter[str] = Counter()

    def hosts_to_query(self) -> list[str]:
        """Return the hosts that are to be asked now, each host once in a takeover."""
        hosts: list[str] = []
        while self.unqueried and len(self.queried) < MAX_HOSTS_QUERIED:
            host = self.unqueried.pop(0)
            self.queried[host] = True
            hosts.append(host)
        return hosts

    def host_reported(self, host: str, report: AttemptsReport | None) -> list[str]:
        """Take in a host's report, None where it gave none; return the hosts to ask next.

        A report under another token than this takeover's counts as none.
        """
        self.queried.pop(host, None)
        if report is not None and report.highest_fencing_token > self.fencing_token:
            self.higher_fencing_token = max(self.higher_fencing_token, report.highest_fencing_token)
        elif report is not None and report.highest_fencing_token == self.fencing_token:
            self._add_report(host, report)
        return self.hosts_to_query()

    def _add_report(self, host: str, report: AttemptsReport) -> None:
        if self.decided:
            return
        self.reporting_hosts[host] = True
        for attempt in report.attempts:
            key = attempt.client, attempt.request_id
            self.reported.setdefault(key, []).append(ReportedAttempt(host, attempt))

    def can_decide(self, now: float) -> bool:
        """Return whether it is time: all hosts have reported, or the wait for them is over."""
        if self.decided or self.higher_fencing_token:
            return False
        return (not self.queried and not self.unqueried) or now >= self.report_deadline_ms

    def decide(self, now: float) -> list[Respond | Adopt]:
        """Decide all requests, once; retries come from `next_retries`."""
        self.decided = True
        decisions: list[Respond | Adopt] = []
        for entry in self.in_flight.entries.values():
            request = entry.request
            policy = self.policies[request.request_class]
            reported = self.reported.get((request.client, request.request_id), [])
            silent_hosts = self._silent_hosts(entry, policy)
            decision = decide_request(entry, policy, reported, silent_hosts, now)
            if isinstance(decision, Retry):
                self.retry_queue.append(entry)
            else:
                decisions.append(decision)
        self.retry_queue.sort(key=lambda entry: entry.deadline_ms - now)
        self.counters["events"] = len(self.in_flight.entries)
        return decisions

    def _silent_hosts(self, entry: ReplicatedEntry, policy: RetryPolicy) -> list[str]:
        """Return the hosts that did not report and where it matters that the request may have run.

        For an idempotent request these are the hosts it is known to have gone to.
        """
        hosts = dict.fromkeys([*self.hosts, *entry.hosts])
        silent = [host for host in hosts if host not in self.reporting_hosts]
        if policy.idempotent:
            return [host for host in silent if host in entry.hosts]
        return silent

    def next_retries(self, now: float) -> list[Respond | Retry]:
        """Return the retries that may start now; what ran out of time meanwhile is rejected."""
        decisions: list[Respond | Retry] = []
        while self.retry_queue and self.retries_in_flight < MAX_RETRIES_IN_FLIGHT:
            entry = self.retry_queue.pop(0)
            if entry.deadline_ms - now < MIN_REMAINING_MS:
                self.counters["out of time"] += 1
                decisions.append(Respond(entry, REJECTED, "no time was left when its turn came"))
                continue
            self.retries_in_flight += 1
            decisions.append(Retry(entry))
        return decisions

    def retry_ended(self) -> None:
        """Note that a retry has its response."""
        self.retries_in_flight -= 1

    @property
    def completed(self) -> bool:
        """Whether all is decided and no retry is waiting or in flight."""
        return self.decided and not self.retry_queue and not self.retries_in_flight
