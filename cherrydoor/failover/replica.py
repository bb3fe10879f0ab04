"""The replica's side of replication: in-flight sets of other gateways. Pure: no clock."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import NamedTuple

from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry
from cherrydoor.failover.owner import MAX_BODY_BYTES, MAX_REQUESTS
from cherrydoor.protocol.peers import ReplicationUpdate

# How long late updates of a set that was taken over are refused. Longer than any client's deadline.
COMPLETED_RETENTION_MS = 60000.0
# Member states of an owner whose in-flight set is taken over. "left" is not one of them: a
# gateway drains its requests before it leaves.
LOST_STATES = ("silent", "vanished", "over")


class MemberStatus(NamedTuple):
    """Incarnation and state of a gateway in the member table."""

    incarnation: int
    state: str


UNKNOWN_MEMBER = MemberStatus(0, "vanished")


class TakeoverCandidates(NamedTuple):
    """In-flight sets whose takeover this gateway should apply for, and those it should not."""

    eligible: list[InFlightSet]
    ineligible: list[InFlightSet]


class ReplicaStore:
    """In-flight sets of other gateways, by (owner, incarnation).

    A set is dropped when its owner is up and replicates to others, when its owner has left, or when
    it has been taken over. Each request is dropped at its deadline at the latest. Each set is
    limited by the same bounds as at its owner.

    Attributes:
        completed: Until when updates of a set that was taken over are refused, in ms.
    """

    def __init__(self) -> None:
        self.in_flight_sets: dict[tuple[str, int], InFlightSet] = {}
        self.completed: dict[tuple[str, int], float] = {}
        self.counters: Counter[str] = Counter()

    def apply(self, now: float, owner: str, update: ReplicationUpdate) -> None:
        """Apply an owner's update, unless its incarnation is over.

        Args:
            now: Current time in ms.
            owner: Gateway that sent the update.
            update: The changes, or a snapshot.
        """
        key = owner, update.incarnation
        if key in self.completed or self._has_later_incarnation(owner, update.incarnation):
            self.counters["entrusted by a life that is over"] += 1
            return
        in_flight = self.in_flight_sets.get(key)
        if in_flight is None or update.snapshot:
            in_flight = InFlightSet(owner, update.incarnation, update.rank)
            self.in_flight_sets[key] = in_flight
        for request in update.requests:
            body_bytes = in_flight.body_bytes + len(request.body)
            if len(in_flight.entries) >= MAX_REQUESTS or body_bytes > MAX_BODY_BYTES:
                self.counters["beyond the bound of a giver"] += 1
                continue
            in_flight.add(ReplicatedEntry(request, now + request.remaining_ms, now))
        for attempt in update.attempts:
            entry = in_flight.entries.get(attempt.number)
            if entry is not None:
                entry.hosts.append(attempt.host)
        for number in update.finished:
            in_flight.remove(number)

    def _has_later_incarnation(self, owner: str, incarnation: int) -> bool:
        return any(name == owner and later > incarnation for name, later in self.in_flight_sets)

    def tick(
        self,
        now: float,
        members: Mapping[str, MemberStatus],
        connected: Collection[str],
        stale_after_ms: float,
    ) -> TakeoverCandidates:
        """Drop stale sets and expired requests; sort the other sets by whether to take them over.

        Args:
            now: Current time in ms.
            members: Status by name of gateway.
            connected: Names of gateways that are connected to this one.
            stale_after_ms: After this time without a connection to an owner that is up, its set is
                dropped. The owner replicates to others by then, and the set here lacks the
                responses it has given since: a takeover would run those requests again.
        """
        eligible: list[InFlightSet] = []
        ineligible = self._drop_stale(now, members, connected, stale_after_ms)
        for key, in_flight in list(self.in_flight_sets.items()):
            self._drop_expired(now, in_flight)
            incarnation, state = members.get(in_flight.owner, UNKNOWN_MEMBER)
            same_incarnation = incarnation == in_flight.incarnation
            lost = incarnation > in_flight.incarnation or (
                same_incarnation and state in LOST_STATES
            )
            if lost and in_flight.entries:
                eligible.append(in_flight)
                continue
            ineligible.append(in_flight)
            if lost or (same_incarnation and state == "left"):
                del self.in_flight_sets[key]
        for key in [key for key, until in self.completed.items() if until <= now]:
            del self.completed[key]
        return TakeoverCandidates(eligible, ineligible)

    def _drop_stale(
        self,
        now: float,
        members: Mapping[str, MemberStatus],
        connected: Collection[str],
        stale_after_ms: float,
    ) -> list[InFlightSet]:
        dropped = []
        for key, in_flight in list(self.in_flight_sets.items()):
            if in_flight.owner in connected:
                in_flight.disconnected_since_ms = None
                continue
            if in_flight.disconnected_since_ms is None:
                in_flight.disconnected_since_ms = now
            owner_is_up = members.get(in_flight.owner) == (in_flight.incarnation, "here")
            if owner_is_up and now - in_flight.disconnected_since_ms > stale_after_ms:
                self.counters["estates that had become stale"] += 1
                del self.in_flight_sets[key]
                dropped.append(in_flight)
        return dropped

    def _drop_expired(self, now: float, in_flight: InFlightSet) -> None:
        entries = in_flight.entries
        for number in [key for key, entry in entries.items() if entry.deadline_ms <= now]:
            in_flight.remove(number)

    def complete(self, now: float, owner: str, incarnation: int) -> None:
        """Drop a set whose takeover has completed, and refuse its late updates."""
        self.in_flight_sets.pop((owner, incarnation), None)
        self.completed[owner, incarnation] = now + COMPLETED_RETENTION_MS
