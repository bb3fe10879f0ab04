"""The rules that say why an event of a mass day was late, on constructed gateway trace lines."""

import json

from bench.mass.account import table
from bench.mass.causes import Day, cause, read


def event_line(
    at_ms,
    launches=(),
    outcome="deferred",
    duration_ms=1000.0,
    client_timeout_ms=1400.0,
    routes=((0.0, "h1", 200.0, False, False, False),),
    function="f",
):
    return "24.1 " + json.dumps(
        [
            "event",
            at_ms,
            "c",
            function,
            0,
            client_timeout_ms,
            600.0,
            outcome,
            duration_ms,
            list(routes),
            list(launches),
        ],
        separators=(",", ":"),
    )


def attempt(
    host="h1",
    duration_ms=1000.0,
    outcome="no-answer",
    copy=0,
    copy_known=False,
    level=1.0,
    in_flight=0,
):
    return [0.0, host, duration_ms, outcome, copy, 0, copy_known, level, 50.0, in_flight]


def causes(*logs):
    """Returns the causes for the first gateway's events, given the trace lines of all gateways."""
    events = [event for name, lines in enumerate(logs) for event in read(lines, f"g{name}")]
    day = Day(events)
    return [cause(day, event) for event in events if event.gateway == "g0"]


def test_an_unanswered_attempt_says_which_gateways_knew_the_host_was_silent():
    lost = event_line(2000.0, [attempt()])
    assert causes([lost]) == ["silent host, known to nobody"]
    assert causes([lost], [event_line(1000.0, [attempt(duration_ms=800.0)])]) == [
        "silent host, known to others"
    ]
    assert (
        causes([event_line(1000.0, [attempt(duration_ms=800.0)]), lost])[1]
        == "silent host, known here"
    )


def test_a_load_is_needless_if_any_gateway_knew_a_copy_on_another_host():
    slow = event_line(
        2000.0, [attempt(duration_ms=900.0, outcome="handled", copy=2)], "handled", 900.0
    )
    assert causes([slow]) == ["load, no copy known"]
    warm = event_line(2100.0, [attempt("h2", 40.0, "handled", 1)], "handled", 40.0)
    assert causes([slow], [warm]) == ["load, a copy stood elsewhere"]


def test_a_rejection_is_judged_by_other_requests_at_that_host_around_the_time():
    others_nearby = [
        event_line(
            1900.0 + i, [attempt(duration_ms=50.0, outcome="handled", copy=1)], "handled", 50.0
        )
        for i in range(4)
    ]
    assert causes([event_line(2000.0)], others_nearby) == ["deferred, most near it were in time"]
    assert causes([event_line(2000.0)]) == ["deferred, rightly"]
    assert causes([event_line(2000.0, client_timeout_ms=100.0)], others_nearby) == [
        "client's time too short: deferred, most near it were in time"
    ]
    assert causes([event_line(2000.0, routes=[])]) == ["refused untaken"]


def test_an_event_in_time_has_no_cause_and_the_table_has_the_right_totals(tmp_path):
    lines = [
        event_line(0.0, [attempt(duration_ms=50.0, outcome="handled", copy=1)], "handled", 50.0),
        event_line(10.0, [attempt(outcome="full")]),
        "noise",
        '24.2 ["event",broken',
    ]
    events = read(lines, "g0")
    totals, rows = table(events)
    assert totals["tries"] == 2 and totals["in time"] == 1 and rows == [("host was full", 1, 0, 1)]
