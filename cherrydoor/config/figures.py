"""Reads a gateway's configuration file, validates it and makes the settings of its parts."""

from importlib import resources
from ipaddress import ip_network
from math import inf
from os import PathLike
from pathlib import Path

from cherrydoor.config.records import Duration, Problem, Problems, Size, read
from cherrydoor.routing import messages as routing


def schema(name):
    """Returns the text of a schema file of this package."""
    return resources.files("cherrydoor.config").joinpath(name).read_text()


def read_file(path, top="#Lease", name="gateway.schema", positions=None):
    """Returns the plain value of a file of typed records.

    Args:
        path: Path of the file.
        top: The definition of the schema that the whole file must satisfy.
        name: File name of the schema.
        positions: A dict that receives the line and column of each dotted path that the file sets.

    Raises:
        Problems: The file cannot be read or is not valid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise Problems(
            [Problem(str(path), 1, 1, "", "a readable file of UTF-8 text", str(error))]
        ) from None
    return read(text, str(path), schema(name), top, name, positions)


def bare(value):
    """Returns the same value with plain numbers in place of Duration (ms) and Size (bytes)."""
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
    """Limits of the sockets.

    Attributes:
        connections: Client connections.
        client_bytes: Unsent bytes for one client.
        host_bytes: Unsent bytes for one host.
        frame: Longest frame, in bytes.
        drain: Time after SIGTERM until open connections are cut, in ms.
    """

    def __init__(self, values):
        self.connections, self.client_bytes, self.host_bytes = (
            values["connections"],
            values["client_bytes"],
            values["host_bytes"],
        )
        self.frame, self.drain = values["frame"], values["drain"]


class DispatcherLimits:
    """Limits of the dispatcher. Times are in ms.

    Attributes:
        spare: Time subtracted from each request's timeout, for the response's way back.
        most_open: Requests in flight; further ones are rejected before any attempt.
        per_link: Attempts on one connection before another one is opened.
        links: Connections to one host; beyond that, attempts share connections.
        host_connections: Connections to all hosts together; beyond that, a new connection first
            closes an idle one. The daemon sets it from the descriptors of its process; the
            configuration does not state it.
        most_body_bytes: Bytes of the bodies of all requests in flight; a further request with a
            body is rejected before any attempt. The service sets it from the memory of its process.
        connect: Timeout for connecting to a host.
        idle: Time after which an unused connection to a host is closed.
        probe: Timeout of a health check.
        order: Timeout of a load order.
        stay: Retry-After of requests that are rejected before any attempt.
        tells: Whether hosts report copies, and whether they report concurrency.
        silence: When a call times out on a connection without a reply for this long, the connection
            gets no further calls and is closed once no call is in flight on it.
        handshake: Cost of a new connection, in calls. A further connection is opened only once
            enough calls were sent to the host to justify that cost.
    """

    host_connections = inf
    most_body_bytes = inf

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


def request_class_of(entry):
    """Returns the router's request class for one entry of `clauses`."""
    return routing.RequestClass(
        entry["name"],
        entry["target"],
        entry["max_age"],
        routing.RetrySafety(entry["kind"]),
        entry["group"],
        entry["memory"],
        entry["stream"],
    )


class GatewayConfig:
    """The configuration of one gateway, divided by the part that uses it.

    Attributes:
        name: Name of the gateway.
        door: Address where clients connect.
        list_at: Address of the endpoint list.
        saved: File that caches the last endpoint list; None for no file.
        metrics: Address of the metrics; "" for none.
        seed: Seed of all random numbers.
        benefits: Priority weight of each request class, by name.
        memory: Bytes of memory that the process may use.
        lease: Settings of the router.
        limits: Limits of the dispatcher.
        bounds: Limits of the sockets.
        admission, keys, peers, releases, tenures: The section of this name, as plain values.
    """

    def __init__(self, values):
        values = bare(values)
        permissions, slow_start, load_quota, bounds = (
            values["may"],
            values["cold"],
            values["ration"],
            values["bounds"],
        )
        self.benefits = {entry["name"]: entry["benefit"] for entry in values["clauses"]}
        self.name, self.door, self.list_at = values["name"], values["door"], values["list"]
        self.saved = Path(values["saved"]) if values["saved"] else None
        self.metrics = values["metrics"]
        self.admission, self.memory = values["admission"], values["admission"]["memory"]
        self.releases, self.peers, self.tenures = (
            values["releases"],
            values["peers"],
            values["tenures"],
        )
        self.keys, self.seed = values["keys"], values["seed"]
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
            (values["tells"]["copy"], values["tells"]["crowd"]),
        )
        self.lease = routing.Settings(
            values["number"],
            values["gateways"],
            values["seed"],
            values["zone"],
            1.0,
            tuple(request_class_of(entry) for entry in values["clauses"]),
            tuple(
                routing.Tenant(tenant["name"], tenant["per_second"]) for tenant in values["parties"]
            ),
            values["asks"],
            permissions["launches"],
            permissions["twice"],
            permissions["recall"],
            permissions["probe"],
            permissions["advice"],
            slow_start["from"],
            slow_start["time"],
            slow_start["multiple"],
            slow_start["fall"],
            values["linger"],
            permissions["order"],
            values["misses"],
            load_quota["free"],
            load_quota["share"],
            load_quota["within"],
            values["tells"]["copy"],
            values["tells"]["crowd"],
        )


def problems_of(values, file, positions=None):
    """Returns the problems that the schema cannot express.

    These are invalid addresses, duplicate names and fields that contradict each other.

    Args:
        values: The plain values of the file.
        file: Name of the file, for error messages.
        positions: Line and column of each dotted path that the file sets.
    """
    problems, positions = [], positions or {}

    def check(is_valid, path, expected, value):
        if not is_valid:
            parts = path.split(".")
            # the position of the field if the file sets it, else of the nearest enclosing one
            known_positions = (positions.get(".".join(parts[:n])) for n in range(len(parts), 0, -1))
            line, column = next((at for at in known_positions if at), (1, 1))
            problems.append(Problem(file, line, column, path, expected, str(value)))

    for path in ("door", "list", "metrics"):
        host, _, port = values[path].rpartition(":")
        is_valid = host and port.isdigit() and int(port) < 65536
        check(
            is_valid or path == "metrics" and not values[path],
            path,
            "an address:port",
            repr(values[path]),
        )
    check(
        values["number"] < values["gateways"],
        "number",
        f"a number below {values['gateways']} gateways",
        values["number"],
    )
    feed = values["releases"]["feed"].rpartition(":")
    check(
        not values["releases"]["feed"] or feed[0] and feed[2].isdigit() and int(feed[2]) < 65536,
        "releases.feed",
        "an address:port",
        repr(values["releases"]["feed"]),
    )
    check(
        values["releases"]["feed"] or not values["releases"]["control"],
        "releases.control",
        "releases.feed to be set as well",
        "none",
    )
    keys = values["keys"]
    check(
        bool(keys["certificate"]) == bool(keys["key"]),
        "keys.key",
        "a certificate and its key, or neither",
        repr(keys["key"]),
    )
    check(
        keys["authorities"] or not keys["revoked"],
        "keys.revoked",
        "keys.authorities to be set as well",
        "none",
    )
    check(
        keys["authorities"] or not keys["hosts"],
        "keys.hosts",
        "keys.authorities that verify hosts",
        "none",
    )
    check(
        keys["authorities"] or keys["clients"] != "need",
        "keys.clients",
        "keys.authorities that verify clients",
        "none",
    )
    for index, client in enumerate(values["admission"]["known"]):
        for network in client["addresses"]:
            try:
                ip_network(network, strict=False)
            except ValueError:
                check(
                    False,
                    f"admission.known.{index}.addresses",
                    "networks such as 10.1.0.0/16 or 2001:db8::/48",
                    network,
                )
    names = [client["name"] for client in values["admission"]["known"]]
    check(len(set(names)) == len(names), "admission.known", "unique names", " ".join(names))
    for path in ("clauses", "parties"):
        names = [entry["name"] for entry in values[path]]
        check(len(set(names)) == len(names), path, "unique names", " ".join(names))
    for index, request_class in enumerate(values["clauses"]):
        check(
            request_class["target"] <= request_class["max_age"],
            f"clauses.{index}.target",
            "no more than max_age",
            request_class["target"],
        )
        keyed = request_class["kind"] == "keyed"
        check(
            not keyed or request_class["memory"] > 0,
            f"clauses.{index}.memory",
            "more than 0 for a keyed request class",
            0,
        )
        check(
            keyed or request_class["group"] == "all",
            f"clauses.{index}.group",
            "'all' for a request class that is not keyed, as no host recognizes its duplicates",
            repr(request_class["group"]),
        )
    check_deployment_shape(values, check)
    check_peers(values, check)
    return problems


def check_deployment_shape(values, check):
    """Checks that no settings of two different kinds of deployment are mixed.

    docs/migration.md describes the kinds and why they exclude each other.
    """
    may_order, reports = values["may"]["order"], values["tells"]
    check(
        may_order or not values["ration"]["within"],
        "ration.within",
        "0ms if may.order is false, as no load orders are sent",
        f"{values['ration']['within']:g}ms",
    )
    check(
        may_order or not values["misses"],
        "misses",
        "false if may.order is false, as no function would ever be loaded",
        "true",
    )
    check(
        reports["copy"] or not values["releases"]["feed"],
        "tells.copy",
        "true if releases.feed is set, as the first loads of a release would count as slow answers",
        "false",
    )


def is_address(text):
    """Returns whether a text has the form host:port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65536


def check_peers(values, check):
    """Checks the sections `peers` and `tenures` of a gateway with peers."""
    peers, tenures = values["peers"], values["tenures"]
    if not peers["door"]:
        check(not peers["keepers"], "peers.door", "an address:port if peers.keepers is set", '""')
        return
    names = [voter["name"] for voter in peers["keepers"]]
    check(is_address(peers["door"]), "peers.door", "an address:port", repr(peers["door"]))
    check(
        not peers["at"] or is_address(peers["at"]), "peers.at", "an address:port", repr(peers["at"])
    )
    check(
        len(names) % 2 == 1,
        "peers.keepers",
        "an odd number of voters, so that there is a majority",
        len(names),
    )
    check(len(set(names)) == len(names), "peers.keepers", "unique names", " ".join(names))
    for index, voter in enumerate(peers["keepers"]):
        check(
            is_address(voter["at"]),
            f"peers.keepers.{index}.at",
            "an address:port",
            repr(voter["at"]),
        )
    check(
        peers["next"] < values["gateways"],
        "peers.next",
        f"fewer than {values['gateways']} gateways, as one of them is this one",
        peers["next"],
    )
    check(
        2 * peers["beat"] <= peers["silent"],
        "peers.silent",
        "at least twice peers.beat",
        f"{peers['silent']:g}ms",
    )
    check(
        values["name"] not in names or tenures["promises"],
        "tenures.promises",
        "a file, as this gateway is a voter",
        '""',
    )
    margins_ms = tenures["term"] * tenures["drift"] + tenures["margin"]
    check(
        tenures["term"] > 2 * margins_ms,
        "tenures.term",
        f"more than twice its margin and clock drift, {2 * margins_ms:g}ms",
        f"{tenures['term']:g}ms",
    )
    check(
        tenures["longest"] >= tenures["term"],
        "tenures.longest",
        "no less than tenures.term",
        f"{tenures['longest']:g}ms",
    )


def read_config(path: "str | PathLike[str]") -> "GatewayConfig":
    """Reads and validates a gateway's configuration file.

    Raises:
        Problems: The file cannot be read or is not valid; lists everything wrong with it.
    """
    positions: dict = {}
    values = read_file(path, positions=positions)
    if problems := problems_of(values, str(path), positions):
        raise Problems(problems)
    return GatewayConfig(values)
