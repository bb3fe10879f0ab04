"""The release feed: tells each follower of releases, late in its own way, and at times not at all."""

import asyncio
from zlib import crc32

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Feed:
    """`notice`: ms, least and most, from a release to a follower's hearing of it; `misses`: part of the followers that
    hear nothing of a release until they follow anew."""

    def __init__(self, record, notice=(50.0, 500.0), misses=0.0, seed=1):
        self.record, self.notice, self.misses, self.seed, self.drawn = (
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

    async def start(self, where="127.0.0.1", port=0):
        self.server = await self.loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_FEED,
                lambda: protocol.Hello(protocol.VERSION, "feed", "feed", now()),
            ),
            where,
            port,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def chance(self):
        self.drawn += 1
        return crc32(f"feed/{self.seed}/{self.drawn}".encode()) / 2.0**32

    def hello_received(self, end, hello):
        pass

    def connection_ended(self, end):
        self.followers.pop(end, None)

    def message_received(self, end, message):
        if type(message) is protocol.Watch:
            self.followers[end] = now()
            self.tell(end, "whole", list(self.releases.values()))

    def tell(self, end, how, releases):
        if end in self.followers:
            self.revision += 1
            end.write(protocol.ReleaseUpdate(self.revision, how, releases))

    def release(self, functions, version, state="announced"):
        """These functions' version is announced, withdrawn or complete from now on."""
        found = [protocol.Release(function, version, state) for function in functions]
        for one in found:
            self.releases[one.function] = one
            self.record.add("release", function=one.function, number=one.version, fate=state)
        for end, last in list(self.followers.items()):
            if self.chance() < self.misses:
                self.record.add("release missed", peer=end.reader.hello.name)
                continue
            at = max(
                last, now() + self.notice[0] + (self.notice[1] - self.notice[0]) * self.chance()
            )
            self.followers[end] = at
            self.loop.call_later((at - now()) / 1000, self.tell, end, "changes", found)
