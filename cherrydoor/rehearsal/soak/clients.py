"""Clients of a soak: open loop, connections kept alive, some of which leave early."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

FUNCTIONS = [f"{number:016x}" for number in range(1, 25)]
LEAVES_EARLY = 0.04  # share of clients that close before the answer
AT_MOST_ONCE = 0.2  # share of requests that must not run twice
CROSSING_S = 0.05  # a request that crosses a close so closely is sent once more
CONNECT_S = 0.5


@dataclass
class ClientRequest:
    """One request as its client saw it; times are the loop's, None where there was none.

    Attributes:
        sent_s: When its last byte was written.
        left_s: When the client closed before an answer.
        answered_s: When the whole answer was read.
        ended_s: When the connection ended without an answer.
        status: HTTP status of the answer.
        right_body: Whether a success brought the host's own body.
    """

    id: str
    gateway: int
    request_class: str
    deadline_s: float
    sent_s: float | None = None
    left_s: float | None = None
    answered_s: float | None = None
    ended_s: float | None = None
    status: int | None = None
    right_body: bool = True


class GatewayClients:
    """All clients of one gateway."""

    def __init__(self, run, gateway):
        self.run = run
        self.gateway = gateway
        self.chance = random.Random(f"{run.plan.seed}/{gateway}")
        self.idle = []
        self.tasks = set()
        self.accepts = True  # the front sends it new connections

    async def send_until(self, end_s):
        """Starts requests at the plan's rate, whether earlier ones were answered or not."""
        loop = self.run.loop
        next_s = loop.time()
        while next_s < end_s:
            next_s += self.chance.expovariate(self.run.plan.rate)
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            task = loop.create_task(self.request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self):
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    def draw(self):
        plan = self.run.plan
        once = self.chance.random() < AT_MOST_ONCE
        patience_s = plan.deadline_ms / 1000 * self.chance.choice((0.25, 0.5, 1.0))
        number = self.run.next_number()
        return ClientRequest(
            f"{number:016x}", self.gateway, "file" if once else "draft", patience_s
        )

    def text(self, request):
        function = self.chance.choice(FUNCTIONS)
        patience_ms = round(request.deadline_s * 1000)
        return (
            f"POST /call/{function}/sync HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Class: {request.request_class}\r\nX-Call-Id: {request.id}\r\n"
            f"X-Patience-Ms: {patience_ms}\r\nX-Customer: acme\r\n"
            "X-Extras: memory_mb:512;lanes:4;load_ms:200\r\nContent-Length: 0\r\n\r\n"
        ).encode()

    async def request(self):
        """One request; once more on a new connection where it crossed a close."""
        request = self.draw()
        text = self.text(request)
        for fresh in (False, True):
            connection = await self.connection(fresh)
            if connection is None:
                return
            self.run.requests.append(request)
            await self.exchange(request, text, *connection)
            crossed = request.ended_s is not None and request.ended_s - request.sent_s < CROSSING_S
            if fresh or not crossed:
                return
            self.run.requests.remove(request)
            request.ended_s = None

    async def connection(self, fresh):
        while self.idle and not fresh:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        if not self.accepts:
            return None
        try:
            async with asyncio.timeout(CONNECT_S):
                return await asyncio.open_connection(*self.run.listen_address(self.gateway))
        except (TimeoutError, OSError):
            return None

    async def exchange(self, request, text, reader, writer):
        loop = self.run.loop
        writer.write(text)
        request.sent_s = loop.time()
        leaves_s = None
        if self.chance.random() < LEAVES_EARLY:
            leaves_s = self.chance.uniform(0.0, request.deadline_s / 4)
        waits_s = request.deadline_s + 1.0 if leaves_s is None else leaves_s
        try:
            async with asyncio.timeout(waits_s):
                await self.read_answer(request, reader)
        except TimeoutError:
            if leaves_s is not None:
                request.left_s = loop.time()
            writer.transport.abort()
            return
        except (asyncio.IncompleteReadError, OSError):
            request.ended_s = loop.time()
            writer.close()
            return
        self.idle.append((reader, writer))

    async def read_answer(self, request, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in rest if line)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        request.answered_s = self.run.loop.time()
        request.status = int(first.split()[1])
        if request.status == 200:
            request.right_body = body == b"body of " + request.id.encode()

    def close(self):
        for _, writer in self.idle:
            with contextlib.suppress(OSError):
                writer.close()
        self.idle = []
