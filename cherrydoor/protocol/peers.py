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
