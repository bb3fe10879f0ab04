"""What a gateway talks to in tests: hosts that speak RESP, and a discovery server."""

import asyncio
import json

LONG = 20.0  # s after which a test that waits for something has failed


class Host:
    """Replies what `answers` returns for a command's words: bytes to write, or None.

    All commands are kept, as (connection's number, words).
    """

    def __init__(self, name):
        self.name, self.got, self.answers, self.writers, self.news = (
            name,
            [],
            self.handles,
            [],
            asyncio.Event(),
        )

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def handles(self, words):
        word = words[0]
        if word == b"exec":
            return reply(words[1], b"DONE", b"tell=hit", b"body of " + words[1])
        if word == b"ensure":
            return reply(words[1], b"DONE", b"copies=1")
        return reply(words[1], b"FIT") if word in (b"health", b"load") else None

    async def serve(self, reader, writer):
        number = len(self.writers)
        self.writers.append(writer)
        try:
            while True:
                size = int((await reader.readline())[1:])
                words = [
                    await reader.readexactly(int((await reader.readline())[1:]) + 2)
                    for _ in range(size)
                ]
                words = [word[:-2] for word in words]
                self.got.append((number, words))
                self.news.set()
                if data := self.answers(words):
                    writer.write(data)
        except (ValueError, asyncio.IncompleteReadError, OSError):
            writer.close()

    def commands(self, word):
        return [words for _, words in self.got if words[0] == word]

    async def until(self, word, count=1):
        """Waits until so many of these commands have come; returns the last."""
        async with asyncio.timeout(LONG):
            while len(self.commands(word)) < count:
                self.news.clear()
                await self.news.wait()
        return self.commands(word)[-1]


def reply(number, word, fields=b"-", body=b""):
    """An answer of a host, as bytes."""
    return b"*4\r\n" + b"".join(
        b"$%d\r\n%b\r\n" % (len(w), w) for w in (number, word, fields, body)
    )


class DiscoveryServer:
    """Serves `updates` from the revision asked for; `asked` has those revisions.

    While `muted` it sends nothing, with its connections open.
    """

    def __init__(self):
        self.updates, self.asked, self.writers, self.muted, self.news = (
            [],
            [],
            [],
            False,
            asyncio.Event(),
        )

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self.beats())
        return self

    async def beats(self):
        while True:
            await asyncio.sleep(0.5)
            for writer in () if self.muted else self.writers:
                writer.write(b": still here\n\n")

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        last = int(lines[b"last-event-id"])
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        )
        self.muted = False
        self.writers.append(writer)
        for update in self.updates:
            if update["no"] > last:
                writer.write(self.text(update))
        self.asked.append(last)
        self.news.set()

    @staticmethod
    def text(update):
        return f"id: {update['no']}\ndata: {json.dumps(update)}\n\n".encode()

    def publish(self, update):
        self.updates.append(update)
        for writer in () if self.muted else self.writers:
            writer.write(self.text(update))

    def cut(self):
        """Ends all connections, as they are."""
        writers, self.writers = self.writers, []
        for writer in writers:
            writer.transport.abort()

    async def until_asked(self, count):
        async with asyncio.timeout(LONG):
            while len(self.asked) < count:
                self.news.clear()
                await self.news.wait()
