"""Case 7: in an outage of discovery, a keyed request is repeated outside the cell that knows it."""

import asyncio
import time

from stands.case import run
from stands.clients import Client
from stands.discovery import Bulletin, row
from stands.gateway import Gateway, settings
from stands.hosts import Host

# Eight hosts in cells of three; the last cell gets its third host by the replacement.
CELLS = {"s-a": 1, "s-b": 1, "s-c": 1, "s-d": 2, "s-e": 2, "s-f": 2, "s-g": 3, "s-h": 3}
REPLACED, BAD = "s-c", "s-b"  # the page: one of eight hosts is bad
SUCCESSOR, SUCCESSOR_CELL = "s-z", 3
WARM_UP_S = 2.5
OUTAGE_S = 8.0  # the page: discovery is down for 8 s
REPLACED_AFTER_S = 1.0  # after the outage began
DOWN_S = 0.4  # between the end of the old host and the start of its successor
TOLD_AFTER_S = 4.0  # what discovery would have told counts as told by then
GRACE_S = 0.25 + 0.05  # drain grace of the site, and the slack on sockets
PATIENCE_MS = 2500
PAUSE_S = 0.08


def stated():
    """Returns the settings of `turnos-donantes`, as far as a gateway reads them."""
    found = settings()
    found["tenants"] = []
    found["requestClasses"] = [
        {"name": "slot-query", "aim": 800000, "deadline": 3000000, "repeat": "repeatable"},
        {
            "name": "booking-write",
            "aim": 1200000,
            "deadline": 3000000,
            "repeat": "by_key",
            "dedupScope": "cell",
            "dedupWindow": 6000000,
        },
    ]
    found["rules"] = {
        "coldFrom": 0.17,
        "cold": 17000000,
        "overloadFactor": 2.0,
        "fall": 3000000,
        "drainGrace": 250000,
    }
    found["familyInfo"].update(saysWarm=False, saysCompany=False, lingerIdle=8500000)
    return found


class Runner(Host):
    """A runner; those of one cell drop a repeat of what one of them has run."""

    resetting = False  # whether it resets the connection under each request that it has run

    def __init__(self, name, record, cell, seen):
        super().__init__(name, record)
        self.cell, self.seen = cell, seen
        self.serve_request = self.run_once_in_cell

    async def run_once_in_cell(self, execution):
        """Runs the request unless the cell has run it; answers, or resets the connection."""
        await asyncio.sleep(0.15)
        mark = execution.fields.get("nonce")
        if mark not in self.seen.setdefault(self.cell, {}):
            self.seen[self.cell][mark] = self.name
            self.record.write(
                self.name, f"RUNS {execution.id} with mark {mark} in cell {self.cell}"
            )
        if self.resetting:
            self.record.write(self.name, f"resets the connection under {execution.id}")
            execution.writer.transport.abort()
        else:
            execution.answer(fields=b"meter=inflight:0;x0:0.2;x1:0")


async def replace(case, bulletin, hosts, seen):
    """One host ends, and a new host of another cell starts at its address."""
    old = hosts.pop(REPLACED)
    old.reset()
    case.record.write(REPLACED, "has ended for good")
    bulletin.tell([row(old, "terminated", cell=1)])
    await asyncio.sleep(DOWN_S)
    new = Runner(SUCCESSOR, case.record, SUCCESSOR_CELL, seen)
    await new.open(old.port)
    hosts[SUCCESSOR] = new
    bulletin.tell([row(new, started_at_ms=int(time.time() * 1000), cell=SUCCESSOR_CELL)])


async def calls(client, until_s, number=0):
    """Calls many functions, so that each host gets some; each call carries a mark of its own."""
    while asyncio.get_running_loop().time() < until_s:
        number += 1
        mark = f"mark-{client.name}-{number}"
        await client.request(
            PATIENCE_MS,
            function=f"{number % 40 * 104729 + 1:016x}",
            request_class="booking-write",
            more=[f"X-Dedupe-Key: {mark}"],
        )
        await asyncio.sleep(PAUSE_S)


async def play(case):
    """Replaces a host, with or without an outage of discovery, and resets connections of another."""
    loop, record = asyncio.get_running_loop(), case.record
    seen = {}
    hosts = {name: await Runner(name, record, cell, seen).open() for name, cell in CELLS.items()}
    bulletin = await Bulletin(record).open()
    bulletin.tell([row(host, cell=host.cell) for host in hosts.values()])
    gateway = Gateway(record, bulletin, stated())
    case.closers.append(gateway.end)
    await gateway.start()
    begun_s = loop.time() + WARM_UP_S
    clients = [Client(f"c{number}", gateway.port, record) for number in range(3)]
    tasks = [asyncio.ensure_future(calls(client, begun_s + OUTAGE_S)) for client in clients]
    await asyncio.sleep(WARM_UP_S)
    if case.trouble:
        record.write("bulletin", "breaks off, and accepts no connection")
        bulletin.pause()
    await asyncio.sleep(REPLACED_AFTER_S)
    await replace(case, bulletin, hosts, seen)
    await asyncio.sleep(begun_s + TOLD_AFTER_S + GRACE_S + 0.2 - loop.time())
    hosts[BAD].resetting = True
    await asyncio.gather(*tasks)
    if case.trouble:
        await bulletin.resume()
    for mark in {mark for marks in seen.values() for mark in marks}:
        ran = [f"{marks[mark]} (cell {cell})" for cell, marks in seen.items() if mark in marks]
        if len(ran) > 1:
            case.breaks(f"the keyed request with {mark} was applied twice: at {' and '.join(ran)}")


run(play, __file__)
