"""Those who crowd the doors: a flood from many addresses of loopback, and known clients that all come back at once.

The flood opens raw connections and never gets anywhere: some say nothing, some half a greeting, some all of it and then
idle, some begin a frame that never ends. Each stands three seconds at the most. What it was told is counted by second.
"""

import asyncio
import socket
import ssl
from collections import deque

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.record import Record, now
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

STANDS, TICK = 3000.0, 0.01


def client_greeting(tls):
    """The first bytes of a client."""
    if not tls:
        return codec.encode(protocol.Hello(protocol.VERSION, "client", "crowd", now()))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    out = ssl.MemoryBIO()
    try:
        context.wrap_bio(ssl.MemoryBIO(), out).do_handshake()
    except ssl.SSLWantReadError:
        pass
    return out.read()


def client_tls_context(said):
    """The TLS of a client by the files it is given, or None."""
    if not said:
        return None
    context = ssl.create_default_context(cafile=said["authorities"])
    context.load_cert_chain(said["certificate"], said["key"])
    return context


class ReconnectingClient:
    """A known client's connection that comes with many others, and goes after a while."""

    def __init__(self, flood, begun, gateway, office):
        self.flood, self.begun, self.gateway, self.office = flood, begun, gateway, office
        self.end, self.told, self.took = None, False, 0.0

    def hello_received(self, end, hello):
        self.end, self.took = end, now() - self.begun
        self.flood.loop.call_later(0.5, self.tell, "let in", "")
        self.flood.loop.call_later(2.0, end.close)

    def message_received(self, end, message):
        pass

    def connection_ended(self, end):
        self.tell("refused", end.close_reason or "closed")

    def tell(self, fate, why):
        """Let in is who is still there after half a second."""
        if not self.told:
            self.told = True
            self.flood.record.add(
                "came back",
                peer=self.gateway,
                party=self.office,
                fate=fate,
                text=why,
                a=self.took if self.end else now() - self.begun,
            )


class ConnectionFlood:
    def __init__(self, record):
        self.record, self.loop, self.rate, self.doors = record, asyncio.get_running_loop(), 0.0, []
        self.open, self.fresh, self.serial, self.owed, self.task = deque(), [], 0, 0.0, None
        self.opened = self.told = self.failed = 0

    def flood(self, doors, per_second, tls=False):
        """From now on so many connections a second over all doors; 0 ends it."""
        self.doors, self.rate = (
            [(d.rpartition(":")[0], int(d.rpartition(":")[2])) for d in doors],
            per_second,
        )
        first = client_greeting(tls)
        self.says = (b"", first[: len(first) // 2], first, first + b"\0\0\1\0")
        if per_second and self.task is None:
            self.task = self.loop.create_task(self.pour())

    async def pour(self):
        counted = before = now()
        while self.rate or self.open:
            t = now()
            self.owed = min(self.owed + self.rate * (t - before) / 1000, 200.0)
            before = t
            for one, said in self.fresh:
                if not self.turned_away(one):
                    self.say(one, said)
            self.fresh = []
            while self.owed >= 1 and self.rate:
                self.owed -= 1
                self.connect(t)
            while self.open and (t - self.open[0][0] > STANDS or not self.rate):
                self.leave(self.open.popleft()[1])
            if t - counted > 1000:
                counted = t
                self.record.add(
                    "flood",
                    number=self.opened,
                    a=float(self.told),
                    b=float(len(self.open)),
                    c=float(self.failed),
                )
                self.opened = self.told = self.failed = 0
            await asyncio.sleep(TICK)
        self.task = None

    def connect(self, t):
        i, self.serial = self.serial, self.serial + 1
        one = socket.socket()
        one.setblocking(False)
        try:
            one.bind((f"127.{1 + i % 90}.{i // 90 % 250}.{1 + i % 7}", 0))
            one.connect(self.doors[i * 7 % len(self.doors)])
        except BlockingIOError:
            pass
        except OSError:
            one.close()
            self.failed += 1
            return
        self.opened += 1
        self.open.append((t, one))
        self.fresh.append((one, self.says[i % len(self.says)]))

    def turned_away(self, one):
        """Refused before it has said anything."""
        try:
            if b"fault" not in one.recv(4096, socket.MSG_PEEK):
                return False
        except OSError:
            return False
        self.told += 1
        one.recv(4096)
        return True

    def say(self, one, said):
        try:
            one.send(said)
        except OSError:
            pass

    def leave(self, one):
        try:
            self.told += b"fault" in one.recv(4096)
        except OSError:
            pass
        one.close()

    async def come_back(self, doors, offices, count, wait=15.0):
        """Each office opens `count` connections to each door, all of them at once."""
        contexts = {name: client_tls_context(said["keys"]) for name, said in offices.items()}

        async def one(gateway, door, office):
            comer = ReconnectingClient(self, now(), gateway, office)
            host, _, port = door.rpartition(":")
            try:
                async with asyncio.timeout(wait):
                    await self.loop.create_connection(
                        lambda: FramedConnection(
                            comer,
                            protocol.TO_CLIENT,
                            lambda: protocol.Hello(protocol.VERSION, "client", office, now()),
                        ),
                        host,
                        int(port),
                        local_addr=(offices[office]["address"], 0),
                        ssl=contexts[office],
                    )
            except (OSError, TimeoutError) as error:
                comer.tell("refused", str(error) or "time-out")

        await asyncio.gather(
            *(
                one(gateway, door, office)
                for gateway, door in doors.items()
                for office in offices
                for _ in range(count)
            )
        )


async def serve(said, emit, serve_commands):
    record = Record(said.get("record"), "crowd", "crowd")
    one, tasks = ConnectionFlood(record), set()

    def handle_command(name, values):
        if name == "flood":
            one.flood(**values)
        elif name == "come back":
            task = asyncio.get_running_loop().create_task(one.come_back(**values))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        else:
            raise ValueError(f"unknown: {name}")

    emit("ready")
    await serve_commands(handle_command)
    record.close()
