"""The members of the fleet as one gateway sees them.

Pure: statements in, statements out; no sockets, no clock.

Each start of a gateway is an incarnation of its name, a number that only increases. A statement
describes the state of one incarnation. Statements are merged by one rule, so that delayed,
duplicated or reordered ones have no effect:

* The higher incarnation wins.
* Within an incarnation, `over` and `left` are final. Otherwise the higher refutation wins.
* With equal refutations, the worse state wins.

A gateway that learns that it is suspected refutes this with the next higher refutation number, so a
wrong suspicion is corrected. This is the gossip of SWIM; what SWIM calls "incarnation" is called
refutation here.

Times are in ms of the caller's clock.
"""

from collections import Counter
from collections.abc import Iterable
from hashlib import sha1
from typing import Final

from msgspec import structs

from cherrydoor.protocol.peers import Member, MemberState

# The member states and their values on the wire.
ALIVE: Final = "here"
SUSPECTED: Final = "silent"
DISCONNECTED: Final = "vanished"
LEFT: Final = "left"
OVER: Final = "over"
FINAL_STATES = (LEFT, OVER)

# How long a member that is not alive is remembered: 10 min, longer than any failover of it takes.
FORGET_AFTER_MS = 600_000.0
# Names beyond this number are not added, so that a faulty peer cannot exhaust the memory. The cost
# is that in a fleet of more gateways than this, not all of them see each other.
MAX_MEMBERS = 4000
HASH_POSITION_BYTES = 8


def merged(one: Member | None, other: Member | None) -> Member | None:
    """Returns the statement about a name that outranks the other; None if both are None.

    >>> merged(Member("a", 1, state=SUSPECTED), Member("a", 1, refutation=1)).state
    'here'
    >>> merged(Member("a", 1, state=OVER), Member("a", 1, refutation=9)).state
    'over'
    """
    if one is None or other is None:
        return one or other
    return other if other.rank() > one.rank() else one


def hash_position(name: str) -> bytes:
    """Returns the position of a name on the hash ring.

    >>> hash_position("g1") == hash_position("g1") != hash_position("g2")
    True
    """
    return sha1(name.encode()).digest()[:HASH_POSITION_BYTES]


class LocalMember:
    """This gateway's description of itself."""

    def __init__(
        self, name: str, incarnation: int, address: str, zone: str = "", is_voter: bool = False
    ) -> None:
        """Describes an incarnation that has not refuted anything yet.

        Args:
            name: The gateway's name.
            incarnation: The incarnation of this process.
            address: The address at which peers reach the gateway.
            zone: The zone of the gateway.
            is_voter: Whether the gateway is a voter of leader elections.
        """
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.is_voter = is_voter
        self.refutation = 0

    def statement(self, state: MemberState = ALIVE) -> Member:
        """Returns the statement of this gateway about itself."""
        return Member(
            self.name,
            self.incarnation,
            self.address,
            self.zone,
            self.is_voter,
            state,
            self.refutation,
        )


class MemberTable:
    """The view that one gateway has of the fleet.

    Invariant: `rows` holds for each name the statement with the highest rank of all that were
        merged, and `changed_ms` the time at which that row last changed here. `updates` holds the
        rows changed since the last `take_updates`. Members that have not been alive for
        `FORGET_AFTER_MS` are removed, and there are at most `MAX_MEMBERS` rows.
    """

    def __init__(self, local: LocalMember, now_ms: float) -> None:
        """Creates a table that holds only this gateway."""
        self.local = local
        self.now_ms = now_ms
        self.rows: dict[str, Member] = {local.name: local.statement()}
        self.changed_ms: dict[str, float] = {local.name: now_ms}
        self.updates: dict[str, Member] = {}
        self.counters: Counter[str] = Counter()
        # Whether another process has this gateway's name and the same or a later incarnation.
        self.is_duplicated = False

    # ---- statements
    def merge_all(self, now_ms: float, statements: Iterable[Member]) -> list[str]:
        """Merges statements of a peer in any order; returns the names whose rows changed."""
        self.now_ms = now_ms
        changed = []
        for statement in statements:
            is_own = statement.name == self.local.name
            if self.merge_own(statement) if is_own else self.merge(statement):
                changed.append(statement.name)
        return changed

    def merge_own(self, statement: Member) -> bool:
        """Merges a statement of others about this gateway; returns whether its row changed.

        A later incarnation belongs to another process of the same name. A statement that this
        incarnation has ended is final. Any suspicion is refuted.
        """
        local = self.local
        is_same_or_later = statement.incarnation >= local.incarnation
        if is_same_or_later and statement.address != local.address and statement.state == ALIVE:
            self.is_duplicated = True
            self.counters["duplicate processes"] += 1
        if statement.incarnation > local.incarnation:
            return self.merge(statement)
        if statement.incarnation < local.incarnation:
            return False
        if statement.state in FINAL_STATES:
            return self.merge(statement)
        if statement.rank() > local.statement().rank():
            local.refutation = statement.refutation + 1
            self.counters["suspicions refuted"] += 1
            return self.merge(local.statement())
        return False

    def merge(self, statement: Member) -> bool:
        """Merges one statement; returns whether it replaced the row of its name, or added one."""
        name = statement.name
        before = self.rows.get(name)
        if before is None and len(self.rows) >= MAX_MEMBERS:
            self.counters["members beyond the bound"] += 1
            return False
        if before is not None and merged(before, statement) is before:
            self.counters["stale statements"] += before != statement
            return False
        self.rows[name] = statement
        self.changed_ms[name] = self.now_ms
        self.updates[name] = statement
        return True

    def observe(self, now_ms: float, name: str, incarnation: int, state: MemberState) -> bool:
        """Merges a state that this gateway's own links show; returns whether the row changed.

        An observation of the gateway itself, of an unknown name, of another incarnation than the
        known one, or of an incarnation that has ended is ignored.
        """
        self.now_ms = now_ms
        row = self.rows.get(name)
        if row is None or row.incarnation != incarnation or row.state in FINAL_STATES:
            return False
        if name == self.local.name:
            return False
        return self.merge(structs.replace(row, state=state))

    def mark_over(self, now_ms: float, name: str, incarnation: int) -> bool:
        """Marks an incarnation as over: it was taken over, or a later incarnation followed it.

        Returns:
            Whether the row changed; False also if the table holds another incarnation of the name.
        """
        self.now_ms = now_ms
        row = self.rows.get(name) or Member(name, incarnation)
        return row.incarnation == incarnation and self.merge(structs.replace(row, state=OVER))

    @property
    def has_ended(self) -> bool:
        """Whether the table shows this incarnation as left or over, or a later one of the name."""
        own = self.rows[self.local.name]
        return own.incarnation > self.local.incarnation or own.state in FINAL_STATES

    def leave(self) -> None:
        """Records that this gateway is leaving, so that the next update announces it."""
        self.merge(self.local.statement(LEFT))

    # ---- gossip
    def take_updates(self, now_ms: float) -> list[Member]:
        """Returns the rows changed since the last call; forgets members that are long gone."""
        self.now_ms = now_ms
        updates = list(self.updates.values())
        self.updates = {}
        forgotten = [
            name
            for name, row in self.rows.items()
            if row.state != ALIVE and now_ms - self.changed_ms[name] > FORGET_AFTER_MS
        ]
        for name in forgotten:
            del self.rows[name]
            del self.changed_ms[name]
        return updates

    def all_rows(self) -> list[Member]:
        """Returns all rows, which are sent on a link that has just come up."""
        return list(self.rows.values())

    # ---- choice of peers
    def alive_names(self) -> list[str]:
        """Returns the names of all members believed to be alive, including this gateway."""
        return [name for name, row in self.rows.items() if row.state == ALIVE]

    def choose_replicas(self, count: int) -> list[str]:
        """Returns the alive members that follow this one on the hash ring, other zones first.

        Each zone is chosen once before any is chosen again, so that a replica survives the loss of
        a zone. The choice depends only on the table: the same table gives the same replicas.
        """
        own_position = hash_position(self.local.name)
        positions = {
            row.name: hash_position(row.name)
            for row in self.rows.values()
            if row.state == ALIVE and row.name != self.local.name
        }
        ring = [
            self.rows[name]
            for name in sorted(
                positions,
                key=lambda name: (positions[name] <= own_position, positions[name], name),
            )
        ]
        chosen_in_zone = Counter([self.local.zone])
        replicas: list[str] = []
        while ring and len(replicas) < count:
            fewest_in_zone = min(chosen_in_zone[row.zone] for row in ring)
            chosen = next(row for row in ring if chosen_in_zone[row.zone] == fewest_in_zone)
            ring.remove(chosen)
            chosen_in_zone[chosen.zone] += 1
            replicas.append(chosen.name)
        return replicas

    def voters(self) -> list[str]:
        """Returns the names of the other gateways that are voters of leader elections."""
        return [name for name, row in self.rows.items() if row.is_voter and name != self.local.name]
