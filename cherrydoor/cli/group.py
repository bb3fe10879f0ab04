"""The root of the command line, its exit codes, and functions that several commands use."""

import json
import sys

import click

RULE_VIOLATED, RUN_FAILED, USAGE, INVALID_FILE = 1, 2, 2, 64


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--log-level",
    default="info",
    show_default=True,
    type=click.Choice(["debug", "info", "warning", "error", "critical"]),
    help="Lowest level of the messages that are logged.",
)
@click.version_option("0.2.0", prog_name="cherrydoor")
def main(log_level):
    """A gateway that runs requests on hosts which load functions on demand.

    It comes with fakes and scenarios that test it under faults.

    To try it, run `cherrydoor rehearse quick`.
    """
    from cherrydoor.cli import logs

    logs.set_up(log_level)


def exit_with_problems(error, as_json):
    """Prints the problems of a configuration file and exits with INVALID_FILE."""
    if as_json:
        print(json.dumps([vars(problem) for problem in error.problems], indent=1))
    else:
        print(error, file=sys.stderr)
    sys.exit(INVALID_FILE)


def send_command(control, **command):
    """Sends a command to a gateway's control socket and returns the answer.

    Exits if no gateway answers or the answer is an error.

    Args:
        control: Path of the control socket.
        command: The fields of the command.
    """
    import socket as sockets

    try:
        with sockets.socket(sockets.AF_UNIX) as connection:
            connection.settimeout(5.0)
            connection.connect(control)
            connection.sendall(json.dumps(command).encode() + b"\n")
            with connection.makefile() as lines:
                answer = json.loads(lines.readline())
    except (OSError, ValueError) as error:
        print(f"no answer from a gateway at {control}: {error}", file=sys.stderr)
        sys.exit(2)
    if "error" in answer:
        print(answer["error"], file=sys.stderr)
        sys.exit(1)
    return answer
