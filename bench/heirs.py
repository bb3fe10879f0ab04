"""What becomes of work in hand when gateways are killed, by how many witnesses each has: `python -m bench.heirs`.

The same day and seeds for each: eight gateways, eight hosts, all three kinds in hand. The verdict is the audit's, from
what hosts and clients recorded.
"""

import json
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path

DAY = """
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


def play(keepers, next_, part, seed):
    """The report of one run."""
    with tempfile.TemporaryDirectory() as folder:
        day = Path(folder) / "day.day"
        day.write_text(DAY % {"keepers": keepers, "next": next_, "part": part})
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "cherrydoor",
                "rehearse",
                str(day),
                "--seed",
                str(seed),
                "--json",
                "--quiet",
                "--out",
                folder + "/out",
            ],
            capture_output=True,
            text=True,
        )
        return json.loads(done.stdout) if done.stdout else {"failed": done.stderr[-300:]}


def main(seeds=(1, 2, 3)):
    for part in (13, 30, 70):
        for next_ in (0, 1, 2, 3):
            sums, broken, middle = Counter(), [], []
            for seed in seeds:
                found = play(3 if next_ else 0, next_, part, seed)
                if "failed" in found:
                    sums["not played"] += 1
                    continue
                over = found["taken over"]
                cut = sum(v for k, v in over.items() if k == "cut off") or found["excused"].get(
                    "held by a gateway that was killed", 0
                )
                sums["cut off"] += cut
                for name, count in over.items():
                    if not name.startswith(("cut off", "p50", "p99")):
                        sums[name] += count
                middle += [over["p50 ms to an answer"]] if "p50 ms to an answer" in over else []
                broken += [b["what"] for b in found["broken"]]
            print(
                json.dumps(
                    {
                        "killed %": part,
                        "witnesses": next_,
                        **sums,
                        "p50 ms": middle,
                        "broken": broken,
                    }
                ),
                flush=True,
            )


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or (1, 2, 3))
