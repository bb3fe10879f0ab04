"""What gateways say to each other: who is there, tenures, and work in hand entrusted."""

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


# ---- who is there
class Member(Struct, omit_defaults=True, frozen=True):
    """A statement of one life of one gateway: where peers reach it, its site, and what is held of it."""

    name: Name
    incarnation: Id = field(name="life")
    at: Name = ""
    site: Name = ""
    keeper: bool = False
    state: Literal["here", "silent", "vanished", "left", "over"] = "here"
    word: Id = 0

    def rank(self):
        """What outranks what, alike at whoever merges and in whatever order: a later life, then a final state, a later
        word, a worse state. Of one rank the two differ in address alone, and the greater is taken."""
        worse = ("here", "silent", "vanished", "left", "over").index(self.state)
        return self.incarnation, worse if worse > 2 else 0, self.word, worse, self.at, self.site


class MembershipUpdate(Message, tag="members"):
    """What is new since the last word on this link; whole at its start."""

    rows: list[Member] = []


class Heartbeat(Message, tag="beat"):
    """A sign of life where nothing else is said."""


# ---- tenures
class LeaseRequest(Message, tag="seek"):
    """Asks for a task under a number, or goes on with it under the number that it has. `round` comes back with the
    answer: one that was given in an earlier round says nothing of how long this one may be believed in."""

    task: Name
    number: Id
    term: DurationMs
    round: Id = 0


class LeaseRelease(Message, tag="yield"):
    """Gives back what was granted, or was asked for in vain."""

    task: Name
    number: Id


class LeaseGranted(Message, tag="granted"):
    task: Name
    number: Id
    round: Id = 0


class LeaseRefused(Message, tag="refused"):
    """highest: the highest number promised for the task; wait: ms after which it may be free, 0 where not known."""

    task: Name
    number: Id
    highest: Id
    wait: DurationMs = 0.0
    why: Text = ""
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
    """An in-flight set is being taken over, or has been (docs/custody.md).

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
