"""What the tests of races share: a client that acts without the loop, and waiting."""

import asyncio
import socket

from platform_harness import LONG, SETTINGS, call

ONCE = SETTINGS | {
    "requestClasses": [{"name": "draft", "aim": 600000, "deadline": 3000000, "repeat": "once"}]
}


class BlockingClient:
    """A client whose calls act at once, without the loop: no code of the gateway runs meanwhile."""

    def __init__(self, harness):
        self.harness = harness
        self.sock = socket.create_connection(("127.0.0.1", harness.port))

    def call(self, **said):
        number = self.harness.number()
        self.sock.sendall(call(number, **said))
        return number.encode()

    async def read(self):
        """All that comes until the end of the stream; a reset is raised."""
        self.sock.setblocking(False)
        found = b""
        async with asyncio.timeout(LONG):
            while data := await asyncio.get_running_loop().sock_recv(self.sock, 65536):
                found += data
        return found

    async def answer(self):
        self.sock.setblocking(False)
        async with asyncio.timeout(LONG):
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)


async def until(met):
    async with asyncio.timeout(LONG):
        while not met():
            await asyncio.sleep(0)


def executed(harness):
    return [words[1] for host in harness.hosts for words in host.commands(b"exec")]
