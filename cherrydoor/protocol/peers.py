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

    # ---- names that the failover package still uses
    @property
    def at(self) -> str:
        """`address`, as the failover package calls it."""
        return self.address

    @property
    def site(self) -> str:
        """`zone`, as the failover package calls it."""
        return self.zone

    @property
    def keeper(self) -> bool:
        """`is_voter`, as the failover package calls it."""
        return self.is_voter


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


# ---- custody
class ReplicatedRequest(Struct, omit_defaults=True, gc=False):
    """An event in hand, as much as another gateway needs to go on with it. `lasts`: ms left of the client's time."""

    number: Id  # the giver's own for it
    event: Id  # the client's
    client: Name
    clause: Name
    function: Name
    lasts: DurationMs
    party: Name = ""
    mark: Name = ""
    key: Name = ""
    document: Name = ""
    lanes: float = 1.0
    load: DurationMs = 0.0
    body: bytes = b""


class ReplicatedAttempt(Struct, array_like=True, gc=False):
    """A launch of an entrusted event, and where it went."""

    number: Id
    host: Name


class ReplicationUpdate(Message, tag="entrust"):
    """Of one turn of the giver: events taken, launches out, events answered. rank: which of its witnesses this one is,
    from 0; whole: what was entrusted before is replaced."""

    incarnation: Id = field(name="life")
    rank: Bound = 0
    whole: bool = False
    events: list[ReplicatedRequest] = []
    out: list[ReplicatedAttempt] = []
    over: list[Id] = []


class SuccessorAnnounced(Message, tag="heir"):
    """An estate has been taken over under that number; `marks` are of what may not run beside it (docs/custody.md)."""

    gateway: Name
    incarnation: Id = field(name="life")
    number: Id
    heir: Name
    done: bool = False
    marks: list[Digest] = []


class ClaimRequest(Message, tag="claim"):
    """A client's claim, asked of the heir."""

    id: Id
    gateway: Name
    incarnation: Id = field(name="life")
    event: Id
    key: Name
    mark: Digest = b""  # of a plain repeat, in place of the event's id


class ClaimReply(Message, tag="claimed"):
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
