"""What one soak run plays, drawn from its seed: one seed, one history of faults."""

import random
from dataclasses import dataclass, field
from enum import Enum

DURATION_S = 20.0
OUTAGE_BEGINS_S = (2.0, 4.0)
OUTAGE_LASTS_S = (8.0, 12.0)
GRACES_MS = (250, 500, 1000, 2000)
DEADLINES_MS = (400, 1000, 2500, 3000)


class DiscoveryFault(Enum):
    """How a discovery server is out of reach."""

    REFUSED = "connections are refused"
    SILENT = "connections are accepted, and nothing is said"
    SLOW = "a connection is answered after seconds"
    TORN = "an update breaks off, then connections are refused"


class Signal(Enum):
    """What happens to a gateway's process."""

    STOP = "it stands still for a while"
    RELOAD = "SIGHUP: discovery moves to another address"
    TERMINATE = "SIGTERM, SIGKILL at the earliest time, a new start"
    KILL = "SIGKILL, a new start"


@dataclass(frozen=True)
class Outage:
    """Discovery out of reach of one gateway; times in s of the run."""

    gateway: int
    fault: DiscoveryFault
    begins_s: float
    ends_s: float


@dataclass(frozen=True)
class Drain:
    """A host that drains, goes and is back cold under the same id and address."""

    host: int
    begins_s: float
    gone_s: float
    back_s: float


@dataclass(frozen=True)
class Hang:
    """A host that says nothing for a while."""

    host: int
    begins_s: float
    ends_s: float


@dataclass(frozen=True)
class ProcessFault:
    """A signal to one gateway's process; ``lasts_s`` is how long it stands still."""

    gateway: int
    signal: Signal
    at_s: float
    lasts_s: float


@dataclass(frozen=True)
class Crowd:
    """Connections to one gateway that say nothing."""

    gateway: int
    connections: int
    begins_s: float
    ends_s: float


@dataclass
class Plan:
    """The whole run. Rates are requests a second at each gateway."""

    seed: int
    gateways: int
    hosts: int
    grace_ms: int
    deadline_ms: int
    rate: float
    outages: list[Outage] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    hangs: list[Hang] = field(default_factory=list)
    process_faults: list[ProcessFault] = field(default_factory=list)
    crowds: list[Crowd] = field(default_factory=list)

    def outage_at(self, gateway, time_s):
        """The outage of this gateway's discovery at this time, or None."""
        for outage in self.outages:
            if outage.gateway == gateway and outage.begins_s <= time_s <= outage.ends_s:
                return outage
        return None


def draw(seed):
    """Returns the plan of a seed."""
    chance = random.Random(seed)
    plan = Plan(
        seed,
        gateways=chance.randint(2, 4),
        hosts=chance.randint(5, 8),
        grace_ms=chance.choice(GRACES_MS),
        deadline_ms=chance.choice(DEADLINES_MS),
        rate=chance.uniform(15.0, 30.0),
    )
    begins_s = chance.uniform(*OUTAGE_BEGINS_S)
    ends_s = begins_s + chance.uniform(*OUTAGE_LASTS_S)
    same_fault = chance.choice(list(DiscoveryFault))
    differ = chance.random() < 0.3
    for gateway in range(plan.gateways):
        fault = chance.choice(list(DiscoveryFault)) if differ else same_fault
        plan.outages.append(Outage(gateway, fault, begins_s, ends_s))
    draw_hosts(plan, chance, begins_s)
    draw_signals(plan, chance)
    return plan


def draw_hosts(plan, chance, outage_begins_s):
    """Adds drains that begin before, within and after the outage's begin, and a hang."""
    shuffled = chance.sample(range(plan.hosts), plan.hosts)
    for host in shuffled[: chance.randint(1, plan.hosts // 2)]:
        begins_s = outage_begins_s + chance.uniform(-0.5, 5.0)
        gone_s = begins_s + chance.uniform(3.0, 9.0)
        plan.drains.append(Drain(host, begins_s, gone_s, gone_s + chance.uniform(0.3, 2.5)))
    if chance.random() < 0.5:
        begins_s = chance.uniform(2.0, 10.0)
        plan.hangs.append(Hang(shuffled[-1], begins_s, begins_s + chance.uniform(0.5, 3.0)))


def draw_signals(plan, chance):
    """Adds a series of up to three signals for each gateway, and a crowd to some runs."""
    for gateway in range(plan.gateways):
        at_s = chance.uniform(2.0, 10.0)
        for _ in range(chance.randint(0, 3)):
            signal = chance.choice(list(Signal))
            lasts_s = chance.uniform(0.2, 3.0)
            plan.process_faults.append(ProcessFault(gateway, signal, at_s, lasts_s))
            at_s += chance.choice((0.05, 0.3, 1.5))
    if chance.random() < 0.25:
        begins_s = chance.uniform(2.0, 6.0)
        connections = chance.randint(100, 400)
        plan.crowds.append(
            Crowd(chance.randrange(plan.gateways), connections, begins_s, begins_s + 5.0)
        )
