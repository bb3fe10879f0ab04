"""Hosts and discovery servers of a soak, as records of what each gateway sent them when."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass

from cherrydoor.rehearsal.soak.plan import DiscoveryFault

HOST_PORT, DISCOVERY_PORT = 10080, 2379
SERVICE_S = 0.015  # that a host works on a request
SERVES_ON_S = 0.4  # for which a host that drains still serves
COMMENT_S = 1.0  # between two comments of the stream
SLOW_ANSWER_S = 2.5  # until a slow server answers
LONGEST_SILENCE_S = 120.0  # for which a silent server keeps a connection: longer than any run
# How a connection of the test's own servers may end, the end of the run among them.
CONNECTION_ENDS = (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError)
ACCEPTED, SENT, ORDERED = "accepted", "sent", "ordered"


@dataclass(frozen=True)
class HostEvent:
    """New work that arrived at a host; the time is the loop's."""

    time_s: float
    host: int
    gateway: int
    kind: str
    request: str


async def listen(serve, host_address, port):
    """Opens a listener; the address may just have been closed."""
    return await asyncio.start_server(serve, host_address, port, reuse_address=True)


def reply(number, word, fields=b"-", body=b""):
    """A host's reply, as bytes."""
    parts = (number, word, fields, body)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class SoakHost:
    """One host, at an address of its own for each gateway, so that a sender is known."""

    def __init__(self, run, index):
        self.run = run
        self.index = index
        self.name = f"s-{index}"
        self.started_at_ms = 0
        self.draining_since_s = None
        self.hangs = False
        self.servers = []
        self.writers = set()

    def address(self, gateway):
        return f"127.{40 + self.index}.{self.run.block}.{gateway + 1}"

    async def open(self):
        for gateway in range(self.run.plan.gateways):

            def serve(reader, writer, gateway=gateway):
                return self.serve(gateway, reader, writer)

            self.servers.append(await listen(serve, self.address(gateway), HOST_PORT))

    def close(self):
        """The process ends: its connections are reset and new ones refused."""
        for server in self.servers:
            server.close()
        self.servers = []
        for writer in self.writers:
            writer.transport.abort()
        self.writers = set()

    async def restart(self):
        """A cold process begins at the same addresses."""
        self.draining_since_s = None
        self.started_at_ms = round(time.time() * 1000)
        await self.open()

    async def serve(self, gateway, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                count = int((await reader.readline())[1:])
                words = []
                for _ in range(count):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                if not self.hangs:
                    self.command(gateway, words, writer)
        self.writers.discard(writer)
        writer.close()

    def command(self, gateway, words, writer):
        kind = words[0]
        if kind == b"health":
            ready = self.draining_since_s is None
            writer.write(reply(words[1], b"FIT" if ready else b"UNFIT"))
        elif kind == b"exec":
            self.execute(gateway, words, writer)
        elif kind == b"ensure" and b"copies=0" not in words[2]:
            self.record(gateway, ORDERED, "")
            writer.write(reply(words[1], b"DONE" if self.serves() else b"WAIT", b"copies=1"))

    def serves(self):
        since_s = self.draining_since_s
        return since_s is None or self.run.loop.time() - since_s < SERVES_ON_S

    def execute(self, gateway, words, writer):
        request = words[1].decode()
        self.record(gateway, SENT, request)
        if not self.serves():
            writer.write(reply(words[1], b"WAIT"))
            return
        self.record(gateway, ACCEPTED, request)
        done = reply(words[1], b"DONE", b"tell=hit", b"body of " + words[1])
        self.run.loop.call_later(SERVICE_S, self.write, writer, done)

    def write(self, writer, data):
        if not self.hangs and not writer.is_closing():
            writer.write(data)

    def record(self, gateway, kind, request):
        event = HostEvent(self.run.loop.time(), self.index, gateway, kind, request)
        self.run.host_events.append(event)


class SoakDiscovery:
    """The discovery server of one gateway; the events are the run's."""

    def __init__(self, run, gateway, address_index=1):
        self.run = run
        self.gateway = gateway
        self.address = f"127.{30 + gateway}.{run.block}.{address_index}"
        self.fault = None
        self.server = None
        self.streams = {}  # writer -> number of the last event written to it
        self.answered = set()  # writers whose request has its answer

    async def open(self):
        self.server = await listen(self.serve, self.address, DISCOVERY_PORT)

    def refuse(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in self.streams:
            writer.transport.abort()
        self.streams = {}

    def begin(self, fault):
        """A fault begins; what is written later is not told."""
        self.fault = fault
        if fault is DiscoveryFault.TORN:
            for writer in self.streams:
                writer.write(b'id: 999\ndata: {"no":999,"roster":{"gene')
        if fault in (DiscoveryFault.REFUSED, DiscoveryFault.TORN):
            self.refuse()
        elif fault is DiscoveryFault.SLOW:
            for writer in self.streams:
                writer.transport.abort()
            self.streams = {}

    async def end(self):
        self.fault = None
        for writer in self.streams:
            writer.transport.abort()
        self.streams = {}
        if self.server is None:
            await self.open()

    async def serve(self, reader, writer):
        with contextlib.suppress(*CONNECTION_ENDS):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
            )
            last = int(fields[b"last-event-id"])
            self.streams[writer] = last
            if self.fault is DiscoveryFault.SLOW:
                await asyncio.sleep(SLOW_ANSWER_S)
            if self.fault is DiscoveryFault.SILENT:
                await asyncio.sleep(LONGEST_SILENCE_S)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            )
            self.answered.add(writer)
            self.catch_up(writer)
            while writer in self.streams and not writer.is_closing():
                await asyncio.sleep(COMMENT_S)
                if self.fault is not DiscoveryFault.SILENT:
                    writer.write(b": still here\n\n")
        writer.close()

    def catch_up(self, writer):
        for update in self.run.endpoint_list.updates:
            if update.number > self.streams.get(writer, update.number):
                text = json.dumps(self.run.endpoint_list.event(update, self.gateway))
                writer.write(f"id: {update.number}\ndata: {text}\n\n".encode())
                self.streams[writer] = update.number

    def publish(self):
        """Tells what is new, as far as anything is told."""
        if self.fault in (None, DiscoveryFault.SLOW):
            for writer in self.answered & self.streams.keys():
                self.catch_up(writer)
