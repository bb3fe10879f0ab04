"""A site drained in four ways, at three loads, emulated: `python -m bench.drains [GATEWAYS [LOAD,... [SEED,...]]]`.

With a fourth word, sockets, it is played on sockets: hard and by priority, as the daemon has no other way.

hard: its hosts are set to drain in the list at once, as without any of this. at once: one wave, its copies ordered
first. random: waves in the order of a hash. priority: as the daemon does it. `load` is of what the hosts that remain
can do. Each way has the same events and functions by seed. Printed, a line each: what is due to the benefit lost, the
share within target before the drain and in its worst ten seconds, loads, the store's most fetches at once (10 are its
measure), s until gateways hold the site to be empty, and of the most beneficial quarter of events the share that is
late.
"""

import json
import sys
import tempfile
from pathlib import Path
from zlib import crc32

from cherrydoor.cli import logs
from cherrydoor.emulator.play import emulate
from cherrydoor.rehearsal.audit import Audit
from cherrydoor.rehearsal.conduct import rehearse
from cherrydoor.rehearsal.day import read_day
from cherrydoor.zone_drain import conducting
from cherrydoor.zone_drain import plan as planning

DRAIN, LENGTH = 8, 44  # s: when it begins, how long the day is
DAY = """
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
HOST = 40.0  # events a second: two cores, 50 ms of work


def by_hash(lot):
    return crc32(lot.function.encode())


def at_once(lots, room, step=1.0):
    return planning.plan(lots, room, 1.0, 10**9)


def play(gateways, way, load, seed, on_sockets=False):
    hosts = 12 if gateways <= 8 else 24 if gateways <= 50 else 48
    rate = load * HOST * hosts * 2 / 3
    was = conducting.plan, planning.priority
    try:
        if way == "at once":
            conducting.plan = at_once
        elif way == "random":
            planning.priority = by_hash
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "drains.day"
            path.write_text(
                DAY
                % {
                    "length": LENGTH,
                    "hosts": hosts,
                    "functions": 4 * hosts,
                    "rate": rate,
                    "documents": 2 * hosts,
                    "gateways": gateways,
                    "drain": DRAIN,
                    "lasts": LENGTH - DRAIN,
                    "size": 0.5 if way == "hard" else 2,
                }
            )
            (rehearse if on_sockets else emulate)(read_day(path, seed=seed), Path(folder) / "out")
            return figures(Audit(Path(folder) / "out"))
    finally:
        conducting.plan, planning.priority = was


def figures(judge):
    found = judge.report()
    line, first = found["line"], int(judge.warm / 1000)

    def share(a, b):
        due = sum(line["due"][a:b])
        return sum(line["in time"][a:b]) / due if due else 1.0

    sites = [
        (row["t"] - judge.begun - judge.warm - 1000 * DRAIN, row["fate"], row["function"])
        for row in judge.seen.of("conductor", "site")
    ]
    empty = next((t for t, fate, _ in sites if fate == "empty"), None)
    worth = found["service"]["benefit"]
    begins = first + DRAIN
    return {
        "benefit lost": round(worth["lost"] / worth["due"], 4),
        "before": round(share(first, begins), 4),
        "worst 10 s": round(min(share(s, s + 10) for s in range(begins, first + LENGTH - 9)), 4),
        "loads": found["loads"],
        "store peak": int(
            max(
                (
                    row["a"]
                    for row in judge.seen.of("store", "fetch")
                    if row["t"] >= judge.begun + 1000 * begins
                ),
                default=0,
            )
        ),
        "empty s": None if empty is None else round(empty / 1000, 1),
        "top quarter late": round(worth["lost of"]["sign-off"], 4),
        "said": next((why for _, _, why in sites if why), ""),
        "broken": len(found["broken"]),
    }


def main(gateways=50, loads="0.5,0.7,0.9", seeds="1,2", sockets=""):
    logs.set_up("error")
    for load in map(float, loads.split(",")):
        for way in ("priority", "hard") if sockets else ("priority", "hard", "at once", "random"):
            for seed in map(int, seeds.split(",")):
                print(
                    json.dumps(
                        {
                            "gateways": int(gateways),
                            "load": load,
                            "way": way,
                            "seed": seed,
                            **play(int(gateways), way, load, seed, bool(sockets)),
                        }
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main(*sys.argv[1:])
