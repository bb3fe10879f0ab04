"""Gateways as processes, fake hosts in the test's event loop, and proxies between them."""

import asyncio

from fleet import WAIT_TIMEOUT_S, Fleet, until

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.catalogue import Catalogue
from cherrydoor.fakes.copies import HostSpec
from cherrydoor.fakes.endpoint_list import EndpointListServer
from cherrydoor.fakes.host_pool import HostPool
from cherrydoor.fakes.record import now
from cherrydoor.fakes.store import Store
from cherrydoor.protocol import failover
from cherrydoor.protocol import messages as protocol

POLL_INTERVAL_S = 0.005
PAUSED_SLOWDOWN_FACTOR = 1e9  # factor by which work at hosts is slowed while it is paused


class RecordedRows:
    """The events that hosts record, one dict each."""

    def __init__(self):
        self.rows = []

    def add(self, what, who="", peer="", id=0, event=0, number=0, *more, **named):
        self.rows.append(
            {
                "what": what,
                "who": who,
                "peer": peer,
                "id": id,
                "event": event,
                "number": number,
                **named,
            }
        )

    def of(self, what, request_id=None):
        """Return the rows of a kind, for one request or for all."""
        return [
            row for row in self.rows if row["what"] == what and request_id in (None, row["event"])
        ]


class FleetClient:
    """A client of all gateways. Keeps connections by gateway name and messages by id."""

    def __init__(self):
        self.ends = {}
        self.answers = {}
        self.lost_ends = []
        self.last_id = 0

    async def connect(self, gate):
        host, _, port = gate.door.rpartition(":")
        _, end = await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                self,
                failover.TO_CLIENT,
                lambda: protocol.Hello(protocol.VERSION, "client", "caller", now()),
            ),
            host,
            int(port),
        )
        self.ends[gate.name] = end
        await eventually(lambda: end.reader.hello)
        return end

    # ---- called by its connections
    def hello_received(self, end, hello):
        pass

    def message_received(self, end, message):
        if hasattr(message, "id"):
            self.answers.setdefault(message.id, []).append(message)

    def connection_ended(self, end):
        self.lost_ends.append(end)

    # ---- called by tests
    def send(
        self,
        gate,
        request_class,
        timeout_ms=3000.0,
        idempotency_key="",
        claim_key="secret",
        function="deed-1",
        body=b"body",
        document="",
    ):
        """Send a request, and return its id."""
        self.last_id += 1
        self.ends[gate.name].write(
            protocol.Request(
                self.last_id,
                request_class,
                function,
                timeout_ms,
                now(),
                "",
                idempotency_key or f"m{self.last_id}",
                claim_key=claim_key,
                body=body,
                affinity_key=document,
            )
        )
        return self.last_id

    def claim(self, gate, owner, request_id, claim_key="secret", timeout_ms=3000.0):
        """Claim at `gate` the response to a request sent to `owner`; return the claim's id."""
        self.last_id += 1
        incarnation = self.ends[owner.name].reader.hello.incarnation
        self.ends[gate.name].write(
            failover.ClaimResponse(
                self.last_id, owner.name, incarnation, request_id, claim_key, timeout_ms, now()
            )
        )
        return self.last_id

    async def answer(self, message_id):
        """Return the first message received with an id."""
        await eventually(lambda: self.answers.get(message_id))
        return self.answers[message_id][0]


class FailoverPlatform(Fleet):
    """Gateways, hosts and an endpoint list, with each gateway and each host behind a proxy.

    Each request runs for `work` ms at its host. The hosts are spread over `sites` zones.
    """

    def __init__(self, folder, gates=5, hosts=3, work=600.0, sites=1, **more):
        super().__init__(folder, gates, **more)
        self.rows = RecordedRows()
        self.host_count = hosts
        self.work_ms = work
        self.zone_count = sites
        self.hosts = []
        self.caller = FleetClient()

    async def __aenter__(self):
        catalogue = Catalogue(load=(20, 40), work=(self.work_ms, self.work_ms), memory=(100, 100))
        store = await Store(self.rows, catalogue).start()
        self.host_pool = HostPool(self.rows, catalogue)
        self.endpoint_watch = await EndpointListServer(self.rows, (1.0, 2.0)).start()
        await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                self.host_pool.store,
                protocol.FROM_STORE,
                lambda: protocol.Hello(protocol.VERSION, "host", "farm"),
            ),
            "127.0.0.1",
            store.port,
        )
        for _ in range(self.host_count):
            await self.add_host()
        self.list_at = f"127.0.0.1:{self.endpoint_watch.port}"
        await super().__aenter__()
        await self.wait_until_all_alive()
        for gate in self.gates:
            await self.caller.connect(gate)
            await eventually(lambda gate=gate: gate.name in self.gateways_with_endpoints())
        return self

    async def add_host(self):
        address = self.ports.take()
        name = await self.proxy.port("h", address)
        host = await self.host_pool.add(name, HostSpec(eager=False), bind=address)
        host.draw_work_ms = lambda mean: mean
        zone = f"floor-{len(self.hosts) % self.zone_count}"
        self.hosts.append(host)
        self.endpoint_watch.set_endpoint(protocol.Endpoint(host.id, "ready", 0.0, zone))

    def gateways_with_endpoints(self):
        """Return the names of the gateways that have read the endpoint list."""
        return {row["peer"] for row in self.rows.of("heard")}

    async def until_replicated(self, gate):
        """Wait until both replicas of a gateway hold all of its requests in flight."""
        await until(
            lambda: gate.ask(do="custody"),
            lambda table: (
                table
                and table["in hand"]
                and not table["untold ms"]
                and len(table["witnesses"]) == 2
            ),
        )

    def pause_work(self):
        """Stop all running work at the hosts, which still answer messages."""
        self._set_slowdown(PAUSED_SLOWDOWN_FACTOR)

    def resume_work(self):
        self._set_slowdown(1.0)

    def _set_slowdown(self, factor):
        for host in self.hosts:
            host.slowdown = factor
            host.reschedule()

    async def until_running(self, request_id):
        """Wait until an attempt of a request runs at a host."""
        await eventually(lambda: self.rows.of("launch", request_id))
        await eventually(
            lambda: any(
                job.attempt.request_id == request_id and job.serial is not None
                for host in self.hosts
                for job in host.running_attempts.values()
            )
        )

    def takeovers_of(self, owner):
        """Return the gateways' log lines of takeovers of a gateway's in-flight set."""
        return [
            line
            for gate in self.gates
            for line in gate.logged("takeover started")
            if f'"owner": "{owner.name}"' in line
        ]


async def eventually(condition):
    """Wait until a condition returns a true value, and return that value."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_TIMEOUT_S
    while not (found := condition()):
        assert loop.time() < deadline, "condition not met in time"
        await asyncio.sleep(POLL_INTERVAL_S)
    return found
