"""What becomes of a lost gateway's work in hand. Pure: no sockets, no clock.

One lost life has one heir, which holds the tenure of its estate. It asks every host once: that life is over, what do
you hold of it? Then each event is answered by what hosts say, adopted where it is still at work, launched anew where
that can do no harm, or is a dead letter. What hosts say is final; what they do not say is unknown, and goes by the
event's kind. Times are ms; `until` is when a client's time is over by the clock of whoever holds the record.
"""

from collections import Counter
from typing import Any
from zlib import crc32

from msgspec import Struct

REDELIVERABLE, KEYED, AT_MOST_ONCE = "redeliverable", "keyed", "at-most-once"
COST = {REDELIVERABLE: 0, KEYED: 1, AT_MOST_ONCE: 2}  # what it costs to lose one, in order
FRESH = 0.8  # of the time for which hosts remember a mark: a launch anew after that might have an effect
LEAST = 30.0  # ms left of a client's time below which an event is not run
STAGGER = 400.0  # ms by which each further witness seeks an estate later than the one before it
SAYS = 500.0  # ms that hosts may take to say what they hold
AT_ONCE, IN_HAND = 64, 100  # hosts asked, and launches anew out, at a time
APART = 1000.0  # ms over which clients of a life that is over are told to come back


class Kind(Struct, frozen=True):
    """Of an event type: its kind, the group of hosts that drops repeats, how long they remember, and whether its
    answers stream. In ms."""

    kind: str = REDELIVERABLE
    group: str = "all"
    memory: float = 0.0
    stream: bool = False


def stay_away(seed, number):
    """When a client comes back whose gateway's life is over: spread, so that they do not come together.

    >>> 0.0 <= stay_away(1, 2) < APART
    True
    """
    return APART * crc32(f"{seed}/{number}".encode()) / 2.0**32


def own_end(kind, launched):
    """The answer to what this gateway has in hand as its life ends and of which no witness has heard: no heir will ever
    act on it, and hosts take nothing more from this life. (fate, reason)."""
    if not launched or kind.kind == REDELIVERABLE:
        return "deferred", "this gateway's life is over"
    return "dead-lettered", "it may have run; this gateway's life is over"


def heard_here(recent, state):
    """Why a keeper grants no estate of a life that it hears itself, "" where it may. recent: on a link of its own, of
    late; state: as members tell it. Whoever asks has lost sight of that life alone, and says so again and again; that
    stands until the life has answered, and counts for nothing here. What is final does.

    >>> heard_here(True, "vanished"), heard_here(True, "left"), heard_here(False, "here")
    ('this life is heard here', '', '')
    """
    return "this life is heard here" if recent and state not in ("left", "over") else ""


# ---- what becomes of each event
class Answer(Struct):
    """Its answer is known; nothing is run."""

    line: Any
    outcome: str
    reason: str = ""
    body: bytes = b""


class Adopt(Struct):
    """It is still at work there; its outcome is taken over."""

    line: Any
    host: str
    job: int


class Anew(Struct):
    """Launched again, as any event with the time that is left."""

    line: Any


def verdict(line, kind, found, unheard, now):
    """What becomes of one event. kind: Kind; found: [(host, Job)] that hosts told of it; unheard: hosts that have not
    said, of those in the list and those it is known to have gone to; line.out: where it is known to have gone."""
    at_work = [(host, job) for host, job in found if not job.outcome]
    ran = [(host, job) for host, job in found if job.outcome in ("handled", "error")]
    handled = next((job for _, job in ran if job.outcome == "handled"), None)
    if handled is not None:
        if handled.kept:
            return Answer(line, "handled", "", handled.body)
        return Answer(line, "dead-lettered", "it ran, and its answer is no longer held")
    if at_work:
        host, job = max(at_work, key=lambda one: one[1].number)
        return Adopt(line, host, job.job)
    unsure = bool(ran) or bool(unheard)
    # a repeat of a keyed event has no effect while the group that has its mark remembers it; which group that is of
    # a part of the hosts is not known where one does not say
    young = kind.kind == KEYED and kind.group == "all" and now - line.since < FRESH * kind.memory
    if unsure and kind.kind != REDELIVERABLE and not young:
        why = "it ran and failed" if ran else f"it may have run: {len(unheard)} hosts do not say"
        return Answer(line, "dead-lettered", why)
    if line.until - now < LEAST:
        harmless = not unsure or kind.kind == REDELIVERABLE
        return Answer(
            line,
            "deferred" if harmless else "dead-lettered",
            "no time was left when it was taken over",
        )
    return Anew(line)


def after_adoption(kind, fate):
    """Whether an adopted launch that came to nothing may be followed by one anew."""
    return kind.kind == REDELIVERABLE or fate in ("full", "missing", "unsent", "no-connection")


# ---- the heir
class Ask(Struct, frozen=True):
    """One message to one host: that life is over; what do you hold of it?"""

    host: str


class Takeover:
    """One estate under one number. Hosts are asked AT_ONCE at a time; when all have said, or the wait is over, each
    event has its verdict; launches anew go out IN_HAND at a time, what is over soonest first, so that the loss of many
    gateways at once pushes nobody over."""

    def __init__(self, estate, number, hosts, kinds, now, wait):
        self.estate, self.number, self.kinds, self.began, self.ends = (
            estate,
            number,
            kinds,
            now,
            now + wait,
        )
        self.waiting, self.asked, self.heard = list(hosts), {}, {}
        self.hosts, self.found, self.outdone = list(hosts), {}, 0
        self.decided, self.later, self.in_hand, self.counters = False, [], 0, Counter()
        for line in estate.lines.values():
            self.waiting += [h for h in line.out if h not in self.waiting]

    def ask(self):
        actions = []
        while self.waiting and len(self.asked) < AT_ONCE:
            host = self.waiting.pop(0)
            self.asked[host] = True
            actions.append(Ask(host))
        return actions

    def said(self, now, host, holds):
        """holds: what the host told, None where it did not."""
        self.asked.pop(host, None)
        if holds is not None and holds.highest > self.number:
            self.outdone = max(self.outdone, holds.highest)
        elif (
            holds is not None and holds.highest == self.number and not self.decided
        ):  # else it has not said
            self.heard[host] = True
            for job in holds.jobs:
                self.found.setdefault((job.client, job.event), []).append((host, job))
        return self.ask()

    def ready(self, now):
        return (
            not self.decided
            and not self.outdone
            and (not self.asked and not self.waiting or now >= self.ends)
        )

    def decide(self, now):
        """Verdicts, once; launches anew come from next()."""
        self.decided, found = True, []
        for line in self.estate.lines.values():
            kind, trust = self.kinds[line.trust.clause], line.trust
            known = dict.fromkeys([*self.hosts, *line.out])
            unheard = [h for h in known if h not in self.heard]
            if kind.kind == REDELIVERABLE:
                unheard = [h for h in unheard if h in line.out]
            one = verdict(line, kind, self.found.get((trust.client, trust.event), []), unheard, now)
            if isinstance(one, Anew):
                self.later.append(line)
            else:
                found.append(one)
        self.later.sort(key=lambda line: line.until - now)
        self.counters["events"] = len(self.estate.lines)
        return found

    def next(self, now):
        """Launches anew that may go out now; what has run out of time meanwhile is answered, and counted."""
        found: list = []
        while self.later and self.in_hand < IN_HAND:
            line = self.later.pop(0)
            if line.until - now < LEAST:
                self.counters["out of time"] += 1
                found.append(Answer(line, "deferred", "no time was left when its turn came"))
                continue
            self.in_hand += 1
            found.append(Anew(line))
        return found

    def ended(self):
        self.in_hand -= 1

    @property
    def settled(self):
        return self.decided and not self.later and not self.in_hand
