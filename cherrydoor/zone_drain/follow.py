"""A site's drain as those who follow go by it: which waves stand, and what becomes of each event. Pure.

Of two waves the one with the higher (tenure, wave) stands, whatever order they come in. A gateway that hears nothing
stays at its wave and serves. Sessions are dealt by hash in nested shares: who is away stays away as the share grows,
and no table grows with sessions. Times are ms of the caller's own clock.
"""

from collections import Counter
from zlib import crc32

from msgspec import Struct

from cherrydoor.zone_drain.plan import REST

EMPTY = ("emptying", "empty")  # states in which nothing is steered to the site any more


def session(document, party, function):
    """What moves together: the events with one document, else those of one party and function."""
    return document or f"{party}\0{function}"


def called(name):
    """The function that a version is of, as events name it.

    >>> called("deed-1@7"), called("deed-1")
    ('deed-1', 'deed-1')
    """
    return name.partition("@")[0]


def part(site, one):
    """Where a session stands between 0 and 1, alike at every gateway.

    >>> part("s", "a") == part("s", "a") and 0.0 <= part("s", "a") < 1.0
    True
    """
    return crc32(f"{site}\0{one}".encode()) / 2.0**32


class Told(Struct, frozen=True):
    """What becomes of an event: the site that does not count for it, and why it is deferred at once, if it is."""

    away: str = ""
    defer: str = ""


class Follower:
    """Drains as this gateway knows them, by site; one that is over goes with the next start."""

    def __init__(self):
        self.drains, self.since, self.counters = {}, {}, Counter()

    def hear(self, now, wave):
        """True where it is newer than what is held."""
        held = self.drains.get(wave.site)
        if held is not None and (held.number, held.wave) >= (wave.number, wave.wave):
            self.counters["waves that were old"] += (held.number, held.wave) > (
                wave.number,
                wave.wave,
            )
            return False
        if held is not None and held.state == "over":
            self.since.pop(wave.site, None)  # another drain: its sessions move anew
        before = (
            {one.function: one.share for one in held.away} if held and held.state != "over" else {}
        )
        since = self.since.setdefault(wave.site, {})
        for one in wave.away:
            if one.share > before.get(one.function, 0.0):
                since[one.function] = now
        self.drains[wave.site] = wave
        return True

    def moving(self):
        """Sites of which sessions have moved."""
        return [
            site
            for site, wave in self.drains.items()
            if wave.state != "over" and (wave.away or wave.state in EMPTY)
        ]

    def tells(self, now, function, kind, memory, one):
        """Told of an event whose session is `one`. kind, memory: of its event type; memory 0 where all hosts remember
        its marks or none has any: a keyed event whose group is a part of the hosts does not move while that part may
        still know it, or a repeat would have its effect again elsewhere."""
        for site, wave in self.drains.items():
            if wave.state == "over":
                continue
            shares = {one.function: one.share for one in wave.away}
            name = function if function in shares or function in wave.shed else REST
            here, place = shares.get(name, 0.0), part(site, one)
            if place < here:
                young = now - self.since[site].get(name, 0.0) < memory
                if kind == "keyed" and memory and young:
                    return Told(site, "its marks are still remembered at a site that is drained")
                return Told(site)
            if name in wave.shed and wave.state in EMPTY:
                return Told(site, "a site is drained and its neighbours have no room")
            if wave.state in EMPTY:
                return Told(site)
        return Told()
