"""Case 6: a new host has the address of one whose end is told late; repeats leave the cell."""

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
DOWN_S = 0.4  # between the end of the old host and the start of its successor
ADDED_S = 0.6  # the site: a new host is listed after 0.59 to 2.4 s
NOTICED_S = 4.5  # the site: an end is noticed after 1.1 to 4.6 s
BAD_FROM_S = 1.5  # after the end of the old host; the successor is told of by then
BAD_FOR_S = 2.8
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
    """A host ends, and a new host of another cell starts at its address.

    The end is told when it is noticed: late, or without the disruption before the new host is.
    """
    old = hosts.pop(REPLACED)
    old.reset()
    case.record.write(REPLACED, "has ended for good")
    gone = row(old, "terminated", cell=1)
    await asyncio.sleep(DOWN_S)
    new = Runner(SUCCESSOR, case.record, SUCCESSOR_CELL, seen)
    await new.open(old.port)
    hosts[SUCCESSOR] = new
    started_at_ms = int(time.time() * 1000)
    if not case.trouble:
        bulletin.tell([gone])
    await asyncio.sleep(ADDED_S)
    bulletin.tell([row(new, started_at_ms=started_at_ms, cell=SUCCESSOR_CELL)])
    await asyncio.sleep(NOTICED_S - DOWN_S - ADDED_S)
    if case.trouble:
        bulletin.tell([gone])


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
    """Replaces a host, whose end is told late or in time, and resets connections of another."""
    loop, record = asyncio.get_running_loop(), case.record
    seen = {}
    hosts = {name: await Runner(name, record, cell, seen).open() for name, cell in CELLS.items()}
    bulletin = await Bulletin(record).open()
    bulletin.tell([row(host, cell=host.cell) for host in hosts.values()])
    gateway = Gateway(record, bulletin, stated())
    case.closers.append(gateway.end)
    await gateway.start()
    begun_s = loop.time() + WARM_UP_S
    until_s = begun_s + BAD_FROM_S + BAD_FOR_S
    clients = [Client(f"c{number}", gateway.port, record) for number in range(3)]
    tasks = [asyncio.ensure_future(calls(client, until_s)) for client in clients]
    await asyncio.sleep(WARM_UP_S)
    tasks.append(asyncio.ensure_future(replace(case, bulletin, hosts, seen)))
    await asyncio.sleep(BAD_FROM_S)
    hosts[BAD].resetting = True
    await asyncio.gather(*tasks)
    for mark in {mark for marks in seen.values() for mark in marks}:
        ran = [f"{marks[mark]} (cell {cell})" for cell, marks in seen.items() if mark in marks]
        if len(ran) > 1:
            case.breaks(f"the keyed request with {mark} was applied twice: at {' and '.join(ran)}")


run(play, __file__)
