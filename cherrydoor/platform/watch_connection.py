"""One connection to the platform's endpoint stream; it passes the updates to the watch."""

import asyncio
from typing import TYPE_CHECKING, Any

from cherrydoor.codecs import sse
from cherrydoor.dialing import DialedProtocol

if TYPE_CHECKING:
    from cherrydoor.platform.discovery_watch import DiscoveryWatch

# Least time from a connection's first input until it confirms the endpoint list. The server first
# sends the updates that were missed. If its first input came within this time of the request, the
# missed updates have arrived by then. A slower server has sent them when a comment comes after it.
CONFIRMING_AFTER_S = 0.25


class WatchConnection(DialedProtocol, asyncio.Protocol):
    """One connection to the endpoint stream.

    It confirms the endpoint list only by what a working server sends: first a comment, which shows
    that the stream runs on this connection, then each complete comment or event. The head of the
    response shows nothing, because a server that has fallen silent may still send it, nor does an
    event of which the rest is missing. The cost is that a new connection confirms nothing until
    its first comment, a second after it was opened.

    Args:
        watch: Receives the updates.
        server: The stream's address:port.

    Attributes:
        ended: Future of the reason why the connection ended.
        requested_s: When it was opened and requested updates, in s of the loop's clock.
        last_input_s: Time of the latest input, in s of the loop's clock.
        first_input_s: Time of the first input, in s of the loop's clock; None before it.
        requested_at_ms: When it requested updates, in ms of the service's clock.
        settled: Whether it has been open for long enough to have brought the missed updates.
        heard_at_ms: A time at which the list contained everything that the server had to tell, as
            shown by the last complete comment or event after a first comment, in ms of the
            service's clock; None before the first comment.
        updates_received: Number of complete updates received.
    """

    def __init__(self, watch: "DiscoveryWatch", server: str) -> None:
        self.watch = watch
        self.server = server
        self.reader = sse.UpdateReader()
        self.transport: Any = None
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.requested_s = 0.0
        self.requested_at_ms = 0.0
        self.last_input_s = 0.0
        self.first_input_s: float | None = None
        self.settled = False
        self.heard_at_ms: float | None = None
        self.updates_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Requests all updates after the last one that was applied."""
        self.transport = transport
        self.requested_s = self.last_input_s = asyncio.get_running_loop().time()
        self.requested_at_ms = self.watch.service.clock.now()
        if self.abandoned or self.ended.done():  # ended while it was being opened
            self.transport.abort()
            return
        self.transport.write(sse.watch_request(self.server, self.watch.last_revision))
        self.watch.updates_requested()

    def data_received(self, data: bytes) -> None:
        """Passes complete updates to the watch; malformed input ends the connection."""
        self.last_input_s = self.watch.last_input_s = asyncio.get_running_loop().time()
        if self.first_input_s is None:
            self.first_input_s = self.last_input_s
            if self.first_input_s - self.requested_s <= CONFIRMING_AFTER_S:
                asyncio.get_running_loop().call_later(CONFIRMING_AFTER_S, self.settle)
        comments_before = self.reader.comments
        events_before = self.reader.events
        try:
            for update in self.reader.feed(data):
                if self.ended.done():
                    return
                self.updates_received += 1
                self.watch.update_received(update, self)
        except sse.UnreadableError as error:
            self.end(str(error))
        has_comment = self.reader.comments > comments_before
        if has_comment or self.reader.events > events_before:
            self.message_received(has_comment)

    def message_received(self, is_comment: bool) -> None:
        """Confirms the list by a complete comment or event, once the missed updates have arrived.

        The list was up to date at the last tick, not at the present moment: after a stall of this
        process, the input that it reads may be as old as that tick. But it is no older than the
        request on this connection.
        """
        if self.ended.done() or self.heard_at_ms is None and not is_comment:
            return
        self.heard_at_ms = max(self.watch.service.dispatcher.now, self.requested_at_ms)
        if is_comment and self.last_input_s - (self.first_input_s or 0.0) >= CONFIRMING_AFTER_S:
            self.settled = True
        self.confirm()

    def settle(self) -> None:
        """Records that the missed updates have arrived, if the server sends any."""
        self.settled = True
        self.confirm()

    def confirm(self) -> None:
        """Confirms the list unless the connection has ended or what it brought is incomplete."""
        if (
            self.settled
            and self.heard_at_ms is not None
            and not self.reader.is_within_message
            and not self.ended.done()
        ):
            self.watch.confirm(self.heard_at_ms)

    def end(self, reason: str) -> None:
        """Closes the connection; later calls do not change the reason."""
        if not self.ended.done():
            self.ended.set_result(reason)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Records that the connection has ended."""
        self.end(str(error) if error else "connection closed")
