"""Each judge is shown traffic in which one event breaks its rule, and says which; truthful
traffic breaks none.
"""

import pytest
from traffic import Run

from cherrydoor.fakes.record import Record
from cherrydoor.rehearsal.audit import Unreadable, audit


@pytest.fixture
def run():
    return Run()


def test_truthful_traffic_breaks_nothing(run, tmp_path):
    broken, found = run.judge(tmp_path)
    assert broken == [] and found["service"]["share"] == 1.0 and found["service"]["events"] == 30
    assert abs(found["service"]["ms"]["draft"]["p50"] - 100) < 1


def test_an_answer_that_never_came(run, tmp_path):
    run.drop("answer", 7)
    run.add("client", "gave up", 5200.0, peer="g0", id=7, event=7)
    assert run.judge(tmp_path)[0] == [(1, 7)]


def test_a_second_answer(run, tmp_path):
    run.add("client", "answer", 2950.0, peer="g0", id=7, event=7, fate="deferred")
    assert run.judge(tmp_path)[0] == [(1, 7)]


def test_an_answer_after_the_clients_time(run, tmp_path):
    run.find("answer", 7)["t"] = 2700.0 + 2501.0
    assert run.judge(tmp_path)[0] == [(1, 7)]


def test_a_launch_after_the_final_answer(run, tmp_path):
    run.launch(6, 3000.0 + 400.0, host="h2")
    assert run.judge(tmp_path)[0] == [(1, 6)]


def test_a_connection_closed_on_an_event(run, tmp_path):
    run.drop("answer", 7)
    run.add("client", "cut", 2750.0, peer="g0", id=7, event=7)
    assert run.judge(tmp_path)[0] == [(1, 7)]


def test_what_a_killed_or_stopped_gateway_held_is_not_counted_but_told(run, tmp_path):
    run.drop("answer", 7)
    run.add("client", "cut", 2750.0, peer="g0", id=7, event=7)
    run.add("conductor", "gateway killed", 2740.0, who="g0")
    run.add("conductor", "gateway up", 2800.0, who="g0")
    run.drop("answer", 20)
    run.add("client", "gave up", 6500.0, peer="g0", id=20, event=20)
    run.add("conductor", "gateway stopped", 6400.0, who="g0")
    run.add("conductor", "gateway continued", 6600.0, who="g0")
    broken, found = run.judge(tmp_path)
    assert broken == [] and sum(found["excused"].values()) == 2


def test_an_effect_twice_of_an_at_most_once_event(run, tmp_path):
    effect = run.find("effect", 8)
    run.rows.append(effect | {"t": effect["t"] + 5})
    assert run.judge(tmp_path)[0] == [(2, 8)]


def test_a_further_launch_of_an_at_most_once_event_that_may_have_run(run, tmp_path):
    run.find("outcome", 8)["fate"] = "error"
    run.drop("effect", 8)
    run.find("answer", 8)["t"] += 200
    run.launch(8, 2800.0 + 150.0, "archive", "h2")
    assert run.judge(tmp_path)[0] == [(2, 8)]


def test_a_further_launch_after_a_full_answer_is_no_fault(run, tmp_path):
    run.find("outcome", 8)["fate"] = "full"
    run.drop("effect", 8)
    run.find("answer", 8)["t"] += 200
    run.launch(8, 2800.0 + 150.0, "archive", "h2")
    assert run.judge(tmp_path)[0] == []


def test_a_keyed_event_launched_past_what_hosts_remember(run, tmp_path):
    run.find("sent", 7)["b"] = 9000.0
    run.drop("effect", 7)
    run.find("outcome", 7)["fate"] = "error"
    run.find("answer", 7)["t"] += 5000.0
    run.launch(7, 2700.0 + 4500.0, "sign", "h2")
    assert run.judge(tmp_path)[0] == [(2, 7)]


def test_a_deferral_of_what_may_have_run(run, tmp_path):
    run.find("answer", 8)["fate"] = "deferred"
    assert run.judge(tmp_path)[0] == [(2, 8)]


def test_two_launches_out_at_once(run, tmp_path):
    run.find("outcome", 6)["t"] += 400
    run.find("effect", 6)["t"] += 400
    run.find("answer", 6)["t"] += 500
    run.launch(6, 2600.0 + 50.0, host="h2", took=300.0)
    assert run.judge(tmp_path)[0] == [(2, 6)]


@pytest.mark.parametrize("end", ["answer lost", "recall"])
def test_a_launch_that_a_silent_host_ran_to_its_end_is_out_no_more(run, tmp_path, end):
    run.drop("effect", 6)
    run.find("outcome", 6).update(what=end, t=2640.0, event=0 if end == "recall" else 6)
    run.launch(6, 2650.0, host="h2", took=300.0)
    run.find("answer", 6)["t"] = 2990.0
    assert run.judge(tmp_path)[0] == []


def test_a_launch_to_a_draining_host_after_the_grace(run, tmp_path):
    run.tell(10000.0, 2, "g0", {"h2": "draining"})
    run.event(100, 10900.0, host="h2")
    run.event(101, 11200.0, host="h2")
    assert run.judge(tmp_path)[0] == [(3, 101)]


def test_a_host_that_a_whole_list_leaves_out_is_gone(run, tmp_path):
    run.tell(10000.0, 2, "g0", {"h1": "ready"}, whole=True)
    run.event(101, 11200.0, host="h2")
    assert run.judge(tmp_path)[0] == [(3, 101)]


def test_a_host_that_is_ready_again_may_be_sent_to(run, tmp_path):
    run.tell(10000.0, 2, "g0", {"h2": "draining"})
    run.tell(11000.0, 3, "g0", {"h2": "ready"})
    run.event(101, 11500.0, host="h2")
    assert run.judge(tmp_path)[0] == []


def test_an_order_to_load_at_a_draining_host(run, tmp_path):
    run.tell(10000.0, 2, "g0", {"h2": "draining"})
    run.add("host", "order", 11200.0, who="h2", peer="g0", id=900, function="f", number=0)
    run.add("host", "order", 11300.0, who="h2", peer="g0", id=901, function="f", number=1)
    assert [rule for rule, _ in run.judge(tmp_path)[0]] == [3]


def test_a_cold_host_pushed_over_by_one_event_too_many(run, tmp_path):
    # at 25 % and three times: 3000 ms of work in the first 2 s, and what chance may add
    run.add("host", "host up", 20000.0, who="h3", a=2.0, number=1)
    for i in range(6):
        run.event(200 + i, 20000.0 + i, host="h3")
        run.find("launch", 200 + i)["b"] = 600.0
    assert list(run.judge(tmp_path)[0]) == []
    run.event(220, 20010.0, host="h3")
    run.find("launch", 220)["b"] = 6000.0
    assert run.judge(tmp_path / "more")[0] == [(4, 220)]


def test_orders_beyond_the_ration(run, tmp_path):
    for i in range(5):  # 2 free and a tenth of 30 events
        run.add(
            "host", "order", 5000.0 + i, who="h1", peer="g0", id=900 + i, function="f", number=1
        )
    assert run.judge(tmp_path)[0] == []
    run.add("host", "order", 5006.0, who="h1", peer="g0", id=950, function="f", number=1)
    assert [rule for rule, _ in run.judge(tmp_path / "more")[0]] == [5]


def test_files_cut_short_do_not_spoil_the_rest_and_no_files_are_told(run, tmp_path):
    run.judge(tmp_path)
    (tmp_path / "traffic" / "client-x.parquet.new").write_bytes(b"PAR1 cut sh")
    assert audit(tmp_path)["broken"] == []
    (tmp_path / "none").mkdir()
    with pytest.raises(Unreadable):
        audit(tmp_path / "none")


def test_what_was_recorded_up_to_a_crash_is_readable(tmp_path):
    record = Record(tmp_path, "client", "c")
    record.add("sent", id=1)
    record.flush()
    record.add("sent", id=2)  # never flushed: its process is killed here
    import pyarrow.parquet as pq

    [file] = tmp_path.glob("*.parquet")
    assert pq.read_table(file)["id"].to_pylist() == [1]


def late_by(run, ms):
    """Event 3's answer comes so late."""
    run.find("answer", 3)["t"] = run.find("sent", 3)["t"] + 2500.0 + ms
    return run.find("answer", 3)["t"]


def test_an_answer_late_while_its_gateway_had_no_core_tells_of_the_machine(tmp_path):
    """A day broke rule 1 at many gateways at once, on a machine that had other work."""
    run = Run()
    t = late_by(run, 30.0)
    run.add("conductor", "waited", t - 20.0, who="g0", a=95.0, b=100.0)
    broken, found = run.judge(tmp_path)
    assert broken == [] and [one["event"] for one in found["crowded"]] == [3]


def test_an_answer_later_than_its_gateway_had_no_core_is_the_gateways_own(tmp_path):
    run = Run()
    t = late_by(run, 90.0)
    run.add("conductor", "waited", t - 20.0, who="g0", a=95.0, b=100.0)
    run.add("conductor", "waited", t - 1000.0, who="g0", a=95.0, b=100.0)
    run.add("conductor", "waited", t - 20.0, who="g1", a=95.0, b=100.0)
    broken, found = run.judge(tmp_path)
    assert broken == [(1, 3)] and found["crowded"] == []


def test_an_event_without_an_answer_while_all_stood_still_tells_of_the_machine(tmp_path):
    run = Run()
    run.drop("answer", 3)
    sent = run.find("sent", 3)["t"]
    run.add("client", "gave up", sent + 2500.0, peer="g0", id=3, event=3)
    run.add("conductor", "paused", sent + 2520.0, a=400.0)
    broken, found = run.judge(tmp_path)
    assert broken == [] and [one["event"] for one in found["crowded"]] == [3]
