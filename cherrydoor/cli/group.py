"""The command line's root, its exit codes, and how what is wrong with a file is told."""

import json
import sys

import click

WRONG_RULE, NOT_MADE, USAGE, BAD_FILE = 1, 2, 2, 64


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--log-level",
    default="info",
    show_default=True,
    type=click.Choice(["debug", "info", "warning", "error", "critical"]),
    help="What is logged at the least.",
)
@click.version_option("0.2.0", prog_name="cherrydoor")
def main(log_level):
    """A gateway that runs events on hosts which load functions on demand, and a kit to rehearse its bad days.

    Start with `cherrydoor rehearse quick`.
    """
    from cherrydoor.cli import logs

    logs.set_up(log_level)


def problems(error, as_json):
    """Prints what is wrong with a file and exits."""
    if as_json:
        print(json.dumps([vars(p) for p in error.problems], indent=1))
    else:
        print(error, file=sys.stderr)
    sys.exit(BAD_FILE)


def send_command(control, **said):
    import socket as sockets

    try:
        with sockets.socket(sockets.AF_UNIX) as one:
            one.settimeout(5.0)
            one.connect(control)
            one.sendall(json.dumps(said).encode() + b"\n")
            with one.makefile() as lines:
                answer = json.loads(lines.readline())
    except (OSError, ValueError) as error:
        print(f"no gateway answers at {control}: {error}", file=sys.stderr)
        sys.exit(2)
    if "error" in answer:
        print(answer["error"], file=sys.stderr)
        sys.exit(1)
    return answer
