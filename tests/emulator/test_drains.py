"""A site's drain in virtual time while pieces break: a store that stops, a site's own loss, a
mass release.
"""

import asyncio

from cherrydoor.emulator import play
from cherrydoor.rehearsal.audit import Audit
from cherrydoor.rehearsal.day import read_day


def day(*troubles, **more):
    """floor-out, shorter; the drain begins at 3 s of it and is undone at 28 s."""
    said = read_day("floor-out", seed=3)
    one = {
        "lasts": 5000.0,
        "part": 0.2,
        "size": 2.0,
        "gateways": False,
        "silent": False,
        "floor": 0,
        "event": "",
    }
    return (
        said
        | {
            "length": 36000.0,
            "warm": 6000.0,
            "gateways": said["gateways"] | {"count": 6},
            "clients": said["clients"] | {"per_second": 70},
            "troubles": [
                one | {"at": 3000.0, "what": "site-drain", "lasts": 25000.0},
                *(one | trouble for trouble in troubles),
            ],
        }
        | more
    )


def played(folder, said):
    """(the judge, its report, [(s, state, wave)] of the drain as gateways told it)."""
    play.emulate(said, folder)
    judge = Audit(folder)
    found = judge.report()
    waves = [
        (round((row["t"] - judge.begun - judge.warm) / 1000, 1), row["fate"], row["number"])
        for row in judge.seen.of("conductor", "site")
    ]
    return judge, found, waves


def at_site(judge, since, until):
    """Launches at hosts of the drained site between two moments of the day, in s."""
    hosts = {
        row["who"] for row in judge.seen.of("host", "host up") if row["text"].startswith("floor-1")
    }
    begun = judge.begun + judge.warm
    return sum(
        1
        for row in judge.seen.of("host", "launch")
        if row["who"] in hosts and begun + 1000 * since < row["t"] < begun + 1000 * until
    )


def empties(waves):
    return next((at for at, state, _ in waves if state == "empty"), None)


def test_a_site_is_emptied_by_its_hosts_own_count_and_given_back(tmp_path):
    judge, found, waves = played(tmp_path, day())
    at = empties(waves)
    assert found["broken"] == [] and at and found["service"]["share"] > 0.99
    assert at_site(judge, at, 28.0) == 0 < at_site(judge, 32.0, 36.0)
    assert [state for _, state, _ in waves][-1] == "over"


def test_a_store_that_stops_holds_waves_up_and_what_stands_goes_on(tmp_path):
    judge, found, waves = played(
        tmp_path, day({"at": 2500.0, "what": "store-stop", "lasts": 9000.0})
    )
    assert (
        found["broken"] == [] and 11.5 < empties(waves) < 27.0 and found["service"]["share"] > 0.97
    )


def test_the_site_that_is_drained_dies_in_the_middle(tmp_path):
    """Its hosts are gone, and with them what kept it from being empty; what they had in hand is launched elsewhere."""
    judge, found, waves = played(
        tmp_path, day({"at": 5500.0, "what": "floor-loss", "lasts": 15000.0})
    )
    assert found["broken"] == [] and empties(waves) and found["service"]["share"] > 0.95


def test_a_neighbour_lost_in_the_middle_is_waited_for(tmp_path):
    judge, found, waves = played(
        tmp_path, day({"at": 5500.0, "what": "floor-loss", "lasts": 8000.0, "floor": 1})
    )
    assert found["broken"] == [] and 13.5 < empties(waves) < 28.0
    assert not [at for at, state, _ in waves if state == "moving" and 7.0 < at < 13.0], (
        "no wave went out meanwhile"
    )


def test_a_mass_release_meanwhile_is_loaded_ahead_where_sessions_have_moved(tmp_path):
    said = day({"at": 9000.0, "what": "mass-release", "lasts": 8000.0, "part": 0.4})
    judge, found, waves = played(tmp_path, said | {"feed": said["feed"] | {"gradual": True}})
    at = empties(waves)
    assert found["broken"] == [] and at < 20.0 and found["service"]["share"] > 0.97
    assert at_site(judge, at, 28.0) == 0


class Again(play.Emulation):
    """An operator who drains the site anew as soon as it is said to be given back."""

    async def do_site(self, site, word):
        await super().do_site(site, word)
        if word == "drain":  # that one is over now
            await self.ask_gateway({"do": "site", "what": "drain", "site": site, "even": True})
            await asyncio.sleep(6.0)
            said = await self.ask_gateway({"do": "site", "what": "show", "site": site})
            self.record.add("site", fate=f"then {said['state']}", text=site, number=said["number"])


def test_a_drain_asked_for_as_soon_as_the_last_is_over_goes_on(tmp_path, monkeypatch):
    """Seen on reading: who had conducted the last one let go of its tenure later, and of the new one with it."""
    monkeypatch.setattr(play, "Emulation", Again)
    said = day()
    said["troubles"][0]["lasts"] = 9000.0
    judge, found, waves = played(tmp_path, said)
    assert found["broken"] == [] and waves[-1][1] in ("then moving", "then emptying", "then empty")
