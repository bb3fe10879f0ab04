"""What goes into the decision module and what comes out of it: types alone, no logic.

All times are milliseconds with fractions on the batch clock. Hosts, events, functions and
customers are named by their ids here; inside the module objects point to each other.
"""

from typing import NamedTuple

# How a launch ended, how a probe or an order to load went, and what kind an event type is of.
HANDLED, ERROR, FULL, NO_ANSWER, NO_CONNECTION, LOST, RECALLED, UNSENT, MISSING = (
    "handled",
    "error",
    "full",
    "no-answer",
    "no-connection",
    "lost",
    "recalled",
    "unsent",
    "missing",
)
REDELIVERABLE, KEYED, AT_MOST_ONCE = "redeliverable", "keyed", "at-most-once"
READY, DRAINING, GONE = "ready", "draining", "gone"
CHANGES, WHOLE, SAVED, FAILED = "changes", "whole", "saved", "failed"


# ---- handed over at start -------------------------------------------------------------------
class Clause(NamedTuple):
    """What is promised for one event type."""

    name: str
    target: float
    max_age: float
    kind: str = REDELIVERABLE
    group: str = "all"  # hosts that drop repeats of a keyed event: all, zone or cell
    memory: float = 0.0  # how long they remember it
    stream: bool = False


class Party(NamedTuple):
    """One customer and the events a second, over all gateways, that lie within its share."""

    name: str
    per_second: float


class Lease(NamedTuple):
    """Everything a gateway is handed when it starts."""

    me: int
    gateways: int
    seed: int
    zone: str
    step: float  # shortest gap between batches
    clauses: tuple
    parties: tuple = ()
    asks: bool = False  # the list of hosts must be asked for
    launches: int = 1  # launches allowed for one event
    twice: bool = False  # two launches of an event may be out at once
    recalls: bool = False
    probes: bool = False
    advice: float = 0.0  # longest stay-away that clients follow, 0 where none may be given
    cold_from: float = 1.0  # share of its capacity with which a host starts
    cold: float = 0.0  # it is warm after this time
    fall_multiple: float = 0.0  # a cold host falls over at this multiple of what it can do ...
    fall: float = 0.0  # ... for this long
    linger: float = 0.0  # an idle copy stands at least this long
    orders: bool = False  # copies may be ordered
    misses: bool = False  # a host without the function answers 'missing' in place of loading
    loads_free: float = 0.0  # the ration of orders to load: so many ...
    loads_share: float = 0.0  # ... and this share of the events taken ...
    loads_within: float = 0.0  # ... within this time; 0 where there is no ration
    tells_copy: bool = True  # answers tell whether a copy stood; else Outcome.copy is None
    tells_crowd: bool = (
        True  # answers tell of events of the same function; else Outcome.crowd is None
    )


# ---- in -------------------------------------------------------------------------------------
class Row(NamedTuple):
    host: str
    state: str
    since: float  # when it last started, 0 long ago
    zone: str
    cell: int


class Listing(NamedTuple):
    how: str
    rows: tuple


class Arrival(NamedTuple):
    event: int
    clause: str
    party: str
    function: str
    until: float  # the client gives up then
    lanes: float  # events that one copy runs at a time
    load: float  # usual time of a load, 0 where not told
    away: str = ""  # a zone that its session has moved away from, "" for none


class Foreseen(NamedTuple):
    """A function that will soon be called: a copy at its home is worth an order; away as in Arrival."""

    function: str
    away: str = ""


class Underway(NamedTuple):
    event: int
    launch: int
    host: str


class Outcome(NamedTuple):
    event: int
    launch: int
    fate: str
    over: bool  # the event is closed
    host: str
    took: float
    copy: int | None = (
        None  # 1 a copy stood, 2 it began a load, 3 it waited for one, 4 the load failed
    )
    crowd: int | None = None  # events of the same function that the host held
    held: float | None = None  # events that the host held in all, by its last report ...
    queue: float | None = None  # ... those of them that waited, and ...
    tied: float | None = (
        None  # ... the share of its memory that cannot be freed; all None where not told
    )


class ClientLeft(NamedTuple):
    event: int


class Wake(NamedTuple):
    token: str


class Probed(NamedTuple):
    host: str
    fate: str
    took: float


class Loaded(NamedTuple):
    function: str
    host: str
    fate: str
    copies: int
    took: float


# ---- out ------------------------------------------------------------------------------------
class Launch(NamedTuple):
    event: int
    host: str
    limit: float  # 0: until the client gives up


class Recall(NamedTuple):
    event: int
    launch: int


class Defer(NamedTuple):
    event: int
    stay_away: float


class DeadLetter(NamedTuple):
    event: int


class Ring(NamedTuple):
    """Asks for a Wake at that time."""

    at: float
    token: str


class Probe(NamedTuple):
    host: str


class Order(NamedTuple):
    function: str
    host: str
    copies: int


class Subscribe(NamedTuple):
    pass


class Log(NamedTuple):
    text: str
