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
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


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
            routing.StartAttempt: self.launch,
            routing.CancelAttempt: self.recall,
            routing.RejectRequest: self.defer,
            routing.FailRequest: self.dead_letter,
            routing.SetTimer: self.ring,
            routing.CheckHealth: self.probe,
            routing.OrderLoad: self.order,
            routing.PollEndpoints: self.subscribe,
            routing.LogMessage: self.log,
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
        client.late(hello.clock_ms, self.now)
        self.clients[client] = True
        if self.draining is not None:
            client.wire.write(protocol.Draining(self.draining))

    def came(self, client, event):
        """An event is taken here, or refused untaken: known by its id already, past its time, or over a bound."""
        ends = self.now + event.timeout_ms - client.late(event.sent_at_ms, self.now)
        until = (
            ends - self.terms.spare - min(2 * self.behind, MOST_BEHIND * event.timeout_ms)
        )  # read late, and told late
        if event.id in client.open:
            self.counts["event ids doubled"] += 1
        elif ends <= self.now:
            self.counts["events past their time"] += 1
        elif until <= self.now:
            self.refuse(
                client, event, "less time is left than an answer's way back takes", self.terms.stay
            )
        elif event.request_class not in self.gate.settings.request_classes:
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
                event.function, event.affinity_key or event.idempotency_key or taken.client.name
            )
        away = self.site.away(event, taken.function) if self.site is not None else ""
        self.notes.append(
            routing.RequestArrived(
                taken.number,
                event.request_class,
                event.tenant,
                taken.function,
                taken.until,
                event.copy_concurrency,
                event.load_ms,
                away,
            )
        )
        if self.custody is not None:
            self.custody.taken(taken)

    def refuse(self, client, event, reason, stay, fate="deferred"):
        self.counts[f"untaken: {reason}"] += 1
        client.wire.write(protocol.Response(event.id, fate, stay, reason))

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
            self.cut(
                sent, routing.AttemptOutcome.CANCELLED
            )  # a stream has no time of its own at which it would be cut
        taken.out += (
            1  # kept until the module has been told: what it decides before has an end, too
        )
        self.left.append(taken)
        self.end(taken)
        self.notes.append(routing.RequestCancelled(taken.number))

    def told_left(self):
        """The module knows of all clients that have left."""
        while self.left:
            taken = self.left.pop()
            taken.out -= 1
            self.forget(taken)

    def answer(self, taken, answer):
        self.counts[answer.outcome] += 1
        if self.site is not None:
            self.site.answered(taken, answer.outcome, self.now)
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
            if sent.outcome is None:
                self.counts["launches out when the client's time was up"] += 1
                self.cut(sent, routing.AttemptOutcome.NO_RESPONSE)
        self.tell()
        if (
            not taken.over
        ):  # guards rule 1 against a module that forgets; counted, for it should never be
            self.counts[
                "answered for the module" if not taken.adopted else "time up at what was adopted"
            ] += 1
            self.answer(
                taken, protocol.Response(taken.event.id, "dead-lettered", 0.0, "the time is up")
            )
            self.notes.append(routing.RequestCancelled(taken.number))

    # ---- what the module decided
    def launch(self, action):
        taken, host = self.taken.get(action.request_id), self.hosts.get(action.host)
        if taken is None:
            self.counts["launches of what is over"] += 1
            return
        index, event = len(taken.launches), taken.event
        limit = min(taken.until - self.now, action.timeout_ms or taken.until - self.now)
        self.numbers += 1
        sent = Sent(routing.AttemptEnded, self.numbers, self.now, None, taken, index)
        taken.launches.append(sent)
        taken.out += 1
        if host is None or taken.streams or limit <= 0:
            self.done(sent, routing.AttemptOutcome.NOT_SENT)
            return
        sent.called, usual = taken.function, 0.0
        if self.versions is not None:
            if any(other.outcome == routing.AttemptOutcome.ERROR for other in taken.launches):
                sent.called = self.versions.again(taken.function)
            usual = self.versions.usual(event.function)
        if not self.send(
            host,
            sent,
            protocol.Attempt(
                sent.id,
                event.id,
                taken.client.name,
                event.request_class,
                sent.called,
                limit,
                index,
                event.idempotency_key,
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
        if action.timeout_ms and self.now + limit < taken.until:
            self.alarm(self.now + limit, self.cut, sent, routing.AttemptOutcome.NO_RESPONSE)

    def recall(self, action):
        taken = self.taken.get(action.request_id)
        if taken is None or not 0 <= action.attempt < len(taken.launches) or taken.streams:
            self.counts["recalls of what is over"] += 1
            return
        self.counts["launches recalled"] += 1
        self.cut(taken.launches[action.attempt], routing.AttemptOutcome.CANCELLED)

    def defer(self, action):
        self.final(action.request_id, "deferred", action.retry_after_ms)

    def dead_letter(self, action):
        self.final(action.request_id, "dead-lettered", 0.0)

    def final(self, number, fate, stay):
        taken = self.taken.get(number)
        if taken is None or taken.over:
            self.counts["answers to what is over"] += 1
            return
        fates = ", ".join(sent.outcome for sent in taken.launches if sent.outcome)
        self.answer(
            taken,
            protocol.Response(taken.event.id, fate, stay, fates or "no host would be in time"),
        )

    def ring(self, action):
        self.alarm(action.at_ms, self.notes.append, routing.TimerFired(action.token))

    def probe(self, action):
        self.ask(action.host, routing.HealthCheckEnded, "", self.terms.probe, protocol.HealthCheck)

    def order(self, action):
        self.counts["orders"] += 1
        self.ask(
            action.host,
            routing.LoadOrderEnded,
            action.function,
            self.terms.order,
            protocol.LoadOrder,
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
                    protocol.Response(
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
                client.wire.write(protocol.Draining(reason))
