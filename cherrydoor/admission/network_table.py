"""Counts connections by network prefix, so that all addresses of one owner count together."""

from collections import OrderedDict
from ipaddress import IPv6Address

from cherrydoor.admission.connections import NetworkPrefix, ReadGroup
from cherrydoor.admission.limits import ClientLimits

# By IP version, narrowest first. In IPv6 a single owner has at least a /64.
PREFIX_LENGTHS = {4: (32, 24, 16), 6: (64, 48, 32)}
LOOPBACK_KEY = (4, 127)  # at each width, as all of 127.0.0.0/8 is one machine
RATE_FACTORS = (1, 4, 8)  # rate and burst of each width, as a multiple of one address's
MAX_UNUSED_PREFIXES = 4096  # prefixes without connections, at each width
# Entries that a call of _trim() checks, and may remove. There is one call for each entry that is
# added, so with two a table shrinks faster than it grows.
MAX_CHECKS_PER_TRIM = 2
MAX_TRIMS_PER_SWEEP = 32  # at each width, so that a sweep stays short


def parse_address(address: str) -> tuple[int, int]:
    """Returns IP version and numeric value of an address; IPv4-mapped IPv6 counts as IPv4.

    >>> parse_address("10.0.0.1"), parse_address("::ffff:10.0.0.1"), parse_address("::1")
    ((4, 167772161), (4, 167772161), (6, 1))
    """
    parts = address.split(".")
    if len(parts) == 4 and ":" not in address:
        a, b, c, d = parts
        return 4, int(a) << 24 | int(b) << 16 | int(c) << 8 | int(d)
    ip = IPv6Address(address)
    if ip.ipv4_mapped:
        return 4, int(ip.ipv4_mapped)
    return 6, int(ip)


class NetworkTable:
    """Network prefixes at three widths: one table for each width, in order of last use.

    A prefix without connections is removed once its bucket is empty, or earlier if the table has
    too many; connections of an owner of many addresses still count at the wider widths then.

    Invariant: a prefix with connections is never removed.

    Attributes:
        tables: The prefixes by key, one table for each width, narrowest first.
        unknown_clients: Parent of the read groups of all prefixes.
    """

    def __init__(self, client_limits: ClientLimits, all_clients: ReadGroup) -> None:
        self.client_limits = client_limits
        self.tables: tuple[OrderedDict[tuple[int, int], NetworkPrefix], ...] = (
            OrderedDict(),
            OrderedDict(),
            OrderedDict(),
        )
        self.unknown_clients = ReadGroup(client_limits.unknown_clients_bytes, all_clients)

    def prefixes_of(self, version: int, bits: int, now: float) -> tuple[NetworkPrefix, ...]:
        """Returns the prefixes of an address, narrowest first; adds those that are missing.

        Args:
            version: IP version (see parse_address).
            bits: Numeric value of the address.
            now: Time in ms.
        """
        is_loopback = version == 4 and bits >> 24 == 127
        address_bits = 32 if version == 4 else 128
        found = []
        for width, length in enumerate(PREFIX_LENGTHS[version]):
            key = LOOPBACK_KEY if is_loopback else (version, bits >> (address_bits - length))
            table = self.tables[width]
            prefix = table.get(key)
            if prefix is None:
                self._trim(table, now)
                group = ReadGroup(self.client_limits.stranger_bytes, self.unknown_clients)
                prefix = NetworkPrefix(width, key, now, group)
                table[key] = prefix
            else:
                table.move_to_end(key)
            found.append(prefix)
        return tuple(found)

    def _trim(self, table: OrderedDict[tuple[int, int], NetworkPrefix], now: float) -> None:
        """Checks the longest unused prefixes, and removes those that are no longer needed."""
        for _ in range(min(MAX_CHECKS_PER_TRIM, len(table))):
            key = next(iter(table))
            prefix = table[key]
            if prefix.pending or prefix.admitted:
                table.move_to_end(key)  # in use; the slots bound the number of these
            elif (
                len(table) > MAX_UNUSED_PREFIXES
                or prefix.bucket.wait_ms(now, self._rate(prefix), 1) == 0.0
            ):
                del table[key]
            else:
                return

    def sweep(self, now: float) -> None:
        """Removes expired prefixes, a limited number per call."""
        for table in self.tables:
            for _ in range(MAX_TRIMS_PER_SWEEP):
                before = len(table)
                if before:
                    self._trim(table, now)
                if len(table) == before:
                    break

    def _rate(self, prefix: NetworkPrefix) -> float:
        """Returns how many new connections per second this prefix may open."""
        return self.client_limits.connection_rate * RATE_FACTORS[prefix.width]

    def wait_ms(self, prefixes: tuple[NetworkPrefix, ...], now: float) -> float:
        """Returns the ms until all these prefixes may open another connection; counts nothing."""
        burst = self.client_limits.connection_burst
        return max(
            prefix.bucket.wait_ms(now, self._rate(prefix), burst * RATE_FACTORS[prefix.width])
            for prefix in prefixes
        )

    def __len__(self) -> int:
        return sum(map(len, self.tables))
