"""Gateways as processes, hosts of ours and a list in the test's own loop, a relay on every link between them."""

import asyncio

from fleet import LONGEST, Fleet, until

from cherrydoor.connection import FramedConnection
from cherrydoor.fakes.catalogue import Catalogue
from cherrydoor.fakes.copies import Build
from cherrydoor.fakes.host_pool import Farm
from cherrydoor.fakes.record import now
from cherrydoor.fakes.roll import Roll
from cherrydoor.fakes.store import Store
from cherrydoor.protocol import failover as custody
from cherrydoor.protocol import messages as protocol


class Rows:
    """What hosts record, as dicts."""

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

    def of(self, what, event=None):
        return [row for row in self.rows if row["what"] == what and event in (None, row["event"])]


class Caller:
    """A client: connections by gateway, answers by id."""

    def __init__(self):
        self.ends, self.answers, self.lost_ends, self.ids = {}, {}, [], 0

    async def connect(self, gate):
        host, _, port = gate.door.rpartition(":")
        _, end = await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                self,
                custody.TO_CLIENT,
                lambda: protocol.Hello(protocol.VERSION, "client", "caller", now()),
            ),
            host,
            int(port),
        )
        self.ends[gate.name] = end
        await come(lambda: end.reader.hello)
        return end

    def greeted(self, end, hello):
        pass

    def heard(self, end, message):
        if hasattr(message, "id"):
            self.answers.setdefault(message.id, []).append(message)

    def lost(self, end):
        self.lost_ends.append(end)

    def send(
        self,
        gate,
        clause,
        lasts=3000.0,
        mark="",
        key="secret",
        function="deed-1",
        body=b"body",
        document="",
    ):
        self.ids += 1
        self.ends[gate.name].write(
            protocol.Request(
                self.ids,
                clause,
                function,
                lasts,
                now(),
                "",
                mark or f"m{self.ids}",
                claim_key=key,
                body=body,
                affinity_key=document,
            )
        )
        return self.ids

    def claim(self, gate, taker, event, key="secret", lasts=3000.0):
        self.ids += 1
        hello = self.ends[taker.name].reader.hello
        self.ends[gate.name].write(
            custody.ClaimResponse(self.ids, taker.name, hello.incarnation, event, key, lasts, now())
        )
        return self.ids

    async def answer(self, number):
        await come(lambda: self.answers.get(number))
        return self.answers[number][0]


class Town(Fleet):
    """hosts of one work time in ms; each gateway and each host behind the relay."""

    def __init__(self, folder, gates=5, hosts=3, work=600.0, sites=1, **more):
        super().__init__(folder, gates, **more)
        self.rows, self.count, self.work, self.sites = Rows(), hosts, work, sites

    async def __aenter__(self):
        catalogue = Catalogue(load=(20, 40), work=(self.work, self.work), memory=(100, 100))
        store = await Store(self.rows, catalogue).start()
        self.farm, self.endpoint_watch = (
            Farm(self.rows, catalogue),
            await Roll(self.rows, (1.0, 2.0)).start(),
        )
        await asyncio.get_running_loop().create_connection(
            lambda: FramedConnection(
                self.farm.store,
                protocol.FROM_STORE,
                lambda: protocol.Hello(protocol.VERSION, "host", "farm"),
            ),
            "127.0.0.1",
            store.port,
        )
        self.hosts = []
        for _ in range(self.count):
            real = self.ports.take()
            name = await self.relay.port("h", real)
            host = await self.farm.add(name, Build(eager=False), bind=real)
            host.draw = lambda mean: mean
            self.hosts.append(host)
            self.endpoint_watch.set(
                protocol.Endpoint(
                    host.id, "ready", 0.0, f"floor-{(len(self.hosts) - 1) % self.sites}"
                )
            )
        self.list_at = f"127.0.0.1:{self.endpoint_watch.port}"
        await super().__aenter__()
        await self.together()
        self.caller = Caller()
        for gate in self.gates:
            await self.caller.connect(gate)
            await come(lambda gate=gate: gate.name in self.heard_list())
        return self

    def heard_list(self):
        """Gateways that have read the list."""
        return {row["peer"] for row in self.rows.of("heard")}

    async def entrusted(self, gate):
        """Until all that this gateway has in hand has been told to its witnesses, and what is out is at work."""
        await until(
            lambda: gate.ask(do="custody"),
            lambda said: (
                said and said["in hand"] and not said["untold ms"] and len(said["witnesses"]) == 2
            ),
        )
        return await gate.ask(do="custody")

    def hold(self, on=True):
        """Work at hosts stands, whatever time passes, or goes on; they go on speaking."""
        for host in self.hosts:
            host.slow = 1e9 if on else 1.0
            host.kick()

    async def at_work(self, event):
        await come(lambda: self.rows.of("launch", event))
        await come(
            lambda: any(
                job.launch.request_id == event and job.serial is not None
                for host in self.hosts
                for job in host.jobs.values()
            )
        )

    def heirs(self, owner):
        return [
            line
            for gate in self.gates
            for line in gate.logged("takeover started")
            if f'"owner": "{owner.name}"' in line
        ]


async def come(what):
    end = asyncio.get_running_loop().time() + LONGEST
    while not (found := what()):
        assert asyncio.get_running_loop().time() < end, "never came"
        await asyncio.sleep(0.005)
    return found
