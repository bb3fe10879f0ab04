"""A candidate for the lease of one task.

Pure: (now, message) in, actions out.

A candidate that a majority of the voters grants the same fencing token holds the lease from when it
*asked*, for the term shortened by the clock drift and a margin. No clocks are compared: each side
measures a length, and the leaseholder's begins before any voter's. Any two majorities share a
voter, so there is one leaseholder at a time, and its token is above all before it.

Times are ms of any steady clock of the process.
"""

from collections.abc import Callable, Sequence
from enum import StrEnum
from zlib import crc32

from cherrydoor.leader_election.messages import (
    CandidateAction,
    CandidateMessage,
    LeaseAcquired,
    LeaseEnded,
    LeaseTerms,
    SendMessage,
)
from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

FIRST_BACKOFF_MS = 50.0  # after a first lost round; about the spread of answers within a zone
LONGEST_BACKOFF_MS = 2000.0  # the doubled back-off stops here, so that a task is not idle for long
MAX_BACKOFF_DOUBLINGS = 6  # 50 ms doubled six times is beyond the longest back-off
HELD_RETRY_MS = 250.0  # between requests for a lease that another holds: it may be released early
ROUND_TIMEOUT_MS = 400.0  # a round of requests is given up then: some voters may be unreachable
RENEWALS_PER_TERM = 3  # one lost round of renewals still leaves time for another
VALUES_OF_CRC32 = 2.0**32


class CandidateState(StrEnum):
    """Where a candidate stands."""

    WAITING = "waiting"
    ASKING = "asking"
    HOLDING = "holding"


def never_busy() -> int:
    """The default count of leases held already: none."""
    return 0


class Candidate:
    """One task that this gateway wants the lease of."""

    def __init__(
        self,
        task: str,
        gateway: str,
        voters: Sequence[str],
        terms: LeaseTerms,
        seed: int,
        now_ms: float,
        leases_held: Callable[[], int] = never_busy,
        delay_ms: float = 0.0,
    ) -> None:
        """Starts a candidate, which first asks at `next_ms`.

        Args:
            task: The task whose lease is wanted.
            gateway: The name of this gateway.
            voters: The names of all voters.
            terms: The lease terms of the fleet.
            seed: Of the pseudo-random back-off.
            now_ms: The time now.
            leases_held: How many leases this gateway holds already: the more, the longer it waits
                for a further one, so that no gateway takes all.
            delay_ms: Before the first request.
        """
        self.task = task
        self.gateway = gateway
        self.voters = list(voters)
        self.terms = terms
        self.seed = seed
        self.leases_held = leases_held
        self.state = CandidateState.WAITING
        self.fencing_token = 0
        self.highest_token = 0
        self.failed_rounds = 0
        self.draws = 0
        self.asked_ms = 0.0
        self.until_ms = 0.0
        self.round = 0
        self.grants: set[str] = set()
        self.refusals: set[str] = set()
        self.next_ms = now_ms + delay_ms + self.jittered(FIRST_BACKOFF_MS) * (leases_held() > 0)

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    def draw(self) -> float:
        """Returns the next pseudo-random number in [0, 1), of the seed alone."""
        self.draws += 1
        key = f"{self.seed}/{self.gateway}/{self.task}/{self.draws}"
        return crc32(key.encode()) / VALUES_OF_CRC32

    def jittered(self, span_ms: float) -> float:
        """Returns the span, longer for who holds more leases, times 0.5 to 1.5."""
        return span_ms * (1 + self.leases_held()) * (0.5 + self.draw())

    def tick(self, now_ms: float) -> list[CandidateAction]:
        """Asks, renews or gives up a round from `next_ms` on; ends an expired lease."""
        if self.state is CandidateState.HOLDING and now_ms >= self.until_ms:
            return self.end(now_ms, "its term is over")
        if now_ms < self.next_ms:
            return []
        if self.state is CandidateState.ASKING:
            return self.give_up_round(now_ms)
        if self.state is CandidateState.WAITING:
            self.state = CandidateState.ASKING
            self.fencing_token = self.highest_token + 1
        return self.ask(now_ms)

    def ask(self, now_ms: float) -> list[CandidateAction]:
        """Sends one round of requests; grants of a leaseholder's renew its lease."""
        self.asked_ms = now_ms
        self.round += 1
        self.grants = set()
        self.refusals = set()
        self.next_ms = now_ms + ROUND_TIMEOUT_MS
        if self.state is CandidateState.HOLDING:
            self.next_ms = min(self.until_ms, self.next_ms)
        return [
            SendMessage(
                voter,
                LeaseRequest(self.task, self.fencing_token, self.terms.term_ms, self.round),
            )
            for voter in self.voters
        ]

    def receive(
        self, now_ms: float, sender: str, message: CandidateMessage
    ) -> list[CandidateAction]:
        """Returns the actions for one answer of a voter.

        Only answers to the current round count: one to an earlier round says nothing of how long
        this one's lease may be held.
        """
        if message.task != self.task or sender not in self.voters:
            return []
        if isinstance(message, LeaseRefused):
            self.highest_token = max(self.highest_token, message.highest_token)
        is_waiting = self.state is CandidateState.WAITING
        if is_waiting or message.fencing_token != self.fencing_token:
            return self.release_late_grant(sender, message)
        if message.round != self.round:
            return []
        if isinstance(message, LeaseRefused):
            return self.on_refused(now_ms, sender, message)
        return self.on_granted(now_ms, sender)

    def release_late_grant(self, sender: str, message: CandidateMessage) -> list[CandidateAction]:
        """Releases a grant that came too late, or the task would lie idle for a term."""
        if not isinstance(message, LeaseGranted):
            return []
        return [SendMessage(sender, LeaseRelease(self.task, message.fencing_token))]

    def on_refused(
        self, now_ms: float, sender: str, refusal: LeaseRefused
    ) -> list[CandidateAction]:
        """Counts a refusal; where no majority is left to grant, the round is given up at once."""
        self.refusals.add(sender)
        no_quorum_left = len(self.refusals) > len(self.voters) - self.quorum
        if self.state is CandidateState.ASKING and no_quorum_left:
            return self.give_up_round(now_ms, refusal.wait_ms)
        return []

    def on_granted(self, now_ms: float, sender: str) -> list[CandidateAction]:
        """Counts a grant; a majority of them acquires or renews the lease."""
        self.grants.add(sender)
        until_ms = self.terms.held_until_ms(self.asked_ms)
        if len(self.grants) < self.quorum or now_ms >= until_ms:
            return []
        if self.state is CandidateState.HOLDING and now_ms >= self.until_ms:
            # It had expired before the last grant came.
            return self.end(now_ms, "its term is over")
        self.state = CandidateState.HOLDING
        self.until_ms = until_ms
        self.failed_rounds = 0
        self.highest_token = max(self.highest_token, self.fencing_token)
        self.next_ms = min(until_ms, self.asked_ms + self.terms.term_ms / RENEWALS_PER_TERM)
        return [LeaseAcquired(self.task, self.fencing_token, until_ms)]

    def release_to_all(self) -> list[CandidateAction]:
        """Returns a release of the current token to every voter."""
        return [
            SendMessage(voter, LeaseRelease(self.task, self.fencing_token)) for voter in self.voters
        ]

    def give_up_round(self, now_ms: float, wait_ms: float = 0.0) -> list[CandidateAction]:
        """Releases what a lost round was granted, and puts off the next one by a jittered back-off.

        Args:
            now_ms: The time now.
            wait_ms: How long the current leaseholder's term runs on, 0 where nobody is known to
                hold the lease.
        """
        self.state = CandidateState.WAITING
        self.highest_token = max(self.highest_token, self.fencing_token)
        if wait_ms:
            # It may be released sooner than its term runs out.
            self.failed_rounds = 0
            self.next_ms = now_ms + min(wait_ms, HELD_RETRY_MS) + self.jittered(FIRST_BACKOFF_MS)
            return self.release_to_all()
        backoff_ms = FIRST_BACKOFF_MS * 2 ** min(self.failed_rounds, MAX_BACKOFF_DOUBLINGS)
        self.next_ms = now_ms + self.jittered(min(LONGEST_BACKOFF_MS, backoff_ms))
        self.failed_rounds += 1
        return self.release_to_all()

    def end(self, now_ms: float, reason: str) -> list[CandidateAction]:
        """Stops holding the lease; it is asked for again after a jittered pause."""
        self.state = CandidateState.WAITING
        self.next_ms = now_ms + self.jittered(FIRST_BACKOFF_MS)
        return [LeaseEnded(self.task, self.fencing_token, reason)]

    def on_higher_token(self, now_ms: float, highest_token: int) -> list[CandidateAction]:
        """Ends a lease where something that was acted on has seen a higher token."""
        self.highest_token = max(self.highest_token, highest_token)
        if self.state is not CandidateState.HOLDING or highest_token <= self.fencing_token:
            return []
        releases = self.release_to_all()
        return [*self.end(now_ms, "a higher fencing token has been seen"), *releases]

    def leave(self, now_ms: float) -> list[CandidateAction]:
        """Releases the lease for good: voters are free to grant it to another at once."""
        if self.state is CandidateState.WAITING:
            return []
        actions: list[CandidateAction] = []
        if self.state is CandidateState.HOLDING:
            actions.append(LeaseEnded(self.task, self.fencing_token, "released"))
        self.state = CandidateState.WAITING
        self.next_ms = float("inf")
        return [*actions, *self.release_to_all()]
