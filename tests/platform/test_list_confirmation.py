"""What confirms the endpoint list, and input of the discovery stream that must not confirm it.

The faults behind these tests: docs/incidents/discovery-outage.md and discovery-heads.md there.
"""

import asyncio
import time

from blocking_client import until
from platform_harness import SETTINGS, with_harness

from cherrydoor.codecs import sse
from cherrydoor.platform.discovery_watch import MAX_TIMEOUT_DOUBLINGS, READ_TIMEOUT_S

DRAIN_GRACE_S = 0.5
OUTAGE_SETTINGS = SETTINGS | {
    "rules": SETTINGS["rules"] | {"drainGrace": int(DRAIN_GRACE_S * 1e6)},
}


async def until_settled(harness):
    """Starts a gateway and waits until the stream confirms the list; returns the watch."""
    service = await harness.start_in_process(settings=OUTAGE_SETTINGS)
    watch = service.discovery_watch
    await until(lambda: watch.connection is not None and watch.connection.settled)
    await until(lambda: watch.requested_at_ms is None)
    return watch


async def reconnect_to_heads(watch, discovery):
    """Lets the watch reconnect to a server that sends only heads; returns the new connection."""
    discovery.heads_only = True
    discovery.abort_connections()
    ended = watch.connection
    await until(lambda: watch.connection is not ended)
    connection = watch.connection
    await until(lambda: connection.first_input_s is not None)
    return connection


@with_harness
async def test_after_sighup_the_old_stream_confirms_nothing_until_the_file_is_read(harness):
    watch = await until_settled(harness)
    file = harness.path / "config.json"
    complete_text = file.read_text()
    file.write_text(complete_text[:20])
    watch.service.reload.start()
    confirmed_at_ms = watch.confirmed_at_ms
    comments = watch.connection.reader.comments
    await until(lambda: watch.connection.reader.comments > comments)
    assert watch.confirmed_at_ms == confirmed_at_ms
    file.write_text(complete_text)
    watch.service.reload.start()
    await until(lambda: watch.confirmed_at_ms > confirmed_at_ms)


@with_harness
async def test_input_read_after_a_stall_confirms_the_list_at_the_last_tick_before_it(harness):
    watch = await until_settled(harness)
    last_tick_ms = watch.service.dispatcher.now
    time.sleep(0.3)  # the process stalls: nothing runs, and input waits
    watch.connection.data_received(b": still here\n\n")
    assert watch.confirmed_at_ms == last_tick_ms <= watch.service.clock.now() - 300


@with_harness
async def test_a_new_connection_confirms_the_list_only_after_the_missed_updates(harness):
    watch = await until_settled(harness)
    harness.discovery_servers[0].abort_connections()
    first = watch.connection
    await until(lambda: watch.connection is not first)
    await until(lambda: watch.connection.first_input_s is not None)
    confirmed_at_ms = watch.confirmed_at_ms
    watch.connection.data_received(b": early\n\n")
    assert not watch.connection.settled and watch.confirmed_at_ms == confirmed_at_ms
    await until(lambda: watch.confirmed_at_ms > confirmed_at_ms)


@with_harness
async def test_a_new_dispatcher_knows_how_old_the_list_is(harness):
    watch = await until_settled(harness)
    service = watch.service
    harness.discovery_servers[0].server.close()
    harness.discovery_servers[0].abort_connections()
    await until(lambda: watch.connection.ended.done())
    service.restart()
    lease = service.dispatcher.router.list_lease
    await until(lambda: lease.confirmed_at_ms is not None)
    assert lease.confirmed_at_ms == watch.confirmed_at_ms


# Guards against a silent server that confirms the list by answering each request with a head.
@with_harness
async def test_a_server_that_sends_only_the_heads_of_its_responses_confirms_nothing(harness):
    watch = await until_settled(harness)
    discovery = harness.discovery_servers[0]
    discovery.heads_only = True
    discovery.abort_connections()
    silent = watch.connection
    confirmed_at_ms = watch.confirmed_at_ms
    for _ in range(2):
        await until(lambda silent=silent: watch.connection is not silent)
        silent = watch.connection
        await until(lambda silent=silent: silent.ended.done())
        assert silent.settled and silent.ended.result() == "silent"
        assert watch.confirmed_at_ms == confirmed_at_ms and watch.requested_at_ms is not None
    discovery.heads_only = False
    await until(lambda: watch.requested_at_ms is None)


# Guards against a silent connection that is kept for as long as a slow server may take to answer.
@with_harness
async def test_a_connection_that_is_silent_after_its_head_is_given_up_in_the_usual_time(harness):
    watch = await until_settled(harness)
    watch.task.cancel()
    harness.discovery_servers[0].heads_only = True
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    assert await watch.read_connection(watch.server, 2**MAX_TIMEOUT_DOUBLINGS) == "silent"
    assert READ_TIMEOUT_S <= loop.time() - began_s < 2 * READ_TIMEOUT_S


# Guards against an update of which the rest is missing, and which may announce a drain.
@with_harness
async def test_an_incomplete_update_confirms_nothing_until_it_is_complete(harness):
    watch = await until_settled(harness)
    harness.discovery_servers[0].heartbeat.cancel()
    connection = watch.connection
    text = harness.discovery_servers[0].text(harness.update(2, a="terminating"))
    confirmed_at_ms = watch.confirmed_at_ms
    watch.service.dispatcher.tick(watch.service.clock.now())
    for part in (text[:4], text[4:12], text[12:-1]):
        connection.data_received(part)
        assert watch.confirmed_at_ms == confirmed_at_ms, part
    connection.data_received(text[-1:])
    assert watch.last_revision == 2 and watch.confirmed_at_ms > confirmed_at_ms


# Guards against a new connection that breaks off within the update that was missed.
@with_harness
async def test_a_connection_whose_first_update_is_incomplete_confirms_nothing(harness):
    watch = await until_settled(harness)
    discovery = harness.discovery_servers[0]
    connection = await reconnect_to_heads(watch, discovery)
    confirmed_at_ms = watch.confirmed_at_ms
    connection.data_received(b": here\n\n" + discovery.text(harness.update(2, a="ready"))[:20])
    await until(lambda: connection.settled)
    assert watch.confirmed_at_ms == confirmed_at_ms and watch.requested_at_ms is not None


# Guards against a list that counts as newer than the comment that confirmed it.
@with_harness
async def test_an_early_comment_confirms_the_list_as_of_when_it_came(harness):
    watch = await until_settled(harness)
    discovery = harness.discovery_servers[0]
    connection = await reconnect_to_heads(watch, discovery)
    watch.update_received(sse.EndpointUpdate(2, False, None), connection)
    confirmed_at_ms = watch.confirmed_at_ms
    connection.data_received(discovery.text(harness.update(2)))
    assert connection.heard_at_ms is None, "an update alone does not show that the stream runs"
    connection.data_received(b": here\n\n")
    assert not connection.settled and watch.confirmed_at_ms == confirmed_at_ms
    heard_at_ms = connection.heard_at_ms
    await until(lambda: connection.settled)
    assert watch.confirmed_at_ms == heard_at_ms >= connection.requested_at_ms
    assert watch.requested_at_ms is None
