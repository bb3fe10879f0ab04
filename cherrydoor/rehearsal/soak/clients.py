"""Clients of a soak: open loop on kept-alive connections; some clients disconnect early."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

FUNCTIONS = [f"{number:016x}" for number in range(1, 25)]
EARLY_DISCONNECT_SHARE = 0.04  # share of requests whose client closes before the response
AT_MOST_ONCE_SHARE = 0.2  # share of requests that must not run twice
# If the gateway closes the connection within this time of the request being sent, the two may
# have crossed on the wire, so the client sends the request a second time.
CLOSE_RACE_S = 0.05
CONNECT_TIMEOUT_S = 0.5


@dataclass
class ClientRequest:
    """One request as its client saw it.

    Times are of the event loop's clock; None means that the event did not happen.

    Attributes:
        sent_s: When the client wrote the request.
        disconnected_s: When the client disconnected before a response.
        responded_s: When the client had read the whole response.
        connection_closed_s: When the connection was closed without a response.
        status: HTTP status of the response.
        body_matches: Whether a successful response has the body that hosts send for this request.
    """

    id: str
    gateway: int
    request_class: str
    deadline_s: float
    sent_s: float | None = None
    disconnected_s: float | None = None
    responded_s: float | None = None
    connection_closed_s: float | None = None
    status: int | None = None
    body_matches: bool = True


class GatewayClients:
    """All clients of one gateway."""

    def __init__(self, run, gateway):
        self.run = run
        self.gateway = gateway
        self.rng = random.Random(f"{run.plan.seed}/{gateway}")
        self.idle_connections = []
        self.tasks = set()
        self.accepting = True  # whether the front end sends it new connections

    async def send_until(self, end_s):
        """Starts requests at the plan's rate without waiting for earlier responses."""
        loop = self.run.loop
        next_s = loop.time()
        while next_s < end_s:
            next_s += self.rng.expovariate(self.run.plan.requests_per_s)
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            task = loop.create_task(self.send_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self):
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    def draw_request(self):
        plan = self.run.plan
        at_most_once = self.rng.random() < AT_MOST_ONCE_SHARE
        timeout_s = plan.deadline_ms / 1000 * self.rng.choice((0.25, 0.5, 1.0))
        number = self.run.next_request_number()
        return ClientRequest(
            f"{number:016x}", self.gateway, "file" if at_most_once else "draft", timeout_s
        )

    def encode_head(self, request):
        function = self.rng.choice(FUNCTIONS)
        timeout_ms = round(request.deadline_s * 1000)
        return (
            f"POST /call/{function}/sync HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Class: {request.request_class}\r\nX-Call-Id: {request.id}\r\n"
            f"X-Patience-Ms: {timeout_ms}\r\nX-Customer: acme\r\n"
            "X-Extras: memory_mb:512;lanes:4;load_ms:200\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    async def send_request(self):
        """Sends one request, a second time on a new connection if it raced with a close."""
        request = self.draw_request()
        head = self.encode_head(request)
        for new_only in (False, True):
            connection = await self.get_connection(new_only)
            if connection is None:
                return
            self.run.requests.append(request)
            await self.exchange(request, head, *connection)
            raced_close = (
                request.connection_closed_s is not None
                and request.connection_closed_s - request.sent_s < CLOSE_RACE_S
            )
            if new_only or not raced_close:
                return
            self.run.requests.remove(request)
            request.connection_closed_s = None

    async def get_connection(self, new_only):
        while self.idle_connections and not new_only:
            reader, writer = self.idle_connections.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        if not self.accepting:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(*self.run.listen_address(self.gateway))
        except (TimeoutError, OSError):
            return None

    async def exchange(self, request, head, reader, writer):
        loop = self.run.loop
        writer.write(head)
        request.sent_s = loop.time()
        disconnect_after_s = None
        if self.rng.random() < EARLY_DISCONNECT_SHARE:
            disconnect_after_s = self.rng.uniform(0.0, request.deadline_s / 4)
        wait_s = request.deadline_s + 1.0 if disconnect_after_s is None else disconnect_after_s
        try:
            async with asyncio.timeout(wait_s):
                await self.read_response(request, reader)
        except TimeoutError:
            if disconnect_after_s is not None:
                request.disconnected_s = loop.time()
            writer.transport.abort()
            return
        except (asyncio.IncompleteReadError, OSError):
            request.connection_closed_s = loop.time()
            writer.close()
            return
        self.idle_connections.append((reader, writer))

    async def read_response(self, request, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in rest if line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        request.responded_s = self.run.loop.time()
        request.status = int(first.split()[1])
        if request.status == 200:
            request.body_matches = body == b"body of " + request.id.encode()

    def close(self):
        for _, writer in self.idle_connections:
            with contextlib.suppress(OSError):
                writer.close()
        self.idle_connections = []
