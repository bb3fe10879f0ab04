"""Between sockets and the decision module: every event taken, every launch out, and what ends each. No I/O, no clock.

The shell posts what came in and calls turn(now) once for all of it; the desk tells the module, carries out its
actions by writing to `wire` objects (write(message), close(reason)) and asks the shell to dial. It keeps what the
module is promised: each launch ends in exactly one outcome, nothing is sent past a client's time, a host never
listed gets nothing, and an action on what is over is ignored. It chooses nothing.
"""

from collections import Counter, deque

from cherrydoor.gateway.endpoints import HostList
from cherrydoor.gateway.host_connections import Links
from cherrydoor.gateway.load_orders import Loading
from cherrydoor.gateway.tables import LATE, LAUNCHED_AFTER_CLOSE, Sent, Taken
from cherrydoor.gateway.tables import Client as Client
from cherrydoor.gateway.takeover import Inheritance
from cherrydoor.gateway.timers import MOST_BEHIND, Alarms
from cherrydoor.protocol import messages as m
from cherrydoor.routing import messages as io


class Desk(Alarms, Links, HostList, Loading, Inheritance):
    """One gateway's events, launches and links. Tables: `taken` empties with final answers, `hosts` when gone and
    unlinked, `alarms` within the longest max age, links with their use."""

    def __init__(self, gate, terms, dial, now, hear=None, versions=None, ended=None):
        """versions: names the version that an event calls, where releases are gradual; ended(note) is told of each
        launch and order to load that has ended."""
        self.versions, self.ended = versions, ended or (lambda note: None)
        self.gate, self.terms, self.dial, self.hear = (
            gate,
            terms,
            dial,
            hear or (lambda asked: None),
        )
        self.now, self.numbers, self.draining = now, 0, None
        self.inputs, self.notes, self.alarms = [], deque(), []
        self.taken, self.hosts, self.clients = {}, {}, {}
        self.counts = Counter({LAUNCHED_AFTER_CLOSE: 0})
        self.behind = 0.0
        self.left = []  # events whose client has left; the module has not been told yet
        self.carry = {
            io.Launch: self.launch,
            io.Recall: self.recall,
            io.Defer: self.defer,
            io.DeadLetter: self.dead_letter,
            io.Ring: self.ring,
            io.Probe: self.probe,
            io.Order: self.order,
            io.Subscribe: self.subscribe,
            io.Log: self.log,
        }
        self.custody = (
            None  # told of what is in hand, where it outlives this gateway (custody/shell.py)
        )
        self.site = None  # tells which site an event has moved away from (site/shell.py)
        self.carry_out(gate.start(now))
        self.alarm(now + terms.idle / 10, self.tidy)

    # ---- the door
    def came_in(self, client, hello):
        client.name = hello.name
        client.late(hello.clock, self.now)
        self.clients[client] = True
        if self.draining is not None:
            client.wire.write(m.Leaving(self.draining))

    def came(self, client, event):
        """An event is taken here, or refused untaken: known by its id already, past its time, or over a bound."""
        ends = self.now + event.lasts - client.late(event.sent, self.now)
        until = (
            ends - self.terms.spare - min(2 * self.behind, MOST_BEHIND * event.lasts)
        )  # read late, and told late
        if event.id in client.open:
            self.counts["event ids doubled"] += 1
        elif ends <= self.now:
            self.counts["events past their time"] += 1
        elif until <= self.now:
            self.refuse(
                client, event, "less time is left than an answer's way back takes", self.terms.stay
            )
        elif event.clause not in self.gate.deed.clauses:
            self.refuse(client, event, "no such event type", 0.0, "dead-lettered")
        elif (
            self.versions is not None and "@" in event.function
        ):  # versions are named here, by no client
            self.refuse(client, event, "no function has a name with @", 0.0, "dead-lettered")
        elif self.draining is not None:
            self.refuse(client, event, self.draining, self.terms.stay)
        elif len(self.taken) >= self.terms.most_open:
            self.refuse(client, event, "as many events are open as may be", self.terms.stay)
        elif self.site is not None and (why := self.site.defers(event)):
            self.refuse(client, event, why, self.terms.stay)
        else:
            taken = self.hold(client, event, until)
            if self.custody is None or not self.custody.finds(taken):
                self.arrived(taken)

    def hold(self, client, event, until):
        """From here on it is owed an answer by then."""
        self.numbers += 1
        client.seen = self.now
        taken = Taken(self.numbers, event, client, until, self.now)
        self.taken[taken.number] = client.open[event.id] = taken
        self.counts["taken"] += 1
        self.alarm(until, self.overdue, taken)
        return taken

    def arrived(self, taken):
        """The module is told of it."""
        event = taken.event
        taken.adopted, taken.launches = False, []
        if self.versions is not None:
            taken.function = self.versions.choose(
                event.function, event.document or event.mark or taken.client.name
            )
        away = self.site.away(event, taken.function) if self.site is not None else ""
        self.notes.append(
            io.Arrival(
                taken.number,
                event.clause,
                event.party,
                taken.function,
                taken.until,
                event.lanes,
                event.load,
                away,
            )
        )
        if self.custody is not None:
            self.custody.taken(taken)

    def refuse(self, client, event, reason, stay, fate="deferred"):
        self.counts[f"untaken: {reason}"] += 1
        client.wire.write(m.Answer(event.id, fate, stay, reason))

    def withdrawn(self, client, number):
        taken = client.open.get(number)
        if taken is None:
            self.counts["withdrawals of what was over"] += 1
        else:
            self.leave(taken)

    def went(self, client):
        self.clients.pop(client, None)
        for taken in list(client.open.values()):
            self.leave(taken)

    def leave(self, taken):
        self.counts["clients left"] += 1
        self.counts[LAUNCHED_AFTER_CLOSE] += sum(
            sent.link is not None and sent.at - taken.client.seen > LATE for sent in taken.launches
        )
        for sent in taken.launches if taken.streams else ():
            self.cut(sent, io.RECALLED)  # a stream has no time of its own at which it would be cut
        taken.out += (
            1  # kept until the module has been told: what it decides before has an end, too
        )
        self.left.append(taken)
        self.end(taken)
        self.notes.append(io.ClientLeft(taken.number))

    def told_left(self):
        """The module knows of all clients that have left."""
        while self.left:
            taken = self.left.pop()
            taken.out -= 1
            self.forget(taken)

    def answer(self, taken, answer):
        self.counts[answer.fate] += 1
        if self.site is not None:
            self.site.answered(taken, answer.fate, self.now)
        taken.client.wire.write(answer)
        self.end(taken)

    def end(self, taken):
        """The one place where an event becomes over."""
        taken.over = True
        taken.client.open.pop(taken.event.id, None)
        if self.custody is not None:
            self.custody.over(taken)
        self.forget(taken)

    def forget(self, taken):
        if taken.over and not taken.out:
            self.taken.pop(taken.number, None)

    def overdue(self, taken):
        """The client's time is up: launches out are cut and told, also those of an event that is over already; if
        it is not, the module then owes the answer at once."""
        if taken.streams and not taken.over:
            return
        for sent in taken.launches:
            if sent.fate is None:
                self.counts["launches out when the client's time was up"] += 1
                self.cut(sent, io.NO_ANSWER)
        self.tell()
        if (
            not taken.over
        ):  # guards rule 1 against a module that forgets; counted, for it should never be
            self.counts[
                "answered for the module" if not taken.adopted else "time up at what was adopted"
            ] += 1
            self.answer(taken, m.Answer(taken.event.id, "dead-lettered", 0.0, "the time is up"))
            self.notes.append(io.ClientLeft(taken.number))

    # ---- what the module decided
    def launch(self, action):
        taken, host = self.taken.get(action.event), self.hosts.get(action.host)
        if taken is None:
            self.counts["launches of what is over"] += 1
            return
        index, event = len(taken.launches), taken.event
        limit = min(taken.until - self.now, action.limit or taken.until - self.now)
        self.numbers += 1
        sent = Sent(io.Outcome, self.numbers, self.now, None, taken, index)
        taken.launches.append(sent)
        taken.out += 1
        if host is None or taken.streams or limit <= 0:
            self.done(sent, io.UNSENT)
            return
        sent.called, usual = taken.function, 0.0
        if self.versions is not None:
            if any(other.fate == io.ERROR for other in taken.launches):
                sent.called = self.versions.again(taken.function)
            usual = self.versions.usual(event.function)
        if not self.send(
            host,
            sent,
            m.Launch(
                sent.id,
                event.id,
                taken.client.name,
                event.clause,
                sent.called,
                limit,
                index,
                event.mark,
                usual,
                event.body,
                *(taken.origin or ()),
            ),
        ):
            return
        if self.custody is not None:
            self.custody.launched(taken, host.id)
        if self.site is not None:
            self.site.launched(taken.function, host.row.zone)
        self.counts["launches"] += 1
        if action.limit and self.now + limit < taken.until:
            self.alarm(self.now + limit, self.cut, sent, io.NO_ANSWER)

    def recall(self, action):
        taken = self.taken.get(action.event)
        if taken is None or not 0 <= action.launch < len(taken.launches) or taken.streams:
            self.counts["recalls of what is over"] += 1
            return
        self.counts["launches recalled"] += 1
        self.cut(taken.launches[action.launch], io.RECALLED)

    def defer(self, action):
        self.final(action.event, "deferred", action.stay_away)

    def dead_letter(self, action):
        self.final(action.event, "dead-lettered", 0.0)

    def final(self, number, fate, stay):
        taken = self.taken.get(number)
        if taken is None or taken.over:
            self.counts["answers to what is over"] += 1
            return
        fates = ", ".join(sent.fate for sent in taken.launches if sent.fate)
        self.answer(
            taken, m.Answer(taken.event.id, fate, stay, fates or "no host would be in time")
        )

    def ring(self, action):
        self.alarm(action.at, self.notes.append, io.Wake(action.token))

    def probe(self, action):
        self.ask(action.host, io.Probed, "", self.terms.probe, m.Probe)

    def order(self, action):
        self.counts["orders"] += 1
        self.ask(
            action.host,
            io.Loaded,
            action.function,
            self.terms.order,
            m.Order,
            action.function,
            action.copies,
        )

    def subscribe(self, action):
        self.hear(True)

    def log(self, action):
        self.counts["lines of the module"] += 1

    # ---- leaving
    def answer_all(self, reason):
        """The last moment: whoever still waits is answered now. A repeat is harmless where nothing was launched."""
        for taken in list(self.taken.values()):
            if not taken.over:
                self.answer(
                    taken,
                    m.Answer(
                        taken.event.id,
                        "dead-lettered" if taken.launches else "deferred",
                        0.0,
                        reason,
                    ),
                )

    def drain(self, reason):
        """Takes nothing new from now on; what is open is answered. Clients are told once."""
        if self.draining is None:
            self.draining = reason
            for client in self.clients:
                client.wire.write(m.Leaving(reason))
