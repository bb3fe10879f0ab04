"""Races of discovery and signals: missing revisions, moves, half-written files, the drain's end."""

import asyncio

from blocking_client import BlockingClient, executed, until
from platform_harness import SETTINGS, with_harness


@with_harness
async def test_a_revision_that_discovery_skips_is_requested(harness):
    await harness.start(("a", "b"))
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    discovery.updates += [harness.update(2, a="terminating"), harness.update(3, b="in_service")]
    for writer in discovery.writers:
        writer.write(discovery.text(harness.update(3, b="in_service")))
    await harness.until_applied(3)
    assert discovery.requested_revisions == [1, 1]
    assert (await harness.send_request()).status == 200 and not harness.hosts[0].commands(b"exec")


@with_harness
async def test_a_revision_that_stays_missing_is_skipped(harness):
    await harness.start(("a", "b"))
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    discovery.updates.append(harness.update(5, a="terminating"))
    for writer in discovery.writers:
        writer.write(discovery.text(discovery.updates[-1]))
    await harness.until_applied(5)
    assert discovery.requested_revisions == [1, 1]


@with_harness
async def test_a_snapshot_under_a_lower_revision_is_applied_and_undoes_no_drain(harness):
    await harness.start(("a", "b"))
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    for revision in range(2, 6):
        discovery.publish(harness.update(revision, a="terminating"))
    await harness.until_applied(5)
    discovery.updates = [harness.update(2, True, a="in_service", b="in_service")]
    discovery.abort_connections()
    await discovery.until_requested(2)
    for writer in discovery.writers:
        writer.write(discovery.text(discovery.updates[0]))
    await harness.until_logged('"revision": 2, "renumbered": true')
    assert (await harness.send_request()).status == 200 and not harness.hosts[0].commands(b"exec")
    discovery.publish(harness.update(3, b="terminating"))
    while (await harness.send_request()).status != 503:
        await asyncio.sleep(0)


@with_harness
async def test_a_move_while_the_old_discovery_server_is_dialled_leaves_no_connection_there(harness):
    service = await harness.start_in_process()
    await harness.discovery_servers[0].until_requested(1)
    loop, old, dialing, resume = (
        asyncio.get_running_loop(),
        harness.discovery_servers[0],
        asyncio.Event(),
        asyncio.Event(),
    )
    connect = loop.create_connection

    async def connect_slowly(make, host, port, **options):
        if port == old.port:
            dialing.set()
            await resume.wait()
        return await connect(make, host, port, **options)

    loop.create_connection = connect_slowly
    old.abort_connections()
    await dialing.wait()
    new = await harness.start_discovery_server()
    service.discovery_watch.move(f"127.0.0.1:{new.port}")
    resume.set()
    await new.until_requested(1)
    assert old.requested_revisions == [1] and service.discovery_watch.connection.server.endswith(
        str(new.port)
    )


@with_harness
async def test_discovery_and_requests_go_on_where_clients_fill_the_descriptors(harness):
    service = await harness.start_in_process()
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    loop, connect, failures_left = (
        asyncio.get_running_loop(),
        asyncio.get_running_loop().create_connection,
        [3],
    )

    async def connect_without_descriptors(make, *address, **options):
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(24, "Too many open files")
        return await connect(make, *address, **options)

    loop.create_connection = connect_without_descriptors
    idle = [BlockingClient(harness) for _ in range(20)]
    await until(lambda: len(service.client_listener.connections) == 20)
    discovery.abort_connections()
    await discovery.until_requested(2)
    assert not failures_left[0] and len(idle) == 20 and (await harness.send_request()).status == 200
    assert service.listeners.controller.counters["closed: descriptors have run out"] >= 1


@with_harness
async def test_a_configuration_half_written_at_sighup_is_applied_once_it_is_complete(harness):
    await harness.start(("a", "b"))
    await harness.discovery_servers[0].until_requested(1)
    new = await harness.start_discovery_server()
    file = harness.configuration()
    complete_text = file.read_text()
    file.write_text(complete_text[: len(complete_text) // 2])
    harness.signal("SIGHUP")
    await harness.until_logged("configuration rejected")
    file.write_text(complete_text)
    await new.until_requested(1)
    harness.signal("SIGHUP")
    harness.signal("SIGTERM")
    harness.signal("SIGTERM")
    assert await harness.ended() == 0


@with_harness
async def test_requests_in_flight_when_the_drain_time_ends_get_a_response(harness):
    service = await harness.start_in_process()
    harness.hosts[0].answers = lambda words: None
    client = BlockingClient(harness)
    client.call()
    await until(lambda: executed(harness))
    service.shutdown.started = True
    service.shutdown.close_listener()
    service.shutdown.force_end()
    assert b"HTTP/1.1 502" in await client.read()
    assert await harness.task == 3


@with_harness
async def test_a_request_in_flight_is_answered_before_a_kill_at_the_earliest_time(harness):
    deadline_s = 1.0
    request_class = SETTINGS["requestClasses"][0] | {"aim": 500000, "deadline": deadline_s * 1e6}
    await harness.start(settings=SETTINGS | {"requestClasses": [request_class]})
    host = harness.hosts[0]
    answers = host.answers
    host.answers = lambda words: None if words[0] == b"exec" else answers(words)
    client = await harness.client()
    loop = asyncio.get_running_loop()
    harness.signal("SIGTERM")
    terminated_s = loop.time()
    await harness.until_logged('"is": "draining"')
    await asyncio.sleep(0.5)
    client.call(timeout_ms="1000")
    answer = await client.answer()
    assert await harness.ended() == 3
    killed_s = terminated_s + 0.7 + deadline_s
    assert answer.status in (502, 503) and loop.time() < killed_s
