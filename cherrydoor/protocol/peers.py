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
# Rank of each state. No refutation outranks a state of rank `FIRST_FINAL_STATE` or higher.
STATE_RANKS = {"here": 0, "silent": 1, "vanished": 2, "left": 3, "over": 4}
FIRST_FINAL_STATE = 3


class Member(Struct, omit_defaults=True, frozen=True):
    """A statement about one incarnation of one gateway.

    Attributes:
        name: The gateway's name.
        incarnation: Number that is higher at each start of a process of that name.
        address: The address at which peers reach it.
        zone: The zone that it is in.
        is_voter: Whether it is a voter in leader elections.
        state: Its state: alive ("here"), suspected ("silent"), disconnected ("vanished"), "left",
            or "over", when its incarnation has ended.
        refutation: Number that the gateway itself raises to refute a suspicion. It has the role of
            the incarnation number in SWIM.
    """

    name: Name
    incarnation: Id = field(name="life")
    address: Name = field(default="", name="at")
    zone: Name = field(default="", name="site")
    is_voter: bool = field(default=False, name="keeper")
    state: MemberState = "here"
    refutation: Id = field(default=0, name="word")

    def rank(self) -> tuple[int, int, int, int, str, str]:
        """Returns the key by which statements are compared; the one with the greater key wins.

        Merging statements in any order therefore gives the same result. A later incarnation wins
        over an earlier one; within an incarnation a final state wins, then a higher refutation,
        then a worse state. Address and zone only break ties.
        """
        state_rank = STATE_RANKS[self.state]
        final_rank = state_rank if state_rank >= FIRST_FINAL_STATE else 0
        return self.incarnation, final_rank, self.refutation, state_rank, self.address, self.zone


class MembershipUpdate(Message, tag="members"):
    """The statements that are new since the last update on this link; at its start, all of them."""

    rows: list[Member] = []


class Heartbeat(Message, tag="beat"):
    """Sent on a link without other messages to send, so that the sender is not suspected."""


# ---- leader election
class LeaseRequest(Message, tag="seek"):
    """Asks for the lease of a task under a new fencing token, or renews it under the current one.

    Attributes:
        task: The task whose lease is requested.
        fencing_token: The token under which the lease would be held.
        term_ms: Duration of the lease.
        round: Number of the request round, which the answer repeats. An answer to an earlier round
            does not tell for how long the lease of this round is valid.
    """

    task: Name
    fencing_token: Id = field(name="number")
    term_ms: DurationMs = field(name="term")
    round: Id = 0


class LeaseRelease(Message, tag="yield"):
    """Releases a lease that was granted, or withdraws a request that did not succeed."""

    task: Name
    fencing_token: Id = field(name="number")


class LeaseGranted(Message, tag="granted"):
    """A voter's grant of a lease, for the round in which it was requested."""

    task: Name
    fencing_token: Id = field(name="number")
    round: Id = 0


class LeaseRefused(Message, tag="refused"):
    """A voter's refusal of a lease.

    Attributes:
        task: The task whose lease was requested.
        fencing_token: The token of the request.
        highest_token: The highest token that the voter has granted for the task.
        wait_ms: Time after which the task may be free; 0 if not known.
        reason: Why a grant check refused; "" if the lease is held or the token is too low.
        round: The round of the request.
    """

    task: Name
    fencing_token: Id = field(name="number")
    highest_token: Id = field(name="highest")
    wait_ms: DurationMs = field(default=0.0, name="wait")
    reason: Text = field(default="", name="why")
    round: Id = 0


# ---- failover
class ReplicatedRequest(Struct, omit_defaults=True, gc=False):
    """A request in flight, with all data that another gateway needs to take it over.

    Attributes:
        number: The owner's own number for it.
        request_id: The client's id for it.
        client: Name of the client.
        request_class: Name of its request class.
        function: Function to run.
        remaining_ms: Time until the client's deadline when the owner sent this.
        tenant: Tenant to which it is accounted.
        idempotency_key: Key by which hosts drop repeated requests; "" if it has none.
        claim_key: Secret with which its client may claim the response at another gateway.
        affinity_key: Requests with the same key go to the same host if possible.
        copy_concurrency: Requests that one copy of the function runs at a time.
        load_ms: Time that a host takes to load the function.
        body: Input of the function.
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
    """An attempt of a replicated request, with the host that it was sent to."""

    number: Id
    host: Name


class ReplicationUpdate(Message, tag="entrust"):
    """The changes to the owner's in-flight set within one event loop tick.

    Attributes:
        incarnation: The owner's incarnation.
        rank: Position of the receiver among the owner's replicas, from 0; only set in a snapshot.
        snapshot: Whether this replaces everything replicated before.
        requests: Requests that were accepted.
        attempts: Attempts that were started.
        finished: The owner's numbers of the requests that got their response.
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
        incarnation: The owner's incarnation, which has ended.
        fencing_token: Fencing token of the lease under which it is taken over.
        successor: Gateway that takes it over.
        completed: Whether all its requests have their responses.
        key_digests: Digests of the idempotency keys of requests that must not run a second time.
    """

    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    fencing_token: Id = field(name="number")
    successor: Name = field(name="heir")
    completed: bool = field(default=False, name="done")
    key_digests: list[Digest] = field(default_factory=list, name="marks")


class ClaimRequest(Message, tag="claim"):
    """A client's claim of a response, forwarded to the successor.

    Attributes:
        id: The forwarding gateway's id for the claim.
        owner: Gateway that accepted the request.
        incarnation: The owner's incarnation when it accepted the request.
        request_id: The client's id for the request at the owner.
        claim_key: The secret that was sent with the request.
        key_digest: Digest of the idempotency key of a repeated request, in place of its id.
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
        id: Id of the claim.
        known: Whether such a request was replicated, with this claim key.
        outcome: Outcome of the request.
        retry_after_ms: Time after which the client may retry the request.
        reason: Why it was rejected or failed, or why it is not known.
        body: Body of the response.
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
