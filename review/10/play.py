"""Case 10: the warm-up budget counts requests, not work, and a cold host is pushed over."""

import asyncio
import random
import time
from collections import deque
from hashlib import sha1
from math import sqrt

from stands.case import run
from stands.clients import Client
from stands.discovery import Bulletin, row
from stands.gateway import Gateway, settings
from stands.hosts import Host

NAMES = ("s-a", "s-b", "s-c", "s-d")
GATEWAYS = 10
CORES = 8
WORK_S = {"lookup": 0.01, "redraft": 0.7}
PER_SECOND = {"lookup": 200.0, "redraft": 11.4}
FUNCTIONS = {"lookup": 12, "redraft": 8}
LOAD_S = 0.4
COLD_FROM, COLD_S = 0.17, 17.0  # the site: 17% of its capacity or more, warm within 17 s
MULTIPLE, WINDOW_S = 2.0, 3.0  # the site: more than 2 times what it can do, for 3 s
PATIENCE_MS = 8000
WARM_UP_S = 14.0
DOWN_S = 1.2  # the page: 1.1 to 3.6 s
AFTER_S = 8.0
MEAN_WORK_S = sum(WORK_S[name] * PER_SECOND[name] for name in WORK_S) / sum(PER_SECOND.values())


def functions(request_class):
    """Returns functions with their homes: "redraft" at the first host, "lookup" at the others."""
    found = []
    number = 0
    while len(found) < FUNCTIONS[request_class]:
        number += 1
        name = f"{number * 104729:016x}"
        position = int.from_bytes(sha1(name.encode()).digest()[:8], "big") / 2.0**64 * len(NAMES)
        at_first = position < 0.2  # a part of its range that a cold host owns from its start
        if at_first if request_class == "redraft" else position >= 1:
            found.append(name)
    return found


class Worker(Host):
    """A worker with cores, which starts cold and falls over when it is sent too much.

    Attributes:
        started_s: When it started cold; None if it ran before.
        fallen: Whether it has fallen over, for good.
    """

    def __init__(self, name, case):
        super().__init__(name, case.record)
        self.case, self.started_s, self.fallen = case, None, False
        self.free, self.queue, self.loads = CORES, deque(), {}
        self.sent = deque()  # (time, units of mean work) of what came within the window
        self.serve_request = self.take

    def level(self):
        """Returns the share of its capacity that it has now."""
        if self.started_s is None:
            return 1.0
        age_s = time.monotonic() - self.started_s
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * age_s / COLD_S)

    def weigh(self, execution):
        """Counts what it was sent within the window; a cold worker may fall over."""
        now_s = time.monotonic()
        self.sent.append((now_s, WORK_S[execution.fields["cls"]] / MEAN_WORK_S))
        while self.sent[0][0] <= now_s - WINDOW_S:
            self.sent.popleft()
        level = self.level()
        if level >= 1.0 or self.fallen:
            return
        allowed = MULTIPLE * level * CORES / MEAN_WORK_S * WINDOW_S
        slack = 2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3
        units = sum(amount for _, amount in self.sent)
        self.record.write(self.name, f"cold: level {level:.2f}, {units:.0f} of {allowed:.0f} units")
        if units > allowed + slack:
            self.fallen = True
            self.case.breaks(
                f"{self.name}, {now_s - self.started_s:.1f} s after its start, was sent "
                f"{units:.0f} requests of mean work within {WINDOW_S:.0f} s; the settings allow "
                f"{allowed:.0f}, and {slack:.0f} for chance; it falls over and stays down"
            )
            self.reset()

    async def take(self, execution):
        """Loads the function if need be, waits for a core, works, answers."""
        self.weigh(execution)
        item = execution.fields["item"]
        tell = b"tell=hit,queue_fn=0"
        if item not in self.loads:
            tell = b"tell=spawn,queue_fn=0"
            self.loads[item] = self.start(asyncio.sleep(LOAD_S))
        elif not self.loads[item].done():
            tell = b"tell=pending,queue_fn=0"
        await asyncio.shield(self.loads[item])
        if not self.free:
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        else:
            self.free -= 1
        await asyncio.sleep(WORK_S[execution.fields["cls"]] / self.level())
        execution.answer(fields=tell)
        if self.queue:
            self.queue.popleft().set_result(None)
        else:
            self.free += 1


def stated(me):
    """Returns the settings: a quick class and a heavy one, both with much time."""
    found = settings()
    found.update(instances=GATEWAYS, me=me, tenants=[])
    found["requestClasses"] = [
        {"name": "lookup", "aim": 2000000, "deadline": 8000000, "repeat": "repeatable"},
        {"name": "redraft", "aim": 8000000, "deadline": 8000000, "repeat": "repeatable"},
    ]
    found["rules"].update(
        coldFrom=COLD_FROM,
        cold=int(COLD_S * 1e6),
        overloadFactor=MULTIPLE,
        fall=int(WINDOW_S * 1e6),
    )
    return found


async def arrivals(case, gateway, request_class, chance, until_s):
    """Sends requests of one class to one gateway, at random times."""
    loop, idle, tasks = asyncio.get_running_loop(), [], set()
    names = functions(request_class)

    async def one(number):
        client = idle.pop() if idle else Client(f"{gateway.name}-client", gateway.port, case.record)
        await client.request(
            PATIENCE_MS, function=names[number % len(names)], request_class=request_class
        )
        idle.append(client)

    number = chance.randrange(len(names))
    at_s = loop.time()
    while at_s < until_s:
        at_s += chance.expovariate(PER_SECOND[request_class] / GATEWAYS)
        await asyncio.sleep(max(0.0, at_s - loop.time()))
        number += 1
        task = asyncio.ensure_future(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.wait(tasks)


async def play(case):
    """One worker dies and comes back cold, while the load stays as it was."""
    loop = asyncio.get_running_loop()
    hosts = [await Worker(name, case).open() for name in NAMES]
    bulletin = await Bulletin(case.record).open()
    bulletin.tell([row(host) for host in hosts])
    gateways = [Gateway(case.record, bulletin, stated(me), f"n{me}") for me in range(GATEWAYS)]
    for gateway in gateways:
        case.closers.append(gateway.end)
        await gateway.start()
    until_s = loop.time() + WARM_UP_S + AFTER_S
    chance = random.Random(58)
    tasks = [
        asyncio.ensure_future(arrivals(case, gateway, request_class, chance, until_s))
        for gateway in gateways
        for request_class in WORK_S
    ]
    await asyncio.sleep(WARM_UP_S)
    if case.trouble:
        first, port = hosts[0], hosts[0].port
        case.record.write(first.name, "dies")
        first.reset()
        await asyncio.sleep(DOWN_S)
        again = Worker(first.name, case)
        again.started_s = time.monotonic()
        await again.open(port)
        bulletin.tell([row(again, started_at_ms=int(time.time() * 1000))])
    await asyncio.gather(*tasks)


run(play, __file__)
