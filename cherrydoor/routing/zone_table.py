"""The Zone Table, and the choice of a host."""

from math import modf

from cherrydoor.routing import messages
from cherrydoor.routing.decay import Actor
from cherrydoor.routing.history_table import BUSY
from cherrydoor.routing.host import LEAST

SURE = 0.75  # share of the target time that a predicted wait may fill, as predictions err
SPREAD = 3  # how often a place that a cold host cannot bear is spread anew
KEPT = 5  # events in the idle time of a copy: by chance none comes in one idle time of 150
RECUT = (
    60000  # a vacancy of this length, or a host left over for a quarter of it, recuts the ranges
)


class Zone(Actor):
    """The Zone Table: equal ranges over the sorted ids. A newcomer takes a vacancy; a long one cuts anew."""

    def __init__(self, router):
        super().__init__(router.loop)
        self.router, self.slots, self.even, self.calm = router, [], 0.0, 0.0

    def relist(self, now):
        listed = sorted(
            (h for h in self.router.hosts.values() if h.state != messages.HostState.GONE),
            key=lambda h: h.id,
        )
        new = [h for h in listed if h not in self.slots and h.state == messages.HostState.READY]
        self.slots = [
            new.pop(0) if new and h.state != messages.HostState.READY else h for h in self.slots
        ]
        if not self.slots or now - self.even > (RECUT / 4 if new else RECUT):
            self.slots, new = listed, []
        if not new and all(h.state != messages.HostState.GONE for h in self.slots):
            self.even = now

    def heir(self, pos, fits, clause=None):
        """The owner of this place in the id space, or the next ready one in order. What a cold owner cannot
        bear is spread over all others by the place's lower bits: its neighbour would bear two ranges."""
        now, (part, first) = self.router.now, modf(pos * len(self.slots))
        for _ in range(SPREAD if self.slots else 0):
            if part <= LEAST * self.slots[int(first)].level(now):
                break
            pos = modf(pos * 4096)[0]
            part, first = modf(pos * len(self.slots))
        for bar in (part, 0.0, None):  # None: not ready, but at least not shut
            for i in range(len(self.slots)):
                host = self.slots[(int(first) + i) % len(self.slots)]
                if (host.shut <= now if bar is None else host.ready(now, bar, clause)) and fits(
                    host
                ):
                    return host
        return None

    def kept(self, func):
        """Where all gateways' calls are held to keep a copy, though this one saw none there. Guards against
        orders and waits of each gateway for copies that long stand; harms where hosts are short of memory, or
        a copy was swept out by others' calls: events then wait for a load there. Never at a cold host."""
        router, n = self.router, len(self.slots)
        calls = func.work.value * router.settings.linger / router.mean() / (1 + func.groups)
        if calls <= KEPT or router.settings.gateways < 2 or not n:
            return []
        more = (
            func.work.value >= BUSY and router.settings.gateways > 2 * func.groups
        )  # or there are no seconds
        places = [func.home, *(func.seconds() if more else ())]
        return [h for h in (self.slots[int(p * n)] for p in places) if h.level(router.now) >= 1.0]

    def outside(self, name, zone):
        """Ids of hosts of other zones where a copy of the function is held to stand."""
        func = self.router.history.functions.get(name)
        known = dict.fromkeys([*func.copies, *self.kept(func)]) if func else ()
        return [h.id for h in known if h.zone != zone and h.holds(func, self.router.now)]

    def sites(self):
        """What is held of each zone: (zone, events a second that go there, mean answer time, hosts that stand)."""
        found, now, router = {}, self.router.now, self.router
        rate = 1000 * router.handled.read(now) / (1.44 * router.handled.half)
        for host in self.slots:
            found.setdefault(host.zone, []).extend(
                [host] * (host.state == messages.HostState.READY and host.shut <= now)
            )
        return [
            (
                zone,
                rate * len(hosts),
                sum(h.mean() for h in hosts) / len(hosts) if hosts else None,
                len(hosts),
            )
            for zone, hosts in found.items()
        ]

    def choose(self, evt):
        """The design's path, then its exceptions: the host, and one to order a copy at, if any."""
        func, now, router = evt.func, self.router.now, self.router
        been = [t.host for t in evt.tries if t.outcome != messages.AttemptOutcome.FUNCTION_MISSING]

        def fits(host):
            return host not in been and func.refused.get(host, 0) <= now and router.may(evt, host)

        home = self.heir(func.home, fits, evt.clause)
        if not home:
            return None, None
        second = self.heir(func.second(), lambda h: h is not home and fits(h), evt.clause) or home
        hot = router.history.hot(func) and (second.roomy() or second.holds(func, now))
        pick = second if hot and (home.busy() or second.load() < home.load()) else home
        late = (
            SURE * evt.clause.latency_objective_ms
        )  # past the pair, at T2 or late: the fewest where a copy stands

        def rank(host):
            return host.busy() or host.wait(func) > late, host.load(), host.wait(func), host.id

        known = dict.fromkeys([*(h for h in func.copies if h.holds(func, now)), *self.kept(func)])
        stand = [h for h in known if h.ready(now, 0.0, evt.clause) and fits(h)]
        if stand and (pick.busy() or pick.wait(func) > late):
            pick = min([pick, *stand], key=rank)
        spare, opens = (
            min(stand, key=rank, default=None),
            router.settings.orders or pick in func.opening,
        )
        if spare and not spare.busy() and pick not in known and opens:
            return (
                spare,
                pick,
            )  # nobody waits behind a load while a copy stands: one opens the new copy
        if pick.wait(func) > late and now > self.calm and not evt.customer.overloaded(now):
            pick = (
                self.heir(
                    func.home,
                    lambda h: h.wait(func) < late / 2 and h.roomy() and fits(h),
                    evt.clause,
                )
                or pick
            )
            self.calm = now + router.load
        return pick, None
