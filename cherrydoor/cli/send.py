"""`cherrydoor send`: one client connection, events at a rate, the answers in the order in which they came."""

import asyncio
import time

import uvloop

from cherrydoor.connection import FramedConnection
from cherrydoor.protocol import messages as protocol


class Sender:
    def __init__(
        self, door, clause, function, party, mark, lasts, body, document="", tls=None, token=""
    ):
        """document: "" gives each event one of its own; tls: an SSLContext where the door speaks TLS."""
        self.host, _, port = door.rpartition(":")
        self.port, self.lasts, self.answers, self.sent = int(port), lasts, [], {}
        self.tls, self.token = tls, token
        self.make = lambda number, t: protocol.Request(
            number,
            clause,
            function,
            lasts,
            t,
            party,
            mark,
            body=body,
            affinity_key=document or f"{t}/{number}",
        )

    def run(self, count, rate):
        """The answers as plain values; None where nobody listens."""
        return uvloop.run(self.send(count, rate))

    async def send(self, count, rate):
        loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()
        try:
            _, end = await loop.create_connection(
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
            self.sent[number] = time.monotonic() * 1000
            end.write(self.make(number, self.sent[number]))
            if number + 1 < count:
                await asyncio.sleep(1 / rate)
        until = time.monotonic() + self.lasts / 1000 + 0.5
        while self.sent and time.monotonic() < until:
            self.changed.clear()
            try:
                async with asyncio.timeout(max(0.01, until - time.monotonic())):
                    await self.changed.wait()
            except TimeoutError:
                break
        for number in list(self.sent):
            self.add(number, "no answer", end.close_reason)
        end.close()
        return self.answers

    def add(self, number, fate, reason, body=b"", stay=0.0):
        took = time.monotonic() * 1000 - self.sent.pop(number)
        self.answers.append(
            {
                "event": number,
                "fate": fate,
                "ms": round(took, 3),
                "reason": reason,
                "stay_away": stay,
                "body": body.decode(errors="replace"),
            }
        )

    def hello_received(self, end, hello):
        pass

    def message_received(self, end, message):
        if type(message) is protocol.Response and message.id in self.sent:
            self.add(
                message.id, message.outcome, message.reason, message.body, message.retry_after_ms
            )
            self.changed.set()

    def connection_ended(self, end):
        for number in list(self.sent):
            self.add(number, "no answer", f"the connection is gone {end.close_reason}")
        self.changed.set()
