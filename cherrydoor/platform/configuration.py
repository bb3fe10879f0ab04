"""The configuration that the platform gives a gateway: read, validated and turned into limits."""

import json
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

from cherrydoor.adapter import wire
from cherrydoor.admission.descriptors import platform_slots
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import address
from cherrydoor.platform.settings import ConfigurationError as ConfigurationError
from cherrydoor.platform.settings import checked_number, checked_settings, require

# Descriptors that the process needs for itself: listener, discovery watch, event loop, and reading
# its own resource usage.
RESERVED_DESCRIPTORS = 12
# Subtracted from each request's timeout, for the way of the response back to the client. Some
# clients have a timeout of only 100 ms.
RETURN_MARGIN_MS = 5.0
# Time in ms within which a connection has to send a complete request. The platform requires that
# connections of misbehaving clients are closed within 3 s.
SILENT = 2000.0
# Idle time in ms. When slots are short, a connection that has been idle for a fifth of this may be
# closed to make room. A client whose request is on its way at that moment has to send it again.
IDLE = 500.0
# Longest timeout that a client may state, as a multiple of the longest deadline.
MAX_TIMEOUT_FACTOR = 4
MAX_PENDING_BYTES = 8 << 20  # total of incomplete requests on connections without a slot
# Connections per second; in effect no limit, because all clients connect through one front end,
# which limits their rate itself.
UNLIMITED_RATE = 1e6
MAX_RETRY_AFTER_MS = 200.0
# Share of the hosts' idle timeout after which an unused connection is closed. Connections are
# checked every tenth of that time, so that the gateway closes them before the host does.
HOST_IDLE_SHARE = 0.8
MAX_SEED_DIGITS = 32


class KnownEndpoints(NamedTuple):
    """The endpoint list in the configuration, as updates up to a revision."""

    revision: int
    updates: list[sse.EndpointUpdate]


def checked_address(text: Any, place: str) -> str:
    """Returns a valid address:port; otherwise raises ConfigurationError with the place."""
    expected = "an address:port"
    require(isinstance(text, str) and text.rpartition(":")[0], place, expected, text)
    try:
        port = address(text)[1]
    except ValueError:
        port = -1
    require(0 <= port < 65536, place, expected, text)
    return str(text)


def setting_ms(section: dict[str, Any], name: str, default_ms: float) -> float:
    """Returns in ms a setting that is stated in microseconds."""
    return float(section.get(name, default_ms * 1000) / 1000)


@dataclass(slots=True)
class DispatcherLimits:
    """The dispatcher's limits, under the attribute names that it reads; times in ms.

    Each attempt gets a connection of its own, so that a broken connection ends no other attempt.
    Attempts share connections once no more connections to the host may be opened, or, if handshakes
    have a price, as long as the calls to the host so far do not justify another one.

    Attributes:
        spare: Time subtracted from each request's timeout.
        per_link: Attempts on one connection at a time.
        links: Connections to one host; changes with the number of hosts.
        host_connections: Connections to all hosts together.
        tells: Whether hosts report copies, and whether they report concurrency.
        most_open: Requests in flight.
        connect: Timeout for opening a connection.
        silence: Time without input after which a host counts as silent.
        idle: Time after which an unused connection is closed.
        probe: Timeout of a health check.
        order: Timeout of a load order.
        stay: Longest retry-after; 0 for none.
        handshake: Price of a handshake.
        most_body_bytes: Bytes of the bodies of all requests in flight; set from the memory that the
            process has left once it is ready.
    """

    spare: float
    per_link: int
    links: int
    host_connections: int
    tells: tuple[bool, bool]
    most_open: int
    connect: float
    silence: float
    idle: float
    probe: float
    order: float
    stay: float
    handshake: float
    most_body_bytes: float = inf

    @classmethod
    def from_settings(
        cls, settings: dict[str, Any], tells: tuple[bool, bool]
    ) -> "DispatcherLimits":
        """Returns the limits that follow from validated settings, with one connection to a host."""
        permissions = settings["permissions"]
        connect_ms = setting_ms(permissions, "connectTimeout", 250.0)
        retry_after_ms = 0.0
        if permissions.get("retryAfter"):
            retry_after_ms = min(MAX_RETRY_AFTER_MS, setting_ms(permissions, "maxRetryAfter", 0.0))
        return cls(
            spare=RETURN_MARGIN_MS,
            per_link=1,
            links=1,
            host_connections=1,
            tells=tells,
            most_open=permissions.get("mostHeld", 20000),
            connect=connect_ms,
            silence=connect_ms,
            idle=HOST_IDLE_SHARE * setting_ms(permissions, "connIdle", 15000.0),
            probe=connect_ms,
            order=setting_ms(settings["familyInfo"], "loadWait", 10000.0),
            stay=retry_after_ms,
            handshake=settings["prices"].get("handshake", 0.0),
        )


class Configuration:
    """One gateway's configuration.

    Args:
        document: The decoded JSON of the configuration file.
        listen: Listen address from the environment, which overrides the file's; None if not set.
        descriptors: Descriptor limit of the process.

    Attributes:
        name: The gateway's name.
        listen: The address:port that it listens on.
        discovery_server: Address:port of the endpoint stream.
        memory_bytes: Memory limit in bytes.
        cores: CPU limit in cores.
        descriptors: Descriptor limit.
        known_endpoints: The endpoints at the start.
        router_settings: The router's settings.
        tenants: Names of the tenants; empty if every tenant is accepted.
        longest_deadline_ms: Longest deadline of all request classes.
        max_timeout_ms: Longest timeout that a client may state.
        limits: The dispatcher's limits.
        client_limits: Admission's limits.

    Raises:
        ConfigurationError: A value is missing or invalid; the error has its place.
    """

    def __init__(self, document: Any, listen: str | None, descriptors: int) -> None:
        require(isinstance(document, dict), "configuration", "an object", document)
        self.name = document.get("name")
        require(isinstance(self.name, str) and self.name, "name", "a name", self.name)
        self.listen = checked_address(listen or document.get("listen"), "listen")
        self.discovery_server = checked_address(document.get("bulletin"), "bulletin")
        seed = checked_seed(document.get("seed"))
        limits = document.get("limits")
        require(isinstance(limits, dict), "limits", "an object", limits)
        self.memory_bytes = int(checked_number(limits, "memory_mb", "limits", 1) * 2**20)
        self.cores = checked_number(limits, "cores", "limits", 0.0)
        sockets = int(checked_number(limits, "sockets", "limits", 64))
        self.descriptors = min(sockets, descriptors)
        self.known_endpoints = checked_endpoints(document.get("known"))
        self.apply_settings(document.get("settings"), seed)

    def apply_settings(self, stated: Any, seed: int) -> None:
        """Sets the attributes that follow from the settings."""
        settings = checked_settings(stated)
        try:
            self.router_settings: Any = wire.settings_of(seed, settings)
            self.tenants = frozenset(tenant["name"] for tenant in settings["tenants"])
        except KeyError as error:
            raise ConfigurationError("settings", f"{error} is missing") from None
        except (TypeError, ValueError, AttributeError, wire.InvalidLineError) as error:
            raise ConfigurationError("settings", str(error)) from None
        self.longest_deadline_ms: float = max(
            request_class.deadline_ms for request_class in self.router_settings.request_classes
        )
        self.max_timeout_ms = MAX_TIMEOUT_FACTOR * self.longest_deadline_ms
        self.limits = DispatcherLimits.from_settings(
            settings, (self.router_settings.reports_copy, self.router_settings.reports_concurrency)
        )
        self.share_descriptors(self.known_host_count())
        self.client_limits = self.limits_of_clients(seed)

    def limits_of_clients(self, seed: int) -> ClientLimits:
        """Returns admission's limits, without rates: all clients use one front end."""
        slots = platform_slots(self.descriptors, RESERVED_DESCRIPTORS, 1)
        return ClientLimits(
            connection_slots=slots.client_slots,
            connection_rate=UNLIMITED_RATE,
            connection_burst=UNLIMITED_RATE,
            known_client_rate=UNLIMITED_RATE,
            handshake_rate=UNLIMITED_RATE,
            hello_timeout_ms=SILENT,
            frame_timeout_ms=SILENT,
            idle_ms=IDLE,
            stranger_bytes=MAX_PENDING_BYTES,
            seed=seed,
            parts=(1, 1, 1),
            pending=slots.pending,
        )

    def share_descriptors(self, hosts: int) -> None:
        """Divides the descriptors for upstream connections among this number of hosts."""
        slots = platform_slots(self.descriptors, RESERVED_DESCRIPTORS, hosts)
        self.limits.links = slots.per_host
        self.limits.host_connections = slots.upstream

    def known_host_count(self) -> int:
        """Returns the number of known endpoints that are not gone."""
        states = {}
        for update in self.known_endpoints.updates:
            for entry in update.endpoints or ():
                states[entry.id] = entry.state
        return sum(state != sse.GONE for state in states.values())


def checked_seed(text: Any) -> int:
    """Returns the seed of the random generator, which is stated in hex digits."""
    require(
        isinstance(text, str)
        and 0 < len(text) <= MAX_SEED_DIGITS
        and not set(text.lower()) - set("0123456789abcdef"),
        "seed",
        "hex digits",
        text,
    )
    return int(text, 16)


def checked_endpoints(known: Any) -> KnownEndpoints:
    """Returns the known endpoints in a configuration."""
    require(isinstance(known, dict), "known", "an object", known)
    revision = known.get("no")
    items = known.get("items")
    require(type(revision) is int and revision >= 0, "known.no", "a number", revision)
    require(isinstance(items, list), "known.items", "a list", items)
    try:
        return KnownEndpoints(revision, [sse.read_update(item) for item in items])
    except sse.UnreadableError as error:
        raise ConfigurationError("known.items", str(error)) from None


def read(path: str | Path, listen: str | None, descriptors: int) -> Configuration:
    """Reads a configuration file.

    Args:
        path: The file.
        listen: Listen address that overrides the file's; None if there is none.
        descriptors: Descriptor limit of the process.

    Raises:
        ConfigurationError: The file cannot be read, or a value in it is invalid.
    """
    try:
        with open(path, "rb") as file:
            document = json.loads(file.read())
    except OSError as error:
        raise ConfigurationError("PROXY_CONFIG", f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(str(path), f"invalid JSON: {error}") from None
    return Configuration(document, listen, descriptors)
