"""Leader election of one gateway over its links: its voter, if any, and its candidates."""

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
TICK_INTERVAL_S = (
    0.02  # between two ticks of the candidates, while there are any; a fifth of the lease margin
)

TokenCallback = Callable[[int], None]


class WantedLease(NamedTuple):
    """A lease that this gateway asks for or holds, and whom to call with its fencing token."""

    candidate: Candidate
    on_acquired: TokenCallback
    on_ended: TokenCallback


class LeaseService:
    """The leases of one gateway.

    `hold` asks for a task's lease until `release`; the two callbacks of a lease come in
    alternation.

    Invariant: every task in `holding` is in `wanted`, except while its end is being reported.
    """

    def __init__(
        self,
        peers: MembershipService,
        settings: Any,
        vote_storage: Callable[[str, str], VoteStorage] = VoteStore,
    ) -> None:
        """Starts the voter, where this gateway is one.

        Args:
            peers: The gateway's links to peers.
            settings: The configuration's record of leases.
            vote_storage: Makes what keeps the voter's votes, of a path and the voter's name.
        """
        self.peers = peers
        self.loop = peers.loop
        self.gateway: str = peers.local.name
        self.now_ms: Callable[[], float] = peers.now
        self.terms = LeaseTerms(
            settings["term"], settings["drift"], settings["margin"], settings["longest"]
        )
        self.voters: list[str] = [one["name"] for one in peers.settings["keepers"]]
        self.wanted: dict[str, WantedLease] = {}
        self.holding: dict[str, HeldLease] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.is_closed = False
        self.vetoes: list[Callable[[str], str]] = []
        self.storage: VoteStorage | None = None
        self.voter: Voter | None = None
        if self.gateway in self.voters:
            self.storage = vote_storage(settings["promises"], self.gateway)
            self.voter = Voter(self.terms, self.now_ms(), self.storage.read(), self.veto)
        peers.subscribe(LeaseRequest, self.on_voter_message)
        peers.subscribe(LeaseRelease, self.on_voter_message)
        peers.subscribe(LeaseGranted, self.on_candidate_message)
        peers.subscribe(LeaseRefused, self.on_candidate_message)

    def veto(self, task: str) -> str:
        """Returns the first reason of `vetoes` not to grant the task now, "" for none."""
        for veto in self.vetoes:
            if reason := veto(task):
                return reason
        return ""

    # ---- messages
    def send(self, to: str, message: ElectionMessage) -> None:
        """Sends to a peer; to this gateway itself by way of the event loop."""
        if to != self.gateway:
            self.peers.send(to, message)
        elif isinstance(message, LeaseRequest | LeaseRelease):
            self.loop.call_soon(self.on_voter_message, self.gateway, message)
        else:
            self.loop.call_soon(self.on_candidate_message, self.gateway, message)

    def on_voter_message(self, sender: str, message: VoterMessage) -> None:
        """Takes a candidate's message to the voter; its answers leave once the votes are stored."""
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
        """Sends a voter's answers."""
        for action in actions:
            if isinstance(action, SendMessage) and not self.is_closed:
                self.send(action.to, action.message)

    def on_candidate_message(self, sender: str, message: CandidateMessage) -> None:
        """Takes a voter's answer to the candidate; a grant that is no longer wanted is released."""
        wanted = self.wanted.get(message.task)
        if wanted is not None:
            self.carry_out(wanted.candidate.receive(self.now_ms(), sender, message))
        elif isinstance(message, LeaseGranted):
            self.send(sender, LeaseRelease(message.task, message.fencing_token))

    # ---- leases
    def hold(
        self,
        task: str,
        on_acquired: TokenCallback,
        on_ended: TokenCallback,
        delay_ms: float = 0.0,
    ) -> None:
        """Asks for the lease of a task, and renews it, until `release`.

        Args:
            task: The task; nothing happens where its lease is wanted already.
            on_acquired: Called with the fencing token once the lease is held.
            on_ended: Called with that token once it is held no longer.
            delay_ms: Before the first request.
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
        """Releases the lease of a task at once, or stops asking for it."""
        if task in self.wanted:
            self.carry_out(self.wanted[task].candidate.leave(self.now_ms()))
            self.wanted.pop(task, None)

    def on_higher_token(self, task: str, highest_token: int) -> None:
        """Ends a lease whose token was refused by what was acted on, for a higher one."""
        if task in self.wanted:
            candidate = self.wanted[task].candidate
            self.carry_out(candidate.on_higher_token(self.now_ms(), highest_token))

    def fencing_token(self, task: str) -> int | None:
        """Returns the token of a lease held now, None otherwise; asked before each act."""
        held = self.holding.get(task)
        if held is None or self.now_ms() >= held.until_ms:
            return None
        return held.fencing_token

    def tick(self) -> None:
        """Lets every candidate see the time, and sets the timer for the next tick."""
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
        """Carries out what a candidate decided, in its order."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.to, action.message)
            elif isinstance(action, LeaseAcquired):
                self.on_acquired(action)
            else:
                self.on_ended(action)

    def on_acquired(self, action: LeaseAcquired) -> None:
        """Notes a lease acquired or renewed; its owner is called where it is acquired."""
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
        """Notes the end of a lease, and calls its owner."""
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
        """Releases all leases and ends."""
        for task in list(self.wanted):
            self.release(task)
        self.abort()

    def abort(self) -> None:
        """Ends without a release, as the loss of the process would."""
        self.is_closed = True
        if self.timer:
            self.timer.cancel()
        if self.storage:
            self.storage.close()

    # ---- for operators
    def table(self) -> dict[str, Any]:
        """Returns, for the control socket, the leases held here and the votes of this voter."""
        now_ms = self.now_ms()
        return {
            "gateway": self.gateway,
            "life": self.peers.local.incarnation,
            "keepers": self.voters,
            "held": held_rows(self.holding, now_ms),
            "asked for": sorted(task for task in self.wanted if task not in self.holding),
            "keeper": voter_table(self.voter, now_ms) if self.voter else None,
        }

    # ---- names that other packages still call
    @property
    def keepers(self) -> list[str]:
        """`voters`, as the failover and zone drain packages call it."""
        return self.voters

    @property
    def refusing(self) -> list[Callable[[str], str]]:
        """`vetoes`, as the failover package calls it."""
        return self.vetoes

    def number(self, task: str) -> int | None:
        """`fencing_token`, as the failover and zone drain packages call it."""
        return self.fencing_token(task)

    def outdone(self, task: str, highest_token: int) -> None:
        """`on_higher_token`, as the failover and zone drain packages call it."""
        self.on_higher_token(task, highest_token)
