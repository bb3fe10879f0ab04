"""Two ways to choose a host that nobody would run, to compare the router's choice with.

Everything else stays the router's own: the rules, health, retries and rejections.
"""

from cherrydoor.routing import Router, messages
from cherrydoor.routing.host import Host
from cherrydoor.routing.host_choice import NO_CHOICE, Choice, HostChooser
from cherrydoor.routing.request import Request


class _AllHosts(HostChooser):
    """Chooses from all hosts, whatever ranges they own."""

    def candidates(self, request: Request) -> list[Host]:
        """Ready hosts, by id, that the request may go to and has not been at."""
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
        """A random host."""
        hosts = self.candidates(request)
        if not hosts:
            return NO_CHOICE
        return Choice(hosts[int(self._context.next_random() * len(hosts))], None)


class LeastInFlight(_AllHosts):
    """Chooses the ready host with the fewest own requests in flight, ties by id."""

    def choose(self, request: Request) -> Choice:
        """The host with the fewest requests in flight."""
        hosts = self.candidates(request)
        return Choice(
            min(hosts, key=lambda host: (len(host.in_flight), host.id), default=None), None
        )


def random_choice(settings: messages.Settings) -> Router:
    """A router that chooses any ready host."""
    return Router(settings, chooser=RandomChoice)


def least_out(settings: messages.Settings) -> Router:
    """A router that chooses the ready host with the fewest own requests in flight."""
    return Router(settings, chooser=LeastInFlight)


ROUTER_FACTORIES = {"module": Router, "random": random_choice, "least-out": least_out}
