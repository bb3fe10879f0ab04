"""`cherrydoor tenure`, `peers` and `custody`: what gateways of a fleet do together, asked of one that runs."""

import json

import click

from cherrydoor.cli.group import main, send_command

CONTROL = click.option(
    "--control",
    required=True,
    type=click.Path(),
    help="The gateway's socket, named by its lease as `peers.control`.",
)
JSON = click.option("--json", "as_json", is_flag=True)


def rows_of(rows, columns):
    """Lines of a table; columns: (heading, width, what of a row)."""
    lines = [" ".join(f"{heading:{width}}" for heading, width, _ in columns)]
    for row in rows:
        lines.append(" ".join(f"{what(row)!s:{width}}" for _, width, what in columns))
    return "\n".join(line.rstrip() for line in lines)


@main.group()
def tenure():
    """Tasks of the whole fleet that one gateway holds at a time, under a number that only rises."""


@tenure.command("show")
@CONTROL
@JSON
def show_tenures(control, as_json):
    """What this gateway holds and asks for, and what it has promised where it is a keeper."""
    said = send_command(control, do="tenures")
    if as_json:
        return print(json.dumps(said, indent=1))
    print(f"{said['gateway']}, life {said['life']}; keepers: {' '.join(said['keepers']) or 'none'}")
    print(
        rows_of(
            said["held"],
            (
                ("held", 40, lambda r: r["task"]),
                ("number", 8, lambda r: r["number"]),
                ("ms left", 8, lambda r: r["left"]),
            ),
        )
    )
    for task in said["asked for"]:
        print(f"{task:40} asked for")
    if said["keeper"]:
        kept = said["keeper"]
        silent = f", silent for {kept['silent']:g} ms more" if kept["silent"] else ""
        print(f"as a keeper: floor {kept['floor']}{silent}")
        print(
            rows_of(
                kept["promises"],
                (
                    ("promised", 40, lambda r: r["task"]),
                    ("number", 8, lambda r: r["number"]),
                    ("holder", 16, lambda r: r["holder"] or "-"),
                    ("ms left", 8, lambda r: r["left"]),
                ),
            )
        )


@tenure.command("yield")
@CONTROL
@JSON
@click.argument("task")
def yield_task(control, as_json, task):
    """Hand TASK over at once; another gateway that asks for it gets it under a higher number."""
    said = send_command(control, do="yield", task=task)
    print(json.dumps(said, indent=1) if as_json else f"{task} is handed over")


@main.command("peers")
@CONTROL
@JSON
def show_peers(control, as_json):
    """Who is there as this gateway sees it, and which others are told what it has in hand."""
    said = send_command(control, do="peers")
    if as_json:
        return print(json.dumps(said, indent=1))
    print(
        f"{said['gateway']}, life {said['life']}; witnesses: {' '.join(said['witnesses']) or 'none'}"
    )
    print(
        rows_of(
            said["members"],
            (
                ("name", 16, lambda r: r["name"]),
                ("state", 9, lambda r: r["state"]),
                ("for s", 8, lambda r: r["since"] / 1000),
                ("linked", 7, lambda r: "yes" if r["linked"] else "no"),
                ("site", 12, lambda r: r["site"] or "-"),
                ("life", 14, lambda r: r["life"]),
                ("at", 22, lambda r: r["at"]),
            ),
        )
    )


def became(row):
    return ", ".join(
        f"{what} {value}" for what, value in row.items() if what not in ("giver", "life", "number")
    )


@main.group()
def custody():
    """Work in hand that outlives its gateway."""


@custody.command("show")
@CONTROL
@JSON
def show_custody(control, as_json):
    """What is entrusted and to whom, what is kept for others, what was taken over and what became of it."""
    said = send_command(control, do="custody")
    if as_json:
        return print(json.dumps(said, indent=1))
    print(
        f"{said['gateway']}, life {said['life']}: {said['in hand']} events in hand, {said['bytes']} bytes; "
        f"witnesses: {' '.join(said['witnesses']) or 'none'}; told after {said['told after ms']} ms at the 99th"
    )
    for what, count in [*said["counts"].items(), *said["kept counts"].items()]:
        print(f"  {what}: {count}")
    print(
        rows_of(
            said["kept for others"],
            (
                ("kept for", 16, lambda r: r["giver"]),
                ("life", 14, lambda r: r["life"]),
                ("as witness", 10, lambda r: r["rank"]),
                ("events", 7, lambda r: r["events"]),
                ("bytes", 9, lambda r: r["bytes"]),
            ),
        )
    )
    print(
        rows_of(
            said["takeovers"],
            (
                ("taken over", 16, lambda r: r["giver"]),
                ("life", 14, lambda r: r["life"]),
                ("number", 7, lambda r: r["number"]),
                ("what became of it", 20, became),
            ),
        )
    )
    print("claims: " + ", ".join(f"{count} {what}" for what, count in said["claims"].items()))


@main.group()
def site():
    """A site of the list drained for maintenance: its sessions go to neighbours, in waves by priority."""


def site_command(name, about):
    @CONTROL
    @JSON
    @click.argument("site")
    def act(control, as_json, site, dry_run=False, even=False, within=0.0):
        said = send_command(
            control,
            do="site",
            what="plan" if dry_run else name,
            site=site,
            even=even,
            within=within,
        )
        if as_json:
            return print(json.dumps(said, indent=1))
        if dry_run:
            return show_plan(said)
        print(
            f"{said['site']}: {said['state']}"
            + (
                f", wave {said['wave']} of tenure {said['number']}, conducted by "
                f"{said['conductor']}"
                if "wave" in said
                else ""
            )
            + (f"; {said['why']}" if said.get("why") else "")
        )
        for function, share in said.get("away", ()):
            print(f"  {function:24} {share:6.0%} away")
        if here := said.get("conductor here"):
            print(", ".join(f"{what} {value}" for what, value in here.items() if what != "site"))

    act.__doc__ = about
    if name == "drain":
        act = click.option(
            "--dry-run", is_flag=True, help="Show waves, copies and room; change nothing."
        )(act)
        act = click.option(
            "--within", type=float, default=0.0, help="S in which it is to be over: larger waves."
        )(act)
        act = click.option(
            "--even",
            is_flag=True,
            help="Also where neighbours have no room for all: the lowest are deferred.",
        )(act)
    site.command(name)(act)


def show_plan(said):
    print(
        f"{said['site']}: {said['asked']} events a second, room for {said['room']} at its neighbours"
    )
    rows = [(number, step) for number, wave in enumerate(said["waves"], 1) for step in wave]
    print(
        rows_of(
            rows,
            (
                ("wave", 5, lambda r: r[0]),
                ("function", 24, lambda r: r[1]["function"]),
                ("share", 6, lambda r: f"{r[1]['share']:.0%}"),
                ("benefit", 8, lambda r: r[1]["benefit"]),
                ("copy", 12, lambda r: "to be opened" if r[1]["opens"] else "stands"),
            ),
        )
    )
    if said["beyond"]:
        print(
            "not known to be borne, tried last with --even: "
            + " ".join(one or "(rest)" for one in said["beyond"])
        )


for name, about in (
    ("drain", "Drain SITE; refused where its neighbours have no room."),
    ("show", "How far the drain of SITE is, as this gateway knows it."),
    ("hold", "Take no further wave."),
    ("resume", "End a hold."),
    ("undo", "Bring the sessions of SITE back, in the same order reversed."),
):
    site_command(name, about)
