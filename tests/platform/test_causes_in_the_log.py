"""The log says why requests were late, and which client a closed connection belonged to."""

import time

from blocking_client import BlockingClient, executed, until
from platform_harness import call, with_harness


def logged(service):
    """Records the events that the service's log is given from now on."""
    events = []

    def record(event, **fields):
        events.append((event, fields))

    service.log.write_limited = record
    service.listeners.log = record
    return events


def fields_of(events, name):
    return [fields for event, fields in events if event == name]


@with_harness
async def test_a_response_after_the_clients_time_is_counted_and_logged_with_its_id(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = lambda words: None
    events = logged(service)
    client = BlockingClient(harness)
    number = client.call(timeout_ms="200")
    await until(lambda: executed(harness))
    time.sleep(0.3)  # the gateway stands still beyond the client's time
    assert (await client.answer()).startswith(b"HTTP/1.1 503")
    [late] = fields_of(events, "response is late")
    assert late["request"] == number.decode() and late["late_ms"] > 0
    assert late["outcome"] == "deferred"
    assert service.dispatcher.counters["responses after the client's time"] == 1


@with_harness
async def test_a_response_in_time_is_not_logged_as_late(harness):
    service = await harness.start_in_process()
    events = logged(service)
    assert (await harness.send_request()).status == 200
    assert not fields_of(events, "response is late")
    assert service.dispatcher.counters["responses after the client's time"] == 0


@with_harness
async def test_an_input_that_waits_long_for_its_tick_is_counted_and_logged(harness):
    service = await harness.start_in_process()
    events = logged(service)
    service.post(time.sleep, 0.0)
    time.sleep(0.1)
    await until(lambda: fields_of(events, "tick delayed"))
    assert fields_of(events, "tick delayed")[0]["delay_ms"] >= 100
    assert service.dispatcher.counters["ticks delayed over 50 ms"] >= 1
    assert service.loop_delay.take_longest() >= 100


@with_harness
async def test_a_connection_that_admission_closes_is_logged_with_its_peer_and_what_it_sent(harness):
    service = await harness.start_in_process()
    events = logged(service)
    service.listeners.controller.all_clients.held_bytes_limit = 100
    client = BlockingClient(harness)
    client.sock.sendall(call(harness.number(), body=b"x" * 2000)[:-1])
    await until(lambda: fields_of(events, "client connection closed"))
    [closed] = fields_of(events, "client connection closed")
    assert closed["peer"] == f"127.0.0.1:{client.sock.getsockname()[1]}"
    assert closed["messages"] == 0 and closed["unhandled_bytes"] > 2000
    assert closed["reason"] == "too many bytes are unfinished"


@with_harness
async def test_readiness_probes_are_counted(harness):
    service = await harness.start_in_process()
    before = service.dispatcher.counters["readiness probes"]
    client = await harness.client()
    client.send(b"GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await client.answer()).status == 200
    assert service.dispatcher.counters["readiness probes"] == before + 1
