"""Whether the process at a host's address is known to be the host that the endpoint list names.

The list reports the replacement of a host late, and in an outage of discovery not at all. A health
check shows only that some process listens at the address. This matters where an effect depends on
which host it is: a keyed request may be repeated only within the group of hosts that drops repeats,
and a successor may belong to another group.

Two things show who is at the address: a list that is complete, and a connection that has stayed
open since the list was. A host that closes or refuses connections may have been replaced, until the
list would have reported it. The cost: keyed requests fail that could have been repeated, if the
host had only lost its connections.
"""

from math import inf

from cherrydoor.routing import messages
from cherrydoor.routing.endpoint_leases import EndpointListLease

# Longest time from the start of a process to its appearance in the endpoint list.
START_NOTICE_MS = 10000.0


class HostIdentity:
    """What the connections to one host and the endpoint list show of the process at its address.

    Without ``HostConnectionsChanged`` and confirmations of the list, the process is always taken
    for the listed host.
    """

    __slots__ = ("_broken_at_ms", "_connected_since_ms", "_list", "_same_since_ms")

    def __init__(self, list_lease: EndpointListLease) -> None:
        self._list = list_lease
        self._connected_since_ms: float | None = None
        self._broken_at_ms: float | None = None
        # Since when no connection has shown that the process may be another one. Infinite from when
        # the host breaks its connections until the next one is open.
        self._same_since_ms = -inf

    def record_connections(self, changed: messages.HostConnectionsChanged) -> None:
        """Record a change of the connections to the host."""
        self._connected_since_ms = changed.connected_since_ms
        if changed.broken_at_ms != self._broken_at_ms:
            self._broken_at_ms = changed.broken_at_ms
            self._same_since_ms = inf
        if self._same_since_ms == inf and changed.connected_since_ms is not None:
            self._same_since_ms = changed.connected_since_ms

    def record_listed_start(self, started_at_ms: float) -> None:
        """Record that the list names the host with a new start, in ms.

        The process is then the listed host, unless the host has broken its connections since: the
        list may report a start after the process has already been replaced.
        """
        if self._broken_at_ms is None or self._broken_at_ms <= started_at_ms:
            self._same_since_ms = -inf

    def is_confirmed(self, now: float) -> bool:
        """Whether the process at the address is known to be the listed host.

        With a complete list, it is unless the host has broken its connections within the time in
        which the list would report a successor. Otherwise, a connection must also have been open
        since then.
        """
        same_since_ms = self._same_since_ms
        if not self._list.is_complete(now):
            if self._connected_since_ms is None:
                return False
            same_since_ms = max(same_since_ms, self._connected_since_ms)
        confirmed_at_ms = self._list.confirmed_at_ms
        listed_at_ms = now if confirmed_at_ms is None else confirmed_at_ms
        return same_since_ms + START_NOTICE_MS <= listed_at_ms
