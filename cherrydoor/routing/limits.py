"""The gate of the five rules, and the figures that a lease comes down to."""

from collections import deque
from zlib import crc32

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW, Actor, DecayingValue
from cherrydoor.routing.request import Customer

FURTHER = 2  # further launches for one event
MARGIN = 0.9  # of the multiple in rule 4, for chance
LINGER = 6000  # an idle copy is believed to stand for so long, where nothing is said


class Deed:
    """The few figures that decisions use, drawn from the lease."""

    def __init__(self, lease):
        self.me, self.gateways, self.asks, self.twice = (
            lease.gateway_index,
            lease.gateway_count,
            lease.polls_endpoints,
            lease.may_hedge,
        )
        self.launches, self.advice = min(lease.max_attempts, 1 + FURTHER), lease.max_retry_after_ms
        self.recalls, self.probes = lease.may_cancel, lease.may_probe
        self.cold_from, self.cold, self.fall = (
            lease.slow_start_floor,
            lease.slow_start_ms,
            lease.overload_window_ms,
        )
        self.linger, self.orders, self.misses = (
            lease.idle_retention_ms or LINGER,
            lease.may_order_loads,
            lease.reports_missing,
        )
        self.ration = (lease.load_quota_base, lease.load_quota_share, lease.load_quota_window_ms)
        self.budget, self.target = (
            MARGIN * lease.overload_factor,
            min(c.latency_objective_ms for c in lease.request_classes),
        )
        self.request_classes = {c.name: c for c in lease.request_classes}
        self.tenants = {
            p.name: Customer(p.quota_per_second / lease.gateway_count / 1000) for p in lease.tenants
        }


class Rules(Actor):
    """The gate that every launch and every order to load passes; what they spend is kept here."""

    def __init__(self, lease):
        super().__init__(deque())
        self.settings, self.seed, self.drawn, self.now = Deed(lease), lease.seed, 0, 0.0
        self.pace, self.actions = DecayingValue(half=2 * WINDOW), []
        self.warm = 0.0  # running hosts, a cold one at its level
        # of rule 4: for long, as of few answers the greater of mean and floor is too much; times of rule 5
        self.handled, self.ordered, self.taken = DecayingValue(half=4 * WINDOW), deque(), deque()

    def mean(self):
        """Mean answer time of all hosts. It ages, so that a gateway that takes nothing does not go on so."""
        return self.pace.read(self.now, self.settings.target / 4)

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    def ring(self, later, token):
        self.actions.append(messages.SetTimer(self.now + later, token))

    def may(self, evt, host):
        """The gate: what the rules say of a launch of this event to this host now."""
        if (
            evt.over
            or evt.streams
            or self.now >= evt.until
            or len(evt.tries) >= self.settings.launches
        ):
            return False  # rule 1
        if evt.away and host.zone == evt.away:
            return False  # a drained zone's hosts are none of its session's places
        if (
            host.state != messages.HostState.READY
            or not host.room(self.now)
            or evt.out()
            and not self.settings.twice
        ):
            return False  # rules 3, 4 and 2
        ran = evt.may_have_run()
        if not ran or evt.clause.retry_safety == messages.RetrySafety.IDEMPOTENT:
            return True  # rule 2 from here
        group = evt.clause.dedup_scope
        same = group == "all" or getattr(host, group) == getattr(ran[0].host, group)
        return (
            evt.clause.retry_safety == messages.RetrySafety.IDEMPOTENCY_KEY
            and same
            and self.now - ran[0].sent < 0.8 * evt.clause.dedup_window_ms
        )

    def order(self, func, host):
        free, share, within = self.settings.ration  # the gate of orders to load
        self.forget(self.ordered, 1.01 * within)  # both err on the safe side
        self.forget(self.taken, 0.99 * within)
        if host in func.opening:
            return True
        spent = within and len(self.ordered) + 1 > free + share * len(self.taken)
        if spent or not self.settings.orders or host.state != messages.HostState.READY:
            return False
        self.ordered.extend([self.now] * bool(within))
        self.actions.append(messages.OrderLoad(func.name, host.id, 1))
        func.opening.setdefault(host, self.now)
        return True

    def forget(self, times, within):
        while times and times[0] <= self.now - within:
            times.popleft()

    def borne(self):
        """Events a ms that a warm host bears from this gateway: at least its part of one at a time."""
        own = self.handled.read(self.now) / (1.44 * self.handled.half)
        return max(own, 1 / (self.settings.gateways * self.mean()))
