"""What the platform hands a gateway at its start, read and checked, and the limits that follow."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from cherrydoor.adapter import wire
from cherrydoor.admission.descriptors import platform_slots
from cherrydoor.admission.limits import ClientLimits
from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import address
from cherrydoor.platform.settings import ConfigurationError as ConfigurationError
from cherrydoor.platform.settings import checked_number, checked_settings, require

# Descriptors of the process itself: listener, watch, loop, what it reads of its own usage.
RESERVED_DESCRIPTORS = 12
# ms taken off each request's time for the response's way back; some clients wait for 100.
RETURN_MARGIN_MS = 5.0
# ms for which a connection may send nothing complete; bad clients are owed an end within 3 s.
SILENT = 2000.0
# ms after a fifth of which an idle connection makes room where slots are short. Harms a client
# whose request crosses the close: it sends it again.
IDLE = 500.0
# By how much a client's own timeout may exceed the longest deadline.
MAX_TIMEOUT_FACTOR = 4
MAX_PENDING_BYTES = 8 << 20  # of incomplete requests on connections without a slot
UNLIMITED_RATE = 1e6  # connections a second: all come by one front, which paces them itself
MAX_RETRY_AFTER_MS = 200.0
# Part of the hosts' own idle time after which a connection is unused; it is looked at each tenth,
# so that it closes before the host closes it.
IDLE_PART = 0.8
SEED_DIGITS = 32


class KnownEndpoints(NamedTuple):
    """The endpoints that a configuration carries."""

    revision: int
    updates: list[sse.EndpointUpdate]


def checked_address(text: Any, place: str) -> str:
    """Returns an address:port; ConfigurationError names the place of anything else."""
    expected = "an address:port"
    require(isinstance(text, str) and text.rpartition(":")[0], place, expected, text)
    try:
        port = address(text)[1]
    except ValueError:
        port = -1
    require(0 <= port < 65536, place, expected, text)
    return str(text)


def setting_ms(section: dict[str, Any], name: str, otherwise_ms: float) -> float:
    """Returns a setting, given in microseconds, in ms."""
    return float(section.get(name, otherwise_ms * 1000) / 1000)


@dataclass(slots=True)
class DispatcherLimits:
    """What bounds the dispatcher, by the names it reads; times in ms.

    A connection carries one attempt while there are connections left, and, where a handshake has
    a price, while what the host has carried bears it: what breaks one then ends no other attempt.

    Attributes:
        spare: Taken off each request's time.
        per_link: Attempts that share a connection.
        links: Connections to one host; changes with the number of hosts.
        tells: Whether hosts report copies and concurrency.
        most_open: Requests in flight.
        connect: Time to open a connection.
        silence: Time without a sign of a host.
        idle: Time after which an unused connection closes.
        probe: Time of a health check.
        order: Time of a load order.
        stay: Longest retry-after; 0 for none.
        handshake: Price of a handshake.
    """

    spare: float
    per_link: int
    links: int
    tells: tuple[bool, bool]
    most_open: int
    connect: float
    silence: float
    idle: float
    probe: float
    order: float
    stay: float
    handshake: float

    @classmethod
    def from_settings(
        cls, settings: dict[str, Any], tells: tuple[bool, bool]
    ) -> "DispatcherLimits":
        """Returns the limits that checked settings give, with one connection to a host."""
        permissions = settings["permissions"]
        connect_ms = setting_ms(permissions, "connectTimeout", 250.0)
        retry_after_ms = 0.0
        if permissions.get("retryAfter"):
            retry_after_ms = min(MAX_RETRY_AFTER_MS, setting_ms(permissions, "maxRetryAfter", 0.0))
        return cls(
            spare=RETURN_MARGIN_MS,
            per_link=1,
            links=1,
            tells=tells,
            most_open=permissions.get("mostHeld", 20000),
            connect=connect_ms,
            silence=connect_ms,
            idle=IDLE_PART * setting_ms(permissions, "connIdle", 15000.0),
            probe=connect_ms,
            order=setting_ms(settings["familyInfo"], "loadWait", 10000.0),
            stay=retry_after_ms,
            handshake=settings["prices"].get("handshake", 0.0),
        )


class Configuration:
    """One gateway's configuration.

    Args:
        document: The configuration file's object.
        listen: Address that the environment gives in place of the file's, if it does.
        descriptors: Those that the process may hold by its own limit.

    Attributes:
        name: The gateway's name.
        listen: Its own address:port.
        discovery_server: Address:port of the endpoint stream.
        memory: Limit in bytes.
        cores: Limit of the process's cores.
        descriptors: Limit of descriptors.
        known_endpoints: The endpoints at the start.
        router_settings: The router's.
        tenants: Names of tenants; empty where all may come.
        longest_deadline_ms: Of all request classes.
        max_timeout_ms: That a client may state.
        limits: The dispatcher's.
        client_limits: Admission's.

    Raises:
        ConfigurationError: Something cannot be used; it has the key's place.
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
        self.memory = int(checked_number(limits, "memory_mb", "limits", 1) * 2**20)
        self.cores = checked_number(limits, "cores", "limits", 0.0)
        sockets = int(checked_number(limits, "sockets", "limits", 64))
        self.descriptors = min(sockets, descriptors)
        self.known_endpoints = checked_endpoints(document.get("known"))
        self.apply_settings(document.get("settings"), seed)

    def apply_settings(self, stated: Any, seed: int) -> None:
        """Sets what follows from the settings."""
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
        """Returns admission's limits: no rate binds, as all clients come by one front."""
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
        """Shares the descriptors for upstream connections among so many hosts from now on."""
        slots = platform_slots(self.descriptors, RESERVED_DESCRIPTORS, hosts)
        self.limits.links = slots.per_host

    def known_host_count(self) -> int:
        """Returns how many of the known endpoints are not gone."""
        states = {}
        for update in self.known_endpoints.updates:
            for entry in update.endpoints or ():
                states[entry.id] = entry.state
        return sum(state != sse.GONE for state in states.values())


def checked_seed(text: Any) -> int:
    """Returns the seed of random draws, given in hex digits."""
    require(
        isinstance(text, str)
        and 0 < len(text) <= SEED_DIGITS
        and not set(text.lower()) - set("0123456789abcdef"),
        "seed",
        "hex digits",
        text,
    )
    return int(text, 16)


def checked_endpoints(known: Any) -> KnownEndpoints:
    """Returns the known endpoints of a configuration."""
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
        listen: Address that stands in place of the file's, if there is one.
        descriptors: Those that the process may hold.

    Raises:
        ConfigurationError: The file or something in it cannot be used.
    """
    try:
        with open(path, "rb") as file:
            document = json.loads(file.read())
    except OSError as error:
        raise ConfigurationError("PROXY_CONFIG", f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(str(path), f"no JSON: {error}") from None
    return Configuration(document, listen, descriptors)
