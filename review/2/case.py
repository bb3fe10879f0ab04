"""The bulletin falls silent: is a drain kept from the time at which it counts as told?

During its silence the bulletin accepts connections and answers the head of each request, and then
tells nothing: no event and no comment.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import Bulletin, Client, Host, play, settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 0.5
SLACK_S = 0.05  # the protocol page adds it to each time limit
TOLD_AFTER_S = 4.0  # from the start of a silence, the protocol page's latest time
SILENCE_S = 16.0
WRAPPING_UP_S = 6.0  # from "terminating" to the end; the page: a drain takes 2 to 6 s
DRAIN_AFTER_S = 2.0  # from the start of the silence
SERVICE_S = 0.3
CLIENTS = 24
CLASSES = [{"name": "booking-write", "aim": 1500000, "deadline": 3000000, "repeat": "once"}]
FUNCTIONS = [f"{0x7F3A9C21E0B40000 + number * 7919:016x}" for number in range(40)]


async def run_case(case):
    hosts = [await Host(case.record, f"s-{n}", SERVICE_S).open() for n in range(4)]
    bulletin = await Bulletin(case.record, hosts).open()
    case.write_configuration(
        bulletin, settings(rules={"drainGrace": int(GRACE_S * 1e6)}, requestClasses=CLASSES)
    )
    await case.start_gateway()
    stop = asyncio.Event()
    statuses = {}

    async def send(number):
        client = await Client(case, f"client-{number}").open()
        turn = number
        while not stop.is_set():
            if client.writer is None:
                await client.open()
            request, _ = client.send("booking-write", FUNCTIONS[turn % len(FUNCTIONS)], 2000)
            turn += 1
            answer = await client.answer(3.0)
            statuses[request] = answer.status if answer else "none"
            await asyncio.sleep(0.02)
        client.close()

    clients = [asyncio.create_task(send(number)) for number in range(CLIENTS)]
    await asyncio.sleep(4.0)
    silent_from_s = case.record.now()
    if case.trouble:
        case.record.write(
            "bulletin", "falls silent; it accepts connections and answers their heads"
        )
        bulletin.silent = True
    await asyncio.sleep(DRAIN_AFTER_S)
    draining = hosts[1]
    draining.draining = True
    drained_s = bulletin.publish((draining, "terminating"))
    told_s = max(drained_s, silent_from_s + TOLD_AFTER_S) if case.trouble else drained_s
    limit_s = told_s + GRACE_S + SLACK_S
    case.record.write("case", f"{draining.name} counts as told to drain at {told_s:.3f}")
    case.record.write("case", f"nothing new may go to it after {limit_s:.3f}")
    await asyncio.sleep(WRAPPING_UP_S)
    draining.end()
    ended_s = bulletin.publish((draining, "terminated"))
    await asyncio.sleep(SILENCE_S - DRAIN_AFTER_S - WRAPPING_UP_S)
    bulletin.speak_again()
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*clients)
    arrivals = [(one.at_s, f"request {one.request}") for one in draining.executed]
    arrivals += [(at_s, f"load order {fields.decode()}") for at_s, fields in draining.orders]
    late = [arrived for arrived in arrivals if arrived[0] > limit_s]
    died = [
        one.request
        for one in draining.executed
        if ended_s - SERVICE_S <= one.at_s <= ended_s and statuses[one.request] == 502
    ]
    case.record.conclude(f"requests that died with the draining host, answered 502: {len(died)}")
    total = sum(len(host.executed) for host in hosts)
    case.record.write("case", f"{len(late)} of {total} sends went to the draining host too late")
    return [
        f"drain: sent to {draining.name} {arrived[0] - limit_s:.3f} s too late: {arrived[1]}"
        for arrived in sorted(late)
    ]


play(FOLDER, run_case, TROUBLE)
