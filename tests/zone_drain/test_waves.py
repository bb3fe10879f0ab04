"""A drain's waves: in which order lots move, who follows what, and when the conductor goes on."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.gateway.load_orders import LoadOrders
from cherrydoor.protocol.zone_drain import DrainWave, FunctionLoad, MovedShare
from cherrydoor.zone_drain import follow
from cherrydoor.zone_drain.conducting import plain
from cherrydoor.zone_drain.neighbours import Site, gathered_sites, room_of
from cherrydoor.zone_drain.plan import REST, Lot, gathered, merged, plan, served

LOTS = [
    Lot("gold", 10.0, 5.0, hosts=("h1",)),
    Lot("iron", 20.0, 1.0),
    Lot("lead", 10.0, 0.5, hosts=("h2",)),
]


def test_waves_go_by_benefit_then_by_what_moving_costs_and_are_bounded():
    made = plan(LOTS, 100.0, 0.25)
    assert [[(s.function, round(s.share, 2), s.opens) for s in wave] for wave in made.waves] == [
        [("gold", 1.0, False)],
        [("iron", 0.5, True)],
        [("iron", 1.0, False)],
        [("lead", 1.0, False)],
    ]
    assert made.missing == 0.0 and made.sure == len(made.waves)


def test_what_goes_beyond_the_room_that_is_known_goes_last_and_in_smaller_waves():
    made = plan(LOTS, 25.0, 0.5)
    assert [[(s.function, round(s.share, 2)) for s in wave] for wave in made.waves] == [
        [("gold", 1.0), ("iron", 0.5)],
        [("iron", 0.75)],
        [("iron", 1.0), ("lead", 0.5)],
        [("lead", 1.0)],
    ]
    assert made.sure == 2 and made.missing == 15.0 and "15.0 are missing" in made.refusal()


def test_few_copies_are_opened_at_a_time():
    made = plan([Lot(f"f{i}", 1.0) for i in range(20)], 100.0, 1.0, copies=4)
    assert [sum(s.opens for s in wave) for wave in made.waves] == [4, 4, 4, 4, 4]


def test_what_is_too_small_to_stand_by_itself_goes_as_the_rest():
    lots = gathered([Lot("big", 100.0), *(Lot(f"f{i}", 0.5, 1.0, "keyed") for i in range(10))])
    assert {lot.function: lot.kind for lot in lots} == {"big": "redeliverable", REST: "keyed"}


@given(
    st.lists(st.tuples(st.floats(0.5, 50), st.floats(0.1, 9)), min_size=1, max_size=9),
    st.floats(0.0, 200.0),
)
@settings(max_examples=200, deadline=None)
def test_greedy_by_benefit_is_what_a_fractional_knapsack_would_take(given_, room):
    """Shares can be split, so the order of benefit is the best there is: the gap to a solver's bound is none."""
    lots = [Lot(f"f{i}", rate, benefit) for i, (rate, benefit) in enumerate(given_)]
    best, left = 0.0, room
    for lot in sorted(gathered(lots), key=lambda lot: -lot.benefit):
        best += lot.benefit * min(lot.rate, left)
        left = max(0.0, left - lot.rate)
    assert served(plan(lots, room), lots) == pytest.approx(best, abs=1e-6)


def test_room_is_what_busy_neighbours_leave_and_unknown_where_none_tells():
    assert (
        room_of({"a": Site(4, 50.0, 0.9), "b": Site(4, 40.0, 0.5), "c": Site(4, 40.0, None)}, "a")
        == 32.0
    )
    assert room_of({"a": Site(4, 50.0, 0.9), "b": Site(4, 40.0, None)}, "a") is None


def test_one_gateway_that_hears_nobody_makes_nobody_think_a_site_is_lost():
    blind, well = [("east", 0.0, None, 0)], [("east", 5.0, 0.5, 4)]
    assert gathered_sites([blind, well, well])["east"].hosts == 4
    assert gathered_sites([blind, blind, well])["east"].hosts == 0


def test_versions_of_a_function_move_as_one_and_copies_stay_each_versions_own():
    told = [
        FunctionLoad("deed@1", 2.0, hosts=["h1"]),
        FunctionLoad("deed@2", 1.0, 3.0, "keyed", hosts=["h2"]),
        FunctionLoad("other", 1.0),
    ]
    lots, copies = merged(told, plain(object()))
    assert [(lot.function, lot.rate, lot.benefit, lot.kind) for lot in lots] == [
        ("deed", 3.0, 3.0, "keyed"),
        ("other", 1.0, 1.0, "redeliverable"),
    ]
    assert copies == [("deed", "deed@1", "h1"), ("deed", "deed@2", "h2")]
    assert [lot.function for lot in merged(told, plain(None))[0]] == [
        "deed@1",
        "deed@2",
        "other",
    ], "no releases here"


def test_a_release_loads_ahead_outside_a_site_whose_sessions_have_moved_as_well():
    dispatcher = SimpleNamespace(
        router_messages=[], zone_drain=SimpleNamespace(draining_zones=lambda: ["s"])
    )
    LoadOrders(dispatcher).function_expected("deed@2")
    assert [(note.function, note.drained_zone) for note in dispatcher.router_messages] == [
        ("deed@2", ""),
        ("deed@2", "s"),
    ]
    dispatcher.router_messages.clear()
    LoadOrders(dispatcher).function_expected("deed@2", "s")
    assert [note.drained_zone for note in dispatcher.router_messages] == ["s"], (
        "a drain's own copy is wanted outside alone"
    )


# ---- those who follow
def wave(number, of, state="moving", shed=(), **shares):
    return DrainWave(
        "s", number, of, "c", state, [MovedShare(k, v) for k, v in shares.items()], list(shed)
    )


def away(follower, function="f", one="x", now=1000.0, kind="redeliverable", memory=0.0):
    return follower.tells(now, function, kind, memory, one)


def test_a_wave_under_an_old_number_or_an_older_one_undoes_nothing():
    follower = follow.Follower()
    assert follower.hear(0.0, wave(2, 3, f=0.5)) and follower.hear(1.0, wave(3, 3, f=0.5))
    for old in (wave(3, 3), wave(2, 9), wave(3, 2)):
        assert not follower.hear(2.0, old)
    assert follower.drains["s"].number == 3


def test_shares_are_nested_who_is_away_stays_away_and_others_agree():
    one, other = follow.Follower(), follow.Follower()
    sessions = [f"doc{i}" for i in range(400)]
    before: set = set()
    for number, share in enumerate((0.1, 0.4, 0.8), 1):
        for follower in (one, other):
            follower.hear(0.0, wave(1, number, f=share))
        now_away = {s for s in sessions if away(one, one=s).away == "s"}
        assert before <= now_away == {s for s in sessions if away(other, one=s).away}
        assert abs(len(now_away) / 400 - share) < 0.08
        before = now_away
    assert not any(away(one, "other", s).away for s in sessions)


def test_what_has_moved_is_where_a_release_loads_ahead_as_well():
    follower = follow.Follower()
    assert follower.moving() == []
    follower.hear(0.0, wave(1, 1))
    assert follower.moving() == []
    follower.hear(0.0, wave(1, 2, f=0.5))
    assert follower.moving() == ["s"]
    follower.hear(0.0, wave(1, 3, "over"))
    assert follower.moving() == []


def test_what_is_shed_is_deferred_at_the_end_and_not_before():
    follower = follow.Follower()
    follower.hear(0.0, wave(1, 1, shed=["lead"], gold=1.0))
    assert away(follower, "gold").away == "s" and not away(follower, "lead").defer
    follower.hear(0.0, wave(1, 2, "emptying", ["lead"], gold=1.0))
    assert "no room" in away(follower, "lead").defer and not away(follower, "gold").defer
    assert away(follower, "unheard of").away == "s", (
        "nothing new is steered there once it is to be empty"
    )


def test_a_keyed_event_does_not_move_while_a_part_of_the_hosts_remembers_its_mark():
    follower = follow.Follower()
    follower.hear(1000.0, wave(1, 1, f=1.0))
    assert "marks" in away(follower, kind="keyed", memory=5000.0, now=5900.0).defer
    assert not away(follower, kind="keyed", memory=5000.0, now=6100.0).defer
    assert not away(follower, kind="keyed", memory=0.0, now=1100.0).defer, "all hosts remember it"


def test_a_session_is_a_document_else_a_party_and_function():
    assert (
        follow.session("doc", "p", "f")
        == follow.session("doc", "q", "g")
        != follow.session("", "p", "f")
    )
