"""A client's connection to one gateway, reopened whenever it is lost until the scenario ends."""

import asyncio

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.connection_flood import client_tls_context
from cherrydoor.fakes.record import now
from cherrydoor.protocol import failover
from cherrydoor.protocol import messages as protocol


class Connection:
    """A connection to one gateway, retried every 100 ms while the gateway can't be reached.

    `framed_connection` is the open framed connection, None while there is none.
    """

    def __init__(self, clients, gateway, address, office, source):
        """Args:
        source: `address`, the local address to connect from ("" for any), and `keys`, the TLS
            key files ({} for none).
        """
        self.clients, self.gateway, self.framed_connection, self.pending, self.office = (
            clients,
            gateway,
            None,
            {},
            office,
        )
        self.host, _, port = address.rpartition(":")
        self.port, self.draining, self.name, self.incarnation = int(port), False, "", 0
        self.options = {"ssl": client_tls_context(source["keys"])}
        if source["address"]:
            self.options["local_addr"] = (source["address"], 0)

    async def maintain(self):
        """Connects, and connects again whenever the connection is closed; runs until cancelled."""
        while True:
            try:
                self.closed, self.started_ms = asyncio.get_running_loop().create_future(), now()
                await asyncio.get_running_loop().create_connection(
                    lambda: FramedConnection(self, failover.TO_CLIENT, self.hello),
                    self.host,
                    self.port,
                    **self.options,
                )
                await self.closed
            except OSError as error:
                self.failed(str(error))
                await asyncio.sleep(0.1)

    def failed(self, reason):
        self.clients.record.add(
            "connect failed",
            peer=f"g{self.gateway}",
            party=self.office,
            a=now() - self.started_ms,
            text=reason,
        )

    def hello(self):
        return protocol.Hello(protocol.VERSION, "client", f"c{self.gateway}", now())

    def hello_received(self, end, hello):
        self.framed_connection, self.draining, self.name, self.incarnation = (
            end,
            False,
            hello.name,
            hello.incarnation,
        )
        self.clients.record.add(
            "connected", peer=hello.name, party=self.office, a=now() - self.started_ms
        )

    def message_received(self, end, message):
        kind = type(message)
        if kind is protocol.Response:
            self.clients.response_received(self, message)
        elif kind is failover.ResponseUnknown:
            self.clients.response_unknown(self, message)
        elif kind is protocol.Draining:
            self.draining = True
        elif kind is protocol.StreamStarted:
            self.clients.stream_started(self, message)

    def connection_ended(self, end):
        if self.framed_connection is end:
            self.framed_connection = None
        if (
            end.reader.fault is None
            and end.close_reason.startswith("peer: ")
            and now() - self.started_ms < 1000
        ):
            self.failed(end.close_reason)
        for request in list(self.pending.values()):
            self.clients.connection_lost(self, request)
        if not self.closed.done():
            self.closed.set_result(None)
