"""Known clients: their reserved slots, and the addresses by which they are recognized."""

from collections import OrderedDict, deque
from ipaddress import ip_network

from cherrydoor.admission.connections import AdmittedConnection, ReadGroup
from cherrydoor.admission.descriptors import scale_reserved_slots
from cherrydoor.admission.leaky_bucket import LeakyBucket
from cherrydoor.admission.limits import ClientLimits, KnownClientSettings

MAX_VERIFIED_ADDRESSES = 64  # per known client, which bounds its table
# The same machines reconnect within a working day.
VERIFIED_ADDRESS_AGE_MS = 12 * 3600 * 1000.0


class KnownClient:
    """A known client and its connections.

    Attributes:
        name: Its name, as in certificates and tokens.
        reserved_slots: Slots that no other client may take.
        slot_limit: Slots that it may hold in all, including common ones; at least
            `reserved_slots`.
        networks: Its configured networks, as (IP version, first address, last address).
        bucket: Rate limiter for its new connections.
        group: Read group of its connections.
        admitted: Its connections that hold a slot.
        verified_addresses: Addresses from which it has proved its identity, with the time in ms at
            which it last did, oldest first.
        waiting: Connections that wait for one of its slots: at most `slot_limit`, and none for
            longer than the hello timeout.
    """

    __slots__ = (
        "name",
        "reserved_slots",
        "slot_limit",
        "networks",
        "bucket",
        "group",
        "admitted",
        "verified_addresses",
        "waiting",
    )

    def __init__(
        self, settings: KnownClientSettings, reserved_slots: int, group: ReadGroup, now: float
    ) -> None:
        self.name = settings.name
        self.reserved_slots = reserved_slots
        self.slot_limit = max(reserved_slots, settings.slot_limit)
        networks = [ip_network(text, strict=False) for text in settings.addresses]
        self.networks = [
            (network.version, int(network[0]), int(network[-1])) for network in networks
        ]
        self.bucket = LeakyBucket(now)
        self.group = group
        self.admitted: dict[AdmittedConnection, bool] = {}
        self.verified_addresses: OrderedDict[str, float] = OrderedDict()
        self.waiting: deque[AdmittedConnection] = deque()

    def common_slots_used(self) -> int:
        """Returns the number of common slots that it holds beyond its reserved ones."""
        return max(0, len(self.admitted) - self.reserved_slots)

    def record_verified_address(self, address: str, now: float) -> None:
        """Records that it has proved its identity from this address."""
        self.verified_addresses[address] = now
        self.verified_addresses.move_to_end(address)
        while len(self.verified_addresses) > MAX_VERIFIED_ADDRESSES:
            self.verified_addresses.popitem(last=False)


class KnownClientTable:
    """All known clients of a gateway. The set of clients is fixed when the gateway starts."""

    def __init__(self, client_limits: ClientLimits, all_clients: ReadGroup, now: float) -> None:
        reserved = scale_reserved_slots(
            [settings.reserved_slots for settings in client_limits.known],
            client_limits.connection_slots,
        )
        self.by_name = {
            settings.name: KnownClient(
                settings, slots, ReadGroup(client_limits.known_client_bytes, all_clients), now
            )
            for settings, slots in zip(client_limits.known, reserved, strict=True)
        }
        self.reserved_slots = sum(reserved)

    def common_slots_used(self) -> int:
        """Returns the number of common slots that known clients hold."""
        return sum(client.common_slots_used() for client in self.by_name.values())

    def find_by_network(self, version: int, bits: int) -> KnownClient | None:
        """Returns the known client with this address in its networks, or None.

        Args:
            version: IP version (see parse_address).
            bits: Numeric value of the address.
        """
        for client in self.by_name.values():
            for network_version, first, last in client.networks:
                if network_version == version and first <= bits <= last:
                    return client
        return None

    def find_by_verified_address(self, address: str, now: float) -> KnownClient | None:
        """Returns the known client that recently proved its identity from this address, or None.

        A new connection from there still has to prove its identity, but until then it does not
        count against the rate limits of unknown clients. Otherwise a flood from its own network
        would lock out a known client without configured networks. The cost: if the address passes
        to another machine within VERIFIED_ADDRESS_AGE_MS, that machine has the same preference for
        its pending connections, but no slot.
        """
        for client in self.by_name.values():
            verified_at_ms = client.verified_addresses.get(address)
            if verified_at_ms is not None:
                if now - verified_at_ms < VERIFIED_ADDRESS_AGE_MS:
                    return client
                del client.verified_addresses[address]
        return None
