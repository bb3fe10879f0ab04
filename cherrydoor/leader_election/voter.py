"""A voter of the quorum: grants each task to one candidate at a time.

A pure state machine: it takes the current time and a message, and returns actions. It does no I/O.

After it has granted a task under a fencing token, a voter grants that task to no other candidate
until the term, extended by the clock drift, has expired by its own clock. It never grants the task
again under the same or a lower token, except that the leaseholder may renew its lease.

A vote counts once it is on disk: answers are sent after the `SaveVotes` action that precedes them.
A voter that starts with its stored votes restarts the term of each. A voter that starts without
them answers nothing for the longest term, because it does not know which leases it has granted.
If a majority of voters lose their votes, tokens may start low again; each resource guarded by a
lease therefore remembers the highest token it has seen and rejects lower ones.

Times are in ms of any monotonic clock of the process.
"""

from collections import Counter
from collections.abc import Callable

from cherrydoor.leader_election.messages import (
    LeaseTerms,
    SaveVotes,
    SendMessage,
    Vote,
    VoterAction,
    VoterMessage,
    Votes,
)
from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

# The number of tasks that a voter remembers by name, so that the stored file stays small. Beyond
# it, tasks without a leaseholder are dropped, lowest token first, and only
# `Votes.highest_forgotten_token` is kept of them.
MAX_REMEMBERED_TASKS = 4096
# How many more tasks than necessary are dropped each time, so that not every grant needs a sort.
FORGET_BATCH_SIZE = MAX_REMEMBERED_TASKS // 8


def allow_any_grant(task: str) -> str:
    """Returns "", so that any task may be granted; the default for `check_grant`."""
    return ""


class Voter:
    """One voter and its votes.

    Invariant: the fencing token of a task never decreases, whether the task is in `votes.tasks` or
        is covered by `highest_forgotten_token`.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        now_ms: float,
        votes: Votes | None = None,
        check_grant: Callable[[str], str] = allow_any_grant,
    ) -> None:
        """Starts a voter.

        Args:
            terms: The lease terms of the fleet.
            now_ms: The current time.
            votes: The stored votes, None if they are lost. Without them the voter answers nothing
                for the longest term, so that it cannot grant a task whose lease still runs to a
                second candidate. The cost is that no lease can be granted during that time if a
                majority of voters start without their files.
            check_grant: Returns the reason why a task must not be granted to a new leaseholder now,
                or "" if it may be.
        """
        self.terms = terms
        self.check_grant = check_grant
        self.counters: Counter[str] = Counter()
        silent_until_ms = now_ms + terms.voted_until_ms(0.0, terms.longest_term_ms)
        self.silent_until_ms = now_ms if votes else silent_until_ms
        self.votes = votes or Votes()
        for vote in self.votes.tasks.values():
            # The term restarts: it is not known how long this process was down.
            restarted = terms.voted_until_ms(now_ms, vote.term_ms)
            vote.until_ms = restarted if vote.leaseholder else 0.0

    def receive(self, now_ms: float, sender: str, message: VoterMessage) -> list[VoterAction]:
        """Returns the actions for one message; `SaveVotes` precedes the answers that need it."""
        if now_ms < self.silent_until_ms:
            self.counters["not answered in the silence after a loss"] += 1
            return []
        if isinstance(message, LeaseRelease):
            return self.on_release(sender, message)
        return self.on_request(now_ms, sender, message)

    def on_request(self, now_ms: float, sender: str, request: LeaseRequest) -> list[VoterAction]:
        """Grants or renews a lease, or refuses it and returns the highest token granted so far."""
        vote = self.votes.tasks.get(request.task)
        if vote is None:
            vote = Vote(self.votes.highest_forgotten_token)
        is_renewal = vote.leaseholder == sender and vote.fencing_token == request.fencing_token
        refusal_reason = "" if is_renewal else self.check_grant(request.task)
        if refusal_reason or not self.is_grantable(now_ms, vote, request, is_renewal):
            self.counters["refused"] += 1
            wait_ms = max(0.0, vote.until_ms - now_ms) if vote.leaseholder else 0.0
            refusal = LeaseRefused(
                request.task,
                request.fencing_token,
                vote.fencing_token,
                wait_ms,
                refusal_reason,
                request.round,
            )
            return [SendMessage(sender, refusal)]
        self.votes.tasks[request.task] = Vote(
            request.fencing_token,
            sender,
            self.terms.voted_until_ms(now_ms, request.term_ms),
            request.term_ms,
        )
        self.counters["granted"] += not is_renewal
        self.forget_free_tasks(now_ms)
        grant = LeaseGranted(request.task, request.fencing_token, request.round)
        if is_renewal:
            # The vote is already on disk, and its term restarts anyway if this process restarts.
            return [SendMessage(sender, grant)]
        return [SaveVotes(self.votes), SendMessage(sender, grant)]

    def is_grantable(
        self, now_ms: float, vote: Vote, request: LeaseRequest, is_renewal: bool
    ) -> bool:
        """Returns whether a request may be granted.

        Its term must be allowed. A request that is no renewal also needs a free task and a token
        above the highest granted one.
        """
        if request.term_ms > self.terms.longest_term_ms:
            return False
        if is_renewal:
            return True
        is_free = not vote.leaseholder or vote.until_ms <= now_ms
        return is_free and request.fencing_token > vote.fencing_token

    def on_release(self, sender: str, release: LeaseRelease) -> list[VoterAction]:
        """Frees a task if the release names its current lease; the token is still remembered."""
        vote = self.votes.tasks.get(release.task)
        if vote is None:
            return []
        if vote.leaseholder != sender or vote.fencing_token != release.fencing_token:
            return []
        vote.leaseholder = ""
        vote.until_ms = 0.0
        return [SaveVotes(self.votes)]

    def forget_free_tasks(self, now_ms: float) -> None:
        """Drops tasks without a leaseholder beyond the limit, lowest tokens first."""
        excess = len(self.votes.tasks) - MAX_REMEMBERED_TASKS
        if excess <= 0:
            return
        free = sorted(
            (vote.fencing_token, task)
            for task, vote in self.votes.tasks.items()
            if not vote.leaseholder or vote.until_ms <= now_ms
        )
        votes = self.votes
        for fencing_token, task in free[: excess + FORGET_BATCH_SIZE]:
            votes.highest_forgotten_token = max(votes.highest_forgotten_token, fencing_token)
            del votes.tasks[task]
