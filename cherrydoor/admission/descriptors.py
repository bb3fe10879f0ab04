"""Divides the file descriptors and the connection slots of a process at its start."""

from collections.abc import Sequence
from typing import NamedTuple

MIN_SPARE_DESCRIPTORS = 4  # for files, the endpoint list and logs
MAX_SPARE_DESCRIPTORS = 64  # files, endpoint list and logs never have more open at a time
MAX_CONNECTIONS_PER_HOST = 12  # further connections to one host would not be used


class DescriptorShares(NamedTuple):
    """Descriptors of a process.

    Attributes:
        upstream: For upstream connections.
        client_slots: For admitted client connections, at each gateway.
        spare: For everything else.
    """

    upstream: int
    client_slots: int
    spare: int


class PlatformSlots(NamedTuple):
    """Descriptors of a platform gateway.

    Attributes:
        client_slots: For admitted client connections.
        pending: For pending connections.
        upstream: For upstream connections to all hosts.
        per_host: For upstream connections to one host.
    """

    client_slots: int
    pending: int
    upstream: int
    per_host: int


def divide_descriptors(
    limit: int, used: int, gateways: int, upstream_limit: int
) -> DescriptorShares:
    """Divides the descriptors of one process.

    Upstream connections get up to half of the free descriptors. An eighth of the free ones, at
    least 4 and at most 64, stays spare. The rest is for clients: their slots, and an eighth as many
    pending connections.

    Args:
        limit: RLIMIT_NOFILE.
        used: Descriptors already in use.
        gateways: Number of gateways in this process.
        upstream_limit: Upstream connections that the configuration allows at most.

    >>> tuple(divide_descriptors(256, 16, 1, 80))
    (80, 115, 30)
    >>> tuple(divide_descriptors(1024, 24, 2, 4000))
    (500, 193, 64)
    """
    free = max(0, limit - used)
    spare = min(MAX_SPARE_DESCRIPTORS, max(MIN_SPARE_DESCRIPTORS, free // 8))
    upstream = min(upstream_limit, free // 2)
    client_slots = max(1, (free - spare - upstream) // max(1, gateways) * 8 // 9)
    return DescriptorShares(upstream, client_slots, spare)


def platform_slots(limit: int, reserve: int, hosts: int) -> PlatformSlots:
    """Divides the descriptors of a gateway whose clients come through a front proxy.

    The proxy's connections get 7/20 of the limit, about a third, and all have a slot. In addition
    there is room for half as many pending connections. An eighth of the limit stays free, and the
    hosts share the rest. Where there are more hosts than the rest has descriptors, `per_host` is 1
    and only `upstream` of them can have a connection at a time.

    Args:
        limit: Descriptors that the process may have open.
        reserve: Descriptors that the process itself needs.
        hosts: Number of hosts on the endpoint list.

    >>> tuple(platform_slots(256, 12, 12))
    (89, 44, 79, 6)
    >>> tuple(platform_slots(256, 12, 192))
    (89, 44, 79, 1)
    >>> tuple(platform_slots(1024, 12, 11))
    (358, 179, 347, 12)
    """
    client_slots = limit * 7 // 20
    pending = client_slots // 2
    upstream = max(1, limit * 7 // 8 - reserve - client_slots - pending)
    per_host = max(1, min(MAX_CONNECTIONS_PER_HOST, upstream // max(1, hosts)))
    return PlatformSlots(client_slots, pending, upstream, per_host)


def scale_reserved_slots(wanted: Sequence[int], capacity: int) -> list[int]:
    """Scales reserved slots down in proportion, so that their sum fits the capacity.

    The sum may be up to three quarters of the capacity; each client keeps at least one slot.

    >>> scale_reserved_slots([10, 30], 100)
    [10, 30]
    >>> scale_reserved_slots([100, 300], 100)
    [18, 56]
    """
    max_reserved = capacity * 3 // 4
    total = sum(wanted)
    if total <= max_reserved:
        return list(wanted)
    return [max(1, slots * max_reserved // total) for slots in wanted]
