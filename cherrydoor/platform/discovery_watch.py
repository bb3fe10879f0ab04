"""Follows the bulletin: events in order of their numbers, asked for anew when they break off or fall silent."""

import asyncio
from typing import Any

from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import address, open_connection
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

SILENCE = 1.8  # s without a line, where a comment is due each second
CONNECT = 0.5  # s that a connection may take
PAUSES = (0.0, 0.05, 0.1, 0.2, 0.4)  # s before the next try, by how many failed in a row


class WatchConnection(asyncio.Protocol):
    """One connection to the bulletin."""

    def __init__(self, follower, where):
        self.follower, self.where, self.reader, self.transport = follower, where, sse.Reader(), None
        self.over: Any = asyncio.get_running_loop().create_future()
        self.alive, self.heard = 0.0, 0  # when last something came; events that came whole

    def connection_made(self, transport):
        self.transport, self.alive = transport, asyncio.get_running_loop().time()
        if (
            self.over.done()
        ):  # it was given up, or the bulletin moved, while the connection was on its way
            return transport.abort()
        transport.write(sse.request(self.where, self.follower.last))

    def data_received(self, data):
        self.alive = asyncio.get_running_loop().time()
        try:
            for told in self.reader.feed(data):
                if self.over.done():
                    return
                self.heard += 1
                self.follower.heard(told, self)
        except sse.Unreadable as error:
            self.end(str(error))

    def end(self, why):
        if not self.over.done():
            self.over.set_result(why)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error):
        self.end(str(error) if error else "it broke off")


class DiscoveryWatch:
    """`last` is the number of the last event told, `missing` the number before which one is missing. move(where) goes
    on elsewhere."""

    def __init__(self, service, where, last):
        self.service, self.where, self.last, self.task, self.missing = (
            service,
            where,
            last,
            None,
            None,
        )
        self.reading: Any = None

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self.follow())

    def stop(self):
        if self.task:
            self.task.cancel()
        if self.reading:
            self.reading.end("")

    async def follow(self):
        loop, failed = asyncio.get_running_loop(), 0
        while True:
            where, began = self.where, self.last
            why = await self.read(loop, where)
            failed = (
                0 if self.last > began or self.where != where or why == "silence" else failed + 1
            )
            self.service.dispatcher.counters["bulletin connections ended"] += 1
            self.service.say(
                "the bulletin's connection has ended", where=where, why=why, last=self.last
            )
            await asyncio.sleep(PAUSES[min(failed, len(PAUSES) - 1)])

    async def read(self, loop, where):
        """Reads one connection to its end; says why it ended."""
        reading = self.reading = WatchConnection(self, where)
        try:
            async with asyncio.timeout(CONNECT):
                await open_connection(self.service.listeners, lambda: reading, *address(where))
        except (TimeoutError, OSError) as error:
            reading.end("")
            return f"not reached: {error or 'time-out'}"
        while not reading.over.done():
            left = reading.alive + SILENCE - loop.time()
            if left <= 0:
                reading.end("silence")
                break
            await asyncio.wait([reading.over], timeout=left)
            for _ in range(2):  # after a stall: what is ready is read before it is called silent
                await asyncio.sleep(0)
        return reading.over.result()

    def move(self, where):
        if where != self.where:
            self.where = where
            if self.reading:
                self.reading.end("the bulletin has moved")

    def heard(self, told, reading=None):
        """Each number counts once, whichever connection brings it. Where one is missing the bulletin is asked anew
        from the last one told, once: a drain may be in it. A whole list under a lower number, first on a connection,
        is of a bulletin that numbers anew; it undoes no drain."""
        counts = self.service.dispatcher.counters
        anew = reading is not None and reading.heard == 1 and told.whole and told.no < self.last
        if told.no <= self.last and not anew:
            counts["bulletin events doubled"] += 1
            return
        if (
            not told.whole
            and told.no > self.last + 1
            and (reading is None or self.missing != told.no)
        ):
            counts["bulletin events missing"] += 1
            if reading is not None:
                self.missing = told.no
                reading.end("an event is missing")
            return
        self.last = told.no
        self.tell(told, anew)
        self.service.line("the bulletin tells", heard=told.no, **({"anew": True} if anew else {}))

    def tell(self, told, anew=False):
        if told.rows is None:
            return
        rows = [
            protocol.Endpoint(row.id, row.state, row.started, row.zone, row.cell)
            for row in told.rows
            if not (anew and row.state == sse.READY and self.drains(row.id))
        ]
        self.service.post(
            self.service.upstream.listed,
            routing.UpdateKind.SNAPSHOT if told.whole else routing.UpdateKind.INCREMENTAL,
            rows,
            {row.id: row.address for row in told.rows if row.state != sse.GONE},
        )

    def drains(self, name):
        host = self.service.dispatcher.hosts.get(name)
        return host is not None and host.row.state != sse.READY
