"""Clients that send at full speed delay no other client; the gateway is a process of its own."""

import asyncio
import functools
import random
import sys
from pathlib import Path

import pytest
from platform_harness import TEST_TIMEOUT_S, with_harness

PATIENCE_MS = 500
SLACK_MS = 50  # of the protocol page, for each time limit
REQUESTS_PER_S = 60
FLOOD_S = 3.0
FLOODING_CLIENT = Path(__file__).with_name("flooding_client.py")


class UsualClients:
    """Clients with one request at a time on a connection; each request is sent when it is due.

    Attributes:
        took_ms: How long each answer took, from when the request was due.
        unanswered: Requests whose connection was closed without an answer.
    """

    def __init__(self, harness):
        self.harness, self.idle, self.took_ms, self.unanswered = harness, [], [], 0

    async def request(self):
        loop = asyncio.get_running_loop()
        sent_at_s = loop.time()
        client = self.idle.pop() if self.idle else await self.harness.client()
        client.call(timeout_ms=str(PATIENCE_MS), function=f"{random.randrange(4):016x}")
        answer = await client.answer()
        self.took_ms.append((loop.time() - sent_at_s) * 1000)
        if answer is None:
            self.unanswered += 1
        else:
            self.idle.append(client)

    async def send_for(self, seconds):
        """Sends requests at a constant rate, whether or not those before have their answers."""
        async with asyncio.timeout(2 * TEST_TIMEOUT_S), asyncio.TaskGroup() as requests:
            for _ in range(int(seconds * REQUESTS_PER_S)):
                requests.create_task(self.request())
                await asyncio.sleep(1 / REQUESTS_PER_S)


async def answer_usual_clients_beside(harness, manner, kind, connections):
    """Asserts that usual clients get every answer in time, from before the flood until after it."""
    await harness.start(hosts=("a", "b"))
    usual = UsualClients(harness)
    await usual.send_for(0.5)
    flood = await asyncio.create_subprocess_exec(
        *(sys.executable, FLOODING_CLIENT, str(harness.port)),
        *(manner, kind, str(connections), str(FLOOD_S)),
    )
    try:
        await usual.send_for(FLOOD_S + 1.0)
    finally:
        if flood.returncode is None:
            flood.kill()
        await flood.wait()
    late = sorted(round(took) for took in usual.took_ms if took > PATIENCE_MS + SLACK_MS)
    assert not usual.unanswered and not late, (len(late), len(usual.took_ms), late[-5:])


def flood_test(manner, kind, connections):
    """Returns the test that plays this flood."""
    play = functools.partial(
        answer_usual_clients_beside, manner=manner, kind=kind, connections=connections
    )
    functools.update_wrapper(play, answer_usual_clients_beside)
    return with_harness(play)


# Guards against probes that are answered within the read that brings them, so that one read of
# many makes a pass of the event loop as long as the client likes.
@pytest.mark.parametrize("connections", [1, 6])
def test_usual_requests_are_in_time_while_clients_send_probes_without_waiting(
    tmp_path, connections
):
    flood_test("unread", "probes", connections)(tmp_path)


@pytest.mark.parametrize(
    ("manner", "kind", "connections"),
    [
        ("single", "probes", 40),
        ("batches", "probes", 6),
        ("batches", "requests without time", 20),
        ("batches", "requests of new functions", 20),
        ("unread", "requests of new functions", 6),
        ("unread", "requests with one id", 6),
        ("single", "requests of unknown classes", 20),
        ("unread", "unreadable heads", 20),
    ],
)
def test_usual_requests_are_in_time_beside_a_flood(tmp_path, manner, kind, connections):
    flood_test(manner, kind, connections)(tmp_path)
