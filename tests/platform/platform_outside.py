"""What a gateway talks to in tests: hosts that speak RESP, and a discovery server."""

import asyncio
import json

TEST_TIMEOUT_S = 20.0  # a test that waits longer for something has failed


class Host:
    """A host that replies with what `answers` returns for a command's words: bytes, or None.

    `received` has all commands, as (number of the connection, words).
    """

    def __init__(self, name):
        self.name, self.received, self.answers, self.writers, self.changed = (
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
                self.received.append((number, words))
                self.changed.set()
                if data := self.answers(words):
                    writer.write(data)
        except (ValueError, asyncio.IncompleteReadError, OSError):
            writer.close()

    def commands(self, word):
        return [words for _, words in self.received if words[0] == word]

    async def until(self, word, count=1):
        """Waits until this many such commands have arrived; returns the last one."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(self.commands(word)) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.commands(word)[-1]


def reply(command_id, status, fields=b"-", body=b""):
    """Returns a reply of a host as bytes."""
    return b"*4\r\n" + b"".join(
        b"$%d\r\n%b\r\n" % (len(element), element) for element in (command_id, status, fields, body)
    )


class DiscoveryServer:
    """Serves the `updates` after the requested revision; records these in `requested_revisions`.

    While `muted`, it sends nothing but keeps its connections open; the next connection ends that.
    While `heads_only`, it sends nothing but the heads of its responses, on new connections too.
    """

    def __init__(self):
        self.updates, self.requested_revisions, self.writers, self.muted, self.changed = (
            [],
            [],
            [],
            False,
            asyncio.Event(),
        )
        self.heads_only = False

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.create_task(self.send_heartbeats())
        return self

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(0.5)
            for writer in () if self.muted or self.heads_only else self.writers:
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
        for update in () if self.heads_only else self.updates:
            if update["no"] > last:
                writer.write(self.text(update))
        self.requested_revisions.append(last)
        self.changed.set()

    @staticmethod
    def text(update):
        return f"id: {update['no']}\ndata: {json.dumps(update)}\n\n".encode()

    def publish(self, update):
        self.updates.append(update)
        for writer in () if self.muted or self.heads_only else self.writers:
            writer.write(self.text(update))

    def abort_connections(self):
        """Aborts all connections."""
        writers, self.writers = self.writers, []
        for writer in writers:
            writer.transport.abort()

    async def until_requested(self, count):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(self.requested_revisions) < count:
                self.changed.clear()
                await self.changed.wait()
