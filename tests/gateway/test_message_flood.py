"""One client that sends small messages at full speed, and the clients beside it."""

import asyncio

import pytest
from stack import Host, now, with_stack

from cherrydoor.admission.messages import UsageMeasured
from cherrydoor.gateway.client_listener import MAX_BODY_BYTES_PER_TICK, MAX_MESSAGES_PER_TICK
from cherrydoor.protocol import codec
from cherrydoor.protocol import failover as failover_messages
from cherrydoor.protocol import messages as protocol

FLOOD = 3000


def with_idle_core(stack):
    """Lets admission take the core for idle, though the test keeps it busy: no quota applies."""
    stack.service.usage.measure = lambda: UsageMeasured(0.0, 0.0, 0.0)


def request(number):
    return protocol.Request(number, "draft", "deed", 4000.0, now())


MESSAGES = {
    "requests": request,
    "new names": lambda number: protocol.Request(number, "draft", f"f{number}", 4000.0, now()),
    "unknown classes": lambda number: protocol.Request(number, "none", "deed", 4000.0, now()),
    "cancellations": lambda number: protocol.CancelRequest(number),
    "claims": lambda number: failover_messages.ClaimResponse(number, "g9", 1, number, "k", 1e3, 0),
}


# Guards against one read of thousands of messages that are all handled before anything else: other
# clients got their answers seconds late, or never.
@pytest.mark.parametrize("kind", MESSAGES)
def test_another_client_is_answered_while_a_flood_is_handled(kind):
    @with_stack
    async def play(stack):
        host = Host("handled")
        flooding = await stack.start(host)
        with_idle_core(stack)
        other = await stack.client()
        handled = []
        received = stack.service.client_listener.message_received

        def record(connection, message):
            handled.append(connection.client)
            received(connection, message)

        stack.service.client_listener.message_received = record
        flooding.end.transport.write(
            b"".join(codec.encode(MESSAGES[kind](1000 + number)) for number in range(FLOOD))
        )
        answer = await other.answer(other.send())
        assert answer.outcome == "handled"
        clients = {client.name for client in handled}
        assert clients == {"c"}
        others = [place for place, client in enumerate(handled) if client is not handled[0]]
        assert others and others[0] < FLOOD / 4, "the others do not wait for the whole flood"
        # A client of the test accepts no answers to claims, and disconnects.
        await stack.wait_until(lambda: len(handled) == FLOOD + 1 or flooding.ended_count)

    play()


# Guards against messages that are lost, or change their order, while they wait.
@with_stack
async def test_all_messages_of_one_read_are_handled_in_their_order(stack):
    host = Host("handled")
    client = await stack.start(host)
    with_idle_core(stack)
    numbers = range(1, 40 * MAX_MESSAGES_PER_TICK + 3)
    client.end.transport.write(b"".join(codec.encode(request(number)) for number in numbers))
    await client.until(lambda: len(client.all(protocol.Response)) == len(numbers))
    attempts = host.all(protocol.Attempt)
    by_start = sorted(attempts, key=lambda attempt: attempt.id)
    assert [attempt.request_id for attempt in by_start] == list(numbers)
    [connection] = stack.service.client_listener.connections
    assert not connection.unhandled and not connection.input_waits


# Guards against requests that are sent on after their client has closed with much still unread.
@with_stack
async def test_messages_that_wait_are_not_sent_on_once_their_client_has_closed(stack):
    host = Host("handled")
    client = await stack.start(host)
    client.end.transport.write(b"".join(codec.encode(request(n)) for n in range(1, FLOOD)))
    await host.wait_for(protocol.Attempt)
    client.end.abort()
    await stack.wait_until(lambda: not stack.service.client_listener.connections)
    await stack.wait_until(lambda: not stack.service.dispatcher.requests)
    assert stack.counters["attempts after the client had closed"] == 0
    assert len(host.all(protocol.Attempt)) < FLOOD / 4
    assert stack.counters["clients left"] < FLOOD / 4, "most were dropped before they were handled"


# Guards against a pause of admission that handles, or loses, what was read before it.
@with_stack
async def test_messages_wait_while_admission_has_paused_the_connection(stack):
    host = Host("handled")
    client = await stack.start(host)
    [connection] = stack.service.client_listener.connections
    connection.pause()
    connection.data_received(b"".join(codec.encode(request(number)) for number in range(1, 50)))
    for _ in range(5):
        await stack.wait_until(lambda: True)
    assert len(connection.unhandled) == 49 and not host.all(protocol.Attempt)
    connection.resume()
    await client.until(lambda: len(client.all(protocol.Response)) == 49)


# Guards against large messages that arrive in reads of their own and all wait for one tick.
@with_stack
async def test_no_more_than_one_part_of_a_clients_messages_waits_for_a_tick(stack):
    client = await stack.start(Host("handled"))
    with_idle_core(stack)
    dispatcher = stack.service.dispatcher
    posted = []
    tick = dispatcher.tick

    def record(now_ms):
        requests = [args[1] for callback, args in dispatcher.inputs if len(args) > 1]
        bodies = [len(one.body) for one in requests if type(one) is protocol.Request]
        posted.append(bodies)
        tick(now_ms)

    dispatcher.tick = record
    numbers = [client.send(body=b"x" * 9000) for _ in range(60)]
    await client.until(lambda: len(client.all(protocol.Response)) == len(numbers))
    assert sum(map(len, posted)) == len(numbers)
    assert max(map(len, posted)) <= MAX_MESSAGES_PER_TICK
    assert max(map(sum, posted)) < MAX_BODY_BYTES_PER_TICK + 9000


# Guards against pauses that each leave one more continuation behind, so that ever more messages of
# the connection are handled in a pass.
@with_stack
async def test_a_connection_that_was_paused_often_handles_no_more_messages_in_a_pass(stack):
    client = await stack.start(Host("handled"))
    with_idle_core(stack)
    [connection] = stack.service.client_listener.connections
    handled = []
    stack.service.client_listener.message_received = lambda *message: handled.append(message)
    client.end.transport.write(b"".join(codec.encode(request(1000 + n)) for n in range(FLOOD)))
    await stack.wait_until(lambda: connection.unhandled)
    for _ in range(10):
        connection.pause()
        connection.resume()
    most = 0
    while connection.input_waits:
        before = len(handled)
        await asyncio.sleep(0)
        most = max(most, len(handled) - before)
    assert 0 < most <= MAX_MESSAGES_PER_TICK
