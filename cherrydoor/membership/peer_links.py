"""Which peers a gateway is linked to, and what its links show of them.

Pure: what happens to links in, actions out.

Links are few: to the voters, to the replicas, and for a while to whom something is asked. One link
a pair: of two that cross, the one dialled by the lesser name stays. A link that is reset shows no
more than that; only a dial that is then refused shows a gateway as disconnected, and only a link
without a message for `suspect_after_ms` as suspected. Both are suspicions, which the suspect
refutes by itself.

All times are ms of the caller's own clock.
"""

from zlib import crc32

from cherrydoor.membership.link_state import (
    CloseLink,
    Dial,
    LinkAction,
    LinkAdmission,
    LinkState,
    SendMessage,
)
from cherrydoor.membership.member_table import (
    ALIVE,
    DISCONNECTED,
    FINAL_STATES,
    SUSPECTED,
    MemberTable,
)
from cherrydoor.protocol.peers import Heartbeat, Member, MembershipUpdate, MemberState

FIRST_REDIAL_MS = 100.0  # before a dial is tried again, doubled up to the longest
LONGEST_REDIAL_MS = 2000.0  # so that a gateway that is back is linked within seconds
MAX_REDIAL_DOUBLINGS = 8  # 100 ms doubled eight times is beyond the longest
IDLE_CLOSE_MS = 10_000.0  # without use, after which a link dialled for a question is closed
# Gateways beyond which heartbeats on links of voters come less often, as a voter has all of them.
FEW_GATEWAYS = 64
# Heartbeats within the time of suspicion: two may be late before a gateway is suspected.
HEARTBEATS_UNTIL_SUSPECTED = 3
VALUES_OF_CRC32 = 2.0**32


class PeerLinks:
    """The link policy of one gateway.

    Owns `links` (name -> state) and `wanted_until_ms` (name -> when a question's link is no longer
    wanted); both empty by themselves in `tick`. Tells the member table what links show.
    """

    def __init__(
        self,
        table: MemberTable,
        now_ms: float,
        heartbeat_ms: float = 300.0,
        suspect_after_ms: float = 2000.0,
        replica_count: int = 2,
        seed: int = 1,
    ) -> None:
        """Starts without links.

        Args:
            table: The member table of this gateway.
            now_ms: The time now.
            heartbeat_ms: A link without anything else to send sends a heartbeat this often.
            suspect_after_ms: Without a message for so long a peer is suspected. That guards against
                a peer that hangs while its connection stands; it harms where it is shorter than a
                pause of a healthy process.
            replica_count: How many replicas this gateway links to.
            seed: Of the pseudo-random jitter.
        """
        self.table = table
        self.heartbeat_ms = heartbeat_ms
        self.suspect_after_ms = suspect_after_ms
        self.replica_count = replica_count
        self.seed = seed
        self.now_ms = now_ms
        self.draws = 0
        self.links: dict[str, LinkState] = {}
        self.wanted_until_ms: dict[str, float] = {}
        self.replicas: list[str] = []

    def draw(self) -> float:
        """Returns the next pseudo-random number in [0, 1), of the seed alone."""
        self.draws += 1
        key = f"{self.seed}/{self.table.local.name}/{self.draws}"
        return crc32(key.encode()) / VALUES_OF_CRC32

    def link(self, name: str) -> LinkState:
        """Returns the state of the link to that name, a new one where there is none."""
        return self.links.setdefault(name, LinkState(self.now_ms))

    # ---- time
    def tick(self, now_ms: float) -> list[LinkAction]:
        """Dials, sends heartbeats, suspects silent peers, closes idle links, and gossips."""
        self.now_ms = now_ms
        self.replicas = self.table.choose_replicas(self.replica_count)
        self.wanted_until_ms = {
            name: until_ms for name, until_ms in self.wanted_until_ms.items() if until_ms > now_ms
        }
        wanted = dict.fromkeys([*self.table.voters(), *self.replicas, *self.wanted_until_ms])
        actions: list[LinkAction] = []
        for name in wanted:
            actions += self.dial(name)
        for name, link in list(self.links.items()):
            actions += self.check(name, link)
            if name not in wanted:
                actions += self.drop_unwanted(name, link)
        return [*actions, *self.gossip()]

    def check(self, name: str, link: LinkState) -> list[LinkAction]:
        """Suspects the peer of a silent link, or sends a heartbeat where one is due."""
        if not link.is_up:
            return []
        if self.now_ms - link.received_ms > self.suspect_after_ms:
            return self.suspect(name, link, SUSPECTED)
        if self.now_ms - link.sent_ms >= self.heartbeat_interval_ms(name):
            link.sent_ms = self.now_ms
            return [SendMessage(name, Heartbeat())]
        return []

    def drop_unwanted(self, name: str, link: LinkState) -> list[LinkAction]:
        """Closes an idle link that we dialled; forgets one that has been down for a while."""
        actions: list[LinkAction] = []
        is_idle = self.now_ms - link.used_ms > IDLE_CLOSE_MS
        if link.is_up and link.is_dialled_by_us and is_idle:
            link.is_up = False
            actions.append(CloseLink(name, "no longer needed"))
        is_down = not link.is_up and not link.is_dialling
        if is_down and self.now_ms > link.next_dial_ms + LONGEST_REDIAL_MS:
            del self.links[name]
        return actions

    def heartbeat_interval_ms(self, name: str) -> float:
        """Returns after how long without anything to send a heartbeat goes there.

        Longer on links of voters in a large fleet, but never so long that a gateway would be
        suspected.
        """
        rows = self.table.rows
        row = rows.get(name)
        has_voter = self.table.local.is_voter or (row is not None and row.is_voter)
        if not has_voter:
            return self.heartbeat_ms
        longest_ms = self.suspect_after_ms / HEARTBEATS_UNTIL_SUSPECTED
        return max(self.heartbeat_ms, min(longest_ms, self.heartbeat_ms * len(rows) / FEW_GATEWAYS))

    def gossip(self) -> list[LinkAction]:
        """Returns what is new in the table, for everybody linked."""
        rows = self.table.take_updates(self.now_ms)
        if not rows:
            return []
        linked = [name for name, link in self.links.items() if link.is_up]
        for name in linked:
            self.links[name].sent_ms = self.now_ms
        return [SendMessage(name, MembershipUpdate(rows)) for name in linked]

    # ---- links
    def dial(self, name: str) -> list[LinkAction]:
        """Returns a dial of that name, where one is due and its address known."""
        row = self.table.rows.get(name)
        link = self.link(name)
        if row is None or not row.address or row.state in FINAL_STATES:
            return []
        if link.is_up or link.is_dialling or link.next_dial_ms > self.now_ms:
            return []
        link.is_dialling = True
        return [Dial(name, row.address)]

    def on_up(
        self, now_ms: float, name: str, incarnation: int, is_dialled_by_us: bool
    ) -> LinkAdmission:
        """A link has exchanged hellos. A second one of the pair is not kept.

        Args:
            now_ms: The time now.
            name: Of the peer.
            incarnation: Of the peer.
            is_dialled_by_us: Whether this end dialled.
        """
        self.now_ms = now_ms
        link = self.link(name)
        ours_stays = self.table.local.name < name
        if link.is_up and link.incarnation == incarnation:
            is_right_one = link.is_dialled_by_us == ours_stays
            if is_right_one and is_dialled_by_us != ours_stays:
                return LinkAdmission(False, [])
        link.is_up = True
        link.is_dialled_by_us = is_dialled_by_us
        link.is_dialling = False
        link.incarnation = incarnation
        link.dials_without_message += 1
        link.received_ms = now_ms
        link.sent_ms = now_ms
        link.used_ms = now_ms
        return LinkAdmission(True, [SendMessage(name, MembershipUpdate(self.table.all_rows()))])

    def on_message(self, now_ms: float, name: str) -> None:
        """Any message of that peer has been received."""
        self.now_ms = now_ms
        link = self.links.get(name)
        if link is not None:
            link.received_ms = now_ms
            link.dials_without_message = 0

    def on_membership_update(self, now_ms: float, rows: list[Member]) -> list[LinkAction]:
        """Merges a peer's statements, and passes on what is new."""
        self.now_ms = now_ms
        self.table.merge_all(now_ms, rows)
        return self.gossip()

    def on_down(self, now_ms: float, name: str) -> list[LinkAction]:
        """The link has ended; a dial at once shows whether there is still somebody.

        Not at once where the peer sent nothing but its hello, as it turns us away: each further
        dial would cost both a handshake, some hundred a second.
        """
        self.now_ms = now_ms
        link = self.links.get(name)
        if link is None or not link.is_up:
            return []
        link.is_up = False
        link.next_dial_ms = self.backoff_until_ms(link) if link.dials_without_message else now_ms
        self.wanted_until_ms.setdefault(name, now_ms + self.suspect_after_ms)
        return self.dial(name)

    def backoff_until_ms(self, link: LinkState) -> float:
        """Returns when a link is dialled again, with jitter."""
        doublings = min(link.dials_without_message, MAX_REDIAL_DOUBLINGS)
        pause_ms: float = min(LONGEST_REDIAL_MS, FIRST_REDIAL_MS * 2**doublings)
        jitter = 0.5 + self.draw()
        return self.now_ms + pause_ms * jitter

    def on_dial_failed(self, now_ms: float, name: str, is_refused: bool) -> list[LinkAction]:
        """A dial came to nothing: refused, or no hello in time."""
        self.now_ms = now_ms
        link = self.link(name)
        link.is_dialling = False
        link.dials_without_message += 1
        link.next_dial_ms = self.backoff_until_ms(link)
        if is_refused:
            return self.suspect(name, link, DISCONNECTED)
        if now_ms - link.received_ms > self.suspect_after_ms:
            return self.suspect(name, link, SUSPECTED)
        return []

    def suspect(self, name: str, link: LinkState, state: MemberState) -> list[LinkAction]:
        """States what the link shows of its peer, closes it and puts off its next dial."""
        row = self.table.rows.get(name)
        closes = [CloseLink(name, state)] if link.is_up else []
        link.is_up = False
        earliest_ms = self.now_ms + FIRST_REDIAL_MS * (0.5 + self.draw())
        link.next_dial_ms = max(link.next_dial_ms, earliest_ms)
        if row is not None and row.state in (ALIVE, SUSPECTED):
            self.table.observe(self.now_ms, name, row.incarnation, state)
        return [*closes, *self.gossip()]

    def want(self, now_ms: float, name: str) -> list[LinkAction]:
        """A link to this name is wanted for a while, for a question."""
        self.now_ms = now_ms
        self.wanted_until_ms[name] = now_ms + IDLE_CLOSE_MS
        self.link(name).used_ms = now_ms
        return self.dial(name)

    # ---- for others
    def is_up(self, name: str) -> bool:
        """Returns whether the link to that name is up."""
        link = self.links.get(name)
        return link is not None and link.is_up

    def is_recent(self, name: str, incarnation: int) -> bool:
        """Returns whether that incarnation sent a message lately, on a link that is up."""
        link = self.links.get(name)
        if link is None or not link.is_up or link.incarnation != incarnation:
            return False
        return self.now_ms - link.received_ms <= self.suspect_after_ms

    # ---- names that the failover package still uses
    recent = is_recent

    @property
    def witnesses(self) -> list[str]:
        """`replicas`, as the failover package calls them."""
        return self.replicas

    @property
    def silent(self) -> float:
        """`suspect_after_ms`, as the failover package calls it."""
        return self.suspect_after_ms
