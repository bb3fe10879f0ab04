"""Who is there. Pure: notes in, statements and links wanted out; no sockets, no clock.

Each start of a gateway is a *life* of its name, a number that only rises. What is said of a life is a statement, and
statements are merged by one rule, so that late, doubled or reordered ones change nothing: a higher life wins; of one
life `over` and `left` are final, else the higher word wins, and of one word the worse. A gateway that hears itself
called silent says `here` with the next word, so suspicion heals. Times are ms of the caller's own clock.

Table: `members`, emptied of what has been gone for FORGET, and bounded by MOST (further names are not taken).
"""

from collections import Counter
from hashlib import sha1
from typing import Any

from msgspec import structs

from cherrydoor.protocol.peers import Member as Row

HERE, SILENT, VANISHED, LEFT, OVER = "here", "silent", "vanished", "left", "over"
FINAL = (LEFT, OVER)
FORGET = (
    600000.0  # ms for which a name that is gone is remembered: longer than any estate is at work on
)
MOST = 4000  # names


def merged(one, other):
    """The one of two statements of a name that stands; None stands for nothing said.

    >>> merged(Row("a", 1, state=SILENT), Row("a", 1, refutation=1)).state
    'here'
    >>> merged(Row("a", 1, state=OVER), Row("a", 1, refutation=9)).state
    'over'
    """
    if one is None or other is None:
        return one or other
    return other if other.rank() > one.rank() else one


def place(name):
    """Where a name stands on the ring.

    >>> place("g1") == place("g1") != place("g2")
    True
    """
    return sha1(name.encode()).digest()[:8]


class Me:
    """This gateway as it tells of itself."""

    def __init__(self, name, incarnation, at, site="", keeper=False):
        self.name, self.incarnation, self.at, self.site, self.keeper = (
            name,
            incarnation,
            at,
            site,
            keeper,
        )
        self.word = 0

    def row(self, state: Any = HERE):
        return Row(self.name, self.incarnation, self.at, self.site, self.keeper, state, self.word)


class Members:
    """The view of one gateway. `told` holds the rows that peers have not heard of since the last round(); `since` when
    each name's row was last changed here."""

    def __init__(self, me, now):
        self.me, self.now = me, now
        self.members, self.since, self.told, self.counters = (
            {me.name: me.row()},
            {me.name: now},
            {},
            Counter(),
        )
        self.doubled = False  # another process says that it is this very life

    # ---- what is said
    def hear(self, now, rows):
        """Statements of a peer, in any order; the names of which something new is held."""
        self.now, changed = now, []
        for row in rows:
            if row.name == self.me.name:
                changed += [row.name] * self.of_me(row)
            elif self.take(row):
                changed.append(row.name)
        return changed

    def of_me(self, row):
        """What others say of this gateway: a later life is another process of this name; this life's end is final;
        any suspicion is answered."""
        me = self.me
        if row.incarnation >= me.incarnation and row.at != me.at and row.state == HERE:
            self.doubled = True
            self.counters["two processes under this name"] += 1
        if row.incarnation == me.incarnation and row.state in FINAL:
            return self.take(row)
        elif row.incarnation == me.incarnation and row.rank() > me.row().rank():
            me.word = row.refutation + 1
            self.counters["suspicions answered"] += 1
            return self.take(me.row())
        elif row.incarnation > me.incarnation:
            return self.take(row)
        return False

    def take(self, row):
        before = self.members.get(row.name)
        if before is None and len(self.members) >= MOST:
            self.counters["names beyond the bound"] += 1
            return False
        stands = merged(before, row)
        if stands is before:
            self.counters["statements that were old"] += stands != row
            return False
        self.members[row.name], self.since[row.name], self.told[row.name] = stands, self.now, stands
        return True

    def state(self, now, name, incarnation, state: Any):
        """Said by this gateway itself, by what its own links show."""
        self.now = now
        row = self.members.get(name)
        if (
            row is None
            or row.incarnation != incarnation
            or row.state in FINAL
            or name == self.me.name
        ):
            return False
        return self.take(structs.replace(row, state=state))

    def over(self, now, name, incarnation):
        """A life is over for good: its estate has been taken, or another life of the name has been seen."""
        self.now = now
        row = self.members.get(name) or Row(name, incarnation)
        return row.incarnation == incarnation and self.take(structs.replace(row, state=OVER))

    @property
    def ended(self):
        """Whether this life is held to be over, by whomever, or another one has begun."""
        mine = self.members[self.me.name]
        return mine.incarnation > self.me.incarnation or mine.state in FINAL

    def leave(self):
        self.take(self.me.row(LEFT))

    # ---- what is told and kept
    def round(self, now):
        """Rows that are new since the last round, for everybody who is linked."""
        self.now, told, self.told = now, list(self.told.values()), {}
        for name in [
            n
            for n, row in self.members.items()
            if row.state != HERE and now - self.since[n] > FORGET
        ]:
            del self.members[name], self.since[name]
        return told

    def whole(self):
        return list(self.members.values())

    # ---- who is linked to whom
    def living(self):
        """Names held to be there, this one among them."""
        return [n for n, row in self.members.items() if row.state == HERE]

    def next(self, count):
        """The next living ones after this one on the ring of names, other sites first, each site once before any
        comes again: so that the loss of a site leaves a witness. Alike for the same view."""
        mine = place(self.me.name)
        ring = sorted(
            (r for r in self.members.values() if r.state == HERE and r.name != self.me.name),
            key=lambda r: (place(r.name) <= mine, place(r.name), r.name),
        )
        met, found = Counter([self.me.site]), []
        while ring and len(found) < count:
            least = min(met[r.site] for r in ring)
            chosen = next(r for r in ring if met[r.site] == least)
            ring.remove(chosen)
            met[chosen.site] += 1
            found.append(chosen.name)
        return found

    def keepers(self):
        return [n for n, row in self.members.items() if row.keeper and n != self.me.name]
