"""The simulator's adapter: one short conversation on its wire, and malformed input."""

import io
import json

from fake_fleet import SETTINGS

from cherrydoor.adapter.__main__ import main
from cherrydoor.adapter.wire import done

WIRE_SETTINGS = {
    "me": 0,
    "instances": 1,
    "unheard": {"of": 1},
    "zone": "z",
    "permissions": {"maxAttempts": 2},
    "requestClasses": [{"name": "c", "aim": 500000, "deadline": 900000, "repeat": "repeatable"}],
}
FIRST_BATCH = f"""batch 1000
new_instance gateway_0 5 {json.dumps(WIRE_SETTINGS)}
peers_known gateway_0 1 SAVED 2
m z - 1 k 10.0.0.1:8080 Ready 0
m z 900 1 k 10.0.0.2:8080 Gone 0
your_turn
"""
ARRIVAL = "knock gateway_0 77 c - 00ff 901001 - 100 2 - 0\n"


def converse(text):
    out, err = io.StringIO(), io.StringIO()
    return main(io.StringIO(text), out, err), out.getvalue().splitlines(), err.getvalue()


def test_one_conversation_on_the_wire_ends_with_success():
    code, out, err = converse(
        FIRST_BATCH + "batch 1001\n" + ARRIVAL + "your_turn\nbatch 41001\n"
        "done gateway_0 77 40000 0 turned_away 0 10.0.0.1:8080 8 odd:1.5\nyour_turn\n"
        "batch 41002\nbell gateway_0 sweep\ndetach gateway_0\nyour_turn\n"
    )
    assert (code, err) == (0, "") and out.count("ready") == 4
    assert "pass_on gateway_0 77 10.0.0.1:8080 -" in out and "shed gateway_0 77 -" in out


def test_malformed_input_ends_the_adapter_and_names_the_line():
    for line in (
        "knock gateway_0 77 c - 00ff",
        "knock gateway_9 7",
        "hello gateway_0",
        "detach",
        "bell gateway_0 ",
        "done gateway_0 77 40000 0 odd 0 10.0.0.1:8080 8 -",
        "cancelled_by_client gateway_0 x",
    ):
        code, _, err = converse(FIRST_BATCH + "batch 1001\n" + line + "\nyour_turn\n")
        assert code != 0 and "line 8" in err, line
    assert converse("bunch 1\n")[0] != 0 and converse(FIRST_BATCH + "batch 1001\n")[0] != 0


def test_failed_decision_is_reported_on_the_wire():
    code, out, _ = converse(
        FIRST_BATCH + "batch 1001\n" + ARRIVAL.replace(" c ", " nope ") + "your_turn\n"
    )
    assert code == 0 and any(line.startswith("crash gateway_0 KeyError") for line in out)


def test_unreported_fields_are_none_and_a_failed_load_is_always_reported():
    fields = [
        "77",
        "40000",
        "0",
        "served",
        "1",
        "10.0.0.1:8080",
        "-",
        "inflight:3,queue:1,x0:0.5,odd:2",
    ]
    without_reports = SETTINGS._replace(reports_copy=False, reports_concurrency=False)
    reported, unreported = done(fields, SETTINGS), done(fields, without_reports)
    assert (reported.copy, reported.concurrency) == (0, 0) and (
        unreported.copy,
        unreported.concurrency,
    ) == (
        None,
        None,
    )
    assert (unreported.in_flight, unreported.queued, unreported.unevictable_memory) == (
        3.0,
        1.0,
        0.5,
    )
    assert done(fields[:6] + ["4", "-"], without_reports).copy == 4
