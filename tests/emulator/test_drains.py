"""Zone drains in virtual time while other faults occur.

The store stops, the drained zone or its neighbour is lost, or many functions are released.
"""

import asyncio

from cherrydoor.emulator import play
from cherrydoor.rehearsal.audit import Audit
from cherrydoor.rehearsal.day import read_day


def day(*troubles, **more):
    """Returns floor-out, shortened, with these faults; its drain starts at 3 s and ends at 28 s."""
    scenario = read_day("floor-out", seed=3)
    default_fault = {
        "lasts": 5000.0,
        "part": 0.2,
        "size": 2.0,
        "gateways": False,
        "silent": False,
        "floor": 0,
        "event": "",
    }
    return (
        scenario
        | {
            "length": 36000.0,
            "warm": 6000.0,
            "gateways": scenario["gateways"] | {"count": 6},
            "clients": scenario["clients"] | {"per_second": 70},
            "troubles": [
                default_fault | {"at": 3000.0, "what": "site-drain", "lasts": 25000.0},
                *(default_fault | trouble for trouble in troubles),
            ],
        }
        | more
    )


def run_scenario(folder, scenario):
    """Returns the audit, its report, and [(s, state, wave)] of the drain as gateways reported it."""
    play.emulate(scenario, folder)
    audit = Audit(folder)
    audit_report = audit.report()
    waves = [
        (round((row["t"] - audit.begun - audit.warm) / 1000, 1), row["fate"], row["number"])
        for row in audit.seen.of("conductor", "site")
    ]
    return audit, audit_report, waves


def attempts_in_zone(audit, since_s, until_s):
    """Returns the number of attempts at hosts of the drained zone between two times."""
    hosts = {
        row["who"] for row in audit.seen.of("host", "host up") if row["text"].startswith("floor-1")
    }
    begun = audit.begun + audit.warm
    return sum(
        1
        for row in audit.seen.of("host", "launch")
        if row["who"] in hosts and begun + 1000 * since_s < row["t"] < begun + 1000 * until_s
    )


def empty_at(waves):
    """Returns the time in seconds at which the zone was first reported empty, or None."""
    return next((at_s for at_s, state, _ in waves if state == "empty"), None)


def test_a_zone_is_empty_by_its_hosts_own_counts_and_serves_again_after_the_drain(tmp_path):
    audit, audit_report, waves = run_scenario(tmp_path, day())
    empty_at_s = empty_at(waves)
    assert audit_report["broken"] == [] and empty_at_s and audit_report["service"]["share"] > 0.99
    assert attempts_in_zone(audit, empty_at_s, 28.0) == 0 < attempts_in_zone(audit, 32.0, 36.0)
    assert [state for _, state, _ in waves][-1] == "over"


def test_a_stopped_store_delays_waves_and_loaded_copies_keep_serving(tmp_path):
    audit, audit_report, waves = run_scenario(
        tmp_path, day({"at": 2500.0, "what": "store-stop", "lasts": 9000.0})
    )
    assert (
        audit_report["broken"] == []
        and 11.5 < empty_at(waves) < 27.0
        and audit_report["service"]["share"] > 0.97
    )


def test_the_drained_zone_is_lost_during_its_drain(tmp_path):
    """The drain must end although the zone's hosts can't report that they are empty.

    Nothing is in flight on lost hosts; their requests are retried in other zones.
    """
    audit, audit_report, waves = run_scenario(
        tmp_path, day({"at": 5500.0, "what": "floor-loss", "lasts": 15000.0})
    )
    assert (
        audit_report["broken"] == [] and empty_at(waves) and audit_report["service"]["share"] > 0.95
    )


def test_a_drain_pauses_while_a_neighbour_zone_is_lost(tmp_path):
    audit, audit_report, waves = run_scenario(
        tmp_path, day({"at": 5500.0, "what": "floor-loss", "lasts": 8000.0, "floor": 1})
    )
    assert audit_report["broken"] == [] and 13.5 < empty_at(waves) < 28.0
    assert not [at_s for at_s, state, _ in waves if state == "moving" and 7.0 < at_s < 13.0], (
        "a wave started while the neighbour was lost"
    )


def test_a_mass_release_during_a_drain_is_preloaded_where_sessions_have_moved(tmp_path):
    scenario = day({"at": 9000.0, "what": "mass-release", "lasts": 8000.0, "part": 0.4})
    audit, audit_report, waves = run_scenario(
        tmp_path, scenario | {"feed": scenario["feed"] | {"gradual": True}}
    )
    empty_at_s = empty_at(waves)
    assert (
        audit_report["broken"] == []
        and empty_at_s < 20.0
        and audit_report["service"]["share"] > 0.97
    )
    assert attempts_in_zone(audit, empty_at_s, 28.0) == 0


class EmulationWithSecondDrain(play.Emulation):
    """The operator drains the zone again as soon as its drain is reported as over."""

    async def do_site(self, site, word):
        await super().do_site(site, word)
        if word == "drain":  # `super().do_site` returns once that drain is over
            await self.ask_gateway({"do": "site", "what": "drain", "site": site, "even": True})
            await asyncio.sleep(6.0)
            answer = await self.ask_gateway({"do": "site", "what": "show", "site": site})
            self.record.add(
                "site", fate=f"then {answer['state']}", text=site, number=answer["number"]
            )


def test_a_drain_requested_right_after_the_previous_one_continues(tmp_path, monkeypatch):
    """The coordinator of the previous drain must not release the lease of the new one.

    It released its lease some time after its drain was over, and with it the lease of the new
    drain, which then stopped.
    """
    monkeypatch.setattr(play, "Emulation", EmulationWithSecondDrain)
    scenario = day()
    scenario["troubles"][0]["lasts"] = 9000.0
    audit, audit_report, waves = run_scenario(tmp_path, scenario)
    assert audit_report["broken"] == [] and waves[-1][1] in (
        "then moving",
        "then emptying",
        "then empty",
    )
