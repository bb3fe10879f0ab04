"""Which version of a function an event calls, and what becomes of a release. Pure: notes with the time go in, actions
come out. Times in ms since 1970, so that what is kept outlives a start.

A Release is an actor with few states: announced, loading, trial, complete, withdrawn, superseded. In trial it has a
share of the events, by a hash of the document, that grows by steps. Gateways share nothing; what they have in common
is that a function's home is one host for all of them: its answers carry a tally of all events of that version it ran,
so each gateway that is answered weighs nearly the same evidence and comes to the same end.

Tables: `lines` has the size of the release feed; evidence is kept for releases on trial alone, one entry a host that
answered, and goes with the release; `calls` halve each minute and are dropped when they are none.
"""

from collections import deque
from dataclasses import dataclass, field
from hashlib import sha1

from cherrydoor.releases.proof import Count, carry, no_worse, worse

ANNOUNCED, LOADING, TRIAL, COMPLETE, WITHDRAWN, SUPERSEDED = (
    "announced",
    "loading",
    "trial",
    "complete",
    "withdrawn",
    "superseded",
)
SHARES = (
    0.2,
    0.4,
    0.7,
    0.9,
)  # of the documents, by step; the old version keeps some to compare with
NEED = (20, 40, 60, 150)  # events of the new version that each step has seen before the next
PATIENCE = 300000.0  # a step ends after so long with fewer: a function seldom called ...
UNCALLED = 30000.0  # ... and after so long where nobody calls it here
FALSE = 0.02  # withdrawals of versions that are no worse, at most, over all steps and tests
AT_STEP = (0.4, 0.2, 0.2, 0.2)  # of it, by step ...
PART = {
    "errors": 0.5,
    "slow": 0.25,
    "lost": 0.15,
}  # ... and by test; the rest is for single customers
HINT = 0.3  # with this much of a hint against it a step is not taken, and waits
NEAR = (0.17, 0.1, 0.08)  # a step is taken once errors lie, likely, within this of the old ones
MARGIN = {"errors": 0.0, "slow": 0.1, "lost": 0.02}
SURE, WITHIN = (
    0.05,
    0.05,
)  # complete: errors surely within this of the old ones, or patience has run out
LOAD_WAIT, LOAD_FAILS = (
    10000.0,
    3,
)  # ms that a load ahead is waited for; loads that may fail in a row
HALF = 60000.0  # calls halve in this time
FEWEST, MOST = 1.0, 8.0  # loads ahead under way at once
TRIALS = 2  # functions split over two versions here at once: copies of both are colder, and
# take memory for both. Others go to the last step once they are loaded
SELDOM = 4.0  # calls a minute here below which a function is not split either
ALIKE, TOGETHER, HELD_OFF = (
    3,
    60000.0,
    600000.0,
)  # so many withdrawn within this time hold off all that have not
# begun, for so long after the last
LATE_QUANTILE, LATE = (
    0.8,
    1.3,
)  # an event is slow if it takes so many times what this part of the old one's do


def name_of(function, version):
    """What hosts and the module call a function's version; 0 is the bare function.

    >>> name_of("deed", 0), name_of("deed", 7)
    ('deed', 'deed@7')
    """
    return f"{function}@{version}" if version else function


def place(function, version, document):
    """Where a document stands among those that get a version, 0 to 1: the same at every gateway and step. By SHA-1, as
    homes are: a checksum would deal out documents with like names alike.

    >>> 0 <= place("deed", 7, "d1") < 1
    True
    """
    return (
        int.from_bytes(sha1(f"{function}@{version}/{document}".encode()).digest()[:8], "big")
        / 2.0**64
    )


# ---- notes
@dataclass(slots=True)
class Fed:
    """From the feed: this version is announced, or withdrawn or completed by whoever releases."""

    function: str
    version: int
    state: str = ANNOUNCED


@dataclass(slots=True)
class Ordered:
    """From the operator: hold, go on, withdraw or complete what is on trial."""

    function: str
    what: str


@dataclass(slots=True)
class Ended:
    """A launch has ended. name: the version's; fate: handled, error, lost, or any other; took in ms; cold: it began or
    awaited a load; failed: the load itself failed. tally: (events, errors, slow) of that version at the host since it
    started, all gateways' together, or None."""

    name: str
    host: str
    outcome: str
    took: float = 0.0
    cold: bool = False
    failed: bool = False
    tally: tuple | None = None
    party: str = ""


@dataclass(slots=True)
class Loaded:
    """An order to load has ended."""

    name: str
    outcome: str
    took: float


@dataclass(slots=True)
class Tick:
    pass


# ---- actions
@dataclass(slots=True)
class LoadAhead:
    name: str


@dataclass(slots=True)
class Unload:
    """Idle copies of this version may go, at these hosts."""

    name: str
    hosts: tuple


@dataclass(slots=True)
class Said:
    """A change of state, for the log and whoever watches."""

    function: str
    version: int
    state: str
    why: str = ""


class Quantile:
    """A quantile that follows: one step up where it is passed, a smaller one down where not."""

    __slots__ = ("value", "count")

    def __init__(self):
        self.value, self.count = 0.0, 0

    def add(self, x):
        self.count += 1
        if self.count == 1:
            self.value = x
        step = max(0.02, 0.5 / self.count) * max(self.value, 1.0)
        self.value += step * LATE_QUANTILE if x > self.value else -step * (1 - LATE_QUANTILE)


class Seen:
    """Evidence of one version since a moment: tallies by host, own counts where hosts tell none, and by party."""

    def __init__(self):
        self.base, self.last, self.errors, self.slow, self.lost = {}, {}, Count(), Count(), Count()
        self.own_errors, self.own_slow, self.parties = Count(), Count(), {}

    def add(self, note, usual):
        error, lost = note.outcome == "error" and not note.failed, note.outcome == "lost"
        if note.outcome not in ("handled", "error", "lost"):
            return
        self.lost.add(lost)
        if lost:
            return
        self.own_errors.add(error)
        if not error and not note.cold and usual:
            self.own_slow.add(note.took > usual)
        self.parties.setdefault(note.party, Count()).add(error)
        if note.tally is None:
            return
        before = self.last.get(note.host)
        if before is None:  # from here on, and this event itself
            self.base[note.host] = (note.tally[0] - 1, note.tally[1] - error, note.tally[2])
        elif note.tally[0] < before[0] / 2:  # the host has started anew: what it told before stands
            self.base[note.host] = tuple(
                b - x for b, x in zip(self.base[note.host], before, strict=True)
            )
        elif note.tally[0] < before[0]:  # an answer that was overtaken by a later one
            return
        self.last[note.host] = note.tally
        told = [sum(self.last[h][i] - self.base[h][i] for h in self.last) for i in range(3)]
        self.errors, self.slow = Count(told[1], told[0]), Count(told[2], max(0, told[0] - told[1]))

    def of(self, what):
        """The larger of what hosts told and what was seen here: the latter is part of the former, where they tell."""
        if what == "lost":
            return self.lost
        told, own = (
            (self.errors, self.own_errors) if what == "errors" else (self.slow, self.own_slow)
        )
        return told if told.all >= own.all else own

    def halve(self):
        for one in (self.own_errors, self.own_slow, self.lost):
            one.bad, one.all = one.bad // 2, one.all // 2
        self.parties = {}

    def kept(self):
        return {
            "errors": [self.of("errors").bad, self.of("errors").all],
            "slow": [self.of("slow").bad, self.of("slow").all],
            "lost": [self.lost.bad, self.lost.all],
        }

    def take_back(self, kept):
        """What was kept over a start stands as own counts; hosts tell the rest anew."""
        self.own_errors, self.own_slow, self.lost = (
            Count(*kept[k]) for k in ("errors", "slow", "lost")
        )


class Release:
    """One release of a function, from its announcement to its end."""

    def __init__(self, line, version, now):
        self.line, self.version, self.state, self.step, self.held = (
            line,
            version,
            ANNOUNCED,
            0,
            False,
        )
        self.since, self.begun, self.fails, self.why, self.fallback = now, now, 0, "", line.version
        self.splits = True  # called often enough here for a share to mean something
        self.new, self.old, self.hosts, self.looked, self.carried = Seen(), Seen(), {}, 0, 0.0

    @property
    def name(self):
        return name_of(self.line.function, self.version)

    def share(self):
        on_trial = SHARES[self.step] if self.splits else 1.0
        return on_trial if self.state == TRIAL else 1.0 if self.state == COMPLETE else 0.0

    def verdict(self):
        """(what the new version is surely worse in, or "")."""
        part = FALSE * AT_STEP[self.step]
        for what, margin in MARGIN.items():
            if worse(
                self.new.of(what),
                self.old.of(what),
                part * PART[what],
                margin,
                self.carried if what == "errors" else 0.0,
            ):
                return what
        for party, count in self.new.parties.items():  # one that fails for one customer alone
            old = self.old.parties.get(party, Count())
            old = old if old.all >= 5 else self.old.of("errors")
            if worse(count, old, part * (1 - sum(PART.values())) / len(self.new.parties), 0.02):
                return f"errors of {party or 'one customer'}"
        return ""

    def next_step(self, now):
        """Evidence begins anew: within a step both versions have a constant share, so that whatever strikes both while
        it lasts counts alike for both. Across steps it would not."""
        self.carried = max(
            0.0, self.carried + carry(self.new.of("errors"), self.old.of("errors"), 0.0)
        )
        self.step, self.since, self.looked = self.step + 1, now, 0
        self.new, self.old = Seen(), Seen()

    def hinted(self):
        return any(
            worse(self.new.of(what), self.old.of(what), HINT, margin)
            for what, margin in MARGIN.items()
        )

    def enough(self, now, called):
        """Whether this step has seen what it needs, or has lasted as long as one waits for a seldom-called function."""
        seen = self.new.of("errors").all
        if self.hinted():
            return False
        late = now - self.since >= (PATIENCE if seen or called else UNCALLED)
        if self.step == len(SHARES) - 1:
            proved = seen >= NEED[-1] and no_worse(
                self.new.of("errors"), self.old.of("errors"), SURE, WITHIN
            )
            return proved or late
        likely = no_worse(self.new.of("errors"), self.old.of("errors"), HINT, NEAR[self.step])
        return seen >= NEED[self.step] and likely or late


@dataclass(slots=True)
class Line:
    """A function as the feed has it: the version in service, the release on the way, and how it went."""

    function: str
    version: int = 0
    release: Release | None = None
    newest: int = 0
    ended: dict = field(default_factory=dict)  # version -> why it was withdrawn; the newest few


class Pacer:
    """How many loads ahead may be under way: more where they take what they usually do, half where they take much
    longer. Guards the store and the hosts against a mass release; harms a release that is large in itself."""

    def __init__(self):
        self.room, self.usual = 4.0, None

    def took(self, ms, good):
        if not good or self.usual is not None and ms > 3 * self.usual:
            self.room = max(FEWEST, self.room / 2)
        elif self.usual is None or ms <= 1.5 * self.usual:
            self.room = min(MOST, self.room + 1 / self.room)
        if good:  # the quicker tells more: slow ones are the crowd's doing
            self.usual = ms if self.usual is None else min(ms, self.usual * 1.02)


class Versions:
    """All releases as one gateway sees them."""

    def __init__(self, now):
        self.now, self.lines, self.calls, self.halved = now, {}, {}, now
        self.queue, self.under_way, self.pacer = [], {}, Pacer()
        self.bad = deque(maxlen=ALIKE)  # when releases were last found bad here
        self.background = (
            Seen()
        )  # all versions that are not on trial, halved each minute: what a release that
        # leaves nothing to its old version is compared with
        self.quantiles, self.inbox, self.actions, self.changed = {}, deque(), [], False
        self.hear = {
            Fed: self.fed,
            Ordered: self.ordered,
            Ended: self.ended,
            Loaded: self.loaded,
            Tick: self.tick,
        }

    def take(self, now, note):
        self.now = max(now, self.now)
        self.inbox.append(note)
        while self.inbox:
            note = self.inbox.popleft()
            self.hear[type(note)](note)
        actions, self.actions = self.actions, []
        return actions

    # ---- what an event calls
    def choose(self, function, document):
        """The name of the version that this event calls."""
        self.calls[function] = self.calls.get(function, 0.0) + 1.0
        line = self.lines.get(function)
        if line is None:
            return function
        release = line.release
        if (
            release is not None
            and release.state == TRIAL
            and place(function, release.version, document) < release.share()
        ):
            return release.name
        return name_of(function, line.version)

    def again(self, name):
        """What a further launch of the event calls: after a failure on trial the version before; else the same."""
        function, _, version = name.partition("@")
        line = self.lines.get(function)
        release = line and line.release
        if (
            release is not None
            and version == str(release.version)
            and release.state in (TRIAL, WITHDRAWN)
        ):
            return name_of(function, release.fallback)
        return name

    def usual(self, function):
        """Ms beyond which an event of this function is slow, 0 where too little is known."""
        one = self.quantiles.get(function)
        return LATE * one.value if one is not None and one.count >= 10 else 0.0

    # ---- the feed and the operator
    def fed(self, note):
        line = self.lines.get(note.function)
        if line is None:
            line = self.lines[note.function] = Line(note.function)
        if note.state == ANNOUNCED:
            if note.version <= line.newest:  # twice, or out of order
                return
            line.newest = note.version
            if line.release is not None and line.release.state in (ANNOUNCED, LOADING, TRIAL):
                self.finish(line.release, SUPERSEDED, f"by {note.version}")
            line.release = Release(line, note.version, self.now)
            self.queue.append(line.release)
            self.say(line.release)
            self.load_next()
            return
        line.newest = max(line.newest, note.version)
        release = line.release
        if note.state == WITHDRAWN:
            if (
                release is not None
                and release.version == note.version
                and release.state != WITHDRAWN
            ):
                self.withdraw(release, "by whoever released it")
            elif (
                line.version == note.version
            ):  # it is in service here without having been seen on trial
                line.version, line.ended[note.version] = 0, "withdrawn by whoever released it"
                self.changed = True
        elif (
            note.state == COMPLETE
            and note.version not in line.ended
            and note.version >= line.version
        ):
            if (
                release is not None
                and release.version == note.version
                and release.state != COMPLETE
            ):
                self.complete(release, "by whoever released it")
            elif release is None or release.version < note.version:
                if release is not None and release.state in (ANNOUNCED, LOADING, TRIAL):
                    self.finish(release, SUPERSEDED, f"by {note.version}")
                line.version, line.release, self.changed = note.version, None, True

    def ordered(self, note):
        line = self.lines.get(note.function)
        release = line and line.release
        if release is None or release.state not in (ANNOUNCED, LOADING, TRIAL):
            if note.what == "withdraw" and release is not None and release.state == COMPLETE:
                self.withdraw(release, "by hand")
            return
        if note.what in ("hold", "go on"):
            release.held, release.since = note.what == "hold", self.now
            self.say(release, note.what)
        elif note.what == "withdraw":
            self.withdraw(release, "by hand")
        elif note.what == "complete":
            self.complete(release, "by hand")

    # ---- loads ahead
    def load_next(self):
        """Most-called first, as many at once as loads go well; what is hardly called is not loaded ahead at all."""
        self.queue = [r for r in self.queue if r.state == ANNOUNCED]
        if self.held_off():
            return
        self.queue.sort(key=lambda r: (-self.calls.get(r.line.function, 0.0), r.line.function))
        while self.queue and len(self.under_way) < int(self.pacer.room):
            release = self.queue[0]
            if release.held:
                self.queue.pop(0)
                continue
            if self.calls.get(release.line.function, 0.0) < 0.5:
                break  # and all that follow are called as seldom
            self.queue.pop(0)
            release.state, release.since = LOADING, self.now
            self.under_way[release.name] = (self.now, release)
            self.say(release)
            self.actions.append(LoadAhead(release.name))
        for release in self.queue:
            # nobody calls it here: were it called meanwhile, it would be loaded ahead while the old version serves
            if (
                self.calls.get(release.line.function, 0.0) < 0.5
                and not release.held
                and self.now - release.since >= UNCALLED
            ):
                self.begin(release)
        self.queue = [r for r in self.queue if r.state == ANNOUNCED]

    def held_off(self):
        """Several found bad together are likely bad by one cause, and so is what was released with them: what has not
        begun waits with the old version. Harms releases that only happen to follow; an operator completes those."""
        return (
            len(self.bad) == ALIKE
            and self.bad[-1] - self.bad[0] <= TOGETHER
            and self.now - self.bad[-1] < HELD_OFF
        )

    def on_trial(self):
        """Releases that split a function called here."""
        return sum(
            line.release is not None and line.release.state == TRIAL and line.release.splits
            for line in self.lines.values()
        )

    def loaded(self, note):
        begun = self.under_way.pop(note.name, None)
        if begun is None:
            return
        self.pacer.took(self.now - begun[0], note.outcome == "handled")
        release = begun[1]
        if release.state == LOADING:
            if note.outcome == "handled":
                self.begin(release)
            else:
                release.fails += 1
                if release.fails >= LOAD_FAILS:
                    self.found_bad(release, "it does not load")
                else:
                    release.state = ANNOUNCED
                    self.queue.append(release)
        self.load_next()

    def begin(self, release):
        release.splits = (
            self.calls.get(release.line.function, 0.0) >= SELDOM and self.on_trial() < TRIALS
        )
        release.state, release.step, release.since, release.begun = TRIAL, 0, self.now, self.now
        release.new, release.old = Seen(), Seen()
        if not release.splits:
            release.step, release.old = len(SHARES) - 1, self.background
        self.say(release)

    # ---- evidence
    def ended(self, note):
        function, _, version = note.name.partition("@")
        line, number = self.lines.get(function), int(version) if version.isdigit() else 0
        release = line and line.release
        on_trial = release is not None and number == release.version
        usual = self.usual(function)
        if (
            not on_trial
            and note.outcome == "handled"
            and not note.cold
            and self.calls.get(function)
        ):
            one = self.quantiles.get(function)
            if one is None:
                one = self.quantiles[function] = Quantile()
            one.add(note.took)
        if not on_trial:
            self.background.add(
                Ended(note.name, note.host, note.outcome, note.took, note.cold, note.failed), usual
            )
        if release is None or release.state not in (LOADING, TRIAL):
            return
        if not on_trial:
            if number == release.fallback and release.splits:
                release.old.add(note, usual)
            return
        release.hosts[note.host] = True
        if note.failed:
            release.fails += 1
            if release.fails >= LOAD_FAILS and release.state == TRIAL:
                return self.found_bad(release, "it does not load")
        elif note.outcome == "handled":
            release.fails = 0
        release.new.add(note, usual)
        seen = release.new.of("errors").all + release.new.lost.all
        if seen < 1.02 * release.looked:  # with many answers not each of them is worth a look
            return
        release.looked = seen
        if worst := release.verdict():
            self.found_bad(release, f"worse in {worst}")
        else:
            self.go_on(release)

    def go_on(self, release):
        if (
            release.state != TRIAL
            or release.held
            or not release.enough(self.now, self.calls.get(release.line.function, 0.0) >= 0.5)
        ):
            return
        if release.step == len(SHARES) - 1:
            seen = release.new.of("errors").all
            return self.complete(
                release, "proved" if seen >= NEED[-1] else f"after {seen} events, seldom called"
            )
        release.next_step(self.now)
        self.say(release)

    # ---- ends
    def complete(self, release, why):
        old, line = name_of(release.line.function, release.line.version), release.line
        line.version = release.version
        self.finish(release, COMPLETE, why)
        self.actions.append(Unload(old, tuple(release.hosts)))

    def found_bad(self, release, why):
        """Withdrawn by this gateway's own verdict."""
        before = self.held_off()
        self.bad.append(self.now)
        self.withdraw(release, why)
        if self.held_off() and not before:
            self.actions.append(Said("", 0, "held off", f"{ALIKE} releases found bad together"))

    def withdraw(self, release, why):
        line = release.line
        if line.version == release.version:
            line.version = release.fallback
        line.ended[release.version] = why
        while len(line.ended) > 8:
            line.ended.pop(min(line.ended))
        self.finish(release, WITHDRAWN, why)
        if release.hosts:
            self.actions.append(Unload(release.name, tuple(release.hosts)))

    def finish(self, release, state, why):
        """The one place where a release ends: what it has under way is forgotten without a wait."""
        release.state, release.why, release.held = state, why, False
        for seen in (release.new, release.old if release.splits else Seen()):
            seen.base, seen.last, seen.parties = (
                {},
                {},
                {},
            )  # figures stay to be shown, what they were made of goes
        self.under_way.pop(release.name, None)
        self.say(release, why)
        self.load_next()

    def say(self, release, why=""):
        self.changed = True
        self.actions.append(
            Said(
                release.line.function,
                release.version,
                release.state if release.state != TRIAL else f"{TRIAL}, {release.share():.0%}",
                why,
            )
        )

    # ---- time
    def tick(self, note):
        now = self.now
        if now - self.halved >= HALF:
            self.halved = now
            self.background.halve()
            self.calls = {f: c / 2 for f, c in self.calls.items() if c >= 0.5}
            self.quantiles = {f: q for f, q in self.quantiles.items() if f in self.calls}
        for name, (at, release) in list(self.under_way.items()):
            if (
                now - at >= LOAD_WAIT
            ):  # no order was to be had, or it is lost: the first events load it
                del self.under_way[name]
                self.pacer.took(now - at, False)
                if release.state == LOADING:
                    self.begin(release)
        for line in self.lines.values():
            if line.release is not None and line.release.state == TRIAL:
                self.go_on(line.release)
        self.load_next()

    # ---- over a start
    def kept(self):
        """All that a start needs, as plain values."""
        self.changed = False
        found = {}
        for line in self.lines.values():
            one = found[line.function] = {
                "version": line.version,
                "newest": line.newest,
                "ended": {str(v): why for v, why in line.ended.items()},
            }
            if (release := line.release) is not None:
                one["release"] = {
                    "version": release.version,
                    "step": release.step,
                    "state": ANNOUNCED if release.state == LOADING else release.state,
                    "spent": self.now - release.since,
                    "carried": release.carried,
                    "splits": release.splits,
                    "held": release.held,
                    "why": release.why,
                    "fallback": release.fallback,
                    "new": release.new.kept(),
                    "old": (release.old if release.splits else Seen()).kept(),
                }
        return found

    def take_back(self, kept):
        """What kept() gave before the start. What was loading is announced anew; a step is not shortened by the time
        that the gateway was down."""
        for function, one in kept.items():
            line = self.lines[function] = Line(
                function,
                one["version"],
                None,
                one["newest"],
                {int(v): why for v, why in one["ended"].items()},
            )
            if (said := one.get("release")) is None:
                continue
            release = line.release = Release(line, said["version"], self.now)
            release.state, release.step, release.held = said["state"], said["step"], said["held"]
            release.why, release.fallback = said["why"], said["fallback"]
            release.since, release.carried = self.now - said["spent"], said["carried"]
            release.new.take_back(said["new"])
            release.splits = said["splits"]
            if release.splits:
                release.old.take_back(said["old"])
            else:
                release.old = self.background
            if release.state == ANNOUNCED:
                self.queue.append(release)

    def table(self):
        """What an operator is shown: a row for each function with a release."""
        rows = []
        for line in self.lines.values():
            if (release := line.release) is None:
                continue
            config = {
                what: [
                    release.new.of(what).bad,
                    release.new.of(what).all,
                    release.old.of(what).bad,
                    release.old.of(what).all,
                ]
                for what in MARGIN
            }
            rows.append(
                {
                    "function": line.function,
                    "version": release.version,
                    "before": release.fallback,
                    "state": release.state,
                    "share": release.share(),
                    "held": release.held,
                    "why": release.why,
                    "calls": round(self.calls.get(line.function, 0.0), 1),
                    **config,
                }
            )
        return sorted(rows, key=lambda row: (-row["calls"], row["function"]))
