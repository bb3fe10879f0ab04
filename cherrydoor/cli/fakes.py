"""`cherrydoor host`, `store`, `list` and `feed`: fakes of the services that gateways use."""

import json
import sys

import click

from cherrydoor.cli.group import main


@main.command()
@click.option("--store", "store_at", required=True, help="Address of the program store.")
@click.option(
    "--count", default=1, show_default=True, help="Number of hosts, each on its own port."
)
@click.option("--cores", default=2, show_default=True)
@click.option("--memory", default=8000.0, show_default=True, help="Memory of a host in MB.")
@click.option(
    "--record", type=click.Path(), help="Folder for a record of the traffic on its sockets."
)
def host(store_at, count, cores, memory, record):
    """Run fake hosts.

    Commands are read from standard input as JSON lines: {"do": "silent"},
    {"do": "drain", "hosts": [...]}, {"do": "crash"}, {"do": "slow", "times": 3},
    {"do": "pause", "ms": 200}, {"do": "lose", "share": 0.5}, {"do": "who"}.
    """
    from cherrydoor.fakes.command import main as run

    run(
        "hosts",
        {
            "store": store_at,
            "record": record,
            "builds": [{"cores": cores, "memory": memory}] * count,
        },
    )


@main.command()
@click.option("--port", default=0, help="Port; 0 takes a free one.")
@click.option("--at-once", default=10, show_default=True, help="Concurrent fetches at full speed.")
@click.option(
    "--record", type=click.Path(), help="Folder for a record of the traffic on its sockets."
)
def store(port, at_once, record):
    """Run a fake program store.

    Commands on standard input: {"do": "set", "slow": 4}, {"do": "set", "stopped": true}.
    """
    from cherrydoor.fakes.command import main as run

    run("store", {"port": port, "record": record, "figures": {"at_once": at_once}})


@main.command("list")
@click.option("--port", default=0, help="Port; 0 takes a free one.")
@click.option(
    "--host",
    "hosts",
    multiple=True,
    help="Address of a host that is listed as ready from the start.",
)
@click.option(
    "--record", type=click.Path(), help="Folder for a record of the traffic on its sockets."
)
def list_command(port, hosts, record):
    """Run a fake endpoint list.

    Commands on standard input: {"do": "row", "host": "127.0.0.1:4001", "state": "draining"}.
    """
    from cherrydoor.fakes.command import main as run

    run("roll", {"port": port, "record": record, "hosts": list(hosts)})


@main.command()
@click.option("--port", default=0, help="Port; 0 takes a free one.")
@click.option(
    "--record", type=click.Path(), help="Folder for a record of the traffic on its sockets."
)
def feed(port, record):
    """Run a fake release feed.

    Commands on standard input: {"do": "release", "functions": ["deed-00001"], "version": 2}, with
    "state": "withdrawn" or "complete" to end the release instead of announcing it;
    {"do": "misses", "share": 0.5}.
    """
    from cherrydoor.fakes.command import main as run

    run("feed", {"port": port, "record": record})


@main.command("stand-in", hidden=True)
@click.argument(
    "kind", type=click.Choice(["hosts", "store", "roll", "crowd", "feed", "clients", "between"])
)
def stand_in(kind):
    """Run one process of a scenario; the first line of standard input has its settings as JSON."""
    settings = json.loads(sys.stdin.readline())
    if kind == "clients":
        import uvloop

        from cherrydoor.rehearsal.clients import play

        uvloop.run(play(settings))
    elif kind == "between":
        import uvloop

        from cherrydoor.rehearsal.fault_injecting_proxy import play as proxy

        uvloop.run(proxy(settings))
    else:
        from cherrydoor.fakes.command import main as run

        run(kind, settings)
