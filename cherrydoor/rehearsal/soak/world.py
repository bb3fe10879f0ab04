"""Simulated hosts and discovery servers of a soak; hosts record what each gateway sent and when."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass

from cherrydoor.rehearsal.soak.plan import DiscoveryFault

HOST_PORT, DISCOVERY_PORT = 10080, 2379
SERVICE_TIME_S = 0.015  # of one request at a host
DRAIN_SERVICE_S = 0.4  # time after the start of its drain in which a host still serves
COMMENT_INTERVAL_S = 1.0  # between two comments in the event stream
SLOW_RESPONSE_DELAY_S = 2.5
SILENT_CONNECTION_S = 120.0  # a silent server keeps a connection open: longer than any run
# Errors with which a connection to a simulated server may end, including cancellation when the run
# ends.
CONNECTION_ERRORS = (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError)
ACCEPTED, SENT, ORDERED = "accepted", "sent", "ordered"


@dataclass(frozen=True)
class HostEvent:
    """A request or load order that reached a host.

    Attributes:
        time_s: Time on the event loop's clock.
        kind: ``SENT`` when a request reaches the host, ``ACCEPTED`` when the host also runs it,
            ``ORDERED`` for a load order.
        request: Id of the request; empty for a load order.
    """

    time_s: float
    host: int
    gateway: int
    kind: str
    request: str


async def listen(serve, host_address, port):
    """Opens a listener, also on an address that has just been closed."""
    return await asyncio.start_server(serve, host_address, port, reuse_address=True)


def encode_reply(request_id, status, fields=b"-", body=b""):
    """Encodes a host's reply."""
    parts = (request_id, status, fields, body)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class SoakHost:
    """One host with a separate address for each gateway, which identifies the sender."""

    def __init__(self, run, index):
        self.run = run
        self.index = index
        self.name = f"s-{index}"
        self.started_at_ms = 0
        self.draining_since_s = None
        self.unresponsive = False
        self.servers = []
        self.writers = set()

    def address(self, gateway):
        return f"127.{40 + self.index}.{self.run.address_block}.{gateway + 1}"

    async def open(self):
        for gateway in range(self.run.plan.gateways):

            def serve(reader, writer, gateway=gateway):
                return self.serve(gateway, reader, writer)

            self.servers.append(await listen(serve, self.address(gateway), HOST_PORT))

    def close(self):
        """Ends the host's process: resets its connections and refuses new ones."""
        for server in self.servers:
            server.close()
        self.servers = []
        for writer in self.writers:
            writer.transport.abort()
        self.writers = set()

    async def restart(self):
        """Starts a cold process at the same addresses."""
        self.draining_since_s = None
        self.started_at_ms = round(time.time() * 1000)
        await self.open()

    async def serve(self, gateway, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                count = int((await reader.readline())[1:])
                arguments = []
                for _ in range(count):
                    size = int((await reader.readline())[1:])
                    arguments.append((await reader.readexactly(size + 2))[:-2])
                if not self.unresponsive:
                    self.handle_command(gateway, arguments, writer)
        self.writers.discard(writer)
        writer.close()

    def handle_command(self, gateway, arguments, writer):
        kind = arguments[0]
        if kind == b"health":
            ready = self.draining_since_s is None
            writer.write(encode_reply(arguments[1], b"FIT" if ready else b"UNFIT"))
        elif kind == b"exec":
            self.handle_execute(gateway, arguments, writer)
        elif kind == b"ensure" and b"copies=0" not in arguments[2]:
            self.record_event(gateway, ORDERED, "")
            writer.write(
                encode_reply(arguments[1], b"DONE" if self.is_serving() else b"WAIT", b"copies=1")
            )

    def is_serving(self):
        since_s = self.draining_since_s
        return since_s is None or self.run.loop.time() - since_s < DRAIN_SERVICE_S

    def handle_execute(self, gateway, arguments, writer):
        request = arguments[1].decode()
        self.record_event(gateway, SENT, request)
        if not self.is_serving():
            writer.write(encode_reply(arguments[1], b"WAIT"))
            return
        self.record_event(gateway, ACCEPTED, request)
        response = encode_reply(arguments[1], b"DONE", b"tell=hit", b"body of " + arguments[1])
        self.run.loop.call_later(SERVICE_TIME_S, self.write, writer, response)

    def write(self, writer, data):
        if not self.unresponsive and not writer.is_closing():
            writer.write(data)

    def record_event(self, gateway, kind, request):
        event = HostEvent(self.run.loop.time(), self.index, gateway, kind, request)
        self.run.host_events.append(event)


class SoakDiscovery:
    """The discovery server of one gateway; all serve the run's endpoint list.

    Attributes:
        fault: The fault in progress, or None.
        streams: Writer -> revision of the last update written to it.
        streaming: Writers on which the response head has been sent.
    """

    def __init__(self, run, gateway, address_index=1):
        self.run = run
        self.gateway = gateway
        self.address = f"127.{30 + gateway}.{run.address_block}.{address_index}"
        self.fault = None
        self.server = None
        self.streams = {}
        self.streaming = set()

    async def open(self):
        self.server = await listen(self.serve, self.address, DISCOVERY_PORT)

    def stop_serving(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in self.streams:
            writer.transport.abort()
        self.streams = {}

    def start_fault(self, fault):
        """Starts a fault, during which no update is sent unless the server is only slow."""
        self.fault = fault
        if fault is DiscoveryFault.TORN:
            for writer in self.streams:
                writer.write(b'id: 999\ndata: {"no":999,"roster":{"gene')
        if fault in (DiscoveryFault.REFUSED, DiscoveryFault.TORN):
            self.stop_serving()
        elif fault is DiscoveryFault.SLOW:
            for writer in self.streams:
                writer.transport.abort()
            self.streams = {}

    async def end_fault(self):
        self.fault = None
        for writer in self.streams:
            writer.transport.abort()
        self.streams = {}
        if self.server is None:
            await self.open()

    async def serve(self, reader, writer):
        with contextlib.suppress(*CONNECTION_ERRORS):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
            )
            last_event_id = int(fields[b"last-event-id"])
            self.streams[writer] = last_event_id
            if self.fault is DiscoveryFault.SLOW:
                await asyncio.sleep(SLOW_RESPONSE_DELAY_S)
            if self.fault is DiscoveryFault.SILENT:
                await asyncio.sleep(SILENT_CONNECTION_S)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            )
            self.streaming.add(writer)
            self.send_pending_updates(writer)
            while writer in self.streams and not writer.is_closing():
                await asyncio.sleep(COMMENT_INTERVAL_S)
                if self.fault is not DiscoveryFault.SILENT:
                    writer.write(b": still here\n\n")
        writer.close()

    def send_pending_updates(self, writer):
        for update in self.run.endpoint_list.updates:
            if update.revision > self.streams.get(writer, update.revision):
                text = json.dumps(self.run.endpoint_list.update_event(update, self.gateway))
                writer.write(f"id: {update.revision}\ndata: {text}\n\n".encode())
                self.streams[writer] = update.revision

    def publish(self):
        """Sends new updates, unless the current fault prevents it."""
        if self.fault in (None, DiscoveryFault.SLOW):
            for writer in self.streaming & self.streams.keys():
                self.send_pending_updates(writer)
