"""An event taken, its launches, and the customer it comes from."""

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW, DecayingValue

NEVER_RAN = (
    messages.AttemptOutcome.FULL,
    messages.AttemptOutcome.CONNECT_FAILED,
    messages.AttemptOutcome.NOT_SENT,
    messages.AttemptOutcome.FUNCTION_MISSING,
)


class Customer:
    """One customer's calls and strain, apart, so that its clients' repeats are not overload for others."""

    def __init__(self, part=1.0):
        self.part, self.calls, self.strain = part, DecayingValue(), DecayingValue()

    def overloaded(self, now):
        return self.strain.read(now) > 2 + 0.1 * self.calls.read(now)

    def beyond(self, now):  # an equal part of its share
        return self.calls.read(now) > 2 * WINDOW * self.part


class Try:
    """One launch of an event: fate is None while it is out; stood tells if a copy was known to stand, silent
    that it is held to be lost at a host that answers other things."""

    def __init__(self, evt, host, now):
        self.evt, self.host, self.sent, self.outcome = evt, host, now, None
        self.stood = self.warm = host.holds(evt.func, now)
        self.silent = False


class Event:
    """An event taken; Gateway.events drops it once it is over and no launch is out."""

    def __init__(self, arrival, clause, func, customer):
        self.id, self.clause, self.func, self.until = (
            arrival.request_id,
            clause,
            func,
            arrival.deadline_ms,
        )
        self.away = arrival.drained_zone
        self.customer, self.tries, self.over, self.streams = customer, [], False, False

    def out(self):
        return [t for t in self.tries if t.outcome is None]

    def may_have_run(self):
        return [t for t in self.tries if t.outcome not in NEVER_RAN]
