"""The endpoint list as one gateway watches it, and as it caches it on disk for its next start."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.event_loop import address
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

log = structlog.get_logger()

CONNECT_TIMEOUT_S = 5.0  # for a connection to the endpoint list
# Backoff between connections: short at first, as a list that restarts is back at once, and long
# enough at the end for a fleet of gateways not to flood a list that is down.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
BACKOFF_FACTOR = 1.5
SAVE_DELAY_S = 0.5  # from an update to the write that caches it: a burst of updates is written once


class EndpointListProtocol(FramedConnection):
    """A connection to the endpoint list.

    Attributes:
        revision: Latest revision received; it only grows on one connection.
    """

    revision = 0


class EndpointWatch:
    """Watches the endpoint list, or polls it as routing asks, and caches the latest one on disk.

    Attributes:
        end: The connection to the list, None while there is none.
        task: Keeps the gateway connected, from `start` on; the service cancels it as it stops.
    """

    def __init__(self, service: Any, where: str, saved: Path | None, polls: bool) -> None:
        """Prepares a watch that `start` begins.

        Args:
            service: The gateway service whose dispatcher is notified.
            where: Address of the endpoint list.
            saved: The cache's file; None caches nothing.
            polls: Whether the list is fetched only when routing asks for it.
        """
        self.service = service
        self.where = where
        self.saved = saved
        self.polls = polls
        self.end: EndpointListProtocol | None = None
        self.task: asyncio.Task[None] | None = None
        self.connection_end: asyncio.Future[None] | None = None
        self.failure_logged = False
        self.save_scheduled = False

    # ---- the cache
    def read_saved(self) -> list[protocol.Endpoint] | None:
        """The cached endpoints; None without a cache or with an unreadable one, which is logged."""
        if not self.saved or not self.saved.exists():
            return None
        try:
            return msgspec.json.decode(self.saved.read_bytes(), type=list[protocol.Endpoint])
        except (msgspec.DecodeError, OSError) as error:
            log.warning("cached endpoint list unreadable", file=str(self.saved), error=str(error))
            return None

    def save(self) -> None:
        """Replaces the cache by the endpoints that the dispatcher knows; a failure is logged."""
        self.save_scheduled = False
        if not self.saved:
            return
        try:
            new = self.saved.with_suffix(".new")
            new.write_bytes(msgspec.json.encode(self.service.dispatcher.endpoints()))
            new.replace(self.saved)
        except OSError as error:
            log.warning("endpoint list could not be cached", file=str(self.saved), error=str(error))

    def schedule_save(self) -> None:
        """Has the endpoints cached shortly."""
        if not self.save_scheduled:
            self.save_scheduled = True
            asyncio.get_running_loop().call_later(SAVE_DELAY_S, self.save)

    # ---- the connection
    def start(self) -> None:
        """Begins to watch the list, until `task` is cancelled."""
        self.task = asyncio.get_running_loop().create_task(self.keep_connected())

    async def keep_connected(self) -> None:
        """Connects again whenever the connection has ended, with backoff."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                ended = await self.connect()
                backoff_s = FIRST_BACKOFF_S
                self.connection_up()
                await ended
                self.end = None
            except (TimeoutError, OSError) as error:
                self.connection_failed(error)
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)

    async def connect(self) -> asyncio.Future[None]:
        """Connects once; returns what is done when the connection ends.

        Raises:
            TimeoutError: The connection took too long.
            OSError: The connection failed.
        """
        loop = asyncio.get_running_loop()
        self.connection_end = ended = loop.create_future()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self.end = await loop.create_connection(
                lambda: EndpointListProtocol(self, protocol.FROM_LIST, self.service.hello),
                *address(self.where),
            )
        return ended

    def connection_up(self) -> None:
        """Subscribes to the list, unless it is polled."""
        if self.failure_logged:
            log.info("endpoint list reachable again", address=self.where)
        self.failure_logged = False
        if not self.polls and self.end:
            self.end.write(protocol.Watch())

    def connection_failed(self, error: OSError) -> None:
        """Logs the first of several failures in a row."""
        if not self.failure_logged:
            log.warning(
                "endpoint list unreachable, continuing with the last one",
                address=self.where,
                error=str(error) or "time-out",
                hosts=len(self.service.dispatcher.hosts),
            )
        self.failure_logged = True

    # ---- polls of routing
    def poll(self, requested: bool) -> None:
        """Routing asks for the list: it arrives, or routing gets a failure and asks again."""
        asyncio.get_running_loop().call_soon(self.request_list)

    def request_list(self) -> None:
        """Requests the whole list, or reports that it cannot be had now."""
        if self.end is not None:
            self.end.write(protocol.Watch())
        else:
            self.service.post(self.service.dispatcher.endpoint_poll_failed)

    # ---- what the connection reports
    def hello_received(self, end: EndpointListProtocol, hello: protocol.Hello) -> None:
        """A peer that is no endpoint list is refused."""
        if hello.role != "list":
            end.close(f"a list is expected here, not a {hello.role}")

    def message_received(self, end: EndpointListProtocol, message: Any) -> None:
        """Queues an update for the next tick."""
        self.service.post(self.apply_update, end, message)

    def apply_update(self, end: EndpointListProtocol, update: Any) -> None:
        """Hands an update to the dispatcher and acknowledges it.

        An update older than the one before is ignored. Guards against a list that is served by
        several processes of which one is behind; harms where a list starts to count anew without
        closing its connections.
        """
        if update.revision < end.revision:
            self.service.dispatcher.counters["late lists"] += 1
            log.warning(
                "outdated endpoint list ignored", revision=update.revision, latest=end.revision
            )
            return
        end.revision = update.revision
        kind = (
            routing.UpdateKind.INCREMENTAL
            if update.kind == "changes"
            else routing.UpdateKind.SNAPSHOT
        )
        self.service.dispatcher.endpoints_updated(kind, update.endpoints)
        end.write(protocol.UpdateAcknowledged(update.revision))
        self.schedule_save()

    def connection_ended(self, end: EndpointListProtocol) -> None:
        """Reports the loss to the dispatcher and lets `keep_connected` go on."""
        if self.end is end:
            self.end = None
            self.service.post(self.service.dispatcher.endpoint_poll_failed)
            log.warning(
                "connection to the endpoint list lost", address=self.where, why=end.close_reason
            )
        if self.connection_end is not None and not self.connection_end.done():
            self.connection_end.set_result(None)
