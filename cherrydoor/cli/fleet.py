"""`cherrydoor tenure`, `peers`, `custody` and `site`: commands to a running gateway of a fleet."""

import json

import click

from cherrydoor.cli.group import main, send_command

CONTROL = click.option(
    "--control",
    required=True,
    type=click.Path(),
    help="The gateway's control socket, `peers.control` in its configuration.",
)
JSON = click.option("--json", "as_json", is_flag=True)


def format_table(rows, columns):
    """Returns the text of a table.

    Args:
        rows: The rows, in the form that the columns expect.
        columns: Triples of heading, width and a function that returns the column's value of a row.
    """
    lines = [" ".join(f"{heading:{width}}" for heading, width, _ in columns)]
    for row in rows:
        lines.append(" ".join(f"{value_of(row)!s:{width}}" for _, width, value_of in columns))
    return "\n".join(line.rstrip() for line in lines)


@main.group()
def tenure():
    """Leases of tasks that one gateway of the fleet holds at a time, each with a fencing token."""


@tenure.command("show")
@CONTROL
@JSON
def show_tenures(control, as_json):
    """Show the leases that this gateway holds or requests, and its votes if it is a voter."""
    answer = send_command(control, do="tenures")
    if as_json:
        return print(json.dumps(answer, indent=1))
    print(
        f"{answer['gateway']}, incarnation {answer['life']}; "
        f"voters: {' '.join(answer['keepers']) or 'none'}"
    )
    print(
        format_table(
            answer["held"],
            (
                ("task held", 40, lambda row: row["task"]),
                ("token", 8, lambda row: row["number"]),
                ("ms left", 8, lambda row: row["left"]),
            ),
        )
    )
    for task in answer["asked for"]:
        print(f"{task:40} requested")
    if answer["keeper"]:
        votes = answer["keeper"]
        silent = f", grants no lease for {votes['silent']:g} ms" if votes["silent"] else ""
        print(f"as a voter: highest forgotten token {votes['floor']}{silent}")
        print(
            format_table(
                votes["promises"],
                (
                    ("vote for task", 40, lambda row: row["task"]),
                    ("token", 8, lambda row: row["number"]),
                    ("holder", 16, lambda row: row["holder"] or "-"),
                    ("ms left", 8, lambda row: row["left"]),
                ),
            )
        )


@tenure.command("yield")
@CONTROL
@JSON
@click.argument("task")
def yield_task(control, as_json, task):
    """Release TASK at once.

    Another gateway that requests it gets it with a higher fencing token.
    """
    answer = send_command(control, do="yield", task=task)
    print(json.dumps(answer, indent=1) if as_json else f"{task}: released")


@main.command("peers")
@CONTROL
@JSON
def show_peers(control, as_json):
    """Show the fleet's members as this gateway sees them, and its replicas."""
    answer = send_command(control, do="peers")
    if as_json:
        return print(json.dumps(answer, indent=1))
    print(
        f"{answer['gateway']}, incarnation {answer['life']}; "
        f"replicas: {' '.join(answer['witnesses']) or 'none'}"
    )
    print(
        format_table(
            answer["members"],
            (
                ("name", 16, lambda row: row["name"]),
                ("state", 9, lambda row: row["state"]),
                ("since s", 8, lambda row: row["since"] / 1000),
                ("linked", 7, lambda row: "yes" if row["linked"] else "no"),
                ("zone", 12, lambda row: row["site"] or "-"),
                ("incarnation", 14, lambda row: row["life"]),
                ("address", 22, lambda row: row["at"]),
            ),
        )
    )


def outcome_text(row):
    """Returns the fields of a takeover that have no column of their own."""
    return ", ".join(
        f"{name} {value}" for name, value in row.items() if name not in ("giver", "life", "number")
    )


@main.group()
def custody():
    """Replicated in-flight requests, which other gateways take over if their gateway fails."""


@custody.command("show")
@CONTROL
@JSON
def show_custody(control, as_json):
    """Show this gateway's replicas, the requests it holds for others, and all takeovers."""
    answer = send_command(control, do="custody")
    if as_json:
        return print(json.dumps(answer, indent=1))
    print(
        f"{answer['gateway']}, incarnation {answer['life']}: "
        f"{answer['in hand']} requests in flight, {answer['bytes']} bytes; "
        f"synced replicas: {' '.join(answer['witnesses']) or 'none'}; "
        f"replication delay {answer['told after ms']} ms (99th percentile)"
    )
    for name, count in [*answer["counts"].items(), *answer["kept counts"].items()]:
        print(f"  {name}: {count}")
    print(
        format_table(
            answer["kept for others"],
            (
                ("replica of", 16, lambda row: row["giver"]),
                ("incarnation", 14, lambda row: row["life"]),
                ("rank", 10, lambda row: row["rank"]),
                ("entries", 7, lambda row: row["events"]),
                ("bytes", 9, lambda row: row["bytes"]),
            ),
        )
    )
    print(
        format_table(
            answer["takeovers"],
            (
                ("taken over", 16, lambda row: row["giver"]),
                ("incarnation", 14, lambda row: row["life"]),
                ("token", 7, lambda row: row["number"]),
                ("outcome", 20, outcome_text),
            ),
        )
    )
    print(
        "response claims: "
        + ", ".join(f"{count} {name}" for name, count in answer["claims"].items())
    )


@main.group()
def site():
    """Zone drains: move the sessions of a zone to its neighbours, in waves by priority weight."""


def add_site_command(name, help_text):
    """Adds the sub-command of `site` with this name and help text."""

    @CONTROL
    @JSON
    @click.argument("site")
    def act(control, as_json, site, dry_run=False, even=False, within=0.0):
        answer = send_command(
            control,
            do="site",
            what="plan" if dry_run else name,
            site=site,
            even=even,
            within=within,
        )
        if as_json:
            return print(json.dumps(answer, indent=1))
        if dry_run:
            return show_plan(answer)
        print(
            f"{answer['site']}: {answer['state']}"
            + (
                f", wave {answer['wave']} under fencing token {answer['number']}, coordinated by "
                f"{answer['conductor']}"
                if "wave" in answer
                else ""
            )
            + (f"; {answer['why']}" if answer.get("why") else "")
        )
        for function, share in answer.get("away", ()):
            print(f"  {function:24} {share:6.0%} moved")
        if coordinator := answer.get("conductor here"):
            print(
                ", ".join(f"{key} {value}" for key, value in coordinator.items() if key != "site")
            )

    act.__doc__ = help_text
    if name == "drain":
        act = click.option(
            "--dry-run",
            is_flag=True,
            help="Show the planned waves, copies and capacity without changing anything.",
        )(act)
        act = click.option(
            "--within",
            type=float,
            default=0.0,
            help="Target duration in seconds; a shorter one makes larger waves.",
        )(act)
        act = click.option(
            "--even",
            is_flag=True,
            help="Drain even if the neighbours lack capacity: requests of the lowest priority are "
            "rejected.",
        )(act)
    site.command(name)(act)


def show_plan(answer):
    """Prints the plan of a drain."""
    print(
        f"{answer['site']}: {answer['asked']} requests per second, "
        f"capacity for {answer['room']} at its neighbours"
    )
    rows = [(number, step) for number, wave in enumerate(answer["waves"], 1) for step in wave]
    print(
        format_table(
            rows,
            (
                ("wave", 5, lambda row: row[0]),
                ("function", 24, lambda row: row[1]["function"]),
                ("share", 6, lambda row: f"{row[1]['share']:.0%}"),
                ("weight", 8, lambda row: row[1]["benefit"]),
                ("copy", 12, lambda row: "to be loaded" if row[1]["opens"] else "loaded"),
            ),
        )
    )
    if answer["beyond"]:
        print(
            "beyond the known capacity, moved last and only with --even: "
            + " ".join(function or "(rest)" for function in answer["beyond"])
        )


for name, help_text in (
    ("drain", "Drain SITE. Refused if its neighbours lack capacity."),
    ("show", "Show the progress of the drain of SITE, as this gateway knows it."),
    ("hold", "Pause the drain of SITE before its next wave."),
    ("resume", "Resume a paused drain."),
    ("undo", "Move the sessions back to SITE, in reverse order."),
):
    add_site_command(name, help_text)
