"""The plan of one soak run: its faults and load, determined by its seed alone."""

import random
from dataclasses import dataclass, field
from enum import Enum

DURATION_S = 20.0
OUTAGE_START_RANGE_S = (2.0, 4.0)
OUTAGE_DURATION_RANGE_S = (8.0, 12.0)
DRAIN_GRACES_MS = (250, 500, 1000, 2000)
REQUEST_DEADLINES_MS = (400, 1000, 2500, 3000)


class DiscoveryFault(Enum):
    """How a discovery server is unavailable."""

    REFUSED = "connections are refused"
    SILENT = "connections are accepted, and nothing is said"
    SLOW = "a connection is answered after seconds"
    TORN = "an update breaks off, then connections are refused"


class Signal(Enum):
    """Signals sent to a gateway's process."""

    STOP = "it stands still for a while"
    RELOAD = "SIGHUP: discovery moves to another address"
    TERMINATE = "SIGTERM, SIGKILL at the earliest time, a new start"
    KILL = "SIGKILL, a new start"


@dataclass(frozen=True)
class Outage:
    """An outage of one gateway's discovery; times are seconds since the start of the run."""

    gateway: int
    fault: DiscoveryFault
    start_s: float
    end_s: float


@dataclass(frozen=True)
class Drain:
    """A host that drains, ends, and restarts cold under the same id and address."""

    host: int
    start_s: float
    gone_s: float
    restarted_s: float


@dataclass(frozen=True)
class Hang:
    """A period in which a host accepts data but does not reply."""

    host: int
    start_s: float
    end_s: float


@dataclass(frozen=True)
class ProcessFault:
    """A signal to one gateway's process; ``duration_s`` is how long a stopped process is paused."""

    gateway: int
    signal: Signal
    at_s: float
    duration_s: float


@dataclass(frozen=True)
class IdleFlood:
    """Connections to one gateway on which nothing is sent."""

    gateway: int
    connections: int
    start_s: float
    end_s: float


@dataclass
class Plan:
    """The plan of a whole run; ``requests_per_s`` is the request rate at each gateway."""

    seed: int
    gateways: int
    hosts: int
    grace_ms: int
    deadline_ms: int
    requests_per_s: float
    outages: list[Outage] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    hangs: list[Hang] = field(default_factory=list)
    process_faults: list[ProcessFault] = field(default_factory=list)
    idle_floods: list[IdleFlood] = field(default_factory=list)

    def outage_at(self, gateway, time_s):
        """Returns the outage of this gateway's discovery at this time, or None."""
        for outage in self.outages:
            if outage.gateway == gateway and outage.start_s <= time_s <= outage.end_s:
                return outage
        return None


def draw_plan(seed):
    """Returns the plan that follows from a seed."""
    rng = random.Random(seed)
    plan = Plan(
        seed,
        gateways=rng.randint(2, 4),
        hosts=rng.randint(5, 8),
        grace_ms=rng.choice(DRAIN_GRACES_MS),
        deadline_ms=rng.choice(REQUEST_DEADLINES_MS),
        requests_per_s=rng.uniform(15.0, 30.0),
    )
    start_s = rng.uniform(*OUTAGE_START_RANGE_S)
    end_s = start_s + rng.uniform(*OUTAGE_DURATION_RANGE_S)
    same_fault = rng.choice(list(DiscoveryFault))
    faults_differ = rng.random() < 0.3
    for gateway in range(plan.gateways):
        fault = rng.choice(list(DiscoveryFault)) if faults_differ else same_fault
        plan.outages.append(Outage(gateway, fault, start_s, end_s))
    draw_hosts(plan, rng, start_s)
    draw_signals(plan, rng)
    return plan


def draw_hosts(plan, rng, outage_start_s):
    """Adds drains that start around or during the outage and, in half of the runs, a hang."""
    shuffled = rng.sample(range(plan.hosts), plan.hosts)
    for host in shuffled[: rng.randint(1, plan.hosts // 2)]:
        start_s = outage_start_s + rng.uniform(-0.5, 5.0)
        gone_s = start_s + rng.uniform(3.0, 9.0)
        plan.drains.append(Drain(host, start_s, gone_s, gone_s + rng.uniform(0.3, 2.5)))
    if rng.random() < 0.5:
        start_s = rng.uniform(2.0, 10.0)
        plan.hangs.append(Hang(shuffled[-1], start_s, start_s + rng.uniform(0.5, 3.0)))


def draw_signals(plan, rng):
    """Adds up to three signals in a row for each gateway and, in some runs, idle connections."""
    for gateway in range(plan.gateways):
        at_s = rng.uniform(2.0, 10.0)
        for _ in range(rng.randint(0, 3)):
            signal = rng.choice(list(Signal))
            duration_s = rng.uniform(0.2, 3.0)
            plan.process_faults.append(ProcessFault(gateway, signal, at_s, duration_s))
            at_s += rng.choice((0.05, 0.3, 1.5))
    if rng.random() < 0.25:
        start_s = rng.uniform(2.0, 6.0)
        connections = rng.randint(100, 400)
        plan.idle_floods.append(
            IdleFlood(rng.randrange(plan.gateways), connections, start_s, start_s + 5.0)
        )
