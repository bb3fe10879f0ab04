"""A host that sends many messages at once, and the ticks that handle them."""

from stack import Host, with_stack

from cherrydoor.admission.work_per_tick import MAX_HOST_MESSAGES_PER_TICK
from cherrydoor.protocol import codec
from cherrydoor.protocol import messages as protocol

FLOOD = 5000


def unknown_result(number):
    return protocol.AttemptResult(900_000_000 + number, "handled")


def record_ticks(dispatcher):
    """Returns the list that gets the number of inputs of each tick from now on."""
    counts = []
    tick = dispatcher.tick

    def record(now_ms):
        counts.append(len(dispatcher.inputs))
        tick(now_ms)

    dispatcher.tick = record
    return counts


# Guards against one read of a host's messages that is handled whole before anything else.
@with_stack
async def test_replies_to_nothing_are_handled_a_few_in_a_tick(stack):
    host = Host("handled")
    client = await stack.start(host)
    assert (await client.answer(client.send())).outcome == "handled"
    dispatcher = stack.service.dispatcher
    counts = record_ticks(dispatcher)
    host.connections[-1].write_bytes(
        b"".join(codec.encode(unknown_result(number)) for number in range(FLOOD))
    )
    assert (await client.answer(client.send())).outcome == "handled"
    await stack.wait_until(lambda: sum(counts) >= FLOOD)
    assert max(counts) <= MAX_HOST_MESSAGES_PER_TICK + 2, "and the client's request"
    assert (await client.answer(client.send())).outcome == "handled"


# Guards against replies that are lost as they wait when their connection ends.
@with_stack
async def test_replies_that_wait_are_handled_when_the_host_closes_behind_them(stack):
    host = Host()
    client = await stack.start(host)
    count = 3 * MAX_HOST_MESSAGES_PER_TICK
    sent = [client.send() for _ in range(count)]
    attempts = await host.wait_for(protocol.Attempt, count)
    answered = {}
    for end, message in host.received:
        if isinstance(message, protocol.Attempt):
            answered.setdefault(end, []).append(message.id)
    assert len(attempts) == len(sent)
    for end, numbers in answered.items():
        for number in numbers:
            end.write(protocol.AttemptResult(number, "handled"))
        end.close()
    await client.until(lambda: len(client.all(protocol.Response)) == count)
    assert all(answer.outcome == "handled" for answer in client.all(protocol.Response))
