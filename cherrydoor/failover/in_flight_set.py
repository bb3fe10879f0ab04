"""The in-flight set of one gateway incarnation, as held by a replica. Pure."""

from cherrydoor.protocol.peers import ReplicatedRequest

TAKEOVER_TASK_PREFIX = "estate"  # first part of the task name, which is on the wire


def takeover_task(owner: str, incarnation: int) -> str:
    """Return the name of the lease task for the takeover of an in-flight set."""
    return f"{TAKEOVER_TASK_PREFIX}/{owner}/{incarnation}"


def parse_takeover_task(task: str) -> tuple[str, int] | None:
    """Return owner and incarnation of a takeover task, or None for any other task.

    >>> parse_takeover_task("estate/g1/5"), parse_takeover_task("site/z1")
    (('g1', 5), None)
    """
    kind, _, rest = task.partition("/")
    owner, _, incarnation = rest.rpartition("/")
    if kind != TAKEOVER_TASK_PREFIX or not incarnation.isdecimal():
        return None
    return owner, int(incarnation)


class ReplicatedEntry:
    """A replicated request of another gateway.

    Attributes:
        request: The request as the owner sent it.
        deadline_ms: When the client stops waiting for the response, by this gateway's clock.
        first_seen_ms: When it arrived here. Its first attempt may have had an effect from then on.
        hosts: Hosts that its replicated attempts were sent to.
    """

    __slots__ = ("deadline_ms", "first_seen_ms", "hosts", "request")

    def __init__(
        self, request: ReplicatedRequest, deadline_ms: float, first_seen_ms: float
    ) -> None:
        self.request = request
        self.deadline_ms = deadline_ms
        self.first_seen_ms = first_seen_ms
        self.hosts: list[str] = []


class InFlightSet:
    """The requests that one incarnation of a gateway has replicated to this one.

    Invariant: `body_bytes` is the sum of the bodies of `entries`. Only `ReplicaStore` writes to
    a set.

    Attributes:
        owner: Gateway that accepted the requests.
        incarnation: The owner's incarnation.
        rank: This gateway's position among the owner's replicas, from 0.
        entries: Entries by the owner's number of the request.
        disconnected_since_ms: Since when the owner has not been connected to this gateway; None
            while it is.
    """

    __slots__ = ("body_bytes", "disconnected_since_ms", "entries", "incarnation", "owner", "rank")

    def __init__(self, owner: str, incarnation: int, rank: int) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.rank = rank
        self.entries: dict[int, ReplicatedEntry] = {}
        self.body_bytes = 0
        self.disconnected_since_ms: float | None = None

    @property
    def task(self) -> str:
        """Name of the lease task for its takeover."""
        return takeover_task(self.owner, self.incarnation)

    def add(self, entry: ReplicatedEntry) -> None:
        """Add a request."""
        self.entries[entry.request.number] = entry
        self.body_bytes += len(entry.request.body)

    def remove(self, number: int) -> None:
        """Remove a request, if present."""
        entry = self.entries.pop(number, None)
        if entry is not None:
            self.body_bytes -= len(entry.request.body)
