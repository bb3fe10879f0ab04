"""What gateways say to each other: who is there, tenures, and work in hand entrusted."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from cherrydoor.protocol.basics import ALWAYS, Final, Id, Message, Name, Span, Text

Bound = Annotated[int, Meta(ge=0, le=2**31)]
Digest = Annotated[bytes, Meta(max_length=16)]


# ---- who is there
class Member(Struct, omit_defaults=True, frozen=True):
    """A statement of one life of one gateway: where peers reach it, its site, and what is held of it."""

    name: Name
    life: Id
    at: Name = ""
    site: Name = ""
    keeper: bool = False
    state: Literal["here", "silent", "vanished", "left", "over"] = "here"
    word: Id = 0

    def rank(self):
        """What outranks what, alike at whoever merges and in whatever order: a later life, then a final state, a later
        word, a worse state. Of one rank the two differ in address alone, and the greater is taken."""
        worse = ("here", "silent", "vanished", "left", "over").index(self.state)
        return self.life, worse if worse > 2 else 0, self.word, worse, self.at, self.site


class Members(Message, tag="members"):
    """What is new since the last word on this link; whole at its start."""

    rows: list[Member] = []


class Beat(Message, tag="beat"):
    """A sign of life where nothing else is said."""


# ---- tenures
class Seek(Message, tag="seek"):
    """Asks for a task under a number, or goes on with it under the number that it has. `round` comes back with the
    answer: one that was given in an earlier round says nothing of how long this one may be believed in."""

    task: Name
    number: Id
    term: Span
    round: Id = 0


class Yield(Message, tag="yield"):
    """Gives back what was granted, or was asked for in vain."""

    task: Name
    number: Id


class Granted(Message, tag="granted"):
    task: Name
    number: Id
    round: Id = 0


class Refused(Message, tag="refused"):
    """highest: the highest number promised for the task; wait: ms after which it may be free, 0 where not known."""

    task: Name
    number: Id
    highest: Id
    wait: Span = 0.0
    why: Text = ""
    round: Id = 0


# ---- custody
class Trust(Struct, omit_defaults=True, gc=False):
    """An event in hand, as much as another gateway needs to go on with it. `lasts`: ms left of the client's time."""

    number: Id  # the giver's own for it
    event: Id  # the client's
    client: Name
    clause: Name
    function: Name
    lasts: Span
    party: Name = ""
    mark: Name = ""
    key: Name = ""
    document: Name = ""
    lanes: float = 1.0
    load: Span = 0.0
    body: bytes = b""


class Out(Struct, array_like=True, gc=False):
    """A launch of an entrusted event, and where it went."""

    number: Id
    host: Name


class Entrust(Message, tag="entrust"):
    """Of one turn of the giver: events taken, launches out, events answered. rank: which of its witnesses this one is,
    from 0; whole: what was entrusted before is replaced."""

    life: Id
    rank: Bound = 0
    whole: bool = False
    events: list[Trust] = []
    out: list[Out] = []
    over: list[Id] = []


class Heir(Message, tag="heir"):
    """An estate has been taken over under that number; `marks` are of what may not run beside it (docs/custody.md)."""

    gateway: Name
    life: Id
    number: Id
    heir: Name
    done: bool = False
    marks: list[Digest] = []


class Claim(Message, tag="claim"):
    """A client's claim, asked of the heir."""

    id: Id
    gateway: Name
    life: Id
    event: Id
    key: Name
    mark: Digest = b""  # of a plain repeat, in place of the event's id


class Claimed(Message, tag="claimed"):
    id: Id
    known: bool = False
    fate: Final = "deferred"
    stay_away: Span = 0.0
    reason: Text = ""
    body: bytes = b""


PEER = (*ALWAYS, Members, Beat, Seek, Yield, Granted, Refused, Entrust, Heir, Claim, Claimed)
