"""`cherrydoor rehearse`, `audit` and `emulate`: days played and judged."""

import json
import sys
import time
from pathlib import Path

import click

from cherrydoor.cli.group import NOT_MADE, WRONG_RULE, main


@main.command()
@click.argument("day", required=False)
@click.option(
    "--bench-day", type=click.Path(), help="A day drawn by the users' simulator, in place of DAY."
)
@click.option(
    "--size",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.01, 1),
    help="Of a bench day's fleet.",
)
@click.option(
    "--speed",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.05, 1),
    help="Of its real time.",
)
@click.option("--out", type=click.Path(), help="Folder for traffic, leases, logs and report.")
@click.option("--seed", type=int, help="In place of the day's own.")
@click.option(
    "--decides",
    type=click.Choice(["module", "random", "least-out"]),
    help="What chooses hosts; the latter two are baselines.",
)
@click.option(
    "--without", multiple=True, help="A kind of trouble that is left out; its time is still marked."
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option("--quiet", is_flag=True, help="No progress.")
def rehearse(day, bench_day, size, speed, out, seed, decides, without, as_json, quiet):
    """Play DAY, the name of a shipped one or a file, on loopback sockets, then judge it from its traffic.

    Exits with 0 where every rule was kept, 1 where one was broken, 2 where the run could not be made.
    """
    from cherrydoor.config import Problems
    from cherrydoor.rehearsal.day import read_day
    from cherrydoor.rehearsal.scenario_runner import RunFailedError
    from cherrydoor.rehearsal.scenario_runner import rehearse as play

    if (day is None) == (bench_day is None):
        raise click.UsageError("DAY or --bench-day FILE, one of them")
    try:
        if bench_day:
            from cherrydoor.rehearsal.bench_day import bench_day as convert

            said, left = convert(bench_day, size, speed)
            said["seed"] = seed if seed is not None else said["seed"]
            if not quiet:
                print("left out: " + ", ".join(left), file=sys.stderr)
        else:
            said = read_day(day, seed=seed)
        said["without"] = list(without)
        if decides:
            said["gateways"]["decides"] = decides
    except Problems as error:
        print(error, file=sys.stderr)
        sys.exit(NOT_MADE)
    folder = Path(out or f"found/{said['name']}-{said['seed']}-{int(time.time())}")
    if not quiet:
        print(
            f"{said['name']}: {said['about']}\n{(said['length'] + said['warm']) / 1000:g} s with "
            f"{said['gateways']['count']} gateways and {said['fleet']['hosts']} hosts, into {folder}",
            file=sys.stderr,
        )
    try:
        play(
            said,
            folder,
            (lambda text: None)
            if quiet
            else (lambda text: print(text, file=sys.stderr, flush=True)),
        )
    except (RunFailedError, OSError) as error:
        print(f"the run could not be made: {error}", file=sys.stderr)
        sys.exit(NOT_MADE)
    except KeyboardInterrupt:
        print("stopped", file=sys.stderr)
        sys.exit(NOT_MADE)
    judge(folder, as_json)


def judge(folder, as_json):
    from cherrydoor.rehearsal.audit import Unreadable, audit
    from cherrydoor.rehearsal.report import charts, table

    try:
        found = audit(folder)
    except Unreadable as error:
        print(f"the traffic cannot be judged: {error}", file=sys.stderr)
        sys.exit(NOT_MADE)
    (Path(folder) / "report.json").write_text(json.dumps(found, indent=1))
    charts(found, Path(folder) / "report.svg")
    if as_json:
        print(json.dumps(found, indent=1))
    else:
        table(found)
    if found["crowded"] and not found["broken"]:
        print(
            f"the machine was too crowded to judge by: {len(found['crowded'])} events ended late while a process of "
            "the run had no core",
            file=sys.stderr,
        )
    sys.exit(WRONG_RULE if found["broken"] else NOT_MADE if found["crowded"] else 0)


@main.command("audit")
@click.argument("folder", type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def audit_command(folder, as_json):
    """Judge the five rules from the traffic in FOLDER and tell how well the clients were served."""
    judge(folder, as_json)


@main.command()
@click.argument("day")
@click.option("--out", type=click.Path(), help="Folder for traffic and report.")
@click.option("--seed", type=int, help="In place of the day's own.")
@click.option("--decides", type=click.Choice(["module", "random", "least-out"]))
@click.option(
    "--without", multiple=True, help="A kind of trouble that is left out; its time is still marked."
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def emulate(day, out, seed, decides, without, as_json):
    """Play DAY in virtual time, in this one process, with the same gateways, hosts and clients, then judge it.

    The same seed gives the same run to the last byte. Exits as `rehearse` does.
    """
    from cherrydoor.cli import logs
    from cherrydoor.config import Problems
    from cherrydoor.emulator.play import emulate as play
    from cherrydoor.rehearsal.day import read_day
    from cherrydoor.rehearsal.scenario_runner import RunFailedError

    logs.set_up("error")
    try:
        said = read_day(day, seed=seed)
    except Problems as error:
        print(error, file=sys.stderr)
        sys.exit(NOT_MADE)
    said["without"] = list(without)
    if decides:
        said["gateways"]["decides"] = decides
    folder = Path(out or f"found/{said['name']}-{said['seed']}-emulated-{int(time.time())}")
    try:
        play(said, folder)
    except (RunFailedError, OSError) as error:
        print(f"the run could not be made: {error}", file=sys.stderr)
        sys.exit(NOT_MADE)
    judge(folder, as_json)
