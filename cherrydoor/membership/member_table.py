"""The members of the fleet as one gateway sees them.

Pure: statements in, statements out; no sockets, no clock.

Each start of a gateway is an incarnation of its name, a number that only rises. What is held of an
incarnation is a statement, and statements are merged by one rule, so that late, doubled or
reordered ones change nothing: a higher incarnation wins; of one incarnation `over` and `left` are
final, else the higher refutation wins, and of one refutation the worse state. A gateway that
receives a suspicion of itself refutes it with the next number, so suspicion heals. This is SWIM's
gossip, whose "incarnation" is our refutation.

Times are ms of the caller's own clock.
"""

from collections import Counter
from collections.abc import Iterable
from hashlib import sha1
from typing import Final

from msgspec import structs

from cherrydoor.protocol.peers import Member, MemberState

# The states, by their values on the wire.
ALIVE: Final = "here"
SUSPECTED: Final = "silent"
DISCONNECTED: Final = "vanished"
LEFT: Final = "left"
OVER: Final = "over"
FINAL_STATES = (LEFT, OVER)

# A name that is gone is remembered for 10 min: longer than any failover of it takes.
FORGET_AFTER_MS = 600_000.0
# Names in the table; further ones are not taken, so that a faulty peer cannot exhaust our memory.
# It harms in a fleet of more gateways than that, which would not see each other.
MAX_MEMBERS = 4000
HASH_POSITION_BYTES = 8


def merged(one: Member | None, other: Member | None) -> Member | None:
    """Returns the one of two statements about a name that stands; None for none at all.

    >>> merged(Member("a", 1, state=SUSPECTED), Member("a", 1, refutation=1)).state
    'here'
    >>> merged(Member("a", 1, state=OVER), Member("a", 1, refutation=9)).state
    'over'
    """
    if one is None or other is None:
        return one or other
    return other if other.rank() > one.rank() else one


def hash_position(name: str) -> bytes:
    """Returns where a name stands on the hash ring.

    >>> hash_position("g1") == hash_position("g1") != hash_position("g2")
    True
    """
    return sha1(name.encode()).digest()[:HASH_POSITION_BYTES]


class LocalMember:
    """This gateway as it describes itself."""

    def __init__(
        self, name: str, incarnation: int, address: str, zone: str = "", is_voter: bool = False
    ) -> None:
        """Describes an incarnation that has refuted nothing yet.

        Args:
            name: The gateway's name.
            incarnation: Of this process.
            address: The address at which peers reach it.
            zone: Where it is.
            is_voter: Whether it is a voter of leader elections.
        """
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.is_voter = is_voter
        self.refutation = 0

    def statement(self, state: MemberState = ALIVE) -> Member:
        """Returns what this gateway states of itself."""
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
    """The view of one gateway.

    Invariant: `rows` holds one statement a name, the highest by rank of all that were merged, and
        `changed_ms` when it was last changed here. `updates` holds the rows changed since the last
        `take_updates`. Emptied of who has been gone for `FORGET_AFTER_MS`, and bounded by
        `MAX_MEMBERS`.
    """

    def __init__(self, local: LocalMember, now_ms: float) -> None:
        """Starts with this gateway alone."""
        self.local = local
        self.now_ms = now_ms
        self.rows: dict[str, Member] = {local.name: local.statement()}
        self.changed_ms: dict[str, float] = {local.name: now_ms}
        self.updates: dict[str, Member] = {}
        self.counters: Counter[str] = Counter()
        self.is_duplicated = False  # another process claims this name and incarnation
        # Names that the failover, zone drain and gateway packages still use.
        self.members = self.rows
        self.since = self.changed_ms

    # ---- statements
    def merge_all(self, now_ms: float, statements: Iterable[Member]) -> list[str]:
        """Merges a peer's statements, in any order; returns the names whose row changed."""
        self.now_ms = now_ms
        changed = []
        for statement in statements:
            is_own = statement.name == self.local.name
            if self.merge_own(statement) if is_own else self.merge(statement):
                changed.append(statement.name)
        return changed

    def merge_own(self, statement: Member) -> bool:
        """Merges what others state of this gateway; returns whether that is new.

        A later incarnation is another process of this name; an end of this incarnation is final;
        any suspicion is refuted.
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
        """Merges one statement; returns whether it stands and is new."""
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
        """Merges what this gateway's own links show; returns whether it is new."""
        self.now_ms = now_ms
        row = self.rows.get(name)
        if row is None or row.incarnation != incarnation or row.state in FINAL_STATES:
            return False
        if name == self.local.name:
            return False
        return self.merge(structs.replace(row, state=state))

    def mark_over(self, now_ms: float, name: str, incarnation: int) -> bool:
        """Ends an incarnation for good, as it has been taken over or was followed by another.

        Returns:
            Whether that is new; False too where another incarnation is held of the name.
        """
        self.now_ms = now_ms
        row = self.rows.get(name) or Member(name, incarnation)
        return row.incarnation == incarnation and self.merge(structs.replace(row, state=OVER))

    @property
    def has_ended(self) -> bool:
        """Whether this incarnation is held to be over, by whomever, or another one has begun."""
        own = self.rows[self.local.name]
        return own.incarnation > self.local.incarnation or own.state in FINAL_STATES

    def leave(self) -> None:
        """States that this gateway leaves."""
        self.merge(self.local.statement(LEFT))

    # ---- gossip
    def take_updates(self, now_ms: float) -> list[Member]:
        """Returns the rows changed since the last call, and forgets who is long gone."""
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
        """Returns the whole table, for a link that has just come up."""
        return list(self.rows.values())

    # ---- who is linked to whom
    def alive_names(self) -> list[str]:
        """Returns the names of who is held to be alive, this gateway among them."""
        return [name for name, row in self.rows.items() if row.state == ALIVE]

    def choose_replicas(self, count: int) -> list[str]:
        """Returns the next alive members after this one on the hash ring, other zones first.

        Each zone comes once before any comes again, so that the loss of a zone leaves a replica.
        Gateways with the same view choose alike.
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
        found: list[str] = []
        while ring and len(found) < count:
            least = min(chosen_in_zone[row.zone] for row in ring)
            chosen = next(row for row in ring if chosen_in_zone[row.zone] == least)
            ring.remove(chosen)
            chosen_in_zone[chosen.zone] += 1
            found.append(chosen.name)
        return found

    def voters(self) -> list[str]:
        """Returns the names of the other gateways that are voters of leader elections."""
        return [name for name, row in self.rows.items() if row.is_voter and name != self.local.name]

    # ---- names that the failover, zone drain and gateway packages still use
    over = mark_over
    whole = all_rows
    living = alive_names

    @property
    def doubled(self) -> bool:
        """`is_duplicated`, as the gateway package calls it."""
        return self.is_duplicated

    @property
    def ended(self) -> bool:
        """`has_ended`, as the failover package calls it."""
        return self.has_ended
