"""The audit of failover accepts the correct traffic of a takeover, and finds the violation in
traffic that was altered.
"""

import pytest
from traffic import Run


@pytest.fixture
def run():
    """Request 8, of class archive, is in flight when its gateway g0 is killed.

    g1 takes it over, and the client claims the answer at g2.
    """
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


def test_a_correct_takeover_violates_nothing_and_is_counted(run, tmp_path):
    broken, found = run.audit(tmp_path)
    assert broken == []
    assert found["taken over"]["handled within target"] == found["taken over"]["cut off"] == 1
    assert found["taken over"]["lives over"] == 1 and found["taken over"]["adopted"] == 1


def test_an_effect_at_both_the_owner_and_its_successor(run, tmp_path):
    run.launch(8, run.at + 40, "archive", "h2", 50.0)
    run.rows[-3]["peer"] = run.rows[-2]["peer"] = run.rows[-1]["peer"] = "g1"
    run.rows[-3]["c"] = 1.0
    broken, found = run.audit(tmp_path)
    assert (2, 8) in broken and any("effect ran twice" in b["what"] for b in found["broken"])


def test_two_launches_in_flight_at_once_from_two_gateways(run, tmp_path):
    """The request is redeliverable, so a second effect is allowed but two launches in flight are not."""
    run.find("launch", 6)["a"] = 2400.0
    run.find("outcome", 6)["t"] += 900.0
    run.find("answer", 6)["t"] += 900.0
    run.launch(6, run.find("launch", 6)["t"] + 100.0, host="h2", took=600.0)
    run.rows[-3]["peer"] = "g1"
    assert (2, 6) in run.audit(tmp_path)[0]


def test_a_host_that_accepts_a_lower_fencing_token(run, tmp_path):
    """Two gateways act as successor: the host accepts the lower token after the higher one."""
    run.add("host", "over", run.at + 50, who="h1", peer="g2", id=1, number=2, text="g0", a=5.0)
    run.add("host", "over", run.at + 60, who="h1", peer="g1", id=3, number=1, text="g0", a=5.0)
    broken, found = run.audit(tmp_path)
    assert [b["what"] for b in found["broken"]] == ["h1 accepted a lower fencing token for g0"]


def test_a_host_that_refuses_the_lower_fencing_token_is_no_violation(run, tmp_path):
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
    assert run.audit(tmp_path)[0] == []


def test_a_launch_by_an_ended_incarnation(run, tmp_path):
    run.event(40, run.at + 100, "draft", host="h1")
    run.find("launch", 40)["text"] = "5"
    broken, found = run.audit(tmp_path)
    assert broken == [(2, 40)] and "ended incarnation" in found["broken"][0]["what"]


def test_a_launch_by_the_next_incarnation_is_no_violation(run, tmp_path):
    run.event(40, run.at + 100, "draft", host="h1")
    run.find("launch", 40)["text"] = "6"
    assert run.audit(tmp_path)[0] == []


def test_a_launch_by_another_gateway_after_the_claimed_answer(run, tmp_path):
    run.launch(8, run.at + 900, "archive", "h2", 50.0, fate="full")
    run.rows[-2]["peer"], run.rows[-2]["c"] = "g1", 1.0
    broken, _ = run.audit(tmp_path)
    assert (1, 8) in broken


def test_a_launch_under_a_superseded_fencing_token(run, tmp_path):
    run.add("host", "over", run.at + 32, who="h2", peer="g2", id=1, number=2, text="g0", a=5.0)
    run.launch(8, run.at + 40, "archive", "h2", 50.0, fate="full")
    run.rows[-2]["peer"], run.rows[-2]["c"] = "g1", 1.0
    broken, found = run.audit(tmp_path)
    assert any("superseded fencing token" in b["what"] for b in found["broken"])


def test_two_answers_of_which_one_was_claimed(run, tmp_path):
    run.add("client", "answer", run.at + 130, peer="g0", id=8, event=8, fate="handled")
    broken, found = run.audit(tmp_path)
    assert broken == [(1, 8)] and "second final answer" in found["broken"][0]["what"]


def test_a_launch_in_a_zone_whose_drain_reported_it_empty(run, tmp_path):
    for host, zone in (("h1", "floor-1/0"), ("h2", "floor-2/0")):
        next(r for r in run.rows if r["what"] == "host up" and r["who"] == host)["text"] = zone
    run.add("conductor", "site", run.at + 1000, fate="empty", text="floor-2")
    run.event(40, run.at + 9000, "draft", host="h1")
    run.event(41, run.at + 9000, "draft", host="h2")
    run.add("conductor", "site", run.at + 10000, fate="undo", text="floor-2")
    run.event(42, run.at + 19000, "draft", host="h2")
    assert run.audit(tmp_path)[0] == [(3, 41)]
