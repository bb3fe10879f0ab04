"""Messages between gateways: membership, leader election, and replication of requests in flight."""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cherrydoor.protocol.basics import (
    COMMON_MESSAGES,
    DurationMs,
    FinalOutcome,
    Id,
    Message,
    Name,
    Text,
)

Bound = Annotated[int, Meta(ge=0, le=2**31)]
Digest = Annotated[bytes, Meta(max_length=16)]


# ---- membership
MemberState = Literal["here", "silent", "vanished", "left", "over"]
# Rank of each state; from `FIRST_FINAL_STATE` on no refutation outranks it.
STATE_RANKS = {"here": 0, "silent": 1, "vanished": 2, "left": 3, "over": 4}
FIRST_FINAL_STATE = 3


class Member(Struct, omit_defaults=True, frozen=True):
    """A statement about one incarnation of one gateway.

    Attributes:
        name: The gateway's name.
        incarnation: Rises with each start of a process of that name.
        address: The address at which peers reach it.
        zone: Where it is.
        is_voter: Whether it is a voter of leader elections.
        state: What is held of it: alive ("here"), suspected ("silent"), disconnected ("vanished"),
            left, or "over".
        refutation: Raised by the gateway itself to refute a suspicion, as the incarnation of SWIM
            is.
    """

    name: Name
    incarnation: Id = field(name="life")
    address: Name = field(default="", name="at")
    zone: Name = field(default="", name="site")
    is_voter: bool = field(default=False, name="keeper")
    state: MemberState = "here"
    refutation: Id = field(default=0, name="word")

    def rank(self) -> tuple[int, int, int, int, str, str]:
        """Returns what statements are compared by, alike in whatever order they are merged.

        A later incarnation comes first, then a final state, a higher refutation, a worse state. Of
        one rank two statements differ in address alone, and the greater is taken.
        """
        state_rank = STATE_RANKS[self.state]
        final_rank = state_rank if state_rank >= FIRST_FINAL_STATE else 0
        return self.incarnation, final_rank, self.refutation, state_rank, self.address, self.zone


class MembershipUpdate(Message, tag="members"):
    """Statements new since the last update on this link; all of them at its start."""

    rows: list[Member] = []


class Heartbeat(Message, tag="beat"):
    """Sent on a link that has nothing else to send, so that its gateway is not suspected."""


# ---- leader election
class LeaseRequest(Message, tag="seek"):
    """Asks for the lease of a task under a fencing token, or renews it under the token that it has.

    Attributes:
        task: The task whose lease is wanted.
        fencing_token: The token under which it would be held.
        term_ms: How long the lease runs.
        round: Comes back with the answer: one to an earlier round says nothing of how long this
            one's lease holds.
    """

    task: Name
    fencing_token: Id = field(name="number")
    term_ms: DurationMs = field(name="term")
    round: Id = 0


class LeaseRelease(Message, tag="yield"):
    """Gives back a lease that was granted, or was asked for in vain."""

    task: Name
    fencing_token: Id = field(name="number")


class LeaseGranted(Message, tag="granted"):
    """A voter's grant, for the round that asked for it."""

    task: Name
    fencing_token: Id = field(name="number")
    round: Id = 0


class LeaseRefused(Message, tag="refused"):
    """A voter's refusal.

    Attributes:
        task: The task whose lease was asked for.
        fencing_token: The token of the request.
        highest_token: The highest token granted for the task.
        wait_ms: After which the task may be free, 0 where that is not known.
        reason: Of a veto, "" where the task is held or the token too low.
        round: Of the request.
    """

    task: Name
    fencing_token: Id = field(name="number")
    highest_token: Id = field(name="highest")
    wait_ms: DurationMs = field(default=0.0, name="wait")
    reason: Text = field(default="", name="why")
    round: Id = 0


# ---- failover
class ReplicatedRequest(Struct, omit_defaults=True, gc=False):
    """A request in flight, with all that another gateway needs to take it over.

    Attributes:
        number: The owner's own number for it.
        request_id: The client's id for it.
        client: Name of the client.
        request_class: Name of its request class.
        function: Function that it asks for.
        remaining_ms: Time left of the client's deadline as the owner sent this.
        tenant: Tenant that it is accounted to.
        idempotency_key: Key by which hosts drop repeats; "" without one.
        claim_key: Secret by which its client may claim the response elsewhere.
        affinity_key: Requests of one key go to one host where possible.
        copy_concurrency: Requests that one copy of the function runs at once.
        load_ms: Time that a host takes to load the function.
        body: Payload.
    """

    number: Id
    request_id: Id = field(name="event")
    client: Name
    request_class: Name = field(name="clause")
    function: Name
    remaining_ms: DurationMs = field(name="lasts")
    tenant: Name = field(default="", name="party")
    idempotency_key: Name = field(default="", name="mark")
    claim_key: Name = field(default="", name="key")
    affinity_key: Name = field(default="", name="document")
    copy_concurrency: float = field(default=1.0, name="lanes")
    load_ms: DurationMs = field(default=0.0, name="load")
    body: bytes = b""


class ReplicatedAttempt(Struct, array_like=True, gc=False):
    """An attempt of a replicated request, and the host that it was sent to."""

    number: Id
    host: Name


class ReplicationUpdate(Message, tag="entrust"):
    """What changed in the owner's in-flight set within one tick of its event loop.

    Attributes:
        incarnation: The owner's.
        rank: Which of the owner's replicas the receiver is, from 0; only with a snapshot.
        snapshot: Whether this replaces all that was replicated before.
        requests: Requests accepted.
        attempts: Attempts started.
        finished: The owner's numbers of requests that have their response.
    """

    incarnation: Id = field(name="life")
    rank: Bound = 0
    snapshot: bool = field(default=False, name="whole")
    requests: list[ReplicatedRequest] = field(default_factory=list, name="events")
    attempts: list[ReplicatedAttempt] = field(default_factory=list, name="out")
    finished: list[Id] = field(default_factory=list, name="over")


class SuccessorAnnounced(Message, tag="heir"):
    """An in-flight set is being taken over, or has been (docs/failover.md).

    Attributes:
        owner: Gateway whose in-flight set it is.
        incarnation: The owner's, which is over.
        fencing_token: Number of the lease under which it is taken over.
        successor: Gateway that takes it over.
        completed: Whether every request of it has its response.
        key_digests: Idempotency key digests of requests that must not run a second time.
    """

    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    fencing_token: Id = field(name="number")
    successor: Name = field(name="heir")
    completed: bool = field(default=False, name="done")
    key_digests: list[Digest] = field(default_factory=list, name="marks")


class ClaimRequest(Message, tag="claim"):
    """A client's claim of a response, passed on to the successor.

    Attributes:
        id: The asking gateway's id for the claim.
        owner: Gateway that accepted the request.
        incarnation: The owner's as it did.
        request_id: The client's id for the request at the owner.
        claim_key: The secret sent with the request.
        key_digest: Of a repeated request, in place of the request's id.
    """

    id: Id
    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    request_id: Id = field(name="event")
    claim_key: Name = field(name="key")
    key_digest: Digest = field(default=b"", name="mark")


class ClaimReply(Message, tag="claimed"):
    """The successor's reply to a claim.

    Attributes:
        id: Of the claim.
        known: Whether such a request was replicated and the claim key is its own.
        outcome: Of the request.
        retry_after_ms: After which the client may send it again.
        reason: Why it was rejected or failed, or why it is not known.
        body: The response's payload.
    """

    id: Id
    known: bool = False
    outcome: FinalOutcome = field(default="deferred", name="fate")
    retry_after_ms: DurationMs = field(default=0.0, name="stay_away")
    reason: Text = ""
    body: bytes = b""


PEER_MESSAGES = (
    *COMMON_MESSAGES,
    MembershipUpdate,
    Heartbeat,
    LeaseRequest,
    LeaseRelease,
    LeaseGranted,
    LeaseRefused,
    ReplicationUpdate,
    SuccessorAnnounced,
    ClaimRequest,
    ClaimReply,
)
