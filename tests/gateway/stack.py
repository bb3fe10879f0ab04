"""A gateway on real sockets between hosts, a list and clients that a test plays by hand, all on one loop."""

import asyncio
import os
import time
from functools import wraps

import uvloop

from cherrydoor.config import read
from cherrydoor.config.figures import GatewayConfig, schema
from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.service import GatewayService
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import Router

LEASE = """
name: "g0", number: 0, gateways: 1, list: "127.0.0.1:%d"
clauses: [
  {name: "draft", target: 400ms, max_age: 5s}
  {name: "sign", target: 400ms, max_age: 5s, kind: "keyed", group: "zone", memory: 4s}
  {name: "archive", target: 400ms, max_age: 5s, kind: "at-most-once"}
  {name: "read", target: 400ms, max_age: 5s, stream: true}
]
"""
MAY = "may: {launches: 3, recall: true, probe: true, order: true, advice: 1s}\n"
REST = {"cold": "cold: {}", "ration": "ration: {}", "bounds": "bounds: {}", "may": MAY}
LONG = 20.0  # s after which a test that waits for something has failed


def now():
    return time.monotonic() * 1000


def story(test):
    """Runs an async test on uvloop and cleans up whatever the stack opened."""

    @wraps(test)
    def run():
        async def whole():
            stack = Stack()
            try:
                await asyncio.wait_for(test(stack), 60)
            finally:
                await stack.stop()

        uvloop.run(whole())

    del run.__wrapped__  # so that pytest does not look for a fixture named stack
    return run


class Played:
    """One end that a test plays: what it hears is kept, and can be waited for."""

    def __init__(self):
        self.heard_all, self.waiting, self.ends, self.lost_ends = [], [], [], 0

    def greeted(self, end, hello):
        self.ends.append(end)
        self.stir()

    def heard(self, end, message):
        self.heard_all.append((end, message))
        self.stir()

    def lost(self, end):
        self.lost_ends += 1
        self.stir()

    def stir(self):
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        self.waiting.clear()

    def all(self, kind):
        return [message for _, message in self.heard_all if isinstance(message, kind)]

    async def until(self, met):
        """Waits until met() gives something true and returns it."""

        async def wait():
            while not (result := met()):
                future = asyncio.get_running_loop().create_future()
                self.waiting.append(future)
                await future
            return result

        return await asyncio.wait_for(wait(), LONG)

    async def got(self, kind, count=1):
        await self.until(lambda: len(self.all(kind)) >= count)
        return self.all(kind)


class Host(Played):
    """A host that answers only when told to, or at once with `answers`."""

    def __init__(self, answers=None, since=0.0):
        super().__init__()
        self.answers, self.since, self.server, self.largest, self.tls = (
            answers,
            since,
            None,
            protocol.DEFAULT_MAX_FRAME_BYTES,
            None,
        )

    async def start(self, port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_HOST,
                lambda: protocol.Hello(
                    protocol.VERSION, "host", self.id, now(), self.since, self.largest
                ),
            ),
            "127.0.0.1",
            port,
            reuse_address=True,
            ssl=self.tls,
        )
        self.id = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def heard(self, end, message):
        super().heard(end, message)
        if self.answers and type(message) is protocol.Attempt:
            end.write(protocol.AttemptResult(message.id, self.answers, 1, 0, None, message.body))
        elif type(message) is protocol.HealthCheck and self.answers:
            end.write(protocol.HealthCheckResult(message.id))
        elif type(message) is protocol.LoadOrder and self.answers:
            end.write(protocol.LoadOrderResult(message.id, "handled", message.copies))

    def outcome(self, launch, fate="handled", copy=1, end=None, body=b""):
        end = end or next(e for e, message in self.heard_all if message is launch)
        end.write(protocol.AttemptResult(launch.id, fate, copy, 0, None, body))

    def reset(self):
        for end in self.ends:
            end.abort()

    def die(self):
        self.server.close()
        self.reset()


class Listing(Played):
    async def start(self):
        loop = asyncio.get_running_loop()
        self.rows, self.revision = {}, 0
        self.server = await loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_LIST,
                lambda: protocol.Hello(protocol.VERSION, "list", "list", now()),
            ),
            "127.0.0.1",
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def heard(self, end, message):
        super().heard(end, message)
        if type(message) in (protocol.Watch, protocol.Poll):
            end.write(protocol.EndpointUpdate(self.revision, "whole", list(self.rows.values())))

    async def tell(self, *rows, how="changes"):
        """Pushes rows and waits until every follower has read them."""
        self.revision += 1
        for row in rows:
            self.rows[row.host] = row
        if how == "whole":
            self.rows = {row.host: row for row in rows}
        live = [e for e in self.ends if not e.transport.is_closing()]
        for end in live:
            end.write(protocol.EndpointUpdate(self.revision, how, list(rows)))
        await self.until(
            lambda: (
                sum(h.revision == self.revision for h in self.all(protocol.UpdateAcknowledged))
                >= len(live)
            )
        )


class Client(Played):
    def __init__(self):
        super().__init__()
        self.ids = 0

    async def connect(self, port):
        _, self.end = await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                self,
                protocol.TO_CLIENT,
                lambda: protocol.Hello(protocol.VERSION, "client", "c", now()),
            ),
            "127.0.0.1",
            port,
        )
        await self.until(lambda: self.ends)
        return self

    def send(
        self,
        function="deed",
        clause="draft",
        lasts=4000.0,
        mark="",
        body=b"",
        number=None,
        sent=None,
    ):
        self.ids += 1
        number = self.ids if number is None else number
        self.end.write(
            protocol.Request(
                number,
                clause,
                function,
                lasts,
                now() if sent is None else sent,
                "",
                mark,
                4.0,
                0.0,
                body,
            )
        )
        return number

    async def answer(self, number):
        """The answer to that event; more than one would show in answers()."""
        await self.until(lambda: self.answers(number))
        return self.answers(number)[0]

    def answers(self, number):
        return [a for a in self.all(protocol.Response) if a.id == number]


class Stack:
    def __init__(self):
        self.opened, self.service = [], None

    async def start(self, *hosts, saved=None, plain=True, **parts):
        """A gateway that knows these hosts, with one client on it unless it is not plain TCP that is spoken there.
        `parts` replace parts of the lease."""
        self.list = await Listing().start()
        self.opened.append(self.list)
        for host in hosts:
            await self.host(host, tell=False)
        self.list.rows = {h.id: protocol.Endpoint(h.id, "ready", h.since, "z", 0) for h in hosts}
        text = LEASE % self.list.port + "\n".join({**REST, **parts}.values())
        if saved:
            text += f'\nsaved: "{saved}"'
        self.service = GatewayService(
            GatewayConfig(read(text, "f", schema("lease.schema"), "#Lease")), Router
        )
        await self.service.start()
        await self.list.got(protocol.UpdateAcknowledged)
        return await self.client() if plain else None

    async def client(self):
        client = await Client().connect(self.service.port)
        self.opened.append(client)
        return client

    async def host(self, host, tell=True, zone="z", port=0):
        await host.start(port)
        self.opened.append(host)
        if tell:
            await self.list.tell(protocol.Endpoint(host.id, "ready", host.since, zone, 0))
        return host

    async def settled(self, met):
        """Waits for something inside the gateway that no end can see, turn by turn."""

        async def wait():
            while not met():
                await asyncio.sleep(0)

        await asyncio.wait_for(wait(), LONG)

    @property
    def counters(self):
        return self.service.dispatcher.counters

    async def stop(self):
        if self.service:
            await self.service.stop()
        for one in self.opened:
            if getattr(one, "server", None):
                one.server.close()
            for end in one.ends:
                end.abort()
        await asyncio.sleep(0)


def environment():
    return os.environ | {"PYTHONPATH": os.getcwd()}
