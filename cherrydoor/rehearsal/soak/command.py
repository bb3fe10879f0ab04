"""Soaks by hand and in tests: a seed's report, and many seeds beside each other.

    python -m cherrydoor.rehearsal.soak --seed 7 --runs 1

plays one by hand, several beside each other with ``--beside``; the exit code is 1 where a rule was
broken.
"""

import argparse
import asyncio
import json
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cherrydoor.rehearsal.soak import plan as plan_module
from cherrydoor.rehearsal.soak.run import Run


def report(run, verdict):
    """The result as a dictionary for people and for the table of a long run."""
    plan = run.plan
    return {
        "seed": plan.seed,
        "gateways": plan.gateways,
        "hosts": plan.hosts,
        "grace_ms": plan.grace_ms,
        "deadline_ms": plan.deadline_ms,
        "discovery": sorted({outage.fault.name for outage in plan.outages}),
        "drains": len(plan.drains),
        "signals": [fault.signal.name for fault in plan.process_faults],
        "crowd": sum(crowd.connections for crowd in plan.crowds),
        "requests": len(run.requests),
        "served": verdict.shares,
        "most_lag_s": round(max((lag for _, _, lag in run.lags), default=0.0), 3),
        "breaks": [f"{b.rule} at {b.time_s}: {b.text}" for b in verdict.breaks],
    }


def play_seed(seed, folder=None):
    """Plays one seed and returns its report; logs and configurations stay in the folder."""

    async def whole(where):
        run = Run(plan_module.draw(seed), where)
        return report(run, await run.play())

    if folder is not None:
        Path(folder).mkdir(parents=True, exist_ok=True)
        return asyncio.run(whole(folder))
    with tempfile.TemporaryDirectory() as where:
        return asyncio.run(whole(where))


def main():
    parser = argparse.ArgumentParser(description="Plays soaks of gateways on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="how many seeds from there on")
    parser.add_argument("--beside", type=int, default=1, help="runs at once")
    parser.add_argument("--logs", help="a folder that keeps configurations and logs")
    said = parser.parse_args()
    seeds = range(said.seed, said.seed + said.runs)
    folders = [f"{said.logs}/{seed}" if said.logs else None for seed in seeds]
    broken = 0
    began_s = time.monotonic()
    with ProcessPoolExecutor(said.beside) as pool:
        for found in pool.map(play_seed, seeds, folders):
            print(json.dumps(found), flush=True)
            broken += bool(found["breaks"])
    print(f"{said.runs} runs, {broken} with a broken rule, {time.monotonic() - began_s:.0f} s")
    return 1 if broken else 0
