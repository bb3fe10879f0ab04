"""The gate of the five rules, and the figures that a lease comes down to."""

from collections import deque
from zlib import crc32

from cherrydoor.routing import messages as io
from cherrydoor.routing.decay import WINDOW, Actor, Tally
from cherrydoor.routing.request import Customer

FURTHER = 2  # further launches for one event
MARGIN = 0.9  # of the multiple in rule 4, for chance
LINGER = 6000  # an idle copy is believed to stand for so long, where nothing is said


class Deed:
    """The few figures that decisions use, drawn from the lease."""

    def __init__(self, lease):
        self.me, self.gateways, self.asks, self.twice = (
            lease.me,
            lease.gateways,
            lease.asks,
            lease.twice,
        )
        self.launches, self.advice = min(lease.launches, 1 + FURTHER), lease.advice
        self.recalls, self.probes = lease.recalls, lease.probes
        self.cold_from, self.cold, self.fall = lease.cold_from, lease.cold, lease.fall
        self.linger, self.orders, self.misses = lease.linger or LINGER, lease.orders, lease.misses
        self.ration = (lease.loads_free, lease.loads_share, lease.loads_within)
        self.budget, self.target = (
            MARGIN * lease.fall_multiple,
            min(c.target for c in lease.clauses),
        )
        self.clauses = {c.name: c for c in lease.clauses}
        self.customers = {
            p.name: Customer(p.per_second / lease.gateways / 1000) for p in lease.parties
        }


class Rules(Actor):
    """The gate that every launch and every order to load passes; what they spend is kept here."""

    def __init__(self, lease):
        super().__init__(deque())
        self.deed, self.seed, self.drawn, self.now = Deed(lease), lease.seed, 0, 0.0
        self.pace, self.actions = Tally(half=2 * WINDOW), []
        self.warm = 0.0  # running hosts, a cold one at its level
        # of rule 4: for long, as of few answers the greater of mean and floor is too much; times of rule 5
        self.handled, self.ordered, self.taken = Tally(half=4 * WINDOW), deque(), deque()

    def mean(self):
        """Mean answer time of all hosts. It ages, so that a gateway that takes nothing does not go on so."""
        return self.pace.read(self.now, self.deed.target / 4)

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    def ring(self, later, token):
        self.actions.append(io.Ring(self.now + later, token))

    def may(self, evt, host):
        """The gate: what the rules say of a launch of this event to this host now."""
        if evt.over or evt.streams or self.now >= evt.until or len(evt.tries) >= self.deed.launches:
            return False  # rule 1
        if evt.away and host.zone == evt.away:
            return False  # a drained zone's hosts are none of its session's places
        if host.state != io.READY or not host.room(self.now) or evt.out() and not self.deed.twice:
            return False  # rules 3, 4 and 2
        ran = evt.may_have_run()
        if not ran or evt.clause.kind == io.REDELIVERABLE:
            return True  # rule 2 from here
        group = evt.clause.group
        same = group == "all" or getattr(host, group) == getattr(ran[0].host, group)
        return (
            evt.clause.kind == io.KEYED
            and same
            and self.now - ran[0].sent < 0.8 * evt.clause.memory
        )

    def order(self, func, host):
        free, share, within = self.deed.ration  # the gate of orders to load
        self.forget(self.ordered, 1.01 * within)  # both err on the safe side
        self.forget(self.taken, 0.99 * within)
        if host in func.opening:
            return True
        spent = within and len(self.ordered) + 1 > free + share * len(self.taken)
        if spent or not self.deed.orders or host.state != io.READY:
            return False
        self.ordered.extend([self.now] * bool(within))
        self.actions.append(io.Order(func.name, host.id, 1))
        func.opening.setdefault(host, self.now)
        return True

    def forget(self, times, within):
        while times and times[0] <= self.now - within:
            times.popleft()

    def borne(self):
        """Events a ms that a warm host bears from this gateway: at least its part of one at a time."""
        own = self.handled.read(self.now) / (1.44 * self.handled.half)
        return max(own, 1 / (self.deed.gateways * self.mean()))
