"""A host that sends replies without end delays neither the other hosts nor the clients."""

import asyncio

from blocking_client import executed, until
from platform_harness import FUNCTION, reply, with_harness_on_uvloop

from cherrydoor.admission.work_per_tick import MAX_UNASKED_REPLIES, REPLIES_AT_ONCE
from cherrydoor.protocol import messages as protocol

UNKNOWN_ID = reply(b"00000000dead0000", b"DONE", b"-")
UNKNOWN_HEALTH_CHECK = reply(b"p999999999", b"FIT")


def answers_behind(replies):
    """Returns what a host answers: these replies, and then the one to the command."""

    def answers(words):
        status = b"DONE" if words[0] in (b"exec", b"ensure") else b"FIT"
        return replies + reply(words[1], status)

    return answers


class TickLog:
    """The most inputs that one tick of the dispatcher had."""

    def __init__(self, service):
        self.most_inputs = 0
        tick = service.dispatcher.tick

        def record(now_ms):
            self.most_inputs = max(self.most_inputs, len(service.dispatcher.inputs))
            tick(now_ms)

        service.dispatcher.tick = record


# Guards against a host that floods the gateway: ticks of 3 s, and nobody was answered in time.
@with_harness_on_uvloop
async def test_a_connection_on_which_a_host_sends_without_end_is_closed(harness):
    service = await harness.start_in_process(hosts=("a", "b"))
    log = TickLog(service)
    for flood in (UNKNOWN_ID, UNKNOWN_HEALTH_CHECK):
        harness.hosts[0].answers = answers_behind(flood * (20 * MAX_UNASKED_REPLIES))
        for number in range(8):
            answer = await harness.send_request(function=f"{number:016x}")
            assert answer is not None and answer.status in (200, 503)
    assert service.dispatcher.counters["host connections failed"] >= 2
    assert log.most_inputs < 3 * (MAX_UNASKED_REPLIES + REPLIES_AT_ONCE)


@with_harness_on_uvloop
async def test_a_host_may_answer_what_was_given_up_and_answer_twice(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = answers_behind(UNKNOWN_ID * (MAX_UNASKED_REPLIES - 1))
    for _ in range(5):
        assert (await harness.send_request()).status == 200
    assert service.dispatcher.counters["host connections failed"] == 0


@with_harness_on_uvloop
async def test_all_replies_of_one_read_are_handled(harness):
    """As many replies as a host may send at once, to requests that were in flight together."""
    count = 3 * REPLIES_AT_ONCE
    service = await harness.start_in_process(
        limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    )
    service.dispatcher.limits.links = 1
    service.dispatcher.limits.per_link = 2 * count
    host = harness.hosts[0]
    host.answers = lambda words: None if words[0] == b"exec" else reply(words[1], b"FIT")
    requests = [asyncio.create_task(harness.send_request()) for _ in range(count)]
    await until(lambda: len(executed(harness)) == count)
    numbers = executed(harness)
    host.writers[-1].write(b"".join(reply(n, b"DONE", b"-", b"body of " + n) for n in numbers))
    answers = await asyncio.gather(*requests)
    assert all(answer.status == 200 for answer in answers)
    assert sorted(answer.body for answer in answers) == sorted(b"body of " + n for n in numbers)


# Guards against a connection that is closed as its host answers many load orders at once.
@with_harness_on_uvloop
async def test_replies_to_load_orders_are_asked_for_however_many_they_are(harness):
    service = await harness.start_in_process()
    host = harness.hosts[0]
    assert (await harness.send_request()).status == 200
    [connection] = service.upstream.connections
    count = MAX_UNASKED_REPLIES + 2 * REPLIES_AT_ONCE
    for number in range(count):
        connection.encode(protocol.LoadOrder(900_000_000 + number, FUNCTION, 1))
    host.writers[0].write(
        b"".join(reply(b"o%d" % (900_000_000 + n), b"DONE", b"copies=1") for n in range(count))
    )
    counters = service.dispatcher.counters
    await until(lambda: counters["replies without a call in flight"] >= count)
    assert counters["host connections failed"] == 0
