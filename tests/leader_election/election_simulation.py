"""Simulates voters and candidates and the messages in flight between them; time moves in steps.

In a fleet, leaseholders and voters each measure time by their own clock. Here all use the clock of
the simulation. A test may stop a process: the clock runs on, and messages to it wait in flight.
"""

import copy
from itertools import count
from typing import NamedTuple

from cherrydoor.leader_election.candidate import Candidate, CandidateState
from cherrydoor.leader_election.messages import (
    ElectionMessage,
    LeaseAcquired,
    LeaseEnded,
    LeaseTerms,
    SaveVotes,
    SendMessage,
)
from cherrydoor.leader_election.voter import Voter

TERMS = LeaseTerms(term_ms=1000.0, clock_drift=0.01, margin_ms=50.0, longest_term_ms=1000.0)
CANDIDATE_NAMES = ("a", "b", "c")
SEED = 7
MAX_DISTANCE_TERMS = 100  # times further away than this many terms count as equal in a fingerprint


class InFlight(NamedTuple):
    """A message that was sent but not yet delivered."""

    sender: str
    to: str
    message: ElectionMessage


class ElectionSimulation:
    """Voters and candidates of one task.

    `violations` describes each time that there were two leaseholders, or an act under a token lower
    than one acted under before.
    """

    def __init__(
        self, voters=3, candidates=2, terms=TERMS, candidate_class=Candidate, voter_class=Voter
    ):
        self.terms = terms
        self.voter_class = voter_class
        self.now_ms = 0.0
        self.in_flight = {}
        self.serials = count(1)
        self.voter_names = [f"k{number}" for number in range(voters)]
        # No votes yet. The voters started long ago, so none of them is in its silence.
        self.disk = dict.fromkeys(self.voter_names)
        self.voters = {
            name: voter_class(terms, -10 * terms.longest_term_ms) for name in self.voter_names
        }
        self.candidates = {
            name: candidate_class("t", name, self.voter_names, terms, SEED, 0.0)
            for name in CANDIDATE_NAMES[:candidates]
        }
        self.leases = {}
        self.highest_token_acted_on = 0
        self.violations = []
        self.votes_were_lost = False

    # ---- what a resource sees: acts under tokens, while a leaseholder takes its lease to be valid
    def leaseholders(self):
        return [
            (name, lease.fencing_token)
            for name, lease in self.leases.items()
            if self.now_ms < lease.until_ms
        ]

    def check(self):
        leaseholders = self.leaseholders()
        if len(leaseholders) > 1:
            self.violations.append(f"two leaseholders at {self.now_ms}: {leaseholders}")

    def act(self, name):
        """The leaseholder acts on a resource, which remembers the highest token it has seen."""
        if name not in dict(self.leaseholders()):
            return
        fencing_token = self.leases[name].fencing_token
        if fencing_token >= self.highest_token_acted_on:
            self.highest_token_acted_on = fencing_token
        elif self.votes_were_lost:
            # A voter lost its votes, so tokens may start low again. The resource refuses the act
            # and reports the highest token that it has seen.
            candidate = self.candidates[name]
            self.carry_out(
                name, candidate.on_higher_token(self.now_ms, self.highest_token_acted_on)
            )
        else:
            self.violations.append(
                f"an act under {fencing_token} after {self.highest_token_acted_on}"
            )

    # ---- events
    def carry_out(self, name, actions):
        for action in actions:
            match action:
                case SendMessage():
                    serial = next(self.serials)
                    self.in_flight[serial] = InFlight(name, action.to, action.message)
                case SaveVotes():
                    self.disk[name] = copy.deepcopy(action.votes)
                case LeaseAcquired():
                    self.leases[name] = action
                    self.act(name)
                case LeaseEnded():
                    self.leases.pop(name, None)
        self.check()

    def deliver(self, serial, keep=False):
        """Delivers a message; with `keep`, it stays in flight and can be delivered again."""
        sender, to, message = self.in_flight[serial] if keep else self.in_flight.pop(serial)
        receiver = self.voters.get(to) or self.candidates.get(to)
        if receiver is not None:
            self.carry_out(to, receiver.receive(self.now_ms, sender, message))

    def lose(self, serial):
        del self.in_flight[serial]

    def tick(self, name):
        self.carry_out(name, self.candidates[name].tick(self.now_ms))

    def advance(self, ms):
        self.now_ms += ms
        self.check()

    def restart_voter(self, name, with_votes=True):
        """Restarts a voter, with its votes as last synced or without them."""
        votes = copy.deepcopy(self.disk[name]) if with_votes else None
        if not with_votes:
            self.disk[name] = None
            self.votes_were_lost = True
        self.voters[name] = self.voter_class(self.terms, self.now_ms, votes)

    # ---- comparing states in a search
    def fingerprint(self):
        """Returns a hash of everything that determines what can happen next."""
        return hash(
            (
                tuple(self.voter_state(voter) for voter in self.voters.values()),
                tuple(self.candidate_state(candidate) for candidate in self.candidates.values()),
                tuple(
                    sorted(
                        (name, lease.fencing_token, self.from_now(lease.until_ms))
                        for name, lease in self.leases.items()
                    )
                ),
                tuple(sorted(repr(tuple(sent)) for sent in self.in_flight.values())),
                self.highest_token_acted_on,
                self.votes_were_lost,
            )
        )

    def from_now(self, time_ms):
        bound_ms = MAX_DISTANCE_TERMS * self.terms.term_ms
        return round(min(bound_ms, max(-bound_ms, time_ms - self.now_ms)), 1)

    def voter_state(self, voter):
        is_silent = voter.silent_until_ms > self.now_ms
        votes = tuple(
            (
                task,
                vote.fencing_token,
                vote.leaseholder,
                self.from_now(vote.until_ms) if vote.leaseholder else 0,
            )
            for task, vote in voter.votes.tasks.items()
        )
        return (self.from_now(voter.silent_until_ms) if is_silent else 0, votes)

    def candidate_state(self, candidate):
        is_holding = candidate.state is CandidateState.HOLDING
        return (
            candidate.state,
            candidate.fencing_token,
            candidate.highest_token,
            candidate.round,
            self.from_now(candidate.requested_ms),
            self.from_now(candidate.until_ms) if is_holding else 0,
            self.from_now(candidate.next_ms),
            tuple(sorted(candidate.grants)),
            tuple(sorted(candidate.refusals)),
        )
