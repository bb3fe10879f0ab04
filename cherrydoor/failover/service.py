"""Failover service of one gateway: connects the pure failover modules to peers and dispatcher.

It replicates the gateway's own requests, holds those of other gateways, and runs takeovers. The
decisions are made by the pure modules of this package; this module passes messages between them. No
request waits for replication.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from cherrydoor.failover.claim_forwarding import ClaimForwarder
from cherrydoor.failover.delay_samples import DelaySamples
from cherrydoor.failover.in_flight_set import parse_takeover_task
from cherrydoor.failover.incarnation_end import FinalAnswer, answer_at_incarnation_end
from cherrydoor.failover.owner import OwnerReplication
from cherrydoor.failover.replica import MemberStatus, ReplicaStore
from cherrydoor.failover.response_claims import ResponseClaims
from cherrydoor.failover.retry_policy import (
    RetryPolicy,
    idempotency_key_digest,
    may_retry_adopted_attempt,
)
from cherrydoor.failover.successor import Successor
from cherrydoor.failover.takeover import reason_to_refuse_lease
from cherrydoor.protocol.messages import Response
from cherrydoor.protocol.peers import (
    ClaimReply,
    ClaimRequest,
    ReplicatedRequest,
    ReplicationUpdate,
    SuccessorAnnounced,
)

CHECK_INTERVAL_S = 0.05
TAKEOVER_STAGGER_MS = 400.0  # delay per rank, so that replicas apply for a takeover one by one


class FailoverService:
    """Handles the failover calls of the dispatcher and the failover messages of peers.

    The dispatcher calls `find_duplicate`, `request_accepted`, `attempt_started`,
    `request_finished` and `may_retry_adopted`. `after_tick` is called after each event loop tick.

    Args:
        peers: Connections to the other gateways, and the member table.
        leases: This gateway's lease service.
    """

    def __init__(self, peers: Any, leases: Any) -> None:
        self.peers = peers
        self.leases = leases
        self.service = peers.service
        self.loop = peers.loop
        self.now: Callable[[], float] = peers.now
        self.policies = {
            request_class.name: RetryPolicy(
                request_class.retry_safety,
                request_class.dedup_scope,
                request_class.dedup_window_ms,
                request_class.streaming,
            )
            for request_class in self.service.config.lease.request_classes
        }
        self.owner = OwnerReplication(peers.local.incarnation, self.policies)
        self.replicas = ReplicaStore()
        self.claims = ResponseClaims()
        self.successor = Successor(
            peers, leases, self.policies, self.replicas, self.claims, self._successor_known
        )
        self.forwarder = ClaimForwarder(peers, self.claims, self.successor.table)
        self.timer: Any = None
        self.delays = DelaySamples()
        self._subscribe()

    def _subscribe(self) -> None:
        peers = self.peers
        peers.subscribe(ReplicationUpdate, self._update_received)
        peers.subscribe(SuccessorAnnounced, self.successor.announced)
        peers.subscribe(ClaimRequest, self.forwarder.claim_received)
        peers.subscribe(ClaimReply, self.forwarder.reply_received)
        self.leases.grant_checks.append(self.reason_to_refuse)
        # Messages in transit on a broken connection are lost, so each new connection starts with a
        # snapshot and all successor announcements.
        peers.link_listeners += [self.successor.peer_connected, self.owner.forget_replica]

    def start(self) -> None:
        """Start the periodic check."""
        self.check()

    def close(self) -> None:
        """Stop the periodic check."""
        if self.timer:
            self.timer.cancel()

    def reason_to_refuse(self, task: str) -> str:
        """Return why this voter refuses the lease of a task, or "" if it may grant it."""
        parsed = parse_takeover_task(task)
        if parsed is None:
            return ""
        owner, incarnation = parsed
        member = self.peers.members.rows.get(owner)
        connected = self.peers.links.is_recent(owner, incarnation)
        return reason_to_refuse_lease(connected, member.state if member else "")

    # ---- called by the dispatcher
    def request_accepted(self, pending: Any) -> None:
        """Replicate a request that this gateway accepted from a client.

        A request that was taken over is not replicated: other replicas already hold it. Nor is one
        with a streaming response: a successor cannot answer it once its client has received the
        first part.
        """
        request = pending.request
        if pending.origin is not None or self.policies[request.request_class].streaming:
            return
        replicated = ReplicatedRequest(
            pending.number,
            request.id,
            pending.client.name,
            request.request_class,
            request.function,
            0.0,
            request.tenant,
            request.idempotency_key,
            request.claim_key,
            request.affinity_key,
            request.copy_concurrency,
            request.load_ms,
            request.body,
        )
        self.owner.add(self.now(), replicated, pending.deadline_ms)

    def attempt_started(self, pending: Any, host: str) -> None:
        """Record that an attempt was sent to a host."""
        self.owner.attempt_started(pending.number, host)

    def request_finished(self, pending: Any) -> None:
        """Record that a request has its response."""
        self.owner.finish(pending.number)

    def find_duplicate(self, pending: Any) -> bool:
        """Return whether a request repeats a taken-over request that must run only once.

        If so, the response of the first request is claimed from its successor and sent to the
        client of the repeat.
        """
        request = pending.request
        if not request.idempotency_key or self.policies[request.request_class].idempotent:
            return False
        key_digest = idempotency_key_digest(
            request.tenant, request.request_class, request.idempotency_key
        )
        ended_incarnation = self.successor.table.incarnation_holding(key_digest)
        if ended_incarnation is None:
            return False
        pending.adopted = True
        self.service.dispatcher.counters["repeats of what an estate holds"] += 1
        owner, incarnation = ended_incarnation
        self.forwarder.claim(
            ClaimRequest(0, owner, incarnation, 0, request.claim_key, key_digest),
            lambda reply: self.service.post(self._respond_to_duplicate, pending, reply),
        )
        return True

    def _respond_to_duplicate(self, pending: Any, reply: ClaimReply | None) -> None:
        if pending.finished:
            return
        if reply is not None and reply.known:
            response = Response(
                pending.request.id, reply.outcome, reply.retry_after_ms, reply.reason, reply.body
            )
        else:
            reason = "it may have run at a gateway that is lost"
            response = Response(pending.request.id, "dead-lettered", 0.0, reason)
        self.service.dispatcher.respond(pending, response)

    def answer_at_end(self, pending: Any) -> FinalAnswer | None:
        """Return the answer at the end of this incarnation, None if a successor may give it."""
        if pending.origin is not None or self.owner.is_replicated(pending.number):
            return None
        policy = self.policies[pending.request.request_class]
        return answer_at_incarnation_end(policy, pending.attempts)

    def may_retry_adopted(self, pending: Any, outcome: str) -> bool:
        """Return whether to allow another attempt after an adopted one without a response."""
        return may_retry_adopted_attempt(self.policies[pending.request.request_class], outcome)

    # ---- the end of a tick
    def after_tick(self, check_replicas: bool = False) -> None:
        """Send unsent changes to the replicas.

        Args:
            check_replicas: Whether to also check for replicas that were added or removed.
        """
        owner = self.owner
        if not owner.has_unsent() and not (
            check_replicas and owner.synced_replicas != self._connected_replicas()
        ):
            return
        now, replicas = self.now(), self._connected_replicas()
        if owner.unsent_since_ms is not None and replicas:
            self.delays.add(now - owner.unsent_since_ms)
        for names, update in owner.updates(now, replicas):
            self.peers.send_to_all(names, update)

    def _connected_replicas(self) -> list[str]:
        """Return the connected replicas, in the order of their rank."""
        links = self.peers.links
        return [
            name for name in links.replicas if links.is_up(name) and name in self.peers.connections
        ]

    # ---- in-flight sets of other gateways
    def _update_received(self, sender: str, update: ReplicationUpdate) -> None:
        self.replicas.apply(self.now(), sender, update)

    def _successor_known(self, owner: str, incarnation: int) -> None:
        self.forwarder.successor_known(owner, incarnation)

    def connections_changed(self) -> None:
        """Forward claims that wait for a connection."""
        self.forwarder.connections_changed()

    def check(self) -> None:
        """Apply for takeovers, advance those in progress, and expire old state."""
        if self.peers.is_closed:
            return
        now = self.now()
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check)
        self._apply_for_takeovers(now)
        self.successor.tick(now)
        self.claims.tick(now)
        for name in list(self.owner.synced_replicas):
            # A peer that is still connected but no longer a replica gets an empty snapshot instead.
            if name not in self.peers.connections:
                self.owner.forget_replica(name)
        self.after_tick(check_replicas=True)
        self.forwarder.expire(now)

    def _apply_for_takeovers(self, now: float) -> None:
        members = {
            row.name: MemberStatus(row.incarnation, row.state)
            for row in self.peers.members.rows.values()
        }
        candidates = self.replicas.tick(
            now, members, self.peers.connections, self.peers.links.suspect_after_ms
        )
        for in_flight in candidates.eligible:
            self.leases.request_lease(
                in_flight.task,
                partial(self.successor.lease_granted, in_flight),
                partial(self.successor.lease_lost, in_flight),
                in_flight.rank * TAKEOVER_STAGGER_MS,
            )
        for in_flight in candidates.ineligible:
            task = in_flight.task
            if task in self.leases.wanted and not self.successor.is_running(task):
                self.leases.release(task)

    # ---- called by PeerServices
    def claim_response(self, connection: Any, message: Any) -> None:
        """Handle a client's claim of a response that it did not get from another gateway."""
        self.forwarder.claim_for_client(connection, message)

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether this gateway has requests in flight that a successor might take over."""
        return bool(self.owner.requests)

    # ---- for operators
    def table(self) -> dict[str, Any]:
        """Return the state of failover for the control socket."""
        owner = self.owner
        unsent_ms = 0.0
        if owner.unsent_since_ms is not None:
            unsent_ms = round(self.now() - owner.unsent_since_ms, 2)
        return {
            "gateway": self.peers.local.name,
            "life": self.peers.local.incarnation,
            "in hand": len(owner.requests),
            "bytes": owner.body_bytes,
            "witnesses": owner.synced_replicas,
            "counts": dict(owner.counters),
            "untold ms": unsent_ms,
            "told after ms": self.delays.quantile(),
            "kept for others": self._replica_rows(),
            "kept counts": dict(self.replicas.counters),
            "takeovers": self.successor.rows(),
            "claims": {
                "rows": len(self.claims.rows),
                "waiting": len(self.forwarder.pending),
                **self.claims.counters,
            },
        }

    def _replica_rows(self) -> list[dict[str, Any]]:
        return [
            {
                "giver": in_flight.owner,
                "life": in_flight.incarnation,
                "rank": in_flight.rank,
                "events": len(in_flight.entries),
                "bytes": in_flight.body_bytes,
            }
            for in_flight in self.replicas.in_flight_sets.values()
        ]
