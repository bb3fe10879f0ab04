"""The owner's side of replication: updates of this gateway's in-flight set for its replicas. Pure.

At the end of each event loop tick a gateway replicates the requests that it has accepted and not
yet answered. By then each request has been sent to a host, so no request waits for a replica.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cherrydoor.failover.retry_policy import RETENTION_RANK, RetryPolicy
from cherrydoor.protocol.peers import ReplicatedAttempt, ReplicatedRequest, ReplicationUpdate

# Both bounds are per owner, and apply at the owner and at each of its replicas.
MAX_REQUESTS = 2000
MAX_BODY_BYTES = 8 * 2**20  # sum over the bodies of the replicated requests


class OutgoingUpdate(NamedTuple):
    """An update, and the names of the replicas to send it to."""

    replicas: list[str]
    update: ReplicationUpdate


class _OwnedRequest:
    """A replicated request of this gateway, with its attempts so far."""

    __slots__ = ("attempts", "deadline_ms", "rank", "request")

    def __init__(self, request: ReplicatedRequest, deadline_ms: float, rank: int) -> None:
        self.request = request
        self.deadline_ms = deadline_ms
        self.rank = rank
        self.attempts: list[ReplicatedAttempt] = []

    def message(self, now: float) -> ReplicatedRequest:
        """Return the request with its remaining time set as of `now`."""
        self.request.remaining_ms = max(0.0, self.deadline_ms - now)
        return self.request


class OwnerReplication:
    """This gateway's in-flight set, and the changes not yet sent to its replicas.

    Invariants: it holds at most `max_requests` requests and `max_body_bytes` of bodies. Beyond
    these bounds the requests that are cheapest to lose are evicted first, and counted. A request is
    removed once it has its response. `unsent_requests` holds the numbers of requests that were sent
    to no replica.

    Args:
        incarnation: This gateway's incarnation.
        policies: Retry policy by name of request class.
        max_requests: Bound on the number of requests.
        max_body_bytes: Bound on the total size of their bodies.

    Attributes:
        synced_replicas: Replicas that have received a snapshot and every change since.
        unsent_since_ms: When the oldest unsent request was added; None if there is none.
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
        self.requests_by_rank: dict[int, dict[int, _OwnedRequest]] = {
            rank: {} for rank in RETENTION_RANK.values()
        }
        self.body_bytes = 0
        self.counters: Counter[str] = Counter()
        self.unsent_requests: dict[int, bool] = {}
        self.unsent_attempts: list[ReplicatedAttempt] = []
        self.unsent_finished: list[int] = []
        self.synced_replicas: list[str] = []
        self.unsent_since_ms: float | None = None

    def add(self, now: float, request: ReplicatedRequest, deadline_ms: float) -> None:
        """Add an accepted request, unless the bounds leave it out.

        Args:
            now: Current time in ms.
            request: The request as it is sent to replicas.
            deadline_ms: When its client stops waiting for the response.
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
        self.requests_by_rank[rank][request.number] = owned
        self.requests[request.number] = owned
        self.body_bytes += size
        self.unsent_requests[request.number] = True
        self.counters["entrusted"] += 1
        if self.unsent_since_ms is None:
            self.unsent_since_ms = now

    def _evict_below(self, rank: int) -> bool:
        """Evict the oldest request of the lowest rank below this one; False if there is none."""
        lower_rank = next(
            (
                other
                for other in sorted(self.requests_by_rank)
                if self.requests_by_rank[other] and other < rank
            ),
            None,
        )
        if lower_rank is None:
            return False
        number, owned = next(iter(self.requests_by_rank[lower_rank].items()))
        self._count_left_out(owned.request)
        self.finish(number)
        return True

    def _count_left_out(self, request: ReplicatedRequest) -> None:
        retry_safety = self.policies[request.request_class].retry_safety
        self.counters[f"left out: {retry_safety}"] += 1

    def attempt_started(self, number: int, host: str) -> None:
        """Record that an attempt of a request was sent to a host."""
        owned = self.requests.get(number)
        if owned is None:
            return
        attempt = ReplicatedAttempt(number, host)
        owned.attempts.append(attempt)
        if number not in self.unsent_requests:
            self.unsent_attempts.append(attempt)

    def finish(self, number: int) -> None:
        """Remove a request that has its response.

        Replicas are notified at the end of the same tick. Otherwise a successor could run the
        request again after its response, if the host that ran it is lost as well.
        """
        owned = self.requests.pop(number, None)
        if owned is None:
            return
        del self.requests_by_rank[owned.rank][number]
        self.body_bytes -= len(owned.request.body)
        if not self.unsent_requests.pop(number, None):  # no replica holds an unsent request
            self.unsent_finished.append(number)

    def has_unsent(self) -> bool:
        """Return whether there are changes to send to replicas."""
        return bool(self.unsent_requests or self.unsent_attempts or self.unsent_finished)

    def updates(self, now: float, replicas: list[str]) -> list[OutgoingUpdate]:
        """Return the updates to send at the end of a tick, and mark them as sent.

        Args:
            now: Current time in ms.
            replicas: Names of the connected replicas, in the order of their rank.

        Returns:
            The changes for replicas that have a snapshot, a snapshot for new replicas, and an empty
            snapshot for gateways that are no longer replicas.
        """
        if replicas and replicas == self.synced_replicas:  # the usual case
            if not self.has_unsent():
                return []
            update = self._changes(now)
            self._clear_unsent()
            return [OutgoingUpdate(replicas, update)]
        known = [name for name in replicas if name in self.synced_replicas]
        added = [name for name in replicas if name not in self.synced_replicas]
        removed = [name for name in self.synced_replicas if name not in replicas]
        outgoing = []
        if known and self.has_unsent():
            outgoing.append(OutgoingUpdate(known, self._changes(now)))
        if added:
            outgoing += self._snapshots(now, added, replicas)
        for name in removed:
            outgoing.append(OutgoingUpdate([name], self._update(0, True, [], [])))
        if replicas:
            self._clear_unsent()
        self.synced_replicas = list(replicas)
        return outgoing

    def _changes(self, now: float) -> ReplicationUpdate:
        unsent_requests = [self.requests[number] for number in self.unsent_requests]
        attempts = [*self.unsent_attempts, *_attempts_of(unsent_requests)]
        requests = [owned.message(now) for owned in unsent_requests]
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
        # New objects, not `clear()`: the lists are part of an update that may not be encoded yet.
        self.unsent_requests = {}
        self.unsent_attempts = []
        self.unsent_finished = []
        self.unsent_since_ms = None

    def forget_replica(self, name: str) -> None:
        """Record that a replica lost its connection, so that its next update is a snapshot."""
        if name in self.synced_replicas:
            self.synced_replicas.remove(name)

    def is_replicated(self, number: int) -> bool:
        """Return whether a replica may hold a request.

        If so, only a successor may answer it once this incarnation is over.
        """
        return number in self.requests and number not in self.unsent_requests


def _attempts_of(requests: Iterable[_OwnedRequest]) -> list[ReplicatedAttempt]:
    return [attempt for owned in requests for attempt in owned.attempts]
