"""Slow start over the whole fleet.

Several independent gateways send requests to one host that warms up. Each gateway sees only its own
requests and is notified of the start late. The tests compare the requests that all gateways send to
the host with its budget in each overload window, because the host fails beyond that budget.
"""

import random
from hashlib import sha1
from heapq import heappop, heappush
from math import sqrt
from typing import NamedTuple

import pytest

from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing

CORES = 2
HOSTS, WARMING_HOST = "abcdefghij", "k"
STARTED_MS = 20000.0  # when the warming host starts
SLOW_START_MS = 10000.0  # from its start until it is warm
OVERLOAD_FACTOR = 3.0
OVERLOAD_WINDOW_MS = 3000.0
FUNCTIONS = 60


class Load(NamedTuple):
    """The requests of one class.

    Attributes:
        name: Name of the class.
        work_ms: Mean time of a request on one core.
        share: Share of all requests.
        functions: The functions that are called, the most called ones first.
        objective_ms: Its latency objective.
        deadline_ms: How long its clients wait.
    """

    name: str
    work_ms: float
    share: float
    functions: tuple
    objective_ms: float = 750.0
    deadline_ms: float = 2500.0


ANY_FUNCTIONS = tuple(f"f{number}" for number in range(1, FUNCTIONS + 1))


def functions_at_warming_host(count):
    """Returns functions whose home is in the part of its range that the host owns at its start."""
    found, number = [], 0
    hosts = sorted(HOSTS + WARMING_HOST)
    while len(found) < count:
        number += 1
        name = f"heavy{number}"
        digest = int.from_bytes(sha1(name.encode()).digest()[:8], "big")
        position = digest / 2.0**64 * len(hosts)
        if 0.0 <= position - hosts.index(WARMING_HOST) < 0.2:
            found.append(name)
    return tuple(found)


class World:
    """The fleet in virtual time.

    Attributes:
        arrivals: For each request that reached the warming host: the time in ms, whether its
            gateway had been notified of the start, and its class's work in units of mean work.
        free_ms: Host -> when it has finished all requests that it was sent.
        notified_ms: For each gateway: when it is notified of the start.

    Args:
        gateways: Number of gateways.
        seed: Seed of the random numbers.
        load: Share of the capacity of the whole fleet that requests take.
        surge_ms: Time after the start at which all other hosts begin to drain; 0 for never.
        loads: The request classes.
        floor: Share of its capacity that the warming host has at its start.
    """

    def __init__(self, gateways, seed, load, surge_ms, loads, floor):
        self.loads = loads
        self.work_ms = sum(each.share * each.work_ms for each in loads)
        self.floor = floor
        self.random = random.Random(seed)
        self.queue = []
        self.serial = 0
        self.arrivals = []
        self.free_ms = dict.fromkeys(HOSTS + WARMING_HOST, 0.0)
        self.notified_ms = [STARTED_MS + SLOW_START_MS] * gateways
        settings = routing.Settings(
            0,
            gateways,
            0,
            "z",
            1.0,
            tuple(
                routing.RequestClass(each.name, each.objective_ms, each.deadline_ms)
                for each in loads
            ),
            max_attempts=6,
            may_cancel=True,
            may_probe=True,
            slow_start_floor=floor,
            slow_start_ms=SLOW_START_MS,
            overload_factor=OVERLOAD_FACTOR,
            overload_window_ms=OVERLOAD_WINDOW_MS,
            idle_retention_ms=8000.0,
        )
        self.gateways = [
            Router(settings._replace(gateway_index=i, seed=seed * 1000 + i))
            for i in range(gateways)
        ]
        self.attempts = {}
        self.load_of = {}
        self.request_count = 0
        endpoints = [
            routing.Endpoint(name, routing.HostState.READY, 0.0, "z", 0)
            for name in HOSTS + WARMING_HOST
        ]
        for number, gateway in enumerate(self.gateways):
            self.act(number, 0.0, gateway.start(0.0))
            self.at(
                0.0,
                self.message,
                number,
                routing.EndpointsUpdated(routing.UpdateKind.CACHED, tuple(endpoints)),
            )
            notified_ms = self.notified_ms[number] = STARTED_MS + self.random.uniform(200.0, 2500.0)
            self.at(
                notified_ms,
                self.message,
                number,
                routing.EndpointsUpdated(
                    routing.UpdateKind.INCREMENTAL,
                    (routing.Endpoint(WARMING_HOST, routing.HostState.READY, STARTED_MS, "z", 0),),
                ),
            )
            if surge_ms:
                self.at(
                    STARTED_MS + surge_ms + self.random.uniform(0.0, 1000.0),
                    self.message,
                    number,
                    routing.EndpointsUpdated(
                        routing.UpdateKind.INCREMENTAL,
                        tuple(
                            row._replace(state=routing.HostState.DRAINING) for row in endpoints[:-1]
                        ),
                    ),
                )
        rate = load * (len(HOSTS) + 1) * CORES / self.work_ms
        when = 0.0
        while when < STARTED_MS + SLOW_START_MS:
            when += self.random.expovariate(rate)
            self.at(when, self.request)

    def at(self, when, what, *args):
        self.serial += 1
        heappush(self.queue, (when, self.serial, what, args))

    def run(self):
        while self.queue and self.queue[0][0] < STARTED_MS + SLOW_START_MS:
            now, _, what, args = heappop(self.queue)
            what(now, *args)
        return self

    def request(self, now):
        number = self.random.randrange(len(self.gateways))
        self.request_count += 1
        load = self.loads[0]
        if len(self.loads) > 1:
            [load] = self.random.choices(self.loads, [each.share for each in self.loads])
        rank = min(int(self.random.paretovariate(0.5)), len(load.functions))
        self.load_of[self.request_count] = load
        self.message(
            now,
            number,
            routing.RequestArrived(
                self.request_count,
                load.name,
                "",
                load.functions[rank - 1],
                now + load.deadline_ms,
                4.0,
                0.0,
            ),
        )

    def message(self, now, number, message):
        self.act(number, now, self.gateways[number].take(now, message))

    def act(self, number, now, actions):
        for action in actions:
            if type(action) is routing.SetTimer:
                self.at(
                    max(action.at_ms, now), self.message, number, routing.TimerFired(action.token)
                )
            elif type(action) is routing.CheckHealth:
                self.at(
                    now + 2.0,
                    self.message,
                    number,
                    routing.HealthCheckEnded(action.host, routing.AttemptOutcome.SUCCEEDED, 2.0),
                )
            elif type(action) is routing.StartAttempt:
                index = self.attempts[action.request_id] = (
                    self.attempts.get(action.request_id, -1) + 1
                )
                work_ms = self.load_of[action.request_id].work_ms
                if action.host == WARMING_HOST and now >= STARTED_MS:
                    notified = now >= self.notified_ms[number]
                    self.arrivals.append((now, notified, work_ms / self.work_ms))
                duration_ms = self.serve(now, action.host, work_ms)
                self.at(
                    now + duration_ms,
                    self.message,
                    number,
                    routing.AttemptEnded(
                        action.request_id,
                        index,
                        routing.AttemptOutcome.SUCCEEDED,
                        True,
                        action.host,
                        duration_ms,
                        1,
                        0,
                    ),
                )

    def serve(self, now, host, work_ms):
        """Returns the response time in ms; each host serves its requests in order of arrival."""
        available_cores = CORES * (self.level(now) if host == WARMING_HOST else 1.0)
        self.free_ms[host] = max(now, self.free_ms[host]) + self.random.expovariate(
            available_cores / work_ms
        )
        return self.free_ms[host] - now + work_ms / CORES

    def level(self, now):
        """Returns the share of its capacity that the warming host has at this time."""
        return (
            min(1.0, self.floor + (1 - self.floor) * (now - STARTED_MS) / SLOW_START_MS)
            if now >= STARTED_MS
            else 1.0
        )

    def allowed(self, start):
        """Returns the requests allowed in a window: the budget plus an allowance for randomness."""
        budget = (
            OVERLOAD_FACTOR
            * self.level(start + OVERLOAD_WINDOW_MS / 2)
            * CORES
            / self.work_ms
            * OVERLOAD_WINDOW_MS
        )
        return budget + 2 * sqrt(budget) + 2

    def largest_share(self):
        """Returns the largest share of the allowed requests.

        Only windows count in which most requests come from gateways notified of the start.
        """
        shares = [0.0]
        for start, _, _ in self.arrivals:
            within = [
                (notified, units)
                for when, notified, units in self.arrivals
                if start <= when < start + OVERLOAD_WINDOW_MS
            ]
            if sum(notified for notified, _ in within) > len(within) * 2 / 3:
                shares.append(sum(units for _, units in within) / self.allowed(start))
        return max(shares)


@pytest.mark.parametrize("surge_ms", [0.0, 1000.0, 2500.0])
@pytest.mark.parametrize("gateways", [1, 5, 20, 30, 200])
def test_all_gateways_together_do_not_overload_a_host_in_slow_start(gateways, surge_ms):
    for work_ms, floor in ((60.0, 0.2), (250.0, 0.17)):
        loads = (Load("draft", work_ms, 1.0, ANY_FUNCTIONS),)
        world = World(gateways, 1, 0.9, surge_ms, loads, floor).run()
        share = world.largest_share()
        assert share <= 1.0, (work_ms, share)
        assert len(world.arrivals) > 10, "the warming host is used"


@pytest.mark.parametrize("heavy_share", [0.02, 0.05])
@pytest.mark.parametrize("gateways", [5, 20, 60])
def test_heavy_requests_do_not_overload_a_host_in_slow_start(gateways, heavy_share):
    # docs/incidents/uneven-classes.md: the budget counted requests, whatever work they take.
    light_ms, heavy_ms = 10.0, 700.0
    loads = (
        Load("light", light_ms, 1.0 - heavy_share, ANY_FUNCTIONS),
        Load("heavy", heavy_ms, heavy_share, functions_at_warming_host(8), 2800.0, 7000.0),
    )
    for seed in (1, 4):
        world = World(gateways, seed, 0.4, 0.0, loads, 0.17).run()
        share = world.largest_share()
        assert share <= 1.0, (seed, share)
        assert len(world.arrivals) > 10, "the warming host is used"
