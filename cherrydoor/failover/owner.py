"""The owner's side of replication: what replicas are told of this gateway's in-flight set. Pure.

A gateway replicates what it has accepted and not answered at the end of each tick of its event
loop, after the request is on its way to a host: no request waits for a replica.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cherrydoor.failover.retry_policy import RETENTION_RANK, RetryPolicy
from cherrydoor.protocol.peers import ReplicatedAttempt, ReplicatedRequest, ReplicationUpdate

MAX_REQUESTS = 2000  # replicated at once by one owner; also held at once of one owner
MAX_BODY_BYTES = 8 * 2**20  # of their bodies, likewise


class OutgoingUpdate(NamedTuple):
    """An update, and the replicas it is for."""

    replicas: list[str]
    update: ReplicationUpdate


class _OwnedRequest:
    """A request in flight here that is replicated, with its attempts so far."""

    __slots__ = ("attempts", "deadline_ms", "rank", "request")

    def __init__(self, request: ReplicatedRequest, deadline_ms: float, rank: int) -> None:
        self.request = request
        self.deadline_ms = deadline_ms
        self.rank = rank
        self.attempts: list[ReplicatedAttempt] = []

    def message(self, now: float) -> ReplicatedRequest:
        """Return the request with the time that is left of it now."""
        self.request.remaining_ms = max(0.0, self.deadline_ms - now)
        return self.request


class OwnerReplication:
    """This gateway's in-flight set, and what its replicas have not been told of it.

    Invariants: it holds at most `max_requests` requests and `max_body_bytes` of bodies; beyond them
    the requests that are cheapest to lose are left out first, and counted. Each request goes with
    its response. `unsent` names requests of which no replica knows.

    Args:
        incarnation: This gateway's.
        policies: Retry policy by name of request class.
        max_requests: Bound on requests.
        max_body_bytes: Bound on the bytes of their bodies.
    """

    def __init__(
        self,
        incarnation: int,
        policies: Mapping[str, RetryPolicy],
        max_requests: int = MAX_REQUESTS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.incarnation = incarnation
        self.policies = policies
        self.rank_by_class = {
            name: RETENTION_RANK[policy.retry_safety] for name, policy in policies.items()
        }
        self.max_requests = max_requests
        self.max_body_bytes = max_body_bytes
        self.requests: dict[int, _OwnedRequest] = {}
        self.by_rank: dict[int, dict[int, _OwnedRequest]] = {
            rank: {} for rank in RETENTION_RANK.values()
        }
        self.body_bytes = 0
        self.counters: Counter[str] = Counter()
        self.unsent: dict[int, bool] = {}
        self.unsent_attempts: list[ReplicatedAttempt] = []
        self.unsent_finished: list[int] = []
        self.replicas: list[str] = []  # that have been told the whole
        self.unsent_since_ms: float | None = None

    def add(self, now: float, request: ReplicatedRequest, deadline_ms: float) -> None:
        """Take in a request that was accepted, unless the bounds leave it out.

        Args:
            now: In ms.
            request: What replicas are to know of it.
            deadline_ms: When its client gives up.
        """
        rank = self.rank_by_class[request.request_class]
        size = len(request.body)
        while (
            len(self.requests) >= self.max_requests or self.body_bytes + size > self.max_body_bytes
        ):
            if not self._evict_below(rank):
                self._count_left_out(request)
                return
        owned = _OwnedRequest(request, deadline_ms, rank)
        self.by_rank[rank][request.number] = owned
        self.requests[request.number] = owned
        self.body_bytes += size
        self.unsent[request.number] = True
        self.counters["entrusted"] += 1
        if self.unsent_since_ms is None:
            self.unsent_since_ms = now

    def _evict_below(self, rank: int) -> bool:
        """Leave out the oldest of the cheapest requests below this rank; False if there is none."""
        cheaper = next((r for r in sorted(self.by_rank) if self.by_rank[r] and r < rank), None)
        if cheaper is None:
            return False
        number, owned = next(iter(self.by_rank[cheaper].items()))
        self._count_left_out(owned.request)
        self.finish(number)
        return True

    def _count_left_out(self, request: ReplicatedRequest) -> None:
        retry_safety = self.policies[request.request_class].retry_safety
        self.counters[f"left out: {retry_safety}"] += 1

    def attempt_started(self, number: int, host: str) -> None:
        """Note that an attempt of a request went to a host."""
        owned = self.requests.get(number)
        if owned is None:
            return
        attempt = ReplicatedAttempt(number, host)
        owned.attempts.append(attempt)
        if number not in self.unsent:
            self.unsent_attempts.append(attempt)

    def finish(self, number: int) -> None:
        """Forget a request that has its response.

        Replicas are told at the end of the same tick: a successor that had not been told would run
        it after its response, where the host that ran it is lost as well.
        """
        owned = self.requests.pop(number, None)
        if owned is None:
            return
        del self.by_rank[owned.rank][number]
        self.body_bytes -= len(owned.request.body)
        if not self.unsent.pop(number, None):  # a replica need not forget what it never knew
            self.unsent_finished.append(number)

    def has_unsent(self) -> bool:
        """Return whether replicas have to be told something at the end of this tick."""
        return bool(self.unsent or self.unsent_attempts or self.unsent_finished)

    def updates(self, now: float, replicas: list[str]) -> list[OutgoingUpdate]:
        """Return what each replica is to be told at the end of a tick.

        Args:
            now: In ms.
            replicas: Names of the replicas that can be told, in the order of their rank.

        Returns:
            The changes for who was told before, a snapshot for who is new, and an empty snapshot
            for who is a replica no longer.
        """
        if replicas and replicas == self.replicas:  # as nearly always
            if not self.has_unsent():
                return []
            update = self._changes(now)
            self._clear_unsent()
            return [OutgoingUpdate(replicas, update)]
        known = [name for name in replicas if name in self.replicas]
        added = [name for name in replicas if name not in self.replicas]
        removed = [name for name in self.replicas if name not in replicas]
        outgoing = []
        if known and self.has_unsent():
            outgoing.append(OutgoingUpdate(known, self._changes(now)))
        if added:
            outgoing += self._snapshots(now, added, replicas)
        for name in removed:
            outgoing.append(OutgoingUpdate([name], self._update(0, True, [], [])))
        if replicas:
            self._clear_unsent()
        self.replicas = list(replicas)
        return outgoing

    def _changes(self, now: float) -> ReplicationUpdate:
        unsent = [self.requests[number] for number in self.unsent]
        attempts = [*self.unsent_attempts, *_attempts_of(unsent)]
        requests = [owned.message(now) for owned in unsent]
        return self._update(0, False, requests, attempts, self.unsent_finished)

    def _snapshots(self, now: float, added: list[str], replicas: list[str]) -> list[OutgoingUpdate]:
        requests = [owned.message(now) for owned in self.requests.values()]
        attempts = _attempts_of(self.requests.values())
        return [
            OutgoingUpdate([name], self._update(replicas.index(name), True, requests, attempts))
            for name in added
        ]

    def _update(
        self,
        rank: int,
        snapshot: bool,
        requests: list[ReplicatedRequest],
        attempts: list[ReplicatedAttempt],
        finished: list[int] | None = None,
    ) -> ReplicationUpdate:
        return ReplicationUpdate(
            self.incarnation, rank, snapshot, requests, attempts, finished or []
        )

    def _clear_unsent(self) -> None:
        # New tables: the lists went into an update that may not be encoded yet.
        self.unsent = {}
        self.unsent_attempts = []
        self.unsent_finished = []
        self.unsent_since_ms = None

    def forget_replica(self, name: str) -> None:
        """Note that a replica was lost from sight: it is sent a snapshot when it is back."""
        if name in self.replicas:
            self.replicas.remove(name)

    def is_replicated(self, number: int) -> bool:
        """Return whether a replica may know of a request.

        Then its response is a successor's to give, once this incarnation is over.
        """
        return number in self.requests and number not in self.unsent


def _attempts_of(requests: Iterable[_OwnedRequest]) -> list[ReplicatedAttempt]:
    return [attempt for owned in requests for attempt in owned.attempts]
