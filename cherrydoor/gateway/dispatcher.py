"""Between sockets and the decision module: every event taken, every launch out, and what ends each. No I/O, no clock.

The shell posts what came in and calls turn(now) once for all of it; the desk tells the module, carries out its
actions by writing to `wire` objects (write(message), close(reason)) and asks the shell to dial. It keeps what the
module is promised: each launch ends in exactly one outcome, nothing is sent past a client's time, a host never
listed gets nothing, and an action on what is over is ignored. It chooses nothing.
"""

from collections import Counter, deque

from cherrydoor.gateway.endpoints import Endpoints
from cherrydoor.gateway.host_connections import HostConnections
from cherrydoor.gateway.load_orders import LoadOrders
from cherrydoor.gateway.tables import ATTEMPTS_AFTER_CLOSE, CLOSE_GRACE_MS, HostCall, PendingRequest
from cherrydoor.gateway.tables import ClientConnection as ClientConnection
from cherrydoor.gateway.takeover import Takeover
from cherrydoor.gateway.timers import MAX_LAG_SHARE, Timers
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class Dispatcher(Timers, HostConnections, Endpoints, LoadOrders, Takeover):
    """One gateway's events, launches and links. Tables: `taken` empties with final answers, `hosts` when gone and
    unlinked, `alarms` within the longest max age, links with their use."""

    def __init__(self, router, terms, dial, now, hear=None, versions=None, ended=None):
        """versions: names the version that an event calls, where releases are gradual; ended(note) is told of each
        launch and order to load that has ended."""
        self.releases, self.ended = versions, ended or (lambda note: None)
        self.router, self.limits, self.dial, self.poll_endpoints = (
            router,
            terms,
            dial,
            hear or (lambda asked: None),
        )
        self.now, self.numbers, self.draining = now, 0, None
        self.inputs, self.router_messages, self.timers = [], deque(), []
        self.requests, self.hosts, self.clients = {}, {}, {}
        self.counters = Counter({ATTEMPTS_AFTER_CLOSE: 0})
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
        self.failover = (
            None  # told of what is in hand, where it outlives this gateway (custody/shell.py)
        )
        self.zone_drain = None  # tells which site an event has moved away from (site/shell.py)
        self.carry_out(router.start(now))
        self.set_timer(now + terms.idle / 10, self.tidy)

    # ---- the door
    def client_connected(self, client, hello):
        client.name = hello.name
        client.late(hello.clock_ms, self.now)
        self.clients[client] = True
        if self.draining is not None:
            client.wire.write(protocol.Draining(self.draining))

    def request_received(self, client, event):
        """An event is taken here, or refused untaken: known by its id already, past its time, or over a bound."""
        ends = self.now + event.timeout_ms - client.late(event.sent_at_ms, self.now)
        until = (
            ends - self.limits.spare - min(2 * self.behind, MAX_LAG_SHARE * event.timeout_ms)
        )  # read late, and told late
        if event.id in client.open:
            self.counters["event ids doubled"] += 1
        elif ends <= self.now:
            self.counters["events past their time"] += 1
        elif until <= self.now:
            self.reject(
                client, event, "less time is left than an answer's way back takes", self.limits.stay
            )
        elif event.request_class not in self.router.settings.request_classes:
            self.reject(client, event, "no such event type", 0.0, "dead-lettered")
        elif (
            self.releases is not None and "@" in event.function
        ):  # versions are named here, by no client
            self.reject(client, event, "no function has a name with @", 0.0, "dead-lettered")
        elif self.draining is not None:
            self.reject(client, event, self.draining, self.limits.stay)
        elif len(self.requests) >= self.limits.most_open:
            self.reject(client, event, "as many events are open as may be", self.limits.stay)
        elif self.zone_drain is not None and (why := self.zone_drain.rejection_reason(event)):
            self.reject(client, event, why, self.limits.stay)
        else:
            pending = self.accept(client, event, until)
            if self.failover is None or not self.failover.find_duplicate(pending):
                self.route(pending)

    def accept(self, client, event, until):
        """From here on it is owed an answer by then."""
        self.numbers += 1
        client.seen = self.now
        pending = PendingRequest(self.numbers, event, client, until, self.now)
        self.requests[pending.number] = client.open[event.id] = pending
        self.counters["taken"] += 1
        self.set_timer(until, self.overdue, pending)
        return pending

    def route(self, pending):
        """The module is told of it."""
        event = pending.request
        pending.adopted, pending.attempts = False, []
        if self.releases is not None:
            pending.function = self.releases.choose(
                event.function, event.affinity_key or event.idempotency_key or pending.client.name
            )
        away = (
            self.zone_drain.drained_zone(event, pending.function)
            if self.zone_drain is not None
            else ""
        )
        self.router_messages.append(
            routing.RequestArrived(
                pending.number,
                event.request_class,
                event.tenant,
                pending.function,
                pending.deadline_ms,
                event.copy_concurrency,
                event.load_ms,
                away,
            )
        )
        if self.failover is not None:
            self.failover.request_accepted(pending)

    def reject(self, client, event, reason, stay, fate="deferred"):
        self.counters[f"untaken: {reason}"] += 1
        client.wire.write(protocol.Response(event.id, fate, stay, reason))

    def request_withdrawn(self, client, number):
        pending = client.open.get(number)
        if pending is None:
            self.counters["withdrawals of what was over"] += 1
        else:
            self.leave(pending)

    def client_disconnected(self, client):
        self.clients.pop(client, None)
        for pending in list(client.open.values()):
            self.leave(pending)

    def leave(self, pending):
        self.counters["clients left"] += 1
        self.counters[ATTEMPTS_AFTER_CLOSE] += sum(
            sent.link is not None and sent.at - pending.client.seen > CLOSE_GRACE_MS
            for sent in pending.attempts
        )
        for sent in pending.attempts if pending.streaming else ():
            self.cut(
                sent, routing.AttemptOutcome.CANCELLED
            )  # a stream has no time of its own at which it would be cut
        pending.out += (
            1  # kept until the module has been told: what it decides before has an end, too
        )
        self.left.append(pending)
        self.end(pending)
        self.router_messages.append(routing.RequestCancelled(pending.number))

    def told_left(self):
        """The module knows of all clients that have left."""
        while self.left:
            pending = self.left.pop()
            pending.out -= 1
            self.forget(pending)

    def respond(self, pending, answer):
        self.counters[answer.outcome] += 1
        if self.zone_drain is not None:
            self.zone_drain.request_finished(pending, answer.outcome, self.now)
        pending.client.wire.write(answer)
        self.end(pending)

    def end(self, pending):
        """The one place where an event becomes over."""
        pending.finished = True
        pending.client.open.pop(pending.request.id, None)
        if self.failover is not None:
            self.failover.request_finished(pending)
        self.forget(pending)

    def forget(self, pending):
        if pending.finished and not pending.out:
            self.requests.pop(pending.number, None)

    def overdue(self, pending):
        """The client's time is up: launches out are cut and told, also those of an event that is over already; if
        it is not, the module then owes the answer at once."""
        if pending.streaming and not pending.finished:
            return
        for sent in pending.attempts:
            if sent.outcome is None:
                self.counters["launches out when the client's time was up"] += 1
                self.cut(sent, routing.AttemptOutcome.NO_RESPONSE)
        self.tell()
        if (
            not pending.finished
        ):  # guards rule 1 against a module that forgets; counted, for it should never be
            self.counters[
                "answered for the module" if not pending.adopted else "time up at what was adopted"
            ] += 1
            self.respond(
                pending,
                protocol.Response(pending.request.id, "dead-lettered", 0.0, "the time is up"),
            )
            self.router_messages.append(routing.RequestCancelled(pending.number))

    # ---- what the module decided
    def launch(self, action):
        pending, host = self.requests.get(action.request_id), self.hosts.get(action.host)
        if pending is None:
            self.counters["launches of what is over"] += 1
            return
        index, event = len(pending.attempts), pending.request
        limit = min(
            pending.deadline_ms - self.now, action.timeout_ms or pending.deadline_ms - self.now
        )
        self.numbers += 1
        sent = HostCall(routing.AttemptEnded, self.numbers, self.now, None, pending, index)
        pending.attempts.append(sent)
        pending.out += 1
        if host is None or pending.streaming or limit <= 0:
            self.done(sent, routing.AttemptOutcome.NOT_SENT)
            return
        sent.called, usual = pending.function, 0.0
        if self.releases is not None:
            if any(other.outcome == routing.AttemptOutcome.ERROR for other in pending.attempts):
                sent.called = self.releases.again(pending.function)
            usual = self.releases.usual(event.function)
        if not self.send(
            host,
            sent,
            protocol.Attempt(
                sent.id,
                event.id,
                pending.client.name,
                event.request_class,
                sent.called,
                limit,
                index,
                event.idempotency_key,
                usual,
                event.body,
                *(pending.origin or ()),
            ),
        ):
            return
        if self.failover is not None:
            self.failover.attempt_started(pending, host.id)
        if self.zone_drain is not None:
            self.zone_drain.attempt_started(pending.function, host.row.zone)
        self.counters["launches"] += 1
        if action.timeout_ms and self.now + limit < pending.deadline_ms:
            self.set_timer(self.now + limit, self.cut, sent, routing.AttemptOutcome.NO_RESPONSE)

    def recall(self, action):
        pending = self.requests.get(action.request_id)
        if pending is None or not 0 <= action.attempt < len(pending.attempts) or pending.streaming:
            self.counters["recalls of what is over"] += 1
            return
        self.counters["launches recalled"] += 1
        self.cut(pending.attempts[action.attempt], routing.AttemptOutcome.CANCELLED)

    def defer(self, action):
        self.final(action.request_id, "deferred", action.retry_after_ms)

    def dead_letter(self, action):
        self.final(action.request_id, "dead-lettered", 0.0)

    def final(self, number, fate, stay):
        pending = self.requests.get(number)
        if pending is None or pending.finished:
            self.counters["answers to what is over"] += 1
            return
        fates = ", ".join(sent.outcome for sent in pending.attempts if sent.outcome)
        self.respond(
            pending,
            protocol.Response(pending.request.id, fate, stay, fates or "no host would be in time"),
        )

    def ring(self, action):
        self.set_timer(action.at_ms, self.router_messages.append, routing.TimerFired(action.token))

    def probe(self, action):
        self.ask(action.host, routing.HealthCheckEnded, "", self.limits.probe, protocol.HealthCheck)

    def order(self, action):
        self.counters["orders"] += 1
        self.ask(
            action.host,
            routing.LoadOrderEnded,
            action.function,
            self.limits.order,
            protocol.LoadOrder,
            action.function,
            action.copies,
        )

    def subscribe(self, action):
        self.poll_endpoints(True)

    def log(self, action):
        self.counters["lines of the module"] += 1

    # ---- leaving
    def respond_to_all(self, reason):
        """The last moment: whoever still waits is answered now. A repeat is harmless where nothing was launched."""
        for pending in list(self.requests.values()):
            if not pending.finished:
                self.respond(
                    pending,
                    protocol.Response(
                        pending.request.id,
                        "dead-lettered" if pending.attempts else "deferred",
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
