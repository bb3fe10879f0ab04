"""A lease as read, turned into the few things that a gateway goes by."""

from importlib import resources
from ipaddress import ip_network
from math import inf
from os import PathLike
from pathlib import Path

from cherrydoor.config.records import Duration, Problem, Problems, Size, read
from cherrydoor.routing import messages as routing


def schema(name):
    return resources.files("cherrydoor.config").joinpath(name).read_text()


def read_file(path, top="#Lease", name="gateway.schema", positions=None):
    """The plain value of a file of records; Problems also for a file that cannot be read at all."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise Problems(
            [Problem(str(path), 1, 1, "", "a readable file of UTF-8 text", str(error))]
        ) from None
    return read(text, str(path), schema(name), top, name, positions)


def bare(value):
    """The same value without units: what leaves the lease are plain numbers."""
    if isinstance(value, dict):
        return {key: bare(item) for key, item in value.items()}
    if isinstance(value, list):
        return [bare(item) for item in value]
    return (
        float(value)
        if isinstance(value, Duration)
        else int(value)
        if isinstance(value, Size)
        else value
    )


class Bounds:
    """What the sockets go by: bytes, connections, and the ms that draining may take."""

    def __init__(self, said):
        self.connections, self.client_bytes, self.host_bytes = (
            said["connections"],
            said["client_bytes"],
            said["host_bytes"],
        )
        self.frame, self.drain = said["frame"], said["drain"]


class DispatcherLimits:
    """What bounds a desk, each with what is done at the bound. Times in ms.

    spare: taken off each client's time, for the way back;  most_open: events held, more are deferred untaken;
    per_link: launches on one connection before another is opened;  links: connections to one host, then they share;
    handshake: price of a new connection, in events' worth: a further one is opened as far as what was sent bears it;
    connect: a connection not up by then failed;  idle: an unused one is closed;  probe, order: longest wait for these;
    silence: a launch, probe or order cut after so long without a word on its link closes it, if nothing else is out;
    stay: advice with what is refused untaken;  tells: whether hosts' answers tell of copies, and of the crowd.
    """

    def __init__(
        self,
        spare=50.0,
        most_open=20000,
        per_link=100,
        links=4,
        connect=250.0,
        idle=15000.0,
        probe=250.0,
        order=10000.0,
        stay=200.0,
        tells=(True, True),
        silence=inf,
        handshake=0.0,
    ):
        self.spare, self.most_open, self.per_link, self.links, self.silence = (
            spare,
            most_open,
            per_link,
            links,
            silence,
        )
        self.connect, self.idle, self.probe, self.order, self.stay = (
            connect,
            idle,
            probe,
            order,
            stay,
        )
        self.tells, self.handshake = tells, handshake


def request_class_of(clause):
    """The decision module's record of one entry of `clauses`."""
    return routing.RequestClass(
        clause["name"],
        clause["target"],
        clause["max_age"],
        routing.RetrySafety(clause["kind"]),
        clause["group"],
        clause["memory"],
        clause["stream"],
    )


class GatewayConfig:
    """One gateway's lease: for the module (lease), the desk (terms) and the sockets (bounds, addresses)."""

    def __init__(self, said):
        said = bare(said)
        may, cold, ration, bounds = said["may"], said["cold"], said["ration"], said["bounds"]
        self.benefits = {clause["name"]: clause["benefit"] for clause in said["clauses"]}
        self.name, self.door, self.list_at = said["name"], said["door"], said["list"]
        self.saved = Path(said["saved"]) if said["saved"] else None
        self.metrics = said["metrics"]
        self.admission, self.memory = said["admission"], said["admission"]["memory"]
        self.releases, self.peers, self.tenures = said["releases"], said["peers"], said["tenures"]
        self.keys, self.seed = said["keys"], said["seed"]
        self.bounds = Bounds(bounds)
        self.limits = DispatcherLimits(
            bounds["spare"],
            bounds["open_events"],
            bounds["launches_on_a_link"],
            bounds["links_to_a_host"],
            bounds["connect"],
            bounds["idle"],
            bounds["probe"],
            bounds["order"],
            bounds["stay"],
            (said["tells"]["copy"], said["tells"]["crowd"]),
        )
        self.lease = routing.Settings(
            said["number"],
            said["gateways"],
            said["seed"],
            said["zone"],
            1.0,
            tuple(request_class_of(clause) for clause in said["clauses"]),
            tuple(routing.Tenant(party["name"], party["per_second"]) for party in said["parties"]),
            said["asks"],
            may["launches"],
            may["twice"],
            may["recall"],
            may["probe"],
            may["advice"],
            cold["from"],
            cold["time"],
            cold["multiple"],
            cold["fall"],
            said["linger"],
            may["order"],
            said["misses"],
            ration["free"],
            ration["share"],
            ration["within"],
            said["tells"]["copy"],
            said["tells"]["crowd"],
        )


def problems_of(said, file, positions=None):
    """What no single field shows: addresses that are none, doubled names, a number beyond the count."""
    found, positions = [], positions or {}

    def check(good, path, expected, value):
        if not good:  # where it is said, else where what holds it is
            parts = path.split(".")
            above = (positions.get(".".join(parts[:n])) for n in range(len(parts), 0, -1))
            line, column = next((at for at in above if at), (1, 1))
            found.append(Problem(file, line, column, path, expected, str(value)))

    for path in ("door", "list", "metrics"):
        host, _, port = said[path].rpartition(":")
        good = host and port.isdigit() and int(port) < 65536
        check(
            good or path == "metrics" and not said[path], path, "an address:port", repr(said[path])
        )
    check(
        said["number"] < said["gateways"],
        "number",
        f"a number below {said['gateways']} gateways",
        said["number"],
    )
    feed = said["releases"]["feed"].rpartition(":")
    check(
        not said["releases"]["feed"] or feed[0] and feed[2].isdigit() and int(feed[2]) < 65536,
        "releases.feed",
        "an address:port",
        repr(said["releases"]["feed"]),
    )
    check(
        said["releases"]["feed"] or not said["releases"]["control"],
        "releases.control",
        "a feed beside it",
        "none",
    )
    keys = said["keys"]
    check(
        bool(keys["certificate"]) == bool(keys["key"]),
        "keys.key",
        "a certificate and its key, or neither",
        repr(keys["key"]),
    )
    check(
        keys["authorities"] or not keys["revoked"],
        "keys.revoked",
        "authorities beside revocations",
        "none",
    )
    check(
        keys["authorities"] or not keys["hosts"],
        "keys.hosts",
        "authorities by which hosts are believed",
        "none",
    )
    check(
        keys["authorities"] or keys["clients"] != "need",
        "keys.clients",
        "authorities by which clients are believed",
        "none",
    )
    for i, known in enumerate(said["admission"]["known"]):
        for net in known["addresses"]:
            try:
                ip_network(net, strict=False)
            except ValueError:
                check(
                    False,
                    f"admission.known.{i}.addresses",
                    "networks such as 10.1.0.0/16 or 2001:db8::/48",
                    net,
                )
    names = [known["name"] for known in said["admission"]["known"]]
    check(len(set(names)) == len(names), "admission.known", "names that differ", " ".join(names))
    for path in ("clauses", "parties"):
        names = [entry["name"] for entry in said[path]]
        check(len(set(names)) == len(names), path, "names that differ", " ".join(names))
    for i, clause in enumerate(said["clauses"]):
        check(
            clause["target"] <= clause["max_age"],
            f"clauses.{i}.target",
            "no more than max_age",
            clause["target"],
        )
        keyed = clause["kind"] == "keyed"
        check(
            not keyed or clause["memory"] > 0,
            f"clauses.{i}.memory",
            "above 0 for a keyed event type",
            0,
        )
        check(
            keyed or clause["group"] == "all",
            f"clauses.{i}.group",
            "'all' for an event type that is not keyed: no host drops its repeats",
            repr(clause["group"]),
        )
    check_deployment_shape(said, check)
    check_peers(said, check)
    return found


def check_deployment_shape(said, check):
    """Statements of two shapes of deployment that cannot both hold (docs/migration.md says why)."""
    order, tells = said["may"]["order"], said["tells"]
    check(
        order or not said["ration"]["within"],
        "ration.within",
        "0ms where may.order is false: no orders are given",
        f"{said['ration']['within']:g}ms",
    )
    check(
        order or not said["misses"],
        "misses",
        "false where may.order is false: nothing would ever be loaded",
        "true",
    )
    check(
        tells["copy"] or not said["releases"]["feed"],
        "tells.copy",
        "true beside releases.feed: else a release's first loads count as its slowness",
        "false",
    )


def addressed(text):
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65536


def check_peers(said, check):
    """What is said of peers and tenures, where a gateway has any."""
    peers, tenures = said["peers"], said["tenures"]
    if not peers["door"]:
        check(not peers["keepers"], "peers.door", "an address:port beside peers.keepers", '""')
        return
    names = [one["name"] for one in peers["keepers"]]
    check(addressed(peers["door"]), "peers.door", "an address:port", repr(peers["door"]))
    check(
        not peers["at"] or addressed(peers["at"]), "peers.at", "an address:port", repr(peers["at"])
    )
    check(
        len(names) % 2 == 1,
        "peers.keepers",
        "an odd number, so that there is a majority",
        len(names),
    )
    check(len(set(names)) == len(names), "peers.keepers", "names that differ", " ".join(names))
    for i, one in enumerate(peers["keepers"]):
        check(addressed(one["at"]), f"peers.keepers.{i}.at", "an address:port", repr(one["at"]))
    check(
        peers["next"] < said["gateways"],
        "peers.next",
        f"fewer than {said['gateways']} gateways: one is this itself",
        peers["next"],
    )
    check(
        2 * peers["beat"] <= peers["silent"],
        "peers.silent",
        "at least two beats",
        f"{peers['silent']:g}ms",
    )
    check(
        said["name"] not in names or tenures["promises"],
        "tenures.promises",
        "a file, as this gateway is a keeper",
        '""',
    )
    lost = tenures["term"] * tenures["drift"] + tenures["margin"]
    check(
        tenures["term"] > 2 * lost,
        "tenures.term",
        f"more than twice its margins, {2 * lost:g}ms",
        f"{tenures['term']:g}ms",
    )
    check(
        tenures["longest"] >= tenures["term"],
        "tenures.longest",
        "no less than tenures.term",
        f"{tenures['longest']:g}ms",
    )


def read_config(path: "str | PathLike[str]") -> "GatewayConfig":
    """The figures of a lease file; Problems names everything that is wrong with it."""
    positions: dict = {}
    said = read_file(path, positions=positions)
    if found := problems_of(said, str(path), positions):
        raise Problems(found)
    return GatewayConfig(said)
