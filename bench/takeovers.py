"""Counts the outcomes of requests in flight when gateways are killed, by the number of replicas.

`python -m bench.takeovers [SEEDS]`. All numbers of replicas run with the same scenario and seeds:
ten gateways, twelve hosts, requests of all three kinds of retry safety. The audit counts the
outcomes in what hosts and clients recorded.
"""

import json
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

SEEDS = (1, 2, 3)
KILLED_PERCENTS = (13, 30, 70)
REPLICA_COUNTS = (0, 1, 2, 3)
VOTERS = 3  # where there are replicas
# Prefixes of figures that are not summed: they have their own column, or none.
NOT_SUMMED = ("cut off", "p50", "p99")
SCENARIO = """
name: "heirs-%(next)d-%(part)d"
length: 8s
warm: 2s
spare: 100ms
events: [
  {name: "field-update", share: 6, target: 1s, max_age: 4s}
  {name: "sign-off", share: 2, target: 1s, max_age: 4s, kind: "keyed", memory: 8s}
  {name: "archive", share: 2, target: 1s, max_age: 4s, kind: "at-most-once"}
]
fleet: {hosts: 12}
cold: {}
functions: {count: 20, work: [150, 350], load: [60, 120]}
clients: {per_second: 60}
gateways: {count: 10}
fellows: {keepers: %(keepers)d, next: %(next)d}
store: {}
list: {notice: [0.05, 0.2]}
may: {}
ration: {}
troubles: [{at: 3s, what: "gateway-crash", lasts: 4s, part: %(part)d%%}]
"""


def play(voters, replicas, killed_percent, seed):
    """Returns the report of one run."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "day.day"
        path.write_text(SCENARIO % {"keepers": voters, "next": replicas, "part": killed_percent})
        command = ["rehearse", str(path), "--seed", str(seed), "--json", "--quiet"]
        done = subprocess.run(
            [sys.executable, "-m", "cherrydoor", *command, "--out", f"{folder}/out"],
            capture_output=True,
            text=True,
        )
        return json.loads(done.stdout) if done.stdout else {"failed": done.stderr[-300:]}


def cut_off(report):
    """Returns the number of requests whose client lost its connection, or of a killed gateway."""
    found = sum(count for name, count in report["taken over"].items() if name == "cut off")
    return found or report["excused"].get("held by a gateway that was killed", 0)


def row_of(killed_percent, replicas, seeds):
    """Returns the sums over all seeds."""
    sums, broken, medians_ms = Counter(), [], []
    for seed in seeds:
        report = play(VOTERS if replicas else 0, replicas, killed_percent, seed)
        if "failed" in report:
            sums["not played"] += 1
            continue
        taken_over = report["taken over"]
        sums["cut off"] += cut_off(report)
        for name, count in taken_over.items():
            if not name.startswith(NOT_SUMMED):
                sums[name] += count
        if "p50 ms to an answer" in taken_over:
            medians_ms.append(taken_over["p50 ms to an answer"])
        broken += [violation["what"] for violation in report["broken"]]
    return {
        "killed %": killed_percent,
        "replicas": replicas,
        **sums,
        "p50 ms": medians_ms,
        "broken": broken,
    }


def main(seeds=SEEDS):
    for killed_percent in KILLED_PERCENTS:
        for replicas in REPLICA_COUNTS:
            print(json.dumps(row_of(killed_percent, replicas, seeds)), flush=True)


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SEEDS)
