"""Turns wire lines into the interface's types and back, microseconds to milliseconds."""

import json
from math import floor

from cherrydoor.routing import messages as routing

FATES = {
    "served": routing.AttemptOutcome.SUCCEEDED,
    "server_error": routing.AttemptOutcome.ERROR,
    "turned_away": routing.AttemptOutcome.FULL,
    "no_answer": routing.AttemptOutcome.NO_RESPONSE,
    "no_connection": routing.AttemptOutcome.CONNECT_FAILED,
    "connection_lost": routing.AttemptOutcome.CONNECTION_LOST,
    "called_off": routing.AttemptOutcome.CANCELLED,
    "not_sent": routing.AttemptOutcome.NOT_SENT,
    "not_stored": routing.AttemptOutcome.FUNCTION_MISSING,
}
KINDS = {
    "repeatable": routing.RetrySafety.IDEMPOTENT,
    "by_key": routing.RetrySafety.IDEMPOTENCY_KEY,
    "once": routing.RetrySafety.AT_MOST_ONCE,
}
STATES = {
    "Ready": routing.HostState.READY,
    "Terminating": routing.HostState.DRAINING,
    "Gone": routing.HostState.GONE,
}
LISTS = {
    "INCREMENTAL": routing.UpdateKind.INCREMENTAL,
    "FULL": routing.UpdateKind.SNAPSHOT,
    "SAVED": routing.UpdateKind.CACHED,
    "FAILED": routing.UpdateKind.FAILED,
}


class BadLine(Exception):
    """A line that this page of the wire does not allow."""


def ms(text):
    """Microseconds on the wire to milliseconds.

    >>> ms("8412250"), ms("-")
    (8412.25, 0.0)
    """
    return 0.0 if text == "-" else int(text) / 1000


def us(value):
    """Milliseconds back to microseconds, never later than they are.

    >>> us(1.001), us(8412.2509)
    (1001, 8412250)
    """
    return floor(value * 1000 + 0.01)


def word(table, text):
    if text not in table:
        raise BadLine(f"unknown word {text!r}")
    return table[text]


def flag(text):
    if text not in ("0", "1"):
        raise BadLine(f"neither 0 nor 1: {text!r}")
    return text == "1"


def number(text):
    return 0.0 if text == "-" else float(text)


def lease(seed, text):
    """The settings of one instance as they stand on its line."""
    return lease_of(seed, json.loads(text))


def lease_of(seed, said):
    """The settings, with what is absent taken as not allowed or not stated."""
    may, rules = said.get("permissions", {}), said.get("rules", {})
    copies = said.get("familyInfo", {})
    clauses = tuple(
        routing.RequestClass(
            c["name"],
            c["aim"] / 1000,
            c["deadline"] / 1000,
            word(KINDS, c["repeat"]),
            c.get("dedupScope", "cell"),
            c.get("dedupWindow", 0) / 1000,
            bool(c.get("stream", False)),
        )
        for c in said["requestClasses"]
    )
    parties = tuple(
        routing.Tenant(p["name"], p["quotaPerS"])
        for p in said.get("tenants") or ()
        if "quotaPerS" in p
    )
    return routing.Settings(
        said["me"],
        said["instances"],
        seed,
        said.get("zone", ""),
        said.get("resolution", 1000) / 1000,
        clauses,
        parties,
        said.get("discovery", "push") == "ask",
        may.get("maxAttempts", 1),
        bool(may.get("mayDuplicate")),
        bool(may.get("cancel")),
        bool(may.get("mayProbe")),
        may.get("maxRetryAfter", 0) / 1000 if may.get("retryAfter") else 0.0,
        rules.get("coldFrom", 1.0),
        rules.get("cold", 0) / 1000,
        rules.get("overloadFactor", 0.0),
        rules.get("fall", 0) / 1000,
        copies.get("lingerIdle", 0) / 1000,
        bool(copies.get("loadControl")),
        copies.get("ifCold") == "miss",
        copies.get("loadsAnyway", 0.0),
        copies.get("loadPart", 0.0),
        copies.get("loadsWithin", 0) / 1000,
        bool(copies.get("saysWarm")),
        bool(copies.get("saysCompany")),
        rules["drainGrace"] / 1000 if "drainGrace" in rules else None,
    )


def row(line):
    """One entry of a list of hosts."""
    part = line.split(" ")
    if part[0] != "m" or len(part) < 8:
        raise BadLine("a list entry needs 'm' and seven values")
    number(part[3])
    return routing.Endpoint(
        part[5], word(STATES, part[6]), ms(part[2]), part[1], int(number(part[7]))
    )


def knock(v):
    return routing.RequestArrived(int(v[0]), v[1], v[2], v[3], ms(v[4]), number(v[7]), number(v[8]))


def done(v, lease):
    """What this deployment's answers do not tell is None. A failed load is told everywhere."""
    info = 0 if v[6] == "-" else int(v[6])
    copy = info % 8 if lease.reports_copy or info % 8 == 4 else None
    return routing.AttemptEnded(
        int(v[0]),
        int(v[2]),
        word(FATES, v[3]),
        flag(v[4]),
        v[5],
        ms(v[1]),
        copy,
        info // 8 if lease.reports_concurrency else None,
        *report(v[7]),
    )


def report(text):
    """Events in hand, those that wait, and the share of memory that cannot be freed, out of a load report.

    >>> report("util:0.5,inflight:3.5,x0:0.25"), report("-")
    ((3.5, None, 0.25), (None, None, None))
    """
    told = dict(pair.split(":", 1) for pair in text.split(",") if ":" in pair)
    return tuple(
        float(told[name]) if name in told else None for name in ("inflight", "queue", "x0")
    )


# What comes in for an instance: how many values its line has at least, and how they are read.
READERS: dict = {
    "knock": (10, knock),
    "done": (8, done),
    "under_way": (4, lambda v: routing.StreamStarted(int(v[0]), int(v[1]), v[2])),
    "cancelled_by_client": (1, lambda v: routing.RequestCancelled(int(v[0]))),
    "bell": (1, lambda v: routing.TimerFired(v[0])),
    "probe_done": (4, lambda v: routing.HealthCheckEnded(v[0], word(FATES, v[1]), ms(v[2]))),
    "resident": (
        5,
        lambda v: routing.LoadOrderEnded(v[2], v[3], word(FATES, v[0]), int(v[4]), ms(v[1])),
    ),
}

# What goes out: the line after the instance's name.
WRITERS = {
    routing.StartAttempt: (
        "pass_on",
        lambda a: f"{a.request_id} {a.host} {us(a.timeout_ms) if a.timeout_ms else '-'}",
    ),
    routing.CancelAttempt: ("revoke", lambda a: f"{a.request_id} {a.attempt}"),
    routing.RejectRequest: ("shed", lambda a: f"{a.request_id} {us(a.retry_after_ms) or '-'}"),
    routing.FailRequest: ("fail", lambda a: f"{a.request_id}"),
    routing.SetTimer: ("defer", lambda a: f"{us(a.at_ms)} {a.token}"),
    routing.CheckHealth: ("test", lambda a: a.host),
    routing.CheckLease: ("test", lambda a: a.host),
    routing.OrderLoad: ("start_copy", lambda a: f"{a.function} {a.host} {a.copies}"),
    routing.PollEndpoints: ("watch", lambda a: "1"),
    routing.LogMessage: ("say_log", lambda a: a.text),
}


def line(who, action):
    name, text = WRITERS[type(action)]
    return f"{name} {who} {text(action)}\n"
