"""Two ways to choose that nobody would run, to compare the module's with: everything else stays the module's own.

The rules, the taking of events, health and answers are as in the module; only where an event goes differs.
"""

from cherrydoor.routing import Router
from cherrydoor.routing.zone_table import Zone


def may_get(gate, evt):
    been = [t.host for t in evt.tries]
    fit = [
        h for h in gate.hosts.values() if h.ready(gate.now) and h not in been and gate.may(evt, h)
    ]
    return sorted(fit, key=lambda h: h.id)


class RandomZone(Zone):
    def choose(self, evt):
        hosts = may_get(self.gate, evt)
        return (hosts[int(self.gate.chance() * len(hosts))] if hosts else None), None


class LeastOutZone(Zone):
    def choose(self, evt):
        return min(may_get(self.gate, evt), key=lambda h: (len(h.out), h.id), default=None), None


def random_choice(lease):
    """Any ready host."""
    gate = Router(lease)
    gate.zone = RandomZone(gate)
    return gate


def least_out(lease):
    """The ready host with the fewest own events out, ties by id."""
    gate = Router(lease)
    gate.zone = LeastOutZone(gate)
    return gate


MAKERS = {"module": Router, "random": random_choice, "least-out": least_out}
