"""The bulletin: server-sent events after the revision that a gateway names, a comment a second."""

import asyncio
import contextlib
import json

from stands.ports import listen


def row(host, state="in_service", started_at_ms=0, zone="east", cell=1, port=None):
    """Returns a host's entry in the list."""
    return {
        "instanceId": host.name,
        "hostPort": f"127.0.0.1:{port or host.port}",
        "zone": zone,
        "machineType": "std",
        "cell": cell,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": started_at_ms,
    }


class Bulletin:
    """The list of hosts, as numbered events."""

    def __init__(self, record):
        self.record = record
        self.items, self.writers = [], []
        self.server = self.port = self.beat = None

    async def open(self):
        """Listens on a free port."""
        self.server = await listen(lambda free: asyncio.start_server(self.serve, "127.0.0.1", free))
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.ensure_future(self.comment())
        return self

    def close(self):
        """Closes the listener and all connections."""
        self.beat.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def pause(self):
        """Breaks off: resets all connections and accepts none; the list goes on changing."""
        self.server.close()
        writers, self.writers = self.writers, []
        for writer in writers:
            writer.transport.abort()

    async def resume(self):
        """Listens again at the same address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def tell(self, rows, reset=False):
        """Adds an event and sends it to all that are connected."""
        number = len(self.items) + 1
        roster = {"generation": number, "reset": reset, "instances": rows}
        self.items.append({"no": number, "roster": roster})
        states = {entry["instanceId"]: entry["lifecycle"] for entry in rows}
        self.record.write("bulletin", f"tells event {number} {states}")
        for writer in self.writers:
            self.send(writer, self.items[-1])

    def send(self, writer, item):
        """Sends one event."""
        writer.write(f"id: {item['no']}\ndata: {json.dumps(item)}\n\n".encode())

    def known(self):
        """Returns the events so far, as a configuration holds them."""
        return {"no": len(self.items), "items": list(self.items)}

    async def comment(self):
        """Sends a comment each second."""
        while True:
            await asyncio.sleep(1.0)
            for writer in self.writers:
                writer.write(b": still here\n\n")

    async def serve(self, reader, writer):
        """Serves one gateway."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
            headers = dict(line.split(": ", 1) for line in head[1:] if line)
            last = int(headers["last-event-id"])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
            writer.write(b"Connection: close\r\n\r\n")
            for item in self.items[last:]:
                self.send(writer, item)
            self.writers.append(writer)
            await reader.read()
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()
