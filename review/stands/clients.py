"""Clients: one request at a time on a connection, with the patience that the request states."""

import asyncio
import itertools
import os
import time

FUNCTION = "7f3a9c21e0b4d655"
EXTRAS = "memory_mb:512;lanes:4;load_ms:200"
NUMBERS = itertools.count(int.from_bytes(os.urandom(6), "big") << 8)


class Answer:
    """What a client got: `status` is 0 if the connection ended with no whole answer, None if none came."""

    def __init__(self, status, headers=None, body=b"", why=""):
        self.status, self.headers, self.body, self.why = status, headers or {}, body, why
        self.sent_s = self.at_s = 0.0

    def __repr__(self):
        return f"{self.status} {self.body[:60]!r} {self.why}".strip()


async def read_answer(reader):
    """Reads one answer; a connection that ends before it is whole gives status 0."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in head[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(int(head[0].split()[1]), headers, body)
    except (asyncio.IncompleteReadError, OSError) as error:
        return Answer(0, why=f"{type(error).__name__}: {error}")


async def ask(port, data, wait_s):
    """Sends bytes on a new connection and returns the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), wait_s)
    except TimeoutError:
        return Answer(None, why="no answer")
    finally:
        writer.transport.abort()


def call(request_id, patience_ms, function=FUNCTION, request_class="draft", body=b"", more=()):
    """Returns a request as bytes."""
    lines = [
        f"POST /call/{function}/sync HTTP/1.1",
        "Host: backend.local",
        f"X-Class: {request_class}",
        f"X-Call-Id: {request_id}",
        f"X-Patience-Ms: {patience_ms}",
        "X-Customer: acme",
        f"X-Extras: {EXTRAS}",
        f"Content-Length: {len(body)}",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """A client with one connection, which it opens when it needs it.

    A request has until its patience is over; the client reads for half a second more, as an answer
    in that time only earns nothing, and 50 ms, the slack of the sockets, and then closes.
    """

    def __init__(self, name, port, record):
        self.name, self.port, self.record = name, port, record
        self.reader = self.writer = None

    async def open(self):
        """Opens a connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def request(self, patience_ms, wait_more_s=0.55, **fields):
        """Sends a request and returns the answer, with the times of sending and of the answer."""
        if self.writer is None or self.writer.is_closing():
            await self.open()
        request_id = f"{next(NUMBERS):016x}"
        self.writer.write(call(request_id, patience_ms, **fields))
        await self.writer.drain()
        sent_s = self.record.write(self.name, f"sends {request_id} patience {patience_ms} ms")
        started_s = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                read_answer(self.reader), patience_ms / 1000 + wait_more_s
            )
        except TimeoutError:
            answer = Answer(None, why="no answer")
        answer.id, answer.sent_s, answer.took_s = request_id, sent_s, time.monotonic() - started_s
        answer.at_s = self.record.write(self.name, f"gets for {request_id} {answer}")
        if answer.status in (None, 0) or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None
