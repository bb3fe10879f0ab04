"""Changes while the gateway runs: draining hosts, discovery, signals, a fault, settings."""

import asyncio

import pytest
from platform_harness import SETTINGS, TEST_TIMEOUT_S, reply, with_harness

from cherrydoor.platform import configuration


@with_harness
async def test_a_draining_host_gets_no_more_requests_and_a_new_host_may_reuse_its_address(
    harness,
):
    await harness.start(("a", "b"))
    a, b = harness.hosts
    harness.discovery_servers[0].publish(harness.update(2, a="terminating"))
    await harness.until_applied(2)
    before = len(a.commands(b"exec"))
    for number in range(6):
        assert (await harness.send_request(function=f"{number:016x}")).status == 200
    assert len(a.commands(b"exec")) == before and len(b.commands(b"exec")) >= 6
    gone = harness.update(3, a="terminated", b="terminating")
    new = harness.update(3, a="in_service")["roster"]["instances"][0] | {"instanceId": "c"}
    gone["roster"]["instances"].append(new)
    harness.discovery_servers[0].publish(gone)
    await harness.until_applied(3)
    assert (await harness.send_request()).status == 200 and len(a.commands(b"exec")) > before


@with_harness
async def test_updates_are_requested_after_a_disconnect_or_silence_and_duplicates_are_ignored(
    harness,
):
    await harness.start(("a", "b"))
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    discovery.publish(harness.update(2, a="terminating"))
    await harness.until_applied(2)
    for writer in discovery.writers:
        # A duplicate: this revision was applied already.
        writer.write(discovery.text(harness.update(2, a="in_service")))
        writer.write(b'id: 3\ndata: {"no": 3, "ros')  # incomplete
    discovery.updates.append(harness.update(3, b="in_service"))
    discovery.abort_connections()
    await discovery.until_requested(2)
    await harness.until_applied(3)
    discovery.muted = True
    discovery.updates.append(harness.update(4, b="in_service"))
    await discovery.until_requested(3)
    await harness.until_applied(4)
    assert discovery.requested_revisions == [1, 2, 3]
    assert (await harness.send_request()).status == 200 and not harness.hosts[0].commands(b"exec")


@with_harness
async def test_sighup_moves_to_another_discovery_server_and_ignores_a_bad_file(harness):
    await harness.start(("a", "b"))
    old = harness.discovery_servers[0]
    await old.until_requested(1)
    old.publish(harness.update(2, a="terminating"))
    await harness.until_applied(2)
    (harness.path / "config.json").write_text("{")
    harness.signal("SIGHUP")
    await harness.until_logged("configuration rejected")
    new = await harness.start_discovery_server()
    new.updates.append(harness.update(3, a="in_service", b="terminating"))
    harness.configuration()
    harness.signal("SIGHUP")
    await new.until_requested(1)
    await harness.until_applied(3)
    assert new.requested_revisions == [2]
    assert (await harness.send_request()).status == 200 and harness.hosts[0].commands(b"exec")


@with_harness
async def test_sigterm_accepts_clients_for_a_while_then_closes_the_listener_and_ends(harness):
    await harness.start()
    host = harness.hosts[0]
    host.answers = lambda words: None
    in_flight, idle = await harness.client(), await harness.client()
    number = in_flight.call()
    await host.until(b"exec")
    harness.signal("SIGTERM")
    await harness.until_logged('"is": "draining"')
    late = await harness.client()
    other = late.call()
    await host.until(b"exec", 2)
    await idle.closed()  # the listener is closed now
    for writer in host.writers:
        writer.write(reply(number.encode(), b"DONE") + reply(other.encode(), b"DONE"))
    assert (await in_flight.answer()).status == (await late.answer()).status == 200
    assert await harness.ended() == 0


@with_harness
async def test_a_fault_in_the_router_answers_requests_in_flight_and_restarts_the_dispatcher(
    harness,
):
    service = await harness.start_in_process()
    host = harness.hosts[0]
    host.answers = lambda words: None
    client = await harness.client()
    client.call()
    await host.until(b"exec")

    def fail(now, message):
        raise ZeroDivisionError("a fault of the test")

    service.dispatcher.router.take = fail
    (await harness.client()).call(function=f"{5:016x}")
    assert (await client.answer()).status == 502
    host.answers = host.handles
    assert (await harness.send_request()).status == 200 and service.dispatcher.counters[
        "dispatcher restarts"
    ] == 1


@with_harness
async def test_an_attempt_that_waits_for_a_connection_is_not_sent_once_its_host_drains(harness):
    service, dialled, written = await harness.start_in_process(), [], []
    service.dispatcher.dial, service.configuration.limits.connect = dialled.append, 60000.0

    class Wire:
        def write(self, message):
            written.append(message)

        def close(self, reason):
            pass

    client = await harness.client()
    client.call()
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not dialled:
            await asyncio.sleep(0.01)
        harness.discovery_servers[0].publish(harness.update(2, a="terminating"))
        while service.dispatcher.hosts["a"].row.state == "ready":
            await asyncio.sleep(0.01)
    service.post(service.dispatcher.connection_opened, dialled[0], Wire())
    assert (await client.answer()).status == 503 and not written


@with_harness
async def test_more_hosts_share_the_same_descriptors(harness):
    service = await harness.start_in_process(
        ("a",), limits={"cores": 1.0, "memory_mb": 64, "sockets": 128}
    )
    before = service.configuration.limits.links
    for name in "bcdefghijkl":
        await harness.host(name)
    harness.discovery_servers[0].publish(
        harness.update(2, **{host.name: "in_service" for host in harness.hosts})
    )
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while len(service.dispatcher.hosts) < 12:
            await asyncio.sleep(0.02)
    assert before == 12 and 1 <= service.configuration.limits.links < 4


@pytest.mark.parametrize(
    "changed, place",
    [
        ({"seed": 5}, "seed"),
        ({"listen": "nowhere"}, "listen"),
        ({"limits": {"cores": 1.0, "memory_mb": 64}}, "limits.sockets"),
        ({"known": {"no": 1}}, "known.items"),
        ({"bulletin": ""}, "bulletin"),
        ({"settings": {}}, "settings"),
        ({"settings": SETTINGS | {"prices": {"handshake": "dear"}}}, "settings.prices.handshake"),
        (
            {"settings": {"me": 0, "instances": 1, "requestClasses": [{"name": "draft"}]}},
            r"settings.requestClasses\[0\].deadline: a number of at least 1 expected",
        ),
    ],
)
def test_a_wrong_configuration_is_an_error_with_the_keys_place(changed, place):
    document = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "seed": "8c",
        "bulletin": "127.0.0.1:2",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"no": 0, "items": []},
        "settings": {"me": 0, "instances": 1, "requestClasses": []},
    }
    with pytest.raises(configuration.ConfigurationError, match=place):
        configuration.Configuration(document | changed, None, 1024)
