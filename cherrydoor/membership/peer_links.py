"""Decides which peers a gateway is linked to, and what its links show about them.

Pure: link events in, actions out; no sockets, no clock.

A gateway has few links: to the voters, to its replicas, and for a while to each peer that it has a
question for. A pair of gateways has one link: if both dial at the same time, the link dialled by
the gateway whose name sorts first is kept. A reset link alone says nothing about the peer. Only if
the next dial is refused is the peer considered disconnected, and only if no message has come for
`suspect_after_ms` is it suspected. Either can be wrong; the peer then refutes it.

All times are in ms of the caller's clock.
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

INITIAL_REDIAL_MS = 100.0  # backoff before a failed dial is retried, doubled up to the maximum
MAX_REDIAL_MS = 2000.0  # so that a gateway that returns is linked within seconds
MAX_REDIAL_DOUBLINGS = 8  # 100 ms doubled eight times exceeds the maximum
IDLE_CLOSE_MS = 10_000.0  # idle time after which a link dialled for a question is closed
# Fleet size beyond which heartbeats on links of voters are sent less often, as each voter is linked
# to every gateway.
LARGE_FLEET_GATEWAYS = 64
# Number of heartbeats within `suspect_after_ms`: two may be late before a gateway is suspected.
HEARTBEATS_PER_SUSPECT_TIME = 3
CRC32_RANGE = 2.0**32


class PeerLinks:
    """The link policy of one gateway.

    Records in the member table what the links show about their peers.

    Attributes:
        links: The state of each link by the peer's name.
        wanted_until_ms: By the peer's name, the time until which a link is wanted although the peer
            is neither voter nor replica: for a question, or to find out why the link ended. `tick`
            removes expired entries here, and unused ones in `links`.
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
        """Creates a policy that has no links yet.

        Args:
            table: The member table of this gateway.
            now_ms: The current time.
            heartbeat_ms: The interval of heartbeats on a link that has nothing else to send.
            suspect_after_ms: The time without a message after which a peer is suspected. Detects a
                peer that hangs while its connection stays open. If it is shorter than the pauses of
                a healthy process, healthy peers are suspected.
            replica_count: How many replicas this gateway links to.
            seed: The seed of the pseudo-random jitter.
        """
        self.table = table
        self.heartbeat_ms = heartbeat_ms
        self.suspect_after_ms = suspect_after_ms
        self.replica_count = replica_count
        self.seed = seed
        self.now_ms = now_ms
        self.draw_count = 0
        self.links: dict[str, LinkState] = {}
        self.wanted_until_ms: dict[str, float] = {}
        self.replicas: list[str] = []

    def draw(self) -> float:
        """Returns the next pseudo-random number in [0, 1).

        The sequence depends only on the seed and this gateway's name.
        """
        self.draw_count += 1
        key = f"{self.seed}/{self.table.local.name}/{self.draw_count}"
        return crc32(key.encode()) / CRC32_RANGE

    def link(self, name: str) -> LinkState:
        """Returns the state of the link to a peer; creates it if there is none."""
        return self.links.setdefault(name, LinkState(self.now_ms))

    # ---- timers
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
            actions += self.check_timeouts(name, link)
            if name not in wanted:
                actions += self.close_unwanted(name, link)
        return [*actions, *self.gossip()]

    def check_timeouts(self, name: str, link: LinkState) -> list[LinkAction]:
        """Suspects a peer that has been silent too long, or sends a heartbeat if one is due."""
        if not link.is_up:
            return []
        if self.now_ms - link.last_received_ms > self.suspect_after_ms:
            return self.suspect(name, link, SUSPECTED)
        if self.now_ms - link.last_sent_ms >= self.heartbeat_interval_ms(name):
            link.last_sent_ms = self.now_ms
            return [SendMessage(name, Heartbeat())]
        return []

    def close_unwanted(self, name: str, link: LinkState) -> list[LinkAction]:
        """Closes an idle link that we dialled; drops the state of one that is long down."""
        actions: list[LinkAction] = []
        is_idle = self.now_ms - link.last_used_ms > IDLE_CLOSE_MS
        if link.is_up and link.is_dialled_by_us and is_idle:
            link.is_up = False
            actions.append(CloseLink(name, "no longer needed"))
        is_down = not link.is_up and not link.is_dialling
        if is_down and self.now_ms > link.next_dial_ms + MAX_REDIAL_MS:
            del self.links[name]
        return actions

    def heartbeat_interval_ms(self, name: str) -> float:
        """Returns the interval of heartbeats on a link without other messages, in ms.

        It is longer on the links of voters in a large fleet, but short enough that the peer does
        not suspect this gateway.
        """
        rows = self.table.rows
        row = rows.get(name)
        has_voter = self.table.local.is_voter or (row is not None and row.is_voter)
        if not has_voter:
            return self.heartbeat_ms
        longest_ms = self.suspect_after_ms / HEARTBEATS_PER_SUSPECT_TIME
        return max(
            self.heartbeat_ms, min(longest_ms, self.heartbeat_ms * len(rows) / LARGE_FLEET_GATEWAYS)
        )

    def gossip(self) -> list[LinkAction]:
        """Returns actions that send the rows changed since the last call to every linked peer."""
        rows = self.table.take_updates(self.now_ms)
        if not rows:
            return []
        linked = [name for name, link in self.links.items() if link.is_up]
        for name in linked:
            self.links[name].last_sent_ms = self.now_ms
        return [SendMessage(name, MembershipUpdate(rows)) for name in linked]

    # ---- links
    def dial(self, name: str) -> list[LinkAction]:
        """Returns a dial of a peer if one is due and the peer's address is known."""
        row = self.table.rows.get(name)
        link = self.link(name)
        if row is None or not row.address or row.state in FINAL_STATES:
            return []
        if link.is_up or link.is_dialling or link.next_dial_ms > self.now_ms:
            return []
        link.is_dialling = True
        return [Dial(name, row.address)]

    def on_link_up(
        self, now_ms: float, name: str, incarnation: int, is_dialled_by_us: bool
    ) -> LinkAdmission:
        """Handles a connection on which hellos were exchanged; only one link per pair is kept.

        Args:
            now_ms: The current time.
            name: The name of the peer.
            incarnation: The incarnation of the peer.
            is_dialled_by_us: Whether this gateway dialled.
        """
        self.now_ms = now_ms
        link = self.link(name)
        own_dial_is_kept = self.table.local.name < name
        if link.is_up and link.incarnation == incarnation:
            is_current_link_preferred = link.is_dialled_by_us == own_dial_is_kept
            if is_current_link_preferred and is_dialled_by_us != own_dial_is_kept:
                return LinkAdmission(False, [])
        link.is_up = True
        link.is_dialled_by_us = is_dialled_by_us
        link.is_dialling = False
        link.incarnation = incarnation
        link.dials_without_message += 1
        link.last_received_ms = now_ms
        link.last_sent_ms = now_ms
        link.last_used_ms = now_ms
        return LinkAdmission(True, [SendMessage(name, MembershipUpdate(self.table.all_rows()))])

    def on_message(self, now_ms: float, name: str) -> None:
        """Records that a message of the peer was received."""
        self.now_ms = now_ms
        link = self.links.get(name)
        if link is not None:
            link.last_received_ms = now_ms
            link.dials_without_message = 0

    def on_membership_update(self, now_ms: float, rows: list[Member]) -> list[LinkAction]:
        """Merges a peer's statements, and sends the rows that changed to all linked peers."""
        self.now_ms = now_ms
        self.table.merge_all(now_ms, rows)
        return self.gossip()

    def on_link_down(self, now_ms: float, name: str) -> list[LinkAction]:
        """Handles the end of a link: dials immediately to find out whether the peer still runs.

        If the peer sent nothing after its hello, it probably rejects us. The next dial then waits
        for the backoff; otherwise each gateway would spend some hundred handshakes a second on it.
        """
        self.now_ms = now_ms
        link = self.links.get(name)
        if link is None or not link.is_up:
            return []
        link.is_up = False
        link.next_dial_ms = self.next_redial_ms(link) if link.dials_without_message else now_ms
        self.wanted_until_ms.setdefault(name, now_ms + self.suspect_after_ms)
        return self.dial(name)

    def next_redial_ms(self, link: LinkState) -> float:
        """Returns the time of the next dial: exponential backoff with jitter."""
        doublings = min(link.dials_without_message, MAX_REDIAL_DOUBLINGS)
        backoff_ms: float = min(MAX_REDIAL_MS, INITIAL_REDIAL_MS * 2**doublings)
        jitter = 0.5 + self.draw()
        return self.now_ms + backoff_ms * jitter

    def on_dial_failed(self, now_ms: float, name: str, is_refused: bool) -> list[LinkAction]:
        """Handles a dial that failed: it was refused, or no hello came in time."""
        self.now_ms = now_ms
        link = self.link(name)
        link.is_dialling = False
        link.dials_without_message += 1
        link.next_dial_ms = self.next_redial_ms(link)
        if is_refused:
            return self.suspect(name, link, DISCONNECTED)
        if now_ms - link.last_received_ms > self.suspect_after_ms:
            return self.suspect(name, link, SUSPECTED)
        return []

    def suspect(self, name: str, link: LinkState, state: MemberState) -> list[LinkAction]:
        """Records a suspicion of the peer, closes the link and delays its next dial."""
        row = self.table.rows.get(name)
        closes = [CloseLink(name, state)] if link.is_up else []
        link.is_up = False
        earliest_ms = self.now_ms + INITIAL_REDIAL_MS * (0.5 + self.draw())
        link.next_dial_ms = max(link.next_dial_ms, earliest_ms)
        if row is not None and row.state in (ALIVE, SUSPECTED):
            self.table.observe(self.now_ms, name, row.incarnation, state)
        return [*closes, *self.gossip()]

    def want(self, now_ms: float, name: str) -> list[LinkAction]:
        """Dials a peer that this gateway has a question for; the link is wanted for a while."""
        self.now_ms = now_ms
        self.wanted_until_ms[name] = now_ms + IDLE_CLOSE_MS
        self.link(name).last_used_ms = now_ms
        return self.dial(name)

    # ---- queries
    def is_up(self, name: str) -> bool:
        """Returns whether the link to the peer is up."""
        link = self.links.get(name)
        return link is not None and link.is_up

    def is_recent(self, name: str, incarnation: int) -> bool:
        """Returns whether the link to that incarnation is up and not silent too long."""
        link = self.links.get(name)
        if link is None or not link.is_up or link.incarnation != incarnation:
            return False
        return self.now_ms - link.last_received_ms <= self.suspect_after_ms
