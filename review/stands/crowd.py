"""Bad clients: each sends hundreds of requests at once on a connection, reads, and comes again.

python -m stands.crowd PORT CONNECTIONS SECONDS
"""

import asyncio
import os
import sys

from stands.clients import call

REQUESTS_AT_ONCE = 300
PATIENCE_MS = 2500


async def come_again(port, until_s):
    """Opens a connection, sends everything at once, reads what it is sent, until time is up."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        first = int.from_bytes(os.urandom(7), "big")
        data = b"".join(
            call(f"{first + number:016x}", PATIENCE_MS) for number in range(REQUESTS_AT_ONCE)
        )
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await asyncio.wait_for(reader.read(), 3.0)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.001)
        finally:
            if writer is not None:
                writer.transport.abort()


async def crowd(port, connections, seconds):
    """Runs all connections of this process."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)
    until_s = loop.time() + seconds
    await asyncio.gather(*(come_again(port, until_s) for _ in range(connections)))


if __name__ == "__main__":
    asyncio.run(crowd(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
