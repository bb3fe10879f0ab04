"""The list of hosts: by push or when asked, each follower late in its own way, at times wrong or stale."""

import asyncio
from zlib import crc32

from cherrydoor.connection import FramedConnection, OrderedSet
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class EndpointListServer:
    """rows: the truth. A follower is told of a change `notice` ms later, between the two ends, in order.

    stale: asks are answered with what was so that long ago;  deaf: nobody is told anything while it is set.
    """

    def __init__(self, record, notice=(50.0, 200.0), stale=0.0, seed=1):
        self.record, self.notice, self.stale, self.seed, self.drawn = record, notice, stale, seed, 0
        self.loop, self.rows, self.revision, self.past = asyncio.get_running_loop(), {}, 0, []
        self.followers, self.ends, self.muted = {}, OrderedSet(), False

    async def start(self, where="127.0.0.1", port=0):
        self.server = await self.loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_LIST,
                lambda: protocol.Hello(protocol.VERSION, "list", "list", now()),
            ),
            where,
            port,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    def hello_received(self, end, hello):
        self.ends.add(end)

    def connection_ended(self, end):
        self.ends.discard(end)
        self.followers.pop(end, None)

    def message_received(self, end, message):
        name = end.reader.hello.name
        if type(message) is protocol.Watch:
            self.followers[end] = now()
            self.tell(end, "whole", list(self.rows.values()))
        elif type(message) is protocol.Poll:
            then = now() - self.stale
            kept = [rows for t, rows in self.past if t <= then]
            self.tell(end, "whole", kept[-1] if kept and self.stale else list(self.rows.values()))
        else:
            self.record.add("heard", peer=name, id=message.revision)

    def tell(self, end, how, rows):
        if self.muted or end not in self.ends:
            return
        self.revision += 1
        name = end.reader.hello.name
        for row in rows:
            self.record.add(
                "row",
                peer=name,
                id=self.revision,
                function=row.host,
                fate=row.state,
                a=row.started_at_ms,
            )
        self.record.add("told", peer=name, id=self.revision, fate=how, number=len(rows))
        end.write(protocol.EndpointUpdate(self.revision, how, rows))

    def set(self, row):
        """A change of the truth; gone rows leave it. Each follower hears of it in its own time."""
        if row.state == "gone":
            self.rows.pop(row.host, None)
        else:
            self.rows[row.host] = row
        self.record.add("truth", function=row.host, fate=row.state, a=row.started_at_ms)
        self.past = [p for p in self.past if p[0] > now() - self.stale - 60000] + [
            (now(), list(self.rows.values()))
        ]
        for end, last in list(self.followers.items()):
            at = max(
                last, now() + self.notice[0] + (self.notice[1] - self.notice[0]) * self.chance()
            )
            self.followers[end] = at
            self.loop.call_later((at - now()) / 1000, self.tell, end, "changes", [row])
