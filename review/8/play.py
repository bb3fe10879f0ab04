"""Case 8: while many hosts of a large fleet are replaced, the gateway answers nobody."""

import asyncio
import os
import time

from stands.case import run
from stands.clients import Client, ask
from stands.discovery import Bulletin, row
from stands.gateway import Gateway, settings
from stands.host_process import HostProcess

HOSTS = 1920  # sixteen times 120; the page: 3,200 at most
PROCESSES = 8  # of the stand-in, with some hosts each
REPLACED = 0.6  # the page: six in ten hosts
WITHIN_S = 7.0  # the page: within 7 s
DRAIN_S = 2.0  # the page: 2 to 6 s from the start of a drain to the end of the process
CALM_S = 3.0
AFTER_S = 12.0
CLIENTS = 10
PAUSE_S = 0.4  # of a client between two requests
PATIENCE_MS = 2000  # the page: 50 to 100% of the max age of 2.5 s
LATE_S = 0.55  # up to 0.5 s after its time an answer only earns nothing; limits are 50 ms longer


class Listed:
    """A host as the list names it."""

    def __init__(self, name, port, process):
        self.name, self.port, self.process = name, port, process


class Fleet:
    """The hosts of the list; each listens on a port of its own, which a successor takes over."""

    def __init__(self, case, bulletin):
        self.case, self.bulletin = case, bulletin
        self.hosts = []

    async def open(self):
        """Opens all hosts and tells the whole list in one event."""
        for first in range(0, HOSTS, HOSTS // PROCESSES):
            process = HostProcess(self.case.record)
            self.case.closers.append(process.end)
            names = [f"s-{number:08x}" for number in range(first, first + HOSTS // PROCESSES)]
            for name, port in zip(names, await process.start(names), strict=True):
                self.hosts.append(Listed(name, port, process))
        self.bulletin.tell([row(host, cell=index // 5) for index, host in enumerate(self.hosts)])

    async def replace(self, index):
        """Replaces one host: it drains, ends, and its successor starts at its address."""
        old = self.hosts[index]
        self.bulletin.tell([row(old, "terminating", cell=index // 5)])
        await asyncio.sleep(DRAIN_S)
        new = Listed(f"t-{index:08x}", old.port, old.process)
        await old.process.replace(old.name, new.name)
        self.bulletin.tell([row(old, "terminated", cell=index // 5)])
        self.hosts[index] = new
        started_at_ms = int(time.time() * 1000)
        self.bulletin.tell([row(new, started_at_ms=started_at_ms, cell=index // 5)])

    async def replace_many(self):
        """Replaces six in ten hosts, evenly within the time."""
        count = int(HOSTS * REPLACED)
        interval_s = (WITHIN_S - DRAIN_S) / count
        begun_s = asyncio.get_running_loop().time()
        tasks = []
        for number in range(count):
            index = number * 7 % HOSTS
            tasks.append(asyncio.ensure_future(self.replace(index)))
            ahead_s = begun_s + (number + 1) * interval_s - asyncio.get_running_loop().time()
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
        await asyncio.gather(*tasks)
        took_s = asyncio.get_running_loop().time() - begun_s
        self.case.record.write("case", f"{count} hosts are replaced, within {took_s:.1f} s")


async def calls(case, gateway, number, until_s):
    """One client's requests, one after another on its connection."""
    client = Client(f"c{number}", gateway.port, case.record)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(number * PAUSE_S / CLIENTS)
    while loop.time() < until_s:
        answer = await client.request(PATIENCE_MS, LATE_S, function=f"{number * 7919 + 1:016x}")
        if answer.status in (None, 0):
            case.breaks(
                f"{client.name}: request {answer.id} has no answer {answer.took_s:.1f} s after it "
                f"was sent, with a patience of {PATIENCE_MS / 1000:.1f} s ({answer.why})"
            )
        await asyncio.sleep(PAUSE_S)


async def pings(case, gateway, until_s):
    """Asks every two seconds whether the gateway is ready, and how much of a core it has used."""
    while asyncio.get_running_loop().time() < until_s:
        answer = await ask(gateway.port, b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n", 1.5)
        with open(f"/proc/{gateway.process.pid}/stat") as file:
            ticks = sum(map(int, file.read().rpartition(")")[2].split()[11:13]))
        seconds = ticks / os.sysconf("SC_CLK_TCK")
        case.record.write("ping", f"{answer}; core seconds so far: {seconds:.1f}")
        await asyncio.sleep(0.5)


async def play(case):
    """Replaces six in ten hosts while a few clients call."""
    bulletin = await Bulletin(case.record).open()
    fleet = Fleet(case, bulletin)
    await fleet.open()
    gateway = Gateway(case.record, bulletin, settings(), sockets=1024)
    case.closers.append(gateway.end)
    await gateway.start()
    until_s = asyncio.get_running_loop().time() + CALM_S + WITHIN_S + AFTER_S
    clients = [
        asyncio.ensure_future(calls(case, gateway, number, until_s)) for number in range(CLIENTS)
    ]
    clients.append(asyncio.ensure_future(pings(case, gateway, until_s)))
    await asyncio.sleep(CALM_S)
    if case.trouble:
        await fleet.replace_many()
    await asyncio.gather(*clients)


run(play, __file__)
