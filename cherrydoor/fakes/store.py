"""The program store: a fixed number of fetches at full pace, slower when crowded, refusals beyond a limit, stops."""

import asyncio

import msgspec

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.cores import Cores
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Store:
    """at_once: fetches that run at full pace; takes: how many are in hand at most, further ones are refused."""

    def __init__(self, record, catalogue, at_once=8, takes=64):
        self.record, self.catalogue, self.at_once, self.takes = record, catalogue, at_once, takes
        self.loop, self.cores, self.releases = asyncio.get_running_loop(), Cores(at_once, now()), {}
        self.slow, self.stopped, self.alarm, self.in_hand = 1.0, False, None, 0

    async def start(self, where="127.0.0.1", port=0):
        self.server = await self.loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_STORE,
                lambda: protocol.Hello(protocol.VERSION, "store", "store", now()),
            ),
            where,
            port,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def speed(self):
        return 0.0 if self.stopped else 1.0 / self.slow

    def hello_received(self, end, hello):
        pass

    def connection_ended(self, end):
        pass

    def message_received(self, end, fetch):
        self.record.add(
            "fetch",
            peer=end.reader.hello.name,
            id=fetch.id,
            function=fetch.function,
            a=self.in_hand,
        )
        if self.in_hand >= self.takes:
            self.record.add(
                "fetch refused", peer=end.reader.hello.name, id=fetch.id, function=fetch.function
            )
            return end.write(protocol.FetchResult(fetch.id, "full"))
        self.in_hand += 1
        self.cores.add(
            now(),
            self.speed(),
            self.catalogue.fetch_time(fetch.function),
            lambda: self.fetched(end, fetch),
        )
        self.reschedule()

    def fetched(self, end, fetch):
        self.in_hand -= 1
        facts = self.catalogue(fetch.function)
        end.write(
            msgspec.structs.replace(
                facts, id=fetch.id, release=self.releases.get(fetch.function, 0)
            )
        )
        self.record.add("fetched", peer=end.reader.hello.name, id=fetch.id, function=fetch.function)

    def set(self, slow=None, stopped=None):
        self.cores.advance(now(), self.speed())
        self.slow = self.slow if slow is None else slow
        self.stopped = self.stopped if stopped is None else stopped
        self.reschedule()

    def reschedule(self):
        if self.alarm:
            self.alarm.cancel()
            self.alarm = None
        for job in self.cores.ended(now(), self.speed()):
            job()
        wait = self.cores.next()
        if self.alarm is None and wait is not None:
            self.alarm = self.loop.call_later(wait / 1000 + 0.0001, self.reschedule)
