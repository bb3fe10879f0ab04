"""A gateway on real sockets, with hosts, an endpoint list and clients run by the test.

All of them run on one event loop. Tests start with `Stack`.
"""

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
PERMISSIONS = "may: {launches: 3, recall: true, probe: true, order: true, advice: 1s}\n"
DEFAULT_PARTS = {
    "cold": "cold: {}",
    "ration": "ration: {}",
    "bounds": "bounds: {}",
    "may": PERMISSIONS,
}
WAIT_LIMIT_S = 20.0  # timeout of each wait for a condition
TEST_LIMIT_S = 60.0  # timeout of a whole test


def now():
    """Returns the monotonic time in ms."""
    return time.monotonic() * 1000


def with_stack(test):
    """Runs an async test with a stack on uvloop, and closes everything that the stack opened."""

    @wraps(test)
    def run():
        async def run_and_close():
            stack = Stack()
            try:
                await asyncio.wait_for(test(stack), TEST_LIMIT_S)
            finally:
                await stack.stop()

        uvloop.run(run_and_close())

    del run.__wrapped__  # otherwise pytest would look for a fixture named stack
    return run


class ScriptedPeer:
    """A peer controlled by the test, which records what it receives and can wait for it.

    `received` holds (connection, message) for each message received, `connections` all
    connections, and `ended_count` the number of connections that have ended.
    """

    def __init__(self):
        self.received = []
        self.waiters = []
        self.connections = []
        self.ended_count = 0

    def hello_received(self, end, hello):
        self.connections.append(end)
        self.wake_waiters()

    def message_received(self, end, message):
        self.received.append((end, message))
        self.wake_waiters()

    def connection_ended(self, end):
        self.ended_count += 1
        self.wake_waiters()

    def wake_waiters(self):
        """Wakes all waiters, which check their conditions again."""
        for future in self.waiters:
            if not future.done():
                future.set_result(None)
        self.waiters.clear()

    def all(self, message_type):
        """Returns the messages received of this type, oldest first."""
        return [message for _, message in self.received if isinstance(message, message_type)]

    async def until(self, condition):
        """Waits until condition() returns a true value, and returns that value."""

        async def wait():
            while not (result := condition()):
                future = asyncio.get_running_loop().create_future()
                self.waiters.append(future)
                await future
            return result

        return await asyncio.wait_for(wait(), WAIT_LIMIT_S)

    async def wait_for(self, message_type, count=1):
        """Waits for at least `count` messages of this type, and returns all of them."""
        await self.until(lambda: len(self.all(message_type)) >= count)
        return self.all(message_type)


class Host(ScriptedPeer):
    """A host that answers immediately with the outcome `answers`; None leaves it to the test.

    `started_at_ms` is the start time that it states in its hello.
    """

    def __init__(self, answers=None, started_at_ms=0.0):
        super().__init__()
        self.answers = answers
        self.started_at_ms = started_at_ms
        self.server = None
        self.max_frame_bytes = protocol.DEFAULT_MAX_FRAME_BYTES
        self.tls = None

    async def start(self, port=0):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_HOST,
                lambda: protocol.Hello(
                    protocol.VERSION,
                    "host",
                    self.id,
                    now(),
                    self.started_at_ms,
                    self.max_frame_bytes,
                ),
            ),
            "127.0.0.1",
            port,
            reuse_address=True,
            ssl=self.tls,
        )
        self.id = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def message_received(self, end, message):
        super().message_received(end, message)
        if self.answers and type(message) is protocol.Attempt:
            end.write(protocol.AttemptResult(message.id, self.answers, 1, 0, None, message.body))
        elif type(message) is protocol.HealthCheck and self.answers:
            end.write(protocol.HealthCheckResult(message.id))
        elif type(message) is protocol.LoadOrder and self.answers:
            end.write(protocol.LoadOrderResult(message.id, "handled", message.copies))

    def outcome(self, attempt, outcome="handled", copy=1, end=None, body=b""):
        """Answers an attempt, by default on the connection on which it was received."""
        end = end or next(e for e, message in self.received if message is attempt)
        end.write(protocol.AttemptResult(attempt.id, outcome, copy, 0, None, body))

    def abort_connections(self):
        """Aborts all connections."""
        for end in self.connections:
            end.abort()

    def crash(self):
        """Stops accepting connections and aborts the existing ones."""
        self.server.close()
        self.abort_connections()


class EndpointListServer(ScriptedPeer):
    """An endpoint list server."""

    async def start(self):
        loop = asyncio.get_running_loop()
        self.rows = {}
        self.revision = 0
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

    def message_received(self, end, message):
        super().message_received(end, message)
        if type(message) in (protocol.Watch, protocol.Poll):
            end.write(protocol.EndpointUpdate(self.revision, "whole", list(self.rows.values())))

    async def push(self, *rows, kind="changes"):
        """Sends rows to all connected gateways and waits until each has acknowledged them."""
        self.revision += 1
        for row in rows:
            self.rows[row.host] = row
        if kind == "whole":
            self.rows = {row.host: row for row in rows}
        open_ends = [end for end in self.connections if not end.transport.is_closing()]
        for end in open_ends:
            end.write(protocol.EndpointUpdate(self.revision, kind, list(rows)))
        await self.until(
            lambda: (
                sum(
                    update.revision == self.revision
                    for update in self.all(protocol.UpdateAcknowledged)
                )
                >= len(open_ends)
            )
        )


class Client(ScriptedPeer):
    """A client on one connection."""

    def __init__(self):
        super().__init__()
        self.ids = 0

    async def connect(self, port):
        """Connects and waits for the gateway's hello."""
        _, self.end = await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                self,
                protocol.TO_CLIENT,
                lambda: protocol.Hello(protocol.VERSION, "client", "c", now()),
            ),
            "127.0.0.1",
            port,
        )
        await self.until(lambda: self.connections)
        return self

    def send(
        self,
        function="deed",
        request_class="draft",
        timeout_ms=4000.0,
        idempotency_key="",
        body=b"",
        number=None,
        sent_at_ms=None,
    ):
        """Sends a request and returns its id, which is `number` or by default the next one.

        `sent_at_ms` is the send time by the client's clock.
        """
        self.ids += 1
        number = self.ids if number is None else number
        self.end.write(
            protocol.Request(
                number,
                request_class,
                function,
                timeout_ms,
                now() if sent_at_ms is None else sent_at_ms,
                "",
                idempotency_key,
                4.0,
                0.0,
                body,
            )
        )
        return number

    async def answer(self, number):
        """Waits for the response to a request; answers() would return any duplicate as well."""
        await self.until(lambda: self.answers(number))
        return self.answers(number)[0]

    def answers(self, number):
        """Returns all responses to a request."""
        return [response for response in self.all(protocol.Response) if response.id == number]


class Stack:
    """A gateway in this process, `service`, and the peers that the test has opened."""

    def __init__(self):
        self.opened = []
        self.service = None

    async def start(self, *hosts, saved=None, plain=True, **parts):
        """Starts a gateway that knows these hosts; returns a client of it, or None without `plain`.

        `parts` replaces parts of the configuration, `saved` is the cache file of the endpoint list,
        and `plain` states that the gateway listens on plain TCP.
        """
        self.list = await EndpointListServer().start()
        self.opened.append(self.list)
        for host in hosts:
            await self.host(host, listed=False)
        self.list.rows = {
            host.id: protocol.Endpoint(host.id, "ready", host.started_at_ms, "z", 0)
            for host in hosts
        }
        text = LEASE % self.list.port + "\n".join({**DEFAULT_PARTS, **parts}.values())
        if saved:
            text += f'\nsaved: "{saved}"'
        self.service = GatewayService(
            GatewayConfig(read(text, "f", schema("gateway.schema"), "#Lease")), Router
        )
        await self.service.start()
        await self.list.wait_for(protocol.UpdateAcknowledged)
        return await self.client() if plain else None

    async def client(self):
        """Connects a new client to the gateway."""
        client = await Client().connect(self.service.port)
        self.opened.append(client)
        return client

    async def host(self, host, listed=True, zone="z", port=0):
        """Starts a host and, if `listed` is set, adds it to the endpoint list."""
        await host.start(port)
        self.opened.append(host)
        if listed:
            await self.list.push(protocol.Endpoint(host.id, "ready", host.started_at_ms, zone, 0))
        return host

    async def wait_until(self, condition):
        """Waits for a condition inside the gateway, checked in each iteration of the event loop."""

        async def wait():
            while not condition():
                await asyncio.sleep(0)

        await asyncio.wait_for(wait(), WAIT_LIMIT_S)

    @property
    def counters(self):
        """Returns the counters of the gateway's dispatcher."""
        return self.service.dispatcher.counters

    async def stop(self):
        """Stops the gateway and closes its peers."""
        if self.service:
            await self.service.stop()
        for peer in self.opened:
            if getattr(peer, "server", None):
                peer.server.close()
            for end in peer.connections:
                end.abort()
        await asyncio.sleep(0)


def environment():
    """Returns the environment of a process that runs the project from this directory."""
    return os.environ | {"PYTHONPATH": os.getcwd()}
