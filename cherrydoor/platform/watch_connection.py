"""One connection to the platform's endpoint stream; it passes the updates to the watch."""

import asyncio
from typing import TYPE_CHECKING, Any

from cherrydoor.codecs import sse

if TYPE_CHECKING:
    from cherrydoor.platform.discovery_watch import DiscoveryWatch

# Time from a connection's first input until it confirms the endpoint list. The server first sends
# the updates that were missed. If its first input came within this time of the request, the missed
# updates have arrived by then. A slower server has sent them when a comment comes after this time.
CONFIRMING_AFTER_S = 0.25


class WatchConnection(asyncio.Protocol):
    """One connection to the endpoint stream.

    Args:
        watch: Receives the updates.
        server: The stream's address:port.

    Attributes:
        ended: Future of the reason why the connection ended.
        requested_s: When it was opened and requested updates, in s of the loop's clock.
        last_input_s: Time of the latest input, in s of the loop's clock.
        first_input_s: Time of the first input, in s of the loop's clock; None before it.
        settled: Whether it has been open for long enough to have brought the missed updates.
        updates_received: Number of complete updates received.
    """

    def __init__(self, watch: "DiscoveryWatch", server: str) -> None:
        self.watch = watch
        self.server = server
        self.reader = sse.UpdateReader()
        self.transport: Any = None
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.requested_s = 0.0
        self.last_input_s = 0.0
        self.first_input_s: float | None = None
        self.settled = False
        self.updates_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Requests all updates after the last one that was applied."""
        self.transport = transport
        self.requested_s = self.last_input_s = asyncio.get_running_loop().time()
        if self.ended.done():  # the watch ended it while it was being opened
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
        lines_before = self.reader.lines
        comments_before = self.reader.comments
        try:
            for update in self.reader.feed(data):
                if self.ended.done():
                    return
                self.updates_received += 1
                self.watch.update_received(update, self)
        except sse.UnreadableError as error:
            self.end(str(error))
        open_s = self.last_input_s - self.first_input_s
        if self.reader.comments > comments_before and open_s >= CONFIRMING_AFTER_S:
            self.settle()
        elif self.settled and self.reader.lines > lines_before and not self.ended.done():
            self.watch.confirm()

    def settle(self) -> None:
        """Records that the missed updates have arrived, and confirms the endpoint list."""
        if not self.ended.done():
            self.settled = True
            self.watch.confirm()

    def end(self, reason: str) -> None:
        """Closes the connection; later calls do not change the reason."""
        if not self.ended.done():
            self.ended.set_result(reason)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Records that the connection has ended."""
        self.end(str(error) if error else "connection closed")
