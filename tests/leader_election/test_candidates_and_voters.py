"""Leader election: a bounded search of all event orders, and longer histories by random seed.

Events: messages are delivered, lost, duplicated or delayed; voters restart with or without their
votes; time passes between any two of these.
"""

import copy
import random
from collections.abc import Callable
from typing import NamedTuple

import pytest
from election_simulation import TERMS, ElectionSimulation

from cherrydoor.leader_election.candidate import Candidate, CandidateState
from cherrydoor.leader_election.messages import LeaseAcquired, LeaseEnded, LeaseTerms, Votes
from cherrydoor.leader_election.voter import Voter
from cherrydoor.protocol.peers import LeaseGranted, LeaseRequest

MAX_STATES = 4500  # number of states in the three searches together; see docs/leader-election.md
PAUSES_MS = (450.0, 1100.0)


class Step(NamedTuple):
    """One event that may happen next, and how many faults are allowed after it."""

    name: str
    apply: Callable[[ElectionSimulation], None]
    faults_left: int


def fault_steps(simulation, faults_left):
    """Losses and duplications of messages, and restarts of voters."""
    for serial in simulation.in_flight:
        yield Step(f"lose {serial}", lambda s, n=serial: s.lose(n), faults_left)
        yield Step(f"duplicate {serial}", lambda s, n=serial: s.deliver(n, True), faults_left)
    for name in simulation.voter_names:
        yield Step(f"{name} with its votes", lambda s, n=name: s.restart_voter(n), faults_left)
        yield Step(
            f"{name} without its votes", lambda s, n=name: s.restart_voter(n, False), faults_left
        )


def is_due(simulation, candidate):
    is_holding = candidate.state is CandidateState.HOLDING
    return candidate.next_ms <= simulation.now_ms or (
        is_holding and simulation.now_ms >= candidate.until_ms
    )


def next_steps(simulation, faults):
    """All events that may happen next; `faults` is how many more faults may be injected."""
    for serial in simulation.in_flight:
        yield Step(f"deliver {serial}", lambda s, n=serial: s.deliver(n), faults)
    if faults:
        yield from fault_steps(simulation, faults - 1)
    for name, candidate in simulation.candidates.items():
        if is_due(simulation, candidate):
            yield Step(f"{name} ticks", lambda s, n=name: s.tick(n), faults)
        elif not simulation.in_flight or candidate.next_ms - simulation.now_ms < 1.0:
            yield Step(
                f"until {name}",
                lambda s, n=name: s.advance(max(0.0, s.candidates[n].next_ms - s.now_ms)),
                faults,
            )
    for ms in PAUSES_MS:
        yield Step(f"{ms} later", lambda s, ms=ms: s.advance(ms), faults)


def first_violation(faults, max_states):
    """Searches distinct states breadth first; returns a history with a violation, or None."""
    first = ElectionSimulation()
    seen = {first.fingerprint()}
    frontier = [(first, faults, ())]
    while frontier:
        following = []
        for simulation, faults_left, steps in frontier:
            for step in next_steps(simulation, faults_left):
                new = copy.deepcopy(simulation)
                step.apply(new)
                if new.violations:
                    return (*steps, step.name, new.violations[0])
                state = (new.fingerprint(), step.faults_left)
                if state in seen:
                    continue
                seen.add(state)
                if len(seen) >= max_states:
                    return None
                following.append((new, step.faults_left, (*steps, step.name)))
        frontier = following
    return None


@pytest.mark.parametrize("faults", [0, 1, 2])
def test_no_order_within_the_bound_has_two_leaseholders_or_an_act_under_a_lower_token(faults):
    assert first_violation(faults, MAX_STATES // 3) is None


class HistoryResult(NamedTuple):
    violation: str | None
    highest_token_acted_on: int


def run_history(seed, voter_class=Voter, candidate_class=Candidate, terms=TERMS, steps=400):
    """Runs one long history by a seed, with all kinds of faults at random rates."""
    rng = random.Random(seed)
    simulation = ElectionSimulation(
        candidates=3, terms=terms, voter_class=voter_class, candidate_class=candidate_class
    )
    loss = rng.random() * 0.3
    duplication = rng.random() * 0.2
    crash = rng.random() * 0.03
    stopped_until_ms = {}
    for _ in range(steps):
        if simulation.in_flight and rng.random() < 0.8:
            serial = rng.choice(list(simulation.in_flight))
            to = simulation.in_flight[serial].to
            chance = rng.random()
            if chance < loss:
                simulation.lose(serial)
            elif stopped_until_ms.get(to, 0.0) <= simulation.now_ms:
                simulation.deliver(serial, chance < loss + duplication)
        else:
            simulation.advance(rng.choice((1.0, 20.0, 60.0, 200.0)))
        run_candidates(simulation, rng, stopped_until_ms)
        if rng.random() < crash:
            restart_some_voter(simulation, rng)
        if simulation.violations:
            return HistoryResult(simulation.violations[0], simulation.highest_token_acted_on)
    return HistoryResult(None, simulation.highest_token_acted_on)


def run_candidates(simulation, rng, stopped_until_ms):
    """Each candidate that is not stopped acts and ticks; at random one is stopped for a while."""
    for name, candidate in simulation.candidates.items():
        if stopped_until_ms.get(name, 0.0) > simulation.now_ms:
            continue
        simulation.act(name)
        if is_due(simulation, candidate):
            simulation.tick(name)
        if rng.random() < 0.01:
            stopped_until_ms[name] = simulation.now_ms + rng.choice((100.0, 1500.0, 4000.0))


def restart_some_voter(simulation, rng):
    """Restarts a voter; only one voter at a time may lose its votes, so a majority keeps theirs."""
    name = rng.choice(simulation.voter_names)
    lost = rng.random() < 0.5 and all(
        voter.silent_until_ms <= simulation.now_ms for voter in simulation.voters.values()
    )
    simulation.restart_voter(name, not lost)


def test_a_candidate_that_learns_of_a_higher_token_ends_its_lease_and_asks_above_it():
    """Of three voters, two that lost their votes can grant a token that one of them granted before.

    The candidate learns of the higher token from the resource on which it acts.
    """
    voter = Voter(TERMS, 0.0, Votes())
    granted = voter.receive(0.0, "a", LeaseRequest("t", 6, 100.0))
    assert granted[-1].message == LeaseGranted("t", 6)
    candidate = Candidate("t", "a", ["k0"], TERMS, 1, 0.0)
    candidate.tick(0.0)
    assert isinstance(candidate.receive(1.0, "k0", LeaseGranted("t", 1, 1))[0], LeaseAcquired)
    ended, *releases = candidate.on_higher_token(2.0, 7)
    assert isinstance(ended, LeaseEnded)
    assert releases
    assert candidate.highest_token == 7
    candidate.tick(10000.0)
    assert candidate.fencing_token == 8


def test_seeded_histories_keep_one_leaseholder_and_make_progress():
    highest_token = 0
    for seed in range(200):
        result = run_history(seed)
        assert result.violation is None, (seed, result.violation)
        highest_token = max(highest_token, result.highest_token_acted_on)
    assert highest_token > 3, "nobody ever held the lease after another"


# ---- each guard removed in turn
class VoterWithoutSilence(Voter):
    """Answers immediately after its votes are lost, without the silence."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.silent_until_ms = -1e18


class VoterWithoutRisingTokens(Voter):
    """Grants a task without leaseholder under any token, even one that was granted before."""

    def on_request(self, now_ms, sender, request):
        vote = self.votes.tasks.get(request.task)
        if vote and (not vote.leaseholder or vote.until_ms <= now_ms):
            vote.fencing_token = min(vote.fencing_token, request.fencing_token - 1)
        return super().on_request(now_ms, sender, request)


class CandidateCountingFromTheAnswer(Candidate):
    """Counts its term from the answer instead of from its request."""

    def on_granted(self, now_ms, sender):
        self.requested_ms = now_ms
        return super().on_granted(now_ms, sender)


class CandidateAcceptingAnyRound(Candidate):
    """Accepts an answer to an earlier round as an answer to the current one."""

    def receive(self, now_ms, sender, message):
        if hasattr(message, "round"):
            message.round = self.round
        return super().receive(now_ms, sender, message)


class VoterForgettingRunningTerms(Voter):
    """Treats the terms of its stored votes as expired at the start."""

    def __init__(self, terms, now_ms, votes=None, **options):
        super().__init__(terms, now_ms, votes, **options)
        for vote in self.votes.tasks.values():
            vote.until_ms = now_ms


@pytest.mark.parametrize(
    "without_guard",
    [
        pytest.param({"voter_class": VoterWithoutSilence}, id="silence after a loss"),
        pytest.param({"candidate_class": CandidateCountingFromTheAnswer}, id="time of request"),
        pytest.param({"voter_class": VoterForgettingRunningTerms}, id="running terms at a start"),
        pytest.param({"voter_class": VoterWithoutRisingTokens}, id="rising tokens"),
    ],
)
def test_a_violation_is_found_once_a_guard_is_removed(without_guard):
    assert any(run_history(seed, **without_guard).violation for seed in range(300)), (
        "no history found a violation without this guard"
    )


# ---- renewal and expiry, step by step
MARGIN_TOO_SMALL = LeaseTerms(
    term_ms=1000.0, clock_drift=0.01, margin_ms=-30.0, longest_term_ms=1000.0
)


def deliver_to(simulation, names):
    """Delivers every message in flight to those names."""
    for serial, sent in list(simulation.in_flight.items()):
        if sent.to in names:
            simulation.deliver(serial)


def simulation_with_leaseholder(**options):
    """Candidate `a` holds the lease from time 0; no message is in flight."""
    simulation = ElectionSimulation(**options)
    simulation.candidates["a"].next_ms = 0.0
    simulation.candidates["b"].next_ms = 1e9
    simulation.tick("a")
    deliver_to(simulation, simulation.voter_names)
    deliver_to(simulation, ["a"])
    assert simulation.leaseholders() == [("a", 1)]
    return simulation


def violations_when_b_asks(simulation, at_ms):
    simulation.advance(at_ms - simulation.now_ms)
    simulation.candidates["b"].next_ms = at_ms
    simulation.candidates["b"].highest_token = 1
    simulation.tick("b")
    deliver_to(simulation, simulation.voter_names)
    deliver_to(simulation, ["b"])
    return simulation.violations


@pytest.mark.parametrize(
    ("candidate_class", "is_violated"), [(Candidate, False), (CandidateAcceptingAnyRound, True)]
)
def test_an_answer_to_an_earlier_round_renews_nothing(candidate_class, is_violated):
    simulation = simulation_with_leaseholder(candidate_class=candidate_class)
    simulation.advance(simulation.candidates["a"].next_ms)
    simulation.tick("a")
    # The voters' answers are delayed, and the requests of the next round are lost.
    deliver_to(simulation, simulation.voter_names)
    answers = list(simulation.in_flight)
    simulation.advance(simulation.candidates["a"].next_ms - simulation.now_ms)
    simulation.tick("a")
    for serial in [serial for serial in simulation.in_flight if serial not in answers]:
        simulation.lose(serial)
    deliver_to(simulation, ["a"])
    assert bool(violations_when_b_asks(simulation, 1400.0)) == is_violated


@pytest.mark.parametrize(("terms", "is_violated"), [(TERMS, False), (MARGIN_TOO_SMALL, True)])
def test_a_leaseholder_stops_before_its_votes_expire(terms, is_violated):
    simulation = simulation_with_leaseholder(terms=terms)
    assert bool(violations_when_b_asks(simulation, 1012.0)) == is_violated
