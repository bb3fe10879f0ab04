"""Runs soaks from the command line and from tests, one seed or several in parallel.

    python -m cherrydoor.rehearsal.soak --seed 7 --runs 1

runs one soak; ``--beside`` sets how many run in parallel. The exit code is 1 if any run violated
a rule.
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
    """Returns the result of one run as a dictionary; it is printed as one JSON line."""
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
        "crowd": sum(flood.connections for flood in plan.idle_floods),
        "requests": len(run.requests),
        "served": verdict.served_shares,
        "most_lag_s": round(max((lag for _, _, lag in run.lags), default=0.0), 3),
        "breaks": [
            f"{violation.rule} at {violation.time_s}: {violation.text}"
            for violation in verdict.violations
        ],
    }


def play_seed(seed, folder=None):
    """Runs one seed and returns its report; logs and configurations are kept in the folder."""

    async def play_in(run_folder):
        run = Run(plan_module.draw_plan(seed), run_folder)
        return report(run, await run.play())

    if folder is not None:
        Path(folder).mkdir(parents=True, exist_ok=True)
        return asyncio.run(play_in(folder))
    with tempfile.TemporaryDirectory() as run_folder:
        return asyncio.run(play_in(run_folder))


def main():
    parser = argparse.ArgumentParser(description="Runs soaks of gateways on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--beside", type=int, default=1, help="number of runs in parallel")
    parser.add_argument("--logs", help="folder for configurations and logs")
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    folders = [f"{arguments.logs}/{seed}" if arguments.logs else None for seed in seeds]
    failed_runs = 0
    started_s = time.monotonic()
    with ProcessPoolExecutor(arguments.beside) as pool:
        for result in pool.map(play_seed, seeds, folders):
            print(json.dumps(result), flush=True)
            failed_runs += bool(result["breaks"])
    print(
        f"{arguments.runs} runs, {failed_runs} with a violated rule, "
        f"{time.monotonic() - started_s:.0f} s"
    )
    return 1 if failed_runs else 0
