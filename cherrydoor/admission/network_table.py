"""Counts of connections by network, so that many addresses of one owner count as one."""

from collections import OrderedDict
from ipaddress import IPv6Address

from cherrydoor.admission.connections import NetworkPrefix, ReadGroup
from cherrydoor.admission.limits import ClientLimits

PREFIX_LENGTHS = {4: (32, 24, 16), 6: (64, 48, 32)}  # an owner has a /64 at the least in IPv6
LOOPBACK_KEY = (4, 127)  # at each width, as all of 127.0.0.0/8 is one machine
RATE_FACTORS = (1, 4, 8)  # of the rate of one address, for each width
MOST_UNUSED_PREFIXES = 4096  # prefixes without connections, at each width
TRIMMED_PER_LOOKUP = 2  # both may go, so that a table shrinks faster than it grows
TRIMMED_PER_SWEEP = 32  # at each width, so that a sweep stays short


def parse_address(address: str) -> tuple[int, int]:
    """IP version and number of an address; an IPv4-mapped IPv6 address counts as IPv4.

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
    """Network prefixes at three widths, each a table in order of use.

    A prefix without connections is forgotten once its bucket is empty, or when there are too many:
    an owner of many addresses is then still counted at the wider widths. Invariant: a prefix with
    connections is never forgotten.
    """

    def __init__(self, client_limits: ClientLimits) -> None:
        self.client_limits = client_limits
        self.tables: tuple[OrderedDict[tuple[int, int], NetworkPrefix], ...] = (
            OrderedDict(),
            OrderedDict(),
            OrderedDict(),
        )
        self.unknown_clients = ReadGroup(client_limits.unknown_clients_bytes)

    def prefixes_of(self, version: int, bits: int, now: float) -> tuple[NetworkPrefix, ...]:
        """The prefixes of an address (see parse_address), narrowest first; made where missing."""
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
        """Looks at the longest unused prefixes, and forgets them where that harms nothing."""
        for _ in range(min(TRIMMED_PER_LOOKUP, len(table))):
            key = next(iter(table))
            prefix = table[key]
            if prefix.pending or prefix.admitted:
                table.move_to_end(key)  # in use: at most as many as there are slots
            elif (
                len(table) > MOST_UNUSED_PREFIXES
                or prefix.bucket.wait_ms(now, self._rate(prefix), 1) == 0.0
            ):
                del table[key]
            else:
                return

    def sweep(self, now: float) -> None:
        """Forgets what has aged, a little at a time."""
        for table in self.tables:
            for _ in range(TRIMMED_PER_SWEEP):
                before = len(table)
                if before:
                    self._trim(table, now)
                if len(table) == before:
                    break

    def _rate(self, prefix: NetworkPrefix) -> float:
        """New connections a second that this prefix may open."""
        return self.client_limits.connection_rate * RATE_FACTORS[prefix.width]

    def wait_ms(self, prefixes: tuple[NetworkPrefix, ...], now: float) -> float:
        """Ms until all of these prefixes may open one more connection; nothing is counted here."""
        burst = self.client_limits.connection_burst
        return max(
            prefix.bucket.wait_ms(now, self._rate(prefix), burst * RATE_FACTORS[prefix.width])
            for prefix in prefixes
        )

    def __len__(self) -> int:
        return sum(map(len, self.tables))
