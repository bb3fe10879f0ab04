"""A candidate for the lease of one task.

A pure state machine: it takes the current time and a message, and returns actions. It does no I/O.

A candidate holds the lease once a majority of the voters has granted it the same fencing token. The
lease runs from the time of the *request*, for the term minus the clock drift and a margin. Clocks
of different processes are never compared: each side measures a duration, and the leaseholder starts
measuring before any voter does. Any two majorities share a voter, so there is at most one
leaseholder at a time, and its token is higher than that of every earlier leaseholder.

Times are in ms of any monotonic clock of the process.
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

# Backoff after the first failed round; about the spread of response times within a zone.
INITIAL_BACKOFF_MS = 50.0
# Limit of the doubled backoff, so that a task is not without a leaseholder for long.
MAX_BACKOFF_MS = 2000.0
MAX_BACKOFF_DOUBLINGS = 6  # 50 ms doubled six times exceeds the longest backoff
# Longest wait before a lease that another gateway holds is requested again: it may be released
# before its term expires.
HELD_LEASE_RETRY_MS = 250.0
# A round of requests is abandoned after this time, as some voters may be unreachable.
ROUND_TIMEOUT_MS = 400.0
RENEWALS_PER_TERM = 3  # after one failed round of renewals there is still time for another
CRC32_RANGE = 2.0**32


class CandidateState(StrEnum):
    """The states of a candidate."""

    WAITING = "waiting"
    ASKING = "asking"
    HOLDING = "holding"


def no_leases_held() -> int:
    """Returns 0; the default for `leases_held`."""
    return 0


class Candidate:
    """Requests, renews and releases the lease of one task for this gateway."""

    def __init__(
        self,
        task: str,
        gateway: str,
        voters: Sequence[str],
        terms: LeaseTerms,
        seed: int,
        now_ms: float,
        leases_held: Callable[[], int] = no_leases_held,
        delay_ms: float = 0.0,
    ) -> None:
        """Starts a candidate, which sends its first request at `next_ms`.

        Args:
            task: The task whose lease is wanted.
            gateway: The name of this gateway.
            voters: The names of all voters.
            terms: The lease terms of the fleet.
            seed: The seed of the pseudo-random backoff.
            now_ms: The current time.
            leases_held: Returns how many leases this gateway already holds. The more it holds, the
                longer it waits before requesting another, so that no gateway takes all leases.
            delay_ms: The delay before the first request.
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
        self.draw_count = 0
        self.requested_ms = 0.0
        self.until_ms = 0.0
        self.round = 0
        self.grants: set[str] = set()
        self.refusals: set[str] = set()
        self.next_ms = now_ms + delay_ms + self.jittered(INITIAL_BACKOFF_MS) * (leases_held() > 0)

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def draw(self) -> float:
        """Returns the next pseudo-random number in [0, 1).

        The sequence depends only on the seed, the gateway and the task.
        """
        self.draw_count += 1
        key = f"{self.seed}/{self.gateway}/{self.task}/{self.draw_count}"
        return crc32(key.encode()) / CRC32_RANGE

    def jittered(self, span_ms: float) -> float:
        """Returns a span times (1 + leases held here) and times a random factor of 0.5 to 1.5."""
        return span_ms * (1 + self.leases_held()) * (0.5 + self.draw())

    def tick(self, now_ms: float) -> list[CandidateAction]:
        """Ends an expired lease; once `next_ms` is due, requests, renews or abandons a round."""
        if self.state is CandidateState.HOLDING and now_ms >= self.until_ms:
            return self.end_lease(now_ms, "its term is over")
        if now_ms < self.next_ms:
            return []
        if self.state is CandidateState.ASKING:
            return self.abandon_round(now_ms)
        if self.state is CandidateState.WAITING:
            self.state = CandidateState.ASKING
            self.fencing_token = self.highest_token + 1
        return self.start_round(now_ms)

    def start_round(self, now_ms: float) -> list[CandidateAction]:
        """Starts a round: sends a request to every voter, to acquire or to renew the lease."""
        self.requested_ms = now_ms
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

        Only answers to the current round count. An answer to an earlier round does not show that
        the voter's term covers a lease counted from the current request.
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
        """Releases a grant that came too late; otherwise the task would be blocked for a term."""
        if not isinstance(message, LeaseGranted):
            return []
        return [SendMessage(sender, LeaseRelease(self.task, message.fencing_token))]

    def on_refused(
        self, now_ms: float, sender: str, refusal: LeaseRefused
    ) -> list[CandidateAction]:
        """Counts a refusal; abandons the round once a majority of grants is no longer possible."""
        self.refusals.add(sender)
        no_quorum_left = len(self.refusals) > len(self.voters) - self.quorum
        if self.state is CandidateState.ASKING and no_quorum_left:
            return self.abandon_round(now_ms, refusal.wait_ms)
        return []

    def on_granted(self, now_ms: float, sender: str) -> list[CandidateAction]:
        """Counts a grant; a majority of grants acquires or renews the lease."""
        self.grants.add(sender)
        until_ms = self.terms.held_until_ms(self.requested_ms)
        if len(self.grants) < self.quorum or now_ms >= until_ms:
            return []
        if self.state is CandidateState.HOLDING and now_ms >= self.until_ms:
            # The lease expired before the grant that completes the majority arrived.
            return self.end_lease(now_ms, "its term is over")
        self.state = CandidateState.HOLDING
        self.until_ms = until_ms
        self.failed_rounds = 0
        self.highest_token = max(self.highest_token, self.fencing_token)
        self.next_ms = min(until_ms, self.requested_ms + self.terms.term_ms / RENEWALS_PER_TERM)
        return [LeaseAcquired(self.task, self.fencing_token, until_ms)]

    def release_to_all(self) -> list[CandidateAction]:
        """Returns actions that release the current token at every voter."""
        return [
            SendMessage(voter, LeaseRelease(self.task, self.fencing_token)) for voter in self.voters
        ]

    def abandon_round(self, now_ms: float, wait_ms: float = 0.0) -> list[CandidateAction]:
        """Releases the grants of a failed round and schedules the next with a jittered backoff.

        Args:
            now_ms: The current time.
            wait_ms: The rest of the current leaseholder's term; 0 where no leaseholder is known.
        """
        self.state = CandidateState.WAITING
        self.highest_token = max(self.highest_token, self.fencing_token)
        if wait_ms:
            # The lease may be released before its term expires, so the wait is capped.
            self.failed_rounds = 0
            self.next_ms = (
                now_ms + min(wait_ms, HELD_LEASE_RETRY_MS) + self.jittered(INITIAL_BACKOFF_MS)
            )
            return self.release_to_all()
        backoff_ms = INITIAL_BACKOFF_MS * 2 ** min(self.failed_rounds, MAX_BACKOFF_DOUBLINGS)
        self.next_ms = now_ms + self.jittered(min(MAX_BACKOFF_MS, backoff_ms))
        self.failed_rounds += 1
        return self.release_to_all()

    def end_lease(self, now_ms: float, reason: str) -> list[CandidateAction]:
        """Ends the lease here; it is requested again after a jittered delay."""
        self.state = CandidateState.WAITING
        self.next_ms = now_ms + self.jittered(INITIAL_BACKOFF_MS)
        return [LeaseEnded(self.task, self.fencing_token, reason)]

    def on_higher_token(self, now_ms: float, highest_token: int) -> list[CandidateAction]:
        """Ends the lease if the token seen by a resource is higher than the lease's token.

        Args:
            now_ms: The current time.
            highest_token: The highest token that a resource guarded by this lease has seen.
        """
        self.highest_token = max(self.highest_token, highest_token)
        if self.state is not CandidateState.HOLDING or highest_token <= self.fencing_token:
            return []
        releases = self.release_to_all()
        return [*self.end_lease(now_ms, "a higher fencing token has been seen"), *releases]

    def leave(self, now_ms: float) -> list[CandidateAction]:
        """Releases the lease and requests it no more; voters may grant it to others at once."""
        if self.state is CandidateState.WAITING:
            return []
        actions: list[CandidateAction] = []
        if self.state is CandidateState.HOLDING:
            actions.append(LeaseEnded(self.task, self.fencing_token, "released"))
        self.state = CandidateState.WAITING
        self.next_ms = float("inf")
        return [*actions, *self.release_to_all()]
