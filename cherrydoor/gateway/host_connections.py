"""The desk's side towards hosts: links, what is out on them and how it ends, and the list. No I/O, no clock."""

from typing import Any

from cherrydoor.gateway.tables import CLOSED, DIALING, OPEN, HostCall, HostConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.releases import decide as v
from cherrydoor.routing import messages as routing

MISSED = 32  # events of which a link remembers that they were missing there
HANDSHAKES = (
    0.01  # of the worth of what a host has carried may have gone into connections beside the first
)


class HostConnections:
    """What the desk does with hosts; the tables are the desk's."""

    router: Any
    limits: Any
    router_messages: Any
    counters: Any
    hosts: dict
    now: float
    numbers: int
    releases: Any
    failover: Any
    zone_drain: Any
    respond: Any  # from here on what the desk and its other parts do
    forget: Any
    dial: Any
    ended: Any
    set_timer: Any
    leave: Any
    told: Any
    give_up: Any
    came_to_nothing: Any

    def ask(self, name, kind, function, wait, message, *values):
        """A probe or an order: exactly one note comes back."""
        self.numbers += 1
        sent = HostCall(kind, self.numbers, self.now, None, function=function)
        host = self.hosts.get(name)
        if host is not None and self.send(host, sent, message(sent.id, *values)):
            self.set_timer(self.now + wait, self.cut, sent, routing.AttemptOutcome.NO_RESPONSE)
        elif host is None:
            self.counters["questions to hosts never listed"] += 1
            unknown = (
                routing.HealthCheckEnded(name, routing.AttemptOutcome.CONNECT_FAILED, 0.0)
                if kind is routing.HealthCheckEnded
                else routing.LoadOrderEnded(
                    function, name, routing.AttemptOutcome.CONNECT_FAILED, 0, 0.0
                )
            )
            self.router_messages.append(unknown)

    # ---- the floor
    def barred(self, host, sent, message):
        """Why this may not go out to the host now, "" where it may. Every launch, probe and order to load passes here
        when it is sent and again when it was waiting for a connection: nothing new goes to a host that is known to
        drain (rule 3), and no launch for an event that is over or whose client has gone (rule 1)."""
        if type(message) not in (protocol.Attempt, protocol.LoadOrder, protocol.HealthCheck):
            return ""
        if host.row.state != "ready":
            return "the host drains"
        pending = sent.taken
        if pending is None:
            return ""
        if not pending.finished and not pending.client.connected(self.now):
            self.counters["closes found at a launch"] += 1
            self.leave(pending)
        if pending.finished:
            return "the event is over"
        return "" if self.now < pending.deadline_ms else "the time is up"

    def send(self, host, sent, message):
        """On the first link with room; a further one is opened up to the bound and as far as what the host has carried
        bears it, then they are shared. Guards against hundreds of gateways that open connections which each serve
        once; harms where a connection that ends takes other launches with it: one that has carried little.
        An event that was missing at the host goes out again on another link, where there is one: a second copy of
        that answer would pass for the new launch's. False where nothing may go out."""
        if why := self.barred(host, sent, message):
            self.counters[f"held back: {why}"] += 1
            self.done(sent, routing.AttemptOutcome.NOT_SENT, at=host.id)
            return False
        host.carried += 1
        links = [ln for ln in host.links if not ln.mute]
        clean = [ln for ln in links if sent.taken is None or sent.taken.number not in ln.missed]
        link = next((ln for ln in clean if len(ln.out) < self.limits.per_link), None)
        borne = HANDSHAKES * host.carried >= self.limits.handshake * len(links)
        if link is None and borne and len(host.links) < self.limits.links:
            link = HostConnection(host, self.now)
            host.links.append(link)
            self.set_timer(self.now + self.limits.connect, self.connect_timed_out, link)
            self.dial(link)
        link = link or min(clean or links or host.links, key=lambda ln: len(ln.out))
        sent.link, link.out[sent.id], link.used = link, sent, self.now
        link.write(message)
        return True

    def connection_opened(self, link, wire):
        if link.state != DIALING:  # it timed out in the meantime
            return wire.close("")
        link.state, link.wire, link.heard = OPEN, wire, self.now
        waiting, link.waiting = link.waiting, []
        for message in waiting:
            sent = link.out.get(message.id)
            if why := sent and self.barred(link.host, sent, message):
                self.counters[f"held back: {why}"] += 1
                self.done(sent, routing.AttemptOutcome.NOT_SENT)
            else:
                wire.write(message)

    def message_not_sent(self, link, number):
        """A launch, probe or order that was never written."""
        if number in link.out:
            self.done(link.out[number], routing.AttemptOutcome.NOT_SENT)

    def connect_timed_out(self, link):
        if link.state == DIALING:
            self.counters["connections not up in time"] += 1
            self.connection_lost(link)

    def connection_lost(self, link):
        """Refused, never up, or lost: what was never sent is told apart from what was."""
        if link.state == CLOSED:
            return
        fate = (
            routing.AttemptOutcome.CONNECT_FAILED
            if link.state == DIALING
            else routing.AttemptOutcome.CONNECTION_LOST
        )
        link.state, link.waiting = CLOSED, []
        link.host.links.remove(link)
        self.counters[f"links: {fate}"] += bool(link.out)
        out = list(link.out.values())
        if fate == routing.AttemptOutcome.CONNECTION_LOST and self.failover is not None and out:
            self.give_up(link.host, [sent.id for sent in out if sent.kind is routing.AttemptEnded])
        for sent in out:
            self.done(sent, fate)

    def host_greeted(self, link, hello):
        """A host's own word on when it started is newer than the list's, never older."""
        host = link.host
        if hello.started_at_ms > host.since + 1 and host.row.state == "ready":
            host.since = hello.started_at_ms
            self.counters["restarts learned from hosts"] += 1
            self.router_messages.append(
                routing.EndpointsUpdated(routing.UpdateKind.INCREMENTAL, (self.told(host),))
            )

    def host_replied(self, link, message):
        """Whatever a host answers; only what is out on this very link counts."""
        link.used = link.heard = self.now
        link.mute = False
        sent = link.out.get(message.id)
        kind = sent and sent.kind
        if sent is not None and sent.then is not None:
            return self.done(sent, routing.AttemptOutcome.SUCCEEDED, message)
        if kind is routing.AttemptEnded and type(message) is protocol.AttemptResult:
            self.done(sent, message.outcome, message)
        elif kind is routing.AttemptEnded and type(message) is protocol.AttemptStreaming:
            self.underway(sent)
        elif (
            kind is routing.HealthCheckEnded
            and type(message) is protocol.HealthCheckResult
            or kind is routing.LoadOrderEnded
            and type(message) is protocol.LoadOrderResult
        ):
            self.done(sent, message.outcome, message)
        elif type(message) is not protocol.UnloadResult:
            self.counters["answers to what is over or was never asked there"] += 1

    def underway(self, sent):
        pending = sent.taken
        if (
            not pending.finished
            and not pending.streaming
            and self.router.settings.request_classes[pending.request.request_class].streaming
        ):
            pending.streaming = True
            pending.client.wire.write(protocol.StreamStarted(pending.request.id))
            self.router_messages.append(
                routing.StreamStarted(pending.number, sent.index, sent.link.host.id)
            )

    def cut(self, sent, fate):
        """The gateway waits no longer: the host is told, unless it never had it."""
        if sent.outcome is not None:
            return
        link, launch = sent.link, sent.kind is routing.AttemptEnded
        if link.state == DIALING:
            link.waiting = [w for w in link.waiting if w.id != sent.id]
            fate = (
                routing.AttemptOutcome.NOT_SENT
                if fate == routing.AttemptOutcome.CANCELLED
                else routing.AttemptOutcome.CONNECT_FAILED
            )
        elif launch:
            link.write(protocol.CancelAttempt(sent.id))
        self.done(sent, fate)
        if link.state == OPEN and self.now - max(sent.at, link.heard) >= self.limits.silence:
            link.mute = True
            self.silent(link.host, sent.at)

    def silent(self, host, since):
        """Closes the host's unused links on which nothing was heard since then. Guards against connections that a cut
        network leaves open and dead, where each launch would be lost anew; harms where a host is only slow: it is
        dialled again."""
        for link in [
            ln for ln in host.links if ln.state == OPEN and not ln.out and ln.heard <= since
        ]:
            self.counters["links closed over their silence"] += 1
            link.state = CLOSED
            host.links.remove(link)
            link.wire.close("")

    def done(self, sent, fate, message=None, at=""):
        """The one place where a launch, probe or order ends; an end that comes twice is ignored. `at` names the host
        of one that never had a link."""
        if sent.outcome is not None:
            return
        sent.outcome, took = fate, self.now - sent.at
        if sent.link:
            sent.link.out.pop(sent.id, None)
            if fate == routing.AttemptOutcome.FUNCTION_MISSING:
                sent.link.missed = dict.fromkeys([*sent.link.missed, sent.taken.number][-MISSED:])
        name = sent.link.host.id if sent.link else at
        if sent.then is not None:
            sent.then(name, fate, message)
        elif sent.kind is routing.HealthCheckEnded:
            self.router_messages.append(routing.HealthCheckEnded(name, fate, took))
        elif sent.kind is routing.LoadOrderEnded:
            self.router_messages.append(
                routing.LoadOrderEnded(
                    sent.function, name, fate, message.copies if message else 0, took
                )
            )
            self.ended(v.Loaded(sent.function, fate, took))
            if self.zone_drain is not None:
                self.zone_drain.load_ended(
                    sent.function, name, fate == routing.AttemptOutcome.SUCCEEDED
                )
        else:
            self.landed(sent, fate, took, name, message)

    def landed(self, sent, fate, took, name, message):
        pending, adopted = sent.taken, sent.taken.adopted
        pending.out -= 1
        broken = pending.streaming and fate != routing.AttemptOutcome.SUCCEEDED
        if not pending.finished and fate == routing.AttemptOutcome.SUCCEEDED:
            self.respond(
                pending, protocol.Response(pending.request.id, "handled", 0.0, "", message.body)
            )
        elif not pending.finished and pending.adopted:
            self.came_to_nothing(pending, fate)
        elif not pending.finished and broken:
            self.respond(
                pending,
                protocol.Response(pending.request.id, "dead-lettered", 0.0, "the stream broke"),
            )
        copy = message.copy if message else 0
        told = self.told_by(message) if message else (None,) * 5
        if self.releases is not None and sent.link:
            self.ended(
                v.Ended(
                    sent.called,
                    name,
                    fate,
                    took,
                    copy in (2, 3),
                    copy == 4,
                    message.version_counts if message else None,
                    pending.request.tenant,
                )
            )
            if (
                sent.called != pending.function
            ):  # what it says of copies is of another version than the module's
                told = (None, None, *told[2:])
        if not adopted:  # the module knows nothing of it
            self.router_messages.append(
                routing.AttemptEnded(
                    pending.number, sent.index, fate, pending.finished, name, took, *told
                )
            )
        self.forget(pending)

    def told_by(self, outcome):
        """What this deployment's answers do not tell is None; that a load failed is told everywhere."""
        copy, crowd = self.limits.tells
        return (
            outcome.copy if copy or outcome.copy == 4 else None,
            outcome.concurrency if crowd else None,
            outcome.in_flight,
            outcome.queued,
            outcome.unevictable_memory,
        )
