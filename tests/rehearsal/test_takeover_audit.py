"""The judge over all gateways is shown traffic of a takeover, truthful and doctored, and says
which is which.
"""

import pytest
from traffic import Run


@pytest.fixture
def run():
    """Event 8, an archive, is at work when its gateway g0 dies; g1 takes it over, and the client claims it there."""
    run = Run()
    sent = run.find("sent", 8)["t"]
    run.drop("answer", 8)
    run.find("launch", 8)["text"] = "5"
    run.add("conductor", "gateway killed", sent + 20, who="g0")
    run.add("conductor", "gateway up", sent + 20000, who="g0")
    run.add("client", "cut", sent + 21, peer="g0", id=8, event=8)
    run.add("client", "claims", sent + 22, peer="g2", id=900, event=8, text="g0")
    for host in ("h1", "h2"):
        run.add("host", "over", sent + 30, who=host, peer="g1", id=1, number=1, text="g0", a=5.0)
    run.add("host", "adopt", sent + 31, who="h1", peer="g1", id=2, event=8)
    run.add(
        "client", "answer", sent + 110, peer="g2", id=900, event=8, fate="handled", clause="claimed"
    )
    run.at = sent
    return run


def test_a_truthful_takeover_breaks_nothing_and_is_told(run, tmp_path):
    broken, found = run.judge(tmp_path)
    assert broken == []
    assert found["taken over"]["handled within target"] == found["taken over"]["cut off"] == 1
    assert found["taken over"]["lives over"] == 1 and found["taken over"]["adopted"] == 1


def test_an_effect_by_giver_and_heir(run, tmp_path):
    run.launch(8, run.at + 40, "archive", "h2", 50.0)
    run.rows[-3]["peer"] = run.rows[-2]["peer"] = run.rows[-1]["peer"] = "g1"
    run.rows[-3]["c"] = 1.0
    broken, found = run.judge(tmp_path)
    assert (2, 8) in broken and any("effect twice" in b["what"] for b in found["broken"])


def test_two_launches_out_at_once_at_two_gateways(run, tmp_path):
    """Of a redeliverable one: no effect is twice, but two are out."""
    run.find("launch", 6)["a"] = 2400.0
    run.find("outcome", 6)["t"] += 900.0
    run.find("answer", 6)["t"] += 900.0
    run.launch(6, run.find("launch", 6)["t"] + 100.0, host="h2", took=600.0)
    run.rows[-3]["peer"] = "g1"
    assert (2, 6) in run.judge(tmp_path)[0]


def test_two_holders(run, tmp_path):
    """A host takes the word of a lower number after a higher one."""
    run.add("host", "over", run.at + 50, who="h1", peer="g2", id=1, number=2, text="g0", a=5.0)
    run.add("host", "over", run.at + 60, who="h1", peer="g1", id=3, number=1, text="g0", a=5.0)
    broken, found = run.judge(tmp_path)
    assert [b["what"] for b in found["broken"]] == ["h1 took a lower number for g0"]


def test_a_host_that_refuses_the_lower_number_is_no_break(run, tmp_path):
    run.add("host", "over", run.at + 50, who="h1", peer="g2", id=1, number=2, text="g0", a=5.0)
    run.add(
        "host",
        "over",
        run.at + 60,
        who="h1",
        peer="g1",
        id=3,
        number=1,
        text="g0",
        a=5.0,
        fate="refused",
    )
    assert run.judge(tmp_path)[0] == []


def test_a_launch_of_a_life_that_is_over(run, tmp_path):
    run.event(40, run.at + 100, "draft", host="h1")
    run.find("launch", 40)["text"] = "5"
    broken, found = run.judge(tmp_path)
    assert broken == [(2, 40)] and "life that is over" in found["broken"][0]["what"]


def test_a_launch_of_the_next_life_is_no_break(run, tmp_path):
    run.event(40, run.at + 100, "draft", host="h1")
    run.find("launch", 40)["text"] = "6"
    assert run.judge(tmp_path)[0] == []


def test_a_launch_elsewhere_after_the_claimed_answer(run, tmp_path):
    run.launch(8, run.at + 900, "archive", "h2", 50.0, fate="full")
    run.rows[-2]["peer"], run.rows[-2]["c"] = "g1", 1.0
    broken, _ = run.judge(tmp_path)
    assert (1, 8) in broken


def test_a_launch_under_a_number_that_has_been_passed(run, tmp_path):
    run.add("host", "over", run.at + 32, who="h2", peer="g2", id=1, number=2, text="g0", a=5.0)
    run.launch(8, run.at + 40, "archive", "h2", 50.0, fate="full")
    run.rows[-2]["peer"], run.rows[-2]["c"] = "g1", 1.0
    broken, found = run.judge(tmp_path)
    assert any("has been passed" in b["what"] for b in found["broken"])


def test_two_answers_one_claimed(run, tmp_path):
    run.add("client", "answer", run.at + 130, peer="g0", id=8, event=8, fate="handled")
    broken, found = run.judge(tmp_path)
    assert broken == [(1, 8)] and "second final answer" in found["broken"][0]["what"]


def test_a_launch_at_a_site_that_is_said_to_be_empty(run, tmp_path):
    for host, zone in (("h1", "floor-1/0"), ("h2", "floor-2/0")):
        next(r for r in run.rows if r["what"] == "host up" and r["who"] == host)["text"] = zone
    run.add("conductor", "site", run.at + 1000, fate="empty", text="floor-2")
    run.event(40, run.at + 9000, "draft", host="h1")
    run.event(41, run.at + 9000, "draft", host="h2")
    run.add("conductor", "site", run.at + 10000, fate="undo", text="floor-2")
    run.event(42, run.at + 19000, "draft", host="h2")
    assert run.judge(tmp_path)[0] == [(3, 41)]
