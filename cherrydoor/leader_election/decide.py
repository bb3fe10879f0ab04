"""Tenures: one holder of a task at a time, under a number that only rises. Pure: (now, note) in, actions out.

A *keeper* promises: after a grant of a task under a number it grants that task to nobody else until the term is over by
its own clock, lengthened by the drift, and never under a number as low again. A *contender* that a majority of the
keepers grants the same number holds the task from when it *asked*, for the term shortened by the drift and a margin. No
clocks are compared: each side measures a length, and the holder's begins before any keeper's. Any two majorities share
a keeper, so there is one holder at a time, and its number is above all before it.

A promise counts once it is on disk: the answers of a turn leave after the Save that goes before them. A keeper that
comes up with its promises lets each run its term anew; one that comes up without them is silent for the longest term
first, for it may have promised anything. If most keepers lose theirs, numbers may begin low again: whatever is acted on
remembers the highest, refuses lower ones, and the contender that hears of it asks above that (Outdone).

Times are ms; `now` is any steady clock of the process.
"""

from collections import Counter
from zlib import crc32

from msgspec import Struct

from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

FIRST, LONGEST = 50.0, 2000.0  # ms of the first back-off, and of the longest
AGAIN = 250.0  # ms after which one that is held by another is asked for again
ROUND = 400.0  # ms after which a round of asking is given up
MOST = 4096  # tasks that a keeper remembers by name; the oldest then fall into `floor`


class Terms(Struct, frozen=True):
    """term: of a tenure; drift: the share by which clocks may differ in speed; margin: taken off by the holder for
    what it does last; longest: no tenure of the fleet has a longer term. In ms."""

    term: float = 3000.0
    drift: float = 0.01
    margin: float = 100.0
    longest: float = 10000.0

    def held(self, asked):
        return asked + self.term * (1 - self.drift) - self.margin

    def promised(self, now, term):
        return now + term * (1 + self.drift)


# ---- actions of both sides
class Save(Struct, frozen=True):
    """The promises as they now stand: synced before the answers that follow it leave."""

    promises: "Promises"


class Say(Struct, frozen=True):
    to: str
    what: LeaseRequest | LeaseRelease | LeaseGranted | LeaseRefused


class Held(Struct, frozen=True):
    """This gateway holds the task until that time; comes again as the time is drawn out."""

    task: str
    number: int
    until: float


class Ended(Struct, frozen=True):
    """This gateway holds it no longer, and does nothing more under it."""

    task: str
    number: int
    why: str


# ---- the keeper
class Promise(Struct):
    """The highest number promised for a task, to whom, and until when by this keeper's clock (0: nobody's)."""

    number: int
    holder: str = ""
    until: float = 0.0
    term: float = 0.0


class Promises(Struct):
    """What a keeper must not forget. `floor`: no task that is not named is granted at it or below."""

    floor: int = 0
    tasks: dict[str, Promise] = {}


class Keeper:
    """refuses(task): a reason not to grant this task now, '' for none; a port, for what this keeper knows better."""

    def __init__(self, terms, now, promises=None, refuses=lambda task: ""):
        self.terms, self.refuses, self.counters = terms, refuses, Counter()
        self.silent_until = now if promises else now + terms.promised(0.0, terms.longest)
        self.kept = promises or Promises()
        for (
            promise
        ) in self.kept.tasks.values():  # its term runs anew: how long we were away nobody knows
            promise.until = terms.promised(now, promise.term) if promise.holder else 0.0

    def take(self, now, sender, note):
        """Actions for one note of a contender; a Save, if any, stands before the answer that depends on it."""
        if now < self.silent_until:
            self.counters["not answered in the silence after a loss"] += 1
            return []
        return (
            self.yielded(now, sender, note)
            if type(note) is LeaseRelease
            else self.sought(now, sender, note)
        )

    def sought(self, now, sender, note):
        promise = self.kept.tasks.get(note.task) or Promise(self.kept.floor)
        free = not promise.holder or promise.until <= now
        goes_on = promise.holder == sender and promise.number == note.number
        why = "" if goes_on else self.refuses(note.task)
        if (
            note.term > self.terms.longest
            or why
            or not goes_on
            and (not free or note.number <= promise.number)
        ):
            self.counters["refused"] += 1
            wait = max(0.0, promise.until - now) if promise.holder else 0.0
            return [
                Say(
                    sender,
                    LeaseRefused(note.task, note.number, promise.number, wait, why, note.round),
                )
            ]
        self.kept.tasks[note.task] = Promise(
            note.number, sender, self.terms.promised(now, note.term), note.term
        )
        self.counters["granted"] += not goes_on
        self.bound(now)
        granted = Say(sender, LeaseGranted(note.task, note.number, note.round))
        # What goes on is on disk already: after a loss of the process its term runs anew in any case.
        return [granted] if goes_on else [Save(self.kept), granted]

    def yielded(self, now, sender, note):
        """Only of the very tenure: a late word of an earlier one frees nothing. The number stays."""
        promise = self.kept.tasks.get(note.task)
        if promise is None or (promise.holder, promise.number) != (sender, note.number):
            return []
        promise.holder, promise.until = "", 0.0
        return [Save(self.kept)]

    def bound(self, now):
        """Tasks that nobody holds fall into the floor, the lowest numbers first."""
        over = len(self.kept.tasks) - MOST
        if over <= 0:
            return
        free = sorted(
            (p.number, task)
            for task, p in self.kept.tasks.items()
            if not p.holder or p.until <= now
        )
        for number, task in free[: over + MOST // 8]:
            self.kept.floor = max(self.kept.floor, number)
            del self.kept.tasks[task]


# ---- the contender
class Contender:
    """One task that this gateway would hold. `busy()` is how many tasks it holds already: who holds many waits longer
    for a further one, so that no gateway keeps all."""

    def __init__(self, task, me, keepers, terms, seed, now, busy=lambda: 0, delay=0.0):
        self.task, self.me, self.keepers, self.terms, self.seed = (
            task,
            me,
            list(keepers),
            terms,
            seed,
        )
        self.state, self.number, self.highest, self.tries, self.drawn, self.busy = (
            "waiting",
            0,
            0,
            0,
            0,
            busy,
        )
        self.asked, self.until, self.round, self.grants, self.refusals = 0.0, 0.0, 0, set(), set()
        self.at = now + delay + self.spread(FIRST) * (busy() > 0)

    @property
    def most(self):
        return len(self.keepers) // 2 + 1

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.me}/{self.task}/{self.drawn}".encode()) / 2.0**32

    def spread(self, span):
        return span * (1 + self.busy()) * (0.5 + self.chance())

    def tick(self, now):
        """At `at` or later: asks, asks to go on, gives up a round, or notices that its time is over."""
        if self.state == "holding" and now >= self.until:
            return self.end(now, "its time is over")
        if now < self.at:
            return []
        if self.state == "asking":
            return self.again(now, "too few keepers answer")
        if self.state == "holding":
            return self.ask(now)
        self.state, self.number = "asking", self.highest + 1
        return self.ask(now)

    def ask(self, now):
        """One round to all keepers; in holding it is under the same number, and its grants draw out the time."""
        self.asked, self.round, self.grants, self.refusals = now, self.round + 1, set(), set()
        self.at = now + ROUND if self.state == "asking" else min(self.until, now + ROUND)
        return [
            Say(keeper, LeaseRequest(self.task, self.number, self.terms.term, self.round))
            for keeper in self.keepers
        ]

    def take(self, now, sender, note):
        if note.task != self.task or sender not in self.keepers:
            return []
        if type(note) is LeaseRefused:
            self.highest = max(self.highest, note.highest)
        if note.number != self.number or self.state == "waiting":
            # a grant that comes too late is given back, or the task would lie idle for a term
            return (
                [Say(sender, LeaseRelease(self.task, note.number))]
                if type(note) is LeaseGranted
                else []
            )
        if note.round != self.round:
            return []
        if type(note) is LeaseGranted:
            return self.granted(now, sender)
        self.refusals.add(sender)
        if self.state == "asking" and len(self.refusals) > len(self.keepers) - self.most:
            return self.again(now, "refused", note.wait)
        return []

    def granted(self, now, sender):
        self.grants.add(sender)
        until = self.terms.held(self.asked)
        if len(self.grants) < self.most or now >= until:
            return []
        if self.state == "holding" and now >= self.until:  # it had ended before the last grant came
            return self.end(now, "its time is over")
        self.state, self.until, self.tries = "holding", until, 0
        self.highest = max(self.highest, self.number)
        self.at = min(until, self.asked + self.terms.term / 3)
        return [Held(self.task, self.number, until)]

    def again(self, now, why, wait=0.0):
        """A round is lost: what was granted is given back at once, and the next one is later by chance."""
        back = [Say(keeper, LeaseRelease(self.task, self.number)) for keeper in self.keepers]
        self.state, self.highest = "waiting", max(self.highest, self.number)
        if wait:  # somebody holds it: it may be handed over sooner than its time runs out
            self.tries, self.at = 0, now + min(wait, AGAIN) + self.spread(FIRST)
            return back
        self.at = now + self.spread(min(LONGEST, FIRST * 2 ** min(self.tries, 6)))
        self.tries += 1
        return back

    def end(self, now, why):
        number, self.state = self.number, "waiting"
        self.at = now + self.spread(FIRST)
        return [Ended(self.task, number, why)]

    def outdone(self, now, highest):
        """Something that was acted on has seen a higher number: ours is none."""
        self.highest = max(self.highest, highest)
        if self.state != "holding" or highest <= self.number:
            return []
        back = [Say(keeper, LeaseRelease(self.task, self.number)) for keeper in self.keepers]
        return [*self.end(now, "a higher number has been seen"), *back]

    def leave(self, now):
        """Hands the task over: keepers are free to grant it at once."""
        if self.state == "waiting":
            return []
        ended = [Ended(self.task, self.number, "handed over")] if self.state == "holding" else []
        self.state, self.at = "waiting", float("inf")
        return [
            *ended,
            *(Say(keeper, LeaseRelease(self.task, self.number)) for keeper in self.keepers),
        ]
