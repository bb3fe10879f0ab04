"""Takeovers in virtual time: seeded histories of the daemon's own text, in seconds, judged as
rehearsals are.
"""

from cherrydoor.emulator.play import emulate
from cherrydoor.rehearsal.audit import audit
from cherrydoor.rehearsal.day import read_day


def play(folder, seed):
    day = read_day("heirs", seed=seed)
    # no keeper among them, and never one with both of its witnesses: what is then lost is told and not judged
    day |= {
        "length": 12000.0,
        "warm": 2000.0,
        "troubles": [
            {
                "at": 1500.0,
                "what": "gateway-crash",
                "lasts": 2500.0,
                "part": 0.2,
                "size": 1.0,
                "on": [3, 6],
            },
            {
                "at": 4000.0,
                "what": "gateway-stall",
                "lasts": 2500.0,
                "part": 0.2,
                "size": 1.0,
                "on": [4, 5],
            },
            {"at": 5000.0, "what": "crash", "lasts": 3000.0, "part": 0.2, "size": 1.0},
            {
                "at": 7500.0,
                "what": "gateway-crash",
                "lasts": 2500.0,
                "part": 0.4,
                "size": 1.0,
                "on": [5, 7],
            },
        ],
    }
    emulate(day, folder)
    return audit(folder)


def test_gateways_killed_and_stopped_under_load_break_no_rule_and_their_work_is_answered(tmp_path):
    """Seed 1 had an effect twice: a host went by the number of a later life that was declared over first."""
    for seed in (1, 2):
        found = play(tmp_path / str(seed), seed)
        over = found["taken over"]
        assert found["broken"] == [] and over["cut off"] > 3 and over["lives over"] >= 3
        assert over.get("no answer", 0) == 0
