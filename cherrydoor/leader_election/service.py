"""Runs leader election for one gateway over its links: its candidates, and its voter if it has one.

The state machines are in `candidate.py` and `voter.py`.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import structlog

from cherrydoor.leader_election.candidate import Candidate
from cherrydoor.leader_election.messages import (
    CandidateAction,
    CandidateMessage,
    ElectionMessage,
    LeaseAcquired,
    LeaseEnded,
    LeaseTerms,
    SaveVotes,
    SendMessage,
    VoterAction,
    VoterMessage,
)
from cherrydoor.leader_election.status import HeldLease, held_rows, voter_table
from cherrydoor.leader_election.vote_store import VoteStorage, VoteStore
from cherrydoor.leader_election.voter import Voter
from cherrydoor.membership.service import MembershipService
from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

log = structlog.get_logger()
# Interval between ticks while there are candidates; a fifth of the default lease margin (100 ms).
TICK_INTERVAL_S = 0.02

TokenCallback = Callable[[int], None]


class WantedLease(NamedTuple):
    """A lease that this gateway requests or holds, and its callbacks, which get the token."""

    candidate: Candidate
    on_acquired: TokenCallback
    on_ended: TokenCallback


class LeaseService:
    """The leases of one gateway.

    `request_lease` requests a task's lease, and keeps renewing it, until `release`. The callbacks
    of a lease alternate: `on_acquired`, then `on_ended`, and so on.

    Invariant: every task in `holding` is also in `wanted`, except while its end is being reported.
    """

    def __init__(
        self,
        peers: MembershipService,
        settings: Any,
        vote_storage: Callable[[str, str], VoteStorage] = VoteStore,
    ) -> None:
        """Subscribes to lease messages, and starts the voter if this gateway is one.

        Args:
            peers: The gateway's links to peers.
            settings: The configuration's section on leases.
            vote_storage: Creates the storage of the votes from a path and the voter's name.
        """
        self.peers = peers
        self.loop = peers.loop
        self.gateway: str = peers.local.name
        self.now_ms: Callable[[], float] = peers.now
        self.terms = LeaseTerms(
            settings["term"], settings["drift"], settings["margin"], settings["longest"]
        )
        self.voters: list[str] = [entry["name"] for entry in peers.settings["keepers"]]
        self.wanted: dict[str, WantedLease] = {}
        self.holding: dict[str, HeldLease] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.is_closed = False
        self.grant_checks: list[Callable[[str], str]] = []
        self.storage: VoteStorage | None = None
        self.voter: Voter | None = None
        if self.gateway in self.voters:
            self.storage = vote_storage(settings["promises"], self.gateway)
            self.voter = Voter(self.terms, self.now_ms(), self.storage.read(), self.check_grant)
        peers.subscribe(LeaseRequest, self.on_voter_message)
        peers.subscribe(LeaseRelease, self.on_voter_message)
        peers.subscribe(LeaseGranted, self.on_candidate_message)
        peers.subscribe(LeaseRefused, self.on_candidate_message)

    def check_grant(self, task: str) -> str:
        """Returns the first reason of `grant_checks` not to grant the task now, or ""."""
        for check_grant in self.grant_checks:
            if reason := check_grant(task):
                return reason
        return ""

    # ---- messages
    def send(self, to: str, message: ElectionMessage) -> None:
        """Sends a message to a peer, or to this gateway itself.

        A message to itself is delivered in a later iteration of the event loop.
        """
        if to != self.gateway:
            self.peers.send(to, message)
        elif isinstance(message, LeaseRequest | LeaseRelease):
            self.loop.call_soon(self.on_voter_message, self.gateway, message)
        else:
            self.loop.call_soon(self.on_candidate_message, self.gateway, message)

    def on_voter_message(self, sender: str, message: VoterMessage) -> None:
        """Passes a candidate's message to the voter; answers are sent once the votes are stored."""
        if self.voter is None or self.storage is None or self.is_closed:
            return
        actions = self.voter.receive(self.now_ms(), sender, message)
        if not actions:
            return
        first, *answers = actions
        if isinstance(first, SaveVotes):
            self.storage.save(first.votes, lambda: self.send_answers(answers))
        else:
            self.send_answers(actions)

    def send_answers(self, actions: list[VoterAction]) -> None:
        """Sends the answers of the voter, unless the service has been closed meanwhile."""
        for action in actions:
            if isinstance(action, SendMessage) and not self.is_closed:
                self.send(action.to, action.message)

    def on_candidate_message(self, sender: str, message: CandidateMessage) -> None:
        """Passes a voter's answer to the candidate; releases a grant that is no longer wanted."""
        wanted = self.wanted.get(message.task)
        if wanted is not None:
            self.carry_out(wanted.candidate.receive(self.now_ms(), sender, message))
        elif isinstance(message, LeaseGranted):
            self.send(sender, LeaseRelease(message.task, message.fencing_token))

    # ---- leases
    def request_lease(
        self,
        task: str,
        on_acquired: TokenCallback,
        on_ended: TokenCallback,
        delay_ms: float = 0.0,
    ) -> None:
        """Requests the lease of a task, and keeps renewing it, until `release`.

        Args:
            task: The task; the call has no effect if its lease is already requested or held.
            on_acquired: Called with the fencing token when the lease is acquired.
            on_ended: Called with the same token when the lease has ended.
            delay_ms: The delay before the first request.
        """
        if task in self.wanted or self.is_closed:
            return
        candidate = Candidate(
            task,
            self.gateway,
            self.voters,
            self.terms,
            self.peers.service.config.seed,
            self.now_ms(),
            lambda: len(self.holding),
            delay_ms,
        )
        self.wanted[task] = WantedLease(candidate, on_acquired, on_ended)
        self.tick()

    def release(self, task: str) -> None:
        """Releases the lease of a task immediately, or stops requesting it."""
        if task in self.wanted:
            self.carry_out(self.wanted[task].candidate.leave(self.now_ms()))
            self.wanted.pop(task, None)

    def on_higher_token(self, task: str, highest_token: int) -> None:
        """Ends the lease of a task if its token is lower than one that a resource has seen.

        Args:
            task: The task of the lease.
            highest_token: The highest token that the resource has seen.
        """
        if task in self.wanted:
            candidate = self.wanted[task].candidate
            self.carry_out(candidate.on_higher_token(self.now_ms(), highest_token))

    def fencing_token(self, task: str) -> int | None:
        """Returns the token of the task's lease, None if this gateway does not hold it now.

        To be checked before each act under the lease.
        """
        held = self.holding.get(task)
        if held is None or self.now_ms() >= held.until_ms:
            return None
        return held.fencing_token

    def tick(self) -> None:
        """Runs the timers of every candidate, and schedules the next tick."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.is_closed:
            return
        now_ms = self.now_ms()
        for wanted in list(self.wanted.values()):
            self.carry_out(wanted.candidate.tick(now_ms))
        if self.wanted and not self.is_closed:
            self.timer = self.loop.call_later(TICK_INTERVAL_S, self.tick)

    def carry_out(self, actions: list[CandidateAction]) -> None:
        """Executes the actions of a candidate in order."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.to, action.message)
            elif isinstance(action, LeaseAcquired):
                self.on_acquired(action)
            else:
                self.on_ended(action)

    def on_acquired(self, action: LeaseAcquired) -> None:
        """Records an acquired or renewed lease; calls its callback only on acquisition."""
        is_new = action.task not in self.holding
        self.holding[action.task] = HeldLease(action.fencing_token, action.until_ms)
        if is_new:
            log.info(
                "lease acquired",
                gateway=self.gateway,
                task=action.task,
                fencing_token=action.fencing_token,
            )
            self.wanted[action.task].on_acquired(action.fencing_token)

    def on_ended(self, action: LeaseEnded) -> None:
        """Records the end of a lease and calls its callback."""
        self.holding.pop(action.task, None)
        log.info(
            "lease ended",
            gateway=self.gateway,
            task=action.task,
            fencing_token=action.fencing_token,
            reason=action.reason,
        )
        self.wanted[action.task].on_ended(action.fencing_token)

    def close(self) -> None:
        """Releases all leases and stops the service."""
        for task in list(self.wanted):
            self.release(task)
        self.abort()

    def abort(self) -> None:
        """Stops the service without releasing leases, as a crash of the process would."""
        self.is_closed = True
        if self.timer:
            self.timer.cancel()
        if self.storage:
            self.storage.close()

    # ---- control socket
    def table(self) -> dict[str, Any]:
        """Returns the leases held or requested here, and the votes of this voter."""
        now_ms = self.now_ms()
        return {
            "gateway": self.gateway,
            "life": self.peers.local.incarnation,
            "keepers": self.voters,
            "held": held_rows(self.holding, now_ms),
            "asked for": sorted(task for task in self.wanted if task not in self.holding),
            "keeper": voter_table(self.voter, now_ms) if self.voter else None,
        }
