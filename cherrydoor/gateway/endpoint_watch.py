"""Watches the endpoint list for one gateway and caches it on disk for the next start."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.dialing import connect
from cherrydoor.gateway.event_loop import address
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 5.0  # for a connection to the endpoint list
# First backoff before connecting again; short, as an endpoint list that restarts is soon back.
FIRST_BACKOFF_S = 0.1
# Long enough that a fleet of gateways does not flood an endpoint list that is down.
MAX_BACKOFF_S = 2.0
BACKOFF_FACTOR = 1.5
SAVE_DELAY_S = 0.5  # delay from an update to its cache write, so that a burst is written once


class EndpointListProtocol(FramedConnection):
    """A connection to the endpoint list.

    Attributes:
        revision: Latest revision received; it never decreases on one connection.
    """

    revision = 0


class EndpointWatch:
    """Watches the endpoint list, or polls it on the router's request, and caches it on disk.

    Attributes:
        connection: The connection to the endpoint list; None while there is none.
        task: Keeps the gateway connected, set by `start`; the service cancels it when it stops.
    """

    def __init__(
        self, service: Any, list_address: str, cache_path: Path | None, polls: bool
    ) -> None:
        """Prepares a watch that `start` begins.

        Args:
            service: The gateway service whose dispatcher is notified.
            list_address: Address of the endpoint list.
            cache_path: The cache file; None disables the cache.
            polls: Whether the list is fetched only when the router requests it.
        """
        self.service = service
        self.list_address = list_address
        self.cache_path = cache_path
        self.polls = polls
        self.connection: EndpointListProtocol | None = None
        self.task: asyncio.Task[None] | None = None
        self.closed_future: asyncio.Future[None] | None = None
        self.failure_logged = False
        self.save_scheduled = False

    # ---- the cache
    def read_saved(self) -> list[protocol.Endpoint] | None:
        """Returns the cached endpoints; None without a cache or, after logging, if unreadable."""
        if not self.cache_path or not self.cache_path.exists():
            return None
        try:
            return msgspec.json.decode(self.cache_path.read_bytes(), type=list[protocol.Endpoint])
        except (msgspec.DecodeError, OSError) as error:
            log.warning(
                "cached endpoint list unreadable", file=str(self.cache_path), error=str(error)
            )
            return None

    def save(self) -> None:
        """Writes the dispatcher's current endpoints to the cache; a failure is logged."""
        self.save_scheduled = False
        if not self.cache_path:
            return
        try:
            new = self.cache_path.with_suffix(".new")
            new.write_bytes(msgspec.json.encode(self.service.dispatcher.endpoints()))
            new.replace(self.cache_path)
        except OSError as error:
            log.warning(
                "endpoint list could not be cached", file=str(self.cache_path), error=str(error)
            )

    def schedule_save(self) -> None:
        """Schedules a write of the cache after ``SAVE_DELAY_S``, unless one is scheduled."""
        if not self.save_scheduled:
            self.save_scheduled = True
            asyncio.get_running_loop().call_later(SAVE_DELAY_S, self.save)

    # ---- the connection
    def start(self) -> None:
        """Starts watching the list; cancelling `task` stops it."""
        self.task = asyncio.get_running_loop().create_task(self.keep_connected())

    async def keep_connected(self) -> None:
        """Connects, and reconnects with backoff whenever the connection ends."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                ended = await self.connect()
                backoff_s = FIRST_BACKOFF_S
                self.connection_up()
                await ended
                self.connection = None
            except (TimeoutError, OSError) as error:
                self.connection_failed(error)
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)

    async def connect(self) -> asyncio.Future[None]:
        """Connects once; returns a future that is done when the connection ends.

        Raises:
            TimeoutError: The connection was not open within ``CONNECT_TIMEOUT_S``.
            OSError: The connection failed.
        """
        loop = asyncio.get_running_loop()
        self.closed_future = ended = loop.create_future()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self.connection = await connect(
                lambda: EndpointListProtocol(self, protocol.FROM_LIST, self.service.hello),
                *address(self.list_address),
            )
        return ended

    def connection_up(self) -> None:
        """Subscribes to the endpoint list, unless it is polled."""
        if self.failure_logged:
            log.info("endpoint list reachable again", address=self.list_address)
        self.failure_logged = False
        if not self.polls and self.connection:
            self.connection.write(protocol.Watch())

    def connection_failed(self, error: OSError) -> None:
        """Logs a failure, unless the previous attempt failed as well."""
        if not self.failure_logged:
            log.warning(
                "endpoint list unreachable, continuing with the last one",
                address=self.list_address,
                error=str(error) or "time-out",
                hosts=len(self.service.dispatcher.hosts),
            )
        self.failure_logged = True

    # ---- polls by the router
    def poll(self, requested: bool) -> None:
        """Requests the list for the router, which gets an update, or a failure and polls again."""
        asyncio.get_running_loop().call_soon(self.request_list)

    def request_list(self) -> None:
        """Requests the complete list, or reports a failed poll without a connection."""
        if self.connection is not None:
            self.connection.write(protocol.Watch())
        else:
            self.service.post(self.service.dispatcher.endpoint_poll_failed)

    # ---- events of the connection
    def hello_received(self, connection: EndpointListProtocol, hello: protocol.Hello) -> None:
        """Closes the connection if the peer is not an endpoint list."""
        if hello.role != "list":
            connection.close(f"a list is expected here, not a {hello.role}")

    def message_received(self, connection: EndpointListProtocol, message: Any) -> None:
        """Queues an update for the next tick."""
        self.service.post(self.apply_update, connection, message)

    def apply_update(self, connection: EndpointListProtocol, update: Any) -> None:
        """Passes an update to the dispatcher and acknowledges it.

        An update with an older revision than the previous one is ignored, because a list may be
        served by several processes of which one is behind. The cost: if a list restarts its
        revisions without closing its connections, its updates are ignored.
        """
        if update.revision < connection.revision:
            self.service.dispatcher.counters["late lists"] += 1
            log.warning(
                "outdated endpoint list ignored",
                revision=update.revision,
                latest=connection.revision,
            )
            return
        connection.revision = update.revision
        kind = (
            routing.UpdateKind.INCREMENTAL
            if update.kind == "changes"
            else routing.UpdateKind.SNAPSHOT
        )
        self.service.dispatcher.endpoints_updated(kind, update.endpoints)
        connection.write(protocol.UpdateAcknowledged(update.revision))
        self.schedule_save()

    def connection_ended(self, connection: EndpointListProtocol) -> None:
        """Reports the lost connection to the dispatcher and makes `keep_connected` reconnect."""
        if self.connection is connection:
            self.connection = None
            self.service.post(self.service.dispatcher.endpoint_poll_failed)
            log.warning(
                "connection to the endpoint list lost",
                address=self.list_address,
                why=connection.close_reason,
            )
        if self.closed_future is not None and not self.closed_future.done():
            self.closed_future.set_result(None)
