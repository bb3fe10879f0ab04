"""Baselines for the router's choice of a host: a random one, and the one with fewest in flight.

They exist only for comparison. The rules, health, retries and rejections are the router's own.
"""

from cherrydoor.routing import Router, messages
from cherrydoor.routing.host import Host
from cherrydoor.routing.host_choice import NO_CHOICE, Choice, HostChooser
from cherrydoor.routing.request import Request


class _AllHosts(HostChooser):
    """Chooses from all hosts, regardless of the ranges that they own."""

    def candidates(self, request: Request) -> list[Host]:
        """Returns the ready hosts that may run the request and were not tried yet, sorted by id."""
        now = self._context.now
        tried = [attempt.host for attempt in request.attempts]
        hosts = [
            host
            for host in self._hosts.values()
            if host.is_ready(now) and host not in tried and self._rules.allows(request, host)
        ]
        return sorted(hosts, key=lambda host: host.id)


class RandomChoice(_AllHosts):
    """Chooses any ready host."""

    def choose(self, request: Request) -> Choice:
        """Returns a random candidate."""
        hosts = self.candidates(request)
        if not hosts:
            return NO_CHOICE
        return Choice(hosts[int(self._context.next_random() * len(hosts))], None)


class LeastInFlight(_AllHosts):
    """Chooses the ready host with the fewest in-flight requests of this gateway.

    Ties go to the lowest id.
    """

    def choose(self, request: Request) -> Choice:
        """Returns the candidate with the fewest requests in flight."""
        hosts = self.candidates(request)
        return Choice(
            min(hosts, key=lambda host: (len(host.in_flight), host.id), default=None), None
        )


def random_router(settings: messages.Settings) -> Router:
    """Returns a router that chooses any ready host."""
    return Router(settings, chooser=RandomChoice)


def least_in_flight_router(settings: messages.Settings) -> Router:
    """Returns a router that chooses the host with the fewest requests in flight."""
    return Router(settings, chooser=LeastInFlight)


ROUTER_FACTORIES = {"module": Router, "random": random_router, "least-out": least_in_flight_router}
