"""Evidence: confidence bounds, counts reported by hosts, error rates over seeded releases."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.releases import Fleet
from cherrydoor.releases.evidence import VersionEvidence
from cherrydoor.releases.messages import AttemptEnded, ReleaseState
from cherrydoor.releases.sequential_analysis import FailureCount, confidence_bounds, is_worse
from cherrydoor.routing.messages import AttemptOutcome


def test_counts_of_a_restarted_host_are_added_and_an_outdated_report_is_ignored():
    evidence = VersionEvidence()
    for tally in ((10, 1, 0), (12, 2, 0), (11, 1, 0), (1, 0, 0), (3, 1, 0)):
        evidence.add(
            AttemptEnded("resize@1", "h", AttemptOutcome.SUCCEEDED, 10.0, tally=tally), 100.0
        )
    assert evidence.reported_errors.total == 3 + 3
    assert evidence.reported_errors.failures == 1 + 1


def test_few_good_versions_are_rolled_back():
    fleets = [
        Fleet(seed, 4, 20.0, baseline_failure_rate=0.02, canary_failure_rate=0.02)
        for seed in range(16)
    ]
    rolled_back = sum(ReleaseState.ROLLED_BACK in fleet.run(200).states for fleet in fleets)
    assert rolled_back <= 1


def test_few_bad_versions_are_completed():
    fleets = [Fleet(seed, 4, 20.0, canary_failure_rate=0.1) for seed in range(16)]
    completed = sum(ReleaseState.COMPLETE in fleet.run(200).states for fleet in fleets)
    assert completed <= 1


def test_all_gateways_reach_the_same_verdict_and_earlier_if_hosts_report_counts():
    with_tallies = Fleet(3, gateways=20, requests_per_second=10.0, canary_failure_rate=0.1).run()
    assert set(with_tallies.states) == {ReleaseState.ROLLED_BACK}
    assert with_tallies.took_s < 300
    without_tallies = Fleet(
        3, gateways=20, requests_per_second=10.0, canary_failure_rate=0.1, host_tallies=False
    ).run()
    assert without_tallies.took_s > 1.3 * with_tallies.took_s
    assert without_tallies.harmed > with_tallies.harmed


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 400), st.integers(0, 400), st.sampled_from([0.3, 0.05, 0.01]))
def test_bounds_contain_the_observed_rate_and_widen_with_confidence(failures, successes, alpha):
    total = failures + successes
    low, high = confidence_bounds(failures, successes, alpha)
    assert 0 <= low <= (failures / total if total else 0.5) <= high <= 1
    wider_low, wider_high = confidence_bounds(failures, successes, alpha / 10)
    assert wider_low <= low + 1e-9
    assert wider_high >= high - 1e-9
    count = FailureCount(failures, total)
    assert not is_worse(count, count, alpha, 0.0)
