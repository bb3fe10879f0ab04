"""Short soaks with fixed seeds: discovery outages, drains, restarts and series of signals.

Longer series are started by hand: ``make soak SEED=1 RUNS=50``.
"""

import pytest

from cherrydoor.rehearsal.soak.command import play_seed

SEEDS = (4, 5, 12)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_violated_in_a_soak(seed, tmp_path):
    report = play_seed(seed, tmp_path)
    assert not report["breaks"], report
