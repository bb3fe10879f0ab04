"""A site's drain as its conductor leads it. Pure.

Waves are numbered under the tenure's number and followed, not commanded (follow.py): whoever conducts next goes on from
the highest that anybody holds, never back, and never with a wave under an old number. Times are ms of the caller's own
clock.
"""

from collections import Counter

from msgspec import Struct

from cherrydoor.frames.site import Away, Copy, Wave
from cherrydoor.site.plan import STEP, Plan

CONFIRM = 5000.0        # ms after which a gateway that has not confirmed a wave is a straggler, and not waited for
SETTLE = 1500.0         # ms for which a wave is watched before the next
FALL = 0.05             # by which the share within target may fall, against before the drain
PATIENCE = 8000.0       # ms of a fall after which the conductor steps back one wave
OPEN = 4000.0           # ms after which a copy that does not stand is ordered again ...
TRIES = 3               # ... so often; then its function waits for the last wave
LEAST = 30              # events by which a share within target is judged


class Open(Struct, frozen=True):
    """A copy of the function is to stand outside the site before its sessions move."""
    function: str


class Say(Struct, frozen=True):
    wave: Wave


class Report:
    """What one gateway last said."""

    def __init__(self):
        self.wave, self.in_hand, self.heard, self.life = (0, 0), 0, 0.0, 0


class Conductor:
    """One drain under one tenure number, from the wave that was reached before; living() gives the names of gateways
    that are there. Waits in state "copies", "moving" and "emptying"; stands in "held", "empty", "over"."""

    def __init__(self, site, number, me, plan: Plan, living, now, last=None, copies=()):
        """last: the highest Wave that anybody holds, None at the beginning; copies: [(function, host)] that stand."""
        self.site, self.number, self.me, self.plan, self.living = site, number, me, plan, living
        self.wave, self.at, self.state, self.why = last.wave if last else 0, 0, "copies", ""
        self.shares = {one.function: one.share for one in last.away} if last else {}
        self.reports, self.copies, self.opening, self.tried = {}, [Copy(*one) for one in copies], {}, Counter()
        self.good: list = []            # (when, good, taken) of reports since the wave
        self.before, self.since, self.fell, self.back = None, now, None, 0
        self.undone, self.step = last is not None and last.state == "undoing", last.step if last else STEP
        self.first = last is None
        while self.at < len(plan.waves) and all(
                self.shares.get(s.function, 0.0) >= s.share for s in plan.waves[self.at]):
            self.at += 1

    # ---- notes
    def start(self, now):
        if self.undone:
            return self.undo(now)
        return self.prepare(now) if self.at < len(self.plan.waves) else self.emptying(now)

    def followed(self, now, report):
        held = self.reports.setdefault(report.gateway, Report())
        if report.life < held.life:
            return []
        held.wave, held.in_hand, held.heard, held.life = (report.number, report.wave), report.in_hand, now, report.life
        if report.taken:
            self.good.append((now, report.good, report.taken))
            del self.good[:-400]
        return self.tick(now)

    def stands(self, now, function, host):
        """A copy stands there, by an order's answer."""
        self.copies.append(Copy(function, host))
        self.opening.pop(function, None)
        return self.tick(now)

    def operator(self, now, do):
        if do == "hold" and self.state in ("copies", "moving", "emptying"):
            self.state, self.why = "held", "by an operator"
            return [self.say("held")]
        if do == "resume" and self.state == "held":
            self.good, self.fell = [], None
            return self.start(now)
        return self.undo(now) if do == "undo" and not self.undone else []

    # ---- waves
    def prepare(self, now):
        """Copies of the next wave, before anything moves."""
        self.state, self.since = "copies", now
        known = {one.function for one in self.copies}
        wanted = [s.function for s in self.plan.waves[self.at] if s.opens and s.function not in known]
        self.opening = {name: now for name in wanted}
        for name in wanted:
            self.tried[name] += 1
        return [Open(name) for name in wanted] or self.move(now)

    def move(self, now):
        for step in self.plan.waves[self.at]:
            self.shares[step.function] = max(step.share, self.shares.get(step.function, 0.0))
        self.at += 1
        if self.before is None:
            self.before = self.share(now - 60000.0)
        return self.announce(now, "moving")

    def announce(self, now, state):
        self.wave, self.state, self.since, self.good, self.fell = self.wave + 1, "moving", now, [], None
        return [self.say(state)]

    def say(self, state):
        shed = self.plan.shed if state == "empty" else []
        away = [Away(name, share) for name, share in self.shares.items() if share > 0]
        return Say(Wave(self.site, self.number, self.wave, self.me, state, away, shed, self.copies, self.why,
                        self.step))

    def tick(self, now):
        if self.state == "copies":
            return self.copies_stand(now)
        if self.state == "moving":
            return self.moved(now)
        if self.state == "emptying":
            return self.emptied(now)
        return []

    def copies_stand(self, now):
        late = [name for name, at in self.opening.items() if now - at > OPEN]
        again = [name for name in late if self.tried[name] < TRIES]
        for name in late:
            if name in again:
                self.opening[name], self.tried[name] = now, self.tried[name] + 1
            else:
                del self.opening[name]      # it moves without: its first event there opens the copy
                self.why = f"no copy of {name} stands after {TRIES} orders"
        return [Open(name) for name in again] if self.opening else self.move(now)

    def waited_for(self, now):
        """Living gateways that have not confirmed this wave and are not yet stragglers."""
        if now - self.since > CONFIRM:
            return []
        mine = (self.number, self.wave)
        return [name for name in self.living() if name not in self.reports or self.reports[name].wave < mine]

    def moved(self, now):
        if self.waited_for(now) or now - self.since < SETTLE:
            return []
        share = self.share(self.since + SETTLE / 2)
        if self.undone:
            return self.undo(now)
        if share is not None and self.before is not None and share < self.before - FALL:
            if self.fell is None:
                self.fell = now
                self.why = f"{share:.2f} within target, {self.before:.2f} before"
            return self.step_back(now) if now - self.fell > PATIENCE else []
        self.fell = None
        return self.prepare(now) if self.at < len(self.plan.waves) else self.emptying(now)

    def step_back(self, now):
        """The last wave's steps are taken back; after three times it stands and says why."""
        self.at, self.back = max(0, self.at - 1), self.back + 1
        reached: dict = {}
        for wave in self.plan.waves[:self.at]:
            for step in wave:
                reached[step.function] = max(step.share, reached.get(step.function, 0.0))
        self.shares = reached
        actions = self.announce(now, "moving")
        if self.back >= 3:
            self.state = "held"
        return actions

    def emptying(self, now):
        """Everything is away that has room; what is shed is deferred from here on."""
        self.wave, self.since, self.state = self.wave + 1, now, "emptying"
        return [self.say("empty")]

    def emptied(self, now):
        mine = (self.number, self.wave)
        living = self.living()
        if self.waited_for(now) or any(self.reports[n].in_hand for n in living if n in self.reports):
            return []
        if all(n in self.reports and self.reports[n].wave >= mine for n in living) or now - self.since > CONFIRM:
            self.state = "empty"
        return []

    def undo(self, now):
        """Sessions come back in the same order reversed, one wave at a time, each confirmed."""
        self.undone = True
        self.at = min(self.at, len(self.plan.waves))
        if not self.shares:
            self.wave, self.state = self.wave + 1, "over"
            return [self.say("over")]
        self.at = max(0, self.at - 1)
        reached: dict = {}
        for wave in self.plan.waves[:self.at]:
            for step in wave:
                reached[step.function] = max(step.share, reached.get(step.function, 0.0))
        self.shares = reached
        return self.announce(now, "undoing")

    # ---- what is watched
    def share(self, since):
        """Within target, of all that was answered since then; None where that is too little to tell."""
        good = sum(g for t, g, _ in self.good if t >= since)
        taken = sum(n for t, _, n in self.good if t >= since)
        return good / taken if taken >= LEAST else None

    def table(self):
        return {"site": self.site, "number": self.number, "wave": self.wave, "state": self.state, "why": self.why,
                "waves": len(self.plan.waves), "reached": self.at, "shed": self.plan.shed,
                "room": round(self.plan.room, 1), "asked": round(self.plan.asked, 1),
                "within target before": self.before,
                "in hand": sum(r.in_hand for r in self.reports.values()),
                "confirmed": sum(r.wave >= (self.number, self.wave) for r in self.reports.values())}
