"""Decisions about rollouts: one test for each course that a release can take."""

import pytest
from gateway_with_releases import CANARY, FUNCTION, GatewayWithReleases

from cherrydoor.releases.messages import OperatorAction, OperatorCommand, ReleaseState
from cherrydoor.releases.release import STEP_TIMEOUT_MS, TRAFFIC_SHARES, UNCALLED_TIMEOUT_MS
from cherrydoor.releases.rollouts import MAX_LOAD_FAILURES
from cherrydoor.routing.messages import AttemptOutcome

ERROR = AttemptOutcome.ERROR
LOST = AttemptOutcome.CONNECTION_LOST
SUCCEEDED = AttemptOutcome.SUCCEEDED


def test_traffic_shares_nest_by_step_and_are_the_same_at_all_gateways(gateway):
    other = GatewayWithReleases()
    affinity_keys = [f"d{i}" for i in range(400)]
    assert gateway.start_canary() == ReleaseState.CANARY
    assert other.start_canary() == ReleaseState.CANARY
    before = set()
    for step, share in enumerate(TRAFFIC_SHARES):
        gateway.release().step = step
        other.release().step = step
        reached = {key for key in affinity_keys if gateway.call(FUNCTION, key) == CANARY}
        assert reached >= before
        assert abs(len(reached) / 400 - share) < 0.07
        assert reached == {key for key in affinity_keys if other.call(FUNCTION, key) == CANARY}
        before = reached


def test_good_version_passes_all_steps_and_the_old_one_is_unloaded_only_at_the_end(gateway):
    gateway.start_canary()
    for i in range(2000):
        gateway.now += 100
        gateway.end(gateway.call(FUNCTION, f"d{i}"))
    assert gateway.state() == ReleaseState.COMPLETE
    assert gateway.call(FUNCTION, "x") == CANARY
    assert [change.state for change in gateway.changes] == [
        "announced",
        "loading",
        "trial, 20%",
        "trial, 40%",
        "trial, 70%",
        "trial, 90%",
        "complete",
    ]
    assert gateway.unloads == [(FUNCTION, ("h",))]
    assert gateway.changes[-1].reason == "proved"


def test_failing_version_is_rolled_back_and_its_copies_are_unloaded(gateway):
    gateway.start_canary()
    calls = 0
    while gateway.state() == ReleaseState.CANARY:
        gateway.now += 100
        name = gateway.call(FUNCTION, f"d{calls}")
        calls += 1
        gateway.end(name, ERROR if name == CANARY and calls % 2 else SUCCEEDED)
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert "errors" in gateway.changes[-1].reason
    assert gateway.call(FUNCTION, "d1") == FUNCTION
    assert gateway.unloads == [(CANARY, ("h",))]
    assert gateway.controller.version_for_retry(CANARY) == FUNCTION


@pytest.mark.parametrize(
    "fault", [{"outcome": ERROR}, {"outcome": LOST}, {"took_ms": 900.0}], ids=str
)
def test_fault_that_affects_both_versions_is_not_attributed_to_the_canary(gateway, fault):
    gateway.start_canary()
    for i in range(600):
        gateway.now += 100
        gateway.end(gateway.call(FUNCTION, f"d{i}"), **(fault if i % 3 == 0 else {}))
    assert gateway.state() in (ReleaseState.CANARY, ReleaseState.COMPLETE)


def test_fault_that_begins_at_a_late_step_is_not_compared_with_the_fault_free_first_step(gateway):
    gateway.start_canary()
    i = 0
    while gateway.state() == ReleaseState.CANARY and i < 4000:
        gateway.now += 20
        i += 1
        late = gateway.release().step >= 2
        gateway.end(gateway.call(FUNCTION, f"d{i}"), ERROR if late and i % 4 == 0 else SUCCEEDED)
    assert gateway.state() != ReleaseState.ROLLED_BACK
    assert gateway.release().step >= 2


def test_slow_version_is_rolled_back_and_its_cold_starts_do_not_count(gateway):
    gateway.start_canary()
    for i in range(100):
        gateway.now += 100
        name = gateway.call(FUNCTION, f"d{i}")
        gateway.end(name, took_ms=900.0 if name == CANARY else 50.0, cold=name == CANARY)
    assert gateway.state() == ReleaseState.CANARY
    assert gateway.changes[-1].state != "withdrawn"
    for i in range(600):
        gateway.now += 100
        name = gateway.call(FUNCTION, f"e{i}")
        gateway.end(name, took_ms=120.0 if name == CANARY else 40.0 + i % 20)
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert gateway.changes[-1].reason == "worse in slow"


def test_version_that_fails_for_only_one_tenant_is_rolled_back(gateway):
    gateway.start_canary()
    for i in range(4000):
        gateway.now += 20
        name = gateway.call(FUNCTION, f"d{i}")
        tenant = "meadow" if i % 25 == 0 else "harbour"
        failed = name == CANARY and tenant == "meadow"
        gateway.end(name, ERROR if failed else SUCCEEDED, tenant=tenant)
        if gateway.state() == ReleaseState.ROLLED_BACK:
            break
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert i < 3000


def test_version_that_crashes_its_hosts_is_rolled_back(gateway):
    gateway.start_canary()
    for i in range(1500):
        gateway.now += 100
        name = gateway.call(FUNCTION, f"d{i}")
        gateway.end(name, LOST if name == CANARY and i % 4 == 0 else SUCCEEDED)
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert gateway.changes[-1].reason == "worse in lost"


def test_version_that_does_not_load_is_rolled_back(gateway):
    gateway.end(gateway.call())
    gateway.announce()
    for _ in range(MAX_LOAD_FAILURES):
        gateway.end_load(CANARY, ERROR)
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert gateway.changes[-1].reason == "it does not load"


def test_repeated_and_late_announcements_are_ignored(gateway):
    gateway.start_canary(version=3)
    count = len(gateway.changes)
    gateway.announce(version=3)
    gateway.announce(version=2)
    assert len(gateway.changes) == count
    assert gateway.state() == ReleaseState.CANARY


def test_newer_version_supersedes_the_canary_and_falls_back_to_the_version_in_service(gateway):
    gateway.start_canary(version=3)
    count = len(gateway.changes)
    gateway.announce(version=4)
    superseded = gateway.changes[count]
    assert (superseded.function, superseded.version, superseded.state) == (
        FUNCTION,
        3,
        ReleaseState.SUPERSEDED,
    )
    assert (gateway.release().version, gateway.release().fallback_version) == (4, 0)


def test_version_rolled_back_by_the_feed_is_not_restored_by_a_late_update(gateway):
    gateway.start_canary(version=3)
    gateway.announce(version=4)
    gateway.announce(version=4, state=ReleaseState.ROLLED_BACK)
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert gateway.call() == FUNCTION
    gateway.announce(version=4, state=ReleaseState.COMPLETE)
    assert gateway.call() == FUNCTION
    gateway.announce(version=5, state=ReleaseState.COMPLETE)
    assert gateway.call() == "resize@5"


def test_release_of_a_function_that_is_not_called_completes_after_a_timeout(gateway):
    gateway.announce("rare", 1)
    assert gateway.loads == []
    assert gateway.call("seldom") == "seldom"
    assert gateway.state("rare") == ReleaseState.ANNOUNCED
    gateway.announce("seldom", 1)
    gateway.wait(1000)
    assert gateway.loads == ["seldom@1"]
    assert gateway.call("seldom") == "seldom", "the previous version serves while the new one loads"
    gateway.wait(2 * UNCALLED_TIMEOUT_MS + 2000)
    assert gateway.state("rare") == ReleaseState.COMPLETE
    assert "seldom called" in gateway.changes[-1].reason
    assert gateway.call("rare") == "rare@1"


def test_operator_pauses_resumes_and_rolls_back_a_complete_release(gateway):
    gateway.start_canary()
    gateway.take(OperatorCommand(FUNCTION, OperatorAction.PAUSE))
    gateway.wait(5 * STEP_TIMEOUT_MS, 5000.0)
    assert gateway.state() == ReleaseState.CANARY
    assert gateway.release().step == 0
    gateway.take(OperatorCommand(FUNCTION, OperatorAction.RESUME))
    gateway.wait(4 * STEP_TIMEOUT_MS + 10000, 5000.0)
    assert gateway.state() == ReleaseState.COMPLETE
    gateway.take(OperatorCommand(FUNCTION, OperatorAction.ROLL_BACK))
    assert gateway.state() == ReleaseState.ROLLED_BACK
    assert gateway.call() == FUNCTION


def test_restored_controller_continues_where_the_stored_one_stopped(gateway):
    gateway.start_canary()
    for i in range(150):
        gateway.now += 100
        gateway.end(gateway.call(FUNCTION, f"d{i}"))
    gateway.start_canary("rotate", 2)
    gateway.announce("crop", 7, ReleaseState.COMPLETE)
    stored = gateway.controller.stored()
    restarted = GatewayWithReleases()
    restarted.controller.restore(stored)
    assert restarted.state() == ReleaseState.CANARY
    for affinity_key in ("a", "b", "c", "d", "e"):
        assert restarted.call(FUNCTION, affinity_key) == gateway.call(FUNCTION, affinity_key)
    assert restarted.call("crop") == "crop@7"
    assert restarted.controller.stored() == stored
