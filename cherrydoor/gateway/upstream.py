"""Connections of one gateway to hosts."""

import asyncio

import structlog

from cherrydoor.connection import FramedConnection
from cherrydoor.gateway.event_loop import dial
from cherrydoor.protocol import codec
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol

log = structlog.get_logger()


class HostProtocol(FramedConnection):
    """A connection to a host."""

    def __init__(self, service, link):
        super().__init__(
            service.upstream,
            custody.FROM_HOST,
            service.hello,
            service.bounds.host_bytes,
            service.bounds.frame,
        )
        self.link, self.incarnation = (
            link,
            service.peer_services.incarnation if service.peer_services else 0,
        )

    def connection_made(self, transport):
        super().connection_made(transport)
        self.owner.service.post(self.owner.service.dispatcher.connection_opened, self.link, self)

    def write(self, message):
        try:
            super().write(message)
        except codec.FrameTooLarge as error:  # the host says that it takes no frame of this size
            self.owner.too_large(self, message, error)


class Upstream:
    def __init__(self, service):
        self.service = service

    def dial(self, link):
        asyncio.get_running_loop().create_task(self.connect(link))

    async def connect(self, link):
        await dial(
            self.service,
            link,
            link.host.id,
            lambda: HostProtocol(self.service, link),
            self.service.tls.client,
        )

    def greeted(self, end, hello):
        if hello.role != "host":
            return end.close(f"a host is expected here, not a {hello.role}")
        self.service.post(self.service.dispatcher.host_greeted, end.link, hello)

    def heard(self, end, message):
        self.service.post(self.service.dispatcher.host_replied, end.link, message)

    def too_large(self, end, message, error):
        log.warning("a host takes no frame of this size", host=end.link.host.id, error=str(error))
        self.service.post(
            self.service.dispatcher.host_replied,
            end.link,
            protocol.AttemptResult(message.id, "full"),
        )

    def lost(self, end):
        if (
            custody.INCARNATION_ENDED in end.why
            and self.service.peer_services
            and self.service.peer_services.incarnation == end.incarnation
        ):
            return self.service.life_over("a host refuses it")
        self.service.post(self.service.dispatcher.connection_lost, end.link)
