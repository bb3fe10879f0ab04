"""A client's connection to one gateway, made anew for as long as the day lasts."""

import asyncio

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.connection_flood import client_tls_context
from cherrydoor.fakes.record import now
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol


class Connection:
    """To one gateway; tried again and again while it is down."""

    def __init__(self, clients, number, address, office, source):
        """source: the address that it comes from ("" for any), and the keys of its TLS ({} for none)."""
        self.clients, self.number, self.end, self.open, self.office = (
            clients,
            number,
            None,
            {},
            office,
        )
        self.host, _, port = address.rpartition(":")
        self.port, self.leaving, self.name, self.incarnation = int(port), False, "", 0
        self.more = {"ssl": client_tls_context(source["keys"])}
        if source["address"]:
            self.more["local_addr"] = (source["address"], 0)

    async def keep(self):
        while True:
            try:
                self.gone, self.begun = asyncio.get_running_loop().create_future(), now()
                await asyncio.get_running_loop().create_connection(
                    lambda: FramedConnection(self, custody.TO_CLIENT, self.hello),
                    self.host,
                    self.port,
                    **self.more,
                )
                await self.gone
            except OSError as error:
                self.failed(str(error))
                await asyncio.sleep(0.1)

    def failed(self, why):
        self.clients.record.add(
            "connect failed",
            peer=f"g{self.number}",
            party=self.office,
            a=now() - self.begun,
            text=why,
        )

    def hello(self):
        return protocol.Hello(protocol.VERSION, "client", f"c{self.number}", now())

    def hello_received(self, end, hello):
        self.end, self.leaving, self.name, self.incarnation = (
            end,
            False,
            hello.name,
            hello.incarnation,
        )
        self.clients.record.add(
            "connected", peer=hello.name, party=self.office, a=now() - self.begun
        )

    def message_received(self, end, message):
        kind = type(message)
        if kind is protocol.Response:
            self.clients.answered(self, message)
        elif kind is custody.ResponseUnknown:
            self.clients.unknown(self, message)
        elif kind is protocol.Draining:
            self.leaving = True
        elif kind is protocol.StreamStarted:
            self.clients.started(self, message)

    def connection_ended(self, end):
        if self.end is end:
            self.end = None
        if (
            end.reader.fault is None
            and end.close_reason.startswith("peer: ")
            and now() - self.begun < 1000
        ):
            self.failed(end.close_reason)
        for one in list(self.open.values()):
            self.clients.cut(self, one)
        if not self.gone.done():
            self.gone.set_result(None)
