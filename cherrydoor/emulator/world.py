"""Virtual time and a network in memory, as an event loop of asyncio: what runs on it cannot tell.

Nothing waits: when no callback is ready the clock jumps to the next timer. Connections are pairs of transports; bytes
arrive after a delay by the two ends' places, in order. Callbacks take no time unless a charge is stated, so a process
that is short of its core is not seen here.
"""

import asyncio
import selectors
from collections import deque
from zlib import crc32

START = 1.8e9  # s since 1970 at which every emulation begins


class VirtualTimeSelector(selectors.BaseSelector):
    """Where the loop would wait, the clock moves on."""

    def __init__(self):
        self.world = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to happen, and something is still waited for")
        self.world.moment += max(0.0, timeout)
        return []

    def register(self, fileobj, events, data=None):
        return selectors.SelectorKey(fileobj, 0, events, data)

    def unregister(self, fileobj):
        return selectors.SelectorKey(fileobj, 0, 0, None)

    def get_map(self):
        return {}

    def close(self):
        pass


class Pipe(asyncio.Transport):
    """One end of a connection. `place` tells where it is, `frozen` holds back what comes while its process stands."""

    def __init__(self, world, place, protocol, address):
        super().__init__()
        self.world, self.place, self.protocol, self.address = world, place, protocol, address
        self.other, self.closing, self.reading, self.out, self.held = None, False, True, [], deque()
        self.frozen, self.last = False, 0.0
        if protocol is None:
            self.reading = False  # until it is attached

    def get_extra_info(self, name, default=None):
        return {"peername": (self.other.address, 0), "sockname": (self.address, 0)}.get(
            name, default
        )

    def write(self, data):
        """What is written in one pass of the loop travels together."""
        if self.closing or not data:
            return
        if not self.out:
            self.world.call_soon(self.flush)
        self.out.append(bytes(data))

    def flush(self):
        data, self.out = b"".join(self.out), []
        if data:
            self.send(self.other.come, data)

    def send(self, what, *args):
        """In order, each after the delay between the two places."""
        at = max(
            self.last + 1e-7, self.world.time() + self.world.delay(self.place, self.other.place)
        )
        self.last = at
        self.world.call_at(at, what, *args)

    def come(self, data):
        if self.closing:
            return
        if self.frozen or not self.reading:
            self.held.append(data)
            return
        protocol = self.protocol
        if hasattr(protocol, "get_buffer"):
            view = memoryview(data)
            while view and not self.closing:
                part = protocol.get_buffer(-1)
                size = min(len(part), len(view))
                part[:size] = view[:size]
                view = view[size:]
                protocol.buffer_updated(size)
                if not self.reading and view:
                    self.held.append(bytes(view))
                    return
        else:
            protocol.data_received(data)

    def release(self):
        """What was held comes now."""
        while self.held and self.reading and not self.frozen and not self.closing:
            self.come(self.held.popleft())

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True
        self.world.call_soon(self.release)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def close(self):
        self.end(None)

    def abort(self):
        self.out = []
        self.end(ConnectionResetError("reset"))

    def end(self, error):
        if self.closing:
            return
        self.flush()
        self.closing = True
        self.world.pipes.discard(self)
        self.world.call_soon(self.protocol.connection_lost, None)
        self.send(self.other.ended, error)

    def ended(self, error):
        """The other end has gone; what it had sent has come before."""
        if self.closing:
            return
        if self.frozen:
            self.world.call_later(0.05, self.ended, error)
            return
        self.closing = True
        self.world.pipes.discard(self)
        self.protocol.connection_lost(error)


class Server:
    def __init__(self, world, key, accept, place):
        self.world, self.key, self.accept, self.place, self.sockets = (
            world,
            key,
            accept,
            place,
            [self],
        )

    def getsockname(self):
        return self.key

    def close(self):
        if self.world.servers.get(self.key) is self:
            del self.world.servers[self.key]


class World(asyncio.SelectorEventLoop):
    """delay(a, b) in s between two places, near: within one, far: between two, each with up to half more by chance."""

    def __init__(self, seed=1, near=0.0001, far=0.0005):
        selector = VirtualTimeSelector()
        super().__init__(selector)
        selector.world = self
        self.moment, self.seed, self.drawn, self.near, self.far = 0.0, seed, 0, near, far
        self.servers, self.pipes, self.ports, self.place = {}, set(), 20000, ""
        self._clock_resolution = 1e-9

    # the loop's own plumbing wants a socket to be woken by; nothing wakes this one
    def _make_self_pipe(self):
        self._internal_fds = 0

    def _close_self_pipe(self):
        pass

    def _write_to_self(self):
        pass

    def _process_events(self, event_list):
        pass

    def time(self):
        return getattr(self, "moment", 0.0)

    def wall_time(self):
        return START + self.moment

    def delay(self, a, b):
        self.drawn += 1
        spread = 1 + 0.5 * crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32
        return (self.near if a == b else self.far) * spread

    def take_port(self):
        self.ports += 1
        return self.ports

    # ---- what asyncio asks of a network
    async def create_server(self, protocol_factory, host=None, port=None, *, place=None, **_):
        return self.listen(
            host, port, lambda pipe: self.connect_protocol(pipe, protocol_factory()), place
        )

    def listen(self, host, port, accept, place=None):
        key = (host or "127.0.0.1", port or self.take_port())
        if key in self.servers:
            raise OSError(98, "address in use")
        server = self.servers[key] = Server(
            self, key, accept, self.place if place is None else place
        )
        return server

    def connect_protocol(self, pipe, protocol):
        pipe.protocol, pipe.reading = protocol, True
        self.pipes.add(pipe)
        protocol.connection_made(pipe)
        pipe.release()

    async def create_connection(
        self, protocol_factory, host=None, port=None, *, local_addr=None, **_
    ):
        place = self.place
        server = self.servers.get((host, port))
        await asyncio.sleep(2 * self.delay(place, server.place if server else ""))
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(111, "Connection refused")
        ours = Pipe(self, place, None, local_addr[0] if local_addr else "127.0.0.1")
        theirs = Pipe(self, server.place, None, host)
        ours.other, theirs.other = theirs, ours
        protocol = protocol_factory()
        self.connect_protocol(ours, protocol)
        server.accept(theirs)
        return ours, protocol
