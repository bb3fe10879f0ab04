"""What changes while the gateway serves: hosts that drain, the bulletin, signals, a fault, and how it is configured."""

import asyncio

import pytest
from town import LONG, SETTINGS, reply, story

from cherrydoor.platform import configuration


@story
async def test_a_draining_host_gets_nothing_more_and_a_new_host_at_an_old_address_is_another(town):
    await town.start(("a", "b"))
    a, b = town.hosts
    town.bulletins[0].tell(town.event(2, a="terminating"))
    await town.until_told(2)
    before = len(a.commands(b"exec"))
    for n in range(6):
        assert (await town.handled(function=f"{n:016x}")).status == 200
    assert len(a.commands(b"exec")) == before and len(b.commands(b"exec")) >= 6
    gone = town.event(3, a="terminated", b="terminating")
    new = town.event(3, a="in_service")["roster"]["instances"][0] | {"instanceId": "c"}
    gone["roster"]["instances"].append(new)
    town.bulletins[0].tell(gone)
    await town.until_told(3)
    assert (await town.handled()).status == 200 and len(a.commands(b"exec")) > before


@story
async def test_a_bulletin_that_breaks_off_falls_silent_or_doubles_is_asked_for_what_is_missing(
    town,
):
    await town.start(("a", "b"))
    bulletin = town.bulletins[0]
    await bulletin.until_asked(1)
    bulletin.tell(town.event(2, a="terminating"))
    await town.until_told(2)
    for writer in bulletin.writers:
        writer.write(bulletin.text(town.event(2, a="in_service")))  # its number has been told
        writer.write(b'id: 3\ndata: {"no": 3, "ros')  # torn
    bulletin.events.append(town.event(3, b="in_service"))
    bulletin.cut()
    await bulletin.until_asked(2)
    await town.until_told(3)
    bulletin.muted = True
    bulletin.events.append(town.event(4, b="in_service"))
    await bulletin.until_asked(3)
    await town.until_told(4)
    assert bulletin.asked == [1, 2, 3]
    assert (await town.handled()).status == 200 and not town.hosts[0].commands(b"exec")


@story
async def test_sighup_moves_to_another_bulletin_with_numbers_going_on_and_a_bad_file_is_left(town):
    await town.start(("a", "b"))
    old = town.bulletins[0]
    await old.until_asked(1)
    old.tell(town.event(2, a="terminating"))
    await town.until_told(2)
    (town.path / "config.json").write_text("{")
    town.signal("SIGHUP")
    await town.said("configuration rejected")
    new = await town.bulletin()
    new.events.append(town.event(3, a="in_service", b="terminating"))
    town.configuration()
    town.signal("SIGHUP")
    await new.until_asked(1)
    await town.until_told(3)
    assert new.asked == [2]
    assert (await town.handled()).status == 200 and town.hosts[0].commands(b"exec")


@story
async def test_sigterm_serves_those_who_still_come_then_closes_the_door_and_ends(town):
    await town.start()
    host = town.hosts[0]
    host.answers = lambda words: None
    held, idle = await town.client(), await town.client()
    number = held.call()
    await host.until(b"exec")
    town.signal("SIGTERM")
    await town.said('"is": "draining"')
    late = await town.client()
    other = late.call()
    await host.until(b"exec", 2)
    await idle.closed()  # the door is closed now
    for writer in host.writers:
        writer.write(reply(number.encode(), b"DONE") + reply(other.encode(), b"DONE"))
    assert (await held.answer()).status == (await late.answer()).status == 200
    assert await town.ended() == 0


@story
async def test_a_fault_in_the_decisions_answers_what_is_open_and_begins_anew(town):
    platform = await town.start_within()
    host = town.hosts[0]
    host.answers = lambda words: None
    client = await town.client()
    client.call()
    await host.until(b"exec")

    def fails(now, note):
        raise ZeroDivisionError("a fault of the test")

    platform.dispatcher.router.take = fails
    (await town.client()).call(function=f"{5:016x}")
    assert (await client.answer()).status == 502
    host.answers = host.handles
    assert (await town.handled()).status == 200 and platform.dispatcher.counters[
        "dispatcher restarts"
    ] == 1


@story
async def test_what_waits_for_a_connection_does_not_go_out_once_its_host_drains(town):
    platform, dialled, written = await town.start_within(), [], []
    platform.dispatcher.dial, platform.configuration.limits.connect = dialled.append, 60000.0

    class Wire:
        def write(self, message):
            written.append(message)

        def close(self, reason):
            pass

    client = await town.client()
    client.call()
    async with asyncio.timeout(LONG):
        while not dialled:
            await asyncio.sleep(0.01)
        town.bulletins[0].tell(town.event(2, a="terminating"))
        while platform.dispatcher.hosts["a"].row.state == "ready":
            await asyncio.sleep(0.01)
    platform.post(platform.dispatcher.connection_opened, dialled[0], Wire())
    assert (await client.answer()).status == 503 and not written


@story
async def test_more_hosts_share_the_same_descriptors(town):
    platform = await town.start_within(
        ("a",), limits={"cores": 1.0, "memory_mb": 64, "sockets": 128}
    )
    before = platform.configuration.limits.links
    for name in "bcdefghijkl":
        await town.host(name)
    town.bulletins[0].tell(town.event(2, **{host.name: "in_service" for host in town.hosts}))
    async with asyncio.timeout(LONG):
        while len(platform.dispatcher.hosts) < 12:
            await asyncio.sleep(0.02)
    assert before == 12 and 1 <= platform.configuration.limits.links < 4


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
def test_a_wrong_configuration_ends_the_start_with_the_keys_place(changed, place):
    said = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "seed": "8c",
        "bulletin": "127.0.0.1:2",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"no": 0, "items": []},
        "settings": {"me": 0, "instances": 1, "requestClasses": []},
    }
    with pytest.raises(configuration.ConfigurationError, match=place):
        configuration.Configuration(said | changed, None, 1024)
