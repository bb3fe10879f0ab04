"""Which keys are in service, when that changes, and what becomes of connections made before. Pure: facts come in as
notes with the time, actions go out. Times in ms since 1970; no key material is seen here.

Four parts are kept apart, so that a fault in one leaves the others alone: the pair (certificate and key), the
authorities that peers are believed by, the revocations, and the token keys. A part that is refused leaves the one in
service. Tables: `standing` lives as long as the connections; the rest has the size of the files.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from zlib import crc32

PARTS = ("pair", "authorities", "revoked", "tokens")
SPREAD = 0.25  # of the standing time, over which connections of old keys are ended, so that not all come back
# at once


@dataclass(frozen=True, slots=True)
class Pair:
    """A certificate with its key. `matches` says that they belong together."""

    serial: str
    name: str
    since: float
    until: float
    matches: bool = True


@dataclass(frozen=True, slots=True)
class Authority:
    id: str
    name: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Revoked:
    """Serials that are void, by an authority; `number` counts up with each list. `signed` says that the authority's
    signature was checked."""

    authority: str
    number: int
    serials: frozenset
    signed: bool = True


@dataclass(frozen=True, slots=True)
class Token:
    """A key by which tokens are believed, for these offices; none named are all."""

    id: str
    offices: tuple = ()


# ---- notes
@dataclass(slots=True)
class Offered:
    """One part as read: `what` it holds, or the `fault` that kept it from being read. `mark` tells one content from
    another."""

    part: str
    mark: str
    what: object = None
    fault: str = ""


@dataclass(slots=True)
class Joined:
    """A connection was made on the keys in service. Empty where the peer showed no certificate or no token."""

    connection: object
    serial: str = ""
    authority: str = ""
    token: str = ""
    until: float = 0.0  # of the peer's certificate or token, 0 for none


@dataclass(slots=True)
class Left:
    connection: object


@dataclass(slots=True)
class Tick:
    """Time has passed."""


# ---- actions
@dataclass(slots=True)
class TakeUp:
    """From now on this part is in service."""

    part: str
    mark: str


@dataclass(slots=True)
class Keep:
    """A part was refused, and the one before stays."""

    part: str
    why: str


@dataclass(slots=True)
class Warn:
    """A key ends soon, or has ended."""

    what: str
    left: float


@dataclass(slots=True)
class PutOut:
    """The connection is to end: at once, or as soon as nothing is open on it."""

    connection: object
    why: str
    at_once: bool


@dataclass(slots=True)
class Stood:
    """A connection and what it rests on."""

    made: Joined
    due: float = float("inf")
    why: str = ""
    told: bool = False


@dataclass(slots=True)
class Kept:
    """A part in service, and what was last refused in its place."""

    what: object = None
    mark: str = ""
    refused: Offered | None = None
    said: str = ""


@dataclass(slots=True)
class Usage:
    """standing: how long connections go on after the keys they were made on have gone out of service; warn: before a
    key's end. In ms."""

    standing: float = 900000.0
    warn: float = 14 * 86400000.0
    seed: int = 1
    steps: tuple = field(default=(1.0, 0.5, 0.25, 1 / 14, 0.0))  # of `warn`: a word at each


def date(ms):
    """As text.

    >>> date(1.8e12)
    '2027-01-15 08:00 UTC'
    """
    return (datetime(1970, 1, 1) + timedelta(milliseconds=ms)).strftime("%Y-%m-%d %H:%M UTC")


class Ring:
    """What is in service. take(now, note) gives actions."""

    def __init__(self, usage):
        self.usage, self.kept = usage, {part: Kept() for part in PARTS}
        self.standing, self.warned, self.drawn = {}, {}, 0
        self.hear = {Offered: self.offered, Joined: self.joined, Left: self.left, Tick: self.tick}

    def take(self, now, note):
        self.now, self.actions = now, []
        self.hear[type(note)](note)
        return self.actions

    def serving(self, part):
        return self.kept[part].what

    # ---- what is offered
    def offered(self, note):
        kept = self.kept[note.part]
        if note.mark == kept.mark and not note.fault:
            kept.refused, kept.said = None, ""  # the good one is back
            return
        why = note.fault or getattr(self, f"wrong_{note.part}")(note.what, kept.what)
        if why:
            # kept for another look: a clock that is wrong now may be right later
            kept.refused = None if note.fault else note
            if why != kept.said:
                kept.said = why
                self.actions.append(Keep(note.part, why))
            return
        old, kept.what, kept.mark, kept.refused, kept.said = (
            kept.what,
            note.what,
            note.mark,
            None,
            "",
        )
        self.actions.append(TakeUp(note.part, note.mark))
        if old is not None or note.part == "revoked":
            getattr(self, f"after_{note.part}")(old, note.what)
        self.look_ahead()

    def wrong_pair(self, new, old):
        if not new.matches:
            return "the certificate and the key do not belong together"
        if new.until <= self.now:
            return f"the certificate ended at {date(new.until)}"
        if new.since > self.now:
            return f"the certificate begins at {date(new.since)} only"
        return ""

    def wrong_authorities(self, new, old):
        if not new:
            return "there is no authority in it"
        if all(one.until <= self.now for one in new):
            return "every authority in it has ended"
        return ""

    def wrong_revoked(self, new, old):
        for one in new:
            if not one.signed:
                return "a list of revocations is not signed by an authority in service"
        before = {one.authority: one.number for one in old or ()}
        for one in new:
            if one.number < before.get(one.authority, 0):
                return f"list {one.number} of revocations is older than {before[one.authority]}, which is in service"
        if set(before) - {one.authority for one in new} - self.dropped():
            return "the list of revocations of an authority in service is missing"
        return ""

    def dropped(self):
        """Authorities that have revoked something, and are in service no more."""
        there = {one.id for one in self.serving("authorities") or ()}
        return {one.authority for one in self.serving("revoked") or ()} - there

    def wrong_tokens(self, new, old):
        ids = [one.id for one in new]
        return "two token keys have one id" if len(set(ids)) < len(ids) else ""

    # ---- what becomes of those that stand
    def after_pair(self, old, new):
        for stood in self.standing.values():
            self.limit(stood, self.spread(stood), "the gateway's certificate has changed")

    def after_authorities(self, old, new):
        gone = {one.id for one in old} - {one.id for one in new}
        for stood in self.standing.values():
            if stood.made.authority in gone:
                self.limit(
                    stood,
                    self.spread(stood),
                    "the authority of this certificate is in service no more",
                )

    def after_revoked(self, old, new):
        self.revoke()

    def revoke(self):
        for connection, stood in self.standing.items():
            if self.void(stood.made.authority, stood.made.serial):
                stood.due, stood.told = self.now, True
                self.actions.append(PutOut(connection, "this certificate is revoked", True))

    def after_tokens(self, old, new):
        """A token key that is taken out voids what rests on it at once: there is no other way to call a token back."""
        ids = {one.id for one in new}
        for connection, stood in self.standing.items():
            if stood.made.token and stood.made.token not in ids:
                stood.due, stood.told = self.now, True
                self.actions.append(
                    PutOut(connection, "the key of this token is in service no more", True)
                )

    def spread(self, stood):
        self.drawn += 1
        chance = crc32(f"standing/{self.usage.seed}/{self.drawn}".encode()) / 2.0**32
        return self.now + self.usage.standing * (1 - SPREAD * chance)

    def limit(self, stood, due, why):
        if due < stood.due:
            stood.due, stood.why = due, why

    def void(self, authority, serial):
        return bool(serial) and any(
            one.authority == authority and serial in one.serials
            for one in self.serving("revoked") or ()
        )

    def believes(self, token, office):
        """Whether a token of that key may speak for the office."""
        return any(
            one.id == token and (not one.offices or office in one.offices)
            for one in self.serving("tokens") or ()
        )

    # ---- connections
    def joined(self, note):
        stood = self.standing[note.connection] = Stood(note)
        if self.void(note.authority, note.serial):
            stood.told = True
            self.actions.append(PutOut(note.connection, "this certificate is revoked", True))
        elif note.until:
            self.limit(stood, note.until, "what this client proved itself by has ended")

    def left(self, note):
        self.standing.pop(note.connection, None)

    # ---- time
    def tick(self, note):
        for connection, stood in self.standing.items():
            if stood.due <= self.now and not stood.told:
                stood.told = True
                self.actions.append(PutOut(connection, stood.why, False))
        for kept in self.kept.values():
            if kept.refused is not None:
                again, kept.refused = kept.refused, None
                self.offered(again)
        self.look_ahead()

    def look_ahead(self):
        """A word at each step before the end of a key in service, each once."""
        pair, found = self.serving("pair"), []
        if pair is not None:
            found.append((f"certificate {pair.name}", pair.until))
        found += [(f"authority {one.name}", one.until) for one in self.serving("authorities") or ()]
        self.warned = {
            what: step
            for what, step in self.warned.items()
            if what[0] in {name for name, _ in found}
        }
        for name, until in found:
            left = until - self.now
            step = sum(left <= self.usage.warn * part for part in self.usage.steps)
            if step > self.warned.get((name, until), 0):
                self.warned[name, until] = step
                self.actions.append(Warn(name, left))
