"""Helpers of the tests of races: a client that bypasses the event loop, and waiting."""

import asyncio
import socket

from platform_harness import SETTINGS, TEST_TIMEOUT_S, call

AT_MOST_ONCE_SETTINGS = SETTINGS | {
    "requestClasses": [{"name": "draft", "aim": 600000, "deadline": 3000000, "repeat": "once"}]
}


class BlockingClient:
    """A client that sends with blocking calls, so that no code of the gateway runs meanwhile."""

    def __init__(self, harness):
        self.harness = harness
        self.sock = socket.create_connection(("127.0.0.1", harness.port))

    def call(self, **fields):
        number = self.harness.number()
        self.sock.sendall(call(number, **fields))
        return number.encode()

    async def read(self):
        """Returns everything received until the end of the stream; raises on a reset."""
        self.sock.setblocking(False)
        found = b""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while data := await asyncio.get_running_loop().sock_recv(self.sock, 65536):
                found += data
        return found

    async def answer(self):
        self.sock.setblocking(False)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)


async def until(condition):
    """Waits until a condition is true; runs the event loop meanwhile."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


def executed(harness):
    """Returns the ids of the requests that the hosts were sent, in order."""
    return [words[1] for host in harness.hosts for words in host.commands(b"exec")]
