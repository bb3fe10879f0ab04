"""What delays a drain or rolls part of it back, and when a zone counts as empty."""

from coordinator_trial import GROUPS, CoordinatorTrial, move_all, time_until_next_wave, zone_states

from cherrydoor.protocol.zone_drain import DrainWave
from cherrydoor.zone_drain.coordinator import MAX_ROLLBACKS
from cherrydoor.zone_drain.in_flight_check import MAX_CONCURRENT_QUERIES, InFlightCheck
from cherrydoor.zone_drain.neighbour_capacity import ZoneState
from cherrydoor.zone_drain.session_groups import SessionGroup


def trial_with_neighbours(**options):
    trial = CoordinatorTrial(GROUPS, **options)
    trial.coordinator.neighbours.update(zone_states(4))
    return trial


def trial_after_first_wave():
    """A drain after its first wave, with a known baseline of the timely share."""
    trial = CoordinatorTrial()
    trial.confirm()
    trial.now_ms = 10.0
    trial.load_copy("iron", "h3")
    return trial


def trial_beyond_capacity():
    """A drain beyond the neighbours' known capacity, requested with --even."""
    last = DrainWave("s", 1, 0, "a", allow_shortfall=True)
    return CoordinatorTrial(GROUPS, 25.0, last=last, token=2, hosts=["h8"])


def trial_with_all_moved(hosts):
    """A drain of a zone with these hosts, after all sessions have moved."""
    trial = CoordinatorTrial([SessionGroup("gold", 10.0, hosts_with_copy=("h1",))], hosts=hosts)
    move_all(trial)
    trial.confirm()
    return trial


# ---- neighbours
def test_no_wave_is_announced_while_a_neighbour_is_lost_and_then_the_drain_continues():
    trial = trial_with_neighbours()
    trial.coordinator.neighbours.update(zone_states(0))
    trial.load_copy("iron", "h3")
    trial.confirm_repeatedly(10)
    assert trial.wave is None
    assert "east 0 of 4" in trial.reason
    trial.coordinator.neighbours.update(zone_states(4))
    trial.later(100.0)
    assert trial.wave.wave == 1
    assert trial.reason == ""
    one_host_less = zone_states(4) | {"east": ZoneState(3, 20.0, 0.4)}
    trial.coordinator.neighbours.update(one_host_less)
    trial.confirm_repeatedly(1)
    assert trial.wave.wave == 2, "one lost host of eight is below the limit"


def test_only_the_load_that_the_remaining_neighbours_cannot_serve_is_rolled_back():
    """A loss of a neighbour must not overload the remaining one.

    Each neighbour can serve 50 requests per second. One is lost while both have 60 in all, which is
    15 more than 90 % of 50: two groups of 10 move back.
    """
    trial = trial_with_neighbours()
    move_all(trial)
    trial.coordinator.neighbours.update(zone_states(0, rate=30.0, utilization=0.6))
    trial.later(2000.0)
    assert trial.wave.state == "moving"
    assert trial.shares["gold"] == 1.0
    assert trial.shares.get("lead", 0.0) == 0.0
    trial.coordinator.neighbours.update(zone_states(4))
    move_all(trial)
    assert trial.shares["lead"] == 1.0


def test_nothing_is_rolled_back_to_a_zone_without_available_hosts():
    trial = trial_with_neighbours()
    move_all(trial)
    before = trial.wave
    trial.coordinator.neighbours.update(zone_states(0, own=0, rate=30.0, utilization=0.6))
    assert not trial.later(2000.0)
    assert trial.wave is before
    assert "lost" in trial.reason


# ---- regressions
def test_a_regression_delays_the_next_wave_and_a_larger_one_is_rolled_back_sooner():
    durations_ms = []
    for timely_share in (0.94, 0.5):
        trial = trial_after_first_wave()
        durations_ms.append(time_until_next_wave(trial, timely_share))
        assert trial.wave.wave == 2
        assert trial.wave.moved_shares == [], "the first wave is rolled back"
        assert "before" in trial.reason
    assert durations_ms[0] > 4000.0 > 1.2 * durations_ms[1]


def test_after_several_rollbacks_the_drain_pauses_until_an_operator_resumes():
    trial = trial_after_first_wave()
    for _ in range(MAX_ROLLBACKS):
        time_until_next_wave(trial, 0.5)
        if trial.state != "held":
            time_until_next_wave(trial, 1.0)
    assert trial.state == "held"
    assert time_until_next_wave(trial, 1.0, 10) >= 4000.0
    trial.command("resume")
    time_until_next_wave(trial, 1.0)
    assert trial.wave.moved_shares


def test_with_a_shortfall_allowed_only_the_lowest_priorities_are_shed():
    trial = trial_beyond_capacity()
    coordinator = trial.coordinator
    while coordinator.progress.reached < coordinator.plan.waves_within_capacity:
        trial.load_copy("iron", "h3")
        trial.confirm_repeatedly(1)
    time_until_next_wave(trial, 1.0)
    assert time_until_next_wave(trial, 0.6) < 8000.0
    assert trial.wave.state == "emptying"
    assert trial.wave.shed_functions == ["iron", "lead"]
    assert trial.shares == {"gold": 1.0, "iron": 0.75}


def test_a_late_regression_sheds_the_lowest_priority_then_the_next_and_resume_tries_again():
    trial = trial_beyond_capacity()
    move_all(trial)
    assert trial.wave.shed_functions == []
    time_until_next_wave(trial, 0.8)
    assert trial.wave.shed_functions == ["lead"]
    time_until_next_wave(trial, 0.8)
    assert trial.wave.shed_functions == ["iron", "lead"]
    assert trial.shares["gold"] == 1.0
    assert trial.shares["iron"] < 1.0
    assert "lead" not in trial.shares
    trial.timely_share = 1.0
    trial.command("resume")
    move_all(trial)
    assert trial.wave.shed_functions == []
    assert trial.shares["lead"] == 1.0


def test_without_a_shortfall_allowed_a_late_regression_rolls_back_and_pauses_the_drain():
    trial = trial_with_neighbours(hosts=["h8"])
    move_all(trial)
    time_until_next_wave(trial, 0.8)
    assert trial.state == trial.wave.state == "held"
    assert "before" in trial.reason


def test_a_regression_long_after_the_last_wave_is_not_attributed_to_it():
    trial = trial_with_neighbours(hosts=["h8"])
    move_all(trial)
    trial.later(60000.0)
    before = trial.wave.wave
    time_until_next_wave(trial, 0.8, 30)
    assert trial.wave.wave == before


# ---- the in-flight check
def test_a_zone_without_hosts_is_empty_when_all_gateways_report_it_empty():
    trial = trial_with_all_moved([])
    assert trial.wave.state == trial.state == "empty"


def test_a_zone_is_not_empty_while_a_gateway_has_requests_in_flight_there():
    trial = trial_with_all_moved(["h8"])
    assert trial.wave.state == trial.state == "emptying"
    trial.confirm(in_flight=1)
    for _ in range(9):
        trial.answer_host("h8", 0, 7)
    assert trial.state == "emptying"
    assert "requests in flight at a" in trial.reason
    trial.confirm()
    trial.later(100.0)
    assert trial.state == "empty"


def test_a_zone_is_not_empty_while_a_host_has_attempts_that_no_gateway_reports():
    trial = trial_with_all_moved(["h8", "h9"])
    for _ in range(4):
        trial.answer_host("h8", 0, 7)
        trial.answer_host("h9", 1, 5, ["g7"])
    assert trial.state == "emptying"
    assert "h9 has 1 in flight, of g7" in trial.reason
    for arrived in (6, 7, 8, 9):
        trial.answer_host("h9", 0, arrived)
    assert trial.state == "emptying", "an attempt arrived between any two of its counts"
    for _ in range(3):
        trial.answer_host("h8", 0, 7)
        trial.answer_host("h9", 0, 9)
    assert trial.state == "empty"


def test_an_unresponsive_host_is_named_until_the_endpoint_list_drops_it():
    listed = ["h8", "h9"]
    trial = trial_with_all_moved(listed)
    for _ in range(5):
        trial.answer_host("h8", 0, 7)
        trial.take(trial.coordinator.host_answered(trial.now_ms, "h9", None))
    assert trial.state == "emptying"
    assert "hosts that have not answered: h9" in trial.reason
    listed.remove("h9")
    trial.answer_host("h8", 0, 7)
    assert trial.state == "empty"


def test_no_zone_counts_as_empty_for_a_coordinator_without_an_endpoint_list():
    """A gateway that has just started has no list yet; the zone may still have hosts."""
    listed = []
    check = InFlightCheck(lambda: listed or None)
    assert check.hosts_to_query(0.0) == []
    assert not check.is_empty(9000.0)
    assert "no endpoint list" in check.reason()
    listed.append("h1")
    assert check.hosts_to_query(9000.0) == ["h1"]
    assert not check.is_empty(9000.0)


def test_a_limited_number_of_hosts_is_queried_at_a_time_and_all_in_turn():
    check = InFlightCheck(lambda: [f"h{i}" for i in range(100)])
    queried = []
    for now_ms in range(0, 2500, 10):
        now_queried = check.hosts_to_query(float(now_ms))
        assert len(now_queried) <= MAX_CONCURRENT_QUERIES
        queried += now_queried
    assert len(queried) <= 6 * MAX_CONCURRENT_QUERIES
    assert len(set(queried)) == 100
