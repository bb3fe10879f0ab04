"""What one client sends is read and handled a little at a time, whatever it sends at once."""

import asyncio
import contextlib

from blocking_client import BlockingClient, until
from platform_harness import with_harness_on_uvloop
from platform_messages import PROBE, call

MAX_MESSAGES_PER_PASS = 8
MAX_BUFFERED_BYTES = 48 * 1024  # one read, and the input behind a request in flight
FLOOD = PROBE * 100_000


class PassLog:
    """What the passes of the event loop did: the most probes handled, and the most bytes buffered.

    The first passes do not count, in which the connection is made.
    """

    def __init__(self, service):
        self.service, self.most_probes, self.most_buffered = service, 0, 0

    async def watch(self, passes):
        counters = self.service.dispatcher.counters
        handled = counters["readiness probes"]
        for _ in range(passes):
            await asyncio.sleep(0)
            self.most_probes = max(self.most_probes, counters["readiness probes"] - handled)
            handled = counters["readiness probes"]
            for connection in self.service.client_listener.connections:
                self.most_buffered = max(self.most_buffered, connection.conversation.buffered_bytes)


async def send_and_read(client):
    """Sends the flood as fast as it is taken, and reads all answers."""
    loop = asyncio.get_running_loop()
    client.sock.setblocking(False)

    async def read():
        while await loop.sock_recv(client.sock, 1 << 16):
            pass

    with contextlib.suppress(OSError, asyncio.CancelledError):
        await asyncio.gather(loop.sock_sendall(client.sock, FLOOD), read())


async def watch_flood(harness):
    """Returns what the passes did while one client sent probes without waiting."""
    service = await harness.start_in_process()
    client = BlockingClient(harness)
    flood = asyncio.create_task(send_and_read(client))
    log = PassLog(service)
    await log.watch(400)
    flood.cancel()
    await asyncio.wait([flood])
    client.sock.close()
    return log


# Guards against passes that grow: each answer, and each read, scheduled the rest once more.
@with_harness_on_uvloop
async def test_one_pass_handles_few_probes_of_a_client_that_does_not_wait(harness):
    log = await watch_flood(harness)
    assert 0 < log.most_probes <= MAX_MESSAGES_PER_PASS


# Guards against input that piles up in the codec, which looks through all of it for each message.
@with_harness_on_uvloop
async def test_input_is_not_read_on_while_earlier_input_waits(harness):
    log = await watch_flood(harness)
    assert 0 < log.most_buffered <= MAX_BUFFERED_BYTES


@with_harness_on_uvloop
async def test_all_messages_that_are_sent_at_once_are_answered_in_their_order(harness):
    await harness.start_in_process()
    client = await harness.client()
    numbers = [harness.number() for _ in range(20)]
    client.send(b"".join(PROBE + call(number) + PROBE for number in numbers))
    for number in numbers:
        answers = [await client.answer() for _ in range(3)]
        assert [answer.status for answer in answers] == [200] * 3
        assert answers[1].body == b"body of " + number.encode()
        assert not answers[0].body and not answers[2].body


@with_harness_on_uvloop
async def test_a_client_that_leaves_while_its_input_waits_is_forgotten(harness):
    service = await harness.start_in_process()
    client = BlockingClient(harness)
    client.sock.sendall(PROBE * 2000)
    await until(lambda: service.client_listener.connections)
    client.sock.close()
    await until(lambda: not service.client_listener.connections)
    assert service.listeners.controller.all_clients.held_bytes == 0


# Guards against many connections that each send probes at full speed and together fill each pass.
@with_harness_on_uvloop
async def test_one_pass_answers_few_probes_of_all_connections_together(harness):
    service = await harness.start_in_process()
    clients = [await harness.client() for _ in range(30)]
    for client in clients:
        client.send(PROBE * 20)
    log = PassLog(service)
    await log.watch(400)
    assert 0 < log.most_probes <= MAX_MESSAGES_PER_PASS
    for client in clients:
        assert [(await client.answer()).status for _ in range(20)] == [200] * 20


@with_harness_on_uvloop
async def test_a_probe_is_answered_behind_those_whose_clients_have_left(harness):
    await harness.start_in_process()
    leaving = [await harness.client() for _ in range(25)]
    staying = await harness.client()
    for client in [*leaving, staying]:
        client.send(PROBE)
    for client in leaving:
        client.writer.transport.abort()
    assert (await staying.answer()).status == 200


# Guards against a client that sends much at once and is closed because "a frame was not finished in
# time", though each of its messages was: the time of the first one counted for all of them.
@with_harness_on_uvloop
async def test_the_time_of_an_unfinished_message_counts_from_the_end_of_the_one_before(harness):
    service = await harness.start_in_process()
    client = await harness.client()
    begun = []
    for _ in range(3):
        client.send(PROBE[10:] + PROBE[:10] if begun else PROBE + PROBE[:10])
        assert (await client.answer()).status == 200
        await asyncio.sleep(0.02)
        [connection] = service.client_listener.connections
        begun.append(connection.incoming.connection.partial)
    assert 0 < begun[0] < begun[1] < begun[2]
