"""What the platform tells a gateway at its start, read and checked, and what its sockets go by."""

import json

from cherrydoor.adapter import wire
from cherrydoor.admission.decide import ClientLimits, platform_slots
from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import address
from cherrydoor.platform.settings import ConfigurationError, checked, need, number

RESERVE = (
    12  # descriptors of the process itself: listener, bulletin, loop, what it reads of its use
)
SPARE = 5.0  # ms taken off each event's time, for the answer's way back; some clients wait for 100
SILENT = 2000.0  # ms for which a connection may say nothing whole; bad clients are owed an end within 3 s
IDLE = 500.0  # ms after a fifth of which an idle connection makes room where places are short: a client
# whose event crosses the close sends it again
FARTHEST = 4  # times its longest time that a client may say it waits


def place_of(text, place):
    """An address:port, as text."""
    need(isinstance(text, str) and text.rpartition(":")[0], place, "an address:port", text)
    try:
        port = address(text)[1]
    except ValueError:
        port = -1
    need(0 <= port < 65536, place, "an address:port", text)
    return text


class DispatcherLimits:
    """What bounds the desk, by the names that gateway/desk.py goes by. One launch a connection while there are
    connections left, and where a handshake has a price, while what the host has carried bears it: what spoils one then
    ends no other launch."""

    def __init__(self, may, copies, handshake, links, tells):
        def ms(said, name, otherwise):
            return said.get(name, otherwise * 1000) / 1000

        self.spare, self.per_link, self.links, self.tells = SPARE, 1, links, tells
        self.most_open, self.connect = may.get("mostHeld", 20000), ms(may, "connectTimeout", 250.0)
        self.silence = self.connect
        self.idle = 0.8 * ms(
            may, "connIdle", 15000.0
        )  # looked at each tenth: before the host closes it
        self.probe, self.order = ms(may, "connectTimeout", 250.0), ms(copies, "loadWait", 10000.0)
        self.stay = min(200.0, ms(may, "maxRetryAfter", 0.0)) if may.get("retryAfter") else 0.0
        self.handshake = handshake


class Configuration:
    """One gateway's configuration: for the module (lease), the desk (terms), the doors (manners) and the bulletin."""

    def __init__(self, said, listen, descriptors):
        """descriptors: those that the process may hold by its own limit."""
        need(isinstance(said, dict), "configuration", "an object", said)
        self.name = said.get("name")
        need(isinstance(self.name, str) and self.name, "name", "a name", self.name)
        self.listen = place_of(listen or said.get("listen"), "listen")
        self.bulletin = place_of(said.get("bulletin"), "bulletin")
        seed = said.get("seed")
        need(
            isinstance(seed, str)
            and 0 < len(seed) <= 32
            and not set(seed.lower()) - set("0123456789abcdef"),
            "seed",
            "hex digits",
            seed,
        )
        limits = said.get("limits")
        need(isinstance(limits, dict), "limits", "an object", limits)
        self.memory = int(number(limits, "memory_mb", "limits", 1) * 2**20)
        self.cores = number(limits, "cores", "limits", 0.0)
        sockets = min(int(number(limits, "sockets", "limits", 64)), descriptors)
        self.known = self.changes(said)
        self.settings(said.get("settings"), int(seed, 16), sockets)

    def settings(self, said, seed, sockets):
        said = checked(said)
        try:
            self.lease = wire.lease_of(seed, said)
            self.tenants = frozenset(one["name"] for one in said["tenants"])
        except KeyError as error:
            raise ConfigurationError(f"settings: {error} is missing") from None
        except (TypeError, ValueError, AttributeError, wire.BadLine) as error:
            raise ConfigurationError(f"settings: {error}") from None
        handshake = said["prices"].get("handshake", 0.0)
        self.longest_deadline_ms = max(clause.deadline_ms for clause in self.lease.request_classes)
        self.max_timeout_ms = FARTHEST * self.longest_deadline_ms
        places, porch, _ = platform_slots(sockets, RESERVE, 1)
        self.descriptors = sockets
        self.limits = DispatcherLimits(
            said["permissions"],
            said["familyInfo"],
            handshake,
            1,
            (self.lease.reports_copy, self.lease.reports_concurrency),
        )
        self.share_descriptors(sum(row.state != sse.GONE for row in self.known_rows()))
        self.client_limits = ClientLimits(
            places,
            (),
            1e6,
            1e6,
            1e6,
            1e6,
            SILENT,
            SILENT,
            IDLE,
            stranger_bytes=8 << 20,
            seed=seed,
            parts=(1, 1, 1),
            pending=porch,
        )

    def share_descriptors(self, hosts):
        """So many hosts share the descriptors that are theirs from now on."""
        self.limits.links = platform_slots(self.descriptors, RESERVE, hosts)[2]

    def changes(self, said):
        """(the last number, what the known items tell)."""
        known = said.get("known")
        need(isinstance(known, dict), "known", "an object", known)
        no, items = known.get("no"), known.get("items")
        need(type(no) is int and no >= 0, "known.no", "a number", no)
        need(isinstance(items, list), "known.items", "a list", items)
        try:
            return no, [sse.told(item) for item in items]
        except sse.Unreadable as error:
            raise ConfigurationError(f"known.items: {error}") from None

    def known_rows(self):
        rows = {}
        for told in self.known[1]:
            rows.update({row.id: row for row in told.rows or ()})
        return rows.values()


def read(path, listen, descriptors):
    """The Station that a configuration file tells of; Wrong names what cannot be used."""
    try:
        with open(path, "rb") as file:
            said = json.loads(file.read())
    except OSError as error:
        raise ConfigurationError(f"PROXY_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(f"{path}: no JSON: {error}") from None
    return Configuration(said, listen, descriptors)
