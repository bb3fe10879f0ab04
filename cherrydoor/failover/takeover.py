"""Decides what happens to the requests that a lost gateway had in flight.

Pure: no sockets, no clock.

A lost incarnation has one successor: the gateway that holds the lease of its in-flight set. The
successor sends each host one query, which says that the incarnation is over and asks for its
attempts. Each request is then answered from the hosts' reports, adopted if an attempt is still
running, retried if a second run does no harm, or failed. A host's report is final. If a host does
not report, the request may have run there, and its retry safety decides. Times are in ms; a
deadline is by the clock of the gateway that holds the entry.
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

# A retry is safe only within this share of the dedup window. A later one could reach a host after
# the host has forgotten the idempotency key, and have a second effect.
SAFE_DEDUP_SHARE = 0.8
MIN_REMAINING_MS = 30.0  # a request with less time left before its deadline is not run
HOST_REPORT_TIMEOUT_MS = 500.0
MAX_QUERIES_IN_FLIGHT = 64
# Prevents the retries after the loss of many gateways from overloading the rest of the fleet.
MAX_RETRIES_IN_FLIGHT = 100
FINAL_STATES = ("left", "over")  # member states that a gateway's incarnation never leaves


def reason_to_refuse_lease(connected: bool, state: str) -> str:
    """Return why a voter refuses the lease of an in-flight set, or "" if it may grant it.

    A candidate that alone has lost its connection to the owner reports the owner as disconnected
    until the owner refutes it. A voter that is connected to the owner therefore ignores that
    state, and only a final state counts; otherwise requests of a running gateway would be taken
    over. The cost is a later takeover when the owner hangs with its connections open: the voter
    refuses until it has found them silent.

    Args:
        connected: Whether this voter has recently received messages from the owner's incarnation.
        state: The owner's state in the member table.

    >>> reason_to_refuse_lease(True, "vanished"), reason_to_refuse_lease(True, "left")
    ('this life is heard here', '')
    >>> reason_to_refuse_lease(False, "here")
    ''
    """
    return "this life is heard here" if connected and state not in FINAL_STATES else ""


# ---- decisions
class Respond(Struct):
    """The request is answered without running it."""

    entry: ReplicatedEntry
    outcome: FinalOutcome
    reason: str = ""
    body: bytes = b""


class Adopt(Struct):
    """An attempt is still running at a host; the successor receives its outcome."""

    entry: ReplicatedEntry
    host: str
    attempt_id: int


class Retry(Struct):
    """The request is run again within the time it has left, as any other request is."""

    entry: ReplicatedEntry


Decision = Respond | Adopt | Retry


class ReportedAttempt(NamedTuple):
    """An attempt, and the host that reported it."""

    host: str
    attempt: HostAttempt


def decide_request(
    entry: ReplicatedEntry,
    policy: RetryPolicy,
    reported: Sequence[tuple[str, HostAttempt]],
    silent_hosts: Collection[str],
    now: float,
) -> Decision:
    """Decide what happens to one request.

    Args:
        entry: The request, with the hosts that its replicated attempts went to.
        policy: Retry policy of its request class.
        reported: Its attempts in the hosts' reports, each with the host.
        silent_hosts: Hosts where it may have run and that did not report.
        now: Current time in ms.
    """
    succeeded = next((found for _, found in reported if found.outcome == "handled"), None)
    if succeeded is not None:
        if succeeded.body_retained:
            return Respond(entry, SUCCEEDED, "", succeeded.body)
        return Respond(entry, FAILED, "it ran, and its answer is no longer held")
    running = [(host, attempt) for host, attempt in reported if not attempt.outcome]
    if running:
        host, attempt = max(running, key=lambda host_attempt: host_attempt[1].attempt)
        return Adopt(entry, host, attempt.attempt_id)
    failed = any(attempt.outcome == "error" for _, attempt in reported)
    may_have_run = failed or bool(silent_hosts)
    if may_have_run and not _may_rerun(entry, policy, now):
        reason = "it ran and failed"
        if not failed:
            reason = f"it may have run: {len(silent_hosts)} hosts do not say"
        return Respond(entry, FAILED, reason)
    if entry.deadline_ms - now < MIN_REMAINING_MS:
        harmless = policy.idempotent or not may_have_run
        outcome = REJECTED if harmless else FAILED
        return Respond(entry, outcome, "no time was left when it was taken over")
    return Retry(entry)


def _may_rerun(entry: ReplicatedEntry, policy: RetryPolicy, now: float) -> bool:
    """Return whether a request that may have run can run again without a second effect.

    A repeated idempotency key has no effect while the hosts of its dedup scope remember it. That
    helps only if the scope is all hosts: where a host does not report, it is unknown in which of
    several smaller scopes the request ran, and a retry in another one would have a second effect.
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

    At most `MAX_QUERIES_IN_FLIGHT` hosts are queried at a time. Once all hosts have reported or the
    timeout has passed, each request is decided, once. At most `MAX_RETRIES_IN_FLIGHT` retries run
    at a time, the earliest deadline first.

    Args:
        in_flight: The in-flight set that is taken over.
        fencing_token: Fencing token of the lease that this takeover holds.
        hosts: All hosts of the endpoint list.
        policies: Retry policy by name of request class.
        now: Current time in ms.
        timeout_ms: How long to wait for the hosts' reports.

    Attributes:
        awaited_hosts: Hosts that were queried and have not replied yet.
        reporting_hosts: Hosts whose report was accepted.
        higher_fencing_token: Highest token above this takeover's that a host reported; 0 if none.
            If set, another takeover supersedes this one, which decides nothing.
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
        self.awaited_hosts: dict[str, bool] = {}
        self.reporting_hosts: dict[str, bool] = {}
        self.reported: dict[tuple[str, int], list[ReportedAttempt]] = {}  # by client, request id
        self.higher_fencing_token = 0
        self.decided = False
        self.retry_queue: list[ReplicatedEntry] = []
        self.retries_in_flight = 0
        self.counters: Counter[str] = Counter()

    def hosts_to_query(self) -> list[str]:
        """Return the hosts to query now. Each host is returned once in a takeover."""
        hosts: list[str] = []
        while self.unqueried and len(self.awaited_hosts) < MAX_QUERIES_IN_FLIGHT:
            host = self.unqueried.pop(0)
            self.awaited_hosts[host] = True
            hosts.append(host)
        return hosts

    def host_reported(self, host: str, report: AttemptsReport | None) -> list[str]:
        """Add a host's report, or None if it sent none; return the hosts to query next.

        A report under a fencing token other than this takeover's counts as no report.
        """
        self.awaited_hosts.pop(host, None)
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
        """Return whether to decide now: all hosts have replied, or the timeout has passed."""
        if self.decided or self.higher_fencing_token:
            return False
        return (not self.awaited_hosts and not self.unqueried) or now >= self.report_deadline_ms

    def decide(self, now: float) -> list[Respond | Adopt]:
        """Decide all requests; called once. Retries are queued for `next_retries`."""
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
        """Return the hosts that did not report and where the request may have run.

        A second run of an idempotent request does no harm, so only hosts that are known to have
        received it count there.
        """
        hosts = dict.fromkeys([*self.hosts, *entry.hosts])
        silent = [host for host in hosts if host not in self.reporting_hosts]
        if policy.idempotent:
            return [host for host in silent if host in entry.hosts]
        return silent

    def next_retries(self, now: float) -> list[Respond | Retry]:
        """Return the retries that may start now, and rejections for requests out of time."""
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
        """Record that a retry has got its response."""
        self.retries_in_flight -= 1

    @property
    def completed(self) -> bool:
        """Whether all requests are decided and no retry is queued or in flight."""
        return self.decided and not self.retry_queue and not self.retries_in_flight
