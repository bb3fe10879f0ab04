"""Sub-commands of `cherrydoor`. docs/commands.md describes their output and exit codes."""

import json
import sys
from pathlib import Path

import click

from cherrydoor.cli import fakes, fleet, keys, rehearsals, releases
from cherrydoor.cli.group import exit_with_problems, main


@main.command()
@click.option(
    "--lease",
    "leases",
    multiple=True,
    required=True,
    type=click.Path(),
    help="Configuration file of the gateway. Several files run several gateways in one process.",
)
@click.option("--tied", is_flag=True, help="Exit when standard input is closed.")
@click.option(
    "--announce", is_flag=True, help="Print each listening port as a JSON object per line."
)
@click.option("--baseline", type=click.Choice(["random", "least-out"]), hidden=True)
def gateway(leases, tied, announce, baseline):
    """Run a gateway until SIGTERM.

    SIGTERM starts a graceful shutdown: requests in flight are still answered. SIGHUP reads and
    checks the configuration file again.
    """
    from cherrydoor.gateway.daemon import main as run
    from cherrydoor.peer_services import join

    if baseline:
        from cherrydoor.rehearsal.baselines import ROUTER_FACTORIES

        router_factory = ROUTER_FACTORIES[baseline]
    else:
        from cherrydoor.routing import Router as router_factory

    def announce_listener(name, port):
        print(json.dumps({"is": "door", "gateway": name, "port": port}), flush=True)

    sys.exit(run(leases, router_factory, tied, announce_listener if announce else None, join))


@main.command()
@click.option(
    "--trace",
    default=0.0,
    help="Ms between trace lines that compare the router's state with traffic; 0 for none.",
)
def platform(trace):
    """Run the gateway on the platform until SIGTERM.

    Its configuration is given by PROXY_CONFIG; see docs/operate/platform.md.
    """
    from cherrydoor.platform.process import main as run

    sys.exit(run(trace))


@main.group()
def lease():
    """Check and show leases, the configuration files of gateways."""


@lease.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print problems as JSON.")
def check(file, as_json):
    """Report all problems of FILE. Exits with 0 if there are none, 64 otherwise."""
    from cherrydoor.config import Problems
    from cherrydoor.config.figures import read_config

    try:
        read_config(file)
    except Problems as error:
        exit_with_problems(error, as_json)
    print("[]" if as_json else f"{file}: valid")


@lease.command("show")
@click.argument("file", type=click.Path())
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print as JSON, with durations in ms and sizes in bytes.",
)
def show_lease(file, as_json):
    """Print FILE with all defaults filled in."""
    from cherrydoor.config import Problems, show
    from cherrydoor.config.figures import read_file

    try:
        values = read_file(file)
    except Problems as error:
        exit_with_problems(error, as_json)
    print(json.dumps(values, indent=1) if as_json else show(values))


@main.command()
@click.argument("door")
@click.option("--function", default="deed-00001", show_default=True)
@click.option("--clause", required=True, help="Request class.")
@click.option("--party", default="", help="Tenant.")
@click.option("--mark", default="", help="Idempotency key of a keyed request.")
@click.option("--lasts", default=2500.0, show_default=True, help="Timeout of the request, in ms.")
@click.option(
    "--document",
    default="",
    help="Affinity key, which selects the version; by default, each request has one of its own.",
)
@click.option(
    "--keys",
    "folder",
    type=click.Path(),
    help="Connect over TLS and trust the authorities in this folder of keys.",
)
@click.option("--as", "name", help="Present the certificate of this name from that folder.")
@click.option("--token", default="", help="Token to send in the hello.")
@click.option(
    "--body", default="", help="Body of the request, or - to read it from standard input."
)
@click.option("--count", default=1, show_default=True)
@click.option(
    "--rate", default=10.0, show_default=True, help="Requests per second, if there are several."
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print each response as a JSON object per line."
)
def send(
    door,
    function,
    clause,
    party,
    mark,
    lasts,
    document,
    folder,
    name,
    token,
    body,
    count,
    rate,
    as_json,
):
    """Send one request, or several at a rate, to the gateway at DOOR and show the responses.

    Exits with 0 if all succeeded, 1 if some did not, 2 if the gateway cannot be reached.
    """
    from cherrydoor.cli.send import Sender

    text = sys.stdin.buffer.read() if body == "-" else body.encode()
    tls = None
    if folder:
        from cherrydoor.tls.credential_files import read_authorities, read_pair
        from cherrydoor.tls.errors import InvalidCredentialsError
        from cherrydoor.tls.tls_context import make_context

        try:
            _, _, trusted = read_authorities(Path(folder) / "authorities.pem")
            chain = private_key = b""
            if name:
                _, _, chain, private_key = read_pair(
                    Path(folder) / f"{name}.pem", Path(folder) / f"{name}.key"
                )
        except InvalidCredentialsError as error:
            print(error, file=sys.stderr)
            sys.exit(2)
        tls = make_context(False, chain, private_key, trusted)
    answers = Sender(door, clause, function, party, mark, lasts, text, document, tls, token).run(
        count, rate
    )
    if answers is None:
        print(f"cannot connect to a gateway at {door}", file=sys.stderr)
        sys.exit(2)
    for answer in answers:
        line = (
            f"{answer['fate']:14} {answer['ms']:8.1f} ms  {answer['reason']}{answer['body'][:60]}"
        )
        print(json.dumps(answer) if as_json else line)
    sys.exit(0 if all(answer["fate"] == "handled" for answer in answers) else 1)


__all__ = ["fakes", "fleet", "keys", "main", "rehearsals", "releases"]
