"""The function store: fetches share its capacity, and are rejected above a limit."""

import asyncio

import msgspec

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.cores import Cores
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Store:
    """Serves functions to the hosts.

    Attributes:
        catalogue: Properties of each function.
        full_speed_fetches: Fetches that run at full speed; more of them share that capacity.
        max_in_flight: Largest number of fetches in flight; further ones are rejected.
        cores: The capacity that fetches share.
        releases: Number of the current release of each function; 0 if absent.
        slowdown: Factor by which fetches are slowed down.
        stopped: Whether fetches make no progress.
        timer: Calls `reschedule` when the next fetch ends.
        in_flight: Number of fetches in flight.
    """

    def __init__(self, record, catalogue, at_once=8, takes=64):
        self.record, self.catalogue, self.full_speed_fetches, self.max_in_flight = (
            record,
            catalogue,
            at_once,
            takes,
        )
        self.loop, self.cores, self.releases = asyncio.get_running_loop(), Cores(at_once, now()), {}
        self.slowdown, self.stopped, self.timer, self.in_flight = 1.0, False, None, 0

    async def start(self, address="127.0.0.1", port=0):
        self.server = await self.loop.create_server(
            lambda: FramedConnection(
                self,
                protocol.TO_STORE,
                lambda: protocol.Hello(protocol.VERSION, "store", "store", now()),
            ),
            address,
            port,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def fetch_speed(self):
        """Returns the present speed of a fetch, 1 at full speed."""
        return 0.0 if self.stopped else 1.0 / self.slowdown

    def hello_received(self, connection, hello):
        pass

    def connection_ended(self, connection):
        pass

    def message_received(self, connection, fetch):
        self.record.add(
            "fetch",
            peer=connection.reader.hello.name,
            id=fetch.id,
            function=fetch.function,
            a=self.in_flight,
        )
        if self.in_flight >= self.max_in_flight:
            self.record.add(
                "fetch refused",
                peer=connection.reader.hello.name,
                id=fetch.id,
                function=fetch.function,
            )
            return connection.write(protocol.FetchResult(fetch.id, "full"))
        self.in_flight += 1
        self.cores.add(
            now(),
            self.fetch_speed(),
            self.catalogue.fetch_ms(fetch.function),
            lambda: self.fetch_ended(connection, fetch),
        )
        self.reschedule()

    def fetch_ended(self, connection, fetch):
        """Sends the function to the host."""
        self.in_flight -= 1
        facts = self.catalogue(fetch.function)
        connection.write(
            msgspec.structs.replace(
                facts, id=fetch.id, release=self.releases.get(fetch.function, 0)
            )
        )
        self.record.add(
            "fetched", peer=connection.reader.hello.name, id=fetch.id, function=fetch.function
        )

    def set(self, slow=None, stopped=None):
        """Slows fetches by a factor, and stops or resumes them; None leaves a value as it is."""
        self.cores.advance(now(), self.fetch_speed())
        self.slowdown = self.slowdown if slow is None else slow
        self.stopped = self.stopped if stopped is None else stopped
        self.reschedule()

    def reschedule(self):
        """Completes the fetches that have ended, and sets the timer for the next one."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        for job in self.cores.pop_finished(now(), self.fetch_speed()):
            job()
        wait_ms = self.cores.ms_until_next()
        if self.timer is None and wait_ms is not None:
            self.timer = self.loop.call_later(wait_ms / 1000 + 0.0001, self.reschedule)
