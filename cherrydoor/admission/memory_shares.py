"""Divides the memory of a gateway: how much it may hold for its clients."""

from typing import NamedTuple

# Memory of one connection without input: socket, transport, protocol and codec.
CONNECTION_BYTES = 5 * 1024
# Part of the memory beyond the process itself and its connections that each kind may take. The
# third part is for everything else: attempts, replies of hosts, tables and the allocator's losses.
SHARE_DIVISOR = 3
MIN_SHARE_BYTES = 256 * 1024  # room for some requests of the longest kind, however little is left
MAX_SHARE_BYTES = 512 << 20  # more would only delay the time at which a flood is noticed
# A body that is sent to a host stands in the request, in the encoded attempt and in what the
# transport has yet to write.
BODY_COPIES = 3
REQUEST_ID_BYTES = 80  # of an id in a set: the number, and its place in the table
# Ids that are remembered in any case: those of 1,000 requests a second for half a minute.
MIN_REQUEST_IDS = 30_000


class MemoryShares(NamedTuple):
    """Memory that a gateway may use for its clients, in bytes.

    Attributes:
        held: For input that is not handled yet, and for output that is not sent yet.
        bodies: For the bodies of requests in flight, each counted once.
        request_ids: Number of request ids that may be remembered.
    """

    held: int
    bodies: int
    request_ids: int


def divide_memory(limit_bytes: float, base_bytes: float, connections: int) -> MemoryShares:
    """Divides the memory that the process may use beyond what it needs itself.

    Without these bounds, clients that send slowly, send much at once or read nothing make the
    process use more memory than it may, and it is killed. The cost is that connections which hold
    much are closed, and requests with bodies are rejected, while others still have room.

    Args:
        limit_bytes: Memory limit of the process.
        base_bytes: Memory that the process uses without clients.
        connections: Client connections that may be open at a time.

    >>> divide_memory(64 << 20, 28 << 20, 537)
    MemoryShares(held=11666432, bodies=3888810, request_ids=145830)
    >>> divide_memory(32 << 20, 28 << 20, 537)
    MemoryShares(held=481621, bodies=160540, request_ids=30000)
    """
    free_bytes = limit_bytes - base_bytes - connections * CONNECTION_BYTES
    share = int(min(MAX_SHARE_BYTES, max(MIN_SHARE_BYTES, free_bytes / SHARE_DIVISOR)))
    request_ids = max(MIN_REQUEST_IDS, share // REQUEST_ID_BYTES)
    return MemoryShares(share, share // BODY_COPIES, request_ids)
