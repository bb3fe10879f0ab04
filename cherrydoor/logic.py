"""The decisions of one gateway: hashed homes, second workers, overflow, and what guards them.

Called as gate = Gateway(lease), actions = gate.start(now), then actions = gate.take(now, note) for each note,
now being the batch clock in ms. All types are in cherrydoor/interface.py. Every part is an actor whose inbox
one loop empties; others may look at it. Ids are used only at the door.
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
OTHERS = 2              # others' events held to be at a host when own ones are compared to the usual
DEAF = 4000             # time for which a host is first held to be deaf to an event type
FADED = 100             # answers after which what they told has faded by two thirds
SWEEP = 100             # how often hosts look at their own silence
SURE = 0.75             # share of the target time that a predicted wait may fill, as predictions err
FURTHER = 2             # further launches for one event
MARGIN = 0.9            # of the multiple in rule 4, for chance
LEAST = 1.5             # a cold host owns this many times what it can do at least, as few start at the least
SPREAD = 3              # how often a place that a cold host cannot bear is spread anew
KEPT = 5                # events in the idle time of a copy: by chance none comes in one idle time of 150
RECUT = 60000           # a vacancy of this length, or a host left over for a quarter of it, recuts the ranges
LINGER = 6000           # an idle copy is believed to stand for so long, where nothing is said


class Tally:
    """A figure that halves each window towards a rest, so that what it tells ages by itself."""

    def __init__(self, at=0.0, value=0.0, half=WINDOW):
        self.at, self.value, self.half = at, value, half

    def read(self, now, rest=0.0):
        return rest + 0.5 ** ((now - self.at) / self.half) * (self.value - rest)

    def add(self, now, what):
        self.at, self.value = now, self.read(now) + what

    def mean(self, now, figure, least, rest):
        """As a mean: the longer nothing was told, the more the next figure counts."""
        part, old = max(least, 1 - 0.5 ** ((now - self.at) / WINDOW)), self.read(now, rest)
        self.at, self.value = now, old + part * (figure - old)


class Actor:
    def __init__(self, loop):
        self.loop, self.inbox = loop, deque()

    def post(self, note, *what):
        self.inbox.append((note, what))
        self.loop.append(self)


class Customer:
    """One customer's calls and strain, apart, so that its clients' repeats are not overload for others."""

    def __init__(self, part=1.0):
        self.part, self.calls, self.strain = part, Tally(), Tally()

    def overloaded(self, now):
        return self.strain.read(now) > 2 + 0.1 * self.calls.read(now)

    def beyond(self, now):      # an equal part of its share
        return self.calls.read(now) > 2 * WINDOW * self.part


class Ear:
    """What a host lets hear of one event type; it goes with the host's process. Guards against hosts that
    leave one unanswered, also answers lost at random; harms when a slow event is overtaken at a well host."""

    def __init__(self):
        self.heard, self.struck, self.strikes, self.shut = 0.0, 0.0, 0, 0.0


class Try:
    """One launch of an event: fate is None while it is out; stood tells if a copy was known to stand, silent
    that it is held to be lost at a host that answers other things."""

    def __init__(self, evt, host, now):
        self.evt, self.host, self.sent, self.fate = evt, host, now, None
        self.stood = self.warm = host.holds(evt.func, now)
        self.silent = False


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
        self.work, self.lanes, self.groups = Tally(), 1, 1
        self.copies = {}        # host -> when a copy was last known to stand; History.window drops the old
        self.opening = {}       # host -> since when a load begun by this gateway is waited for
        self.refused = {}       # host -> until when it is held to have no room for a copy
        self.drawn: tuple[int, list] = (0, [])      # groups, and the places hashed for them

    def place(self, key):
        return int.from_bytes(sha1(key.encode()).digest()[:8], "big") / 2.0**64

    def second(self):
        """Hashed from function and gateway number, folded to as many groups as the work at once calls for."""
        return self.place(f"{self.name}/{self.me % self.groups}")

    def seconds(self):
        """Places of the own second worker and of up to four others: of the lower half of the groups, which
        gateways that go by half as many use, too."""
        if self.drawn[0] != self.groups:
            half = max(1, self.groups // 2)
            folds = [self.me % self.groups, *((self.me + i) % half for i in range(4))]
            self.drawn = self.groups, [self.place(f"{self.name}/{k}") for k in dict.fromkeys(folds)]
        return self.drawn[1]

    def told(self, host, crowd, own, now):
        """The crowd times the hosts that share it is the work at once: a group for half a copy's lanes.
        Where no crowd is told, own calls stand in: by the time that one takes and the number of gateways."""
        self.copies[host] = now
        self.work.mean(now, own if crowd is None else crowd * (1 + self.groups), 0.2, self.work.value)
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
        for func in self.functions.values():
            func.count /= 2 if halve else 1
            func.copies = {h: t for h, t in func.copies.items() if h.holds(func, now)}
            func.opening = {h: t for h, t in func.opening.items() if now - t < 4 * self.gate.load}
            func.refused = {h: t for h, t in func.refused.items() if t > now}
        self.functions = {n: f for n, f in self.functions.items() if f.count >= 0.5 or f.open}
        most = sorted((f.count for f in self.functions.values()), reverse=True)[:FEW]
        self.bar = most[-1] if len(most) == FEW else 0.0

    def hot(self, func):
        """Most-called here, and with work at once, by answers or by own calls beyond what may be chance."""
        sure = (func.count - 2 * func.count ** 0.5) / (2 * self.span) * self.gate.deed.gateways
        return func.count >= self.bar and max(func.work.value, sure * self.gate.brisk) >= BUSY

    def own(self, func):
        """The work at once of a function, were all gateways called as this one is."""
        return func.count / (1.5 * self.span) * 2 * self.gate.brisk * self.gate.deed.gateways

    def called(self, func):
        func.count, self.calls = func.count + 1, self.calls + 1

    def tells(self, func, host, note, stood):
        """A load where a copy was known to stand: released anew or swept out; no other is believed in."""
        now, fate = self.gate.now, note.fate
        if fate not in (io.NO_ANSWER, io.RECALLED):     # then a load goes on without the event
            func.opening.pop(host, None)
        if fate == io.HANDLED and stood and note.copy == 2:
            func.copies = {}
        if fate == io.HANDLED or fate == io.FULL and stood:
            own = func.work.value if stood is None else self.own(func)      # an order tells of no calls
            func.told(host, note.crowd, own, now)
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
        self.since, self.heard, self.strikes, self.shut, self.struck = since, 0.0, 0, 0.0, 0.0
        self.passed = 0.0           # when the latest of the answered events was sent
        self.probing = self.sheds = False
        self.ears = {}              # event type -> Ear, no more than there are types
        self.pace, self.crowd = Tally(half=2 * WINDOW), 1.0     # mean answer time, usual own events out
        self.others, self.full, self.tight = Tally(), Tally(), -1e18   # as answers tell; when short of memory
        self.tried = self.gate.now - self.gate.chance() * self.gate.deed.gateways * self.gate.mean()
        self.credit, self.credited = self.gate.chance(), self.gate.now      # of rule 4, while cold

    def listed(self, state, since):
        if since != self.since and state == io.READY:
            self.reset(since)
        self.state = state

    def level(self, now):
        """The share of its full capacity that a host has at least."""
        age = max(0.0, now - self.since) / (self.gate.deed.cold or 1.0) if self.since else 1.0
        return min(1.0, self.gate.deed.cold_from + (1 - self.gate.deed.cold_from) * age)

    def room(self, now):
        """Rule 4: this gateway's part of what a warm host bears, times level and multiple, is earned with
        time; a launch costs one. It begins below one, by chance, so that all parts add up to the whole."""
        level, deed = self.level(now), self.gate.deed
        if level >= 1.0 or not deed.fall:
            return True
        rate = deed.budget * level * self.gate.borne()
        earned = self.credit + rate * (now - self.credited)
        self.credit, self.credited = min(earned, max(1.0, rate * deed.fall / 2)), now
        return self.credit >= 1.0

    def ready(self, now, part=0.0, clause=None):
        """What fails this hands the range on; a cold host takes it back by parts, alike at all gateways."""
        bad = self.shut > now or self.probing or self.strikes > 1 and self.out
        fit = self.state == io.READY and part <= LEAST * self.level(now) and self.room(now)
        return fit and (self.gate.blind or not bad) and not self.deaf(clause, now)

    def deaf(self, clause, now):
        """To one event type alone; once its time is over one event at a time tries it."""
        ear = self.ears.get(clause and clause.name)
        return ear is not None and (ear.shut > now or ear.strikes > 0 and any(
            t.evt.clause is clause for t in self.out))

    def holds(self, func, now):
        seen = func.copies.get(self, self.since)
        return seen > self.since and now - seen < self.gate.deed.linger

    def roomy(self):
        return self.gate.now - self.tight > self.gate.deed.linger

    def load(self):
        """Own events out here and, as far as they were told and have not aged away, those of others."""
        return len(self.out) + round(self.others.read(self.gate.now), 1)

    def wait(self, func):
        """The time that an event sent now is predicted to take, by its own answers and its own events out."""
        now, full = self.gate.now, self.full.read(self.gate.now)
        since = [t.sent if t.evt.func is func else max(t.sent, self.heard)
                 for t in self.out if t.stood and not t.silent]
        pace = max(self.mean(), now - min(since, default=now), full * self.gate.deed.target)
        own = pace * (len(self.out) + 1 + OTHERS) / (self.crowd + OTHERS)
        return max(own, self.gate.each * (self.load() + 1) if now - self.others.at < WINDOW else 0.0)

    def mean(self):
        return self.pace.read(self.gate.now, self.gate.mean())

    def sent(self, launch, now):
        self.out[launch] = self.tried = now
        self.crowd += 0.1 * (max(1, len(self.out)) - self.crowd)
        self.credit -= 1.0

    def busy(self):
        """T1 and T2, as shares of T2. A full answer counts as T2 and ages."""
        t2 = max(3.0, PATIENCE * self.gate.deed.target / self.gate.brisk)
        usual = self.gate.waited / FADED        # the mean answer time, as faded sums have it
        told = self.load() * self.gate.each / max(PATIENCE * self.gate.deed.target, 1.5 * usual)
        out = max(len(self.out) / t2, told) + self.full.read(self.gate.now)
        self.sheds = out >= (0.6 if self.sheds else 1.0)
        return self.sheds

    def back(self, launch, note, now):
        self.out.pop(launch, None)
        long = note.took > self.patience(launch)        # before what it teaches of the mean
        if note.fate in (io.HANDLED, io.FULL, io.ERROR, io.MISSING):
            held = max(self.others.read(now), note.crowd or 0) if note.held is None else note.held
            self.heard, self.others = now, Tally(now, max(0.0, held - len(self.out)), 2 * WINDOW)
        ear = self.ears.setdefault(launch.evt.clause.name, Ear())
        if note.fate == io.NO_ANSWER and self.unheard(launch, ear, now):
            self.strike_ear(launch, ear, now)
        elif note.fate in (io.HANDLED, io.ERROR):
            self.passed = max(self.passed, launch.sent)
            ear.heard, ear.strikes, ear.shut = now, ear.strikes // 2, 0.0
        left = note.fate in (io.NO_ANSWER, io.RECALLED) and launch.stood and note.took > self.mean()
        left = left and not launch.silent
        if left or note.fate == io.HANDLED and launch.warm:     # what left unanswered tells, too
            self.pace.mean(now, note.took, 0.1, self.gate.mean())
        if note.fate == io.HANDLED:
            self.strikes, self.shut = 0, 0.0
        elif note.fate == io.FULL and launch.stood:
            self.full = Tally(now, 1.0)
        elif note.fate in (io.ERROR, io.LOST) and note.copy != 4:
            self.strike(1, now, launch.sent)
        elif note.fate == io.NO_CONNECTION or note.fate == io.NO_ANSWER and (
                long and self.heard < launch.sent):
            self.strike(2, now, launch.sent)

    def strike(self, weight, now, sent):
        """Bad fates in a row shut a host for a time that doubles; one good answer ends it. What was out
        together counts once: guards against a host long shut for one moment; harms where single ones fail."""
        if sent < self.struck:
            return
        self.strikes, self.struck = self.strikes + weight, now
        if self.strikes > 1:
            self.shut = now + 250 * 2 ** min(self.strikes, 4) * (1 + self.gate.chance())

    def patience(self, launch):
        """Silence that tells of the host. Guards against clients that wait for less, whose launches are cut
        while the host works; harms where all do: a dead host is then found by refused connections alone."""
        return max(250.0, 4 * self.mean()) + (0 if launch.stood else 3 * self.gate.load)

    def sweep(self, now):
        """Silence shows a host that stalls or is cut off: it is probed, else its events are taken back.
        Answers to other event types show no more than that it runs: each type has an ear of its own."""
        for launch in self.out:
            ear = self.ears.setdefault(launch.evt.clause.name, Ear())
            if not launch.evt.streams and self.unheard(launch, ear, now):
                self.strike_ear(launch, ear, now)
                self.gate.post("take_back", launch)
        silent = any(now - max(sent, self.heard) > self.patience(launch)
                     for launch, sent in self.out.items() if not launch.evt.streams)
        ask = not self.probing and (silent or self.strikes > 1 and self.shut <= now)
        if ask and self.gate.deed.probes:
            self.probing = True
            self.gate.actions.append(io.Probe(self.id))
        elif ask and silent:
            self.probed(io.NO_ANSWER, now)

    def unheard(self, launch, ear, now):
        """Out for long, nothing of its type was answered since, and events sent after it were."""
        waits = max(250.0, 4 * self.mean()) * (1 if ear.strikes else 2)
        waits += 0 if launch.stood else 1.5 * self.gate.load
        return self.passed > launch.sent and now - max(launch.sent, ear.heard) > waits

    def strike_ear(self, launch, ear, now):
        launch.silent = True
        if launch.sent > ear.struck:
            ear.struck, ear.strikes = now, ear.strikes + 1
            lost, all_ = self.gate.losses[launch.evt.clause.name]
            lost.add(now, 1.0)
            sure = (1 + 20 * lost.read(now) / (20 + all_.read(now))) * 4 ** (ear.strikes - 1)
            ear.shut = now + DEAF * min(10, sure) * (0.75 + self.gate.chance() / 2)

    def probed(self, fate, now):
        self.probing = False
        if fate == io.HANDLED:
            self.heard, self.strikes, self.shut = now, 0, 0.0
        elif fate != io.FULL:
            self.strike(2, now, now)
            for launch in self.out:
                self.gate.post("take_back", launch)


class Zone(Actor):
    """The Zone Table: equal ranges over the sorted ids. A newcomer takes a vacancy; a long one cuts anew."""

    def __init__(self, gate):
        super().__init__(gate.loop)
        self.gate, self.slots, self.even, self.calm = gate, [], 0.0, 0.0

    def relist(self, now):
        listed = sorted((h for h in self.gate.hosts.values() if h.state != io.GONE), key=lambda h: h.id)
        new = [h for h in listed if h not in self.slots and h.state == io.READY]
        self.slots = [new.pop(0) if new and h.state != io.READY else h for h in self.slots]
        if not self.slots or now - self.even > (RECUT / 4 if new else RECUT):
            self.slots, new = listed, []
        if not new and all(h.state != io.GONE for h in self.slots):
            self.even = now

    def heir(self, pos, fits, clause=None):
        """The owner of this place in the id space, or the next ready one in order. What a cold owner cannot
        bear is spread over all others by the place's lower bits: its neighbour would bear two ranges."""
        now, (part, first) = self.gate.now, modf(pos * len(self.slots))
        for _ in range(SPREAD if self.slots else 0):
            if part <= LEAST * self.slots[int(first)].level(now):
                break
            pos = modf(pos * 4096)[0]
            part, first = modf(pos * len(self.slots))
        for bar in (part, 0.0, None):       # None: not ready, but at least not shut
            for i in range(len(self.slots)):
                host = self.slots[(int(first) + i) % len(self.slots)]
                if (host.shut <= now if bar is None else host.ready(now, bar, clause)) and fits(host):
                    return host
        return None

    def kept(self, func):
        """Where all gateways' calls are held to keep a copy, though this one saw none there. Guards against
        orders and waits of each gateway for copies that long stand; harms where hosts are short of memory, or
        a copy was swept out by others' calls: events then wait for a load there. Never at a cold host."""
        gate, n = self.gate, len(self.slots)
        calls = func.work.value * gate.deed.linger / gate.mean() / (1 + func.groups)
        if calls <= KEPT or gate.deed.gateways < 2 or not n:
            return []
        more = func.work.value >= BUSY and gate.deed.gateways > 2 * func.groups     # or there are no seconds
        places = [func.home, *(func.seconds() if more else ())]
        return [h for h in (self.slots[int(p * n)] for p in places) if h.level(gate.now) >= 1.0]

    def choose(self, evt):
        """The design's path, then its exceptions: the host, and one to order a copy at, if any."""
        func, now, gate = evt.func, self.gate.now, self.gate
        been = [t.host for t in evt.tries if t.fate != io.MISSING]

        def fits(host):
            return host not in been and func.refused.get(host, 0) <= now and gate.may(evt, host)

        home = self.heir(func.home, fits, evt.clause)
        if not home:
            return None, None
        second = self.heir(func.second(), lambda h: h is not home and fits(h), evt.clause) or home
        hot = gate.history.hot(func) and (second.roomy() or second.holds(func, now))
        pick = second if hot and (home.busy() or second.load() < home.load()) else home
        late = SURE * evt.clause.target     # past the pair, at T2 or late: the fewest where a copy stands

        def rank(host):
            return host.busy() or host.wait(func) > late, host.load(), host.wait(func), host.id

        known = dict.fromkeys([*(h for h in func.copies if h.holds(func, now)), *self.kept(func)])
        stand = [h for h in known if h.ready(now, 0.0, evt.clause) and fits(h)]
        if stand and (pick.busy() or pick.wait(func) > late):
            pick = min([pick, *stand], key=rank)
        spare, opens = min(stand, key=rank, default=None), gate.deed.orders or pick in func.opening
        if spare and not spare.busy() and pick not in known and opens:
            return spare, pick      # nobody waits behind a load while a copy stands: one opens the new copy
        if pick.wait(func) > late and now > self.calm and not evt.customer.overloaded(now):
            pick = self.heir(func.home, lambda h: h.wait(func) < late / 2 and h.roomy() and fits(h),
                             evt.clause) or pick
            self.calm = now + gate.load
        return pick, None


class Deed:
    """The few figures that decisions use, drawn from the lease."""

    def __init__(self, lease):
        self.me, self.gateways, self.asks, self.twice = lease.me, lease.gateways, lease.asks, lease.twice
        self.launches, self.advice = min(lease.launches, 1 + FURTHER), lease.advice
        self.recalls, self.probes = lease.recalls, lease.probes
        self.cold_from, self.cold, self.fall = lease.cold_from, lease.cold, lease.fall
        self.linger, self.orders, self.misses = lease.linger or LINGER, lease.orders, lease.misses
        self.ration = (lease.loads_free, lease.loads_share, lease.loads_within)
        self.budget, self.target = MARGIN * lease.fall_multiple, min(c.target for c in lease.clauses)
        self.clauses = {c.name: c for c in lease.clauses}
        self.customers = {p.name: Customer(p.per_second / lease.gateways / 1000) for p in lease.parties}


class Gateway(Actor):
    """The door, the gate that every send passes, and the loop."""

    def __init__(self, lease):
        super().__init__(deque())
        self.deed, self.seed, self.drawn, self.now = Deed(lease), lease.seed, 0, 0.0
        self.pace, self.brisk = Tally(half=2 * WINDOW), self.deed.target / 10   # three in ten quicker
        self.load, self.blind, self.actions = 1000.0, False, []
        self.warm = 0.0                         # running hosts, a cold one at its level
        self.waited, self.met, self.each = 0.0, 0.0, 0.0    # answer times, events met: the time of one
        self.events, self.hosts = {}, {}        # dropped when over; dropped when gone and nothing is out
        self.history, self.zone, self.others = History(self), Zone(self), Customer()
        self.losses = {name: (Tally(half=4 * WINDOW), Tally(half=4 * WINDOW)) for name in self.deed.clauses}
        self.handled, self.ordered, self.taken = Tally(), deque(), deque()  # of rule 4; times of rule 5

    def start(self, now):
        self.now, self.next_window, self.actions = now, now + WINDOW, []
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

    def mean(self):
        """Mean answer time of all hosts. It ages, so that a gateway that takes nothing does not go on so."""
        return self.pace.read(self.now, self.deed.target / 4)

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    def ring(self, later, token):
        self.actions.append(io.Ring(self.now + later, token))

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
        func = self.history.functions[name] = self.history.functions.get(name) or Function(name, self.deed.me)
        func.count = max(1.0, func.count)       # so that the line outlives the load
        home = self.zone.heir(func.home, lambda h: func.refused.get(h, 0) <= self.now)
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
            queue = again or bool(note.queue) or (not short if note.crowd is None else note.crowd > 0)
            launch.stood |= note.fate == io.FULL and queue      # its queue is full, not its memory
            launch.warm = launch.warm if note.copy is None else note.copy < 2   # told, else held to be
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
            self.history.post("tells", func, host, io.Outcome(0, 0, note.fate, True, host.id, 0.0), None)

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

    def may(self, evt, host):
        """The gate: what the rules say of a launch of this event to this host now."""
        if evt.over or evt.streams or self.now >= evt.until or len(evt.tries) >= self.deed.launches:
            return False                                                        # rule 1
        if host.state != io.READY or not host.room(self.now) or evt.out() and not self.deed.twice:
            return False                                                        # rules 3, 4 and 2
        ran = evt.may_have_run()
        if not ran or evt.clause.kind == io.REDELIVERABLE:
            return True                                                         # rule 2 from here
        group = evt.clause.group
        same = group == "all" or getattr(host, group) == getattr(ran[0].host, group)
        return evt.clause.kind == io.KEYED and same and self.now - ran[0].sent < 0.8 * evt.clause.memory

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
            self.handled.add(self.now, 1.0)
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
                self.pace.mean(self.now, min(note.took, 2 * self.mean()), 0.02, self.deed.target / 4)
                self.brisk *= 1.006 if note.took > self.brisk else 0.986
            cold = note.copy == 2 or note.copy is None and not launch.stood and note.took > 2 * self.mean()
            self.load += 0.1 * (note.took - self.load) if cold else 0
        elif note.fate == io.FULL:
            evt.customer.strain.add(self.now, launch.stood)
        evt.over = evt.over or note.over
        if evt.over or evt.streams or evt.out():
            self.close(evt)
        elif note.fate == io.MISSING and self.deed.misses and self.order(evt.func, launch.host):
            self.ring(min(SWEEP / 2, evt.until - self.now - 1), str(evt.id))    # by then the order is there
        elif evt.customer.overloaded(self.now):
            self.give_up(evt)
        else:
            self.post("route", evt)

    def take_back(self, launch):
        """A launch is recalled so that another may follow, or as it is over; never one that could harm."""
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
        drops = ran and clause.kind == io.KEYED and clause.group == "all"
        young = drops and self.now - ran[0].sent < 0.5 * clause.memory
        evt.over, advice = True, min(self.deed.advice, max(self.mean(), 100.0)) * (1 + self.chance()) / 2
        harmless = not ran or young or clause.kind == io.REDELIVERABLE
        self.actions.append(io.Defer(evt.id, advice) if harmless else io.DeadLetter(evt.id))
        self.close(evt)

    def close(self, evt):
        """What is still out for an event that is over is recalled; then the event is forgotten."""
        for launch in evt.out() if evt.over else ():
            self.post("take_back", launch)
        if evt.over and not evt.out() and self.events.pop(evt.id, None):
            evt.func.open -= 1

    def order(self, func, host):
        free, share, within = self.deed.ration      # the gate of orders to load
        self.forget(self.ordered, 1.01 * within)    # both err on the safe side
        self.forget(self.taken, 0.99 * within)
        if host in func.opening:
            return True
        spent = within and len(self.ordered) + 1 > free + share * len(self.taken)
        if spent or not self.deed.orders or host.state != io.READY:
            return False
        self.ordered.extend([self.now] * bool(within))
        self.actions.append(io.Order(func.name, host.id, 1))
        func.opening.setdefault(host, self.now)
        return True

    def forget(self, times, within):
        while times and times[0] <= self.now - within:
            times.popleft()

    def borne(self):
        """Events a ms that a warm host bears from this gateway: at least its part of one at a time."""
        own = self.handled.read(self.now) / (1.44 * WINDOW * max(1.0, self.warm))
        return max(own, 1 / (self.deed.gateways * self.mean()))

    def sweep(self):
        late, self.due = self.now - self.due, self.now + SWEEP
        self.ring(SWEEP, "sweep")
        self.forget(self.taken, 0.99 * self.deed.ration[2])
        running = [h for h in self.hosts.values() if h.state == io.READY]
        for host in [h for h in running if (h.out or h.strikes) and late < 2 * SWEEP]:  # or it stood still
            host.post("sweep", self.now)
        # When most hosts look bad it is likelier this gateway's own sight: then none is held to be.
        self.blind = 2 * sum(h.probing or h.shut > self.now for h in running) > len(running)
        self.warm = sum(h.level(self.now) for h in running)
        if self.now >= self.next_window:
            self.next_window = self.now + WINDOW
            self.history.post("window", self.now)
            self.hosts = {h.id: h for h in self.hosts.values()
                          if h.state != io.GONE or h.out or h in self.zone.slots}
            self.zone.post("relist", self.now)
