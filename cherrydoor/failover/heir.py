"""Estates that fell to this gateway, and who is heir to which: hosts asked, verdicts carried out through the desk."""

from typing import Any

import structlog

from cherrydoor.failover import decide as d
from cherrydoor.failover.estate import mark_of
from cherrydoor.gateway.tables import ClientConnection
from cherrydoor.protocol import failover as c
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol import peers as p

log = structlog.get_logger()
REMEMBERED = 60000.0  # ms for which it is known who was heir to what: longer than any client's time
KEPT = 2000  # takeovers that are remembered


class Wire:
    """Where the desk writes the answer of an event that was taken over."""

    def __init__(self, work, line):
        self.work, self.line = work, line

    def write(self, message):
        if type(message) is protocol.Response:
            self.work.answer(self.line, message)

    def close(self, reason="", stay_away=0.0):
        pass


class Work:
    """One takeover at work here."""

    def __init__(self, heirs, estate, takeover):
        self.heirs, self.estate, self.takeover, self.began = heirs, estate, takeover, takeover.began
        self.first, self.anew, self.adopted = 0.0, set(), set()

    def answer(self, line, message):
        if line.trust.number in self.anew:
            self.anew.discard(line.trust.number)
            self.takeover.ended()
        self.adopted.discard(line.trust.number)
        self.heirs.answered(self, line, message)


class Heirs:
    def __init__(self, custody):
        self.failover, self.work, self.known, self.marks, self.past = custody, {}, {}, {}, []

    def linked(self, name):
        """Whoever was away hears who is heir to what."""
        for heir, _ in self.known.values():
            self.failover.peers.say(name, heir)

    def at_work(self, task):
        return task in self.work

    # ---- who is heir to what
    def of(self, giver, incarnation):
        found = self.known.get((giver, incarnation))
        return found[0].heir if found else None

    def marked(self, mark):
        found = self.marks.get(mark)
        return found[0] if found else None

    def told(self, sender, heir):
        """A word that goes to everybody, along every link once. A higher number stands above a lower one."""
        key, now = (heir.gateway, heir.incarnation), self.failover.now()
        before = self.known.get(key)
        if before is not None and (before[0].number, before[0].done) >= (heir.number, heir.done):
            return
        self.known[key] = (heir, now + REMEMBERED)
        for mark in heir.marks:
            self.marks[mark] = (key, now + REMEMBERED)
        self.failover.peers.members.over(now, *key)
        for name in list(self.failover.peers.ends):
            if name != sender:
                self.failover.peers.say(name, heir)
        if heir.done:
            self.failover.witness.done(now, *key)
            task = f"estate/{heir.gateway}/{heir.incarnation}"
            if (
                task not in self.work
            ):  # guards against each further witness taking over what is settled
                self.failover.tenures.release(task)
        self.failover.again(*key)

    # ---- a takeover
    def began(self, estate, number):
        custody, dispatcher = self.failover, self.failover.service.dispatcher
        if estate.task in self.work:
            return
        now = custody.now()
        hosts = [one.id for one in dispatcher.hosts.values() if one.row.state != "gone"]
        takeover = d.Takeover(estate, number, hosts, custody.kinds, now, d.SAYS)
        work = self.work[estate.task] = Work(self, estate, takeover)
        marks = []
        for line in estate.lines.values():
            trust, mark = line.trust, b""
            if trust.mark and custody.kinds[trust.clause].kind != d.REDELIVERABLE:
                mark = mark_of(trust.party, trust.clause, trust.mark)
                marks.append(mark)
            custody.claims.expect(estate.giver, estate.incarnation, line, mark)
        log.info(
            "an estate is taken over",
            gateway=custody.peers.me.name,
            giver=estate.giver,
            incarnation=estate.incarnation,
            number=number,
            events=len(estate.lines),
            hosts=len(hosts),
        )
        self.told(
            "",
            p.SuccessorAnnounced(
                estate.giver, estate.incarnation, number, custody.peers.me.name, False, marks
            ),
        )
        self.ask(work, takeover.ask())

    def ask(self, work, asks):
        estate, number = work.estate, work.takeover.number
        for ask in asks:
            self.failover.service.post(
                self.failover.service.dispatcher.query_host,
                ask.host,
                lambda id_: c.EndIncarnation(id_, estate.giver, estate.incarnation, number),
                d.SAYS,
                lambda host, fate, holds: self.said(work, host, holds),
            )

    def said(self, work, host, holds):
        self.ask(work, work.takeover.said(self.failover.now(), host, holds))
        if work.takeover.outdone:
            self.failover.tenures.outdone(work.estate.task, work.takeover.outdone)

    def look(self, now):
        """Verdicts where hosts have said; launches anew as there is room; the end where all is done."""
        for task, work in list(self.work.items()):
            if self.failover.tenures.number(task) != work.takeover.number:
                continue
            if work.takeover.ready(now):
                work.first = now
                for one in work.takeover.decide(now):
                    self.carry_out(work, one)
            if work.takeover.decided:
                for one in work.takeover.next(now):
                    self.carry_out(work, one)
                if work.takeover.settled and not work.anew and not work.adopted:
                    self.settled(work)
        for table in (self.known, self.marks):
            for key in [k for k, (_, until) in table.items() if until <= now]:
                del table[key]

    def carry_out(self, work, one):
        trust, estate = one.line.trust, work.estate
        client = ClientConnection(Wire(work, one.line), trust.client)
        event = protocol.Request(
            trust.event,
            trust.clause,
            trust.function,
            max(1.0, one.line.until - self.failover.now()),
            0.0,
            trust.party,
            trust.mark,
            trust.lanes,
            trust.load,
            trust.body,
            trust.document,
            trust.key,
        )
        origin = estate.giver, estate.incarnation, work.takeover.number
        dispatcher, post = self.failover.service.dispatcher, self.failover.service.post
        work.takeover.counters[type(one).__name__.lower()] += 1
        if isinstance(one, d.Answer):
            work.takeover.counters[f"{one.outcome}: {one.reason or 'by a host'}"] += 1
            fate: Any = one.outcome
            self.answered(
                work, one.line, protocol.Response(trust.event, fate, 0.0, one.reason, one.body)
            )
        elif isinstance(one, d.Adopt):
            work.adopted.add(trust.number)
            post(
                dispatcher.adopt_attempt,
                client,
                event,
                one.line.until,
                origin,
                one.host,
                lambda id_: c.AdoptAttempt(id_, one.job),
            )
        else:
            work.anew.add(trust.number)
            post(dispatcher.take_over_request, client, event, one.line.until, origin)

    def answered(self, work, line, message):
        estate = work.estate
        for tell in self.failover.claims.answer(estate.giver, estate.incarnation, line, message):
            tell(message)

    def settled(self, work):
        estate, now = work.estate, self.failover.now()
        del self.work[estate.task]
        self.past.append(
            {
                "giver": estate.giver,
                "life": estate.incarnation,
                "number": work.takeover.number,
                "hosts": len(work.takeover.hosts),
                "said": len(work.takeover.heard),
                "first verdict ms": round(work.first - work.began, 1),
                "ms": round(now - work.began, 1),
                **work.takeover.counters,
            }
        )
        del self.past[:-KEPT]
        log.info("an estate is settled", gateway=self.failover.peers.me.name, **self.past[-1])
        self.told(
            "",
            p.SuccessorAnnounced(
                estate.giver,
                estate.incarnation,
                work.takeover.number,
                self.failover.peers.me.name,
                True,
            ),
        )
        self.failover.tenures.release(estate.task)

    def ended(self, estate):
        """The tenure is lost: nothing more is done under its number."""
        work = self.work.pop(estate.task, None)
        if work is not None:
            log.warning(
                "an estate is left to its next heir",
                gateway=self.failover.peers.me.name,
                giver=estate.giver,
                incarnation=estate.incarnation,
                number=work.takeover.number,
            )

    def table(self):
        return [
            *self.past,
            *(
                {
                    "giver": w.estate.giver,
                    "life": w.estate.incarnation,
                    "number": w.takeover.number,
                    "at work": True,
                    **w.takeover.counters,
                }
                for w in self.work.values()
            ),
        ]
