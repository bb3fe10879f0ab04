"""The platform's hosts: which is at which address, and all connections to them."""

import asyncio
from collections import Counter
from typing import Any

import msgspec

from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import dial
from cherrydoor.platform.address_table import AddressTable
from cherrydoor.platform.host_connection import HostProtocol
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing


class Upstream:
    """All connections to hosts, and the addresses of hosts.

    Attributes:
        addresses: Which listed host is at which address.
        connections: The open connections, in the order in which they were opened.
        traffic: Counts of each command and reply since the last trace line, by host id; None
            without a trace.
    """

    def __init__(self, service: Any) -> None:
        self.service = service
        self.addresses = AddressTable()
        self.connections: dict[HostProtocol, bool] = {}
        self.traffic: dict[str, Counter[str]] | None = None

    def dial(self, link: Any) -> None:
        """Starts to open a connection, at the dispatcher's request."""
        asyncio.get_running_loop().create_task(self.connect(link))

    async def connect(self, link: Any) -> None:
        """Opens a connection; notifies the dispatcher if that fails."""
        host_address = self.addresses.address_of(link.host.id)
        await dial(self.service, link, host_address, lambda: HostProtocol(self, link))

    def fail_connection(self, connection: HostProtocol, reason: str) -> None:
        """Aborts an unusable connection; the attempts in flight on it may have run."""
        service = self.service
        host_id = connection.link.host.id
        service.dispatcher.counters["host connections failed"] += 1
        self.count_traffic(host_id, "failed")
        service.log.write_limited("host connection failed", host=host_id, reason=reason)
        connection.abort()
        service.post(service.dispatcher.connection_lost, connection.link)

    def endpoints_received(
        self,
        kind: routing.UpdateKind,
        endpoints: list[protocol.Endpoint],
        addresses: dict[str, str],
    ) -> None:
        """Updates the dispatcher's endpoint list, the addresses and each host's connection limit.

        A host at whose address another one is now listed is gone.

        Args:
            kind: Whether the endpoints are the complete list or only the changed ones.
            endpoints: The endpoints, as the dispatcher's messages.
            addresses: Addresses of the endpoints that are not gone, by host id.
        """
        is_snapshot = kind == routing.UpdateKind.SNAPSHOT
        displaced = self.addresses.update(endpoints, addresses, is_snapshot)
        dispatcher = self.service.dispatcher
        dispatcher.endpoints_updated(kind, self.without_displaced(endpoints, displaced))
        self.service.configuration.share_descriptors(len(self.addresses))

    def without_displaced(
        self, endpoints: list[protocol.Endpoint], displaced: list[str]
    ) -> list[protocol.Endpoint]:
        """Returns the endpoints of an update with the displaced hosts as gone.

        Args:
            endpoints: The endpoints as they were listed.
            displaced: Ids of the displaced hosts; the update need not list them.
        """
        if not displaced:
            return endpoints
        dispatcher = self.service.dispatcher
        rows = {endpoint.host: endpoint for endpoint in endpoints}
        for host_id in displaced:
            row = rows.get(host_id)
            host = dispatcher.hosts.get(host_id)
            if host is not None and host.row.state != sse.GONE:
                dispatcher.counters["hosts displaced at their address"] += 1
                self.service.log.write_limited("host displaced at its address", host=host_id)
                row = row or host.row
            if row is not None:
                rows[host_id] = msgspec.structs.replace(row, state=sse.GONE)
        return list(rows.values())

    def count_traffic(self, host_id: str, event: str) -> None:
        """Counts a command or reply, while a trace is on."""
        if self.traffic is not None:
            self.traffic.setdefault(host_id, Counter())[event] += 1
