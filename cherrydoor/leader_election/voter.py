"""A voter of the quorum: grants each task to one candidate at a time.

Pure: (now, message) in, actions out.

After a grant of a task under a fencing token, a voter grants that task to nobody else until the
term is over by its own clock, lengthened by the clock drift, and never again under a token as low.

A vote counts once it is on disk: answers leave after the `SaveVotes` that stands before them. A
voter that starts with its votes lets each run its term anew; one that starts without them is silent
for the longest term first, for it may have granted anything. If most voters lose theirs, tokens may
begin low again: whatever is acted on remembers the highest token and refuses lower ones.

Times are ms of any steady clock of the process.
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

# Tasks a voter remembers by name, so that the stored file stays small; beyond it those that nobody
# holds are folded into `Votes.highest_forgotten_token`, the lowest tokens first.
MAX_REMEMBERED_TASKS = 4096
# Tasks forgotten beyond the bound at once, so that not every grant has to sort.
FORGOTTEN_AT_ONCE = MAX_REMEMBERED_TASKS // 8


def no_veto(task: str) -> str:
    """The default veto: any task may be granted."""
    return ""


class Voter:
    """One voter and its votes.

    Invariant: the fencing token of a task never falls, in `votes.tasks` or by way of
        `highest_forgotten_token`.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        now_ms: float,
        votes: Votes | None = None,
        veto: Callable[[str], str] = no_veto,
    ) -> None:
        """Starts a voter.

        Args:
            terms: The lease terms of the fleet.
            now_ms: The time now.
            votes: What was stored, None where it is lost: the voter is then silent for the longest
                term. That guards against a second grant of a lease that still runs; it harms when
                most voters start at once without their files, as nothing can be granted meanwhile.
            veto: Of a task, the reason not to grant it to a new leaseholder now; "" for none.
        """
        self.terms = terms
        self.veto = veto
        self.counters: Counter[str] = Counter()
        silent_until_ms = now_ms + terms.voted_until_ms(0.0, terms.longest_term_ms)
        self.silent_until_ms = now_ms if votes else silent_until_ms
        self.votes = votes or Votes()
        for vote in self.votes.tasks.values():
            # Its term runs anew: nobody knows how long this process was away.
            restarted = terms.voted_until_ms(now_ms, vote.term_ms)
            vote.until_ms = restarted if vote.leaseholder else 0.0

    def receive(self, now_ms: float, sender: str, message: VoterMessage) -> list[VoterAction]:
        """Returns the actions for one message; a `SaveVotes` precedes what depends on it."""
        if now_ms < self.silent_until_ms:
            self.counters["not answered in the silence after a loss"] += 1
            return []
        if isinstance(message, LeaseRelease):
            return self.on_release(sender, message)
        return self.on_request(now_ms, sender, message)

    def on_request(self, now_ms: float, sender: str, request: LeaseRequest) -> list[VoterAction]:
        """Grants or renews a lease, or refuses it with the highest token granted so far."""
        vote = self.votes.tasks.get(request.task)
        if vote is None:
            vote = Vote(self.votes.highest_forgotten_token)
        is_renewal = vote.leaseholder == sender and vote.fencing_token == request.fencing_token
        veto_reason = "" if is_renewal else self.veto(request.task)
        if veto_reason or not self.is_grantable(now_ms, vote, request, is_renewal):
            self.counters["refused"] += 1
            wait_ms = max(0.0, vote.until_ms - now_ms) if vote.leaseholder else 0.0
            refusal = LeaseRefused(
                request.task,
                request.fencing_token,
                vote.fencing_token,
                wait_ms,
                veto_reason,
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
            # On disk already: after a loss of the process its term runs anew in any case.
            return [SendMessage(sender, grant)]
        return [SaveVotes(self.votes), SendMessage(sender, grant)]

    def is_grantable(
        self, now_ms: float, vote: Vote, request: LeaseRequest, is_renewal: bool
    ) -> bool:
        """Returns whether the term is allowed, and the task free for this token or renewed."""
        if request.term_ms > self.terms.longest_term_ms:
            return False
        if is_renewal:
            return True
        is_free = not vote.leaseholder or vote.until_ms <= now_ms
        return is_free and request.fencing_token > vote.fencing_token

    def on_release(self, sender: str, release: LeaseRelease) -> list[VoterAction]:
        """Frees the task of this very lease, not of a later one; its token stays."""
        vote = self.votes.tasks.get(release.task)
        if vote is None:
            return []
        if vote.leaseholder != sender or vote.fencing_token != release.fencing_token:
            return []
        vote.leaseholder = ""
        vote.until_ms = 0.0
        return [SaveVotes(self.votes)]

    def forget_free_tasks(self, now_ms: float) -> None:
        """Forgets tasks that nobody holds, beyond the bound, lowest tokens first."""
        excess = len(self.votes.tasks) - MAX_REMEMBERED_TASKS
        if excess <= 0:
            return
        free = sorted(
            (vote.fencing_token, task)
            for task, vote in self.votes.tasks.items()
            if not vote.leaseholder or vote.until_ms <= now_ms
        )
        votes = self.votes
        for fencing_token, task in free[: excess + FORGOTTEN_AT_ONCE]:
            votes.highest_forgotten_token = max(votes.highest_forgotten_token, fencing_token)
            del votes.tasks[task]
