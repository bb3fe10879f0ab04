"""Takeovers by this gateway: queries hosts, and has the dispatcher carry out the decisions."""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import structlog

from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry, takeover_task
from cherrydoor.failover.replica import ReplicaStore
from cherrydoor.failover.response_claims import ResponseClaims
from cherrydoor.failover.retry_policy import RetryPolicy, idempotency_key_digest
from cherrydoor.failover.running_takeover import ResponseWriter, RunningTakeover
from cherrydoor.failover.successor_table import SuccessorTable
from cherrydoor.failover.takeover import (
    HOST_REPORT_TIMEOUT_MS,
    Adopt,
    Decision,
    Respond,
    Takeover,
)
from cherrydoor.gateway.tables import ClientConnection
from cherrydoor.protocol.failover import AdoptAttempt, AttemptsReport, EndIncarnation
from cherrydoor.protocol.messages import Request, Response
from cherrydoor.protocol.peers import ReplicatedRequest, SuccessorAnnounced

log = structlog.get_logger()
MAX_COMPLETED_ROWS = 2000  # completed takeovers that are listed for operators
MIN_REQUEST_TIMEOUT_MS = 1.0  # a request's timeout must be greater than 0


class Successor:
    """Takes over the in-flight sets whose lease this gateway holds, and tracks other successors.

    Owns `running`, the takeovers in progress by lease task, and `table`, the announced successors.
    A takeover stops once its lease is lost.

    Args:
        peers: Connections to the other gateways, and the member table.
        leases: This gateway's lease service.
        policies: Retry policy by name of request class.
        replicas: In-flight sets replicated to this gateway.
        claims: Store for the responses of taken-over requests.
        successor_known: Called with owner and incarnation when a successor is announced.
    """

    def __init__(
        self,
        peers: Any,
        leases: Any,
        policies: Mapping[str, RetryPolicy],
        replicas: ReplicaStore,
        claims: ResponseClaims,
        successor_known: Callable[[str, int], None],
    ) -> None:
        self.peers = peers
        self.leases = leases
        self.service = peers.service
        self.now: Callable[[], float] = peers.now
        self.policies = policies
        self.replicas = replicas
        self.claims = claims
        self.successor_known = successor_known
        self.table = SuccessorTable()
        self.running: dict[str, RunningTakeover] = {}
        self.completed_rows: list[dict[str, Any]] = []

    def is_running(self, task: str) -> bool:
        """Return whether this gateway is carrying out the takeover of this lease task."""
        return task in self.running

    # ---- announced successors
    def peer_connected(self, name: str) -> None:
        """Send all current announcements to a peer that has connected."""
        for announced in self.table.announcements():
            self.peers.send(name, announced)

    def announced(self, sender: str, announced: SuccessorAnnounced) -> None:
        """Apply an announcement, and forward it once to every other connected peer."""
        now = self.now()
        if not self.table.accept(now, announced):
            return
        owner, incarnation = announced.owner, announced.incarnation
        self.peers.members.mark_over(now, owner, incarnation)
        for name in list(self.peers.connections):
            if name != sender:
                self.peers.send(name, announced)
        if announced.completed:
            self.replicas.complete(now, owner, incarnation)
            task = takeover_task(owner, incarnation)
            # Prevents the next replica from repeating a takeover that has completed.
            if task not in self.running:
                self.leases.release(task)
        self.successor_known(owner, incarnation)

    def _announce(
        self, takeover: Takeover, completed: bool, key_digests: list[bytes] | None = None
    ) -> None:
        in_flight = takeover.in_flight
        announced = SuccessorAnnounced(
            in_flight.owner,
            in_flight.incarnation,
            takeover.fencing_token,
            self.peers.local.name,
            completed,
            key_digests or [],
        )
        self.announced("", announced)

    # ---- a takeover
    def lease_granted(self, in_flight: InFlightSet, fencing_token: int) -> None:
        """Start a takeover: accept claims for its responses, announce it, and query the hosts."""
        if in_flight.task in self.running:
            return
        hosts = [
            host.id for host in self.service.dispatcher.hosts.values() if host.row.state != "gone"
        ]
        takeover = Takeover(
            in_flight, fencing_token, hosts, self.policies, self.now(), HOST_REPORT_TIMEOUT_MS
        )
        running = RunningTakeover(takeover, self._respond)
        self.running[in_flight.task] = running
        key_digests = self._expect_responses(in_flight)
        log.info(
            "takeover started",
            gateway=self.peers.local.name,
            owner=in_flight.owner,
            incarnation=in_flight.incarnation,
            fencing_token=fencing_token,
            requests=len(in_flight.entries),
            hosts=len(hosts),
        )
        self._announce(takeover, False, key_digests)
        self._query_hosts(running, takeover.hosts_to_query())

    def _expect_responses(self, in_flight: InFlightSet) -> list[bytes]:
        """Let claims wait for the responses; return digests of keys that must not run twice."""
        key_digests = []
        for entry in in_flight.entries.values():
            key_digest = self._key_digest(entry.request)
            if key_digest:
                key_digests.append(key_digest)
            self.claims.expect(in_flight.owner, in_flight.incarnation, entry, key_digest)
        return key_digests

    def _key_digest(self, request: ReplicatedRequest) -> bytes:
        if not request.idempotency_key or self.policies[request.request_class].idempotent:
            return b""
        return idempotency_key_digest(
            request.tenant, request.request_class, request.idempotency_key
        )

    def _query_hosts(self, running: RunningTakeover, hosts: Iterable[str]) -> None:
        in_flight = running.in_flight
        fencing_token = running.takeover.fencing_token

        def query_message(message_id: int) -> EndIncarnation:
            return EndIncarnation(message_id, in_flight.owner, in_flight.incarnation, fencing_token)

        for host in hosts:
            self.service.post(
                self.service.dispatcher.query_host,
                host,
                query_message,
                HOST_REPORT_TIMEOUT_MS,
                partial(self._host_reported, running),
            )

    def _host_reported(
        self, running: RunningTakeover, host: str, outcome: object, report: AttemptsReport | None
    ) -> None:
        self._query_hosts(running, running.takeover.host_reported(host, report))
        higher_fencing_token = running.takeover.higher_fencing_token
        if higher_fencing_token:
            self.leases.on_higher_token(running.in_flight.task, higher_fencing_token)

    def tick(self, now: float) -> None:
        """Decide takeovers whose hosts have reported, start retries, and end what has completed."""
        for task, running in list(self.running.items()):
            takeover = running.takeover
            if self.leases.fencing_token(task) != takeover.fencing_token:
                continue
            if takeover.can_decide(now):
                running.first_decision_at_ms = now
                for decision in takeover.decide(now):
                    self._carry_out(running, decision)
            if takeover.decided:
                for retry_decision in takeover.next_retries(now):
                    self._carry_out(running, retry_decision)
                if running.completed:
                    self._finish(running)
        self.table.tick(now)

    def _carry_out(self, running: RunningTakeover, decision: Decision) -> None:
        takeover, entry = running.takeover, decision.entry
        if isinstance(decision, Respond):
            takeover.counters["answer"] += 1
            takeover.counters[f"{decision.outcome}: {decision.reason or 'by a host'}"] += 1
            response = Response(
                entry.request.request_id, decision.outcome, 0.0, decision.reason, decision.body
            )
            self._respond(running.in_flight, entry, response)
            return
        client = ClientConnection(ResponseWriter(running, entry), entry.request.client)
        request = self._request(entry)
        origin = running.in_flight.owner, running.in_flight.incarnation, takeover.fencing_token
        dispatcher = self.service.dispatcher
        if isinstance(decision, Adopt):
            takeover.counters["adopt"] += 1
            running.adopted.add(entry.request.number)
            self.service.post(
                dispatcher.adopt_attempt,
                client,
                request,
                entry.deadline_ms,
                origin,
                decision.host,
                partial(_adopt_message, decision.attempt_id),
            )
            return
        takeover.counters["anew"] += 1
        running.retrying.add(entry.request.number)
        self.service.post(dispatcher.take_over_request, client, request, entry.deadline_ms, origin)

    def _request(self, entry: ReplicatedEntry) -> Request:
        replicated = entry.request
        return Request(
            replicated.request_id,
            replicated.request_class,
            replicated.function,
            max(MIN_REQUEST_TIMEOUT_MS, entry.deadline_ms - self.now()),
            0.0,
            replicated.tenant,
            replicated.idempotency_key,
            replicated.copy_concurrency,
            replicated.load_ms,
            replicated.body,
            replicated.affinity_key,
            replicated.claim_key,
        )

    def _respond(self, in_flight: InFlightSet, entry: ReplicatedEntry, response: Response) -> None:
        waiting_callbacks = self.claims.respond(
            in_flight.owner, in_flight.incarnation, entry, response
        )
        for callback in waiting_callbacks:
            callback(response)

    def _finish(self, running: RunningTakeover) -> None:
        in_flight, takeover = running.in_flight, running.takeover
        now = self.now()
        del self.running[in_flight.task]
        self.completed_rows.append(running.completed_row(now))
        del self.completed_rows[:-MAX_COMPLETED_ROWS]
        log.info(
            "takeover completed",
            gateway=self.peers.local.name,
            owner=in_flight.owner,
            incarnation=in_flight.incarnation,
            fencing_token=takeover.fencing_token,
            hosts=len(takeover.hosts),
            reporting_hosts=len(takeover.reporting_hosts),
            first_decision_ms=round(running.first_decision_at_ms - takeover.started_at_ms, 1),
            duration_ms=round(now - takeover.started_at_ms, 1),
            counts=dict(takeover.counters),
        )
        self._announce(takeover, True)
        self.leases.release(in_flight.task)

    def lease_lost(self, in_flight: InFlightSet, fencing_token: int) -> None:
        """Abandon a takeover whose lease is lost; nothing more is done under its fencing token."""
        running = self.running.pop(in_flight.task, None)
        if running is not None:
            log.warning(
                "takeover abandoned: its lease is lost",
                gateway=self.peers.local.name,
                owner=in_flight.owner,
                incarnation=in_flight.incarnation,
                fencing_token=running.takeover.fencing_token,
            )

    def rows(self) -> list[dict[str, Any]]:
        """Return the rows shown to operators: completed takeovers, then those in progress."""
        return [*self.completed_rows, *(running.row() for running in self.running.values())]


def _adopt_message(attempt_id: int, message_id: int) -> AdoptAttempt:
    return AdoptAttempt(message_id, attempt_id)
