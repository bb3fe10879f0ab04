"""Between sockets and the decision module: every event taken, every launch out, and what ends each. No I/O, no clock.

The shell posts what came in and calls turn(now) once for all of it; the desk tells the module, carries out its
actions by writing to `wire` objects (write(message), close(reason)) and asks the shell to dial. It keeps what the
module is promised: each launch ends in exactly one outcome, nothing is sent past a client's time, a host never
listed gets nothing, and an action on what is over is ignored. It chooses nothing.
"""

from collections import Counter, deque
from heapq import heappop, heappush

from cherrydoor import interface as io
from cherrydoor.frames import messages as m
from cherrydoor.versions import decide as v

DIALING, OPEN, SHUT = "dialing", "open", "shut"
HANDSHAKES = 0.01       # of the worth of what a host has carried may have gone into connections beside the first


class Client:
    """One connection at the door. `ahead` is the least (our clock less its clock) seen: the way without delay."""

    def __init__(self, wire, name=""):
        self.wire, self.name, self.open, self.ahead = wire, name, {}, None

    def late(self, sent, now):
        """How long a frame was under way beyond the quickest, in ms: a stall of ours or of the network."""
        gap = now - sent
        if self.ahead is None or gap < self.ahead:
            self.ahead = gap
        return gap - self.ahead


class Taken:
    """An event from its arrival to its final answer and the last of its launches."""

    __slots__ = ("number", "event", "client", "until", "launches", "out", "over", "streams", "at", "told",
                 "function")

    def __init__(self, number, event, client, until, at):
        self.number, self.event, self.client, self.until, self.at = number, event, client, until, at
        self.launches, self.out, self.over, self.streams, self.told = [], 0, False, False, ""
        self.function = event.function      # the version that the module knows it by


class Sent:
    """A launch, a probe or an order that a host owes an end; `kind` is the note's type that will tell it."""

    __slots__ = ("kind", "id", "at", "link", "taken", "index", "function", "fate", "called")

    def __init__(self, kind, number, at, link, taken=None, index=0, function=""):
        self.kind, self.id, self.at, self.link, self.taken = kind, number, at, link, taken
        self.index, self.function, self.fate, self.called = index, function, None, function


class Link:
    """One connection to a host. What is written while it dials waits in `waiting` and was never sent if that fails."""

    def __init__(self, host, now):
        self.host, self.state, self.wire, self.out, self.waiting, self.used = host, DIALING, None, {}, [], now
        self.heard = now        # when last something was answered on it, or it came up
        self.mute = False       # something was given up on it without a word; it gets nothing new until it has one

    def write(self, message):
        if self.state == OPEN:
            self.wire.write(message)
        elif self.state == DIALING:
            self.waiting.append(message)


class Host:
    """A host once listed. `since` is the later of what the list said and what the host's own hello said."""

    def __init__(self, row):
        self.id, self.row, self.links, self.since = row.host, row, [], row.since
        self.carried = 0        # launches, probes and orders sent there


class Desk:
    """One gateway's events, launches and links. Tables: `taken` empties with final answers, `hosts` when gone and
    unlinked, `alarms` within the longest max age, links with their use."""

    def __init__(self, gate, terms, dial, now, hear=None, versions=None, ended=None):
        """versions: names the version that an event calls, where releases are gradual; ended(note) is told of each
        launch and order to load that has ended."""
        self.versions, self.ended = versions, ended or (lambda note: None)
        self.gate, self.terms, self.dial, self.hear = gate, terms, dial, hear or (lambda asked: None)
        self.now, self.numbers, self.draining = now, 0, None
        self.inputs, self.notes, self.alarms = [], deque(), []
        self.taken, self.hosts, self.clients, self.counts = {}, {}, {}, Counter()
        self.carry = {io.Launch: self.launch, io.Recall: self.recall, io.Defer: self.defer,
                      io.DeadLetter: self.dead_letter, io.Ring: self.ring, io.Probe: self.probe,
                      io.Order: self.order, io.Subscribe: self.subscribe, io.Log: self.log}
        self.carry_out(gate.start(now))
        self.alarm(now + terms.idle / 10, self.tidy)

    # ---- the turn
    def post(self, what, *args):
        """Queues an input; True if a turn has to be asked for."""
        self.inputs.append((what, args))
        return len(self.inputs) == 1

    def turn(self, now):
        """One now for everything that has come in. What has come goes before what has run out of time."""
        self.now = now = max(now, self.now)
        inputs, self.inputs = self.inputs, []
        for what, args in inputs:
            what(*args)
        self.tell()
        while self.alarms and self.alarms[0][0] <= now:
            _, _, what, args = heappop(self.alarms)
            what(*args)
            self.tell()

    def tell(self):
        while self.notes:
            self.carry_out(self.gate.take(self.now, self.notes.popleft()))

    def carry_out(self, actions):
        for action in actions:
            self.carry[type(action)](action)

    def alarm(self, at, what, *args):
        self.numbers += 1
        heappush(self.alarms, (at, self.numbers, what, args))

    def next_alarm(self):
        """When to turn next; what belongs to events that are over is dropped here, not waited for."""
        alarms = self.alarms
        while alarms and alarms[0][2] == self.overdue and alarms[0][3][0].over and not alarms[0][3][0].out:
            heappop(alarms)
        return alarms[0][0] if alarms else None

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
        until = ends - self.terms.spare
        if event.id in client.open:
            self.counts["event ids doubled"] += 1
        elif ends <= self.now:
            self.counts["events past their time"] += 1
        elif until <= self.now:
            self.refuse(client, event, "less time is left than an answer's way back takes", self.terms.stay)
        elif event.clause not in self.gate.deed.clauses:
            self.refuse(client, event, "no such event type", 0.0, "dead-lettered")
        elif self.versions is not None and "@" in event.function:      # versions are named here, by no client
            self.refuse(client, event, "no function has a name with @", 0.0, "dead-lettered")
        elif self.draining is not None:
            self.refuse(client, event, self.draining, self.terms.stay)
        elif len(self.taken) >= self.terms.most_open:
            self.refuse(client, event, "as many events are open as may be", self.terms.stay)
        else:
            self.numbers += 1
            taken = Taken(self.numbers, event, client, until, self.now)
            self.taken[taken.number] = client.open[event.id] = taken
            self.counts["taken"] += 1
            self.alarm(until, self.overdue, taken)
            if self.versions is not None:
                taken.function = self.versions.choose(event.function, event.document or event.mark or client.name)
            self.notes.append(io.Arrival(taken.number, event.clause, event.party, taken.function, until,
                                         event.lanes, event.load))

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
        for sent in taken.launches if taken.streams else ():
            self.cut(sent, io.RECALLED)         # a stream has no time of its own at which it would be cut
        self.end(taken)
        self.notes.append(io.ClientLeft(taken.number))

    def answer(self, taken, answer):
        self.counts[answer.fate] += 1
        taken.client.wire.write(answer)
        self.end(taken)

    def end(self, taken):
        """The one place where an event becomes over."""
        taken.over = True
        taken.client.open.pop(taken.event.id, None)
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
        if not taken.over:      # guards rule 1 against a module that forgets; counted, for it should never be
            self.counts["answered for the module"] += 1
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
        if host is None or taken.over or taken.streams or limit <= 0:
            self.done(sent, io.UNSENT)
            return
        sent.called, usual = taken.function, 0.0
        if self.versions is not None:
            if any(other.fate == io.ERROR for other in taken.launches):
                sent.called = self.versions.again(taken.function)
            usual = self.versions.usual(event.function)
        self.send(host, sent, m.Launch(sent.id, event.id, taken.client.name, event.clause, sent.called, limit,
                                       index, event.mark, usual, event.body))
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
        self.answer(taken, m.Answer(taken.event.id, fate, stay, fates or "no host would be in time"))

    def ring(self, action):
        self.alarm(action.at, self.notes.append, io.Wake(action.token))

    def probe(self, action):
        self.ask(action.host, io.Probed, "", self.terms.probe, m.Probe)

    def order(self, action):
        self.counts["orders"] += 1
        self.ask(action.host, io.Loaded, action.function, self.terms.order, m.Order, action.function, action.copies)

    def ask(self, name, kind, function, wait, message, *values):
        """A probe or an order: exactly one note comes back."""
        self.numbers += 1
        sent = Sent(kind, self.numbers, self.now, None, function=function)
        if host := self.hosts.get(name):
            self.send(host, sent, message(sent.id, *values))
            self.alarm(self.now + wait, self.cut, sent, io.NO_ANSWER)
        else:
            self.counts["questions to hosts never listed"] += 1
            unknown = (io.Probed(name, io.NO_CONNECTION, 0.0) if kind is io.Probed else
                       io.Loaded(function, name, io.NO_CONNECTION, 0, 0.0))
            self.notes.append(unknown)

    def subscribe(self, action):
        self.hear(True)

    def log(self, action):
        self.counts["lines of the module"] += 1

    # ---- the floor
    def send(self, host, sent, message):
        """On the first link with room; a further one is opened up to the bound and as far as what the host has carried
        bears it, then they are shared. Guards against hundreds of gateways that open connections which each serve
        once; harms where a connection that ends takes other launches with it: one that has carried little."""
        host.carried += 1
        links = [ln for ln in host.links if not ln.mute]
        link = next((ln for ln in links if len(ln.out) < self.terms.per_link), None)
        borne = HANDSHAKES * host.carried >= self.terms.handshake * len(links)
        if link is None and borne and len(host.links) < self.terms.links:
            link = Link(host, self.now)
            host.links.append(link)
            self.alarm(self.now + self.terms.connect, self.connect_timed_out, link)
            self.dial(link)
        link = link or min(links or host.links, key=lambda ln: len(ln.out))
        sent.link, link.out[sent.id], link.used = link, sent, self.now
        link.write(message)

    def linked(self, link, wire):
        if link.state != DIALING:       # it timed out in the meantime
            return wire.close("")
        link.state, link.wire, link.heard = OPEN, wire, self.now
        waiting, link.waiting = link.waiting, []
        for message in waiting:
            if link.host.row.state == "ready":
                wire.write(message)
            else:       # guards drains: what waited for the connection does not go out late
                self.unsent(link, message.id)

    def unsent(self, link, number):
        """A launch, probe or order that was never written."""
        if number in link.out:
            self.done(link.out[number], io.UNSENT)

    def connect_timed_out(self, link):
        if link.state == DIALING:
            self.counts["connections not up in time"] += 1
            self.unlinked(link)

    def unlinked(self, link):
        """Refused, never up, or lost: what was never sent is told apart from what was."""
        if link.state == SHUT:
            return
        fate = io.NO_CONNECTION if link.state == DIALING else io.LOST
        link.state, link.waiting = SHUT, []
        link.host.links.remove(link)
        self.counts[f"links: {fate}"] += bool(link.out)
        for sent in list(link.out.values()):
            self.done(sent, fate)

    def greeted(self, link, hello):
        """A host's own word on when it started is newer than the list's, never older."""
        host = link.host
        if hello.since > host.since + 1 and host.row.state == "ready":
            host.since = hello.since
            self.counts["restarts learned from hosts"] += 1
            self.notes.append(io.Listing(io.CHANGES, (self.told(host),)))

    def heard(self, link, message):
        """Whatever a host answers; only what is out on this very link counts."""
        link.used = link.heard = self.now
        link.mute = False
        sent = link.out.get(message.id)
        kind = sent and sent.kind
        if kind is io.Outcome and type(message) is m.Outcome:
            self.done(sent, message.fate, message)
        elif kind is io.Outcome and type(message) is m.Underway:
            self.underway(sent)
        elif kind is io.Probed and type(message) is m.Probed or kind is io.Loaded and type(message) is m.Ordered:
            self.done(sent, message.fate, message)
        elif type(message) is not m.Dropped:
            self.counts["answers to what is over or was never asked there"] += 1

    def underway(self, sent):
        taken = sent.taken
        if not taken.over and not taken.streams and self.gate.deed.clauses[taken.event.clause].stream:
            taken.streams = True
            taken.client.wire.write(m.Started(taken.event.id))
            self.notes.append(io.Underway(taken.number, sent.index, sent.link.host.id))

    def cut(self, sent, fate):
        """The gateway waits no longer: the host is told, unless it never had it."""
        if sent.fate is not None:
            return
        link, launch = sent.link, sent.kind is io.Outcome
        if link.state == DIALING:
            link.waiting = [w for w in link.waiting if w.id != sent.id]
            fate = io.UNSENT if fate == io.RECALLED else io.NO_CONNECTION
        elif launch:
            link.write(m.Recall(sent.id))
        self.done(sent, fate)
        if link.state == OPEN and self.now - max(sent.at, link.heard) >= self.terms.silence:
            link.mute = True
            self.silent(link.host, sent.at)

    def silent(self, host, since):
        """Closes the host's unused links on which nothing was heard since then. Guards against connections that a cut
        network leaves open and dead, where each launch would be lost anew; harms where a host is only slow: it is
        dialled again."""
        for link in [ln for ln in host.links if ln.state == OPEN and not ln.out and ln.heard <= since]:
            self.counts["links closed over their silence"] += 1
            link.state = SHUT
            host.links.remove(link)
            link.wire.close("")

    def done(self, sent, fate, message=None):
        """The one place where a launch, probe or order ends; an end that comes twice is ignored."""
        if sent.fate is not None:
            return
        sent.fate, took = fate, self.now - sent.at
        if sent.link:
            sent.link.out.pop(sent.id, None)
        name = sent.link.host.id if sent.link else ""
        if sent.kind is io.Probed:
            self.notes.append(io.Probed(name, fate, took))
        elif sent.kind is io.Loaded:
            self.notes.append(io.Loaded(sent.function, name, fate, message.copies if message else 0, took))
            self.ended(v.Loaded(sent.function, fate, took))
        else:
            self.landed(sent, fate, took, name, message)

    def landed(self, sent, fate, took, name, message):
        taken = sent.taken
        taken.out -= 1
        broken = taken.streams and fate != io.HANDLED
        if not taken.over and fate == io.HANDLED:
            self.answer(taken, m.Answer(taken.event.id, "handled", 0.0, "", message.body))
        elif not taken.over and broken:
            self.answer(taken, m.Answer(taken.event.id, "dead-lettered", 0.0, "the stream broke"))
        copy = message.copy if message else 0
        told = self.told_by(message) if message else (None,) * 5
        if self.versions is not None and sent.link:
            self.ended(v.Ended(sent.called, name, fate, took, copy in (2, 3), copy == 4,
                               message.tally if message else None, taken.event.party))
            if sent.called != taken.function:       # what it says of copies is of another version than the module's
                told = (None, None, *told[2:])
        self.notes.append(io.Outcome(taken.number, sent.index, fate, taken.over, name, took, *told))
        self.forget(taken)

    def told_by(self, outcome):
        """What this deployment's answers do not tell is None; that a load failed is told everywhere."""
        copy, crowd = self.terms.tells
        return (outcome.copy if copy or outcome.copy == 4 else None, outcome.crowd if crowd else None,
                outcome.held, outcome.queue, outcome.tied)

    def tidy(self):
        """Closes idle links and forgets hosts that are gone and unlinked."""
        self.alarm(self.now + self.terms.idle / 10, self.tidy)
        for host in list(self.hosts.values()):
            gone = host.row.state == "gone"
            for link in list(host.links):
                if link.state == OPEN and not link.out and (gone or self.now - link.used > self.terms.idle):
                    link.state = SHUT
                    host.links.remove(link)
                    link.wire.close("")
            if gone and not host.links:
                del self.hosts[host.id]

    # ---- the list
    def listed(self, how, rows):
        """Rows of the list's wire. A whole list leaves out what is gone."""
        if how != io.CHANGES:
            named = {row.host for row in rows}
            for host in self.hosts.values():
                if host.id not in named:
                    host.row = m.Row(host.id, "gone", host.row.since, host.row.zone, host.row.cell)
        told = []
        for row in rows:
            host = self.hosts.get(row.host)
            if host is None and row.state == "gone":
                continue
            host = self.hosts[row.host] = host or Host(row)
            host.row, host.since = row, max(host.since, row.since)
            told.append(self.told(host))
        self.notes.append(io.Listing(how, tuple(told)))

    def list_failed(self):
        self.notes.append(io.Listing(io.FAILED, ()))

    def told(self, host):
        row = host.row
        return io.Row(row.host, row.state, host.since, row.zone, row.cell)

    def rows(self):
        """The list as last held, for the next start."""
        return [h.row for h in self.hosts.values() if h.row.state != "gone"]

    # ---- releases
    def foreseen(self, name):
        self.notes.append(io.Foreseen(name))

    def unload(self, name, hosts):
        """Idle copies of a version may go; nobody waits for an answer."""
        for one in hosts:
            host = self.hosts.get(one)
            link = next((ln for ln in host.links if ln.state == OPEN), None) if host else None
            if link is not None:
                self.numbers += 1
                link.write(m.Drop(self.numbers, name))

    # ---- leaving
    def drain(self, reason):
        """Takes nothing new from now on; what is open is answered. Clients are told once."""
        if self.draining is None:
            self.draining = reason
            for client in self.clients:
                client.wire.write(m.Leaving(reason))
