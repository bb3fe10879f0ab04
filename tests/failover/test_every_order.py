"""Model check of one request with its owner, two successive successors and two hosts.

Covers every order of messages up to a bound. Messages are lost, duplicated and delayed; the owner
is killed, or stopped and resumed; successors die at any step. The hosts are a model of what the
protocol requires of a host.
"""

import copy
import random
from enum import StrEnum
from typing import Any, NamedTuple

import pytest

from cherrydoor.failover import takeover as takeover_module
from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry
from cherrydoor.failover.retry_policy import RetryPolicy
from cherrydoor.failover.takeover import Respond, Retry, Takeover
from cherrydoor.protocol.failover import AttemptsReport, HostAttempt
from cherrydoor.protocol.peers import ReplicatedRequest

# Per request class, in `make test`; docs/failover.md has the results of larger searches.
MAX_STATES = 2500
POLICIES = {
    "draft": RetryPolicy(),
    "sign": RetryPolicy("keyed", "all", 1e6),
    "file": RetryPolicy("at-most-once"),
}


class Kind(StrEnum):
    """Kinds of messages in transit."""

    ATTEMPT = "attempt"
    REPLICATE = "replicate"
    QUERY = "query"
    REPORT = "report"


class InTransit(NamedTuple):
    """A message in transit, with its recipient and content."""

    kind: Kind
    to: Any
    content: Any


class Step(StrEnum):
    """Kinds of steps that the model can take."""

    DELIVER = "deliver"
    LOSE = "lose"
    DUPLICATE = "duplicate"
    FINISH = "finish"
    KILL = "kill"
    STOP = "stop"
    RESUME = "resume"
    BEGIN = "begin"
    DECIDE = "decide"
    SUCCESSOR_DIES = "successor dies"


OWNER_AFTER = {Step.KILL: "dead", Step.STOP: "stopped"}


class Host:
    """A host that refuses ended incarnations, reports its attempts, and keeps finished ones."""

    def __init__(self, name):
        self.name = name
        self.fencing_token = 0
        self.running = {}
        self.ended = {}
        self.last_attempt_id = 0

    def attempt(self, world, incarnation, fencing_token):
        if fencing_token < self.fencing_token and world.fences:
            return
        self.last_attempt_id += 1
        self.running[self.last_attempt_id] = (incarnation, fencing_token)
        world.attempts += 1

    def report(self, fencing_token):
        if fencing_token < self.fencing_token:
            return AttemptsReport(0, self.fencing_token)
        self.fencing_token = fencing_token
        running = [HostAttempt(attempt_id, "c", 1) for attempt_id in self.running]
        ended = [HostAttempt(attempt_id, "c", 1, 0, "handled", b"x") for attempt_id in self.ended]
        return AttemptsReport(0, fencing_token, running + ended)

    def finish(self, world):
        attempt_id = min(self.running)
        self.ended[attempt_id] = self.running.pop(attempt_id)
        # Hosts drop a repeat whose idempotency key they remember.
        world.effects += not (world.request_class == "sign" and world.effects)


class World:
    def __init__(self, request_class, fences=True):
        self.request_class = request_class
        self.fences = fences
        self.now = 0.0
        self.hosts = {name: Host(name) for name in "AB"}
        self.in_transit = [
            InTransit(Kind.ATTEMPT, "A", 0),
            InTransit(Kind.REPLICATE, 1, None),
            InTransit(Kind.REPLICATE, 2, None),
        ]
        self.replicas = {}
        self.owner = "up"
        self.successor = None
        self.fencing_token = 0
        self.dead_successors = 0
        self.effects = 0
        self.attempts = 0
        self.responses = 0
        self.owner_retries = 0

    def state(self):
        """Return all that distinguishes this state of the model from others."""
        hosts = tuple(
            (host.fencing_token, tuple(host.running.values()), tuple(host.ended.values()))
            for host in self.hosts.values()
        )
        successor = self.successor and (
            self.successor.fencing_token,
            tuple(sorted(self.successor.reporting_hosts)),
            tuple(sorted(self.successor.awaited_hosts)),
            self.successor.decided,
            repr(sorted(self.successor.reported.items())),
        )
        return (
            hosts,
            successor,
            tuple(sorted(map(repr, self.in_transit))),
            tuple(self.replicas),
            self.owner,
            self.fencing_token,
            self.dead_successors,
            self.effects,
            self.responses,
            self.owner_retries,
        )

    # ---- steps
    def steps(self):
        possible = []
        for index, message in enumerate(self.in_transit):
            possible.append((Step.DELIVER, index))
            if message.kind in (Kind.REPLICATE, Kind.QUERY, Kind.REPORT):
                possible.append((Step.LOSE, index))
            if message.kind in (Kind.QUERY, Kind.REPLICATE):
                possible.append((Step.DUPLICATE, index))
        possible += [(Step.FINISH, name) for name, host in self.hosts.items() if host.running]
        if self.owner == "up":
            possible += [(Step.KILL, None), (Step.STOP, None)]
        if self.owner == "stopped" and not self.owner_retries and self.request_class != "file":
            # The resumed owner finds its connection lost, and retries where its policy permits it.
            possible.append((Step.RESUME, None))
        next_token = self.fencing_token + 1
        if self.owner != "up" and self.successor is None and next_token in self.replicas:
            possible.append((Step.BEGIN, next_token))
        if self.successor is not None and not self.successor.decided:
            possible.append((Step.DECIDE, None))
        if self.successor is not None and self.dead_successors < 1:
            possible.append((Step.SUCCESSOR_DIES, None))
        return possible

    def take(self, step, target):
        match step:
            case Step.DELIVER:
                self.deliver(self.in_transit.pop(target))
            case Step.DUPLICATE:
                self.deliver(self.in_transit[target])
            case Step.LOSE:
                del self.in_transit[target]
            case Step.FINISH:
                self.hosts[target].finish(self)
            case Step.KILL | Step.STOP:
                self.owner = OWNER_AFTER[step]
            case Step.RESUME:
                self.owner_retries += 1
                self.in_transit.append(InTransit(Kind.ATTEMPT, "B", 0))
            case Step.BEGIN:
                self.begin(target)
            case Step.DECIDE:
                self.decide()
            case Step.SUCCESSOR_DIES:
                self.dead_successors += 1
                self.successor = None

    def deliver(self, message):
        kind, to, content = message
        if kind == Kind.ATTEMPT:
            self.hosts[to].attempt(self, "owner", content)
        elif kind == Kind.REPLICATE:
            self.replicas[to] = True
        elif kind == Kind.QUERY:
            report = self.hosts[to].report(content)
            self.in_transit.append(InTransit(Kind.REPORT, to, (content, report)))
        elif self.successor is not None and self.successor.fencing_token == content[0]:
            self.successor.host_reported(to, content[1])

    def begin(self, fencing_token):
        self.fencing_token = fencing_token
        in_flight = InFlightSet("g", 5, 0)
        request = ReplicatedRequest(1, 1, "c", self.request_class, "f", 1e5)
        entry = ReplicatedEntry(request, 1e5, 0.0)
        entry.hosts.append("A")
        in_flight.add(entry)
        self.successor = Takeover(in_flight, fencing_token, list("AB"), POLICIES, 0.0, 500.0)
        self.in_transit += [
            InTransit(Kind.QUERY, host, fencing_token) for host in self.successor.hosts_to_query()
        ]

    def decide(self):
        """Decide: allowed at any time, as the wait for reports may time out at any time."""
        successor = self.successor
        for decision in [*successor.decide(self.now), *successor.next_retries(self.now)]:
            if isinstance(decision, Retry):
                self.in_transit.append(InTransit(Kind.ATTEMPT, "B", successor.fencing_token))
            elif isinstance(decision, Respond):
                self.responses += 1
            # An adopted attempt goes on running; its outcome goes to the successor.

    def violation(self):
        if self.request_class != "draft" and self.effects > 1:
            return f"{self.effects} effects"
        if self.request_class == "file" and self.attempts > 1:
            return "run again"
        return None


def search(max_states=MAX_STATES, **options):
    """Search breadth-first.

    Returns the number of states, whether they are all states, and the first violation with its
    history.
    """
    first = World(**options)
    seen, frontier = {first.state()}, [(first, ())]
    while frontier:
        next_frontier = []
        for world, history in frontier:
            for step, target in world.steps():
                next_world = copy.deepcopy(world)
                next_world.take(step, target)
                if next_world.violation():
                    return len(seen), False, (*history, (step, target), next_world.violation())
                state = next_world.state()
                if state not in seen:
                    seen.add(state)
                    if len(seen) >= max_states:
                        return len(seen), False, None
                    next_frontier.append((next_world, (*history, (step, target))))
        frontier = next_frontier
    return len(seen), True, None


def walk(seed, **options):
    """Take random steps from a seed, and return the first violation, if any."""
    rng, world = random.Random(seed), World(**options)
    for _ in range(60):
        steps = world.steps()
        if not steps:
            break
        world.take(*rng.choice(steps))
        if world.violation():
            return world.violation()
    return None


@pytest.mark.parametrize("request_class", POLICIES)
def test_no_order_of_messages_gives_a_request_two_effects(request_class):
    _, _, violation = search(request_class=request_class)
    assert violation is None, violation
    assert not any(walk(seed, request_class=request_class) for seed in range(1500))


def violation_is_found(**options):
    return any(walk(seed, request_class="file", **options) for seed in range(8000))


def test_hosts_that_ignore_fencing_tokens_are_detected():
    """An attempt in transit when its incarnation was declared over would run beside its retry."""
    assert violation_is_found(fences=False)


def test_a_successor_that_assumes_a_silent_host_ran_nothing_is_detected(monkeypatch):
    original = takeover_module.decide_request
    monkeypatch.setattr(
        takeover_module,
        "decide_request",
        lambda entry, policy, reported, silent, now: original(entry, policy, reported, [], now),
    )
    assert violation_is_found()


def test_a_successor_that_retries_a_running_request_is_detected(monkeypatch):
    original = takeover_module.decide_request
    monkeypatch.setattr(
        takeover_module,
        "decide_request",
        lambda entry, policy, reported, silent, now: original(entry, policy, [], silent, now),
    )
    assert violation_is_found()
