"""The endpoint list, watched or polled by gateways, with delayed, stale or missing updates."""

import asyncio
from zlib import crc32

from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class EndpointListServer:
    """Serves the endpoint list.

    Attributes:
        notice_ms: Range [min, max] of the delay of an update, drawn for each follower. A follower
            receives updates in order.
        stale_ms: Age of the list with which polls are answered; 0 for the present one.
        seed: Seed of the random delays.
        draw_count: Number of random values drawn so far.
        endpoints: The present endpoints, by host.
        revision: Number of updates sent so far.
        snapshots: (time, endpoints) after each change, the oldest first.
        followers: Connections that watch the list, each with the time for which its latest update
            is scheduled.
        muted: While set, no connection receives anything.
    """

    def __init__(self, record, notice=(50.0, 200.0), stale=0.0, seed=1):
        self.record, self.notice_ms, self.stale_ms, self.seed, self.draw_count = (
            record,
            notice,
            stale,
            seed,
            0,
        )
        self.loop, self.endpoints, self.revision, self.snapshots = (
            asyncio.get_running_loop(),
            {},
            0,
            [],
        )
        self.followers, self.connections, self.muted = {}, OrderedSet(), False

    async def start(self, address="127.0.0.1", port=0):
        self.server = await self.loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_LIST,
                lambda: protocol.Hello(protocol.VERSION, "list", "list", now()),
            ),
            address,
            port,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def random_fraction(self):
        """Returns a pseudo-random number in [0, 1)."""
        self.draw_count += 1
        return crc32(f"{self.seed}/{self.draw_count}".encode()) / 2.0**32

    def hello_received(self, connection, hello):
        self.connections.add(connection)

    def connection_ended(self, connection):
        self.connections.discard(connection)
        self.followers.pop(connection, None)

    def message_received(self, connection, message):
        name = connection.reader.hello.name
        if type(message) is protocol.Watch:
            self.followers[connection] = now()
            self.send_update(connection, "whole", list(self.endpoints.values()))
        elif type(message) is protocol.Poll:
            as_of_ms = now() - self.stale_ms
            old_enough = [
                endpoints for taken_ms, endpoints in self.snapshots if taken_ms <= as_of_ms
            ]
            self.send_update(
                connection,
                "whole",
                old_enough[-1] if old_enough and self.stale_ms else list(self.endpoints.values()),
            )
        else:
            self.record.add("heard", peer=name, id=message.revision)

    def send_update(self, connection, kind, endpoints):
        """Sends an update, unless muted or disconnected; kind is "whole" or "changes"."""
        if self.muted or connection not in self.connections:
            return
        self.revision += 1
        name = connection.reader.hello.name
        for endpoint in endpoints:
            self.record.add(
                "row",
                peer=name,
                id=self.revision,
                function=endpoint.host,
                fate=endpoint.state,
                a=endpoint.started_at_ms,
            )
        self.record.add("told", peer=name, id=self.revision, fate=kind, number=len(endpoints))
        connection.write(protocol.EndpointUpdate(self.revision, kind, endpoints))

    def set_endpoint(self, endpoint):
        """Changes an endpoint, or removes it if its state is "gone", and notifies each follower."""
        if endpoint.state == "gone":
            self.endpoints.pop(endpoint.host, None)
        else:
            self.endpoints[endpoint.host] = endpoint
        self.record.add(
            "truth", function=endpoint.host, fate=endpoint.state, a=endpoint.started_at_ms
        )
        self.snapshots = [
            snapshot for snapshot in self.snapshots if snapshot[0] > now() - self.stale_ms - 60000
        ] + [(now(), list(self.endpoints.values()))]
        for connection, last_send_ms in list(self.followers.items()):
            send_at_ms = max(
                last_send_ms,
                now()
                + self.notice_ms[0]
                + (self.notice_ms[1] - self.notice_ms[0]) * self.random_fraction(),
            )
            self.followers[connection] = send_at_ms
            self.loop.call_later(
                (send_at_ms - now()) / 1000, self.send_update, connection, "changes", [endpoint]
            )
