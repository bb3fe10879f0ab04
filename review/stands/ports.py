"""Free ports outside the range that the system uses for outgoing connections."""

import random
import socket

FIRST, LAST = 10000, 32000
TRIES = 200


def free_port():
    """Returns a port on which nobody listens now, and which no outgoing connection takes."""
    for _ in range(TRIES):
        port = random.randrange(FIRST, LAST)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


async def listen(start, port=0):
    """Calls `start(port)` for the stated port, or for free ones until one can be bound."""
    if port:
        return await start(port)
    for _ in range(TRIES):
        try:
            return await start(free_port())
        except OSError:
            continue
    raise RuntimeError("no free port")
