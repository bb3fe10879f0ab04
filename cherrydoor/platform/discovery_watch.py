"""Watches the platform's endpoint stream and applies its updates in the order of their revisions.

The platform and the configuration key call this stream "bulletin". When the connection breaks or
falls silent, the watch reconnects and requests the updates after the last revision it applied.
"""

import asyncio
from typing import Any

from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import address, open_connection
from cherrydoor.platform.host_starts import HostStarts
from cherrydoor.platform.watch_connection import WatchConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

READ_TIMEOUT_S = 1.8  # without input; the platform sends a comment each second
CONNECT_TIMEOUT_S = 0.5
# Both timeouts double with each consecutive failure, up to this number of times. With fixed
# timeouts, a slow or overloaded server would never be given enough time to respond.
MAX_TIMEOUT_DOUBLINGS = 2
BACKOFF_S = (0.0, 0.05, 0.1, 0.2, 0.4)  # delay before a reconnect, by consecutive failures
MAX_LOGGED_HOSTS = 20  # of one update
# Reason of a connection's end; no failure if the connection had received something before.
SILENT = "silent"


def state_names(update: sse.EndpointUpdate) -> dict[str, str]:
    """Returns the states of the first hosts of an update, for the log."""
    return {entry.id: entry.state for entry in (update.endpoints or ())[:MAX_LOGGED_HOSTS]}


class DiscoveryWatch:
    """Keeps the dispatcher's endpoint list up to date.

    Args:
        service: The gateway's service.
        server: The stream's address:port.
        last_revision: Revision of the endpoint list in the configuration.
        listed_at_ms: When that list was up to date, in ms of the service's clock.

    Attributes:
        last_revision: Revision of the last update that was applied.
        missing_before: Revision whose predecessor is missing and was requested again; None if
            there is none.
        connection: The latest connection.
        confirmed_at_ms: When the endpoint list was last known to be up to date, in ms of the
            service's clock.
        requested_at_ms: When updates were first requested after that; None if they were not.
        suspended: Whether the stream may have moved, so that its input confirms nothing.
        last_input_s: When the stream last sent anything, in s of the loop's clock.
    """

    def __init__(self, service: Any, server: str, last_revision: int, listed_at_ms: float) -> None:
        self.service = service
        self.server = server
        self.last_revision = last_revision
        self.missing_before: int | None = None
        self.task: asyncio.Task[None] | None = None
        self.connection: WatchConnection | None = None
        self.last_input_s = asyncio.get_running_loop().time()
        # The first list is as old as this process. If the stream was already unreachable when the
        # process started, changes that the list lacks count as announced from that time on.
        self.confirmed_at_ms = listed_at_ms
        self.requested_at_ms: float | None = listed_at_ms
        self.suspended = False
        self.host_starts = HostStarts()

    def start(self) -> None:
        """Starts the watch."""
        self.task = asyncio.get_running_loop().create_task(self.watch())

    def stop(self) -> None:
        """Ends the watch and closes its connection."""
        if self.task:
            self.task.cancel()
        if self.connection:
            self.connection.end("")

    async def watch(self) -> None:
        """Reads one connection after another, with a backoff while they bring nothing."""
        failures = 0
        while True:
            server = self.server
            revision_before = self.last_revision
            reason = await self.read_connection(server, 2 ** min(failures, MAX_TIMEOUT_DOUBLINGS))
            progressed = self.last_revision > revision_before
            was_open = self.connection is not None and self.connection.heard_at_ms is not None
            if progressed or self.server != server or (reason == SILENT and was_open):
                failures = 0
            else:
                failures += 1
            self.service.dispatcher.counters["discovery watch connections ended"] += 1
            self.service.log.write_limited(
                "discovery watch connection ended",
                server=server,
                reason=reason,
                last_revision=self.last_revision,
                silent_ms=round(self.silent_ms()),
            )
            await asyncio.sleep(BACKOFF_S[min(failures, len(BACKOFF_S) - 1)])

    def silent_ms(self) -> float:
        """Returns the time since the stream last sent anything, in ms."""
        return (asyncio.get_running_loop().time() - self.last_input_s) * 1000

    async def read_connection(self, server: str, timeout_factor: int) -> str:
        """Reads one connection to its end; returns why it ended.

        Args:
            server: The stream's address:port.
            timeout_factor: Multiplies the timeouts until the first input.
        """
        connection = WatchConnection(self, server)
        self.connection = connection
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S * timeout_factor):
                await open_connection(self.service, lambda: connection, *address(server))
        except (TimeoutError, OSError) as error:
            connection.end("")
            return f"not connected: {error or 'timeout'}"
        loop = asyncio.get_running_loop()
        while not connection.ended.done():
            timeout_s = READ_TIMEOUT_S
            if connection.first_input_s is None:
                timeout_s *= timeout_factor
            remaining_s = connection.last_input_s + timeout_s - loop.time()
            if remaining_s <= 0:
                connection.end(SILENT)
                break
            # No longer than the timeout after the first input, which may come in this time.
            await asyncio.wait([connection.ended], timeout=min(remaining_s, READ_TIMEOUT_S))
            # After a stall, input that is ready is read before the timeout is checked.
            for _ in range(2):
                await asyncio.sleep(0)
        return connection.ended.result()

    def confirm(self, at_ms: float) -> None:
        """Notifies the dispatcher that the endpoint list was up to date.

        Args:
            at_ms: When it was, in ms of the service's clock.
        """
        if not self.suspended:
            self.confirmed_at_ms = max(self.confirmed_at_ms, at_ms)
            if self.requested_at_ms is not None and self.requested_at_ms <= self.confirmed_at_ms:
                self.requested_at_ms = None
            self.post_list_age()

    def updates_requested(self) -> None:
        """Notifies the dispatcher that updates were requested from the stream."""
        if self.requested_at_ms is None:
            self.requested_at_ms = self.service.clock.now()
        self.post_list_age()

    def post_list_age(self) -> None:
        """Posts when the list was last up to date and when updates were requested."""
        dispatcher = self.service.dispatcher
        self.service.post(dispatcher.endpoints_confirmed, self.confirmed_at_ms)
        if self.requested_at_ms is not None:
            self.service.post(dispatcher.endpoints_requested, self.requested_at_ms)

    def suspend(self) -> None:
        """Ignores confirmations until ``resume``: a new configuration may move the stream."""
        self.suspended = True

    def resume(self) -> None:
        """Accepts confirmations again: it is known which server has the stream."""
        self.suspended = False

    def move(self, server: str) -> None:
        """Continues with another server, from the last revision that was applied."""
        if server != self.server:
            self.server = server
            if self.connection:
                self.connection.end("the discovery server has moved")

    def update_received(
        self, update: sse.EndpointUpdate, connection: WatchConnection | None = None
    ) -> None:
        """Applies an update unless its revision was applied before.

        If a revision is missing, the updates after the last applied one are requested once more,
        because the missing one may announce a drain. If it is still missing then, it is skipped.
        A snapshot with a lower revision that is the first update on a connection comes from a
        server that has restarted its numbering; it is applied, but undoes no drain.

        Args:
            update: The update, as the codec read it.
            connection: The connection that it came on; None for an update of the configuration.
        """
        counters = self.service.dispatcher.counters
        renumbered = (
            connection is not None
            and connection.updates_received == 1
            and update.is_snapshot
            and update.revision < self.last_revision
        )
        if update.revision <= self.last_revision and not renumbered:
            counters["discovery updates duplicated"] += 1
            return
        skips_revision = not update.is_snapshot and update.revision > self.last_revision + 1
        if skips_revision and (connection is None or self.missing_before != update.revision):
            counters["discovery updates missing"] += 1
            if connection is not None:
                self.missing_before = update.revision
                connection.end("a revision is missing")
            return
        self.last_revision = update.revision
        self.apply(update, renumbered, self.confirmed_at_ms)
        fields = {"renumbered": True} if renumbered else {}
        self.service.log.write(
            "discovery update applied",
            revision=update.revision,
            **fields,
            hosts=state_names(update),
        )

    def apply(
        self, update: sse.EndpointUpdate, renumbered: bool = False, not_before_ms: float = 0.0
    ) -> None:
        """Posts the endpoints of an update to the dispatcher.

        Args:
            update: The update; one that carries no endpoints changes nothing.
            renumbered: Whether it may be older than the known list, so that drains are kept.
            not_before_ms: A time when the list did not contain this update's news; 0 if unknown.
        """
        if update.endpoints is None:
            return
        endpoints = [
            self.endpoint_of(entry, not_before_ms)
            for entry in update.endpoints
            if not (renumbered and entry.state == sse.READY and self.is_draining(entry.id))
        ]
        self.service.post(
            self.service.upstream.endpoints_received,
            routing.UpdateKind.SNAPSHOT if update.is_snapshot else routing.UpdateKind.INCREMENTAL,
            endpoints,
            {entry.id: entry.address for entry in update.endpoints if entry.state != sse.GONE},
        )

    def endpoint_of(self, entry: sse.ListedEndpoint, not_before_ms: float) -> protocol.Endpoint:
        """Returns the dispatcher's message for one endpoint."""
        if entry.state == sse.GONE:
            self.host_starts.forget(entry.id)
        now_ms = self.service.clock.now()
        started_at_ms = self.host_starts.bounded(
            entry.id, entry.started_at_ms, now_ms, not_before_ms
        )
        return protocol.Endpoint(entry.id, entry.state, started_at_ms, entry.zone, entry.cell)

    def is_draining(self, host_id: str) -> bool:
        """Whether a host is known and is draining or gone."""
        host = self.service.dispatcher.hosts.get(host_id)
        return host is not None and host.row.state != sse.READY
