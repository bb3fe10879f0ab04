"""The decisions of one gateway: hashed homes, second workers, overflow, and what guards them.

Called as gate = Gateway(lease), actions = gate.start(now), then actions = gate.take(now, note) for each note,
now being the batch clock in ms. All types are in cherrydoor/interface.py. Every part is an actor: its state
changes by notes from its inbox, others may look. One loop empties the inboxes; ids are used only at the door.
"""

from collections import deque
from hashlib import sha1
from math import modf
from zlib import crc32

from cherrydoor import interface as io

NEVER_RAN = (io.FULL, io.NO_CONNECTION, io.UNSENT, io.MISSING)
PATIENCE = 0.5          # T2 is the own events out that would take this share of the target time one by one
FEW = 8                 # how many functions are the most-called
BUSY = 0.2              # and the least events of one at work at once, over all gateways, that make it one
WINDOW = 2000           # counts halve each window
ENOUGH = 64             # but only once they are of so many calls, or after eight windows
OTHERS = 2              # others' events at a host, held to be there whenever own ones are compared to the usual
SWEEP = 100             # how often hosts look at their own silence
SURE = 0.75             # share of the target time that a predicted wait may fill, as predictions err
WAITERS = 4             # own events that wait behind one load though it ends past the target time
FURTHER = 2             # further launches for one event
RECUT = 60000           # a vacancy of this length, or a host left over for a quarter of it, recuts the ranges
LINGER = 6000           # an idle copy is believed to stand for so long, where nothing is said


class Tally:
    """A figure that halves each window, so that what it tells ages by itself."""

    def __init__(self, now=0.0, value=0.0):
        self.at, self.value = now, value

    def read(self, now):
        return self.value * 0.5 ** ((now - self.at) / WINDOW)

    def add(self, now, what):
        self.at, self.value = now, self.read(now) + what


class Mean:
    """A mean of what is told: the longer nothing was, the more the next figure counts."""

    def __init__(self, value, least):
        self.value, self.least, self.at = value, least, 0.0

    def tell(self, now, figure):
        part = max(self.least, 1 - 0.5 ** ((now - self.at) / WINDOW))
        self.value, self.at = self.value + part * (figure - self.value), now


class Actor:
    def __init__(self, loop):
        self.loop, self.inbox = loop, deque()

    def post(self, note, *what):
        self.inbox.append((note, what))
        self.loop.append(self)


class Customer:
    """What one customer calls here, and what of that was not taken or met full hosts in a row; both age.
    Kept apart, so that the repeats of one customer's clients are not overload for the others."""

    def __init__(self, part=1.0):
        self.part, self.calls, self.strain = part, Tally(), Tally()

    def overloaded(self, now):
        return self.strain.read(now) > 2 + 0.1 * self.calls.read(now)

    def beyond(self, now):
        """True for what is sent beyond an equal part of its share."""
        return self.calls.read(now) > 2 * WINDOW * self.part


class Try:
    """One launch of an event: fate is None while it is out; stood tells if a copy was known to stand."""

    def __init__(self, evt, host, now):
        self.evt, self.host, self.sent, self.fate = evt, host, now, None
        self.stood = host.holds(evt.func, now)


class Event:
    """An event taken; Gateway.events drops it once it is over and no launch is out."""

    def __init__(self, arrival, clause, func, customer):
        self.id, self.clause, self.func, self.until = arrival.event, clause, func, arrival.until
        self.customer, self.tries, self.over, self.streams = customer, [], False, False

    def out(self):
        return [t for t in self.tries if t.fate is None]

    def may_have_run(self):
        return [t for t in self.tries if t.fate not in NEVER_RAN]


class Function:
    """A line of the History Table: the function's places, how much it is called, where copies stand."""

    def __init__(self, name, me):
        self.name, self.me, self.count, self.open, self.home = name, me, 0.0, 0, self.place(name)
        self.work, self.lanes, self.groups = Mean(0.0, 0.2), 1, 1
        self.copies = {}        # host -> others' events there when last heard; History.window drops the old
        self.opening = {}       # host -> since when a load begun by this gateway is waited for
        self.refused = {}       # host -> until when it is held to have no room for a copy
        self.waiting = []       # events that wait for an order (hosts that miss)

    def place(self, key):
        return int.from_bytes(sha1(key.encode()).digest()[:8], "big") / 2.0**64

    def second(self):
        """Hashed from function and gateway number, folded to as many groups as the work at once calls for."""
        return self.place(f"{self.name}/{self.me % self.groups}")

    def told(self, host, crowd, now):
        """The crowd in answers tells the work at once of all gateways, of which own calls tell little: what
        one of its hosts holds, times its hosts. A group for each half of a copy's lanes."""
        self.copies[host] = Tally(now, crowd)
        self.work.tell(now, crowd * (1 + self.groups))
        need = 2 * self.work.value / self.lanes
        while self.groups < need:
            self.groups *= 2
        if need < self.groups / 4 and self.groups > 1:
            self.groups //= 2


class History(Actor):
    """The History Table: own traffic alone. Each window halves it and drops what is no longer called."""

    def __init__(self, gate):
        super().__init__(gate.loop)
        self.gate, self.functions, self.bar, self.calls = gate, {}, 0.0, 0
        self.halved, self.span = gate.now, WINDOW

    def window(self, now):
        halve = self.calls >= ENOUGH or now - self.halved >= 8 * WINDOW
        if halve:
            self.calls, self.halved, self.span = 0, now, now - self.halved
        for func in list(self.functions.values()):
            func.count /= 2 if halve else 1
            func.copies = {h: seen for h, seen in func.copies.items() if h.holds(func, now)}
            func.opening = {h: t for h, t in func.opening.items() if now - t < 4 * self.gate.load}
            func.refused = {h: t for h, t in func.refused.items() if t > now}
            if func.count < 0.5 and not func.open:
                del self.functions[func.name]
        most = sorted((f.count for f in self.functions.values()), reverse=True)[:FEW]
        self.bar = most[-1] if len(most) == FEW else 0.0

    def hot(self, func):
        """Most-called here, and with work at once, by answers or by own calls beyond what may be chance."""
        sure = (func.count - 2 * func.count ** 0.5) / (2 * self.span) * self.gate.deed.gateways * self.gate.brisk
        return func.count >= self.bar and max(func.work.value, sure) >= BUSY

    def called(self, func):
        func.count, self.calls = func.count + 1, self.calls + 1

    def opens(self, func, host):
        func.opening.setdefault(host, self.gate.now)

    def tells(self, func, host, fate, copy, stood, crowd):
        """A load where a copy was known to stand means that the function was released anew or its copies
        were swept out: no other copy is believed in until it answers again."""
        now = self.gate.now
        if fate not in (io.NO_ANSWER, io.RECALLED):     # then a load goes on without the event
            func.opening.pop(host, None)
        if fate == io.HANDLED:
            if copy == 2 and stood:
                func.copies = {}
            func.told(host, crowd, now)
        elif fate == io.FULL and stood:
            func.told(host, crowd, now)
        elif fate == io.FULL:
            func.refused[host], host.tight = now + self.gate.load, now
        elif fate in (io.MISSING, io.NO_CONNECTION, io.LOST):
            func.copies.pop(host, None)


class Host(Actor):
    """One worker as this gateway sees it: its own launches' fates first, the list second."""

    def __init__(self, gate, row):
        super().__init__(gate.loop)
        self.gate, self.id, self.zone, self.cell = gate, row.host, row.zone, row.cell
        self.state, self.out = None, {}           # launches out, oldest first; each leaves with its outcome
        self.reset(row.since)

    def reset(self, since):
        """A process that starts anew has an empty memory and a clean slate."""
        self.since, self.heard, self.strikes, self.shut, self.probing = since, 0.0, 0, 0.0, False
        self.sheds = False
        self.others = Tally()       # events of other gateways here, as answers tell
        self.pace, self.crowd, self.full = Mean(0.0, 0.1), 1.0, Tally()
        self.tried = self.gate.now - self.gate.chance() * self.gate.deed.gateways * self.gate.mean()
        self.tight = -1e18          # when it last had no room for a copy
        self.credit, self.credited = self.gate.chance(), self.gate.now      # of rule 4, while cold

    def listed(self, state, since):
        if since != self.since and state == io.READY:
            self.reset(since)
        self.state = state

    def level(self, now):
        """The share of its full capacity that a host has at least."""
        deed = self.gate.deed
        age = max(0.0, now - self.since) / (deed.cold or 1.0) if self.since else 1.0
        return min(1.0, deed.cold_from + (1 - deed.cold_from) * age)

    def room(self, now):
        """Rule 4, by this gateway alone: its part of what a warm host bears, times the cold one's level and
        the rule's multiple, less a margin, is earned with time, and each launch costs one. It starts with
        less than one, by chance, so that the parts of many gateways add up to no more than the whole.
        It harms where most of the traffic is this gateway's."""
        level = self.level(now)
        if level >= 1.0 or not self.gate.deed.fall:
            return True
        rate = self.gate.deed.budget * level * self.gate.borne()
        most = max(1.0, rate * self.gate.deed.fall / 2)
        self.credit = min(most, self.credit + rate * (now - self.credited))
        self.credited = now
        return self.credit >= 1.0

    def ready(self, now, part=0.0):
        """The one notion of ready, for this part (0 to 1) of its range; what fails it hands the range on.
        A cold host takes its range back bit by bit as it warms, the same bits at every gateway."""
        if self.state != io.READY or part > self.level(now) or not self.room(now):
            return False
        bad = self.shut > now or self.probing or self.strikes > 1 and self.out
        return self.gate.blind or not bad

    def holds(self, func, now):
        seen = func.copies.get(self)
        return seen is not None and seen.at > self.since and now - seen.at < self.gate.deed.linger

    def roomy(self):
        return self.gate.now - self.tight > self.gate.deed.linger

    def load(self):
        """Own events out here and, as far as they were told and have not aged away, those of others."""
        return len(self.out) + round(self.others.read(self.gate.now), 1)

    def wait(self, func):
        """The time that an event sent now is predicted to take, by its own answers and its own events out."""
        since = [t.sent if t.evt.func is func else max(t.sent, self.heard) for t in self.out if t.stood]
        pace = max(self.mean(), self.gate.now - min(since, default=self.gate.now),
                   self.gate.deed.target * self.full.read(self.gate.now))
        return pace * (len(self.out) + 1 + OTHERS) / (self.crowd + OTHERS)

    def mean(self):
        """The host's mean answer time; what it told last ages towards the mean of all hosts."""
        told = 0.5 ** ((self.gate.now - self.pace.at) / (2 * WINDOW))
        return (1 - told) * self.gate.mean() + told * self.pace.value

    def sent(self, launch, now):
        self.out[launch] = self.tried = now
        self.crowd += 0.1 * (max(1, len(self.out)) - self.crowd)
        self.credit -= 1.0

    def busy(self):
        """T1 and T2. A full answer counts as T2 and ages."""
        t2 = max(3.0, PATIENCE * self.gate.deed.target / self.gate.brisk)
        out = len(self.out) + self.full.read(self.gate.now) * t2
        self.sheds = out >= t2 or self.sheds and out >= 0.6 * t2
        return self.sheds

    def back(self, launch, note, now):
        self.out.pop(launch, None)
        if note.fate in (io.HANDLED, io.FULL, io.ERROR, io.MISSING):
            self.heard = now
        if note.fate in (io.HANDLED, io.FULL):
            held = max(self.others.read(now), note.crowd) if note.held is None else note.held
            self.others = Tally(now, max(0.0, held - len(self.out)))
        if note.fate == io.HANDLED:
            self.strikes = 0
            if note.copy in (0, 1):
                self.pace.value = self.mean()
                self.pace.tell(now, note.took)
        elif note.fate == io.FULL and launch.stood:
            self.full = Tally(now, 1.0)
        elif note.fate in (io.NO_ANSWER, io.RECALLED) and launch.stood and note.took > self.mean():
            self.pace.value = self.mean()       # who left unanswered tells that answers take at least so long
            self.pace.tell(now, note.took)
        elif note.fate in (io.ERROR, io.LOST) and note.copy != 4:
            self.strike(1, now)
        elif note.fate == io.NO_CONNECTION or note.fate == io.NO_ANSWER and self.heard < launch.sent:
            self.strike(2, now)

    def strike(self, weight, now):
        """Bad fates in a row shut a host for a time that doubles: dead, cut off, failing, connections spent.
        One good answer ends it. It harms when one host alone holds the copies and fails by chance."""
        self.strikes += weight
        if self.strikes > 1:
            self.shut = now + 250 * 2 ** min(self.strikes, 4) * (1 + self.gate.chance())

    def sweep(self, now):
        """Silence: launches out to standing copies and nothing heard shows a host that stalls or is cut off
        while listed as running. It is asked by a probe; without an answer its events are taken back."""
        patience = max(250.0, 4 * self.mean())
        silent = any(now - max(sent, self.heard) > patience + (0 if launch.stood else 3 * self.gate.load)
                     for launch, sent in self.out.items() if not launch.evt.streams)
        if not self.probing and (silent or self.strikes > 1 and self.shut <= now):
            self.probing = self.gate.deed.probes
            if self.probing:
                self.gate.actions.append(io.Probe(self.id))
            elif silent:
                self.probed(io.NO_ANSWER, now)

    def probed(self, fate, now):
        self.probing = False
        if fate == io.HANDLED:
            self.heard, self.strikes, self.shut = now, 0, 0.0
        elif fate != io.FULL:
            self.strike(2, now)
            for launch in self.out:
                self.gate.post("take_back", launch)


class Zone(Actor):
    """The Zone Table: equal ranges over the sorted ids of all listed hosts. A newcomer takes the range of one
    that drains or is gone; to cut all anew would move most functions, so only what lasts long does that."""

    def __init__(self, gate):
        super().__init__(gate.loop)
        self.gate, self.slots, self.even, self.calm = gate, [], 0.0, 0.0

    def relist(self, now):
        listed = sorted((h for h in self.gate.hosts.values() if h.state != io.GONE), key=lambda h: h.id)
        new = [h for h in listed if h not in self.slots and h.state == io.READY]
        for i, host in enumerate(self.slots):
            if new and host.state != io.READY:
                self.slots[i] = new.pop(0)
        if not self.slots or now - self.even > (RECUT / 4 if new else RECUT):
            self.slots, new = listed, []
        if not new and all(h.state != io.GONE for h in self.slots):
            self.even = now

    def heir(self, pos, fits):
        """The owner of this place in the id space, or the next ready one in order."""
        now, (part, first) = self.gate.now, modf(pos * len(self.slots))
        for bar in (part, 0.0, None):       # None: not ready, but at least not shut
            for i in range(len(self.slots)):
                host = self.slots[(int(first) + i) % len(self.slots)]
                if (host.shut <= now if bar is None else host.ready(now, bar)) and fits(host):
                    return host
        return None

    def choose(self, evt):
        """The design's path, then its exceptions: the host, and one to order a copy at, if any."""
        func, now, gate = evt.func, self.gate.now, self.gate
        been = [t.host for t in evt.tries if t.fate != io.MISSING]

        def fits(host):
            return host not in been and func.refused.get(host, 0) <= now and gate.may(evt, host)

        home = self.heir(func.home, fits)
        if home is None:
            return None, None
        second = self.heir(func.second(), lambda h: h is not home and fits(h)) or home
        hot = gate.history.hot(func) and (second.roomy() or second.holds(func, now))
        pick = second if hot and (home.busy() or second.load() < home.load()) else home
        # Past the pair (both at T2, or predicted late): the fewest out in time where a copy stands.
        late = SURE * evt.clause.target

        def rank(host):
            return host.busy() or host.wait(func) > late, host.load(), host.wait(func), host.id

        stand = [h for h in func.copies if h.holds(func, now) and h.ready(now) and fits(h)]
        if stand and (pick.busy() or pick.wait(func) > late):
            pick = min([pick, *stand], key=rank)
        if not pick.holds(func, now) and (gate.deed.orders or pick in func.opening):
            spare = min(stand, key=rank, default=None)
            if spare and not spare.busy():
                return spare, pick  # nobody waits behind a load while a copy stands: one opens the new copy
        if pick.wait(func) > late and now > self.calm:
            pick = self.heir(func.home, lambda h: h.wait(func) < late / 2 and h.roomy() and fits(h)) or pick
            self.calm = now + gate.load
        return pick, None


class Deed:
    """The few figures that decisions use, drawn from the lease."""

    def __init__(self, lease):
        self.me, self.gateways, self.asks, self.twice = lease.me, lease.gateways, lease.asks, lease.twice
        self.launches, self.recalls, self.probes = min(lease.launches, 1 + FURTHER), lease.recalls, lease.probes
        self.cold_from, self.cold, self.fall, self.advice = lease.cold_from, lease.cold, lease.fall, lease.advice
        self.budget = 0.6 * lease.fall_multiple     # of rule 4, less a margin for chance
        self.linger, self.orders, self.misses = lease.linger or LINGER, lease.orders, lease.misses
        self.ration = (lease.loads_free, lease.loads_share, lease.loads_within)
        self.target = min(c.target for c in lease.clauses)
        self.clauses = {c.name: c for c in lease.clauses}
        self.customers = {p.name: Customer(p.per_second / lease.gateways / 1000) for p in lease.parties}


class Gateway(Actor):
    """The door, the gate that every send passes, and the loop."""

    def __init__(self, lease):
        super().__init__(deque())
        self.deed, self.seed, self.drawn, self.now = Deed(lease), lease.seed, 0, 0.0
        self.pace, self.brisk = Mean(self.deed.target / 4, 0.02), self.deed.target / 10     # three in ten quicker
        self.load, self.blind, self.actions = 1000.0, False, []
        self.events, self.hosts = {}, {}        # dropped when over; dropped when gone and nothing is out
        self.history, self.zone, self.others = History(self), Zone(self), Customer()
        self.handled, self.ordered, self.taken = Tally(), deque(), deque()  # of rule 4; times of rule 5

    def start(self, now):
        self.now, self.next_window, self.actions = now, now + WINDOW, []
        self.ring(SWEEP * (1 + self.chance()), "sweep")
        if self.deed.asks:
            self.actions.append(io.Subscribe())
        return self.actions

    def take(self, now, note):
        self.now, self.actions = now, []
        getattr(self, type(note).__name__.lower())(note)
        while self.loop:
            actor = self.loop.popleft()
            note, what = actor.inbox.popleft()
            getattr(actor, note)(*what)
        return self.actions

    def mean(self):
        """The mean answer time of all hosts. A few slow hosts do not make all seem late, as an answer counts
        for twice the mean at most; and without answers it ages to what it was at first, so that a gateway
        that takes nothing does not go on so."""
        told = 0.5 ** ((self.now - self.pace.at) / (2 * WINDOW))
        return (1 - told) * self.deed.target / 4 + told * self.pace.value

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    def ring(self, later, token):
        self.actions.append(io.Ring(self.now + later, token))

    # ---- the door: ids become objects
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
        func = self.history.functions[name] = self.history.functions.get(name) or Function(name, self.deed.me)
        evt = Event(note, self.deed.clauses[note.clause], func, self.deed.customers.get(note.party, self.others))
        self.events[evt.id] = evt
        func.open, func.lanes = func.open + 1, max(1, int(note.lanes))
        evt.customer.calls.add(self.now, 1.0)
        if self.deed.ration[2]:
            self.taken.append(self.now)
        self.history.post("called", func)
        self.post("route", evt)

    def underway(self, note):
        if note.event in self.events:
            self.events[note.event].streams = True

    def outcome(self, note):
        evt = self.events.get(note.event)
        if evt is not None:
            launch = evt.tries[note.launch]
            launch.fate = note.fate
            if note.fate == io.FULL and (note.crowd or launch.host.full.read(self.now) > 0.25):
                launch.stood = True         # its queue is full, not its memory
            launch.host.post("back", launch, note, self.now)
            self.history.post("tells", evt.func, launch.host, note.fate, note.copy, launch.stood, note.crowd)
            self.post("landed", evt, launch, note)

    def clientleft(self, note):
        evt = self.events.get(note.event)
        if evt is not None:
            evt.over = True
            self.post("close", evt)

    def wake(self, note):
        self.actions.append(io.Subscribe()) if note.token == "ask" else self.post("sweep")

    def probed(self, note):
        if note.host in self.hosts:
            self.hosts[note.host].post("probed", note.fate, self.now)

    def loaded(self, note):
        func, host = self.history.functions.get(note.function), self.hosts.get(note.host)
        if not func or not host:
            return
        stood = note.fate == io.HANDLED and note.copies > 0
        self.history.post("tells", func, host, note.fate, 0, False, 0)
        while func.waiting:
            self.post("route" if stood else "give_up", func.waiting.pop(0))

    def route(self, evt):
        """Takes an event only if it is predicted in time."""
        if evt.over:
            return
        host, open_at = self.zone.choose(evt)
        if open_at is not None:
            self.order(evt.func, open_at)
        if host is not None and (evt.tries or self.in_time(evt, host)):
            return self.launch(evt, host)
        evt.customer.strain.add(self.now, float(host is not None))
        self.give_up(evt)

    def in_time(self, evt, host):
        """Overload of any cause shows in the wait that a host's own answers predict. What is beyond its
        customer's share yields at half of it."""
        wait, begun = host.wait(evt.func), evt.func.opening.get(host)
        wait *= 2 if evt.customer.beyond(self.now) and evt.customer.overloaded(self.now) else 1
        if begun is not None and not host.holds(evt.func, self.now):
            # Behind a load: it is held to go on as long again; past the target time only a few wait there.
            wait += max(self.load + begun - self.now, self.now - begun)
            few = sum(t.evt.func is evt.func for t in host.out) < WAITERS
            return wait <= (evt.until - self.now if few else evt.clause.target)
        # One at a time from all gateways goes to a host though it seems late, to see whether it still is.
        stale = self.now - max(host.pace.at, host.tried) > self.deed.gateways * self.mean()
        return wait <= min(SURE * evt.clause.target, evt.until - self.now) or not host.out and stale

    def may(self, evt, host):
        """The gate: what the rules say of a launch of this event to this host now."""
        if evt.over or evt.streams or self.now >= evt.until or len(evt.tries) >= self.deed.launches:
            return False                                                        # rule 1
        if host.state != io.READY or not host.room(self.now):
            return False                                                        # rules 3 and 4
        if not self.deed.twice and evt.out():
            return False
        ran = evt.may_have_run()
        if not ran or evt.clause.kind == io.REDELIVERABLE:
            return True                                                         # rule 2 from here
        if evt.clause.kind == io.AT_MOST_ONCE:
            return False
        first, group = ran[0], evt.clause.group
        same = group == "all" or getattr(host, group) == getattr(first.host, group)
        return same and self.now - first.sent < 0.8 * evt.clause.memory

    def launch(self, evt, host):
        if not self.may(evt, host):
            return self.give_up(evt)
        launch = Try(evt, host, self.now)
        evt.tries.append(launch)
        self.actions.append(io.Launch(evt.id, host.id, 0.0))
        host.post("sent", launch, self.now)
        if not launch.stood:
            self.history.post("opens", evt.func, host)

    def landed(self, evt, launch, note):
        if note.fate == io.HANDLED:
            self.handled.add(self.now, 1.0)
            if note.copy in (0, 1):
                self.pace.value = self.mean()
                self.pace.tell(self.now, min(note.took, 2 * self.pace.value))
                self.brisk *= 1.006 if note.took > self.brisk else 0.986
            self.load += 0.1 * (note.took - self.load) if note.copy == 2 else 0
        elif note.fate == io.FULL:
            evt.customer.strain.add(self.now, float(launch.stood))
        elif note.fate == io.NO_ANSWER and not launch.stood:
            self.load += 0.1 * max(0.0, note.took - self.load)
        evt.over = evt.over or note.over
        if evt.over or evt.streams or evt.out():
            self.close(evt)
        elif note.fate == io.MISSING and self.deed.misses and self.order(evt.func, launch.host):
            evt.func.waiting.append(evt)
        elif evt.customer.overloaded(self.now):
            self.give_up(evt)
        else:
            self.post("route", evt)

    def take_back(self, launch):
        """A launch to a silent host is recalled so that another may follow; never one that could harm."""
        evt = launch.evt
        plain = launch.fate is None and evt.clause.kind == io.REDELIVERABLE and not evt.streams
        useful = evt.over or len(evt.tries) < self.deed.launches and not evt.customer.overloaded(self.now)
        if self.deed.recalls and plain and useful:
            self.actions.append(io.Recall(evt.id, evt.tries.index(launch)))

    def give_up(self, evt):
        """The one place of final answers: at once, and a deferral only where a repeat is harmless."""
        if evt.over:
            return
        ran, clause = evt.may_have_run(), evt.clause
        young = not ran or self.now - ran[0].sent < 0.5 * clause.memory
        drops = clause.kind == io.KEYED and clause.group == "all" and young
        evt.over, advice = True, min(self.deed.advice, max(self.mean(), 100.0)) * (1 + self.chance()) / 2
        harmless = not ran or drops or clause.kind == io.REDELIVERABLE
        self.actions.append(io.Defer(evt.id, advice) if harmless else io.DeadLetter(evt.id))
        self.close(evt)

    def close(self, evt):
        """What is still out for an event that is over is recalled; then the event is forgotten."""
        if not evt.over:
            return
        for launch in evt.out():
            self.post("take_back", launch)
        if not evt.out() and self.events.pop(evt.id, None):
            evt.func.open -= 1

    def order(self, func, host, copies=1):
        free, share, within = self.deed.ration      # the gate of orders to load
        if not self.deed.orders or host.state != io.READY:
            return False
        if host in func.opening:
            return True
        if within:
            self.forget(self.ordered, 1.01 * within)    # both err on the safe side
            self.forget(self.taken, 0.99 * within)
            if len(self.ordered) + 1 > free + share * len(self.taken):
                return False
            self.ordered.append(self.now)
        self.actions.append(io.Order(func.name, host.id, copies))
        self.history.post("opens", func, host)
        return True

    def forget(self, times, within):
        while times and times[0] <= self.now - within:
            times.popleft()

    def borne(self):
        """Events a ms that a warm host bears from this gateway: at least its part of one at a time."""
        own = self.handled.read(self.now) / (1.44 * WINDOW * max(1, len(self.zone.slots)))
        return max(own, 1 / (self.deed.gateways * self.mean()))

    def sweep(self):
        now = self.now
        self.ring(SWEEP, "sweep")
        self.forget(self.taken, 0.99 * self.deed.ration[2])
        bad = 0
        for host in self.hosts.values():
            if (host.out or host.strikes) and host.state == io.READY:
                host.post("sweep", now)
                bad += host.shut > now or host.probing
        # When most hosts look bad it is likelier this gateway's own sight: then none is held to be.
        self.blind = bad * 2 > sum(h.state == io.READY for h in self.zone.slots)
        if self.deed.misses:
            for func in self.history.functions.values():
                for evt in [e for e in func.waiting if e.over or e.until - now < 2 * self.mean()]:
                    func.waiting.remove(evt)
                    self.post("give_up", evt)
        if now >= self.next_window:
            self.next_window = now + WINDOW
            self.history.post("window", now)
            self.hosts = {h.id: h for h in self.hosts.values()
                          if h.state != io.GONE or h.out or h in self.zone.slots}
            self.zone.post("relist", now)
