"""Why an event of a mass day was late, by rule, from doctored lines of traced gateways."""

import json

from bench.mass.account import table
from bench.mass.causes import Day, cause, read


def line(
    at,
    launches=(),
    fate="deferred",
    took=1000.0,
    waits=1400.0,
    routes=((0.0, "h1", 200.0, False, False, False),),
    function="f",
):
    return "24.1 " + json.dumps(
        ["event", at, "c", function, 0, waits, 600.0, fate, took, list(routes), list(launches)],
        separators=(",", ":"),
    )


def sent(host="h1", took=1000.0, fate="no-answer", copy=0, stood=False, level=1.0, out=0):
    return [0.0, host, took, fate, copy, 0, stood, level, 50.0, out]


def causes(*logs):
    """Of the first gateway's events, with what the others saw known."""
    events = [event for name, lines in enumerate(logs) for event in read(lines, f"g{name}")]
    day = Day(events)
    return [cause(day, event) for event in events if event.gateway == "g0"]


def test_a_launch_lost_in_silence_tells_who_had_lost_one_there_before():
    lost = line(2000.0, [sent()])
    assert causes([lost]) == ["silent host, known to nobody"]
    assert causes([lost], [line(1000.0, [sent(took=800.0)])]) == ["silent host, known to others"]
    assert causes([line(1000.0, [sent(took=800.0)]), lost])[1] == "silent host, known here"


def test_a_load_is_needless_where_a_copy_stood_elsewhere_by_anybodys_answers():
    slow = line(2000.0, [sent(took=900.0, fate="handled", copy=2)], "handled", 900.0)
    assert causes([slow]) == ["load, no copy known"]
    warm = line(2100.0, [sent("h2", 40.0, "handled", 1)], "handled", 40.0)
    assert causes([slow], [warm]) == ["load, a copy stood elsewhere"]


def test_a_deferral_is_held_against_what_others_met_at_that_host_then():
    near = [
        line(1900.0 + i, [sent(took=50.0, fate="handled", copy=1)], "handled", 50.0)
        for i in range(4)
    ]
    assert causes([line(2000.0)], near) == ["deferred, most near it were in time"]
    assert causes([line(2000.0)]) == ["deferred, rightly"]
    assert causes([line(2000.0, waits=100.0)], near) == [
        "client's time too short: deferred, most near it were in time"
    ]
    assert causes([line(2000.0, routes=[])]) == ["refused untaken"]


def test_what_was_in_time_has_no_cause_and_the_table_adds_up(tmp_path):
    lines = [
        line(0.0, [sent(took=50.0, fate="handled", copy=1)], "handled", 50.0),
        line(10.0, [sent(fate="full")]),
        "noise",
        '24.2 ["event",broken',
    ]
    events = read(lines, "g0")
    totals, rows = table(events)
    assert totals["tries"] == 2 and totals["in time"] == 1 and rows == [("host was full", 1, 0, 1)]
