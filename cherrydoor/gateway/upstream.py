"""Connections of one gateway to hosts."""

import asyncio

import structlog

from cherrydoor.connection import End
from cherrydoor.gateway.event_loop import dial
from cherrydoor.protocol import codec
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol

log = structlog.get_logger()


class HostEnd(End):
    """A connection to a host."""

    def __init__(self, shell, link):
        super().__init__(
            shell.floor, custody.FROM_HOST, shell.hello, shell.bounds.host_bytes, shell.bounds.frame
        )
        self.link, self.incarnation = link, shell.fellows.incarnation if shell.fellows else 0

    def connection_made(self, transport):
        super().connection_made(transport)
        self.owner.shell.post(self.owner.shell.desk.linked, self.link, self)

    def write(self, message):
        try:
            super().write(message)
        except codec.FrameTooLarge as error:  # the host says that it takes no frame of this size
            self.owner.too_large(self, message, error)


class Floor:
    def __init__(self, shell):
        self.shell = shell

    def dial(self, link):
        asyncio.get_running_loop().create_task(self.connect(link))

    async def connect(self, link):
        await dial(
            self.shell,
            link,
            link.host.id,
            lambda: HostEnd(self.shell, link),
            self.shell.keeper.client,
        )

    def greeted(self, end, hello):
        if hello.role != "host":
            return end.close(f"a host is expected here, not a {hello.role}")
        self.shell.post(self.shell.desk.greeted, end.link, hello)

    def heard(self, end, message):
        self.shell.post(self.shell.desk.heard, end.link, message)

    def too_large(self, end, message, error):
        log.warning("a host takes no frame of this size", host=end.link.host.id, error=str(error))
        self.shell.post(self.shell.desk.heard, end.link, protocol.AttemptResult(message.id, "full"))

    def lost(self, end):
        if (
            custody.INCARNATION_ENDED in end.why
            and self.shell.fellows
            and self.shell.fellows.incarnation == end.incarnation
        ):
            return self.shell.life_over("a host refuses it")
        self.shell.post(self.shell.desk.unlinked, end.link)
