"""Two ways to choose that nobody would run, to compare the module's with: everything else stays the module's own.

The rules, the taking of events, health and answers are as in the module; only where an event goes differs.
"""

from cherrydoor.routing import Router
from cherrydoor.routing.zone_table import Zone


def may_get(router, evt):
    been = [t.host for t in evt.tries]
    fit = [
        h
        for h in router.hosts.values()
        if h.ready(router.now) and h not in been and router.may(evt, h)
    ]
    return sorted(fit, key=lambda h: h.id)


class RandomZone(Zone):
    def choose(self, evt):
        hosts = may_get(self.router, evt)
        return (hosts[int(self.router.chance() * len(hosts))] if hosts else None), None


class LeastOutZone(Zone):
    def choose(self, evt):
        return min(may_get(self.router, evt), key=lambda h: (len(h.out), h.id), default=None), None


def random_choice(lease):
    """Any ready host."""
    router = Router(lease)
    router.zone = RandomZone(router)
    return router


def least_out(lease):
    """The ready host with the fewest own events out, ties by id."""
    router = Router(lease)
    router.zone = LeastOutZone(router)
    return router


MAKERS = {"module": Router, "random": random_choice, "least-out": least_out}
