"""Parses the simulator's lines into the router's messages and formats its actions as lines.

Times are in microseconds on the wire and in milliseconds in messages.
"""

import json
from math import floor

from cherrydoor.routing import messages as routing

OUTCOMES = {
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
RETRY_SAFETY = {
    "repeatable": routing.RetrySafety.IDEMPOTENT,
    "by_key": routing.RetrySafety.IDEMPOTENCY_KEY,
    "once": routing.RetrySafety.AT_MOST_ONCE,
}
HOST_STATES = {
    "Ready": routing.HostState.READY,
    "Terminating": routing.HostState.DRAINING,
    "Gone": routing.HostState.GONE,
}
UPDATE_KINDS = {
    "INCREMENTAL": routing.UpdateKind.INCREMENTAL,
    "FULL": routing.UpdateKind.SNAPSHOT,
    "SAVED": routing.UpdateKind.CACHED,
    "FAILED": routing.UpdateKind.FAILED,
}


class InvalidLineError(Exception):
    """A line that the simulator's protocol does not allow."""


def read_time_ms(text):
    """Returns a time on the wire, which is in microseconds, in milliseconds; "-" is 0.

    >>> read_time_ms("8412250"), read_time_ms("-")
    (8412.25, 0.0)
    """
    return 0.0 if text == "-" else int(text) / 1000


def to_microseconds(time_ms):
    """Returns a time in whole microseconds, rounded down so that it does not become later.

    The 0.01 makes up for milliseconds that a float represents slightly too low.

    >>> to_microseconds(1.001), to_microseconds(8412.2509)
    (1001, 8412250)
    """
    return floor(time_ms * 1000 + 0.01)


def look_up(table, text):
    if text not in table:
        raise InvalidLineError(f"unknown value {text!r}")
    return table[text]


def read_flag(text):
    if text not in ("0", "1"):
        raise InvalidLineError(f"expected 0 or 1, found {text!r}")
    return text == "1"


def read_number(text):
    """Returns a number on the wire; "-" is 0."""
    return 0.0 if text == "-" else float(text)


def read_settings(seed, text):
    """Returns the settings of one instance from the JSON on its line."""
    return settings_of(seed, json.loads(text))


def settings_of(seed, stated):
    """Returns the router's settings; an absent permission is not granted, other absent values count as not stated."""
    permissions, rules = stated.get("permissions", {}), stated.get("rules", {})
    copies = stated.get("familyInfo", {})
    request_classes = tuple(
        routing.RequestClass(
            request_class["name"],
            request_class["aim"] / 1000,
            request_class["deadline"] / 1000,
            look_up(RETRY_SAFETY, request_class["repeat"]),
            request_class.get("dedupScope", "cell"),
            request_class.get("dedupWindow", 0) / 1000,
            bool(request_class.get("stream", False)),
        )
        for request_class in stated["requestClasses"]
    )
    tenants = tuple(
        routing.Tenant(tenant["name"], tenant["quotaPerS"])
        for tenant in stated.get("tenants") or ()
        if "quotaPerS" in tenant
    )
    return routing.Settings(
        stated["me"],
        stated["instances"],
        seed,
        stated.get("zone", ""),
        stated.get("resolution", 1000) / 1000,
        request_classes,
        tenants,
        stated.get("discovery", "push") == "ask",
        permissions.get("maxAttempts", 1),
        bool(permissions.get("mayDuplicate")),
        bool(permissions.get("cancel")),
        bool(permissions.get("mayProbe")),
        permissions.get("maxRetryAfter", 0) / 1000 if permissions.get("retryAfter") else 0.0,
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


def read_endpoint(line):
    """Returns one entry of an endpoint list."""
    values = line.split(" ")
    if values[0] != "m" or len(values) < 8:
        raise InvalidLineError("a list entry needs 'm' and seven values")
    read_number(values[3])
    return routing.Endpoint(
        values[5],
        look_up(HOST_STATES, values[6]),
        read_time_ms(values[2]),
        values[1],
        int(read_number(values[7])),
    )


def knock(values):
    """Returns the request of a 'knock' line."""
    return routing.RequestArrived(
        int(values[0]),
        values[1],
        values[2],
        values[3],
        read_time_ms(values[4]),
        read_number(values[7]),
        read_number(values[8]),
    )


def done(values, settings):
    """Returns the end of an attempt from a 'done' line.

    What hosts do not report in this deployment is None, except a failed load, which they always report.
    """
    copy_info = 0 if values[6] == "-" else int(values[6])
    copy = copy_info % 8 if settings.reports_copy or copy_info % 8 == 4 else None
    return routing.AttemptEnded(
        int(values[0]),
        int(values[2]),
        look_up(OUTCOMES, values[3]),
        read_flag(values[4]),
        values[5],
        read_time_ms(values[1]),
        copy,
        copy_info // 8 if settings.reports_concurrency else None,
        *read_load_report(values[7]),
    )


def read_load_report(text):
    """Returns the requests in flight, the requests queued and the unevictable share of memory in a load report.

    >>> read_load_report("util:0.5,inflight:3.5,x0:0.25"), read_load_report("-")
    ((3.5, None, 0.25), (None, None, None))
    """
    reported = dict(pair.split(":", 1) for pair in text.split(",") if ":" in pair)
    return tuple(
        float(reported[name]) if name in reported else None for name in ("inflight", "queue", "x0")
    )


# Messages to an instance, by their first word: the minimum number of values, and the function that reads them.
READERS: dict = {
    "knock": (10, knock),
    "done": (8, done),
    "under_way": (
        4,
        lambda values: routing.StreamStarted(int(values[0]), int(values[1]), values[2]),
    ),
    "cancelled_by_client": (1, lambda values: routing.RequestCancelled(int(values[0]))),
    "bell": (1, lambda values: routing.TimerFired(values[0])),
    "probe_done": (
        4,
        lambda values: routing.HealthCheckEnded(
            values[0], look_up(OUTCOMES, values[1]), read_time_ms(values[2])
        ),
    ),
    "resident": (
        5,
        lambda values: routing.LoadOrderEnded(
            values[2],
            values[3],
            look_up(OUTCOMES, values[0]),
            int(values[4]),
            read_time_ms(values[1]),
        ),
    ),
}

# Actions of an instance: the line's first word, and the function that formats what follows the instance's name.
WRITERS = {
    routing.StartAttempt: (
        "pass_on",
        lambda action: (
            f"{action.request_id} {action.host} {to_microseconds(action.timeout_ms) if action.timeout_ms else '-'}"
        ),
    ),
    routing.CancelAttempt: ("revoke", lambda action: f"{action.request_id} {action.attempt}"),
    routing.RejectRequest: (
        "shed",
        lambda action: f"{action.request_id} {to_microseconds(action.retry_after_ms) or '-'}",
    ),
    routing.FailRequest: ("fail", lambda action: f"{action.request_id}"),
    routing.SetTimer: ("defer", lambda action: f"{to_microseconds(action.at_ms)} {action.token}"),
    routing.CheckHealth: ("test", lambda action: action.host),
    routing.CheckLease: ("test", lambda action: action.host),
    routing.OrderLoad: (
        "start_copy",
        lambda action: f"{action.function} {action.host} {action.copies}",
    ),
    routing.PollEndpoints: ("watch", lambda action: "1"),
    routing.LogMessage: ("say_log", lambda action: action.text),
}


def line(instance, action):
    """Returns the line that sends an action of an instance to the simulator."""
    name, text = WRITERS[type(action)]
    return f"{name} {instance} {text(action)}\n"
