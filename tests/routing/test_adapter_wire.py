"""One short conversation on the wire, and bad input."""

import io
import json

from fake_fleet import SETTINGS

from cherrydoor.adapter.__main__ import main
from cherrydoor.adapter.wire import done

SAID = {
    "me": 0,
    "instances": 1,
    "unheard": {"of": 1},
    "zone": "z",
    "permissions": {"maxAttempts": 2},
    "requestClasses": [{"name": "c", "aim": 500000, "deadline": 900000, "repeat": "repeatable"}],
}
OPEN = f"""batch 1000
new_instance gateway_0 5 {json.dumps(SAID)}
peers_known gateway_0 1 SAVED 2
m z - 1 k 10.0.0.1:8080 Ready 0
m z 900 1 k 10.0.0.2:8080 Gone 0
your_turn
"""
KNOCK = "knock gateway_0 77 c - 00ff 901001 - 100 2 - 0\n"


def talk(text):
    out, err = io.StringIO(), io.StringIO()
    return main(io.StringIO(text), out, err), out.getvalue().splitlines(), err.getvalue()


def test_conversation():
    code, out, err = talk(
        OPEN + "batch 1001\n" + KNOCK + "your_turn\nbatch 41001\n"
        "done gateway_0 77 40000 0 turned_away 0 10.0.0.1:8080 8 odd:1.5\nyour_turn\n"
        "batch 41002\nbell gateway_0 sweep\ndetach gateway_0\nyour_turn\n"
    )
    assert (code, err) == (0, "") and out.count("ready") == 4
    assert "pass_on gateway_0 77 10.0.0.1:8080 -" in out and "shed gateway_0 77 -" in out


def test_bad_input_is_named_and_ends_it():
    for bad in (
        "knock gateway_0 77 c - 00ff",
        "knock gateway_9 7",
        "hello gateway_0",
        "detach",
        "bell gateway_0 ",
        "done gateway_0 77 40000 0 odd 0 10.0.0.1:8080 8 -",
        "cancelled_by_client gateway_0 x",
    ):
        code, _, err = talk(OPEN + "batch 1001\n" + bad + "\nyour_turn\n")
        assert code != 0 and "line 8" in err, bad
    assert talk("bunch 1\n")[0] != 0 and talk(OPEN + "batch 1001\n")[0] != 0


def test_failed_decision_is_told_on_the_wire():
    code, out, _ = talk(OPEN + "batch 1001\n" + KNOCK.replace(" c ", " nope ") + "your_turn\n")
    assert code == 0 and any(line.startswith("crash gateway_0 KeyError") for line in out)


def test_what_a_deployment_does_not_tell_is_none_and_a_failed_load_is_told_everywhere():
    words = [
        "77",
        "40000",
        "0",
        "served",
        "1",
        "10.0.0.1:8080",
        "-",
        "inflight:3,queue:1,x0:0.5,odd:2",
    ]
    mute = SETTINGS._replace(reports_copy=False, reports_concurrency=False)
    told, untold = done(words, SETTINGS), done(words, mute)
    assert (told.copy, told.concurrency) == (0, 0) and (untold.copy, untold.concurrency) == (
        None,
        None,
    )
    assert (untold.in_flight, untold.queued, untold.unevictable_memory) == (3.0, 1.0, 0.5)
    assert done(words[:6] + ["4", "-"], mute).copy == 4
