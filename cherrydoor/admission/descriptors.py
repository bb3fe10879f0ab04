"""How a process divides its descriptors and its connection slots, at its start."""

from collections.abc import Sequence
from typing import NamedTuple

FEWEST_SPARE = 4  # descriptors for files, the endpoint list and logs, at the least
MOST_SPARE = 64  # and at the most: more are never open at a time
MOST_CONNECTIONS_PER_HOST = 12  # more to one host would not be used


class DescriptorShares(NamedTuple):
    """Descriptors of a process: for upstream, for clients of each gateway, and spare ones."""

    upstream: int
    client_slots: int
    spare: int


class PlatformSlots(NamedTuple):
    """Descriptors of a platform gateway: client slots, pending connections, those to one host."""

    client_slots: int
    pending: int
    per_host: int


def divide_descriptors(
    limit: int, used: int, gateways: int, upstream_limit: int
) -> DescriptorShares:
    """Divides the descriptors of one process.

    Upstream connections come first, with up to half of what is free; an eighth, 4 to 64, stays
    spare. Beside the client slots there is room for an eighth as many pending connections.

    Args:
        limit: RLIMIT_NOFILE.
        used: Descriptors that are open at the start.
        gateways: Gateways in this process.
        upstream_limit: Upstream connections that the configuration could ask for.

    >>> tuple(divide_descriptors(256, 16, 1, 80))
    (80, 115, 30)
    >>> tuple(divide_descriptors(1024, 24, 2, 4000))
    (500, 193, 64)
    """
    free = max(0, limit - used)
    spare = min(MOST_SPARE, max(FEWEST_SPARE, free // 8))
    upstream = min(upstream_limit, free // 2)
    client_slots = max(1, (free - spare - upstream) // max(1, gateways) * 8 // 9)
    return DescriptorShares(upstream, client_slots, spare)


def platform_slots(limit: int, reserve: int, hosts: int) -> PlatformSlots:
    """Divides the descriptors of a gateway whose clients come through a front proxy.

    The proxy's connections take up to a third of the limit and all have a slot; beside them there
    is room for half as many that have said nothing yet. Hosts share what is left but for an eighth
    that stays free.

    Args:
        limit: Descriptors that the process may have.
        reserve: Those that the process itself needs.
        hosts: Hosts on the endpoint list.

    >>> tuple(platform_slots(256, 12, 12))
    (89, 44, 6)
    >>> tuple(platform_slots(1024, 12, 11))
    (358, 179, 12)
    """
    client_slots = limit * 7 // 20
    pending = client_slots // 2
    left = limit * 7 // 8 - reserve - client_slots - pending
    per_host = max(1, min(MOST_CONNECTIONS_PER_HOST, left // max(1, hosts)))
    return PlatformSlots(client_slots, pending, per_host)


def scale_reserved_slots(wanted: Sequence[int], capacity: int) -> list[int]:
    """Scales reserved slots down alike to three quarters of the capacity; none below one.

    >>> scale_reserved_slots([10, 30], 100)
    [10, 30]
    >>> scale_reserved_slots([100, 300], 100)
    [18, 56]
    """
    most = capacity * 3 // 4
    total = sum(wanted)
    if total <= most:
        return list(wanted)
    return [max(1, slots * most // total) for slots in wanted]
