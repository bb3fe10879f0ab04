"""The door, the loop, and the way of an event from its arrival to its answer."""

from cherrydoor.routing import messages as io
from cherrydoor.routing.decay import WINDOW, Tally
from cherrydoor.routing.history_table import Function, History
from cherrydoor.routing.host import FADED, Host
from cherrydoor.routing.limits import Rules
from cherrydoor.routing.request import Customer, Event, Try
from cherrydoor.routing.zone_table import SURE, Zone

SWEEP = 100  # how often hosts look at their own silence


class Gateway(Rules):
    """The door, the loop, and what is known of all hosts together."""

    def __init__(self, lease):
        super().__init__(lease)
        self.brisk, self.load, self.blind = (
            self.deed.target / 10,
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
            name: (Tally(half=4 * WINDOW), Tally(half=4 * WINDOW)) for name in self.deed.clauses
        }

    def start(self, now):
        self.now, self.next_window, self.actions, self.history.halved = now, now + WINDOW, [], now
        self.due = now + SWEEP * (1 + self.chance())
        self.ring(self.due - now, "sweep")
        self.actions.extend([io.Subscribe()] * self.deed.asks)
        return self.actions

    def take(self, now, note):
        self.now, self.actions = now, []
        getattr(self, type(note).__name__.lower())(note)
        while self.loop:
            actor = self.loop.popleft()
            note, what = actor.inbox.popleft()
            getattr(actor, note)(*what)
        return self.actions

    def listing(self, note):
        if note.how == io.FAILED:
            return self.ring(500 * (1 + self.chance()), "ask")
        named = {row.host for row in note.rows}
        for row in note.rows:
            host = self.hosts[row.host] = self.hosts.get(row.host) or Host(self, row)
            host.post("listed", row.state, row.since)
        for host in self.hosts.values():
            if note.how != io.CHANGES and host.id not in named:
                host.post("listed", io.GONE, host.since)
        self.zone.post("relist", self.now)

    def arrival(self, note):
        name = note.function
        func = self.history.functions[name] = self.history.functions.get(name) or Function(
            name, self.deed
        )
        customer = self.deed.customers.get(note.party, self.others)
        evt = self.events[note.event] = Event(note, self.deed.clauses[note.clause], func, customer)
        func.open, func.lanes = func.open + 1, max(1, int(note.lanes))
        evt.customer.calls.add(self.now, 1.0)
        self.taken.extend([self.now] * bool(self.deed.ration[2]))
        self.history.post("called", func)
        self.post("route", evt)

    def foreseen(self, note):
        """Exception: a copy is ordered at the home before the first event, by the same gate as all orders."""
        name = note.function
        func = self.history.functions[name] = self.history.functions.get(name) or Function(
            name, self.deed
        )
        func.count = max(1.0, func.count)  # so that the line outlives the load
        home = self.zone.heir(
            func.home,
            lambda h: func.refused.get(h, 0) <= self.now and (not note.away or h.zone != note.away),
        )
        if home and not home.holds(func, self.now):
            self.order(func, home)

    def underway(self, note):
        if note.event in self.events:
            self.events[note.event].streams = True

    def outcome(self, note):
        evt = self.events.get(note.event)
        if evt:
            launch = evt.tries[note.launch]
            launch.fate, again = note.fate, launch.host.full.read(self.now) > 0.25
            short = note.tied is not None and note.tied > 0.9
            queue = (
                again or bool(note.queue) or (not short if note.crowd is None else note.crowd > 0)
            )
            launch.stood |= note.fate == io.FULL and queue  # its queue is full, not its memory
            launch.warm = (
                launch.warm if note.copy is None else note.copy < 2
            )  # told, else held to be
            launch.host.post("back", launch, note, self.now)
            self.history.post("tells", evt.func, launch.host, note, launch.stood)
            self.post("landed", evt, launch, note)

    def clientleft(self, note):
        if note.event in self.events:
            self.events[note.event].over = True
            self.post("close", self.events[note.event])

    def wake(self, note):
        if note.token == "ask":
            self.actions.append(io.Subscribe())
        elif note.token == "sweep":
            self.post("sweep")
        elif int(note.token) in self.events:
            self.post("route", self.events[int(note.token)])

    def probed(self, note):
        if note.host in self.hosts:
            self.hosts[note.host].post("probed", note.fate, self.now)

    def loaded(self, note):
        func, host = self.history.functions.get(note.function), self.hosts.get(note.host)
        if func and host:
            self.history.post(
                "tells", func, host, io.Outcome(0, 0, note.fate, True, host.id, 0.0), None
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
        stale = self.now - max(host.pace.at, host.tried) > self.deed.gateways * self.mean()
        return wait <= min(SURE * evt.clause.target, evt.until - self.now) or not host.out and stale

    def launch(self, evt, host):
        if not self.may(evt, host):
            return self.give_up(evt)
        launch = Try(evt, host, self.now)
        evt.tries.append(launch)
        self.actions.append(io.Launch(evt.id, host.id, 0.0))
        self.losses[evt.clause.name][1].add(self.now, 1.0)
        host.post("sent", launch, self.now)
        if not launch.stood:
            evt.func.opening.setdefault(host, self.now)

    def landed(self, evt, launch, note):
        if note.fate == io.HANDLED:
            self.handled.add(
                self.now, 1.0 / max(1.0, self.warm)
            )  # by so many: not again by those left later
            # Where no report is told, the crowd of the function is the least that was there. Guards against
            # hosts that look in time however many wait; harms where other functions fill a host: one then
            # seems to take longer than it does. So only where a host serves more gateways than a gateway
            # has hosts: with few, own events out tell. The time of a load would pass for the work's.
            many = self.deed.gateways > len(self.zone.slots)
            held = note.crowd if note.held is None and many else note.held
            if held is not None and launch.warm:
                fade = 1 - 1 / FADED
                self.waited, self.met = fade * self.waited + note.took, fade * self.met + held + 1
                self.each = self.waited / self.met
            if launch.warm:
                self.pace.mean(
                    self.now, min(note.took, 2 * self.mean()), 0.02, self.deed.target / 4
                )
                self.brisk *= 1.006 if note.took > self.brisk else 0.986
            cold = (
                note.copy == 2
                or note.copy is None
                and not launch.stood
                and note.took > 2 * self.mean()
            )
            self.load += 0.1 * (note.took - self.load) if cold else 0
        elif note.fate == io.FULL:
            evt.customer.strain.add(self.now, launch.stood)
        evt.over = evt.over or note.over
        if evt.over or evt.streams or evt.out():
            self.close(evt)
        elif note.fate == io.MISSING and self.deed.misses and self.order(evt.func, launch.host):
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
        plain = launch.fate is None and evt.clause.kind == io.REDELIVERABLE and not evt.streams
        useful = (
            evt.over
            or len(evt.tries) < self.deed.launches
            and not evt.customer.overloaded(self.now)
        )
        if self.deed.recalls and plain and useful:
            self.actions.append(io.Recall(evt.id, evt.tries.index(launch)))

    def give_up(self, evt):
        """The one place of final answers: at once, and a deferral only where a repeat is harmless."""
        if evt.over:
            return
        ran, clause = evt.may_have_run(), evt.clause
        drops = ran and clause.kind == io.KEYED and clause.group == "all"
        young = drops and self.now - ran[0].sent < 0.5 * clause.memory
        evt.over, advice = (
            True,
            min(self.deed.advice, max(self.mean(), 100.0)) * (1 + self.chance()) / 2,
        )
        harmless = not ran or young or clause.kind == io.REDELIVERABLE
        self.actions.append(io.Defer(evt.id, advice) if harmless else io.DeadLetter(evt.id))
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
        self.forget(self.taken, 0.99 * self.deed.ration[2])
        running = [h for h in self.hosts.values() if h.state == io.READY]
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
                if h.state != io.GONE or h.out or h in self.zone.slots
            }
            self.zone.post("relist", self.now)
