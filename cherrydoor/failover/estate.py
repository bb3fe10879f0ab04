"""Work in hand as it is entrusted: the giver's side and the witness's. Pure: no sockets, no clock.

A giver tells its witnesses what it has taken and not answered, after the event is on its way to a host, turn by turn. A
witness keeps the estates of others, life by life, until each event's time is over. Times are ms; `until` is when a
client's time is over by the clock of whoever holds the record.
"""

from collections import Counter
from hashlib import blake2b

from cherrydoor.failover.decide import COST
from cherrydoor.protocol.peers import ReplicatedAttempt, ReplicationUpdate

EVENTS, BYTES = 2000, 8 * 2**20  # entrusted at once by one giver; also kept at once of one giver


def mark_of(party, clause, mark):
    """By which a plain repeat of what may not run beside an estate is known, and by nobody else.

    >>> mark_of("c", "file", "m1") == mark_of("c", "file", "m1") != mark_of("c", "file", "m2")
    True
    """
    return blake2b(f"{party}\0{clause}\0{mark}".encode(), digest_size=12).digest()


class Giver:
    """What this gateway has in hand, as its witnesses are told of it. Tables are bounded by EVENTS and BYTES: beyond
    them what is cheapest to lose is left out first, and counted; each line goes with the event's answer."""

    def __init__(self, incarnation, kinds, events=EVENTS, size=BYTES):
        self.incarnation, self.kinds, self.events, self.size = incarnation, kinds, events, size
        self.held = {cost: {} for cost in COST.values()}  # cost -> number -> (Trust, until, [Out])
        self.where, self.bytes, self.counters = {}, 0, Counter()
        self.new, self.out, self.over, self.witnesses = {}, [], [], []
        self.oldest_new = None  # since when something is in hand of which no witness has heard

    def taken(self, now, trust, until):
        cost = COST[self.kinds[trust.clause].kind]
        size = len(trust.body)
        while len(self.where) >= self.events or self.bytes + size > self.size:
            cheaper = next((c for c in sorted(self.held) if self.held[c] and c < cost), None)
            if cheaper is None:
                self.counters[f"left out: {self.kinds[trust.clause].kind}"] += 1
                return
            number = next(iter(self.held[cheaper]))
            self.counters[f"left out: {self.kinds[self.held[cheaper][number][0].clause].kind}"] += 1
            self.answered(number)
        self.held[cost][trust.number], self.where[trust.number] = (trust, until, []), cost
        self.bytes += size
        self.new[trust.number] = True
        self.counters["entrusted"] += 1
        if self.oldest_new is None:
            self.oldest_new = now

    def launched(self, number, host):
        if number in self.where:
            out = ReplicatedAttempt(number, host)
            self.held[self.where[number]][number][2].append(out)
            if number not in self.new:
                self.out.append(out)

    def answered(self, number):
        """Told at the end of the turn, too: an heir that had not heard would launch it after its final answer, where
        the host that handled it is lost as well."""
        cost = self.where.pop(number, None)
        if cost is None:
            return
        trust, _, _ = self.held[cost].pop(number)
        self.bytes -= len(trust.body)
        if not self.new.pop(number, None):  # what no witness has heard of need not be forgotten
            self.over.append(number)

    def pending(self):
        """Whether something has to be told at the end of this turn."""
        return bool(self.new or self.out or self.over)

    def round(self, now, witnesses):
        """[(witnesses, Entrust)]: what is new to each, at the end of a turn; a new witness is told the whole."""
        if witnesses and witnesses == self.witnesses:  # as nearly always
            if not self.pending():
                return []
            held, where = self.held, self.where
            out = [*self.out, *(o for number in self.new for o in held[where[number]][number][2])]
            one = ReplicationUpdate(
                self.incarnation,
                0,
                False,
                [self.left(now, number) for number in self.new],
                out,
                self.over,
            )
            self.new, self.out, self.over, self.oldest_new = {}, [], [], None
            return [(witnesses, one)]
        told = [name for name in witnesses if name in self.witnesses]
        fresh = [name for name in witnesses if name not in self.witnesses]
        dropped = [name for name in self.witnesses if name not in witnesses]
        messages = []
        if told and self.pending():
            events = [self.left(now, number) for number in self.new]
            out = [
                *self.out,
                *(o for number in self.new for o in self.held[self.where[number]][number][2]),
            ]
            messages.append(
                (told, ReplicationUpdate(self.incarnation, 0, False, events, out, self.over))
            )
        if fresh:
            events = [self.left(now, number) for number in self.where]
            out = [o for number, cost in self.where.items() for o in self.held[cost][number][2]]
            messages += [
                (
                    [name],
                    ReplicationUpdate(self.incarnation, witnesses.index(name), True, events, out),
                )
                for name in fresh
            ]
        messages += [([name], ReplicationUpdate(self.incarnation, 0, True)) for name in dropped]
        if witnesses:
            self.new, self.out, self.over, self.oldest_new = {}, [], [], None
        self.witnesses = list(witnesses)
        return messages

    def unheard(self, name):
        """A witness is lost from sight: it is told the whole when it is back."""
        if name in self.witnesses:
            self.witnesses.remove(name)

    def told(self, number):
        """Whether a witness may have heard of it: then its answer is an heir's, once this life is over."""
        return number in self.where and number not in self.new

    def left(self, now, number):
        trust, until, _ = self.held[self.where[number]][number]
        trust.lasts = max(0.0, until - now)
        return trust


class Line:
    """An event of another's estate."""

    __slots__ = ("trust", "until", "since", "out")

    def __init__(self, trust, until, since):
        """since: when it was first heard of here, which is when a first launch may have left an effect, or later."""
        self.trust, self.until, self.since, self.out = trust, until, since, []


class Estate:
    """What one life of one gateway has entrusted here."""

    def __init__(self, giver, incarnation, rank):
        self.giver, self.incarnation, self.rank, self.lines, self.bytes = (
            giver,
            incarnation,
            rank,
            {},
            0,
        )
        self.cut = None  # since when its giver is not linked here

    @property
    def task(self):
        return f"estate/{self.giver}/{self.incarnation}"


class Witness:
    """Estates of others. An estate goes when it is empty and its giver's life goes on or is settled; each line at the
    latest when its time is over."""

    def __init__(self):
        self.estates, self.settled, self.counters = {}, {}, Counter()

    def entrusted(self, now, giver, said):
        key = giver, said.incarnation
        if key in self.settled or any(
            g == giver and incarnation > said.incarnation for g, incarnation in self.estates
        ):
            self.counters["entrusted by a life that is over"] += 1
            return
        estate = self.estates.get(key)
        if estate is None or said.whole:
            estate = self.estates[key] = Estate(giver, said.incarnation, said.rank)
        if said.whole:
            estate.rank = said.rank
        for trust in said.events:
            if len(estate.lines) >= EVENTS or estate.bytes + len(trust.body) > BYTES:
                self.counters["beyond the bound of a giver"] += 1
                continue
            estate.lines[trust.number] = Line(trust, now + trust.lasts, now)
            estate.bytes += len(trust.body)
        for out in said.out:
            if out.number in estate.lines:
                estate.lines[out.number].out.append(out.host)
        for number in said.over:
            self.drop(estate, number)

    def drop(self, estate, number):
        line = estate.lines.pop(number, None)
        estate.bytes -= len(line.trust.body) if line else 0

    def tick(self, now, states, linked, stale):
        """(estates to seek, estates to let be). states: name -> (life, state) as members tell it; linked: names; stale:
        ms after which an estate is dropped whose giver is there and not linked here: it tells others by now, and what
        it has answered since is not known here."""
        seek, leave = [], []
        for key, estate in list(self.estates.items()):
            estate.cut = (
                None if estate.giver in linked else estate.cut if estate.cut is not None else now
            )
            here = states.get(estate.giver) == (estate.incarnation, "here")
            if here and estate.cut is not None and now - estate.cut > stale:
                self.counters["estates that had become stale"] += 1
                del self.estates[key]
                leave.append(estate)
        for key, estate in list(self.estates.items()):
            for number in [n for n, line in estate.lines.items() if line.until <= now]:
                self.drop(estate, number)
            incarnation, state = states.get(estate.giver, (0, "vanished"))
            if (
                incarnation > estate.incarnation
                or incarnation == estate.incarnation
                and state in ("silent", "vanished", "over")
            ):
                (seek if estate.lines else leave).append(estate)
                if not estate.lines:
                    del self.estates[key]
            elif incarnation == estate.incarnation and state == "left":
                del self.estates[key]
                leave.append(estate)
            else:
                leave.append(estate)
        for key in [k for k, until in self.settled.items() if until <= now]:
            del self.settled[key]
        return seek, leave

    def done(self, now, giver, incarnation):
        """It has been settled by whom it fell to."""
        self.estates.pop((giver, incarnation), None)
        self.settled[giver, incarnation] = now + 60000.0
