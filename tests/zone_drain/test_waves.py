"""Planning of waves, and the decisions that participants make from them."""

from types import SimpleNamespace

import pytest
from coordinator_trial import GROUPS
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.gateway.load_orders import LoadOrders
from cherrydoor.protocol.zone_drain import DrainWave, FunctionLoad, MovedShare, ZoneLoad
from cherrydoor.zone_drain.neighbour_capacity import ZoneState, combined_zones, spare_capacity
from cherrydoor.zone_drain.participant import Participant, session_key
from cherrydoor.zone_drain.service import version_reader
from cherrydoor.zone_drain.session_groups import (
    OTHER_FUNCTIONS,
    SessionGroup,
    combined_sessions,
    ordered_groups,
)
from cherrydoor.zone_drain.wave_plan import plan_waves, served_weight_per_s


def test_waves_are_ordered_by_priority_then_cost_and_are_limited_in_size():
    plan = plan_waves(GROUPS, 100.0, 0.25)
    steps = [[(s.function, round(s.share, 2), s.needs_copy) for s in wave] for wave in plan.waves]
    assert steps == [
        [("gold", 1.0, False)],
        [("iron", 0.5, True)],
        [("iron", 1.0, False)],
        [("lead", 1.0, False)],
    ]
    assert plan.shortfall_per_s == 0.0
    assert plan.waves_within_capacity == len(plan.waves)


def test_load_beyond_the_known_capacity_moves_last_and_in_smaller_waves():
    plan = plan_waves(GROUPS, 25.0, 0.5)
    assert [[(s.function, round(s.share, 2)) for s in wave] for wave in plan.waves] == [
        [("gold", 1.0), ("iron", 0.5)],
        [("iron", 0.75)],
        [("iron", 1.0), ("lead", 0.5)],
        [("lead", 1.0)],
    ]
    assert plan.waves_within_capacity == 2
    assert plan.shortfall_per_s == 15.0
    assert "15.0 are missing" in plan.refusal_reason()


def test_the_number_of_copies_loaded_for_a_wave_is_limited():
    plan = plan_waves([SessionGroup(f"f{i}", 1.0) for i in range(20)], 100.0, 1.0, max_copies=4)
    assert [sum(s.needs_copy for s in wave) for wave in plan.waves] == [4, 4, 4, 4, 4]


def test_small_groups_move_together_as_other_functions():
    groups = ordered_groups(
        [SessionGroup("big", 100.0), *(SessionGroup(f"f{i}", 0.5, 1.0, "keyed") for i in range(10))]
    )
    assert {group.function: group.retry_safety for group in groups} == {
        "big": "redeliverable",
        OTHER_FUNCTIONS: "keyed",
    }


@given(
    st.lists(st.tuples(st.floats(0.5, 50), st.floats(0.1, 9)), min_size=1, max_size=9),
    st.floats(0.0, 200.0),
)
@settings(max_examples=200, deadline=None)
def test_the_move_order_serves_as_much_weight_as_a_fractional_knapsack(loads, capacity):
    """Groups can be split, so moving them in order of priority serves the optimal weight."""
    groups = [SessionGroup(f"f{i}", rate, weight) for i, (rate, weight) in enumerate(loads)]
    best = 0.0
    remaining = capacity
    for group in sorted(ordered_groups(groups), key=lambda group: -group.priority_weight):
        best += group.priority_weight * min(group.requests_per_s, remaining)
        remaining = max(0.0, remaining - group.requests_per_s)
    served = served_weight_per_s(plan_waves(groups, capacity), groups)
    assert served == pytest.approx(best, abs=1e-6)


def test_spare_capacity_follows_from_utilization_and_is_unknown_if_no_utilization_is_known():
    assert (
        spare_capacity(
            {
                "a": ZoneState(4, 50.0, 0.9),
                "b": ZoneState(4, 40.0, 0.5),
                "c": ZoneState(4, 40.0, None),
            },
            "a",
        )
        == 32.0
    )
    assert (
        spare_capacity({"a": ZoneState(4, 50.0, 0.9), "b": ZoneState(4, 40.0, None)}, "a") is None
    )


def test_one_disconnected_gateway_does_not_make_a_zone_appear_lost():
    disconnected = [ZoneLoad("east", 0.0, None, 0)]
    connected = [ZoneLoad("east", 5.0, 0.5, 4)]
    assert combined_zones([disconnected, connected, connected])["east"].hosts == 4
    assert combined_zones([disconnected, disconnected, connected])["east"].hosts == 0


def test_versions_of_a_function_move_together_and_each_copy_keeps_its_version():
    loads = [
        FunctionLoad("deed@1", 2.0, hosts_with_copy=["h1"]),
        FunctionLoad("deed@2", 1.0, 3.0, "keyed", hosts_with_copy=["h2"]),
        FunctionLoad("other", 1.0),
    ]
    groups, copies = combined_sessions(loads, version_reader(object()))
    assert [
        (group.function, group.requests_per_s, group.priority_weight, group.retry_safety)
        for group in groups
    ] == [
        ("deed", 3.0, 3.0, "keyed"),
        ("other", 1.0, 1.0, "redeliverable"),
    ]
    assert copies == [("deed", "deed@1", "h1"), ("deed", "deed@2", "h2")]
    assert [group.function for group in combined_sessions(loads, version_reader(None)).groups] == [
        "deed@1",
        "deed@2",
        "other",
    ], "without releases, a name has no version"


def test_a_release_preloads_also_outside_a_zone_whose_sessions_have_moved():
    dispatcher = SimpleNamespace(
        router_messages=[], zone_drain=SimpleNamespace(zones_with_moved_sessions=lambda: ["s"])
    )
    LoadOrders(dispatcher).function_expected("deed@2")
    assert [(message.function, message.drained_zone) for message in dispatcher.router_messages] == [
        ("deed@2", ""),
        ("deed@2", "s"),
    ]
    dispatcher.router_messages.clear()
    LoadOrders(dispatcher).function_expected("deed@2", "s")
    assert [message.drained_zone for message in dispatcher.router_messages] == ["s"], (
        "a drain needs its copy only outside the zone"
    )


# ---- participants
def wave(token, number, state="moving", shed=(), **shares):
    moved = [MovedShare(function, share) for function, share in shares.items()]
    return DrainWave("s", token, number, "c", state, moved, list(shed))


def decision(
    participant,
    function="f",
    session="x",
    now_ms=1000.0,
    retry_safety="redeliverable",
    dedup_window_ms=0.0,
):
    return participant.decide(now_ms, function, retry_safety, dedup_window_ms, session)


def test_a_wave_with_an_old_token_or_an_older_number_changes_nothing():
    participant = Participant()
    assert participant.accept_wave(0.0, wave(2, 3, f=0.5))
    assert participant.accept_wave(1.0, wave(3, 3, f=0.5))
    for old in (wave(3, 3), wave(2, 9), wave(3, 2)):
        assert not participant.accept_wave(2.0, old)
    assert participant.drains["s"].fencing_token == 3


def test_shares_are_nested_so_moved_sessions_stay_moved_and_participants_agree():
    one = Participant()
    other = Participant()
    sessions = [f"doc{i}" for i in range(400)]
    before: set = set()
    for number, share in enumerate((0.1, 0.4, 0.8), 1):
        for participant in (one, other):
            participant.accept_wave(0.0, wave(1, number, f=share))
        moved_now = {s for s in sessions if decision(one, session=s).excluded_zone == "s"}
        assert before <= moved_now
        assert moved_now == {s for s in sessions if decision(other, session=s).excluded_zone}
        assert abs(len(moved_now) / 400 - share) < 0.08
        before = moved_now
    assert not any(decision(one, "other", s).excluded_zone for s in sessions)


def test_a_zone_has_moved_sessions_from_its_first_share_until_the_drain_is_completed():
    participant = Participant()
    assert participant.zones_with_moved_sessions() == []
    participant.accept_wave(0.0, wave(1, 1))
    assert participant.zones_with_moved_sessions() == []
    participant.accept_wave(0.0, wave(1, 2, f=0.5))
    assert participant.zones_with_moved_sessions() == ["s"]
    participant.accept_wave(0.0, wave(1, 3, "over"))
    assert participant.zones_with_moved_sessions() == []


def test_shed_functions_are_rejected_only_after_all_other_sessions_have_moved():
    participant = Participant()
    participant.accept_wave(0.0, wave(1, 1, shed=["lead"], gold=1.0))
    assert decision(participant, "gold").excluded_zone == "s"
    assert not decision(participant, "lead").rejection_reason
    participant.accept_wave(0.0, wave(1, 2, "emptying", ["lead"], gold=1.0))
    assert "no room" in decision(participant, "lead").rejection_reason
    assert not decision(participant, "gold").rejection_reason
    assert decision(participant, "unnamed").excluded_zone == "s", (
        "functions that the wave does not name are not routed to an emptying zone either"
    )


def test_a_keyed_request_is_rejected_while_only_some_hosts_remember_its_key():
    participant = Participant()
    participant.accept_wave(1000.0, wave(1, 1, f=1.0))
    assert (
        "marks"
        in decision(
            participant, retry_safety="keyed", dedup_window_ms=5000.0, now_ms=5900.0
        ).rejection_reason
    )
    assert not decision(
        participant, retry_safety="keyed", dedup_window_ms=5000.0, now_ms=6100.0
    ).rejection_reason
    assert not decision(
        participant, retry_safety="keyed", dedup_window_ms=0.0, now_ms=1100.0
    ).rejection_reason, "all hosts remember it"


def test_a_session_is_an_affinity_key_else_a_tenant_and_function():
    assert session_key("doc", "p", "f") == session_key("doc", "q", "g") != session_key("", "p", "f")
