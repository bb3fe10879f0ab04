"""Rules that give each event of a day that was not handled within its target one first cause.
Pure, over trace lines.

All lines of all gateways are known here, so that "somebody knew" is told from "nobody could". An
event is one try of a client: a client that comes again sends another, under another id, and
nothing in it says so.
"""

import bisect
import json
from collections import defaultdict
from typing import NamedTuple

GOOD, SILENT = "handled", ("no-answer", "lost", "recalled")
NEAR = 250.0  # ms to both sides in which others' launches show how a host was
OFTEN = 0.5  # share of those near ones that have to be in time for a deferral to be called needless
SHORT = 0.35  # of the target time: a client that waits for less is one that gives up early


class Launch(NamedTuple):
    at: float
    host: str
    took: float
    outcome: str
    copy: (
        int  # 1 a copy stood, 2 it began a load, 3 it waited for one, 4 the load failed, 0 not told
    )
    crowd: int
    stood: bool  # a copy was known to stand
    level: float  # what the host can do as it starts, of all it can
    heard: float  # ms since its last answer at this gateway, -1 for never
    out: int  # launches of this gateway out there before this one


class Route(NamedTuple):
    at: float
    host: str  # "" where none was fit
    wait: float  # predicted, ms
    stood: bool
    overload: bool  # of its customer
    yields: bool  # its customer is beyond its part


class Event(NamedTuple):
    gateway: str
    at: float
    clause: str
    function: str
    body: int
    waits: float  # ms until the client gives up
    target: float
    outcome: str
    took: float  # ms to the answer
    routes: list
    launches: list

    @property
    def good(self):
        return self.outcome == GOOD and self.took <= self.target


def read(lines, gateway):
    """Events of one gateway's log; other lines are left out."""
    found = []
    for line in lines:
        begin = line.find('["event",')
        if begin < 0:
            continue
        try:
            said = json.loads(line[begin:])
        except ValueError:
            continue
        at = said[1]
        found.append(
            Event(
                gateway,
                at,
                *said[2:9],
                [Route(at + r[0], *r[1:]) for r in said[9]],
                [Launch(at + one[0], *one[1:]) for one in said[10]],
            )
        )
    return found


class Day:
    """What all launches of a day show of hosts."""

    def __init__(self, events):
        self.events, self.by_host, self.by_pair = events, defaultdict(list), defaultdict(list)
        for event in events:
            for one in event.launches:
                row = one.at, one.took, one.outcome, one.copy, event.gateway
                self.by_host[one.host].append(row)
                self.by_pair[one.host, event.function].append(row)
        for table in (self.by_host, self.by_pair):
            for rows in table.values():
                rows.sort()
        # spans of a host's silence: launches that end without an answer, from the first until the next good one
        self.first_silent = defaultdict(list)
        for host, rows in self.by_host.items():
            self.first_silent[host] = [
                (at + took, gateway) for at, took, fate, _, gateway in rows if fate in SILENT
            ]
            self.first_silent[host].sort()

    def near(self, table, key, at, width=NEAR):
        rows = table.get(key, [])
        return rows[
            bisect.bisect_left(rows, (at - width,)) : bisect.bisect_left(rows, (at + width,))
        ]

    def known_silent(self, host, at, gateway):
        """Who had lost a launch there within the second before: "own", "others" or ""."""
        rows = self.first_silent.get(host, [])
        seen = rows[bisect.bisect_left(rows, (at - 1000.0,)) : bisect.bisect_left(rows, (at,))]
        return "own" if any(g == gateway for _, g in seen) else "others" if seen else ""

    def copy_elsewhere(self, event, launch):
        """Whether a copy of the function stood at another host then, by anybody's answers."""
        for host in self.by_host:
            if host != launch.host and any(
                fate == GOOD and copy == 1
                for _, _, fate, copy, _ in self.near(
                    self.by_pair, (host, event.function), launch.at
                )
            ):
                return True
        return False

    def would_be_in_time(self, event, host, limit):
        """Of others' launches near that moment at that host the share that was answered within the limit; None where
        there were fewer than three."""
        rows = self.near(self.by_host, host, event.at)
        if len(rows) < 3:
            return None
        return sum(fate == GOOD and took <= limit for _, took, fate, _, _ in rows) / len(rows)


def cause(day, event):
    """The first cause why the event was not handled within its target; "" where it was."""
    if event.good:
        return ""
    if not event.launches:
        return untried(day, event)
    first = event.launches[0]
    if first.outcome in SILENT:
        if event.waits < SHORT * event.target and first.took >= 0.9 * event.waits:
            return "client's time too short: launched"
        known = day.known_silent(first.host, first.at, event.gateway)
        if first.outcome == "lost":
            return "connection reset under it"
        return {"own": "silent host, known here", "others": "silent host, known to others"}.get(
            known, "silent host, known to nobody"
        )
    if first.outcome == "no-connection":
        return "connection refused or not up in time"
    if first.outcome == "full":
        return "host was full"
    if first.outcome == "error":
        return "answer was an error"
    if first.level < 1.0 and first.copy != 1:
        return "cold host, load"
    if first.copy in (2, 3):
        return (
            "load, a copy stood elsewhere"
            if day.copy_elsewhere(event, first)
            else "load, no copy known"
        )
    if first.level < 1.0:
        return "cold host"
    if first.outcome == GOOD and first.took > event.target:
        return "queued behind own events" if first.out else "queued behind others' events"
    return "second launch too late" if len(event.launches) > 1 else "other"


def untried(day, event):
    route = event.routes[-1] if event.routes else None
    if route is None:
        return "refused untaken"
    short = event.waits < SHORT * event.target
    if not route.host:
        return "deferred: no host fit"
    limit = min(event.target, event.waits)
    share = day.would_be_in_time(event, route.host, limit)
    if short:
        needless = share is not None and share >= OFTEN
        return (
            "client's time too short: deferred, most near it were in time"
            if needless
            else ("client's time too short: deferred")
        )
    if share is not None and share >= OFTEN:
        return "deferred, most near it were in time"
    return "deferred in overload" if route.overload else "deferred, rightly"
