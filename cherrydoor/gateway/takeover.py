"""What the desk does for work that outlives its gateway: questions to hosts beside the module, events taken over, and
launches whose link was lost. All of it is asked for by custody (custody/shell.py); alone a gateway does none of it."""

from typing import Any

from cherrydoor.gateway.tables import SHUT, Link, Sent
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class Inheritance:
    """The tables are the desk's."""

    now: float
    numbers: int
    terms: Any
    hosts: dict
    counts: Any
    dial: Any
    alarm: Any
    send: Any
    cut: Any
    hold: Any
    arrived: Any
    answer: Any
    custody: Any
    connect_timed_out: Any

    def question(self, name, make, wait, then):
        """Asks a host, a draining one too, what is neither launch nor order; then(host, fate, message) comes once."""
        host = self.hosts.get(name)
        if host is None or host.row.state == "gone":
            return then(name, routing.AttemptOutcome.CONNECT_FAILED, None)
        self.numbers += 1
        sent = Sent(None, self.numbers, self.now, None, then=then)
        self.send(host, sent, make(sent.id))
        self.alarm(self.now + wait, self.cut, sent, routing.AttemptOutcome.NO_RESPONSE)

    def inherit(self, client, event, until, origin):
        """Launched anew, as any event, with the time it has left."""
        taken = self.hold(client, event, until)
        taken.origin = origin
        self.counts["events launched anew for another gateway"] += 1
        self.arrived(taken)

    def adopt(self, client, event, until, origin, name, make):
        """A launch of another gateway still at work at that host: its outcome is the event's."""
        host = self.hosts.get(name)
        taken = self.hold(client, event, until)
        taken.origin, taken.adopted = origin, True
        self.counts["launches adopted"] += 1
        self.numbers += 1
        sent = Sent(routing.AttemptEnded, self.numbers, self.now, None, taken)
        taken.launches.append(sent)
        taken.out += 1
        self.send(host, sent, make(sent.id))

    def came_to_nothing(self, taken, fate):
        """An adopted launch has ended without its answer."""
        if self.custody.goes_on(taken, fate):
            self.arrived(taken)
        else:
            self.answer(
                taken,
                protocol.Response(taken.event.id, "dead-lettered", 0.0, f"adopted, then {fate}"),
            )

    def give_up(self, host, numbers):
        """Launches whose link was lost are recalled over another: a host lets work in hand go on, as it cannot tell a
        lost link from a lost gateway. Guards against two launches of one event out at once."""
        if host.row.state == "gone":
            return
        link = next((ln for ln in host.links if ln.state != SHUT), None)
        if link is None:
            link = Link(host, self.now)
            host.links.append(link)
            self.alarm(self.now + self.terms.connect, self.connect_timed_out, link)
            self.dial(link)
        for number in numbers:
            link.write(protocol.CancelAttempt(number))
