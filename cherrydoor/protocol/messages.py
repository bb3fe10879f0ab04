"""Every message of the wire, as typed records. docs/wire.md has the same in words.

Times are ms with fractions. `clock` and `sent` are readings of the sender's own clock, of use only in differences;
`since` is ms since 1970. Ids are whole numbers that belong to the connection they are sent on.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from cherrydoor.protocol.basics import (
    ALWAYS,
    Count,
    Fate,
    Fault,
    Final,
    Hello,
    How,
    Id,
    Leaving,
    Message,
    Name,
    Span,
    State,
    Text,
    Time,
)
from cherrydoor.protocol.basics import LARGEST as LARGEST
from cherrydoor.protocol.basics import VERSION as VERSION


# ---- client to gateway and back
class Event(Message, tag="event"):
    id: Id
    clause: Name
    function: Name
    lasts: Annotated[float, Meta(gt=0.0, le=1e10)]  # from `sent` on, until the client gives up
    sent: Time
    party: Name = ""
    mark: Name = ""  # by which a repeat of a keyed event is known
    lanes: Annotated[float, Meta(ge=0.0, le=1e6)] = 1.0
    load: Span = 0.0  # usual time of a load, 0 where not known
    body: bytes = b""
    document: Name = ""  # by which versions are dealt out
    key: Name = ""  # by which its answer can be claimed elsewhere; nobody else may guess it


class Withdraw(Message, tag="withdraw"):
    id: Id


class Answer(Message, tag="answer"):
    id: Id
    fate: Final
    stay_away: Span = 0.0  # with deferred: try again no sooner
    reason: Text = ""
    body: bytes = b""


class Started(Message, tag="started"):
    """The answer has begun to stream: the client's time-out ceases to apply."""

    id: Id


# ---- gateway to host and back
class Launch(Message, tag="launch"):
    id: Id
    event: Id  # the client's id of it
    client: Name
    clause: Name
    function: Name
    limit: Span  # the gateway waits no longer than this
    number: Count = 0  # which launch of the event this is, from 0
    mark: Name = ""
    usual: Span = 0.0  # an event that takes longer is slow, 0 where not known
    body: bytes = b""
    giver: Name = ""  # the gateway that took the event, where another has taken it over ...
    life: Id = 0  # ... in which of its starts ...
    under: Id = 0  # ... and the number of the tenure under which


class Recall(Message, tag="recall"):
    id: Id


class Outcome(Message, tag="outcome"):
    id: Id
    fate: Fate
    copy: Annotated[int, Meta(ge=0, le=4)] = (
        0  # 1 a copy stood, 2 began a load, 3 awaited one, 4 the load failed
    )
    crowd: Count = 0  # events of the same function that the host held
    held: Span | None = None  # events it held in all, by its last report
    body: bytes = b""
    tally: tuple[Count, Count, Count] | None = (
        None  # events, errors, slow of this version since the host started
    )
    queue: Span | None = None  # those of them that waited, by the same report
    tied: Annotated[float, Meta(ge=0.0, le=10.0)] | None = (
        None  # share of memory that cannot be freed
    )


class Underway(Message, tag="underway"):
    id: Id


class Probe(Message, tag="probe"):
    id: Id


class Probed(Message, tag="probed"):
    id: Id
    fate: Fate = "handled"
    held: Span | None = None


class Order(Message, tag="order"):
    """Hold at least so many copies; 0 only asks how many stand."""

    id: Id
    function: Name
    copies: Annotated[int, Meta(ge=0, le=16)]


class Ordered(Message, tag="ordered"):
    id: Id
    fate: Fate
    copies: Count = 0


class Drop(Message, tag="drop"):
    """Let go of the function's idle copies."""

    id: Id
    function: Name


class Dropped(Message, tag="dropped"):
    id: Id
    copies: Count = 0  # still standing


# ---- host to store and back
class Fetch(Message, tag="fetch"):
    id: Id
    function: Name


class Fetched(Message, tag="fetched"):
    id: Id
    fate: Fate
    release: Count = 0
    memory: Span = 0.0  # MB of a copy
    lanes: Count = 1
    work: Span = 0.0  # mean ms of a core for an event
    start: Span = 0.0  # ms of a start once the image is there
    core: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0  # part of the start that takes a core


# ---- gateway and list
class Row(Struct, omit_defaults=True, gc=False):
    host: Name  # address:port, also its id
    state: State
    since: Time = 0.0
    zone: Name = ""
    cell: int = 0


class Follow(Message, tag="follow"):
    """Rows and their changes from now on."""


class Ask(Message, tag="ask"):
    """The whole list, once."""


class Rows(Message, tag="rows"):
    revision: Count
    how: How
    rows: list[Row] = []


class Release(Struct, omit_defaults=True, gc=False):
    """A version of a function, and what has become of it where it is released."""

    function: Name
    version: Count
    state: Literal["announced", "withdrawn", "complete"] = "announced"


class Releases(Message, tag="releases"):
    """From the release feed; whole: all that it has, else what has changed."""

    revision: Count
    how: How
    releases: list[Release] = []


class Heard(Message, tag="heard"):
    """The gateway has read that revision."""

    revision: Count


ALL = (
    Hello,
    Fault,
    Leaving,
    Event,
    Withdraw,
    Answer,
    Started,
    Launch,
    Recall,
    Outcome,
    Underway,
    Probe,
    Probed,
    Order,
    Ordered,
    Drop,
    Dropped,
    Fetch,
    Fetched,
    Follow,
    Ask,
    Rows,
    Releases,
    Heard,
)
# What each end takes from each other end; any other kind is unknown there.
FROM_CLIENT = (*ALWAYS, Event, Withdraw)
TO_CLIENT = (*ALWAYS, Leaving, Answer, Started)
TO_HOST = (*ALWAYS, Launch, Recall, Probe, Order, Drop)
FROM_HOST = (*ALWAYS, Outcome, Underway, Probed, Ordered, Dropped)
TO_STORE = (*ALWAYS, Fetch)
FROM_STORE = (*ALWAYS, Fetched)
TO_LIST = (*ALWAYS, Follow, Ask, Heard)
FROM_LIST = (*ALWAYS, Rows)
TO_FEED = (*ALWAYS, Follow, Heard)
FROM_FEED = (*ALWAYS, Releases)
