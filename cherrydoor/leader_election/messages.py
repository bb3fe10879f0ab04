"""The lease terms, the stored votes, and the actions of voters and candidates."""

from typing import TypeAlias

from msgspec import Struct, field

from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

VoterMessage: TypeAlias = LeaseRequest | LeaseRelease
CandidateMessage: TypeAlias = LeaseGranted | LeaseRefused
ElectionMessage: TypeAlias = VoterMessage | CandidateMessage


class LeaseTerms(Struct, frozen=True):
    """How long leases run, and how much clocks may drift.

    Attributes:
        term_ms: The length of a lease.
        clock_drift: The fraction by which the speeds of two clocks of the fleet may differ.
        margin_ms: How much earlier the leaseholder stops, so that its last act under the lease
            completes before the lease expires at the voters.
        longest_term_ms: The upper bound of the term of any lease in the fleet.
    """

    term_ms: float = 3000.0
    clock_drift: float = 0.01
    margin_ms: float = 100.0
    longest_term_ms: float = 10000.0

    def held_until_ms(self, requested_ms: float) -> float:
        """Returns when a leaseholder that sent its requests at `requested_ms` must stop acting."""
        return requested_ms + self.term_ms * (1 - self.clock_drift) - self.margin_ms

    def voted_until_ms(self, now_ms: float, term_ms: float) -> float:
        """Returns when a vote given now for `term_ms` expires, by the voter's own clock."""
        return now_ms + term_ms * (1 + self.clock_drift)


class Vote(Struct):
    """The highest fencing token granted for one task; the stored field names differ.

    Attributes:
        fencing_token: The highest token that this voter has granted for the task.
        leaseholder: The candidate to which it was granted, "" once it was released.
        until_ms: When the vote expires by this voter's clock; 0 where there is no leaseholder.
        term_ms: The granted term.
    """

    fencing_token: int = field(name="number")
    leaseholder: str = field(default="", name="holder")
    until_ms: float = field(default=0.0, name="until")
    term_ms: float = field(default=0.0, name="term")


class Votes(Struct):
    """The state that a voter must not lose; the stored field names differ.

    Attributes:
        highest_forgotten_token: The highest token of the tasks that were dropped from `tasks`. A
            task that is not in `tasks` is granted only under a higher token.
        tasks: The vote of each remembered task, by the task's name.
    """

    highest_forgotten_token: int = field(default=0, name="floor")
    tasks: dict[str, Vote] = {}


class SaveVotes(Struct, frozen=True):
    """Save the current votes: they are synced to disk before any action after this one."""

    votes: Votes


class SendMessage(Struct, frozen=True):
    """Send a message to the gateway with that name, which may be this one."""

    to: str
    message: ElectionMessage


class LeaseAcquired(Struct, frozen=True):
    """This gateway holds the lease until `until_ms`; returned again for each renewal."""

    task: str
    fencing_token: int
    until_ms: float


class LeaseEnded(Struct, frozen=True):
    """This gateway no longer holds the lease and must stop acting under it."""

    task: str
    fencing_token: int
    reason: str


VoterAction: TypeAlias = SaveVotes | SendMessage
CandidateAction: TypeAlias = SendMessage | LeaseAcquired | LeaseEnded
