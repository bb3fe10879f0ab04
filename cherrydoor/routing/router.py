"""The door, the loop, and the way of an event from its arrival to its answer."""

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW, DecayingValue
from cherrydoor.routing.history_table import Function, History
from cherrydoor.routing.host import FADED, Host
from cherrydoor.routing.limits import Rules
from cherrydoor.routing.request import Customer, Event, Try
from cherrydoor.routing.zone_table import SURE, Zone

SWEEP = 100  # how often hosts look at their own silence


class Router(Rules):
    """The door, the loop, and what is known of all hosts together."""

    def __init__(self, lease):
        super().__init__(lease)
        self.brisk, self.load, self.blind = (
            self.settings.target / 10,
            1000.0,
            False,
        )  # three in ten are quicker
        self.waited, self.met, self.each = (
            0.0,
            0.0,
            0.0,
        )  # answer times, events met: the time of one
        self.events, self.hosts = {}, {}  # dropped when over; dropped when gone and nothing is out
        self.history, self.zone, self.others = History(self), Zone(self), Customer()
        self.losses = {
            name: (DecayingValue(half=4 * WINDOW), DecayingValue(half=4 * WINDOW))
            for name in self.settings.request_classes
        }

        self.handlers = {
            messages.EndpointsUpdated: self.listing,
            messages.RequestArrived: self.arrival,
            messages.FunctionExpected: self.foreseen,
            messages.StreamStarted: self.underway,
            messages.AttemptEnded: self.attempt_ended,
            messages.RequestCancelled: self.clientleft,
            messages.TimerFired: self.wake,
            messages.HealthCheckEnded: self.probed,
            messages.LoadOrderEnded: self.loaded,
        }

    def start(self, now):
        self.now, self.next_window, self.actions, self.history.halved = now, now + WINDOW, [], now
        self.due = now + SWEEP * (1 + self.chance())
        self.ring(self.due - now, "sweep")
        self.actions.extend([messages.PollEndpoints()] * self.settings.asks)
        return self.actions

    def take(self, now, note):
        self.now, self.actions = now, []
        self.handlers[type(note)](note)
        while self.loop:
            actor = self.loop.popleft()
            note, what = actor.inbox.popleft()
            getattr(actor, note)(*what)
        return self.actions

    def listing(self, note):
        if note.kind == messages.UpdateKind.FAILED:
            return self.ring(500 * (1 + self.chance()), "ask")
        named = {row.host for row in note.endpoints}
        for row in note.endpoints:
            host = self.hosts[row.host] = self.hosts.get(row.host) or Host(self, row)
            host.post("listed", row.state, row.started_at_ms)
        for host in self.hosts.values():
            if note.kind != messages.UpdateKind.INCREMENTAL and host.id not in named:
                host.post("listed", messages.HostState.GONE, host.since)
        self.zone.post("relist", self.now)

    def arrival(self, note):
        name = note.function
        func = self.history.functions[name] = self.history.functions.get(name) or Function(
            name, self.settings
        )
        customer = self.settings.tenants.get(note.tenant, self.others)
        evt = self.events[note.request_id] = Event(
            note, self.settings.request_classes[note.request_class], func, customer
        )
        func.open, func.lanes = func.open + 1, max(1, int(note.copy_concurrency))
        evt.customer.calls.add(self.now, 1.0)
        self.taken.extend([self.now] * bool(self.settings.ration[2]))
        self.history.post("called", func)
        self.post("route", evt)

    def foreseen(self, note):
        """Exception: a copy is ordered at the home before the first event, by the same gate as all orders."""
        name = note.function
        func = self.history.functions[name] = self.history.functions.get(name) or Function(
            name, self.settings
        )
        func.count = max(1.0, func.count)  # so that the line outlives the load
        home = self.zone.heir(
            func.home,
            lambda h: (
                func.refused.get(h, 0) <= self.now
                and (not note.drained_zone or h.zone != note.drained_zone)
            ),
        )
        if home and not home.holds(func, self.now):
            self.order(func, home)

    def underway(self, note):
        if note.request_id in self.events:
            self.events[note.request_id].streams = True

    def attempt_ended(self, note):
        evt = self.events.get(note.request_id)
        if evt:
            launch = evt.tries[note.attempt]
            launch.outcome, again = note.outcome, launch.host.full.read(self.now) > 0.25
            short = note.unevictable_memory is not None and note.unevictable_memory > 0.9
            queue = (
                again
                or bool(note.queued)
                or (not short if note.concurrency is None else note.concurrency > 0)
            )
            launch.stood |= (
                note.outcome == messages.AttemptOutcome.FULL and queue
            )  # its queue is full, not its memory
            launch.warm = (
                launch.warm if note.copy is None else note.copy < 2
            )  # told, else held to be
            launch.host.post("back", launch, note, self.now)
            self.history.post("tells", evt.func, launch.host, note, launch.stood)
            self.post("landed", evt, launch, note)

    def clientleft(self, note):
        if note.request_id in self.events:
            self.events[note.request_id].over = True
            self.post("close", self.events[note.request_id])

    def wake(self, note):
        if note.token == "ask":
            self.actions.append(messages.PollEndpoints())
        elif note.token == "sweep":
            self.post("sweep")
        elif int(note.token) in self.events:
            self.post("route", self.events[int(note.token)])

    def probed(self, note):
        if note.host in self.hosts:
            self.hosts[note.host].post("probed", note.outcome, self.now)

    def loaded(self, note):
        func, host = self.history.functions.get(note.function), self.hosts.get(note.host)
        if func and host:
            self.history.post(
                "tells",
                func,
                host,
                messages.AttemptEnded(0, 0, note.outcome, True, host.id, 0.0),
                None,
            )

    def route(self, evt):
        """Takes an event only if it is predicted in time."""
        host, open_at = self.zone.choose(evt)
        if open_at:
            self.order(evt.func, open_at)
        if host and (evt.tries or self.in_time(evt, host)):
            return self.launch(evt, host)
        evt.customer.strain.add(self.now, bool(host))
        self.give_up(evt)

    def in_time(self, evt, host):
        """By the wait that answers predict; what is beyond its customer's share yields at half of it."""
        yields = evt.customer.beyond(self.now) and evt.customer.overloaded(self.now)
        wait = host.wait(evt.func) * (2 if yields else 1)
        # One at a time from all gateways goes to a host that seems late, to see whether it still is.
        stale = self.now - max(host.pace.at, host.tried) > self.settings.gateways * self.mean()
        return (
            wait <= min(SURE * evt.clause.latency_objective_ms, evt.until - self.now)
            or not host.out
            and stale
        )

    def launch(self, evt, host):
        if not self.may(evt, host):
            return self.give_up(evt)
        launch = Try(evt, host, self.now)
        evt.tries.append(launch)
        self.actions.append(messages.StartAttempt(evt.id, host.id, 0.0))
        self.losses[evt.clause.name][1].add(self.now, 1.0)
        host.post("sent", launch, self.now)
        if not launch.stood:
            evt.func.opening.setdefault(host, self.now)

    def landed(self, evt, launch, note):
        if note.outcome == messages.AttemptOutcome.SUCCEEDED:
            self.handled.add(
                self.now, 1.0 / max(1.0, self.warm)
            )  # by so many: not again by those left later
            # Where no report is told, the crowd of the function is the least that was there. Guards against
            # hosts that look in time however many wait; harms where other functions fill a host: one then
            # seems to take longer than it does. So only where a host serves more gateways than a gateway
            # has hosts: with few, own events out tell. The time of a load would pass for the work's.
            many = self.settings.gateways > len(self.zone.slots)
            held = note.concurrency if note.in_flight is None and many else note.in_flight
            if held is not None and launch.warm:
                fade = 1 - 1 / FADED
                self.waited, self.met = (
                    fade * self.waited + note.duration_ms,
                    fade * self.met + held + 1,
                )
                self.each = self.waited / self.met
            if launch.warm:
                self.pace.mean(
                    self.now, min(note.duration_ms, 2 * self.mean()), 0.02, self.settings.target / 4
                )
                self.brisk *= 1.006 if note.duration_ms > self.brisk else 0.986
            cold = (
                note.copy == 2
                or note.copy is None
                and not launch.stood
                and note.duration_ms > 2 * self.mean()
            )
            self.load += 0.1 * (note.duration_ms - self.load) if cold else 0
        elif note.outcome == messages.AttemptOutcome.FULL:
            evt.customer.strain.add(self.now, launch.stood)
        evt.over = evt.over or note.request_closed
        if evt.over or evt.streams or evt.out():
            self.close(evt)
        elif (
            note.outcome == messages.AttemptOutcome.FUNCTION_MISSING
            and self.settings.misses
            and self.order(evt.func, launch.host)
        ):
            self.ring(
                min(SWEEP / 2, evt.until - self.now - 1), str(evt.id)
            )  # by then the order is there
        elif evt.customer.overloaded(self.now):
            self.give_up(evt)
        else:
            self.post("route", evt)

    def take_back(self, launch):
        """A launch is recalled so that another may follow, or as it is over; never one that could harm."""
        evt = launch.evt
        plain = (
            launch.outcome is None
            and evt.clause.retry_safety == messages.RetrySafety.IDEMPOTENT
            and not evt.streams
        )
        useful = (
            evt.over
            or len(evt.tries) < self.settings.launches
            and not evt.customer.overloaded(self.now)
        )
        if self.settings.recalls and plain and useful:
            self.actions.append(messages.CancelAttempt(evt.id, evt.tries.index(launch)))

    def give_up(self, evt):
        """The one place of final answers: at once, and a deferral only where a repeat is harmless."""
        if evt.over:
            return
        ran, clause = evt.may_have_run(), evt.clause
        drops = (
            ran
            and clause.retry_safety == messages.RetrySafety.IDEMPOTENCY_KEY
            and clause.dedup_scope == "all"
        )
        young = drops and self.now - ran[0].sent < 0.5 * clause.dedup_window_ms
        evt.over, advice = (
            True,
            min(self.settings.advice, max(self.mean(), 100.0)) * (1 + self.chance()) / 2,
        )
        harmless = not ran or young or clause.retry_safety == messages.RetrySafety.IDEMPOTENT
        self.actions.append(
            messages.RejectRequest(evt.id, advice) if harmless else messages.FailRequest(evt.id)
        )
        self.close(evt)

    def close(self, evt):
        """What is still out for an event that is over is recalled; then the event is forgotten."""
        for launch in evt.out() if evt.over else ():
            self.post("take_back", launch)
        if evt.over and not evt.out() and self.events.pop(evt.id, None):
            evt.func.open -= 1

    def sweep(self):
        late, self.due = self.now - self.due, self.now + SWEEP
        self.ring(SWEEP, "sweep")
        self.forget(self.taken, 0.99 * self.settings.ration[2])
        running = [h for h in self.hosts.values() if h.state == messages.HostState.READY]
        for host in [
            h for h in running if (h.out or h.strikes) and late < 2 * SWEEP
        ]:  # or it stood still
            host.post("sweep", self.now)
        # When most hosts look bad it is likelier this gateway's own sight: then none is held to be.
        self.blind = 2 * sum(h.probing or h.shut > self.now for h in running) > len(running)
        self.warm = sum(h.level(self.now) for h in running)
        if self.now >= self.next_window:
            self.next_window = self.now + WINDOW
            self.history.post("window", self.now)
            self.hosts = {
                h.id: h
                for h in self.hosts.values()
                if h.state != messages.HostState.GONE or h.out or h in self.zone.slots
            }
            self.zone.post("relist", self.now)
