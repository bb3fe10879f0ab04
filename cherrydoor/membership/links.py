"""Which peers a gateway is linked to, and what their links show of them. Pure: notes in, actions out.

Links are few: to the keepers, to the next few on the ring (the witnesses), and for a while to whom something is
asked. One link a pair: of two that cross, the one dialled by the lesser name stays. A link that is reset shows no more
than that; only a dial that is then refused shows a gateway as vanished, and only a link without a word for `silent` as
silent. Both are suspicions, which the suspect undoes by itself. All times are ms.
"""

from zlib import crc32

from msgspec import Struct

from cherrydoor.membership.decide import FINAL, HERE, SILENT, VANISHED
from cherrydoor.protocol.peers import Heartbeat, MembershipUpdate

AGAIN, LONGEST = 100.0, 2000.0  # ms before a dial is tried again, doubled up to the longest
CROWD = (
    64  # gateways, beyond which beats on links of keepers come less often: a keeper has all of them
)
IDLE = 10000.0  # ms without use after which a link that was dialled for a question is closed


class Dial(Struct, frozen=True):
    name: str
    at: str


class Close(Struct, frozen=True):
    name: str
    why: str


class Say(Struct, frozen=True):
    to: str
    what: object


class Line:
    """What is known of the link to one name. It goes when it is down, unwanted, and nothing is being tried."""

    def __init__(self, now):
        self.up, self.dialled, self.dialling, self.incarnation = False, False, False, 0
        self.heard = self.said = self.used = now
        self.again, self.tries = now, 0


class Links:
    def __init__(self, members, now, beat=300.0, silent=2000.0, next_=2, seed=1):
        """beat: a link without anything to say says so this often; silent: without a word for so long a peer is held
        to be silent; next_: how many witnesses."""
        self.members, self.beat, self.silent, self.count, self.seed = (
            members,
            beat,
            silent,
            next_,
            seed,
        )
        self.lines, self.asked, self.drawn, self.now, self.witnesses = {}, {}, 0, now, []

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.members.me.name}/{self.drawn}".encode()) / 2.0**32

    def line(self, name):
        return self.lines.setdefault(name, Line(self.now))

    # ---- notes
    def tick(self, now):
        self.now, actions = now, []
        self.witnesses = self.members.next(self.count)
        self.asked = {name: until for name, until in self.asked.items() if until > now}
        wanted = dict.fromkeys([*self.members.keepers(), *self.witnesses, *self.asked])
        for name in wanted:
            actions += self.dial(name)
        for name, line in list(self.lines.items()):
            if line.up and now - line.heard > self.silent:
                actions += self.suspect(name, line, SILENT)
            elif line.up and now - line.said >= self.pause(name):
                line.said = now
                actions.append(Say(name, Heartbeat()))
            if line.up and line.dialled and name not in wanted and now - line.used > IDLE:
                line.up = False
                actions.append(Close(name, "no longer needed"))
            if (
                not line.up
                and not line.dialling
                and name not in wanted
                and now > line.again + LONGEST
            ):
                del self.lines[name]
        return [*actions, *self.tell()]

    def pause(self, name):
        """ms without anything to say after which a beat is sent there; never so long that silence would be seen."""
        members = self.members
        if not (members.me.keeper or members.members.get(name) and members.members[name].keeper):
            return self.beat
        return max(self.beat, min(self.silent / 3, self.beat * len(members.members) / CROWD))

    def tell(self):
        """What is new goes to everybody linked."""
        rows = self.members.round(self.now)
        if not rows:
            return []
        ups = [(name, line) for name, line in self.lines.items() if line.up]
        for _, line in ups:
            line.said = self.now
        return [Say(name, MembershipUpdate(rows)) for name, _ in ups]

    def dial(self, name):
        row, line = self.members.members.get(name), self.line(name)
        if (
            row is None
            or not row.at
            or line.up
            or line.dialling
            or line.again > self.now
            or row.state in FINAL
        ):
            return []
        line.dialling = True
        return [Dial(name, row.at)]

    def up(self, now, name, incarnation, dialled):
        """A link has said hello; (whether it stays, actions). A second one of the pair goes."""
        self.now, line = now, self.line(name)
        ours = self.members.me.name < name
        if line.up and line.incarnation == incarnation and line.dialled == ours and dialled != ours:
            return False, []
        line.up, line.dialled, line.dialling, line.incarnation, line.tries = (
            True,
            dialled,
            False,
            incarnation,
            line.tries + 1,
        )
        line.heard = line.said = line.used = now
        return True, [Say(name, MembershipUpdate(self.members.whole()))]

    def heard(self, now, name):
        self.now = now
        line = self.lines.get(name)
        if line is not None:
            line.heard, line.tries = now, 0

    def members_heard(self, now, rows):
        self.now = now
        self.members.hear(now, rows)
        return self.tell()

    def down(self, now, name):
        """The link has ended. A dial at once shows whether there is still somebody; not so where the peer had nothing
        to say but its hello, as it turns us away: each further dial would cost both a handshake, some hundred a
        second."""
        self.now, line = now, self.lines.get(name)
        if line is None or not line.up:
            return []
        line.up, line.again = False, self.later(line) if line.tries else now
        self.asked.setdefault(name, now + self.silent)
        return self.dial(name)

    def later(self, line):
        """When it is tried again."""
        return self.now + min(LONGEST, AGAIN * 2 ** min(line.tries, 8)) * (0.5 + self.chance())

    def not_up(self, now, name, refused):
        """A dial came to nothing: refused, or no hello in time."""
        self.now, line = now, self.line(name)
        line.dialling, line.tries = False, line.tries + 1
        line.again = self.later(line)
        if refused:
            return self.suspect(name, line, VANISHED)
        return self.suspect(name, line, SILENT) if now - line.heard > self.silent else []

    def suspect(self, name, line, state):
        row, was = self.members.members.get(name), line.up
        line.up = False
        line.again = max(line.again, self.now + AGAIN * (0.5 + self.chance()))
        if row is not None and row.state in (HERE, SILENT):
            self.members.state(self.now, name, row.incarnation, state)
        return [*([Close(name, state)] if was else []), *self.tell()]

    def ask(self, now, name):
        """A link to this name is wanted for a while."""
        self.now = now
        self.asked[name] = now + IDLE
        line = self.line(name)
        line.used = now
        return self.dial(name)

    # ---- for others
    def is_up(self, name):
        line = self.lines.get(name)
        return line is not None and line.up

    def recent(self, name, incarnation):
        """Whether a word of this very life has been heard on a link that is up, within `silent`."""
        line = self.lines.get(name)
        return (
            line is not None
            and line.up
            and line.incarnation == incarnation
            and self.now - line.heard <= self.silent
        )
