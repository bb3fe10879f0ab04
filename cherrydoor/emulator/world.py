"""An asyncio event loop with virtual time and an in-memory network.

The programs on it need no change: they use the usual asyncio calls for timers and connections.

The loop never sleeps: if no callback is ready, the clock jumps to the next timer. A connection is a
pair of transports. Bytes arrive in order, after a delay that depends on the locations of the two
ends. Callbacks take no virtual time, so a process that is short of CPU can't be emulated.
"""

import asyncio
import selectors
from collections import deque
from zlib import crc32

START_TIME_S = 1.8e9  # Unix time at which each emulation begins


class VirtualTimeSelector(selectors.BaseSelector):
    """Advances the world's clock by the time that the event loop would wait for I/O."""

    def __init__(self):
        self.world = None

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                "deadlock: no timer or ready callback is left, but the loop has not finished"
            )
        self.world.now_s += max(0.0, timeout)
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
    """One end of a connection.

    Attributes:
        location: Where this end is; the delay to the other end depends on it.
        address: The IP address of this end.
        other: The other end.
        reading: Whether the protocol takes data; False until a protocol is attached.
        unsent: What has been written since the last flush.
        undelivered: Received data that the protocol has not taken yet.
        frozen: Whether the process of this end is stopped, so that received data is held back.
        last_arrival_s: The time at which the latest data sent from here arrives.
    """

    def __init__(self, world, location, protocol, address):
        super().__init__()
        self.world, self.location, self.protocol, self.address = world, location, protocol, address
        self.other, self.closing, self.reading, self.unsent, self.undelivered = (
            None,
            False,
            True,
            [],
            deque(),
        )
        self.frozen, self.last_arrival_s = False, 0.0
        if protocol is None:
            self.reading = False  # until `World.connect_protocol`

    def get_extra_info(self, name, default=None):
        return {"peername": (self.other.address, 0), "sockname": (self.address, 0)}.get(
            name, default
        )

    def write(self, data):
        """Sends the data; all that is written in one iteration of the loop arrives together."""
        if self.closing or not data:
            return
        if not self.unsent:
            self.world.call_soon(self.flush)
        self.unsent.append(bytes(data))

    def flush(self):
        data, self.unsent = b"".join(self.unsent), []
        if data:
            self.send(self.other.receive, data)

    def send(self, callback, *args):
        """Calls back after the delay between the two ends, and after all earlier calls."""
        at = max(
            self.last_arrival_s + 1e-7,  # keeps arrivals in order
            self.world.time() + self.world.delay(self.location, self.other.location),
        )
        self.last_arrival_s = at
        self.world.call_at(at, callback, *args)

    def receive(self, data):
        """Passes received data to the protocol, or keeps it if the protocol can't take it now."""
        if self.closing:
            return
        if self.frozen or not self.reading:
            self.undelivered.append(data)
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
                    self.undelivered.append(bytes(view))
                    return
        else:
            protocol.data_received(data)

    def release(self):
        """Passes data that was held back to the protocol, until it pauses reading."""
        while self.undelivered and self.reading and not self.frozen and not self.closing:
            self.receive(self.undelivered.popleft())

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True
        self.world.call_soon(self.release)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        """Does nothing: no output ever waits."""

    def close(self):
        self.end(None)

    def abort(self):
        self.unsent = []
        self.end(ConnectionResetError("reset"))

    def end(self, error):
        """Closes this end; the other end loses the connection with this error."""
        if self.closing:
            return
        self.flush()
        self.closing = True
        self.world.pipes.discard(self)
        self.world.call_soon(self.protocol.connection_lost, None)
        self.send(self.other.ended, error)

    def ended(self, error):
        """Closes this end, as the other end is closed; all that it sent has arrived before."""
        if self.closing:
            return
        if self.frozen:
            self.world.call_later(0.05, self.ended, error)
            return
        self.closing = True
        self.world.pipes.discard(self)
        self.protocol.connection_lost(error)


class Server:
    """A listening address; `accept` is called with the server's end of each connection."""

    def __init__(self, world, key, accept, location):
        self.world, self.key, self.accept, self.location, self.sockets = (
            world,
            key,
            accept,
            location,
            [self],
        )

    def getsockname(self):
        return self.key

    def close(self):
        if self.world.servers.get(self.key) is self:
            del self.world.servers[self.key]


class World(asyncio.SelectorEventLoop):
    """The event loop of an emulation.

    Args:
        seed: Seed of the pseudorandom part of the delays.
        near_delay_s: Shortest delay between two ends at one location.
        far_delay_s: Shortest delay between two locations.

    Each delay is longer by a pseudorandom share of up to half of the shortest delay.
    """

    def __init__(self, seed=1, near_delay_s=0.0001, far_delay_s=0.0005):
        selector = VirtualTimeSelector()
        super().__init__(selector)
        selector.world = self
        self.now_s, self.seed, self.delay_count, self.near_delay_s, self.far_delay_s = (
            0.0,
            seed,
            0,
            near_delay_s,
            far_delay_s,
        )
        self.servers, self.pipes, self.ports, self.location = {}, set(), 20000, ""
        self._clock_resolution = 1e-9

    # asyncio creates a socket pair to wake the loop from other threads; here no thread does that.
    def _make_self_pipe(self):
        self._internal_fds = 0

    def _close_self_pipe(self):
        pass

    def _write_to_self(self):
        pass

    def _process_events(self, event_list):
        pass

    def time(self):
        return getattr(self, "now_s", 0.0)

    def wall_time(self):
        """Returns the Unix time in seconds."""
        return START_TIME_S + self.now_s

    def delay(self, a, b):
        """Returns the next delay between two locations, in seconds."""
        self.delay_count += 1
        spread = 1 + 0.5 * crc32(f"{self.seed}/{self.delay_count}".encode()) / 2.0**32
        return (self.near_delay_s if a == b else self.far_delay_s) * spread

    def take_port(self):
        """Returns a port that was not returned before."""
        self.ports += 1
        return self.ports

    # ---- the network calls of asyncio event loops
    async def create_server(self, protocol_factory, host=None, port=None, *, location=None, **_):
        return self.listen(
            host, port, lambda pipe: self.connect_protocol(pipe, protocol_factory()), location
        )

    def listen(self, host, port, accept, location=None):
        """Opens a server.

        Raises:
            OSError: A server listens on this address already.
        """
        key = (host or "127.0.0.1", port or self.take_port())
        if key in self.servers:
            raise OSError(98, "address in use")
        server = self.servers[key] = Server(
            self, key, accept, self.location if location is None else location
        )
        return server

    def connect_protocol(self, pipe, protocol):
        """Attaches a protocol to one end, and passes on what has arrived there already."""
        pipe.protocol, pipe.reading = protocol, True
        self.pipes.add(pipe)
        protocol.connection_made(pipe)
        pipe.release()

    async def create_connection(
        self, protocol_factory, host=None, port=None, *, local_addr=None, **_
    ):
        location = self.location
        server = self.servers.get((host, port))
        await asyncio.sleep(2 * self.delay(location, server.location if server else ""))
        # The server may have been closed or replaced during the delay.
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(111, "Connection refused")
        client_end = Pipe(self, location, None, local_addr[0] if local_addr else "127.0.0.1")
        server_end = Pipe(self, server.location, None, host)
        client_end.other, server_end.other = server_end, client_end
        protocol = protocol_factory()
        self.connect_protocol(client_end, protocol)
        server.accept(server_end)
        return client_end, protocol
