"""A site's drain as its conductor leads it. Pure.

Waves are numbered under the tenure's number and followed, not commanded (follow.py): whoever conducts next goes on from
the highest that anybody holds, never back, and never with a wave under an old number. Times are ms of the caller's own
clock.
"""

from msgspec import Struct

from cherrydoor.protocol.zone_drain import ReadyCopy
from cherrydoor.zone_drain.falls import BLAMED, FALL, HEALS, NARROW, WATCHED, Fall
from cherrydoor.zone_drain.follow import EMPTY
from cherrydoor.zone_drain.leftover import Leftover
from cherrydoor.zone_drain.neighbours import Neighbours
from cherrydoor.zone_drain.opening import Openings
from cherrydoor.zone_drain.plan import STEP, Plan
from cherrydoor.zone_drain.watch import Watch
from cherrydoor.zone_drain.waves import SETTLE, Waves

CONFIRM = 5000.0  # ms after which a gateway that has not confirmed a wave is a straggler, and not waited for
CAREFUL = (
    3  # times as long where neighbours are not known to bear it: overload takes its time to show
)
GATHER = 1500.0  # ms for which a new conductor listens before it plans
WAVE = 2000.0  # ms that a wave takes where nothing holds it up: announced, confirmed, watched
SAYS = 1000.0  # ms for which a host's word is waited for
BACK = 3  # steps back after which it stands until an operator says more


class Ask(Struct, frozen=True):
    """A host is asked what it has in hand."""

    host: str


class Conductor(Waves):
    """One drain under one tenure number, from the wave that was reached before; living() gives the names of gateways
    that are there, hosts() those of the site's hosts in the list. Waits in state "copies", "moving" and "emptying";
    stands in "held", "empty", "over"."""

    def __init__(
        self, site, number, me, plan: Plan, living, now, last=None, copies=(), hosts=lambda: ()
    ):
        """last: the highest Wave that anybody holds, None at the beginning; copies: [(function, the name that hosts
        know it by, host)] that stand."""
        self.site, self.number, self.me, self.plan, self.living = site, number, me, plan, living
        self.wave, self.at, self.state = last.wave if last else 0, 0, "copies"
        self.shares = {one.function: one.share for one in last.away} if last else {}
        self.waves = [list(wave) for wave in plan.waves]
        self.watch, self.copies = Watch(), [ReadyCopy(name, host) for _, name, host in copies]
        self.openings = Openings(function for function, _, _ in copies)
        self.since, self.fall, self.back, self.shed = (
            now,
            Fall(),
            0,
            list(last.shed) if last else [],
        )
        self.watched, self.healing = (
            now,
            0.0,
        )  # since when a share counts; how long a step back takes to show
        self.undone, self.step = (
            last is not None and last.state == "undoing",
            last.step if last else STEP,
        )
        self.even, self.held = (
            last is not None and last.even,
            last is not None and last.state == "held",
        )
        self.why = last.why if last is not None and self.held else ""
        self.neighbours, self.leftover = Neighbours(site), Leftover(hosts)
        # never back: what nothing is steered to any more stays so, whatever the plan has found since
        while self.at < len(self.waves) and (
            last is not None
            and last.state in EMPTY
            or all(self.shares.get(s.function, 0.0) >= s.share for s in self.waves[self.at])
        ):
            self.at += 1

    # ---- notes
    def start(self, now):
        if self.undone:
            return self.undo(now)
        if (
            self.held
        ):  # an operator's word, or three falls, outlive the conductor that heard of them
            self.held = False
            return self.stand(self.why)
        return self.go_on(now)

    def followed(self, now, report):
        return self.tick(now) if self.watch.heard(now, report) else []

    def stands(self, now, function, host, called=""):
        """A copy stands there, by an order's answer; called: the name that hosts know it by."""
        self.copies.append(ReadyCopy(called or function, host))
        self.openings.stands(function)
        return self.tick(now)

    def counted(self, now, host, word):
        """A host's answer, None where there was none."""
        self.leftover.said(now, host, word)
        return self.tick(now)

    def operator(self, now, do):
        if do == "hold" and self.state in ("copies", "moving"):
            return self.stand("by an operator")
        if do == "resume" and (self.state == "held" or self.shed and self.state in EMPTY):
            self.fall.since, self.back, self.why, self.shed = None, 0, "", []
            self.openings.go_without()
            return self.start(now)
        return self.undo(now) if do == "undo" and not self.undone else []

    # ---- waves
    def tick(self, now):
        if self.undone or self.state == "over":
            return self.moved(now) if self.state == "moving" else []
        if self.neighbours.lost():
            return self.bereft(now)
        if self.why.startswith("neighbours"):
            self.why = ""
        if self.state == "copies":
            return self.copies_stand(now)
        if self.state == "moving":
            return self.moved(now)
        if self.state in EMPTY and self.worse(now):
            return self.step_back(now)
        return self.emptied(now) if self.state == "emptying" else []

    def bereft(self, now):
        """Neighbours are lost: no wave goes out, and the site takes back what those that are left cannot bear."""
        if self.state == "held":
            return []
        self.why, excess = self.neighbours.lost(), self.neighbours.excess()
        if not excess or not self.at or not self.neighbours.takes_back():
            return []
        if self.state == "moving" and (self.waited_for(now) or now - self.since < SETTLE):
            return []  # the last one is still on its way
        while excess > 0 and self.at:
            self.at -= 1
            excess -= sum(step.rate for step in self.waves[self.at])
        self.shares = self.reached()
        return self.announce(now, "moving")

    def waited_for(self, now):
        """Living gateways that have not confirmed this wave and are not yet stragglers."""
        late = self.watch.late(self.living(), (self.number, self.wave))
        return late if now - self.since <= CONFIRM else []

    def moved(self, now):
        careful = self.at > self.plan.sure
        settle = SETTLE * (CAREFUL if careful and not self.undone else 1)
        if (
            self.waited_for(now)
            or now - self.since < settle
            or now < self.watched + SETTLE / 2
            and not self.undone
        ):
            return []
        if self.undone:
            return self.undo(now)
        if self.fall.seen(now, *self.watch.share(self.watched), NARROW if careful else FALL):
            self.why = self.fall.why
            return self.step_back(now) if self.fall.lasts(now) else []
        return self.go_on(now)

    def worse(self, now):
        """Whether what is within target has fallen for long since all went away, and something can be done about it."""
        if (
            now - self.since > BLAMED
            or not self.at
            or not (self.even or self.neighbours.takes_back())
        ):
            return False
        found = self.fall.seen(
            now,
            *self.watch.share(max(self.watched, now - WATCHED)),
            NARROW if self.at > self.plan.sure else FALL,
        )
        return found and self.fall.lasts(now)

    def step_back(self, now):
        """The last wave's steps are taken back; after three times, or once all was away, it stands and says why. With
        --even they and all below are shed instead, which ends the waves."""
        ended, self.why, self.healing = self.state in EMPTY, self.fall.why, HEALS
        self.at, self.back = max(0, self.at - 1), self.back + 1
        self.shares = self.reached()
        if self.even:
            self.shed = list(
                dict.fromkeys(step.function for wave in self.waves[self.at :] for step in wave)
            )
            return self.emptying(now)
        return self.stand(self.why) if ended or self.back >= BACK else self.announce(now, "moving")

    # ---- the end
    def emptied(self, now):
        """By the gateways' word, then by the hosts' own count."""
        living = self.living()
        busy, late = self.watch.busy(living), self.watch.late(living, (self.number, self.wave))
        self.why = ""
        if late and now - self.since <= CONFIRM:
            return []
        if busy or late:
            self.why = (
                "in hand at " + " ".join(busy[:3])
                if busy
                else "not confirmed by " + " ".join(late[:3])
            )
        if busy:
            return []
        actions = [Ask(name) for name in self.leftover.ask(now)]
        if not self.leftover.empty(now):
            self.why = self.leftover.why() or self.why
            return actions
        self.wave, self.state = self.wave + 1, "empty"
        return [self.say("empty")]
