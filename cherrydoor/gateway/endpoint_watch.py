"""The list of hosts as one gateway follows it, and as it keeps it for its next start."""

import asyncio

import msgspec
import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.event_loop import address
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

log = structlog.get_logger()


class EndpointListProtocol(FramedConnection):
    """A connection to the list; revisions count up on it."""

    revision = 0


class EndpointWatch:
    """Follows the list: by push, or by asking when the module says so. Keeps the last one on disk."""

    def __init__(self, service, where, saved, asks):
        self.service, self.where, self.saved, self.asks = service, where, saved, asks
        self.end, self.task, self.said, self.dirty = None, None, False, False

    def read_saved(self):
        """The list as last held; what cannot be read is said and left."""
        if not self.saved or not self.saved.exists():
            return None
        try:
            return msgspec.json.decode(self.saved.read_bytes(), type=list[protocol.Endpoint])
        except (msgspec.DecodeError, OSError) as error:
            log.warning("the saved list cannot be read", file=str(self.saved), error=str(error))
            return None

    def save(self):
        self.dirty = False
        if not self.saved:
            return
        try:
            new = self.saved.with_suffix(".new")
            new.write_bytes(msgspec.json.encode(self.service.dispatcher.endpoints()))
            new.replace(self.saved)
        except OSError as error:
            log.warning("the list cannot be saved", file=str(self.saved), error=str(error))

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self.follow())

    async def follow(self):
        """Connects again and again; says so once while the list cannot be reached."""
        loop, pause = asyncio.get_running_loop(), 0.1
        while True:
            try:
                self.gone = loop.create_future()
                async with asyncio.timeout(5.0):
                    _, self.end = await loop.create_connection(
                        lambda: EndpointListProtocol(self, protocol.FROM_LIST, self.service.hello),
                        *address(self.where),
                    )
                pause = 0.1
                if self.said:
                    log.info("the list is reached", address=self.where)
                self.said = False
                if not self.asks and self.end:
                    self.end.write(protocol.Watch())
                await self.gone
                self.end = None
            except (TimeoutError, OSError) as error:
                if not self.said:
                    log.warning(
                        "the list cannot be reached, going on with the last one",
                        address=self.where,
                        error=str(error) or "time-out",
                        hosts=len(self.service.dispatcher.hosts),
                    )
                self.said = True
            await asyncio.sleep(pause)
            pause = min(2.0, pause * 1.5)

    def hear(self, asked):
        """The module asks for the list; either it comes, or a failure is told, and the module asks again."""
        asyncio.get_running_loop().call_soon(self.subscribe)

    def subscribe(self):
        if self.end is not None:
            self.end.write(protocol.Watch())
        else:
            self.service.post(self.service.dispatcher.endpoint_poll_failed)

    def greeted(self, end, hello):
        if hello.role != "list":
            end.close(f"a list is expected here, not a {hello.role}")

    def heard(self, end, message):
        self.service.post(self.listed, end, message)

    def listed(self, end, message):
        how = (
            routing.UpdateKind.INCREMENTAL
            if message.kind == "changes"
            else routing.UpdateKind.SNAPSHOT
        )
        if (
            message.revision < end.revision
        ):  # guards against a list that is served by several, one behind
            self.service.dispatcher.counters["late lists"] += 1
            log.warning(
                "a list older than the one before is ignored",
                revision=message.revision,
                had=end.revision,
            )
            return
        end.revision = message.revision
        self.service.dispatcher.endpoints_updated(how, message.endpoints)
        end.write(protocol.UpdateAcknowledged(message.revision))
        if not self.dirty:
            self.dirty = True
            asyncio.get_running_loop().call_later(0.5, self.save)

    def lost(self, end):
        if self.end is end:
            self.end = None
            self.service.post(self.service.dispatcher.endpoint_poll_failed)
            log.warning("the connection to the list is lost", address=self.where, why=end.why)
        if not self.gone.done():
            self.gone.set_result(None)
