"""Sub-commands of `cherrydoor`. What each prints and how it exits: docs/commands.md."""

import json
import sys
from pathlib import Path

import click

from cherrydoor.cli import fakes, fleet, keys, rehearsals, releases
from cherrydoor.cli.group import main, problems


@main.command()
@click.option(
    "--lease",
    "leases",
    multiple=True,
    required=True,
    type=click.Path(),
    help="What the gateway is handed. Several leases make several gateways in this one process.",
)
@click.option("--tied", is_flag=True, help="End when standard input does.")
@click.option(
    "--announce", is_flag=True, help="Print each door that is open, as a JSON object a line."
)
@click.option("--baseline", type=click.Choice(["random", "least-out"]), hidden=True)
def gateway(leases, tied, announce, baseline):
    """Run a gateway until SIGTERM, which has it answer what it holds and leave. SIGHUP checks the lease anew."""
    from cherrydoor.gateway.daemon import main as run
    from cherrydoor.peer_services import join

    if baseline:
        from cherrydoor.rehearsal.baselines import ROUTER_FACTORIES

        make = ROUTER_FACTORIES[baseline]
    else:
        from cherrydoor.routing import Router as make

    def tell(name, port):
        print(json.dumps({"is": "door", "gateway": name, "port": port}), flush=True)

    sys.exit(run(leases, make, tied, tell if announce else None, join))


@main.command()
@click.option(
    "--trace", default=0.0, help="Ms between lines that set beliefs beside traffic; 0 for none."
)
def platform(trace):
    """Run the gateway on the platform, as PROXY_CONFIG tells it, until SIGTERM (docs/operate/platform.md)."""
    from cherrydoor.platform.process import main as run

    sys.exit(run(trace))


@main.group()
def lease():
    """Check and show leases, the files that gateways are handed."""


@lease.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print problems as JSON.")
def check(file, as_json):
    """Tell everything that is wrong with FILE; 0 if nothing is, 64 otherwise."""
    from cherrydoor.config import Problems
    from cherrydoor.config.figures import read_config

    try:
        read_config(file)
    except Problems as error:
        problems(error, as_json)
    print("[]" if as_json else f"{file}: good")


@lease.command("show")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="As JSON: durations in ms, sizes in bytes.")
def show_lease(file, as_json):
    """Print FILE with all defaults filled in."""
    from cherrydoor.config import Problems, show
    from cherrydoor.config.figures import read_file

    try:
        said = read_file(file)
    except Problems as error:
        problems(error, as_json)
    print(json.dumps(said, indent=1) if as_json else show(said))


@main.command()
@click.argument("door")
@click.option("--function", default="deed-00001", show_default=True)
@click.option("--clause", required=True, help="Event type.")
@click.option("--party", default="", help="Customer.")
@click.option("--mark", default="", help="Mark of a keyed event.")
@click.option(
    "--lasts", default=2500.0, show_default=True, help="Ms after which the client gives up."
)
@click.option(
    "--document",
    default="",
    help="By which versions are dealt out; each event has its own unless said.",
)
@click.option(
    "--keys",
    "folder",
    type=click.Path(),
    help="Folder of keys whose authorities are believed: speaks TLS.",
)
@click.option("--as", "name", help="Shows the certificate of this name, from that folder.")
@click.option("--token", default="", help="Shown in the hello.")
@click.option("--body", default="", help="Text of the event, or - for standard input.")
@click.option("--count", default=1, show_default=True)
@click.option(
    "--rate", default=10.0, show_default=True, help="Events a second where there are several."
)
@click.option("--json", "as_json", is_flag=True, help="An object a line for each answer.")
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
    """Send an event to the gateway at DOOR, or several at a rate, and show the answers.

    Exits with 0 where all were handled, 1 where some were not, 2 where the gateway cannot be reached.
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
            chain = secret = b""
            if name:
                _, _, chain, secret = read_pair(
                    Path(folder) / f"{name}.pem", Path(folder) / f"{name}.key"
                )
        except InvalidCredentialsError as error:
            print(error, file=sys.stderr)
            sys.exit(2)
        tls = make_context(False, chain, secret, trusted)
    answers = Sender(door, clause, function, party, mark, lasts, text, document, tls, token).run(
        count, rate
    )
    if answers is None:
        print(f"no gateway at {door}", file=sys.stderr)
        sys.exit(2)
    for one in answers:
        line = f"{one['fate']:14} {one['ms']:8.1f} ms  {one['reason']}{one['body'][:60]}"
        print(json.dumps(one) if as_json else line)
    sys.exit(0 if all(one["fate"] == "handled" for one in answers) else 1)


__all__ = ["fakes", "fleet", "keys", "main", "rehearsals", "releases"]
