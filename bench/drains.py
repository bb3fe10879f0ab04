"""Drains a zone in four ways, at three loads, emulated.

Run ``python -m bench.drains [GATEWAYS [LOAD,... [SEED,...]]]``. With a fourth argument,
"sockets", the scenario is rehearsed on sockets, with the ways hard and priority only: the daemon
has no others.

- hard: the zone's hosts are set to drain in the endpoint list at once, without a coordinated drain.
- at once: one wave; its copies are loaded first.
- random: waves in the order of a hash.
- priority: waves in the daemon's order, by priority weight.

A load is a share of the capacity of the remaining hosts. With the same seed, all ways have the same
requests and functions. Prints one line for each run: the share of the priority weight that was
lost; the share of requests in time before the drain and in its worst ten seconds; the number of
loads; the most concurrent fetches from the store (its limit is 10); the seconds until gateways
report the zone as empty; and the share of late requests among those with the highest weight.
"""

import json
import sys
import tempfile
from contextlib import contextmanager
from pathlib import Path
from zlib import crc32

from cherrydoor.cli import logs
from cherrydoor.emulator.play import emulate
from cherrydoor.rehearsal.audit import Audit
from cherrydoor.rehearsal.day import read_day
from cherrydoor.rehearsal.scenario_runner import rehearse
from cherrydoor.zone_drain import reported_loads, session_groups, wave_plan

DRAIN_AT_S = 8
SCENARIO_LENGTH_S = 44
WORST_WINDOW_S = 10
HOST_CAPACITY_PER_S = 40.0  # requests per second: two cores, 50 ms of work each
UNLIMITED_COPIES = 10**9  # so that one wave holds all copies
WAYS = ("priority", "hard", "at once", "random")
WAYS_ON_SOCKETS = ("priority", "hard")
SCENARIO = """
name: "drains"
length: %(length)ds
warm: 8s
spare: 100ms
events: [
  {name: "sign-off", share: 1, target: 800ms, max_age: 3s, benefit: 10}
  {name: "field-update", share: 1, target: 800ms, max_age: 3s, benefit: 4}
  {name: "archive", share: 2, target: 800ms, max_age: 3s, benefit: 1}
]
fleet: {hosts: %(hosts)d, tells_held: true}
cold: {}
functions: {count: %(functions)d, work: [30, 70], load: [150, 350], typed: true, turning: 0}
clients: {per_second: %(rate)d, documents: %(documents)d}
gateways: {count: %(gateways)d}
fellows: {keepers: 3, silent: 2s}
store: {}
list: {notice: [0.05, 0.3]}
may: {}
ration: {}
troubles: [{at: %(drain)ds, what: "site-drain", lasts: %(lasts)ds, floor: 0, size: %(size)g}]
"""


def hash_order(group):
    """Returns a position in the move order that does not depend on priority."""
    return crc32(group.function.encode())


def plan_one_wave(groups, capacity_per_s, wave_share=1.0):
    """Returns a plan with everything in one wave; ignores `wave_share`."""
    return wave_plan.plan_waves(groups, capacity_per_s, 1.0, UNLIMITED_COPIES)


@contextmanager
def planned(way):
    """Replaces the planning of drains by that of the given way inside the context."""
    daemon_plan_waves = reported_loads.plan_waves
    daemon_move_order = session_groups.move_order
    try:
        if way == "at once":
            reported_loads.plan_waves = plan_one_wave
        elif way == "random":
            session_groups.move_order = hash_order
        yield
    finally:
        reported_loads.plan_waves = daemon_plan_waves
        session_groups.move_order = daemon_move_order


def host_count(gateways):
    """Returns the size of the host pool for this number of gateways."""
    if gateways <= 8:
        return 12
    return 24 if gateways <= 50 else 48


def scenario_text(gateways, way, load):
    """Returns the scenario of one drain."""
    hosts = host_count(gateways)
    return SCENARIO % {
        "length": SCENARIO_LENGTH_S,
        "hosts": hosts,
        "functions": 4 * hosts,
        "rate": load * HOST_CAPACITY_PER_S * hosts * 2 / 3,
        "documents": 2 * hosts,
        "gateways": gateways,
        "drain": DRAIN_AT_S,
        "lasts": SCENARIO_LENGTH_S - DRAIN_AT_S,
        "size": 0.5 if way == "hard" else 2,
    }


def run_drain(gateways, way, load, seed, on_sockets=False):
    """Runs one drain and returns its figures."""
    with planned(way), tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "drains.day"
        path.write_text(scenario_text(gateways, way, load))
        run = rehearse if on_sockets else emulate
        run(read_day(path, seed=seed), Path(folder) / "out")
        return figures(Audit(Path(folder) / "out"))


def share_in_time(line, first_s, end_s):
    """Returns the share in time of the requests that were due in those seconds."""
    due = sum(line["due"][first_s:end_s])
    return sum(line["in time"][first_s:end_s]) / due if due else 1.0


def store_peak(audit, since_ms):
    """Returns the largest number of concurrent fetches from the store since then."""
    fetches = audit.seen.of("store", "fetch")
    return int(max((row["a"] for row in fetches if row["t"] >= since_ms), default=0))


def figures(audit):
    """Returns the figures that are printed of one drain."""
    report = audit.report()
    line = report["line"]
    warm_up_s = int(audit.warm / 1000)
    drain_at_s = warm_up_s + DRAIN_AT_S
    drain_at_ms = audit.begun + audit.warm + 1000 * DRAIN_AT_S
    drain_rows = list(audit.seen.of("conductor", "site"))
    empty_at_ms = next((row["t"] for row in drain_rows if row["fate"] == "empty"), None)
    empty_s = None if empty_at_ms is None else round((empty_at_ms - drain_at_ms) / 1000, 1)
    weight = report["service"]["benefit"]
    last_window = warm_up_s + SCENARIO_LENGTH_S - WORST_WINDOW_S + 1
    worst = min(
        share_in_time(line, second, second + WORST_WINDOW_S)
        for second in range(drain_at_s, last_window)
    )
    return {
        "benefit lost": round(weight["lost"] / weight["due"], 4),
        "before": round(share_in_time(line, warm_up_s, drain_at_s), 4),
        "worst 10 s": round(worst, 4),
        "loads": report["loads"],
        "store peak": store_peak(audit, audit.begun + 1000 * drain_at_s),
        "empty s": empty_s,
        "top quarter late": round(weight["lost of"]["sign-off"], 4),
        "said": next((row["function"] for row in drain_rows if row["function"]), ""),
        "broken": len(report["broken"]),
    }


def main(gateways=50, loads="0.5,0.7,0.9", seeds="1,2", sockets=""):
    """Runs each way at each load and seed, and prints one line for each run."""
    logs.set_up("error")
    for load in map(float, loads.split(",")):
        for way in WAYS_ON_SOCKETS if sockets else WAYS:
            for seed in map(int, seeds.split(",")):
                found = run_drain(int(gateways), way, load, seed, bool(sockets))
                setting = {"gateways": int(gateways), "load": load, "way": way, "seed": seed}
                print(json.dumps(setting | found), flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
