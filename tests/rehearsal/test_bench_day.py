"""Scenarios of the simulator are converted as a whole, or refused with the reason."""

import json

import pytest

from cherrydoor.config import Problems
from cherrydoor.rehearsal.bench_day import FAULT_OF_KIND, bench_day
from cherrydoor.rehearsal.faults import FaultPlan
from cherrydoor.rehearsal.traffic import draw_arrivals


def simulated(faults):
    kind = {
        "cores": 2,
        "slots": 8,
        "queue": 10,
        "cold_from": 0.2,
        "cold": 8_000_000,
        "error_rate": 0.0,
    }
    server = {"kind": 0, "zone": 0, "cell": 0, "speed": 1.0, "up": True}
    return {
        "site": "made-up",
        "kind": "trouble",
        "noise": 5,
        "length": 20_000_000,
        "drain_grace": 1_000_000,
        "fall_multiple": 3.0,
        "fall_for": 2_000_000,
        "zones": ["a", "b"],
        "tiers": [
            {
                "kinds": [kind],
                "report_period": 300_000,
                "report_delay": 50_000,
                "report_noise": 0.1,
                "report_fields": ["util"],
                "report_how": "probe",
                "stated_cold_from": 0.15,
                "stated_cold": 9_000_000,
            }
        ],
        "servers": [server | {"zone": i % 2} for i in range(8)] + [server | {"up": False}],
        "balancers": [{}] * 4,
        "traffic": {"load": 0.5},
        "tenants": [{"name": "t", "traffic": 1.0, "quota": 0.8}],
        "classes": [
            {
                "name": "c",
                "share": 1.0,
                "work": 50_000.0,
                "aim": 700_000,
                "deadline": 2_000_000,
                "effect": "keyed",
                "group": "zone",
                "window": 4_000_000,
                "stream": False,
            }
        ],
        "clients": {
            "retries": 1,
            "backoff_us": 80_000,
            "honour": 0.5,
            "try_share": 0.7,
            "impatient": 0.0,
            "max_retry_after": 1_000_000,
        },
        "discovery": {"notice": 900_000, "silent_notice": 5_000_000, "ask": False},
        "allow": {
            "max_attempts": 4,
            "second_copies": False,
            "cancel": True,
            "probes": True,
            "retry_after": True,
        },
        "fam": {
            "sorts": [{"lanes": 4, "load": 600_000.0, "memory": 500.0}],
            "memory": [6000.0],
            "loads_at_once": 4,
            "keep": 9_000_000,
            "self_load": True,
            "disk": 1.0,
            "load_fail": 0.0,
            "catalog": 0.3,
            "zipf": 1.2,
            "turning": 0.1,
            "spell": 20_000_000,
            "timed": 0.03,
            "fetch_share": 0.7,
            "start_core": 0.3,
            "store_headroom": 3.0,
            "store_takes": 5.0,
            "orders": True,
            "load_free": 0.0,
            "load_share": 0.0,
            "load_window": 5_000_000,
            "stated_keep": 8_000_000,
        },
        "troubles": faults,
    }


def write_scenario(tmp_path, *kinds):
    path = tmp_path / "day.json"
    path.write_text(
        json.dumps(
            simulated(
                [
                    {
                        "kind": kind,
                        "at": 3_000_000,
                        "len": 5_000_000,
                        "size": 0.6,
                        "extra": 2.0,
                        "on": [0, 2, 7],
                        "which": 1,
                        "steps": [{"at": 3_000_000, "stop": [1]}, {"at": 4_000_000, "stop": [5]}],
                    }
                    for kind in kinds
                ]
            )
        )
    )
    return path


def test_every_fault_of_the_simulator_is_converted_and_can_be_played(tmp_path):
    scenario, left_out = bench_day(write_scenario(tmp_path, *FAULT_OF_KIND))
    assert {fault["what"] for fault in scenario["troubles"]} == set(FAULT_OF_KIND.values())
    steps = FaultPlan(scenario).steps
    assert {1, 5} <= {values["host"] for _, step, values in steps if step == "drain"}, (
        "the hosts that the simulator names"
    )
    assert (
        0.8 < len(draw_arrivals(scenario).at_ms) / (scenario["clients"]["per_second"] * 28) < 1.6
        and left_out
    )


def test_scenario_is_scaled_in_size_and_time(tmp_path):
    full_size, _ = bench_day(write_scenario(tmp_path, "crash"))
    half_size, _ = bench_day(write_scenario(tmp_path, "crash"), 0.5, 0.5)
    assert (
        half_size["fleet"]["hosts"] == 4
        and half_size["length"] == 2 * full_size["length"]
        and half_size["grace"] == 2000
    )
    assert half_size["clients"]["per_second"] == pytest.approx(
        full_size["clients"]["per_second"] / 4
    )
    assert half_size["troubles"][0]["on"] == [0, 2]


def test_an_unknown_fault_is_reported_and_an_invalid_file_refused(tmp_path):
    scenario, left_out = bench_day(write_scenario(tmp_path, "earthquake"))
    assert scenario["troubles"] == [] and "trouble earthquake" in left_out
    (tmp_path / "no.json").write_text('{"v": 1}')
    for name in ("no.json", "none.json"):
        with pytest.raises(Problems):
            bench_day(tmp_path / name)
