"""Sub-commands of `cherrydoor`. What each prints and how it exits: docs/commands.md."""

import json
import sys
import time
from pathlib import Path

import click

WRONG_RULE, NOT_MADE, USAGE, BAD_FILE = 1, 2, 2, 64


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log-level", default="info", show_default=True,
              type=click.Choice(["debug", "info", "warning", "error", "critical"]), help="What is logged at the least.")
@click.version_option("0.2.0", prog_name="cherrydoor")
def main(log_level):
    """A gateway that runs events on hosts which load functions on demand, and a kit to rehearse its bad days.

    Start with `cherrydoor rehearse quick`.
    """
    from cherrydoor.cli import logs
    logs.set_up(log_level)


@main.command()
@click.option("--lease", "leases", multiple=True, required=True, type=click.Path(),
              help="What the gateway is handed. Several leases make several gateways in this one process.")
@click.option("--tied", is_flag=True, help="End when standard input does.")
@click.option("--announce", is_flag=True, help="Print each door that is open, as a JSON object a line.")
@click.option("--baseline", type=click.Choice(["random", "least-out"]), hidden=True)
def gateway(leases, tied, announce, baseline):
    """Run a gateway until SIGTERM, which has it answer what it holds and leave. SIGHUP checks the lease anew."""
    from cherrydoor.gateway.daemon import main as run
    if baseline:
        from cherrydoor.rehearsal.baselines import MAKERS
        make = MAKERS[baseline]
    else:
        from cherrydoor.logic import Gateway as make

    def tell(name, port):
        print(json.dumps({"is": "door", "gateway": name, "port": port}), flush=True)
    sys.exit(run(leases, make, tied, tell if announce else None))


@main.command()
@click.option("--trace", default=0.0, help="Ms between lines that set beliefs beside traffic; 0 for none.")
def platform(trace):
    """Run the gateway on the platform, as PROXY_CONFIG tells it, until SIGTERM (docs/operate/platform.md)."""
    from cherrydoor.platform.process import main as run
    sys.exit(run(trace))


@main.group()
def lease():
    """Check and show leases, the files that gateways are handed."""


def problems(error, as_json):
    """Prints what is wrong with a file and exits."""
    if as_json:
        print(json.dumps([vars(p) for p in error.problems], indent=1))
    else:
        print(error, file=sys.stderr)
    sys.exit(BAD_FILE)


@lease.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print problems as JSON.")
def check(file, as_json):
    """Tell everything that is wrong with FILE; 0 if nothing is, 64 otherwise."""
    from cherrydoor.lease import Problems
    from cherrydoor.lease.figures import lease_of
    try:
        lease_of(file)
    except Problems as error:
        problems(error, as_json)
    print("[]" if as_json else f"{file}: good")


@lease.command("show")
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="As JSON: durations in ms, sizes in bytes.")
def show_lease(file, as_json):
    """Print FILE with all defaults filled in."""
    from cherrydoor.lease import Problems, show
    from cherrydoor.lease.figures import read_file
    try:
        said = read_file(file)
    except Problems as error:
        problems(error, as_json)
    print(json.dumps(said, indent=1) if as_json else show(said))


@main.group()
def keys():
    """Make a local authority, certificates and tokens in a folder, and show what is in service and when it ends."""


def in_folder(do):
    """Runs do(folder) on the folder of keys; its faults in one line."""
    from cherrydoor.keys.make import CannotMake
    try:
        said = do()
    except (CannotMake, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    if said:
        print(said)


def folder_of(path):
    from cherrydoor.keys.make import Folder
    return Folder(path)


@keys.command()
@click.argument("folder", type=click.Path())
@click.option("--days", default=3650.0, show_default=True)
@click.option("--next", "more", is_flag=True, help="One more, trusted beside the one there is: begins a change-over.")
def authority(folder, days, more):
    """Make an authority in FOLDER."""
    in_folder(lambda: folder_of(folder).authority(days, more))


@keys.command()
@click.argument("folder", type=click.Path())
def retire(folder):
    """Trust the oldest authority no more: ends a change-over."""
    in_folder(lambda: folder_of(folder).retire())


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("kind", type=click.Choice(["gateway", "host", "client"]))
@click.argument("name")
@click.option("--days", default=90.0, show_default=True)
@click.option("--for", "addresses", multiple=True, help="Address or name by which it is reached; several are possible.")
def issue(folder, kind, name, days, addresses):
    """Issue NAME.pem and NAME.key by the newest authority. A client's NAME is the one it is known by in leases."""
    in_folder(lambda: folder_of(folder).issue(kind, name, days, addresses))


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("names", nargs=-1, required=True)
def revoke(folder, names):
    """Put the certificates of NAMES on the list of revocations."""
    in_folder(lambda: folder_of(folder).revoke(*names))


@keys.command("token-key")
@click.argument("folder", type=click.Path())
@click.argument("kid")
@click.option("--office", "offices", multiple=True, help="For this client alone; several are possible.")
@click.option("--drop", is_flag=True, help="Take it out: tokens of it are void.")
def token_key(folder, kid, offices, drop):
    """Make the key KID, by which tokens are signed."""
    in_folder(lambda: folder_of(folder).drop_token_key(kid) if drop else folder_of(folder).token_key(kid, offices))


@keys.command()
@click.argument("folder", type=click.Path())
@click.argument("kid")
@click.argument("office")
@click.option("--days", default=30.0, show_default=True)
def token(folder, kid, office, days):
    """Print a token by which a client proves in its hello that it is OFFICE."""
    in_folder(lambda: folder_of(folder).token(kid, office, days))


@keys.command("show")
@click.argument("folder", type=click.Path(), required=False)
@click.option("--lease", "lease_file", type=click.Path(), help="What this lease names, in place of a folder.")
@click.option("--json", "as_json", is_flag=True)
def show_keys(folder, lease_file, as_json):
    """Show what there is, and when each ends; 1 where something is wrong or has ended."""
    from cherrydoor.keys.show import rows_of
    from cherrydoor.lease import Problems
    if (folder is None) == (lease_file is None):
        raise click.UsageError("FOLDER or --lease FILE, one of them")
    try:
        rows = rows_of(folder, lease_file)
    except Problems as error:
        problems(error, as_json)
    if as_json:
        print(json.dumps(rows, indent=1))
    else:
        for row in rows:
            print(f"{row['kind']:12} {row['name']:28} {row['state']:34} {row['file']}")
    sys.exit(0 if all(row["good"] for row in rows) else 1)


@main.group()
def release():
    """Speak to a running gateway about releases, over the socket that its lease names as `releases.control`."""


def spoken(control, **said):
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


def spoken_command(name, what, about, version=False):
    def act(control, function, as_json=False, **more):
        answer = spoken(control, do=what, **({"function": function} if function else {}), **more)
        if as_json:
            return print(json.dumps(answer, indent=1))
        print(f"{'function':24} {'version':>8} {'state':10} {'share':>6} {'calls':>7}  errors new old, slow new old")
        for row in answer["releases"]:
            print(f"{row['function']:24} {row['version']:>8} {row['state']:10} {row['share']:6.0%} {row['calls']:7}  "
                  f"{row['errors'][0]}/{row['errors'][1]} {row['errors'][2]}/{row['errors'][3]}, "
                  f"{row['slow'][0]}/{row['slow'][1]} {row['slow'][2]}/{row['slow'][3]}, "
                  f"{'held ' if row['held'] else ''}{row['why']}")
    act.__doc__ = about
    made = click.argument("function", required=what != "show")(act)
    if version:
        made = click.argument("version", type=click.IntRange(1))(made)
    made = click.option("--json", "as_json", is_flag=True)(made)
    made = click.option("--control", required=True, type=click.Path(), help="The gateway's control socket.")(made)
    release.command(name)(made)


for name, what, about in (("show", "show", "Show releases: share, figures behind each verdict, why."),
                          ("hold", "hold", "Take no further step with FUNCTION's release; it may still be withdrawn."),
                          ("go-on", "go on", "End a hold."), ("withdraw", "withdraw", "Take FUNCTION's release back."),
                          ("complete", "complete", "Give FUNCTION's release all events now.")):
    spoken_command(name, what, about)
spoken_command("announce", "announce", "Announce VERSION of FUNCTION at this gateway alone.", True)


@main.command()
@click.option("--store", "store_at", required=True, help="Address of the program store.")
@click.option("--count", default=1, show_default=True, help="How many hosts, each on a port of its own.")
@click.option("--cores", default=2, show_default=True)
@click.option("--memory", default=8000.0, show_default=True, help="MB.")
@click.option("--record", type=click.Path(), help="Folder for what passes on its sockets.")
def host(store_at, count, cores, memory, record):
    """Run stand-in hosts. Commands come as JSON lines: {"do": "silent"}, {"do": "drain", "hosts": [...]}, {"do":
    "crash"}, {"do": "slow", "times": 3}, {"do": "pause", "ms": 200}, {"do": "lose", "share": 0.5}, {"do": "who"}."""
    from cherrydoor.standin.command import main as run
    run("hosts", {"store": store_at, "record": record, "builds": [{"cores": cores, "memory": memory}] * count})


@main.command()
@click.option("--port", default=0, help="0 takes a free one.")
@click.option("--at-once", default=10, show_default=True, help="Fetches at full pace.")
@click.option("--record", type=click.Path(), help="Folder for what passes on its sockets.")
def store(port, at_once, record):
    """Run a stand-in program store. Commands: {"do": "set", "slow": 4}, {"do": "set", "stopped": true}."""
    from cherrydoor.standin.command import main as run
    run("store", {"port": port, "record": record, "figures": {"at_once": at_once}})


@main.command("list")
@click.option("--port", default=0, help="0 takes a free one.")
@click.option("--host", "hosts", multiple=True, help="Address of a host that is ready from the start.")
@click.option("--record", type=click.Path(), help="Folder for what passes on its sockets.")
def list_command(port, hosts, record):
    """Run a stand-in list of hosts. Commands: {"do": "row", "host": "127.0.0.1:4001", "state": "draining"}."""
    from cherrydoor.standin.command import main as run
    run("roll", {"port": port, "record": record, "hosts": list(hosts)})


@main.command()
@click.option("--port", default=0, help="0 takes a free one.")
@click.option("--record", type=click.Path(), help="Folder for what passes on its sockets.")
def feed(port, record):
    """Run a stand-in release feed. Commands: {"do": "release", "functions": ["deed-00001"], "version": 2}, with
    "state": "withdrawn" or "complete" where it is not announced but ended; {"do": "misses", "share": 0.5}."""
    from cherrydoor.standin.command import main as run
    run("feed", {"port": port, "record": record})


@main.command()
@click.argument("door")
@click.option("--function", default="deed-00001", show_default=True)
@click.option("--clause", required=True, help="Event type.")
@click.option("--party", default="", help="Customer.")
@click.option("--mark", default="", help="Mark of a keyed event.")
@click.option("--lasts", default=2500.0, show_default=True, help="Ms after which the client gives up.")
@click.option("--document", default="", help="By which versions are dealt out; each event has its own unless said.")
@click.option("--keys", "folder", type=click.Path(), help="Folder of keys whose authorities are believed: speaks TLS.")
@click.option("--as", "name", help="Shows the certificate of this name, from that folder.")
@click.option("--token", default="", help="Shown in the hello.")
@click.option("--body", default="", help="Text of the event, or - for standard input.")
@click.option("--count", default=1, show_default=True)
@click.option("--rate", default=10.0, show_default=True, help="Events a second where there are several.")
@click.option("--json", "as_json", is_flag=True, help="An object a line for each answer.")
def send(door, function, clause, party, mark, lasts, document, folder, name, token, body, count, rate, as_json):
    """Send an event to the gateway at DOOR, or several at a rate, and show the answers.

    Exits with 0 where all were handled, 1 where some were not, 2 where the gateway cannot be reached.
    """
    from cherrydoor.cli.send import Sender
    text = sys.stdin.buffer.read() if body == "-" else body.encode()
    tls = None
    if folder:
        from cherrydoor.keys import files
        try:
            _, _, trusted = files.authorities(Path(folder) / "authorities.pem")
            chain = secret = b""
            if name:
                _, _, chain, secret = files.pair(Path(folder) / f"{name}.pem", Path(folder) / f"{name}.key")
        except files.BadKeys as error:
            print(error, file=sys.stderr)
            sys.exit(2)
        tls = files.context(False, chain, secret, trusted)
    answers = Sender(door, clause, function, party, mark, lasts, text, document, tls, token).run(count, rate)
    if answers is None:
        print(f"no gateway at {door}", file=sys.stderr)
        sys.exit(2)
    for one in answers:
        line = f"{one['fate']:14} {one['ms']:8.1f} ms  {one['reason']}{one['body'][:60]}"
        print(json.dumps(one) if as_json else line)
    sys.exit(0 if all(one["fate"] == "handled" for one in answers) else 1)


@main.command("stand-in", hidden=True)
@click.argument("kind", type=click.Choice(["hosts", "store", "roll", "crowd", "feed", "clients"]))
def stand_in(kind):
    """One part of a rehearsal; its figures come as the first line of standard input."""
    said = json.loads(sys.stdin.readline())
    if kind == "clients":
        import uvloop

        from cherrydoor.rehearsal.clients import play
        uvloop.run(play(said))
    else:
        from cherrydoor.standin.command import main as run
        run(kind, said)


@main.command()
@click.argument("day", required=False)
@click.option("--bench-day", type=click.Path(), help="A day drawn by the users' simulator, in place of DAY.")
@click.option("--size", default=1.0, show_default=True, type=click.FloatRange(0.01, 1), help="Of a bench day's fleet.")
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.05, 1), help="Of its real time.")
@click.option("--out", type=click.Path(), help="Folder for traffic, leases, logs and report.")
@click.option("--seed", type=int, help="In place of the day's own.")
@click.option("--decides", type=click.Choice(["module", "random", "least-out"]),
              help="What chooses hosts; the latter two are baselines.")
@click.option("--without", multiple=True, help="A kind of trouble that is left out; its time is still marked.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
@click.option("--quiet", is_flag=True, help="No progress.")
def rehearse(day, bench_day, size, speed, out, seed, decides, without, as_json, quiet):
    """Play DAY, the name of a shipped one or a file, on loopback sockets, then judge it from its traffic.

    Exits with 0 where every rule was kept, 1 where one was broken, 2 where the run could not be made.
    """
    from cherrydoor.lease import Problems
    from cherrydoor.rehearsal.conduct import CannotRun
    from cherrydoor.rehearsal.conduct import rehearse as play
    from cherrydoor.rehearsal.day import read_day
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
        print(f"{said['name']}: {said['about']}\n{(said['length'] + said['warm']) / 1000:g} s with "
              f"{said['gateways']['count']} gateways and {said['fleet']['hosts']} hosts, into {folder}",
              file=sys.stderr)
    try:
        play(said, folder, (lambda text: None) if quiet else (lambda text: print(text, file=sys.stderr, flush=True)))
    except (CannotRun, OSError) as error:
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
    sys.exit(WRONG_RULE if found["broken"] else 0)


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
@click.option("--without", multiple=True, help="A kind of trouble that is left out; its time is still marked.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def emulate(day, out, seed, decides, without, as_json):
    """Play DAY in virtual time, in this one process, with the same gateways, hosts and clients, then judge it.

    The same seed gives the same run to the last byte. Exits as `rehearse` does.
    """
    from cherrydoor.cli import logs
    from cherrydoor.emulator.play import emulate as play
    from cherrydoor.lease import Problems
    from cherrydoor.rehearsal.conduct import CannotRun
    from cherrydoor.rehearsal.day import read_day
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
    except (CannotRun, OSError) as error:
        print(f"the run could not be made: {error}", file=sys.stderr)
        sys.exit(NOT_MADE)
    judge(folder, as_json)
