"""Short soaks with fixed seeds: discovery out of reach, drains, restarts, signals in series.

The long run is started by hand: ``make soak SEED=1 RUNS=50``.
"""

import pytest

from cherrydoor.rehearsal.soak.command import play_seed

SEEDS = (4, 5, 12)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_in_a_soak(seed, tmp_path):
    found = play_seed(seed, tmp_path)
    assert not found["breaks"], found
