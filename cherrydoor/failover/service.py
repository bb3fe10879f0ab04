"""Failover of one gateway: its requests replicated, those of others held, takeovers carried out.

What is decided is in the pure modules beside this one; here messages are passed on. No request
waits for any of it.
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

CHECK_INTERVAL_S = 0.05  # between two checks of in-flight sets and claims
TAKEOVER_STAGGER_MS = 400.0  # by which each further replica applies later than the one before


class FailoverService:
    """What the dispatcher and the peers' messages call.

    The dispatcher calls `find_duplicate`, `request_accepted`, `attempt_started`,
    `request_finished` and `may_retry_adopted`, and the event loop `after_tick`.

    Args:
        peers: Connections to the other gateways, and the membership.
        leases: The fleet's leases.
    """

    def __init__(self, peers: Any, leases: Any) -> None:
        self.peers = peers
        self.leases = leases
        self.service = peers.service
        self.loop = peers.loop
        self.now: Callable[[], float] = peers.now
        self.policies = {
            one.name: RetryPolicy(
                one.retry_safety, one.dedup_scope, one.dedup_window_ms, one.streaming
            )
            for one in self.service.config.lease.request_classes
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
        self.leases.vetoes.append(self.reason_to_refuse)
        # What was under way on the connection before is lost: all is sent on each that comes up.
        peers.link_listeners += [self.successor.peer_connected, self.owner.forget_replica]

    def start(self) -> None:
        """Begin the periodic check."""
        self.check()

    def close(self) -> None:
        """End the periodic check."""
        if self.timer:
            self.timer.cancel()

    def reason_to_refuse(self, task: str) -> str:
        """Return why this voter does not grant the lease of a task, "" where it may."""
        parsed = parse_takeover_task(task)
        if parsed is None:
            return ""
        owner, incarnation = parsed
        member = self.peers.members.rows.get(owner)
        connected = self.peers.links.is_recent(owner, incarnation)
        return reason_to_refuse_lease(connected, member.state if member else "")

    # ---- called by the dispatcher
    def request_accepted(self, pending: Any) -> None:
        """Replicate a request of this gateway's own.

        Not one that was taken over: other replicas hold it; nor one whose response streams, which
        has begun to be answered with its first part.
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
        """Note that an attempt went to a host."""
        self.owner.attempt_started(pending.number, host)

    def request_finished(self, pending: Any) -> None:
        """Note that a request has its response."""
        self.owner.finish(pending.number)

    def find_duplicate(self, pending: Any) -> bool:
        """Return whether a request repeats one that is being taken over and must run once.

        If so, its response is that one's, and is sent to its client from here.
        """
        request = pending.request
        if not request.idempotency_key or self.policies[request.request_class].idempotent:
            return False
        key_digest = idempotency_key_digest(
            request.tenant, request.request_class, request.idempotency_key
        )
        found = self.successor.table.incarnation_holding(key_digest)
        if found is None:
            return False
        pending.adopted = True
        self.service.dispatcher.counters["repeats of what an estate holds"] += 1
        owner, incarnation = found
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
        """Return the answer to a request as this incarnation ends, None if it is a successor's."""
        if pending.origin is not None or self.owner.is_replicated(pending.number):
            return None
        policy = self.policies[pending.request.request_class]
        return answer_at_incarnation_end(policy, pending.attempts)

    def may_retry_adopted(self, pending: Any, outcome: str) -> bool:
        """Return whether another attempt may follow an adopted one without a response."""
        return may_retry_adopted_attempt(self.policies[pending.request.request_class], outcome)

    # ---- the end of a tick
    def after_tick(self, check_replicas: bool = False) -> None:
        """Send replicas what has changed.

        Args:
            check_replicas: Whether to look for replicas that were added or removed, too.
        """
        owner = self.owner
        if not owner.has_unsent() and not (
            check_replicas and owner.replicas != self._connected_replicas()
        ):
            return
        now, replicas = self.now(), self._connected_replicas()
        if owner.unsent_since_ms is not None and replicas:
            self.delays.add(now - owner.unsent_since_ms)
        for names, update in owner.updates(now, replicas):
            self.peers.send_to_all(names, update)

    def _connected_replicas(self) -> list[str]:
        """Return the replicas that can be told now, in the order of their rank."""
        links = self.peers.links
        return [
            name for name in links.replicas if links.is_up(name) and name in self.peers.connections
        ]

    # ---- in-flight sets of others
    def _update_received(self, sender: str, update: ReplicationUpdate) -> None:
        self.replicas.apply(self.now(), sender, update)

    def _successor_known(self, owner: str, incarnation: int) -> None:
        self.forwarder.successor_known(owner, incarnation)

    def connections_changed(self) -> None:
        """Pass on claims that wait for a connection."""
        self.forwarder.connections_changed()

    def check(self) -> None:
        """Apply for takeovers, carry on those that run, and end what is out of date."""
        if self.peers.is_closed:
            return
        now = self.now()
        self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check)
        self._apply_for_takeovers(now)
        self.successor.tick(now)
        self.claims.tick(now)
        for name in list(self.owner.replicas):
            # Who is connected and a replica no longer is sent an empty snapshot by the next update.
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
        for in_flight in candidates.wanted:
            self.leases.hold(
                in_flight.task,
                partial(self.successor.lease_granted, in_flight),
                partial(self.successor.lease_lost, in_flight),
                in_flight.rank * TAKEOVER_STAGGER_MS,
            )
        for in_flight in candidates.unwanted:
            task = in_flight.task
            if task in self.leases.wanted and not self.successor.is_running(task):
                self.leases.release(task)

    # ---- called by PeerServices
    def claim_response(self, end: Any, message: Any) -> None:
        """Handle a client's claim of the response that another gateway owed it."""
        self.forwarder.claim_for_client(end, message)

    @property
    def has_in_flight(self) -> bool:
        """Whether this gateway has requests in flight that a successor might take over."""
        return bool(self.owner.requests)

    # ---- for operators
    def table(self) -> dict[str, Any]:
        """Return the state of failover, as the control socket shows it."""
        owner = self.owner
        unsent_ms = 0.0
        if owner.unsent_since_ms is not None:
            unsent_ms = round(self.now() - owner.unsent_since_ms, 2)
        return {
            "gateway": self.peers.local.name,
            "life": self.peers.local.incarnation,
            "in hand": len(owner.requests),
            "bytes": owner.body_bytes,
            "witnesses": owner.replicas,
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
                "giver": one.owner,
                "life": one.incarnation,
                "rank": one.rank,
                "events": len(one.entries),
                "bytes": one.body_bytes,
            }
            for one in self.replicas.in_flight_sets.values()
        ]
