"""`cherrydoor send`: sends requests at a rate over one client connection."""

import asyncio
import time

import uvloop

from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol


class Sender:
    """Sends requests over one connection. The answers are in the order in which they came."""

    def __init__(
        self, door, clause, function, party, mark, timeout_ms, body, document="", tls=None, token=""
    ):
        """Stores what to send.

        Args:
            door: Address of the gateway, as host:port.
            clause: Request class.
            function: Name of the function.
            party: Tenant.
            mark: Idempotency key.
            timeout_ms: Timeout of each request.
            body: Body of each request.
            document: Affinity key; "" gives each request one of its own.
            tls: SSLContext for a gateway that uses TLS, otherwise None.
            token: Token in the hello.
        """
        self.host, _, port = door.rpartition(":")
        self.port, self.timeout_ms, self.answers, self.sent_ms = int(port), timeout_ms, [], {}
        self.tls, self.token = tls, token
        self.make_request = lambda number, sent_at_ms: protocol.Request(
            number,
            clause,
            function,
            timeout_ms,
            sent_at_ms,
            party,
            mark,
            body=body,
            affinity_key=document or f"{sent_at_ms}/{number}",
        )

    def run(self, count, rate):
        """Returns the answers as plain values; None if the gateway cannot be reached."""
        return uvloop.run(self.send(count, rate))

    async def send(self, count, rate):
        """Sends the requests and waits for their answers; see `run`."""
        loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()
        try:
            _, connection = await loop.create_connection(
                lambda: FramedConnection(
                    self,
                    protocol.TO_CLIENT,
                    lambda: protocol.Hello(
                        protocol.VERSION,
                        "client",
                        "send",
                        time.monotonic() * 1000,
                        token=self.token,
                    ),
                ),
                self.host,
                self.port,
                ssl=self.tls,
            )
        except OSError:
            return None
        for number in range(count):
            self.sent_ms[number] = time.monotonic() * 1000
            connection.write(self.make_request(number, self.sent_ms[number]))
            if number + 1 < count:
                await asyncio.sleep(1 / rate)
        deadline_s = time.monotonic() + self.timeout_ms / 1000 + 0.5
        while self.sent_ms and time.monotonic() < deadline_s:
            self.changed.clear()
            try:
                async with asyncio.timeout(max(0.01, deadline_s - time.monotonic())):
                    await self.changed.wait()
            except TimeoutError:
                break
        for number in list(self.sent_ms):
            self.add_answer(number, "no answer", connection.close_reason)
        connection.close()
        return self.answers

    def add_answer(self, number, fate, reason, body=b"", retry_after_ms=0.0):
        """Adds the answer to one request."""
        took_ms = time.monotonic() * 1000 - self.sent_ms.pop(number)
        self.answers.append(
            {
                "event": number,
                "fate": fate,
                "ms": round(took_ms, 3),
                "reason": reason,
                "stay_away": retry_after_ms,
                "body": body.decode(errors="replace"),
            }
        )

    def hello_received(self, connection, hello):
        pass  # the gateway's hello needs no reaction

    def message_received(self, connection, message):
        """Adds the answer that a response gives."""
        if type(message) is protocol.Response and message.id in self.sent_ms:
            self.add_answer(
                message.id, message.outcome, message.reason, message.body, message.retry_after_ms
            )
            self.changed.set()

    def connection_ended(self, connection):
        """Ends all requests that are still in flight."""
        for number in list(self.sent_ms):
            self.add_answer(
                number, "no answer", f"the connection was lost {connection.close_reason}"
            )
        self.changed.set()
