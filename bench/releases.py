"""Measures releases by the decision module alone, over many seeded ones: how long until each gateway has come to an
end, and how many events were harmed, by rate of failure, calls and what the gateways go by. `make bench-releases`
prints the table and draws the chart that docs/measurements.md keeps.
"""

import sys
from random import Random
from statistics import median

from cherrydoor.releases import decide as d

NOW = 1.8e12


class Gateway:
    """Versions at one gateway; loads ahead are answered at once."""

    def __init__(self):
        self.now, self.versions = NOW, d.Versions(NOW)

    def take(self, note):
        for action in self.versions.take(self.now, note):
            if isinstance(action, d.LoadAhead):
                self.take(d.Loaded(action.name, "handled", 300.0))

    def call(self, function, document):
        return self.versions.choose(function, document)

    def state(self):
        return self.versions.lines["deed"].release.state


class Canary(Gateway):
    """The baseline: a tenth of the documents for ten minutes, then whatever fails more than twice as often as the old
    version, by what this gateway has seen, is withdrawn, and all else is complete."""

    def __init__(self):
        super().__init__()
        self.is_in, self.begun, self.seen = "", 0.0, {"deed": [0, 0], "deed@1": [0, 0]}

    def take(self, note):
        if isinstance(note, d.Fed):
            self.is_in, self.begun = d.TRIAL, self.now
        elif isinstance(note, d.Ended):
            self.seen[note.name][0] += 1
            self.seen[note.name][1] += note.outcome == "error"
        if self.is_in == d.TRIAL and self.now - self.begun > 600000:
            (old, old_bad), (new, new_bad) = self.seen["deed"], self.seen["deed@1"]
            self.is_in = (
                d.WITHDRAWN if new_bad / max(1, new) > 2 * old_bad / max(1, old) else d.COMPLETE
            )

    def call(self, function, document):
        share = {d.TRIAL: 0.1, d.COMPLETE: 1.0}.get(self.is_in, 0.0)
        return "deed@1" if d.place(function, 1, document) < share else function

    def state(self):
        return self.is_in


class Fleet:
    """Gateways that share the hosts of one function and nothing else. `fails`: part of the new version's events that
    fail, `slow`: by how many times they take longer; the old fails in `before`."""

    def __init__(
        self,
        seed,
        gateways=10,
        per_second=10.0,
        fails=0.0,
        slow=1.0,
        before=0.0,
        tallies=True,
        made=Gateway,
    ):
        self.random, self.gates = Random(seed), [made() for _ in range(gateways)]
        self.rate, self.fails, self.slow, self.before = per_second, fails, slow, before
        self.tallies, self.at, self.tally = tallies, 0.0, {}
        self.new = self.harmed = 0

    def event(self):
        gate, document = self.random.choice(self.gates), f"d{self.random.randrange(100000)}"
        gate.now = NOW + self.at
        name = gate.call("deed", document)
        fresh = name != "deed"
        error = self.random.random() < (self.fails if fresh else self.before)
        took = self.random.lognormvariate(4.0, 0.3) * (self.slow if fresh else 1.0)
        self.new += fresh
        self.harmed += fresh and (error or self.slow > 1.5)
        usual = gate.versions.usual("deed")
        told = self.tally.setdefault(name, [0, 0, 0])
        told[0] += 1
        told[1] += error
        told[2] += not error and bool(usual) and took > usual
        gate.take(
            d.Ended(
                name,
                "h",
                "error" if error else "handled",
                took,
                tally=tuple(told) if self.tallies else None,
            )
        )

    def pass_time(self, seconds):
        until = self.at + seconds * 1000
        while self.at < until:
            gap = self.random.expovariate(self.rate) * 1000
            while gap > 0:
                step = min(gap, 1000.0 - self.at % 1000.0 or 1000.0)
                self.at, gap = self.at + step, gap - step
                if gap > 0:
                    for gate in self.gates:
                        gate.now = NOW + self.at
                        gate.take(d.Tick())
            self.event()

    def release(self):
        for gate in self.gates:
            gate.now = NOW + self.at
            gate.take(d.Fed("deed", 1))
        self.begun = self.at

    def states(self):
        return [gate.state() for gate in self.gates]

    def run(self, most=900.0, warm=60.0):
        """(seconds until all gateways have come to an end, their states, events harmed)."""
        self.pass_time(warm)
        self.release()
        while self.at - self.begun < most * 1000 and not set(self.states()) <= {
            d.COMPLETE,
            d.WITHDRAWN,
        }:
            self.pass_time(2.0)
        return (self.at - self.begun) / 1000, self.states(), self.harmed


OPTIONS = {
    "tallies of hosts": {},
    "own evidence alone": {"tallies": False},
    "fixed canary": {"made": Canary},
}


def main(count=8):
    rows = []
    print(
        "calls/s  fails  goes by               s to the end (median, most)  events harmed  withdrawn, complete"
    )
    for per_second in (30.0, 10.0, 2.0):
        for fails in (0.5, 0.1, 0.01, 0.0):
            for name, more in OPTIONS.items():
                runs = [
                    Fleet(seed, 10, per_second, fails=fails, **more).run(1500)
                    for seed in range(count)
                ]
                took, harmed = [r[0] for r in runs], median(r[2] for r in runs)
                ends = [
                    sum(r[1].count(state) for r in runs) / 10 / count
                    for state in (d.WITHDRAWN, d.COMPLETE)
                ]
                rows.append((per_second, fails, name, median(took), harmed))
                print(
                    f"{per_second:7.0f} {fails:6.2f}  {name:20} {median(took):12.0f} {max(took):8.0f} {harmed:18.0f}"
                    f" {ends[0]:14.2f} {ends[1]:8.2f}",
                    flush=True,
                )
    if len(sys.argv) > 1:
        draw(rows, sys.argv[1])


def draw(rows, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    fig, axes = plt.subplots(1, 2, figsize=(10, 3.6), sharey=False)
    for axis, what, column in (
        (axes[0], "s until all gateways have withdrawn it", 3),
        (axes[1], "events harmed", 4),
    ):
        for name in OPTIONS:
            points = [(row[0], row[column]) for row in rows if row[1] == 0.1 and row[2] == name]
            axis.plot(*zip(*points, strict=True), marker="o", label=name)
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.set_xlabel("calls a second over ten gateways")
        axis.set_title(what, fontsize=9)
    axes[0].legend(fontsize=8)
    fig.suptitle("a version that fails on one in ten events", fontsize=10)
    fig.tight_layout()
    fig.savefig(path)


if __name__ == "__main__":
    main()
