"""Loads ahead of requests: their order, their limit, and the breaker that stops a mass release."""

from gateway_with_releases import CANARY, FUNCTION

from cherrydoor.releases.load_queue import LOAD_TIMEOUT_MS
from cherrydoor.releases.messages import (
    LoadEnded,
    OperatorAction,
    OperatorCommand,
    ReleaseState,
    Tick,
)
from cherrydoor.releases.rollback_breaker import OPEN_MS
from cherrydoor.releases.rollouts import MOST_SPLIT
from cherrydoor.routing.messages import AttemptOutcome


def test_rollback_by_the_feed_ends_the_wait_for_the_load(gateway):
    gateway.end(gateway.call())
    gateway.announce()
    assert gateway.loads == [CANARY]
    assert gateway.state() == ReleaseState.LOADING
    gateway.announce(state=ReleaseState.ROLLED_BACK)
    assert gateway.load_queue.under_way == {}
    assert gateway.end_load(CANARY) == []
    assert gateway.call() == FUNCTION


def test_load_that_is_never_answered_does_not_hold_up_the_release(gateway):
    gateway.end(gateway.call())
    gateway.announce()
    gateway.wait(LOAD_TIMEOUT_MS + 1000)
    assert gateway.state() == ReleaseState.CANARY
    assert gateway.load_queue.under_way == {}


def test_mass_release_loads_the_most_called_first_and_slow_loads_halve_the_limit(gateway):
    for i in range(200):
        for _ in range(200 - i):
            gateway.call(f"resize-{i:03d}")
    for i in reversed(range(200)):
        gateway.announce(f"resize-{i:03d}")
    pacer = gateway.load_queue.pacer
    assert len(gateway.loads) == 4
    for _ in range(12):
        gateway.now += 50.0
        for name in list(gateway.load_queue.under_way):
            gateway.end_load(name, took_ms=0.0)
            assert len(gateway.load_queue.under_way) <= pacer.limit
            assert gateway.controller.rollouts.split_functions() <= MOST_SPLIT
        for versions in list(gateway.functions.values()):
            if versions.release.state == ReleaseState.CANARY:
                gateway.take(OperatorCommand(versions.function, OperatorAction.COMPLETE))
    assert pacer.limit > 5
    numbers = [int(name.partition("@")[0].rpartition("-")[2]) for name in gateway.loads[4:]]
    assert numbers == sorted(numbers)
    assert len(numbers) > 30
    limit_before = pacer.limit
    gateway.now += 5000.0
    for name in list(gateway.load_queue.under_way)[:3]:
        gateway.end_load(name, took_ms=0.0)
    assert pacer.limit < limit_before / 4


def fail_canaries(gateway, names):
    """Call the functions in turn, with each canary failing, until the breaker opens."""
    requests = 0
    while requests < 20000 and not gateway.controller.rollouts.rollouts_stopped():
        gateway.now += 5
        requests += 1
        if requests % 100 == 0:
            for name in list(gateway.load_queue.under_way):
                gateway.take(LoadEnded(name, AttemptOutcome.SUCCEEDED, 300.0))
        called = gateway.call(names[requests % 40], f"d{requests}")
        gateway.end(called, AttemptOutcome.ERROR if "@" in called else AttemptOutcome.SUCCEEDED)
        if requests % 100 == 0:
            gateway.take(Tick())


def test_several_rollbacks_together_stop_the_rollouts_that_have_not_begun(gateway):
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
    gateway.wait(OPEN_MS, 10000.0)
    assert not rollouts.rollouts_stopped()
    assert gateway.state(waiting[1]) != ReleaseState.ANNOUNCED
