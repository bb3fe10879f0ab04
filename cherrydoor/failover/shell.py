"""Custody of one gateway: what its desk has in hand told to witnesses, what others entrusted kept, and claims answered.

What is decided is in decide.py, estate.py and claims.py; here bytes and notes are passed on. Nothing here is waited for
by an event.
"""

import structlog

from cherrydoor.failover import decide as d
from cherrydoor.failover.claims import Claims
from cherrydoor.failover.estate import Giver, Witness, mark_of
from cherrydoor.failover.heir import Heirs
from cherrydoor.protocol import failover as c
from cherrydoor.protocol import messages as protocol
from cherrydoor.protocol import peers as p

log = structlog.get_logger()
LOOK = 0.05  # s between two looks at estates and claims
MOST_CLAIMS = (
    5000  # of clients that wait for an heir; beyond it the answer is that nothing is known
)


class Custody:
    """The desk's port: taken, launched, over, finds, goes_on. turned() is called after each of its turns."""

    def __init__(self, peers, tenures):
        self.peers, self.tenures, self.service, self.now = peers, tenures, peers.service, peers.now
        self.loop, self.kinds = (
            peers.loop,
            {
                one.name: d.Kind(
                    one.retry_safety, one.dedup_scope, one.dedup_window_ms, one.streaming
                )
                for one in self.service.config.lease.request_classes
            },
        )
        self.giver, self.witness, self.claims = (
            Giver(peers.me.incarnation, self.kinds),
            Witness(),
            Claims(),
        )
        self.heirs = Heirs(self)
        self.asked, self.ids, self.timer, self.delays = {}, 0, None, []
        for kind, what in (
            (p.ReplicationUpdate, self.entrusted),
            (p.SuccessorAnnounced, self.heirs.told),
            (p.ClaimRequest, self.claimed),
            (p.ClaimReply, self.answered),
        ):
            peers.follow(kind, what)
        tenures.refusing.append(self.refuses)
        # what was under way on the link before is lost: the whole is told on each that comes up
        peers.linked += [self.heirs.linked, self.giver.unheard]

    def start(self):
        self.look()

    def close(self):
        if self.timer:
            self.timer.cancel()

    def refuses(self, task):
        """A reason for a keeper not to grant an estate, "" for none."""
        kind, _, rest = task.partition("/")
        name, _, incarnation = rest.rpartition("/")
        row = self.peers.members.members.get(name)
        here = (
            kind == "estate"
            and incarnation.isdecimal()
            and self.peers.links.recent(name, int(incarnation))
        )
        return d.heard_here(here, row.state if row else "")

    # ---- the desk's port
    def request_accepted(self, pending):
        event = pending.request
        if pending.origin is not None or self.kinds[event.request_class].stream:
            return  # of an estate: other witnesses hold it; a stream is answered already as it begins
        self.giver.taken(
            self.now(),
            p.ReplicatedRequest(
                pending.number,
                event.id,
                pending.client.name,
                event.request_class,
                event.function,
                0.0,
                event.tenant,
                event.idempotency_key,
                event.claim_key,
                event.affinity_key,
                event.copy_concurrency,
                event.load_ms,
                event.body,
            ),
            pending.deadline_ms,
        )

    def attempt_started(self, pending, host):
        self.giver.launched(pending.number, host)

    def request_finished(self, pending):
        self.giver.answered(pending.number)

    def find_duplicate(self, pending):
        """A plain repeat of what is in an estate that is being taken over, and may not run beside it: its answer is
        that one's."""
        event = pending.request
        if not event.idempotency_key or self.kinds[event.request_class].kind == d.REDELIVERABLE:
            return False
        mark = mark_of(event.tenant, event.request_class, event.idempotency_key)
        found = self.heirs.marked(mark)
        if found is None:
            return False
        pending.adopted = True
        self.service.dispatcher.counters["repeats of what an estate holds"] += 1
        giver, incarnation = found
        self.ask_heir(
            p.ClaimRequest(0, giver, incarnation, 0, event.claim_key, mark),
            lambda said: self.service.post(self.repeat_answered, pending, said),
        )
        return True

    def repeat_answered(self, pending, said):
        if not pending.finished:
            known = said is not None and said.known
            self.service.dispatcher.respond(
                pending,
                protocol.Response(
                    pending.request.id,
                    said.outcome if known else "dead-lettered",
                    said.retry_after_ms if known else 0.0,
                    said.reason if known else "it may have run at a gateway that is lost",
                    said.body if known else b"",
                ),
            )

    def answer_at_end(self, pending):
        """The answer to an event as this life ends, None where it is an heir's to give."""
        if pending.origin is not None or self.giver.told(pending.number):
            return None
        return d.own_end(self.kinds[pending.request.request_class], pending.attempts)

    def may_retry_adopted(self, pending, fate):
        return d.after_adoption(self.kinds[pending.request.request_class], fate)

    # ---- the turn's end
    def after_tick(self, late=False):
        """late: at a look, which also sees other witnesses."""
        giver = self.giver
        if not giver.pending() and not (late and giver.witnesses != self.linked()):
            return
        now, linked = self.now(), self.linked()
        if giver.oldest_new is not None and linked:
            self.delays.append(now - giver.oldest_new)
            if len(self.delays) > 2000:
                del self.delays[:1000]
        for names, message in giver.round(now, linked):
            self.peers.say_all(names, message)

    def linked(self):
        """Witnesses that can be told now, in their order."""
        links = self.peers.links
        return [name for name in links.witnesses if links.is_up(name) and name in self.peers.ends]

    # ---- others' estates
    def entrusted(self, sender, message):
        self.witness.entrusted(self.now(), sender, message)

    def look(self):
        if self.peers.closed:
            return
        now = self.now()
        self.timer = self.loop.call_later(LOOK, self.look)
        states = {
            row.name: (row.incarnation, row.state) for row in self.peers.members.members.values()
        }
        seek, leave = self.witness.tick(now, states, self.peers.ends, self.peers.links.silent)
        for estate in seek:
            self.tenures.hold(
                estate.task,
                lambda number, estate=estate: self.heirs.began(estate, number),
                lambda number, estate=estate: self.heirs.ended(estate),
                estate.rank * d.STAGGER,
            )
        for estate in leave:
            if estate.task in self.tenures.wanted and not self.heirs.at_work(estate.task):
                self.tenures.release(estate.task)
        self.heirs.look(now)
        self.claims.tick(now)
        for name in list(self.giver.witnesses):
            if (
                name not in self.peers.ends
            ):  # who is linked and no longer a witness is told so by the next round
                self.giver.unheard(name)
        self.after_tick(True)
        for number, (_, until, then) in list(self.asked.items()):
            if until <= now:
                del self.asked[number]
                then(None)

    # ---- claims
    def reclaim(self, end, message):
        """A client asks for an answer that another gateway owed it."""

        def tell(said):
            if said is None or not said.known:
                return end.write(
                    c.ResponseUnknown(
                        message.id,
                        "nothing is known of it here"
                        if said is None or not said.reason
                        else said.reason,
                    )
                )
            end.write(
                protocol.Response(
                    message.id, said.outcome, said.retry_after_ms, said.reason, said.body
                )
            )

        late = end.client.late(message.sent, self.now())
        # The heir gives its last answer when all of the spared time is left: half of that is for the way here.
        left = message.lasts - late - self.service.config.limits.spare / 2
        self.ask_heir(
            p.ClaimRequest(0, message.gateway, message.incarnation, message.event, message.key),
            tell,
            left,
        )

    def ask_heir(self, claim, then, left=5000.0):
        """then(Claimed) once, or then(None) where nothing comes in time. Where no heir is known yet it is waited for:
        the claim, not an event."""
        if left <= 0 or len(self.asked) >= MOST_CLAIMS:
            return then(None)
        self.ids += 1
        claim.id = self.ids
        self.asked[claim.id] = (claim, self.now() + left, then)
        self.pass_claim(claim)

    def pass_claim(self, claim):
        heir = self.heirs.of(claim.gateway, claim.incarnation)
        if heir == self.peers.me.name:
            self.loop.call_soon(self.claimed, heir, claim)
        elif heir is not None and not self.peers.say(heir, claim):
            self.peers.ask(heir)

    def again(self, giver, incarnation):
        """An heir is known, or its link is up: claims that wait are passed on."""
        for claim, _, _ in list(self.asked.values()):
            if giver is None or (claim.gateway, claim.incarnation) == (giver, incarnation):
                self.pass_claim(claim)

    def claimed(self, sender, claim):
        """Another gateway asks for one of its clients."""

        def tell(answer):
            self.say_claimed(
                sender,
                p.ClaimReply(
                    claim.id,
                    True,
                    answer.outcome,
                    answer.retry_after_ms,
                    answer.reason,
                    answer.body,
                ),
            )

        known, answer = self.claims.claim(
            claim.gateway, claim.incarnation, claim.event, claim.key, tell, claim.mark
        )
        if not known:
            self.say_claimed(
                sender,
                p.ClaimReply(claim.id, False, reason="it was not entrusted, or its key is another"),
            )
        elif answer is not None:
            tell(answer)

    def say_claimed(self, to, message):
        if to == self.peers.me.name:
            self.loop.call_soon(self.answered, to, message)
        else:
            self.peers.say(to, message)

    def answered(self, sender, message):
        found = self.asked.pop(message.id, None)
        if found is not None:
            found[2](message)

    # ---- for operators
    def table(self):
        now, giver = self.now(), self.giver
        kept = [
            {
                "giver": one.giver,
                "life": one.incarnation,
                "rank": one.rank,
                "events": len(one.lines),
                "bytes": one.bytes,
            }
            for one in self.witness.estates.values()
        ]
        return {
            "gateway": self.peers.me.name,
            "life": self.peers.me.incarnation,
            "in hand": len(giver.where),
            "bytes": giver.bytes,
            "witnesses": giver.witnesses,
            "counts": dict(giver.counters),
            "untold ms": round(now - giver.oldest_new, 2) if giver.oldest_new is not None else 0.0,
            "told after ms": round(sorted(self.delays)[int(len(self.delays) * 0.99)], 2)
            if self.delays
            else 0.0,
            "kept for others": kept,
            "kept counts": dict(self.witness.counters),
            "takeovers": self.heirs.table(),
            "claims": {
                "rows": len(self.claims.rows),
                "waiting": len(self.asked),
                **self.claims.counters,
            },
        }
