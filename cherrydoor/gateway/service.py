"""One gateway around its desk: its door, floor and list, its keys and releases, and what becomes of a fault."""

import asyncio
from dataclasses import replace

import structlog

from cherrydoor.admission.client_limits import client_limits_of
from cherrydoor.admission.listener import Listener, ListenerSet
from cherrydoor.admission.usage import ProcessUsage
from cherrydoor.gateway.client_listener import ClientListener, ClientProtocol
from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.gateway.endpoint_watch import EndpointWatch
from cherrydoor.gateway.event_loop import Clock, TickingService, address
from cherrydoor.gateway.tables import CLOSED
from cherrydoor.gateway.upstream import Upstream
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases.feed import Releases
from cherrydoor.routing import messages as routing
from cherrydoor.tls.decide import Usage
from cherrydoor.tls.keeper import Keeper, Where

log = structlog.get_logger()
INCARNATION_ENDED = "this gateway's life is over"


class GatewayService(TickingService):
    """One gateway: its sockets and what goes on between them."""

    def __init__(self, config, router, uses=None, places=None, clock=None, join=None):
        """uses: what the process has in use, shared by its gateways; places: connections that there are descriptors
        for; join: makes its fellows (cherrydoor/peer_services.py), None for a gateway alone."""
        super().__init__(clock or Clock())
        self.config, self.bounds = config, config.bounds
        self.client_listener, self.upstream = ClientListener(self), Upstream(self)
        self.endpoint_watch = EndpointWatch(
            self, config.list_at, config.saved, config.lease.polls_endpoints
        )
        self.make_router, self.broken = router, 0
        self.uses, self.own_uses = uses or ProcessUsage(config.memory), uses is None
        manners = client_limits_of(config)
        if places is not None:
            manners = replace(manners, connection_slots=min(places, manners.connection_slots))
        self.listeners = ListenerSet(manners, self.clock, self.uses)
        said = {
            name: value for name, value in config.keys.items() if name not in ("standing", "warn")
        }
        usage = Usage(config.keys["standing"], config.keys["warn"], config.seed)
        self.tls = Keeper(Where(**said, usage=usage), self.client_listener.put_out)
        self.done = self.loop.create_future()
        self.join, self.peer_services = join or (lambda service, incarnation=0: None), None
        self.releases = Releases(self, config.releases) if config.releases["feed"] else None
        self.dispatcher = self.new_desk()

    def new_desk(self):
        more = (self.releases.versions, self.releases.post) if self.releases else (None, None)
        return Dispatcher(
            self.make_router(self.config.lease),
            self.config.limits,
            self.upstream.dial,
            self.clock.now(),
            self.endpoint_watch.hear,
            *more,
        )

    def hello(self):
        return protocol.Hello(
            protocol.VERSION,
            "gateway",
            self.config.name,
            self.clock.now(),
            0.0,
            self.bounds.frame,
            self.config.limits.most_open,
            incarnation=self.peer_services.incarnation if self.peer_services else 0,
        )

    async def start(self):
        await self.tls.start()
        await self.meet(self.join(self))
        saved = self.endpoint_watch.read_saved()
        if saved is not None:
            self.post(self.dispatcher.endpoints_updated, routing.UpdateKind.CACHED, saved)
        self.endpoint_watch.start()
        if self.releases:
            await self.releases.start()
        self.port = self.listen(
            address(self.config.door),
            lambda arrival: ClientProtocol(self, arrival),
            (lambda: self.tls.server) if self.tls.sealed else None,
        )
        self.set_timer()

    async def meet(self, peer_services):
        """From here on what is in hand outlives this gateway, where it has fellows."""
        self.peer_services = peer_services
        if peer_services:
            self.dispatcher.failover, self.dispatcher.zone_drain = (
                peer_services.failover,
                peer_services.zone_drains,
            )
            await peer_services.start()

    def tick(self):
        if self.peer_services and self.peer_services.stood_still():
            self.asked = False
            return self.life_over("it stood still")
        super().tick()

    def listen(self, where, make, context):
        """Opens the door; its port."""
        return Listener(self.listeners, where, make, context).port

    def after_tick(self):
        if self.peer_services:
            self.peer_services.after_tick()
        if (
            self.dispatcher.draining is not None
            and not self.dispatcher.requests
            and not self.done.done()
        ):
            self.done.set_result(0)

    def restart(self):
        """A fault in the decisions ends this gateway's life and begins another: clients are cut off, as they would
        be if the process had died, and the list is all that is kept."""
        self.broken += 1
        log.critical(
            "a fault in the decisions; starting anew", gateway=self.config.name, exc_info=True
        )
        self.begin_again(lambda end: end.abort("the gateway starts anew"))
        if self.broken > 5 and not self.done.done():
            self.done.set_result(70)

    def begin_again(self, cut):
        old, rows, peer_services = self.dispatcher, self.dispatcher.endpoints(), self.peer_services
        for end in list(self.client_listener.ends):
            end.client.open.clear()  # what is told of it from here on is told to the next desk, which has none of it
            cut(end)
        for host in old.hosts.values():
            for link in host.links:
                link.state, link.out = CLOSED, {}
                if link.wire is not None:
                    link.wire.abort()
        self.dispatcher = self.new_desk()
        self.post(self.dispatcher.endpoints_updated, routing.UpdateKind.CACHED, rows)
        if peer_services:
            peer_services.abort()
            self.peer_services = None
            doubled = peer_services.peers.members.doubled
            anew = (
                None
                if doubled
                else self.join(self, max(peer_services.incarnation + 1, int(self.clock.now())))
            )
            if anew:
                anew.goes_on_from(peer_services)
            self.loop.create_task(self.meet(anew))
        if old.draining is not None:
            self.post(self.dispatcher.drain, old.draining)

    def life_over(self, why):
        """Others have taken over what this gateway had in hand, or may have: it answers none of it, tells its clients
        to come back one after the other, and goes on as a new life. A name that another process goes by is left to
        that one: this gateway is then alone."""
        peer_services = self.peer_services
        if not peer_services:
            return
        log.error(
            "this life is over; beginning another",
            gateway=self.config.name,
            incarnation=peer_services.incarnation,
            why=why,
            events=len(self.dispatcher.requests),
        )
        stays = {
            end: peer_services.stay_away(number)
            for number, end in enumerate(self.client_listener.ends)
        }
        for pending in list(self.dispatcher.requests.values()):
            said = None if pending.finished else peer_services.failover.answer_at_end(pending)
            if said is not None:
                pending.client.wire.write(
                    protocol.Response(
                        pending.request.id, said[0], stays.get(pending.client.wire, 0.0), said[1]
                    )
                )
        for what, args in self.dispatcher.inputs:
            if what == self.dispatcher.request_received:
                client, event = args
                self.unread(client, event, stays.get(client.wire, 0.0))
        self.begin_again(
            lambda end: self.client_listener.let_go(end, INCARNATION_ENDED, stays[end])
        )

    def unread(self, client, event, stay):
        """What a life that is over had not read or not taken: deferred, unless its time is over as well."""
        if event.timeout_ms > client.late(event.sent_at_ms, self.clock.now()):
            client.wire.write(protocol.Response(event.id, "deferred", stay, INCARNATION_ENDED))

    def drain(self, reason):
        if self.dispatcher.draining is None:
            log.info(
                "draining",
                gateway=self.config.name,
                events=len(self.dispatcher.requests),
                reason=reason,
            )
            self.post(self.dispatcher.drain, reason)
            self.loop.call_later(self.bounds.drain / 1000, self.drained_out)

    def drained_out(self):
        if not self.done.done():
            log.warning(
                "the time to drain is over",
                gateway=self.config.name,
                events=len(self.dispatcher.requests),
            )
            self.done.set_result(3)

    async def stop(self):
        self.listeners.close()
        self.tls.close()
        if self.releases:
            self.releases.close()
        self.endpoint_watch.task.cancel()
        if self.peer_services:
            self.peer_services.close()
        for end in list(self.client_listener.ends):
            end.close()
        for host in self.dispatcher.hosts.values():
            for link in host.links:
                if link.wire is not None:
                    link.wire.close()
        self.stop_timer()
        self.endpoint_watch.save()
        if self.own_uses:
            self.uses.close()
        await asyncio.sleep(0)
