"""Case 10: a second copy of a miss is taken for the answer of the next attempt."""

import asyncio

from stands.case import run
from stands.clients import Client
from stands.discovery import Bulletin, row
from stands.gateway import Gateway, settings
from stands.hosts import Host, reply

HOSTS = 4
REQUESTS = 8
PATIENCE_MS = 2500
LOAD_S = 0.6
WORK_S = 0.05
SECOND_COPY_S = 0.06  # the page: "some milliseconds late"; no figure is set
HANDSHAKE_PRICE = 0.1  # points for each handshake over first tries, like the other prices


class Worker(Host):
    """A worker that answers "miss" until it is ordered to load; then requests wait for the load."""

    def __init__(self, name, record, case):
        super().__init__(name, record)
        self.case, self.loads, self.runs = case, {}, {}
        self.serve_request, self.serve_load = self.miss_or_run, self.load_copy

    async def miss_or_run(self, execution):
        """Runs the request if a copy stands or loads."""
        load = self.loads.get(execution.fields["item"])
        if load is None:
            execution.answer(b"LACK")
            if self.case.trouble:
                await asyncio.sleep(SECOND_COPY_S)
                execution.answer(b"LACK")
            return
        await asyncio.shield(load)
        self.runs.setdefault(execution.id, []).append(self.name)
        self.record.write(self.name, f"RUNS {execution.id}")
        await asyncio.sleep(WORK_S)
        execution.answer(fields=b"tell=pending,queue_fn=0")

    async def load_copy(self, command_id, item, copies, writer):
        """Loads a copy."""
        if item not in self.loads:
            self.loads[item] = asyncio.ensure_future(asyncio.sleep(LOAD_S))
        await asyncio.shield(self.loads[item])
        writer.write(reply(command_id, b"DONE", b"copies=1"))


async def play(case):
    """Calls functions that are loaded nowhere, in a class that must never run twice."""
    record = case.record
    hosts = [await Worker(f"s-{number}", record, case).open() for number in range(HOSTS)]
    bulletin = await Bulletin(record).open()
    bulletin.tell([row(host) for host in hosts])
    stated = settings()
    stated["requestClasses"] = [
        {"name": "book", "aim": 1500000, "deadline": 3000000, "repeat": "once"}
    ]
    stated["familyInfo"].update(ifCold="miss", loadControl=True)
    stated["prices"]["handshake"] = HANDSHAKE_PRICE
    gateway = Gateway(record, bulletin, stated)
    case.closers.append(gateway.end)
    await gateway.start()
    client = Client("c0", gateway.port, record)
    for number in range(REQUESTS):
        answer = await client.request(
            PATIENCE_MS, request_class="book", function=f"{number * 7919 + 1:016x}"
        )
        await asyncio.sleep(1.0)
        ran = sum(len(host.runs.get(answer.id, ())) for host in hosts)
        if ran > 1:
            case.breaks(f"request {answer.id} of an at-most-once class ran {ran} times")
        if answer.status == 503 and ran:
            case.breaks(f"request {answer.id} was refused as harmless, but it ran")


run(play, __file__)
