"""What the desk does for work that outlives its gateway: questions to hosts beside the module, events taken over, and
launches whose link was lost. All of it is asked for by custody (custody/shell.py); alone a gateway does none of it."""

from typing import Any

from cherrydoor.gateway.tables import CLOSED, HostCall, HostConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class Takeover:
    """The tables are the desk's."""

    now: float
    numbers: int
    limits: Any
    hosts: dict
    counters: Any
    dial: Any
    set_timer: Any
    send: Any
    cut: Any
    accept: Any
    route: Any
    respond: Any
    failover: Any
    connect_timed_out: Any

    def query_host(self, name, make, wait, then):
        """Asks a host, a draining one too, what is neither launch nor order; then(host, fate, message) comes once."""
        host = self.hosts.get(name)
        if host is None or host.row.state == "gone":
            return then(name, routing.AttemptOutcome.CONNECT_FAILED, None)
        self.numbers += 1
        sent = HostCall(None, self.numbers, self.now, None, then=then)
        self.send(host, sent, make(sent.id))
        self.set_timer(self.now + wait, self.cut, sent, routing.AttemptOutcome.NO_RESPONSE)

    def take_over_request(self, client, event, until, origin):
        """Launched anew, as any event, with the time it has left."""
        pending = self.accept(client, event, until)
        pending.origin = origin
        self.counters["events launched anew for another gateway"] += 1
        self.route(pending)

    def adopt_attempt(self, client, event, until, origin, name, make):
        """A launch of another gateway still at work at that host: its outcome is the event's."""
        host = self.hosts.get(name)
        pending = self.accept(client, event, until)
        pending.origin, pending.adopted = origin, True
        self.counters["launches adopted"] += 1
        self.numbers += 1
        sent = HostCall(routing.AttemptEnded, self.numbers, self.now, None, pending)
        pending.attempts.append(sent)
        pending.out += 1
        self.send(host, sent, make(sent.id))

    def came_to_nothing(self, pending, fate):
        """An adopted launch has ended without its answer."""
        if self.failover.may_retry_adopted(pending, fate):
            self.route(pending)
        else:
            self.respond(
                pending,
                protocol.Response(
                    pending.request.id, "dead-lettered", 0.0, f"adopted, then {fate}"
                ),
            )

    def give_up(self, host, numbers):
        """Launches whose link was lost are recalled over another: a host lets work in hand go on, as it cannot tell a
        lost link from a lost gateway. Guards against two launches of one event out at once."""
        if host.row.state == "gone":
            return
        link = next((ln for ln in host.links if ln.state != CLOSED), None)
        if link is None:
            link = HostConnection(host, self.now)
            host.links.append(link)
            self.set_timer(self.now + self.limits.connect, self.connect_timed_out, link)
            self.dial(link)
        for number in numbers:
            link.write(protocol.CancelAttempt(number))
