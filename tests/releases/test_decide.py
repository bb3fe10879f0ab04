"""Releases decided: a story for each way that one can go, and rates that a simulation of many must keep."""

from hypothesis import given, settings
from hypothesis import strategies as st
from releases import NOW, Gate

from bench.releases import Fleet
from cherrydoor.releases import decide as d
from cherrydoor.releases.proof import Count, bounds, worse


def test_a_share_grows_by_steps_that_nest_and_all_gateways_agree():
    gate, other = Gate(), Gate()
    documents = [f"d{i}" for i in range(400)]
    assert gate.trial() == other.trial() == d.TRIAL
    before, release = set(), gate.versions.lines["deed"].release
    for step, share in enumerate(d.SHARES):
        release.step = other.versions.lines["deed"].release.step = step
        new = {x for x in documents if gate.call("deed", x) == "deed@1"}
        assert new >= before and abs(len(new) / 400 - share) < 0.07
        assert new == {x for x in documents if other.call("deed", x) == "deed@1"}
        before = new


def test_a_good_version_goes_through_all_steps_and_the_old_one_is_unloaded_at_the_end_only():
    gate = Gate()
    gate.trial()
    for i in range(2000):
        gate.now += 100
        gate.end(gate.call("deed", f"d{i}"))
    assert gate.state() == d.COMPLETE and gate.call("deed", "x") == "deed@1"
    assert [s[2] for s in gate.said] == [
        "announced",
        "loading",
        "trial, 20%",
        "trial, 40%",
        "trial, 70%",
        "trial, 90%",
        "complete",
    ]
    assert gate.unloads == [("deed", ("h",))] and gate.said[-1][3] == "proved"


def test_a_version_that_fails_is_withdrawn_and_its_copies_let_go():
    gate = Gate()
    gate.trial()
    calls = 0
    while gate.state() == d.TRIAL:
        gate.now += 100
        name, calls = gate.call("deed", f"d{calls}"), calls + 1
        gate.end(name, "error" if name == "deed@1" and calls % 2 else "handled")
    assert gate.state() == d.WITHDRAWN and "errors" in gate.said[-1][3]
    assert gate.call("deed", "d1") == "deed" and gate.unloads == [("deed@1", ("h",))]
    assert gate.versions.again("deed@1") == "deed"


def test_what_strikes_both_versions_is_not_blamed_on_the_new_one():
    for trouble in ({"fate": "error"}, {"fate": "lost"}, {"took": 900.0}):
        gate = Gate()
        gate.trial()
        for i in range(600):
            gate.now += 100
            gate.end(gate.call("deed", f"d{i}"), **(trouble if i % 3 == 0 else {}))
        assert gate.state() in (d.TRIAL, d.COMPLETE), trouble


def test_trouble_that_comes_at_a_late_step_is_not_held_against_the_calm_of_the_first():
    gate, i = Gate(), 0
    gate.trial()
    while gate.state() == d.TRIAL and i < 4000:
        gate.now, i = gate.now + 20, i + 1
        late = gate.versions.lines["deed"].release.step >= 2
        gate.end(gate.call("deed", f"d{i}"), "error" if late and i % 4 == 0 else "handled")
    assert gate.state() != d.WITHDRAWN and gate.versions.lines["deed"].release.step >= 2


def test_slow_answers_of_the_new_version_alone_are_and_its_first_loads_are_not():
    gate = Gate()
    gate.trial()
    for i in range(100):
        gate.now += 100
        name = gate.call("deed", f"d{i}")
        gate.end(name, took=900.0 if name == "deed@1" else 50.0, cold=name == "deed@1")
    assert gate.state() == d.TRIAL and gate.said[-1][2] != "withdrawn"
    for i in range(600):
        gate.now += 100
        name = gate.call("deed", f"e{i}")
        gate.end(name, took=120.0 if name == "deed@1" else 40.0 + i % 20)
    assert gate.state() == d.WITHDRAWN and gate.said[-1][3] == "worse in slow"


def test_one_that_fails_for_one_customer_alone():
    gate = Gate()
    gate.trial()
    for i in range(4000):
        gate.now += 20
        name, party = gate.call("deed", f"d{i}"), "meadow" if i % 25 == 0 else "harbour"
        gate.end(
            name, "error" if name == "deed@1" and party == "meadow" else "handled", party=party
        )
        if gate.state() == d.WITHDRAWN:
            break
    assert gate.state() == d.WITHDRAWN and i < 3000


def test_one_that_takes_its_hosts_down():
    gate = Gate()
    gate.trial()
    for i in range(1500):
        gate.now += 100
        name = gate.call("deed", f"d{i}")
        gate.end(name, "lost" if name == "deed@1" and i % 4 == 0 else "handled")
    assert gate.state() == d.WITHDRAWN and gate.said[-1][3] == "worse in lost"


def test_one_that_does_not_load():
    gate = Gate()
    gate.end(gate.call())
    gate.announce()
    for _ in range(d.LOAD_FAILS):
        gate.load("deed@1", "error")
    assert gate.state() == d.WITHDRAWN and gate.said[-1][3] == "it does not load"


def test_announced_twice_out_of_order_superseded_and_withdrawn_by_whoever_released_it():
    gate = Gate()
    gate.trial(version=3)
    said = len(gate.said)
    gate.announce(version=3)
    gate.announce(version=2)
    assert len(gate.said) == said and gate.state() == d.TRIAL
    gate.announce(version=4)
    assert gate.said[said][:3] == ("deed", 3, d.SUPERSEDED)
    release = gate.versions.lines["deed"].release
    assert (release.version, release.fallback) == (4, 0)
    gate.announce(version=4, state=d.WITHDRAWN)
    assert gate.state() == d.WITHDRAWN and gate.call() == "deed"
    gate.announce(version=4, state=d.COMPLETE)
    assert gate.call() == "deed", "what was withdrawn does not come back by a late word"
    gate.announce(version=5, state=d.COMPLETE)
    assert gate.call() == "deed@5"


def test_withdrawn_while_its_load_is_under_way():
    gate = Gate()
    gate.end(gate.call())
    gate.announce()
    assert gate.loads == ["deed@1"] and gate.state() == d.LOADING
    gate.announce(state=d.WITHDRAWN)
    assert gate.versions.under_way == {} and gate.load("deed@1") == []
    assert gate.call() == "deed"


def test_a_function_that_nobody_calls_here_comes_to_its_end_by_time():
    gate = Gate()
    gate.announce("rare", 1)
    assert (
        gate.loads == [] and gate.call("seldom") == "seldom" and gate.state("rare") == d.ANNOUNCED
    )
    gate.announce("seldom", 1)
    gate.wait(1000)
    assert gate.loads == ["seldom@1"] and gate.call("seldom") == "seldom", (
        "the old one serves while it loads"
    )
    gate.wait(2 * d.UNCALLED + 2000)
    assert gate.state("rare") == d.COMPLETE and "seldom called" in gate.said[-1][3]
    assert gate.call("rare") == "rare@1"


def test_withdrawn_by_hand_after_it_was_complete_and_held_in_between():
    gate = Gate()
    gate.trial()
    gate.take(d.Ordered("deed", "hold"))
    gate.wait(5 * d.PATIENCE, 5000.0)
    assert gate.state() == d.TRIAL and gate.versions.lines["deed"].release.step == 0
    gate.take(d.Ordered("deed", "go on"))
    gate.wait(4 * d.PATIENCE + 10000, 5000.0)
    assert gate.state() == d.COMPLETE
    gate.take(d.Ordered("deed", "withdraw"))
    assert gate.state() == d.WITHDRAWN and gate.call() == "deed"


def test_a_mass_release_is_loaded_most_called_first_and_no_more_at_once_than_goes_well():
    gate = Gate()
    for i in range(200):
        for _ in range(200 - i):
            gate.call(f"deed-{i:03d}")
    for i in reversed(range(200)):
        gate.announce(f"deed-{i:03d}")
    assert len(gate.loads) == 4
    for _ in range(12):
        gate.now += 50.0
        for name in list(gate.versions.under_way):
            gate.load(name, ms=0.0)
            assert len(gate.versions.under_way) <= gate.versions.pacer.room
            assert gate.versions.on_trial() <= d.TRIALS
        for line in list(gate.versions.lines.values()):
            if line.release.state == d.TRIAL:
                gate.take(d.Ordered(line.function, "complete"))
    assert gate.versions.pacer.room > 5
    asked = [int(name[5:8]) for name in gate.loads[4:]]
    assert asked == sorted(asked) and len(asked) > 30
    room, gate.now = gate.versions.pacer.room, gate.now + 5000.0
    for name in list(gate.versions.under_way)[:3]:
        gate.load(name, ms=0.0)
    assert gate.versions.pacer.room < room / 4, "loads that take long halve it"


def test_a_mass_release_with_one_fault_is_held_off_after_a_few():
    gate, events = Gate(), 0
    names = [f"deed-{i:02d}" for i in range(40)]
    for name in names:
        for i in range(20):
            gate.end(gate.call(name, f"w{i}"), took=50.0)
    for name in names:
        gate.announce(name)
    while events < 20000 and not gate.versions.held_off():
        gate.now, events = gate.now + 5, events + 1
        for name in list(gate.versions.under_way) if events % 100 == 0 else ():
            gate.take(d.Loaded(name, "handled", 300.0))
        called = gate.call(names[events % 40], f"d{events}")
        gate.end(called, "error" if "@" in called else "handled")
        if events % 100 == 0:
            gate.take(d.Tick())
    begun = [name for name in names if gate.state(name) != d.ANNOUNCED]
    assert (
        gate.versions.held_off()
        and len(begun) < 40
        and ("", 0, "held off") in [s[:3] for s in gate.said]
    )
    waiting = [name for name in names if gate.state(name) == d.ANNOUNCED]
    gate.wait(60000, 5000.0)
    assert all(gate.state(name) == d.ANNOUNCED and gate.call(name) == name for name in waiting)
    gate.take(d.Ordered(waiting[0], "complete"))
    assert gate.call(waiting[0]) == f"{waiting[0]}@1"
    gate.wait(d.HELD_OFF, 10000.0)
    assert not gate.versions.held_off() and gate.state(waiting[1]) != d.ANNOUNCED


def test_a_load_that_is_never_answered_does_not_hold_the_release():
    gate = Gate()
    gate.end(gate.call())
    gate.announce()
    gate.wait(d.LOAD_WAIT + 1000)
    assert gate.state() == d.TRIAL and gate.versions.under_way == {}


def test_what_is_kept_over_a_start_goes_on_where_it_was():
    gate = Gate()
    gate.trial()
    for i in range(150):
        gate.now += 100
        gate.end(gate.call("deed", f"d{i}"))
    gate.trial("lease", 2)
    gate.announce("clause", 7, d.COMPLETE)
    kept, again = gate.versions.kept(), Gate()
    again.versions.take_back(kept)
    assert again.state() == d.TRIAL
    for document in ("a", "b", "c", "d", "e"):
        assert again.call("deed", document) == gate.call("deed", document)
    assert again.call("clause") == "clause@7" and again.versions.kept() == kept


def test_a_host_that_starts_anew_tells_from_nothing_and_an_answer_that_was_overtaken_tells_no_less():
    seen = d.Seen()
    for tally in ((10, 1, 0), (12, 2, 0), (11, 1, 0), (1, 0, 0), (3, 1, 0)):
        seen.add(d.Ended("deed@1", "h", "handled", 10.0, tally=tally), 100.0)
    assert (seen.errors.all, seen.errors.bad) == (3 + 3, 1 + 1)


def test_few_good_versions_are_withdrawn_and_few_bad_ones_completed():
    withdrawn = sum(
        d.WITHDRAWN in Fleet(seed, 4, 20.0, before=0.02, fails=0.02).run(200)[1]
        for seed in range(16)
    )
    assert withdrawn <= 1
    completed = sum(d.COMPLETE in Fleet(seed, 4, 20.0, fails=0.1).run(200)[1] for seed in range(16))
    assert completed <= 1


def test_all_gateways_come_to_the_same_end_by_what_hosts_tell():
    took, states, harmed = Fleet(3, gateways=20, per_second=10.0, fails=0.1).run()
    assert set(states) == {d.WITHDRAWN} and took < 300
    alone, _, harmed_alone = Fleet(3, gateways=20, per_second=10.0, fails=0.1, tallies=False).run()
    assert alone > 1.3 * took and harmed_alone > harmed, "own evidence alone takes longer"


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 400), st.integers(0, 400), st.sampled_from([0.3, 0.05, 0.01]))
def test_bounds_hold_what_was_seen_and_narrow_with_alpha(bad, good, alpha):
    low, high = bounds(bad, good, alpha)
    assert 0 <= low <= (bad / (bad + good) if bad + good else 0.5) <= high <= 1
    wider = bounds(bad, good, alpha / 10)
    assert wider[0] <= low + 1e-9 and wider[1] >= high - 1e-9
    assert not worse(Count(bad, bad + good), Count(bad, bad + good), alpha, 0.0)


names = st.sampled_from(["deed", "lease"])
notes = st.lists(
    st.one_of(
        st.tuples(
            st.just("fed"),
            names,
            st.integers(1, 4),
            st.sampled_from([d.ANNOUNCED, d.WITHDRAWN, d.COMPLETE]),
        ),
        st.tuples(
            st.just("ordered"), names, st.sampled_from(["hold", "go on", "withdraw", "complete"])
        ),
        st.tuples(
            st.just("event"),
            names,
            st.integers(0, 50),
            st.sampled_from(["handled", "error", "lost", "full"]),
        ),
        st.tuples(
            st.just("loaded"), names, st.integers(1, 4), st.sampled_from(["handled", "error"])
        ),
        st.tuples(st.just("wait"), st.integers(1, 60)),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(notes)
def test_no_order_of_notes_leaves_an_event_without_a_version_or_a_withdrawn_one_in_use(said):
    gate = Gate()
    for what, *values in said:
        if what == "fed":
            gate.announce(*values)
        elif what == "ordered":
            gate.take(d.Ordered(*values))
        elif what == "event":
            function, document, fate = values
            name = gate.call(function, f"d{document}")
            gate.end(name, fate, 50.0)
        elif what == "loaded":
            gate.load(d.name_of(values[0], values[1]), values[2])
        else:
            gate.wait(values[0] * 1000, 1000.0)
        for function, line in gate.versions.lines.items():
            called = {gate.versions.choose(function, f"d{i}") for i in range(8)}
            good = {d.name_of(function, line.version)}
            if line.release and line.release.state == d.TRIAL:
                good.add(line.release.name)
            assert called <= good and line.version not in line.ended
        assert len(gate.versions.under_way) <= d.MOST and gate.now >= NOW
    again = Gate()
    again.versions.take_back(gate.versions.kept())
    assert again.versions.kept() == gate.versions.kept()
