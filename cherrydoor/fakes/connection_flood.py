"""A flood of connections from many loopback addresses, and known clients that reconnect together.

No connection of the flood sends a request. In turn, one sends nothing, one sends half of its first
bytes, one sends all of them and then nothing, and one begins a frame that it never completes. Each
is closed after three seconds. The flood records each second how many connections were opened, were
refused, are open and failed.
"""

import asyncio
import socket
import ssl
from collections import deque

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.record import Record, now
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

CONNECTION_LIFETIME_MS, TICK_S = 3000.0, 0.01


def client_greeting(tls):
    """Returns the first bytes that a client sends: its hello, or with TLS its ClientHello."""
    if not tls:
        return codec.encode(protocol.Hello(protocol.VERSION, "client", "crowd", now()))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    output = ssl.MemoryBIO()
    try:
        context.wrap_bio(ssl.MemoryBIO(), output).do_handshake()
    except ssl.SSLWantReadError:
        pass
    return output.read()


def client_tls_context(files):
    """Returns a client's TLS context, made from the named PEM files; None without files."""
    if not files:
        return None
    context = ssl.create_default_context(cafile=files["authorities"])
    context.load_cert_chain(files["certificate"], files["key"])
    return context


class ReconnectingClient:
    """One connection of a known client, which records whether the gateway admitted it.

    Attributes:
        started_ms: When the client began to connect.
        client_name: Name of the client.
        recorded: Whether its outcome has been recorded.
        hello_after_ms: Time from `started_ms` until the gateway's hello arrived.
    """

    def __init__(self, flood, started_ms, gateway, client_name):
        self.flood, self.started_ms, self.gateway, self.client_name = (
            flood,
            started_ms,
            gateway,
            client_name,
        )
        self.connection, self.recorded, self.hello_after_ms = None, False, 0.0

    def hello_received(self, connection, hello):
        self.connection, self.hello_after_ms = connection, now() - self.started_ms
        self.flood.loop.call_later(0.5, self.record_outcome, "let in", "")
        self.flood.loop.call_later(2.0, connection.close)

    def message_received(self, connection, message):
        pass

    def connection_ended(self, connection):
        self.record_outcome("refused", connection.close_reason or "closed")

    def record_outcome(self, fate, reason):
        """Records the outcome once: "let in" if it is still connected 0.5 s after the hello."""
        if not self.recorded:
            self.recorded = True
            self.flood.record.add(
                "came back",
                peer=self.gateway,
                party=self.client_name,
                fate=fate,
                text=reason,
                a=self.hello_after_ms if self.connection else now() - self.started_ms,
            )


class ConnectionFlood:
    """Opens connections to gateways at a steady rate, and reconnects known clients.

    Attributes:
        rate: Connections to open per second; 0 when no flood runs.
        addresses: (host, port) of the listeners to flood.
        open_sockets: (time when opened, socket), the oldest first.
        new_sockets: (socket, bytes to send) of those opened in the last tick.
        last_serial: Number of connections so far, from which each one's source address, listener
            and bytes are derived.
        due: Connections due by the rate and not yet opened. The limit of 200 bounds the burst that
            follows a delay of this process.
        task: Runs the flood; None when none runs.
        opened: Connections opened since the last recorded row; `refused` and `failed` likewise.
    """

    def __init__(self, record):
        self.record, self.loop, self.rate, self.addresses = (
            record,
            asyncio.get_running_loop(),
            0.0,
            [],
        )
        self.open_sockets, self.new_sockets, self.last_serial, self.due, self.task = (
            deque(),
            [],
            0,
            0.0,
            None,
        )
        self.opened = self.refused = self.failed = 0

    def flood(self, doors, per_second, tls=False):
        """Sets the rate of connections per second over all listeners; 0 ends the flood."""
        self.addresses, self.rate = (
            [(door.rpartition(":")[0], int(door.rpartition(":")[2])) for door in doors],
            per_second,
        )
        first = client_greeting(tls)
        self.payloads = (b"", first[: len(first) // 2], first, first + b"\0\0\1\0")
        if per_second and self.task is None:
            self.task = self.loop.create_task(self.run_flood())

    async def run_flood(self):
        """Opens, serves, closes and counts connections, until the rate is 0 and all are closed."""
        last_row_ms = last_tick_ms = now()
        while self.rate or self.open_sockets:
            now_ms = now()
            self.due = min(self.due + self.rate * (now_ms - last_tick_ms) / 1000, 200.0)
            last_tick_ms = now_ms
            for sock, payload in self.new_sockets:
                if not self.is_refused(sock):
                    self.send(sock, payload)
            self.new_sockets = []
            while self.due >= 1 and self.rate:
                self.due -= 1
                self.connect(now_ms)
            while self.open_sockets and (
                now_ms - self.open_sockets[0][0] > CONNECTION_LIFETIME_MS or not self.rate
            ):
                self.close_socket(self.open_sockets.popleft()[1])
            if now_ms - last_row_ms > 1000:
                last_row_ms = now_ms
                self.record.add(
                    "flood",
                    number=self.opened,
                    a=float(self.refused),
                    b=float(len(self.open_sockets)),
                    c=float(self.failed),
                )
                self.opened = self.refused = self.failed = 0
            await asyncio.sleep(TICK_S)
        self.task = None

    def connect(self, now_ms):
        """Begins one connection, without waiting for it, from an address of its own."""
        serial, self.last_serial = self.last_serial, self.last_serial + 1
        sock = socket.socket()
        sock.setblocking(False)
        try:
            sock.bind((f"127.{1 + serial % 90}.{serial // 90 % 250}.{1 + serial % 7}", 0))
            sock.connect(self.addresses[serial * 7 % len(self.addresses)])
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            self.failed += 1
            return
        self.opened += 1
        self.open_sockets.append((now_ms, sock))
        self.new_sockets.append((sock, self.payloads[serial % len(self.payloads)]))

    def is_refused(self, sock):
        """Returns whether the gateway refused the connection before it sent anything."""
        try:
            if b"fault" not in sock.recv(4096, socket.MSG_PEEK):
                return False
        except OSError:
            return False
        self.refused += 1
        sock.recv(4096)
        return True

    def send(self, sock, payload):
        """Sends bytes; a connection that is already lost is ignored."""
        try:
            sock.send(payload)
        except OSError:
            pass

    def close_socket(self, sock):
        """Closes a connection, and counts it if the gateway refused it."""
        try:
            self.refused += b"fault" in sock.recv(4096)
        except OSError:
            pass
        sock.close()

    async def come_back(self, doors, offices, count, wait=15.0):
        """Lets each client open `count` connections to each gateway, all of them at once.

        Args:
            doors: Address of each gateway's listener, by gateway name.
            offices: Source address and TLS files of each client, by client name.
            count: Connections per client and gateway.
            wait: Time to connect, in seconds.
        """
        contexts = {name: client_tls_context(source["keys"]) for name, source in offices.items()}

        async def connect_one(gateway, door, client_name):
            client = ReconnectingClient(self, now(), gateway, client_name)
            host, _, port = door.rpartition(":")
            try:
                async with asyncio.timeout(wait):
                    await self.loop.create_connection(
                        lambda: FramedConnection(
                            client,
                            protocol.TO_CLIENT,
                            lambda: protocol.Hello(protocol.VERSION, "client", client_name, now()),
                        ),
                        host,
                        int(port),
                        local_addr=(offices[client_name]["address"], 0),
                        ssl=contexts[client_name],
                    )
            except (OSError, TimeoutError) as error:
                client.record_outcome("refused", str(error) or "time-out")

        await asyncio.gather(
            *(
                connect_one(gateway, door, client_name)
                for gateway, door in doors.items()
                for client_name in offices
                for _ in range(count)
            )
        )


async def serve(settings, emit, serve_commands):
    """Runs the flood as a process; its commands are "flood" and "come back"."""
    record = Record(settings.get("record"), "crowd", "crowd")
    flood, tasks = ConnectionFlood(record), set()

    def handle_command(name, values):
        if name == "flood":
            flood.flood(**values)
        elif name == "come back":
            task = asyncio.get_running_loop().create_task(flood.come_back(**values))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        else:
            raise ValueError(f"unknown command {name}, expected 'flood' or 'come back'")

    emit("ready")
    await serve_commands(handle_command)
    record.close()
