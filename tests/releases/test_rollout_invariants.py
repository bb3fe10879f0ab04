"""Invariants of the rollout controller after any sequence of messages."""

from gateway_with_releases import START_MS, GatewayWithReleases
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.releases.load_pacing import MAX_CONCURRENT_LOADS
from cherrydoor.releases.messages import (
    OperatorAction,
    OperatorCommand,
    ReleaseState,
    version_name,
)

FUNCTIONS = st.sampled_from(["resize", "rotate"])
VERSIONS = st.integers(1, 4)
STEPS = st.one_of(
    st.tuples(
        st.just("update"),
        FUNCTIONS,
        VERSIONS,
        st.sampled_from([ReleaseState.ANNOUNCED, ReleaseState.ROLLED_BACK, ReleaseState.COMPLETE]),
    ),
    st.tuples(st.just("command"), FUNCTIONS, st.sampled_from(list(OperatorAction))),
    st.tuples(
        st.just("request"),
        FUNCTIONS,
        st.integers(0, 50),
        st.sampled_from(["handled", "error", "lost", "full"]),
    ),
    st.tuples(st.just("load"), FUNCTIONS, VERSIONS, st.sampled_from(["handled", "error"])),
    st.tuples(st.just("wait"), st.integers(1, 60)),
)


def apply_step(gateway, step):
    match step:
        case ("update", function, version, state):
            gateway.announce(function, version, state)
        case ("command", function, action):
            gateway.take(OperatorCommand(function, action))
        case ("request", function, number, outcome):
            gateway.end(gateway.call(function, f"d{number}"), outcome, 50.0)
        case ("load", function, version, outcome):
            gateway.end_load(version_name(function, version), outcome)
        case ("wait", seconds):
            gateway.wait(seconds * 1000, 1000.0)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=60))
def test_requests_call_the_version_in_service_or_its_canary_and_never_one_rolled_back(steps):
    gateway = GatewayWithReleases()
    for step in steps:
        apply_step(gateway, step)
        for function, versions in gateway.functions.items():
            called = {gateway.call(function, f"d{i}") for i in range(8)}
            allowed = {version_name(function, versions.version)}
            if versions.release and versions.release.state == ReleaseState.CANARY:
                allowed.add(versions.release.name)
            assert called <= allowed
            assert versions.version not in versions.rolled_back
        assert len(gateway.load_queue.in_flight) <= MAX_CONCURRENT_LOADS
        assert gateway.now >= START_MS
    restarted = GatewayWithReleases()
    restarted.controller.restore(gateway.controller.stored())
    assert restarted.controller.stored() == gateway.controller.stored()
