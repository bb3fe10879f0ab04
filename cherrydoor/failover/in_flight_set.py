"""The in-flight set of one incarnation of one gateway, as another gateway holds it. Pure."""

from cherrydoor.protocol.peers import ReplicatedRequest

TASK_KIND = "estate"  # first part of such a task's name


def takeover_task(owner: str, incarnation: int) -> str:
    """Name the lease's task under which an in-flight set is taken over; the name is on the wire."""
    return f"{TASK_KIND}/{owner}/{incarnation}"


def parse_takeover_task(task: str) -> tuple[str, int] | None:
    """Return owner and incarnation of a takeover's task, None of any other task.

    >>> parse_takeover_task("estate/g1/5"), parse_takeover_task("site/z1")
    (('g1', 5), None)
    """
    kind, _, rest = task.partition("/")
    owner, _, incarnation = rest.rpartition("/")
    if kind != TASK_KIND or not incarnation.isdecimal():
        return None
    return owner, int(incarnation)


class ReplicatedEntry:
    """One replicated request of another gateway.

    Attributes:
        request: As the owner sent it.
        deadline_ms: When the client gives up, by the clock of this gateway.
        first_seen_ms: When it arrived here: its first attempt may have had an effect then or later.
        hosts: Hosts that attempts are known to have gone to.
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
    """What one incarnation of one gateway has replicated here.

    Invariant: `body_bytes` is the sum of the bodies of `entries`. Only `ReplicaStore` writes it.

    Attributes:
        owner: Gateway that accepted the requests.
        incarnation: The owner's.
        rank: Which of the owner's replicas this gateway is, from 0.
        entries: By the owner's number of the request.
        disconnected_since_ms: Since when the owner is not connected here; None while it is.
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
        """Name of the lease's task under which it is taken over."""
        return takeover_task(self.owner, self.incarnation)

    def add(self, entry: ReplicatedEntry) -> None:
        """Add a request."""
        self.entries[entry.request.number] = entry
        self.body_bytes += len(entry.request.body)

    def remove(self, number: int) -> None:
        """Forget a request, if it is here."""
        entry = self.entries.pop(number, None)
        if entry is not None:
            self.body_bytes -= len(entry.request.body)
