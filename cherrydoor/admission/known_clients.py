"""Known clients: their reserved slots, and the addresses by which they are recognised."""

from collections import OrderedDict, deque
from ipaddress import ip_network

from cherrydoor.admission.connections import AdmittedConnection, ReadGroup
from cherrydoor.admission.descriptors import scale_reserved_slots
from cherrydoor.admission.leaky_bucket import LeakyBucket
from cherrydoor.admission.limits import ClientLimits, KnownClientSettings

MOST_VERIFIED_ADDRESSES = 64  # for each known client, so that its table stays small
VERIFIED_ADDRESS_AGE_MS = 12 * 3600 * 1000.0  # within a working day the same machines come back


class KnownClient:
    """A known client and its connections.

    Attributes:
        reserved_slots: Slots that nobody else takes.
        slot_limit: Slots that it may have together with common ones; never fewer than the reserved
            ones.
        admitted: Its connections that hold a slot.
        verified_addresses: When it last proved itself from an address, oldest first.
        waiting: Connections that wait for one of its slots: no more than `slot_limit`, none longer
            than the time for a hello.
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
        self, settings: KnownClientSettings, reserved_slots: int, held_bytes_limit: int, now: float
    ) -> None:
        self.name = settings.name
        self.reserved_slots = reserved_slots
        self.slot_limit = max(reserved_slots, settings.slot_limit)
        networks = [ip_network(text, strict=False) for text in settings.addresses]
        self.networks = [(one.version, int(one[0]), int(one[-1])) for one in networks]
        self.bucket = LeakyBucket(now)
        self.group = ReadGroup(held_bytes_limit)
        self.admitted: dict[AdmittedConnection, bool] = {}
        self.verified_addresses: OrderedDict[str, float] = OrderedDict()
        self.waiting: deque[AdmittedConnection] = deque()

    def common_slots_used(self) -> int:
        """Common slots that it holds beyond its reserved ones."""
        return max(0, len(self.admitted) - self.reserved_slots)

    def remember(self, address: str, now: float) -> None:
        """It has proved itself from this address."""
        self.verified_addresses[address] = now
        self.verified_addresses.move_to_end(address)
        while len(self.verified_addresses) > MOST_VERIFIED_ADDRESSES:
            self.verified_addresses.popitem(last=False)


class KnownClientTable:
    """All known clients of a gateway, fixed at the start; only their connections change."""

    def __init__(self, client_limits: ClientLimits, now: float) -> None:
        reserved = scale_reserved_slots(
            [settings.reserved_slots for settings in client_limits.known],
            client_limits.connection_slots,
        )
        self.by_name = {
            settings.name: KnownClient(settings, slots, client_limits.known_client_bytes, now)
            for settings, slots in zip(client_limits.known, reserved, strict=True)
        }
        self.reserved_slots = sum(reserved)

    def common_slots_used(self) -> int:
        """Common slots that known clients hold."""
        return sum(client.common_slots_used() for client in self.by_name.values())

    def with_network_of(self, version: int, bits: int) -> KnownClient | None:
        """The known client that has this address in a configured network (see parse_address)."""
        for client in self.by_name.values():
            for network_version, first, last in client.networks:
                if network_version == version and first <= bits <= last:
                    return client
        return None

    def verified_from(self, address: str, now: float) -> KnownClient | None:
        """The known client that proved itself from this very address not long ago.

        It still has to prove itself, but is not counted with unknown clients until then. Guards a
        known client without configured networks against a flood from its own network; harms where
        an address changes hands within VERIFIED_ADDRESS_AGE_MS, and then by pending connections
        only.
        """
        for client in self.by_name.values():
            verified_at_ms = client.verified_addresses.get(address)
            if verified_at_ms is not None:
                if now - verified_at_ms < VERIFIED_ADDRESS_AGE_MS:
                    return client
                del client.verified_addresses[address]
        return None
