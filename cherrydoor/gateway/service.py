"""One gateway around its desk: its door, floor and list, its keys and releases, and what becomes of a fault."""

import asyncio
from dataclasses import replace

import structlog

from cherrydoor.admission.listener import Hall, Listener
from cherrydoor.admission.manners import manners_of
from cherrydoor.admission.usage import Uses
from cherrydoor.gateway.client_listener import ClientEnd, Door
from cherrydoor.gateway.dispatcher import Desk
from cherrydoor.gateway.endpoint_watch import Roll
from cherrydoor.gateway.event_loop import Clock, Turn, address
from cherrydoor.gateway.tables import SHUT
from cherrydoor.gateway.upstream import Floor
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases.feed import Releases
from cherrydoor.routing import messages as routing
from cherrydoor.tls.decide import Usage
from cherrydoor.tls.keeper import Keeper, Where

log = structlog.get_logger()
LIFE_OVER = "this gateway's life is over"


class Shell(Turn):
    """One gateway: its sockets and what goes on between them."""

    def __init__(self, figures, gate, uses=None, places=None, clock=None, join=None):
        """uses: what the process has in use, shared by its gateways; places: connections that there are descriptors
        for; join: makes its fellows (cherrydoor/peer_services.py), None for a gateway alone."""
        super().__init__(clock or Clock())
        self.figures, self.bounds = figures, figures.bounds
        self.door, self.floor = Door(self), Floor(self)
        self.roll = Roll(self, figures.list_at, figures.saved, figures.lease.polls_endpoints)
        self.make_gate, self.broken = gate, 0
        self.uses, self.own_uses = uses or Uses(figures.memory), uses is None
        manners = manners_of(figures)
        if places is not None:
            manners = replace(manners, places=min(places, manners.places))
        self.hall = Hall(manners, self.clock, self.uses)
        said = {
            name: value for name, value in figures.keys.items() if name not in ("standing", "warn")
        }
        usage = Usage(figures.keys["standing"], figures.keys["warn"], figures.seed)
        self.keeper = Keeper(Where(**said, usage=usage), self.door.put_out)
        self.done = self.loop.create_future()
        self.join, self.fellows = join or (lambda shell, incarnation=0: None), None
        self.releases = Releases(self, figures.releases) if figures.releases["feed"] else None
        self.desk = self.new_desk()

    def new_desk(self):
        more = (self.releases.versions, self.releases.post) if self.releases else (None, None)
        return Desk(
            self.make_gate(self.figures.lease),
            self.figures.terms,
            self.floor.dial,
            self.clock.now(),
            self.roll.hear,
            *more,
        )

    def hello(self):
        return protocol.Hello(
            protocol.VERSION,
            "gateway",
            self.figures.name,
            self.clock.now(),
            0.0,
            self.bounds.frame,
            self.figures.terms.most_open,
            incarnation=self.fellows.incarnation if self.fellows else 0,
        )

    async def start(self):
        await self.keeper.start()
        await self.meet(self.join(self))
        saved = self.roll.read_saved()
        if saved is not None:
            self.post(self.desk.listed, routing.UpdateKind.CACHED, saved)
        self.roll.start()
        if self.releases:
            await self.releases.start()
        self.port = self.listen(
            address(self.figures.door),
            lambda arrival: ClientEnd(self, arrival),
            (lambda: self.keeper.server) if self.keeper.sealed else None,
        )
        self.set_timer()

    async def meet(self, fellows):
        """From here on what is in hand outlives this gateway, where it has fellows."""
        self.fellows = fellows
        if fellows:
            self.desk.custody, self.desk.site = fellows.custody, fellows.sites
            await fellows.start()

    def turn(self):
        if self.fellows and self.fellows.stood_still():
            self.asked = False
            return self.life_over("it stood still")
        super().turn()

    def listen(self, where, make, context):
        """Opens the door; its port."""
        return Listener(self.hall, where, make, context).port

    def turned(self):
        if self.fellows:
            self.fellows.turned()
        if self.desk.draining is not None and not self.desk.taken and not self.done.done():
            self.done.set_result(0)

    def start_anew(self):
        """A fault in the decisions ends this gateway's life and begins another: clients are cut off, as they would
        be if the process had died, and the list is all that is kept."""
        self.broken += 1
        log.critical(
            "a fault in the decisions; starting anew", gateway=self.figures.name, exc_info=True
        )
        self.begin_again(lambda end: end.abort("the gateway starts anew"))
        if self.broken > 5 and not self.done.done():
            self.done.set_result(70)

    def begin_again(self, cut):
        old, rows, fellows = self.desk, self.desk.rows(), self.fellows
        for end in list(self.door.ends):
            end.client.open.clear()  # what is told of it from here on is told to the next desk, which has none of it
            cut(end)
        for host in old.hosts.values():
            for link in host.links:
                link.state, link.out = SHUT, {}
                if link.wire is not None:
                    link.wire.abort()
        self.desk = self.new_desk()
        self.post(self.desk.listed, routing.UpdateKind.CACHED, rows)
        if fellows:
            fellows.abort()
            self.fellows = None
            doubled = fellows.peers.members.doubled
            anew = (
                None
                if doubled
                else self.join(self, max(fellows.incarnation + 1, int(self.clock.now())))
            )
            if anew:
                anew.goes_on_from(fellows)
            self.loop.create_task(self.meet(anew))
        if old.draining is not None:
            self.post(self.desk.drain, old.draining)

    def life_over(self, why):
        """Others have taken over what this gateway had in hand, or may have: it answers none of it, tells its clients
        to come back one after the other, and goes on as a new life. A name that another process goes by is left to
        that one: this gateway is then alone."""
        fellows = self.fellows
        if not fellows:
            return
        log.error(
            "this life is over; beginning another",
            gateway=self.figures.name,
            incarnation=fellows.incarnation,
            why=why,
            events=len(self.desk.taken),
        )
        stays = {end: fellows.stay_away(number) for number, end in enumerate(self.door.ends)}
        for taken in list(self.desk.taken.values()):
            said = None if taken.over else fellows.custody.ends(taken)
            if said is not None:
                taken.client.wire.write(
                    protocol.Response(
                        taken.event.id, said[0], stays.get(taken.client.wire, 0.0), said[1]
                    )
                )
        for what, args in self.desk.inputs:
            if what == self.desk.came:
                client, event = args
                self.unread(client, event, stays.get(client.wire, 0.0))
        self.begin_again(lambda end: self.door.let_go(end, LIFE_OVER, stays[end]))

    def unread(self, client, event, stay):
        """What a life that is over had not read or not taken: deferred, unless its time is over as well."""
        if event.timeout_ms > client.late(event.sent_at_ms, self.clock.now()):
            client.wire.write(protocol.Response(event.id, "deferred", stay, LIFE_OVER))

    def drain(self, reason):
        if self.desk.draining is None:
            log.info(
                "draining", gateway=self.figures.name, events=len(self.desk.taken), reason=reason
            )
            self.post(self.desk.drain, reason)
            self.loop.call_later(self.bounds.drain / 1000, self.drained_out)

    def drained_out(self):
        if not self.done.done():
            log.warning(
                "the time to drain is over", gateway=self.figures.name, events=len(self.desk.taken)
            )
            self.done.set_result(3)

    async def stop(self):
        self.hall.close()
        self.keeper.close()
        if self.releases:
            self.releases.close()
        self.roll.task.cancel()
        if self.fellows:
            self.fellows.close()
        for end in list(self.door.ends):
            end.close()
        for host in self.desk.hosts.values():
            for link in host.links:
                if link.wire is not None:
                    link.wire.close()
        self.halt()
        self.roll.save()
        if self.own_uses:
            self.uses.close()
        await asyncio.sleep(0)
