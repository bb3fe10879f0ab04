"""A host that speaks RESP as the protocol page says. A case says how it answers requests."""

import asyncio
import contextlib

from stands.ports import listen


def reply(command_id, status, fields=b"-", body=b""):
    """Returns an answer as bytes."""
    return b"*4\r\n" + b"".join(
        b"$%d\r\n%b\r\n" % (len(element), element) for element in (command_id, status, fields, body)
    )


class Execution:
    """One request that has arrived whole at a host, on a connection."""

    def __init__(self, host, writer, words, at_s):
        self.host, self.writer, self.at_s = host, writer, at_s
        self.id = words[1].decode()
        self.fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
        self.body = words[3]

    def answer(self, status=b"DONE", fields=b"tell=hit", body=None):
        """Writes an answer, unless the connection has closed."""
        if not self.writer.is_closing():
            body = (b"made by " + self.host.name.encode()) if body is None else body
            self.writer.write(reply(self.id.encode(), status, fields, body))
            self.host.record.write(self.host.name, f"answers {self.id} {status.decode()}")


class Host:
    """A host on one port; `serve_request(execution)` is a coroutine that a case may replace.

    Attributes:
        executions: All requests that have arrived, in order.
        dropped: Ids of the requests that the gateway has given up.
        serve_request: Answers a request.
        serve_load: Answers an order to load.
        health: The answer to a health check, or None for no answer.
    """

    def __init__(self, name, record, work_s=0.02):
        self.name, self.record, self.work_s = name, record, work_s
        self.executions, self.dropped, self.writers = [], [], set()
        self.serve_request, self.serve_load = self.work, self.load
        self.health = b"FIT"
        self.server = self.port = None
        self.tasks = set()

    async def open(self, port=0, address="127.0.0.1"):
        """Listens; port 0 takes a free one."""
        self.server = await listen(
            lambda free: asyncio.start_server(self.serve, address, free), port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset(self):
        """Resets all connections and listens no more, as when the process dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def work(self, execution):
        """Works for `work_s`, then answers."""
        await asyncio.sleep(self.work_s)
        execution.answer()

    async def load(self, command_id, item, copies, writer):
        """Says at once that the copies stand."""
        writer.write(reply(command_id, b"DONE", b"copies=%d" % max(1, copies)))

    def start(self, coroutine):
        """Runs a coroutine until it ends or the host dies."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def serve(self, reader, writer):
        """Reads commands from one connection until it ends."""
        self.writers.add(writer)
        try:
            while True:
                count = int((await reader.readexactly(2))[1:] + (await reader.readline()).strip())
                words = []
                for _ in range(count):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                self.command(words, writer)
        except (ValueError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    def command(self, words, writer):
        """Handles one command."""
        word = words[0]
        if word == b"exec":
            at_s = self.record.write(self.name, f"gets {words[1].decode()} {words[2].decode()}")
            execution = Execution(self, writer, words, at_s)
            self.executions.append(execution)
            self.start(self.serve_request(execution))
        elif word == b"drop":
            self.record.write(self.name, f"is told to drop {words[1].decode()}")
            self.dropped.append(words[1].decode())
        elif word in (b"health", b"load"):
            if self.health is not None:
                writer.write(reply(words[1], self.health))
        elif word == b"ensure":
            fields = dict(pair.split("=", 1) for pair in words[2].decode().split(","))
            self.record.write(self.name, f"is ordered to load {fields}")
            self.start(self.serve_load(words[1], fields["item"], int(fields["copies"]), writer))
