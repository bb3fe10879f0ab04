"""In which order a site's sessions move, and where there is room for them. Pure.

A *lot* is what calls of one function at the site come to, over all gateways. Lots move in order of what is lost if one
of their events is served late, then of what moving costs: nothing where a matching copy stands elsewhere, else an
order, a fetch and memory. A wave holds whole lots or a share of one, bounded by the share of the site's traffic, and by
copies that are to be opened. What goes beyond the room that neighbours are known to have is the lowest, and goes last,
in smaller waves: what then shows to find none is *shed*, deferred, so that nothing above it is.
"""

from msgspec import Struct, structs

STEP = 0.25  # of the site's events a second that one wave moves at most
COPIES = (
    4  # copies that one wave has opened at most: the store and cold memory bear so many at a time
)
LEAST = (
    0.02  # of the site's traffic that a lot must have to stand by itself; smaller ones are the rest
)
NAMED = 60  # functions that a report names; the others go as the rest
REST = ""  # the name of the rest: every function that is not named


KINDS = ("redeliverable", "keyed", "at-most-once")  # the later, the stricter


def stricter(*kinds):
    """
    >>> stricter("keyed", "redeliverable")
    'keyed'
    """
    return max(kinds, key=KINDS.index)


class Lot(Struct, frozen=True):
    """rate: events a second at the site; benefit: lost with each that is late; kind: of the event type, the strictest;
    hosts: where matching copies stand elsewhere; memory: how long hosts remember marks, ms, of keyed ones."""

    function: str
    rate: float
    benefit: float = 1.0
    kind: str = "redeliverable"
    hosts: tuple[str, ...] = ()
    memory: float = 0.0


class Step(Struct, frozen=True):
    """From this wave on sessions below this share of a function's are away; `opens`: a copy has to stand first; rate:
    events a second that move with it."""

    function: str
    share: float
    opens: bool = False
    rate: float = 0.0


class Plan(Struct, frozen=True):
    """waves: steps of each, shares counted from nothing; sure: how many of them neighbours are known to bear, those
    beyond are smaller; room, asked: in events a second."""

    waves: list[list[Step]] = []
    sure: int = 0
    room: float = 0.0
    asked: float = 0.0

    @property
    def missing(self):
        """Events a second for which neighbours have no room."""
        return max(0.0, self.asked - self.room)

    def refused(self, even):
        """Whether nothing moves. even: an operator wants it tried all the same."""
        return self.missing > 0 and not even

    def refusal(self):
        return (
            f"neighbours are known to bear {self.room:.1f} more of the {self.asked:.1f} events a second here: "
            f"{self.missing:.1f} are missing; --even tries them last and defers what finds no room"
        )


def priority(lot):
    """What goes first sorts first: most benefit an event, then what costs nothing to move, then the busiest."""
    return -lot.benefit, not lot.hosts, -lot.rate, lot.function


def merged(told, named):
    """(lots, [(function, the name that hosts know it by, host)]) of what all gateways told; named(name): the function
    that a version is of. Sessions move by function, while a copy is of one version alone."""
    sums: dict = {}
    copies: dict = {}
    for one in told:
        name = named(one.function)
        was = sums.get(name) or Lot(name, 0.0, 0.0, one.kind)
        sums[name] = Lot(
            name,
            one.rate + was.rate,
            max(one.benefit, was.benefit),
            stricter(one.kind, was.kind),
            tuple(dict.fromkeys([*was.hosts, *one.hosts])),
            max(one.memory, was.memory),
        )
        copies.update(dict.fromkeys((name, one.function, host) for host in one.hosts))
    return list(sums.values()), list(copies)


def scaled(lots, rate):
    """So that they come to what goes to the site in all: a function's second worker may stand there, too, which no
    gateway counts as a lot of the site.

    >>> [lot.rate for lot in scaled([Lot("a", 3.0), Lot("b", 1.0)], 6.0)]
    [4.5, 1.5]
    """
    total = sum(lot.rate for lot in lots)
    if not total or total >= rate:
        return lots
    return [structs.replace(lot, rate=lot.rate * rate / total) for lot in lots]


def gathered(lots):
    """Lots that are too small to stand by themselves go together as the rest, with the mean benefit."""
    total = sum(lot.rate for lot in lots)
    big = [lot for lot in lots if lot.rate >= LEAST * total and lot.function != REST]
    small = [lot for lot in lots if lot not in big]
    rate = sum(lot.rate for lot in small)
    if rate:
        benefit = sum(lot.rate * lot.benefit for lot in small) / rate
        big.append(
            Lot(
                REST,
                rate,
                benefit,
                stricter(*(lot.kind for lot in small)),
                ("",),
                max(lot.memory for lot in small),
            )
        )
    return sorted(big, key=priority)


def plan(lots, room, step=STEP, copies=COPIES):
    """The waves that drain a site of these lots into `room` events a second at its neighbours.

    >>> [[s.function for s in wave] for wave in plan([Lot("a", 1.0), Lot("b", 1.0, 5.0)], 10.0, 0.5).waves]
    [['b'], ['a']]
    """
    ordered = gathered(lots)
    asked = sum(lot.rate for lot in ordered)
    left, waves, sure = room, [], -1
    wave: list[Step] = []
    moved = opened = 0.0
    most = max(step * asked, 1e-9)
    for lot in ordered:
        share = 0.0
        while share < 1 - 1e-9:
            beyond = left <= 1e-9
            opens = not lot.hosts and not share
            if moved >= most - 1e-9 or opens and opened >= copies or beyond and sure < 0 and wave:
                waves.append(wave)
                wave, moved, opened = [], 0.0, 0.0
            if (
                beyond and sure < 0
            ):  # from here on it shows whether there is room: no smaller lot goes first
                sure, most = len(waves), most / 2
            part = min(1 - share, (most - moved) / lot.rate, 1.0 if beyond else left / lot.rate)
            share = min(1.0, share + part)
            left -= part * lot.rate
            moved += part * lot.rate
            opened += opens
            wave.append(
                Step(lot.function, 1.0 if share > 1 - 1e-9 else share, opens, part * lot.rate)
            )
    if wave:
        waves.append(wave)
    return Plan(waves, sure if sure >= 0 else len(waves), room, asked)


def step_within(span, wave):
    """The share that a wave has to move for the drain to be over in `span` ms, where a wave takes `wave` ms; None where
    not even one fits. It is STEP unless time is short.

    >>> step_within(60000.0, 2000.0), step_within(4000.0, 2000.0), step_within(1000.0, 2000.0)
    (0.25, 0.5, None)
    """
    waves = int(span // wave)
    return max(STEP, 1.0 / waves) if waves else None


def served(chosen, lots):
    """Benefit a second of the lots that are known to find room: what an order of priority is measured by.

    >>> served(plan([Lot("a", 1.0), Lot("b", 1.0, 5.0)], 1.0), [Lot("a", 1.0), Lot("b", 1.0, 5.0)])
    5.0
    """
    shares = {step.function: step.share for wave in chosen.waves[: chosen.sure] for step in wave}
    return sum(lot.rate * lot.benefit * shares.get(lot.function, 0.0) for lot in gathered(lots))
