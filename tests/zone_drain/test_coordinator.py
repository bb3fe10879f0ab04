"""The coordinator: when it announces the next wave, and how a successor continues a drain."""

from coordinator_trial import GROUPS, CoordinatorTrial

from cherrydoor.protocol.zone_drain import DrainState, DrainWave
from cherrydoor.zone_drain.preload_tracker import MAX_ORDERS, ORDER_TIMEOUT_MS
from cherrydoor.zone_drain.session_groups import SessionGroup
from cherrydoor.zone_drain.wave_observation import CONFIRMATION_TIMEOUT_MS


def after_first_wave():
    trial = CoordinatorTrial()
    trial.now_ms = 10.0
    trial.load_copy("iron", "h3")
    return trial


def test_a_wave_is_announced_when_its_copies_are_loaded_and_the_next_when_all_confirm():
    trial = CoordinatorTrial()
    assert trial.wave is None
    assert trial.preloads == ["iron"]
    trial.now_ms = 10.0
    trial.load_copy("iron", "h3")
    assert trial.wave.wave == 1
    assert ("iron", "h3") in [(one.function, one.host) for one in trial.wave.ready_copies]
    trial.later(1990.0)
    trial.confirm(["a"])
    assert trial.wave.wave == 1, "b has not confirmed"
    assert trial.state == "moving"
    trial.confirm(["b"])
    assert trial.wave.wave == 2
    assert trial.shares["gold"] == 1.0


def test_a_wave_waits_for_an_unconfirming_gateway_until_a_timeout():
    trial = after_first_wave()
    trial.now_ms = 100.0
    trial.confirm(["a"])
    assert not trial.later(CONFIRMATION_TIMEOUT_MS - 200.0)
    assert trial.later(300.0)
    assert trial.wave.wave == 2


def test_a_lost_load_order_is_repeated_and_a_function_that_never_loads_delays_no_other():
    trial = CoordinatorTrial([*GROUPS, SessionGroup("zinc", 20.0, 4.0)])
    assert trial.preloads == ["zinc"], "the first wave is gold and a part of zinc"
    for _ in range(MAX_ORDERS - 1):
        trial.later(ORDER_TIMEOUT_MS + 1)
        assert trial.preloads == ["zinc"]
        assert trial.wave is None
    trial.later(ORDER_TIMEOUT_MS + 1)
    assert list(trial.shares) == ["gold"]
    assert "zinc" in trial.reason
    while not trial.coordinator.progress.is_at_last_wave or trial.state != "copies":
        trial.load_copy("iron", "h3")
        trial.confirm_repeatedly(1)
    assert "zinc" not in trial.shares
    assert "zinc" in trial.coordinator.preloads.pending
    trial.load_copy("zinc", "h4")
    assert trial.shares["zinc"] == 1.0


def test_a_failing_store_pauses_the_drain_and_an_operator_may_continue_without_copies():
    trial = CoordinatorTrial([SessionGroup("iron", 20.0), SessionGroup("tin", 20.0)])
    trial.confirm_repeatedly(40)
    assert trial.state == "held"
    assert "no copy of" in trial.reason
    assert not trial.wave.moved_shares
    trial.command("resume")
    trial.confirm_repeatedly(20)
    assert trial.state == "empty"
    assert set(trial.shares) == {"iron", "tin"}


def test_the_next_coordinator_continues_from_the_highest_wave_that_any_gateway_has():
    last = after_first_wave().wave
    successor = CoordinatorTrial(last=last, token=2)
    assert successor.coordinator.record.wave > last.wave
    assert successor.coordinator.progress.reached == 2
    shares = {one.function: one.share for one in last.moved_shares}
    successor.confirm_repeatedly(1)
    assert all(successor.shares.get(function, 0) >= share for function, share in shares.items())


def test_the_next_coordinator_of_an_empty_zone_moves_no_sessions_back_to_it():
    last = DrainWave("s", 2, 9, "a", DrainState.EMPTY, after_first_wave().wave.moved_shares)
    groups = [*GROUPS, SessionGroup("new", 30.0, 9.0)]
    successor = CoordinatorTrial(groups, last=last, token=3)
    assert successor.wave.state == "emptying"


def test_undo_rolls_waves_back_in_reverse_order():
    trial = after_first_wave()
    trial.confirm_repeatedly(6)
    assert trial.state == "empty"
    moved = set(trial.shares)
    seen = []
    trial.command("undo")
    for _ in range(8):
        seen.append(set(trial.shares))
        trial.confirm_repeatedly(1)
    assert seen[0] < moved
    assert trial.wave.state == "over"
    assert trial.wave.moved_shares == []
    assert all(after <= before for before, after in zip(seen, seen[1:], strict=False))


def test_a_pause_stays_in_force_under_the_next_coordinator_until_an_operator_resumes():
    trial = CoordinatorTrial()
    trial.now_ms = 1.0
    trial.command("hold")
    assert trial.wave.state == "held"
    assert not trial.later(59999.0)
    successor = CoordinatorTrial(last=trial.wave, token=2)
    assert successor.wave.state == "held"
    assert successor.wave.reason == "paused by an operator"
    assert not successor.later(60000.0)
    for paused in (trial, successor):
        paused.command("resume")
        assert paused.preloads == ["iron"]
