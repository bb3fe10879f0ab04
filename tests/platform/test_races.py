"""Races on the platform's sockets: closes, replies and drains at the same moment.

The gateway runs on the test's event loop, and the racing events are prepared between two of its
ticks. docs/races.md lists the cases.
"""

import socket

from blocking_client import AT_MOST_ONCE_SETTINGS, BlockingClient, executed, until
from platform_harness import FUNCTION, SETTINGS, reply, with_harness

from cherrydoor.gateway.tables import ATTEMPTS_AFTER_CLOSE
from cherrydoor.protocol import messages as protocol


@with_harness
async def test_a_request_whose_client_closes_right_after_it_is_never_sent_to_a_host(harness):
    service = await harness.start_in_process()
    for close in (socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)):
        client = BlockingClient(harness)
        number = client.call()
        close(client.sock)
        left = service.dispatcher.counters["clients left"]
        await until(lambda left=left: service.dispatcher.counters["clients left"] > left)
        assert (await harness.send_request()).status == 200 and number not in executed(harness)
    assert not service.dispatcher.requests and not service.dispatcher.router.requests


@with_harness
async def test_a_client_close_that_races_a_hosts_refusal_ends_the_attempts(harness):
    service = await harness.start_in_process(("a", "b"))
    for host in harness.hosts:
        host.answers = lambda words: None
    client = BlockingClient(harness)
    number = client.call()
    await until(lambda: executed(harness))
    [link] = [link for host in service.dispatcher.hosts.values() for link in host.connections]
    [connection] = service.client_listener.connections
    service.post(
        service.dispatcher.host_replied, link, protocol.AttemptResult(*link.calls_in_flight, "full")
    )
    service.post(service.dispatcher.client_disconnected, connection.client)
    await until(lambda: not service.dispatcher.requests)
    for host in harness.hosts:
        host.answers = host.handles
    assert (await harness.send_request()).status == 200 and executed(harness).count(number) == 1
    assert not service.dispatcher.router.requests and not any(
        router_host.in_flight for router_host in service.dispatcher.router.hosts.values()
    )


@with_harness
async def test_a_client_close_that_is_not_read_yet_prevents_the_attempt(harness):
    service = await harness.start_in_process()
    client = BlockingClient(harness)
    client.call()
    await client.answer()
    [connection] = service.client_listener.connections
    connection.transport.pause_reading()  # as if a stall kept the loop from reading its sockets
    client.sock.close()
    request = protocol.Request(7, "draft", FUNCTION, 2000.0, service.clock.now(), "acme")
    service.post(service.dispatcher.request_received, connection.client, request)
    await until(lambda: service.dispatcher.counters["closes found at a launch"])
    assert len(executed(harness)) == 1 and not service.dispatcher.requests
    connection.transport.resume_reading()


@with_harness
async def test_an_attempt_after_its_clients_close_shows_in_a_counter_that_is_0_otherwise(harness):
    service = await harness.start_in_process(("a", "b"))
    for host in harness.hosts:
        host.answers = lambda words: None
    client = BlockingClient(harness)
    client.call()
    await until(lambda: executed(harness))
    [connection] = service.client_listener.connections
    connection.transport.pause_reading()
    client.sock.close()
    # Disables the check that prevents such attempts.
    connection.client.check_connected = lambda now: True
    [link] = [
        link
        for host in service.dispatcher.hosts.values()
        for link in host.connections
        if link.calls_in_flight
    ]
    later = service.clock.now() + 200
    service.clock.now = lambda: later
    assert service.dispatcher.counters[ATTEMPTS_AFTER_CLOSE] == 0
    service.post(
        service.dispatcher.host_replied, link, protocol.AttemptResult(*link.calls_in_flight, "full")
    )
    service.post(connection.transport.resume_reading)
    await until(lambda: not service.dispatcher.requests and not service.client_listener.connections)
    assert service.dispatcher.counters[ATTEMPTS_AFTER_CLOSE] == 1


@with_harness
async def test_deadlines_are_shortened_by_the_lag_of_recent_timers(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = lambda words: None
    first, second = BlockingClient(harness), BlockingClient(harness)
    first.call()
    await until(lambda: service.dispatcher.requests)
    [taken] = service.dispatcher.requests.values()
    service.dispatcher.set_timer(
        service.clock.now() - 60.0, service.dispatcher.router_messages.clear
    )
    service.timer_fired()
    await until(lambda: service.dispatcher.timer_lag_ms > 50.0)
    second.call()
    await until(lambda: len(service.dispatcher.requests) == 2)
    [_, late] = service.dispatcher.requests.values()
    assert 1995.0 - (taken.deadline_ms - taken.accepted_at_ms) < 1.0
    assert 1995.0 - (late.deadline_ms - late.accepted_at_ms) > 40.0


@with_harness
async def test_a_timer_due_after_a_stall_fires_after_the_input_that_came_meanwhile(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = lambda words: None
    client = BlockingClient(harness)
    client.call()
    await until(lambda: executed(harness))
    late = service.clock.now() + 60000
    service.clock.now = lambda: late  # all timers are due, including the request's deadline
    client.sock.close()
    service.timer_fired()
    await until(lambda: not service.dispatcher.requests)
    assert service.dispatcher.counters["clients left"] == 1
    assert not service.dispatcher.counters["launches out when the client's time was up"]


@with_harness
async def test_a_client_that_closes_behind_more_input_than_is_buffered_is_disconnected(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = lambda words: None
    client = BlockingClient(harness)
    client.call()
    await until(lambda: executed(harness))
    client.sock.sendall(b"x" * 200000)
    client.sock.close()
    await until(lambda: not service.dispatcher.requests)
    assert service.dispatcher.counters["clients left"] == 1
    assert not service.dispatcher.counters["launches out when the client's time was up"]


@with_harness
async def test_an_at_most_once_attempt_without_a_connection_is_not_sent_after_its_clients_close(
    harness,
):
    service, dialled, written = (
        await harness.start_in_process(settings=AT_MOST_ONCE_SETTINGS),
        [],
        [],
    )
    service.dispatcher.dial, service.configuration.limits.connect = dialled.append, 60000.0

    class Wire:
        write, close = written.append, lambda self, reason: None

    client = BlockingClient(harness)
    client.call()
    await until(lambda: dialled)
    client.sock.close()
    await until(lambda: service.dispatcher.counters["clients left"])
    service.post(service.dispatcher.connection_opened, dialled[0], Wire())
    await until(lambda: not service.dispatcher.requests)
    assert not written and service.dispatcher.counters["held back: the event is over"] == 1


@with_harness
async def test_nothing_is_sent_to_a_host_whose_drain_arrives_in_the_same_tick(harness):
    service = await harness.start_in_process(
        settings=SETTINGS | {"prices": {"handshake": 0.08}}
    )  # one connection
    client = BlockingClient(harness)
    client.call()
    await client.answer()
    [connection] = service.client_listener.connections
    before = len(harness.hosts[0].received)
    service.post(
        service.dispatcher.request_received,
        connection.client,
        protocol.Request(7, "draft", FUNCTION, 2000.0, service.clock.now(), "acme"),
    )
    service.dispatcher.post(
        service.dispatcher.order_load,
        type("Order", (), {"host": "a", "function": FUNCTION, "copies": 1}),
    )
    service.post(
        service.dispatcher.endpoints_updated,
        "changes",
        [protocol.Endpoint("a", "draining", 0.0, "east", 0)],
    )
    service.dispatcher.post(
        service.dispatcher.order_load,
        type("Order", (), {"host": "a", "function": FUNCTION, "copies": 1}),
    )
    assert b"HTTP/1.1 503" in await client.answer()
    service.post(service.dispatcher.unload, FUNCTION, ["a"])
    await harness.hosts[0].until(b"release")
    words = [words[0] for _, words in harness.hosts[0].received[before:]]
    assert words == [b"ensure", b"release"], (
        "the load order before the drain was sent, and none after it"
    )


@with_harness
async def test_the_listener_accepts_the_kernels_pending_connections_before_it_closes(harness):
    service = await harness.start_in_process()
    waiting, connected = [BlockingClient(harness) for _ in range(40)], BlockingClient(harness)
    connected.call()
    await connected.answer()
    fresh = [BlockingClient(harness) for _ in range(40)]
    for client in [*waiting, *fresh, connected]:
        client.call()
    service.shutdown.started = True
    service.shutdown.close_listener()
    for client in [*waiting, *fresh, connected]:
        assert (await client.read()).startswith(b"HTTP/1.1 ")


@with_harness
async def test_an_idle_connection_closed_over_an_unread_request_gets_a_response_and_no_reset(
    harness,
):
    service = await harness.start_in_process()
    client = BlockingClient(harness)
    client.call()
    await client.answer()
    [connection] = service.client_listener.connections
    client.call()
    connection.close("idle, and others need the place", 1000.0)
    assert (await client.read()).startswith(b"HTTP/1.1 503")


@with_harness
async def test_a_late_duplicate_reply_of_a_host_without_a_copy_is_not_the_next_attempts(harness):
    settings = SETTINGS | {"familyInfo": SETTINGS["familyInfo"] | {"ifCold": "miss"}}
    await harness.start(settings=settings)
    host = harness.hosts[0]

    def answers(words):
        if words[0] == b"exec" and len(host.commands(b"exec")) == 1:
            return reply(words[1], b"LACK")
        if words[0] == b"exec":
            host.writers[0].write(
                reply(words[1], b"LACK")
            )  # a late duplicate, on the connection of the first reply
            return None
        return host.handles(words)

    host.answers = answers
    client = await harness.client()
    number = client.call()
    await host.until(b"exec", 2)
    (first, _), (second, _) = [got for got in host.received if got[1][0] == b"exec"]
    assert first != second
    host.writers[second].write(reply(number.encode(), b"DONE", b"tell=hit", b"ran once"))
    assert (await client.answer()).body == b"ran once" and len(host.commands(b"exec")) == 2


@with_harness
async def test_an_idle_connection_that_its_host_has_closed_is_not_written_to(harness):
    service = await harness.start_in_process(("a", "b"), settings=AT_MOST_ONCE_SETTINGS)
    assert (await harness.send_request()).status == 200
    [connection] = service.upstream.connections
    connection.transport.pause_reading()  # as if a stall kept the loop from reading its sockets
    [host] = [host for host in harness.hosts if host.writers]
    host.writers[0].write_eof()
    assert (await harness.send_request(timeout_ms="900")).status == 200 and len(
        host.commands(b"exec")
    ) == 1
    connection.transport.resume_reading()


@with_harness
async def test_the_time_a_connection_waited_to_be_accepted_counts_for_its_first_request(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = lambda words: None
    clients = [BlockingClient(harness) for _ in range(4)]
    for client in clients:
        client.call()
    [listener] = service.listeners.listeners
    listener.ready(2)  # accepts two connections; two more wait
    later = service.clock.now() + 400
    service.clock.now = lambda: later
    listener.ready(2)
    assert listener.backlog_since_ms is None, (
        "no connection waits any more, although the last pass accepted its maximum"
    )
    await until(lambda: len(service.dispatcher.requests) == 4)
    assert [
        round((taken.deadline_ms - taken.accepted_at_ms) / 100)
        for taken in service.dispatcher.requests.values()
    ] == [20, 20, 16, 16]
