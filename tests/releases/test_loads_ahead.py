"""Preloads: their order and concurrency limit, and the breaker that stops a mass release."""

from gateway_with_releases import CANARY, FUNCTION

from cherrydoor.releases.load_queue import LOAD_TIMEOUT_MS
from cherrydoor.releases.messages import (
    LoadEnded,
    OperatorAction,
    OperatorCommand,
    ReleaseState,
    Tick,
)
from cherrydoor.releases.rollback_breaker import OPEN_DURATION_MS
from cherrydoor.releases.rollouts import MAX_SPLIT_FUNCTIONS
from cherrydoor.routing.messages import AttemptOutcome


def test_rollback_by_the_feed_cancels_the_load_in_flight(gateway):
    gateway.end(gateway.call())
    gateway.announce()
    assert gateway.loads == [CANARY]
    assert gateway.state() == ReleaseState.LOADING
    gateway.announce(state=ReleaseState.ROLLED_BACK)
    assert gateway.load_queue.in_flight == {}
    assert gateway.end_load(CANARY) == []
    assert gateway.call() == FUNCTION


def test_load_that_is_never_answered_does_not_block_the_release(gateway):
    gateway.end(gateway.call())
    gateway.announce()
    gateway.wait(LOAD_TIMEOUT_MS + 1000)
    assert gateway.state() == ReleaseState.CANARY
    assert gateway.load_queue.in_flight == {}


def test_mass_release_loads_the_most_called_functions_first_and_slow_loads_halve_the_limit(gateway):
    for i in range(200):
        for _ in range(200 - i):
            gateway.call(f"resize-{i:03d}")
    for i in reversed(range(200)):
        gateway.announce(f"resize-{i:03d}")
    pacer = gateway.load_queue.pacer
    assert len(gateway.loads) == 4
    for _ in range(12):
        gateway.now += 50.0
        for name in list(gateway.load_queue.in_flight):
            gateway.end_load(name, took_ms=0.0)
            assert len(gateway.load_queue.in_flight) <= pacer.limit
            assert gateway.controller.rollouts.split_functions() <= MAX_SPLIT_FUNCTIONS
        for versions in list(gateway.functions.values()):
            if versions.release.state == ReleaseState.CANARY:
                gateway.take(OperatorCommand(versions.function, OperatorAction.COMPLETE))
    assert pacer.limit > 5
    numbers = [int(name.partition("@")[0].rpartition("-")[2]) for name in gateway.loads[4:]]
    assert numbers == sorted(numbers)
    assert len(numbers) > 30
    limit_before = pacer.limit
    gateway.now += 5000.0
    for name in list(gateway.load_queue.in_flight)[:3]:
        gateway.end_load(name, took_ms=0.0)
    assert pacer.limit < limit_before / 4


def fail_canaries(gateway, names):
    """Call the functions in turn, failing each request to a canary, until the breaker opens."""
    requests = 0
    while requests < 20000 and not gateway.controller.rollouts.rollouts_stopped():
        gateway.now += 5
        requests += 1
        if requests % 100 == 0:
            for name in list(gateway.load_queue.in_flight):
                gateway.take(LoadEnded(name, AttemptOutcome.SUCCEEDED, 300.0))
        called = gateway.call(names[requests % 40], f"d{requests}")
        gateway.end(called, AttemptOutcome.ERROR if "@" in called else AttemptOutcome.SUCCEEDED)
        if requests % 100 == 0:
            gateway.take(Tick())


def test_several_rollbacks_in_a_short_time_stop_the_rollouts_that_have_not_started(gateway):
    names = [f"resize-{i:02d}" for i in range(40)]
    for name in names:
        for i in range(20):
            gateway.end(gateway.call(name, f"w{i}"), took_ms=50.0)
    for name in names:
        gateway.announce(name)
    fail_canaries(gateway, names)
    rollouts = gateway.controller.rollouts
    waiting = [name for name in names if gateway.state(name) == ReleaseState.ANNOUNCED]
    assert rollouts.rollouts_stopped()
    assert waiting
    assert ("", 0, "held off") in [
        (change.function, change.version, change.state) for change in gateway.changes
    ]
    gateway.wait(60000, 5000.0)
    for name in waiting:
        assert gateway.state(name) == ReleaseState.ANNOUNCED
        assert gateway.call(name) == name
    gateway.take(OperatorCommand(waiting[0], OperatorAction.COMPLETE))
    assert gateway.call(waiting[0]) == f"{waiting[0]}@1"
    gateway.wait(OPEN_DURATION_MS, 10000.0)
    assert not rollouts.rollouts_stopped()
    assert gateway.state(waiting[1]) != ReleaseState.ANNOUNCED
