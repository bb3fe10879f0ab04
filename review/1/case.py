"""Six in ten hosts are replaced: is an at-most-once request ever refused while a host runs it?"""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import Bulletin, Client, Host, play, settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SOCKETS = 256  # the least of the scored days
CLIENTS = 85  # clients hold at most a third of the descriptor limit
HOSTS = 120
REPLACED = 72  # six in ten
REPLACED_WITHIN_S = 6.0  # the page: within 7 s
WRAPPING_UP_S = 6.0  # from "terminating" to "terminated"; the page: a drain takes 2 to 6 s
QUIET_S = 6.0
AFTER_S = 10.0
SERVICE_S = 0.5  # 85 clients, one request at a time: 170 requests a second
PATIENCE_MS = 2500
FUNCTIONS = [f"{0x7F3A9C21E0B40000 + number * 7919:016x}" for number in range(600)]
CLASSES = [{"name": "booking-write", "aim": 1500000, "deadline": 3000000, "repeat": "once"}]


async def open_host(case, number):
    host = Host(case.record, f"s-{number:03d}", SERVICE_S)
    return await host.open(f"127.0.{number // 100 + 1}.{number % 100 + 1}")


async def replace(case, bulletin, hosts, old):
    """Replaces one host: a new one is in service, the old one wraps up its work and then ends."""
    new = await open_host(case, len(hosts))
    hosts.append(new)
    bulletin.hosts.append(new)
    new.started_at_ms = case.unix_ms()
    old.draining = True
    bulletin.publish((new, "in_service"), (old, "terminating"))
    await asyncio.sleep(WRAPPING_UP_S)
    old.end()
    bulletin.publish((old, "terminated"))


async def send(case, number, stop, answers):
    """One client: a booking at a time; one that was refused is sent again under a new id."""
    rng = random.Random(number)
    client = Client(case, f"client-{number}")
    booking = None
    turn = 0
    while not stop.is_set():
        if client.writer is None:
            try:
                async with asyncio.timeout(1.0):
                    await client.open()
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
        if booking is None:
            turn += 1
            booking = f"booking-{number}-{turn}"
        request, _ = client.send(
            "booking-write", rng.choice(FUNCTIONS), PATIENCE_MS, booking.encode()
        )
        answer = await client.answer(PATIENCE_MS / 1000 + 0.5)
        answers[request] = (booking, answer)
        if answer is not None and answer.status in (429, 503):
            wait_ms = int(answer.fields.get("x-come-back-ms", 0))
            await asyncio.sleep(min(wait_ms, 1000) / 1000 + rng.uniform(0.05, 0.2))
        else:
            booking = None
    client.close()


async def run_case(case):
    hosts = [await open_host(case, number) for number in range(HOSTS)]
    bulletin = await Bulletin(case.record, list(hosts)).open()
    case.write_configuration(bulletin, settings(requestClasses=CLASSES), sockets=SOCKETS)
    await case.start_gateway()
    stop = asyncio.Event()
    answers = {}
    clients = [asyncio.create_task(send(case, n, stop, answers)) for n in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    replacements = []
    for old in hosts[:REPLACED]:
        if case.trouble:
            replacements.append(asyncio.create_task(replace(case, bulletin, hosts, old)))
        await asyncio.sleep(REPLACED_WITHIN_S / REPLACED)
    await asyncio.sleep(AFTER_S)
    stop.set()
    await asyncio.gather(*clients, *replacements)
    statuses = {}
    for _, answer in answers.values():
        status = answer.status if answer else "none"
        statuses[status] = statuses.get(status, 0) + 1
    case.record.conclude(f"answers by status: {statuses}")
    runs = {}
    for host in hosts:
        for one in host.executed:
            runs.setdefault(one.request, []).append(one)
    runs_of_booking = {}
    for request, executions in runs.items():
        runs_of_booking.setdefault(answers[request][0], []).extend(executions)
    twice = sum(len(found) > 1 for found in runs_of_booking.values())
    case.record.conclude(f"bookings that were run more than once: {twice}")
    return [
        f"duplicate: {request} ({booking}) was refused at {answer.at_s:.3f}, though "
        f"{runs[request][0].host} runs it since {runs[request][0].at_s:.3f}; "
        f"{booking} was run {len(runs_of_booking[booking])} times"
        for request, (booking, answer) in answers.items()
        if answer is not None and answer.status in (429, 503) and request in runs
        # Earlier launches alone: one that began before the refusal.
        if runs[request][0].at_s < answer.at_s
    ]


play(FOLDER, run_case, TROUBLE)
