"""Finds the first cause of each request that did not succeed within its latency objective.

The rules are pure functions of trace lines. They see the lines of all gateways, so they can tell
whether another gateway knew a fact or no gateway could. An event is one try of a client. A
retry by the client is another event, with another id, and nothing in it refers to the first.
"""

import bisect
import json
from collections import defaultdict
from typing import NamedTuple

SUCCEEDED, SILENT = "handled", ("no-answer", "lost", "recalled")
# Attempts of other requests this long before and after an event show the state of a host.
NEAR_MS = 250.0
# A rejection counts as needless if at least this share of the attempts nearby were in time.
NEEDLESS_SHARE = 0.5
# A client that waits less than this share of the latency objective gives up early.
SHORT_TIMEOUT_SHARE = 0.35


class Attempt(NamedTuple):
    """An attempt at a host."""

    at_ms: float
    host: str
    duration_ms: float
    outcome: str
    # 1: a copy was loaded, 2: the attempt started a load, 3: it waited for a load, 4: the load
    # failed, 0: not reported
    copy: int
    concurrency: int
    copy_was_known: bool  # the gateway knew of a loaded copy
    warm_up_level: float  # of the host
    last_response_age_ms: float  # since the host's last response to this gateway; -1 without any
    in_flight: int  # attempts of this gateway in flight at the host before this one


class Route(NamedTuple):
    """A choice of a host by the routing module."""

    at_ms: float
    host: str  # "" if no host was suitable
    predicted_ms: float  # response time
    copy_was_known: bool
    tenant_is_overloaded: bool
    tenant_is_over_quota: bool


class Event(NamedTuple):
    """A request as one gateway traced it."""

    gateway: str
    at_ms: float
    request_class: str
    function: str
    body_crc32: int
    client_timeout_ms: float  # until the client gives up
    latency_objective_ms: float
    outcome: str
    duration_ms: float  # until the response
    routes: list
    attempts: list

    @property
    def is_in_time(self):
        """Whether it succeeded within its latency objective."""
        return self.outcome == SUCCEEDED and self.duration_ms <= self.latency_objective_ms


def read(lines, gateway):
    """Returns the events in one gateway's log; ignores all other lines."""
    found = []
    for line in lines:
        begins_at = line.find('["event",')
        if begins_at < 0:
            continue
        try:
            row = json.loads(line[begins_at:])
        except ValueError:
            continue
        at_ms = row[1]
        found.append(
            Event(
                gateway,
                at_ms,
                *row[2:9],
                [Route(at_ms + choice[0], *choice[1:]) for choice in row[9]],
                [
                    Attempt(at_ms + traced_attempt[0], *traced_attempt[1:])
                    for traced_attempt in row[10]
                ],
            )
        )
    return found


class Day:
    """All attempts of a scenario, by host; they show what each gateway could know of the hosts."""

    def __init__(self, events):
        self.events, self.by_host, self.by_pair = events, defaultdict(list), defaultdict(list)
        for event in events:
            for traced_attempt in event.attempts:
                row = (
                    traced_attempt.at_ms,
                    traced_attempt.duration_ms,
                    traced_attempt.outcome,
                    traced_attempt.copy,
                    event.gateway,
                )
                self.by_host[traced_attempt.host].append(row)
                self.by_pair[traced_attempt.host, event.function].append(row)
        for table in (self.by_host, self.by_pair):
            for rows in table.values():
                rows.sort()
        # Host -> (time, gateway) of each attempt that ended without an answer, in order of time.
        self.lost_attempts = defaultdict(list)
        for host, rows in self.by_host.items():
            self.lost_attempts[host] = [
                (at_ms + duration_ms, gateway)
                for at_ms, duration_ms, result, _, gateway in rows
                if result in SILENT
            ]
            self.lost_attempts[host].sort()

    def attempts_near(self, table, key, at_ms, width_ms=NEAR_MS):
        rows = table.get(key, [])
        return rows[
            bisect.bisect_left(rows, (at_ms - width_ms,)) : bisect.bisect_left(
                rows, (at_ms + width_ms,)
            )
        ]

    def known_silent_by(self, host, at_ms, gateway):
        """Returns who lost an attempt at the host within the last second: "own", "others" or ""."""
        rows = self.lost_attempts.get(host, [])
        seen = rows[
            bisect.bisect_left(rows, (at_ms - 1000.0,)) : bisect.bisect_left(rows, (at_ms,))
        ]
        return "own" if any(g == gateway for _, g in seen) else "others" if seen else ""

    def copy_was_elsewhere(self, event, attempt):
        """Whether a response to any gateway near that time shows a copy loaded at another host."""
        for host in self.by_host:
            if host != attempt.host and any(
                result == SUCCEEDED and copy == 1
                for _, _, result, copy, _ in self.attempts_near(
                    self.by_pair, (host, event.function), attempt.at_ms
                )
            ):
                return True
        return False

    def share_in_time(self, event, host, limit_ms):
        """Returns the share of attempts at the host near that time that succeeded within the limit.

        Returns None if there were fewer than three such attempts.
        """
        rows = self.attempts_near(self.by_host, host, event.at_ms)
        if len(rows) < 3:
            return None
        return sum(
            result == SUCCEEDED and duration_ms <= limit_ms for _, duration_ms, result, _, _ in rows
        ) / len(rows)


def cause(day, event):
    """Returns the first cause for which the event was not in time; "" if it was in time."""
    if event.is_in_time:
        return ""
    if not event.attempts:
        return cause_without_attempt(day, event)
    first_attempt = event.attempts[0]
    if first_attempt.outcome in SILENT:
        if (
            event.client_timeout_ms < SHORT_TIMEOUT_SHARE * event.latency_objective_ms
            and first_attempt.duration_ms >= 0.9 * event.client_timeout_ms
        ):
            return "client's time too short: launched"
        known = day.known_silent_by(first_attempt.host, first_attempt.at_ms, event.gateway)
        if first_attempt.outcome == "lost":
            return "connection reset under it"
        return {"own": "silent host, known here", "others": "silent host, known to others"}.get(
            known, "silent host, known to nobody"
        )
    if first_attempt.outcome == "no-connection":
        return "connection refused or not up in time"
    if first_attempt.outcome == "full":
        return "host was full"
    if first_attempt.outcome == "error":
        return "answer was an error"
    if first_attempt.warm_up_level < 1.0 and first_attempt.copy != 1:
        return "cold host, load"
    if first_attempt.copy in (2, 3):
        return (
            "load, a copy stood elsewhere"
            if day.copy_was_elsewhere(event, first_attempt)
            else "load, no copy known"
        )
    if first_attempt.warm_up_level < 1.0:
        return "cold host"
    if (
        first_attempt.outcome == SUCCEEDED
        and first_attempt.duration_ms > event.latency_objective_ms
    ):
        return (
            "queued behind own events"
            if first_attempt.in_flight
            else "queued behind others' events"
        )
    return "second launch too late" if len(event.attempts) > 1 else "other"


def cause_without_attempt(day, event):
    """Returns the cause for an event without any attempt."""
    route = event.routes[-1] if event.routes else None
    if route is None:
        return "refused untaken"
    gave_up_early = event.client_timeout_ms < SHORT_TIMEOUT_SHARE * event.latency_objective_ms
    if not route.host:
        return "deferred: no host fit"
    limit_ms = min(event.latency_objective_ms, event.client_timeout_ms)
    share = day.share_in_time(event, route.host, limit_ms)
    if gave_up_early:
        needless = share is not None and share >= NEEDLESS_SHARE
        return (
            "client's time too short: deferred, most near it were in time"
            if needless
            else ("client's time too short: deferred")
        )
    if share is not None and share >= NEEDLESS_SHARE:
        return "deferred, most near it were in time"
    return "deferred in overload" if route.tenant_is_overloaded else "deferred, rightly"
