"""An event taken, its launches, and the customer it comes from."""

from cherrydoor.routing import messages as io
from cherrydoor.routing.decay import WINDOW, Tally

NEVER_RAN = (io.FULL, io.NO_CONNECTION, io.UNSENT, io.MISSING)


class Customer:
    """One customer's calls and strain, apart, so that its clients' repeats are not overload for others."""

    def __init__(self, part=1.0):
        self.part, self.calls, self.strain = part, Tally(), Tally()

    def overloaded(self, now):
        return self.strain.read(now) > 2 + 0.1 * self.calls.read(now)

    def beyond(self, now):  # an equal part of its share
        return self.calls.read(now) > 2 * WINDOW * self.part


class Try:
    """One launch of an event: fate is None while it is out; stood tells if a copy was known to stand, silent
    that it is held to be lost at a host that answers other things."""

    def __init__(self, evt, host, now):
        self.evt, self.host, self.sent, self.fate = evt, host, now, None
        self.stood = self.warm = host.holds(evt.func, now)
        self.silent = False


class Event:
    """An event taken; Gateway.events drops it once it is over and no launch is out."""

    def __init__(self, arrival, clause, func, customer):
        self.id, self.clause, self.func, self.until = arrival.event, clause, func, arrival.until
        self.away = arrival.away
        self.customer, self.tries, self.over, self.streams = customer, [], False, False

    def out(self):
        return [t for t in self.tries if t.fate is None]

    def may_have_run(self):
        return [t for t in self.tries if t.fate not in NEVER_RAN]
