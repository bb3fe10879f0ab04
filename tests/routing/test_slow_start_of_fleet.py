"""Rule 4 over the whole fleet: independent gateways, each seeing its own requests only and told late, against one cold
host. What all of them send there is held against the budget of every window."""

import random
from heapq import heappop, heappush
from math import sqrt

import pytest

from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing

CORES = 2
HOSTS, COLD_HOST = "abcdefghij", "k"
SETTLED, COLD = 20000.0, 10000.0  # ms until the cold host starts, and from there until it is warm
MULTIPLE, FALL = 3.0, 3000.0
FUNCTIONS = 60


class World:
    """The fleet in virtual time; `pressed` has when each request reached the cold host, and whether its gateway had
    been told of the start. `work` is the mean time of a request on one core; at `surge` ms after the start all other
    hosts leave at once (0: none does)."""

    def __init__(self, gateways, seed, load, surge, work, cold_from):
        self.work, self.cold_from = work, cold_from
        self.random, self.queue, self.serial, self.pressed = random.Random(seed), [], 0, []
        self.free, self.told = dict.fromkeys(HOSTS + COLD_HOST, 0.0), [SETTLED + COLD] * gateways
        lease = routing.Settings(
            0,
            gateways,
            0,
            "z",
            1.0,
            (routing.RequestClass("draft", 750.0, 2500.0),),
            max_attempts=6,
            may_cancel=True,
            may_probe=True,
            slow_start_floor=cold_from,
            slow_start_ms=COLD,
            overload_factor=MULTIPLE,
            overload_window_ms=FALL,
            idle_retention_ms=8000.0,
        )
        self.gateways = [
            Router(lease._replace(gateway_index=i, seed=seed * 1000 + i)) for i in range(gateways)
        ]
        self.open, self.tries, self.events = {}, {}, 0
        rows = [
            routing.Endpoint(name, routing.HostState.READY, 0.0, "z", 0)
            for name in HOSTS + COLD_HOST
        ]
        for number, gateway in enumerate(self.gateways):
            self.act(number, 0.0, gateway.start(0.0))
            self.at(
                0.0,
                self.note,
                number,
                routing.EndpointsUpdated(routing.UpdateKind.CACHED, tuple(rows)),
            )
            late = self.told[number] = SETTLED + self.random.uniform(200.0, 2500.0)
            self.at(
                late,
                self.note,
                number,
                routing.EndpointsUpdated(
                    routing.UpdateKind.INCREMENTAL,
                    (routing.Endpoint(COLD_HOST, routing.HostState.READY, SETTLED, "z", 0),),
                ),
            )
            if surge:
                self.at(
                    SETTLED + surge + self.random.uniform(0.0, 1000.0),
                    self.note,
                    number,
                    routing.EndpointsUpdated(
                        routing.UpdateKind.INCREMENTAL,
                        tuple(row._replace(state=routing.HostState.DRAINING) for row in rows[:-1]),
                    ),
                )
        rate = load * (len(HOSTS) + 1) * CORES / work
        when = 0.0
        while when < SETTLED + COLD:
            when += self.random.expovariate(rate)
            self.at(when, self.request)

    def at(self, when, what, *args):
        self.serial += 1
        heappush(self.queue, (when, self.serial, what, args))

    def run(self):
        while self.queue and self.queue[0][0] < SETTLED + COLD:
            now, _, what, args = heappop(self.queue)
            what(now, *args)
        return self

    def request(self, now):
        number = self.random.randrange(len(self.gateways))
        self.events += 1
        function = f"f{min(int(self.random.paretovariate(0.5)), FUNCTIONS)}"
        self.note(
            now,
            number,
            routing.RequestArrived(self.events, "draft", "", function, now + 2500.0, 4.0, 0.0),
        )

    def note(self, now, number, note):
        self.act(number, now, self.gateways[number].take(now, note))

    def act(self, number, now, actions):
        for action in actions:
            if type(action) is routing.SetTimer:
                self.at(max(action.at_ms, now), self.note, number, routing.TimerFired(action.token))
            elif type(action) is routing.CheckHealth:
                self.at(
                    now + 2.0,
                    self.note,
                    number,
                    routing.HealthCheckEnded(action.host, routing.AttemptOutcome.SUCCEEDED, 2.0),
                )
            elif type(action) is routing.StartAttempt:
                index = self.tries[action.request_id] = self.tries.get(action.request_id, -1) + 1
                if action.host == COLD_HOST and now >= SETTLED:
                    self.pressed.append((now, now >= self.told[number]))
                took = self.serve(now, action.host)
                self.at(
                    now + took,
                    self.note,
                    number,
                    routing.AttemptEnded(
                        action.request_id,
                        index,
                        routing.AttemptOutcome.SUCCEEDED,
                        True,
                        action.host,
                        took,
                        1,
                        0,
                    ),
                )

    def serve(self, now, host):
        """Time to the answer: requests of a host wait in turn for all that its cores can do."""
        able = CORES * (self.level(now) if host == COLD_HOST else 1.0)
        self.free[host] = max(now, self.free[host]) + self.random.expovariate(able / self.work)
        return self.free[host] - now + self.work / CORES

    def level(self, now):
        """The share of its capacity that the cold host has then."""
        return (
            min(1.0, self.cold_from + (1 - self.cold_from) * (now - SETTLED) / COLD)
            if now >= SETTLED
            else 1.0
        )

    def allowed(self, start):
        """What the settings allow in the window that begins then: multiple times capacity times window, and chance."""
        budget = MULTIPLE * self.level(start + FALL / 2) * CORES / self.work * FALL
        return budget + 2 * sqrt(budget) + 2

    def fullest(self):
        """The window with most of what is allowed in it, as a share, of those that two thirds knew of the start in."""
        shares = [0.0]
        for start, _ in self.pressed:
            within = [told for when, told in self.pressed if start <= when < start + FALL]
            if sum(within) > len(within) * 2 / 3:
                shares.append(len(within) / self.allowed(start))
        return max(shares)


@pytest.mark.parametrize("surge", [0.0, 1000.0, 2500.0])
@pytest.mark.parametrize("gateways", [1, 5, 20, 30, 200])
def test_all_gateways_together_push_no_cold_host_over(gateways, surge):
    for work, cold_from in ((60.0, 0.2), (250.0, 0.17)):
        world = World(gateways, 1, 0.9, surge, work, cold_from).run()
        share = world.fullest()
        assert share <= 1.0, (work, share)
        assert len(world.pressed) > 10, "the cold host is used"
