"""The release feed, which sends releases to its followers with random delays and omissions."""

import asyncio
from zlib import crc32

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Feed:
    """Serves the release feed.

    Attributes:
        notice_ms: Range [min, max] of the time until a follower receives a release. A follower
            receives updates in order.
        missed_share: Fraction of the followers that do not receive a release before they follow
            the feed again.
        seed: Seed of the random delays and omissions.
        draw_count: Number of random values drawn so far.
        releases: The latest release of each function.
        followers: Connections that follow the feed, each with the time for which its latest update
            is scheduled.
        revision: Number of updates sent so far.
    """

    def __init__(self, record, notice=(50.0, 500.0), misses=0.0, seed=1):
        self.record, self.notice_ms, self.missed_share, self.seed, self.draw_count = (
            record,
            notice,
            misses,
            seed,
            0,
        )
        self.loop, self.releases, self.followers, self.revision = (
            asyncio.get_running_loop(),
            {},
            {},
            0,
        )

    async def start(self, address="127.0.0.1", port=0):
        self.server = await self.loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_FEED,
                lambda: protocol.Hello(protocol.VERSION, "feed", "feed", now()),
            ),
            address,
            port,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def random_fraction(self):
        """Returns a pseudo-random number in [0, 1)."""
        self.draw_count += 1
        return crc32(f"feed/{self.seed}/{self.draw_count}".encode()) / 2.0**32

    def hello_received(self, connection, hello):
        pass

    def connection_ended(self, connection):
        self.followers.pop(connection, None)

    def message_received(self, connection, message):
        if type(message) is protocol.Watch:
            self.followers[connection] = now()
            self.send_update(connection, "whole", list(self.releases.values()))

    def send_update(self, connection, kind, releases):
        """Sends an update, unless disconnected; kind is "whole" or "changes"."""
        if connection in self.followers:
            self.revision += 1
            connection.write(protocol.ReleaseUpdate(self.revision, kind, releases))

    def release(self, functions, version, state="announced"):
        """Sets the release of functions: this version is announced, withdrawn or complete."""
        changed = [protocol.Release(function, version, state) for function in functions]
        for release in changed:
            self.releases[release.function] = release
            self.record.add(
                "release", function=release.function, number=release.version, fate=state
            )
        for connection, last_send_ms in list(self.followers.items()):
            if self.random_fraction() < self.missed_share:
                self.record.add("release missed", peer=connection.reader.hello.name)
                continue
            send_at_ms = max(
                last_send_ms,
                now()
                + self.notice_ms[0]
                + (self.notice_ms[1] - self.notice_ms[0]) * self.random_fraction(),
            )
            self.followers[connection] = send_at_ms
            self.loop.call_later(
                (send_at_ms - now()) / 1000, self.send_update, connection, "changes", changed
            )
