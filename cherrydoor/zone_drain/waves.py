"""The waves of a drain: prepared, announced, reached, taken back. Pure; when that is done is decided in decide.py."""

from typing import Any

from msgspec import Struct

from cherrydoor.protocol.zone_drain import DrainWave, MovedShare
from cherrydoor.zone_drain.follow import EMPTY

SETTLE = 1500.0  # ms for which a wave is watched before the next


class Open(Struct, frozen=True):
    """A copy of the function is to stand outside the site before its sessions move."""

    function: str


class Say(Struct, frozen=True):
    wave: DrainWave


class Waves:
    """What they are made of is the conductor's."""

    site: str
    number: int
    me: str
    wave: int
    at: int
    waves: list
    shares: dict
    shed: list
    copies: list
    openings: Any
    neighbours: Any
    watch: Any
    fall: Any
    state: str
    why: str
    since: float
    watched: float
    healing: float
    step: float
    even: bool
    undone: bool

    def go_on(self, now):
        return self.prepare(now) if self.at < len(self.waves) else self.emptying(now)

    def prepare(self, now):
        """Copies of the next wave, before anything moves."""
        self.state, self.since = "copies", now
        wanted = self.openings.begin(now, self.waves[self.at])
        return [Open(name) for name in wanted] or self.move(now)

    def move(self, now):
        if self.neighbours.lost():
            return []
        for step in self.waves[self.at]:
            self.shares[step.function] = max(step.share, self.shares.get(step.function, 0.0))
        self.at += 1
        if self.fall.before is None:
            self.fall.before = self.watch.share(now - 60000.0)[0]
        return self.announce(now, "moving")

    def announce(self, now, state):
        self.wave, self.state = self.wave + 1, "moving"
        self.begin(now)
        return [self.say(state)]

    def stand(self, why):
        """No further wave until an operator says more; all hear of it, so that whoever conducts next stands as well."""
        self.wave, self.state, self.why = self.wave + 1, "held", why
        return [self.say("held")]

    def begin(self, now):
        """Something has changed: what is answered counts from when it can show."""
        self.since, self.fall.since = now, None
        self.watched, self.healing = now + (self.healing or SETTLE / 2), 0.0

    def say(self, state):
        shed = self.shed if state in EMPTY else []
        away = [MovedShare(name, share) for name, share in self.shares.items() if share > 0]
        return Say(
            DrainWave(
                self.site,
                self.number,
                self.wave,
                self.me,
                state,
                away,
                shed,
                self.copies,
                self.why,
                self.step,
                self.even,
            )
        )

    def copies_stand(self, now):
        openings, last = self.openings, self.at == len(self.waves) - 1
        again, off = openings.late(now, last)
        for name in off:
            self.waves[self.at :] = openings.put_off(name, self.waves[self.at :])
            self.why = f"put off, as no copy stands: {' '.join(openings.off)}"
        if last and (why := openings.given_up(now)):
            return self.stand(why)
        if openings.opening:
            return [Open(name) for name in again]
        return self.move(now) if self.waves[self.at] else self.skip(now)

    def skip(self, now):
        self.at += 1
        return self.go_on(now)

    def reached(self):
        """function -> share, by the waves that stand."""
        reached: dict = {}
        for wave in self.waves[: self.at]:
            for step in wave:
                reached[step.function] = max(step.share, reached.get(step.function, 0.0))
        return reached

    def emptying(self, now):
        """Everything is away that has room; what is shed is deferred from here on."""
        self.wave, self.state = self.wave + 1, "emptying"
        self.begin(now)
        return [self.say("emptying")]

    def undo(self, now):
        """Sessions come back in the same order reversed, one wave at a time, each confirmed."""
        self.undone = True
        self.at = min(self.at, len(self.waves))
        if not self.shares:
            self.wave, self.state = self.wave + 1, "over"
            return [self.say("over")]
        self.at = max(0, self.at - 1)
        self.shares = self.reached()
        return self.announce(now, "undoing")
