"""Watches the platform's endpoint stream: updates in order of their revisions.

The platform calls the stream its bulletin; so does the configuration's key. It is asked anew, from
the last revision that was applied, when the connection breaks or falls silent.
"""

import asyncio
from typing import Any

from cherrydoor.codecs import sse
from cherrydoor.gateway.event_loop import address, open_connection
from cherrydoor.platform.host_starts import HostStarts
from cherrydoor.platform.watch_connection import WatchConnection
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

READ_TIMEOUT_S = 1.8  # without a line, where the platform sends a comment each second
CONNECT_TIMEOUT_S = 0.5  # that a connection may take
# Both times are doubled with each failure in a row, so often at most: a slow or crowded server is
# asked in vain for ever by those who never wait for its answer.
MAX_TIMEOUT_DOUBLINGS = 2
BACKOFF_S = (0.0, 0.05, 0.1, 0.2, 0.4)  # before the next try, by failures in a row
LOGGED_HOSTS = 20  # of one update, at most
SILENT = "silent"  # why a connection ended that is not counted as a failure: it had been open


def state_names(update: sse.EndpointUpdate) -> dict[str, str]:
    """Returns the states of the first hosts of an update, for the log."""
    return {entry.id: entry.state for entry in (update.endpoints or ())[:LOGGED_HOSTS]}


class DiscoveryWatch:
    """Keeps the dispatcher's endpoint list up to date.

    Args:
        service: The gateway's service.
        server: The stream's address:port.
        last_revision: Revision that the configuration's own endpoints include.
        listed_at_ms: When these were up to date, in ms of the service's clock.

    Attributes:
        last_revision: Of the last update that was applied.
        missing_before: Revision before which one is missing and was asked for, if there is such.
        connection: The latest connection.
        confirmed_at_ms: When the endpoint list was last up to date, in ms of the service's clock.
        requested_at_ms: When updates were first asked for since; None where they were not.
        suspended: Whether the stream may have moved, so that what comes confirms nothing.
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
        # The first list is as old as this process. The stream may have been out of reach for long
        # when it started, so what is missing from that list counts as told from then on.
        self.confirmed_at_ms = listed_at_ms
        self.requested_at_ms: float | None = listed_at_ms
        self.suspended = False
        self.host_starts = HostStarts()

    def start(self) -> None:
        """Begins to watch."""
        self.task = asyncio.get_running_loop().create_task(self.watch())

    def stop(self) -> None:
        """Closes the connection and opens no other."""
        if self.task:
            self.task.cancel()
        if self.connection:
            self.connection.end("")

    async def watch(self) -> None:
        """Reads one connection after the other, with a backoff while they bring nothing."""
        failures = 0
        while True:
            server = self.server
            revision_before = self.last_revision
            reason = await self.read_connection(server, 2 ** min(failures, MAX_TIMEOUT_DOUBLINGS))
            progressed = self.last_revision > revision_before
            was_open = self.connection is not None and self.connection.reader.lines
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
        """Returns for how many ms the stream has sent nothing."""
        return (asyncio.get_running_loop().time() - self.last_input_s) * 1000

    async def read_connection(self, server: str, patience: int) -> str:
        """Reads one connection to its end; returns why it ended.

        Args:
            server: The stream's address:port.
            patience: By how much the timeouts are multiplied until something has come.
        """
        connection = WatchConnection(self, server)
        self.connection = connection
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S * patience):
                await open_connection(self.service.listeners, lambda: connection, *address(server))
        except (TimeoutError, OSError) as error:
            connection.end("")
            return f"not connected: {error or 'timeout'}"
        loop = asyncio.get_running_loop()
        while not connection.ended.done():
            timeout_s = READ_TIMEOUT_S
            if connection.first_input_s is None:
                timeout_s *= patience
            remaining_s = connection.last_input_s + timeout_s - loop.time()
            if remaining_s <= 0:
                connection.end(SILENT)
                break
            await asyncio.wait([connection.ended], timeout=remaining_s)
            for _ in range(2):  # after a stall: what is ready is read before it is called silent
                await asyncio.sleep(0)
        return connection.ended.result()

    def confirm(self) -> None:
        """Notifies the dispatcher that the endpoint list is up to date.

        It was so at the last tick: what is read after a stall of this process may be as old.
        """
        if not self.suspended:
            self.confirmed_at_ms = max(self.confirmed_at_ms, self.service.dispatcher.now)
            if self.requested_at_ms is not None and self.requested_at_ms <= self.confirmed_at_ms:
                self.requested_at_ms = None
            self.post_list_age()

    def updates_requested(self) -> None:
        """Notifies the dispatcher that the stream was asked for updates."""
        if self.requested_at_ms is None:
            self.requested_at_ms = self.service.clock.now()
        self.post_list_age()

    def post_list_age(self) -> None:
        """Posts when the list was last up to date and asked for, also to a new dispatcher."""
        dispatcher = self.service.dispatcher
        self.service.post(dispatcher.endpoints_confirmed, self.confirmed_at_ms)
        if self.requested_at_ms is not None:
            self.service.post(dispatcher.endpoints_requested, self.requested_at_ms)

    def suspend(self) -> None:
        """Lets the stream confirm nothing until ``resume``: a new configuration may move it."""
        self.suspended = True

    def resume(self) -> None:
        """Ends ``suspend``: the server is known."""
        self.suspended = False

    def move(self, server: str) -> None:
        """Goes on with another server, from the last revision that was applied."""
        if server != self.server:
            self.server = server
            if self.connection:
                self.connection.end("the discovery server has moved")

    def update_received(
        self, update: sse.EndpointUpdate, connection: WatchConnection | None = None
    ) -> None:
        """Applies an update once, whichever connection brings it.

        Where a revision is missing the stream is asked anew from the last one applied, once: a
        drain may be in it. A complete list under a lower revision, first on a connection, is of a
        server that numbers anew; it undoes no drain.

        Args:
            update: The update, as the codec read it.
            connection: What brought it; None for one of the configuration file.
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
            renumbered: Whether it may be older than what is known, so that drains stay.
            not_before_ms: When the list did not state what is new in it; 0 for unknown.
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
        """Returns an endpoint as the dispatcher gets it."""
        if entry.state == sse.GONE:
            self.host_starts.forget(entry.id)
        now_ms = self.service.clock.now()
        started_at_ms = self.host_starts.bounded(
            entry.id, entry.started_at_ms, now_ms, not_before_ms
        )
        return protocol.Endpoint(entry.id, entry.state, started_at_ms, entry.zone, entry.cell)

    def is_draining(self, host_id: str) -> bool:
        """Whether a known host drains or is gone."""
        host = self.service.dispatcher.hosts.get(host_id)
        return host is not None and host.row.state != sse.READY
