"""Which listed host is at which address.

Two processes cannot listen at one address at the same time. A host that is listed at the address of
another one therefore shows that the other one is gone, even if the list reports its end only later.
Otherwise requests meant for the host that is gone would reach its successor, which may belong to
another group of hosts that deduplicate requests.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cherrydoor.codecs import sse
from cherrydoor.protocol import messages as protocol


class Claim(NamedTuple):
    """A host's claim to an address; a later start of the host is another claim."""

    address: str
    started_at_ms: float


class AddressTable:
    """The addresses of the listed hosts.

    Invariant: an address belongs to at most one host. A host that is displaced stays displaced
    until its successor is gone, or until the list reports another address or start of it.
    """

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}
        self._owners: dict[str, str] = {}
        self._displaced: dict[str, Claim] = {}

    def __len__(self) -> int:
        """Returns the number of hosts that have an address."""
        return len(self._claims)

    def address_of(self, host_id: str) -> str:
        """Returns the host's address:port; "" for a host that is not listed or is displaced."""
        claim = self._claims.get(host_id)
        return claim.address if claim is not None else ""

    def update(
        self,
        endpoints: Iterable[protocol.Endpoint],
        addresses: Mapping[str, str],
        is_snapshot: bool,
    ) -> list[str]:
        """Applies an update of the endpoint list.

        Of two hosts at one address, the one that is listed there later displaces the other. If a
        snapshot lists both, the one that started later does.

        Args:
            endpoints: The endpoints in the update, in its order.
            addresses: Address:port of each endpoint in the update that is not gone, by host id.
            is_snapshot: Whether the update is the complete list.

        Returns:
            Ids of the hosts that are displaced, among those of the update and their addresses.
        """
        if is_snapshot:
            endpoints = self._in_order_of_claims(endpoints, addresses)
            self._forget_all_but_displaced(addresses)
        displaced: dict[str, None] = {}
        for endpoint in endpoints:
            host_id = endpoint.host
            address = addresses.get(host_id)
            if endpoint.state == sse.GONE or address is None:
                self._remove(host_id)
                continue
            claim = Claim(address, endpoint.started_at_ms)
            owner = self._owners.get(address, host_id)
            if owner != host_id and self._displaced.get(host_id) == claim:
                displaced[host_id] = None
                continue
            if owner != host_id:
                self._displace(owner)
                displaced[owner] = None
            self._assign(host_id, claim)
            displaced.pop(host_id, None)
        return list(displaced)

    def _in_order_of_claims(
        self, endpoints: Iterable[protocol.Endpoint], addresses: Mapping[str, str]
    ) -> list[protocol.Endpoint]:
        """Returns the endpoints of a snapshot, the weakest claim to an address first.

        Weakest are hosts that have been displaced, then those that started earlier, then those that
        were listed before.
        """

        def strength(endpoint: protocol.Endpoint) -> tuple[bool, float, bool]:
            claim = Claim(addresses.get(endpoint.host, ""), endpoint.started_at_ms)
            return (
                self._displaced.get(endpoint.host) != claim,
                endpoint.started_at_ms,
                endpoint.host not in self._claims,
            )

        return sorted(endpoints, key=strength)

    def _forget_all_but_displaced(self, addresses: Mapping[str, str]) -> None:
        """Removes all owners of addresses, and displaced hosts that a snapshot leaves out."""
        self._claims.clear()
        self._owners.clear()
        for host_id in list(self._displaced):
            if host_id not in addresses:
                del self._displaced[host_id]

    def _assign(self, host_id: str, claim: Claim) -> None:
        """Gives an address that has no owner, or this one, to a host, which leaves its former."""
        self._remove(host_id)
        self._claims[host_id] = claim
        self._owners[claim.address] = host_id

    def _displace(self, host_id: str) -> None:
        """Records that another host is at the host's address."""
        claim = self._claims[host_id]
        self._remove(host_id)
        self._displaced[host_id] = claim

    def _remove(self, host_id: str) -> None:
        """Removes all that is known of a host's address."""
        self._displaced.pop(host_id, None)
        claim = self._claims.pop(host_id, None)
        if claim is not None:
            del self._owners[claim.address]
