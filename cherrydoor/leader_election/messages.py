"""What voters and candidates exchange with the service: lease terms, votes, and actions."""

from typing import TypeAlias

from msgspec import Struct, field

from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

VoterMessage: TypeAlias = LeaseRequest | LeaseRelease
CandidateMessage: TypeAlias = LeaseGranted | LeaseRefused
ElectionMessage: TypeAlias = VoterMessage | CandidateMessage


class LeaseTerms(Struct, frozen=True):
    """How long leases run, and how far clocks are trusted.

    Attributes:
        term_ms: Length of a lease.
        clock_drift: The share by which two clocks of the fleet may differ in speed.
        margin_ms: Taken off by the leaseholder, for what it does last under the lease.
        longest_term_ms: No lease of the fleet has a longer term.
    """

    term_ms: float = 3000.0
    clock_drift: float = 0.01
    margin_ms: float = 100.0
    longest_term_ms: float = 10000.0

    def held_until_ms(self, asked_ms: float) -> float:
        """Returns when a candidate that asked at `asked_ms` has to stop acting."""
        return asked_ms + self.term_ms * (1 - self.clock_drift) - self.margin_ms

    def voted_until_ms(self, now_ms: float, term_ms: float) -> float:
        """Returns until when a vote given now for `term_ms` binds its voter, by its own clock."""
        return now_ms + term_ms * (1 + self.clock_drift)


class Vote(Struct):
    """The highest fencing token granted for one task, and to whom; stored under older field names.

    Attributes:
        fencing_token: The highest token this voter has granted for the task.
        leaseholder: The candidate it was granted to, "" once it was released.
        until_ms: When the vote expires by this voter's clock; 0 where nobody holds it.
        term_ms: The term that was granted.
    """

    fencing_token: int = field(name="number")
    leaseholder: str = field(default="", name="holder")
    until_ms: float = field(default=0.0, name="until")
    term_ms: float = field(default=0.0, name="term")


class Votes(Struct):
    """All that a voter must not forget; stored under older field names.

    Attributes:
        highest_forgotten_token: No task that is missing from `tasks` is granted at this token or
            below.
        tasks: The vote of each task that is remembered by name.
    """

    highest_forgotten_token: int = field(default=0, name="floor")
    tasks: dict[str, Vote] = {}


class SaveVotes(Struct, frozen=True):
    """The votes as they now stand: synced to disk before the answers that follow it leave."""

    votes: Votes


class SendMessage(Struct, frozen=True):
    """A message to the gateway of that name, which may be this one."""

    to: str
    message: ElectionMessage


class LeaseAcquired(Struct, frozen=True):
    """This gateway holds the lease until `until_ms`; repeated with each renewal."""

    task: str
    fencing_token: int
    until_ms: float


class LeaseEnded(Struct, frozen=True):
    """This gateway holds the lease no longer, and does nothing more under it."""

    task: str
    fencing_token: int
    reason: str


VoterAction: TypeAlias = SaveVotes | SendMessage
CandidateAction: TypeAlias = SendMessage | LeaseAcquired | LeaseEnded
