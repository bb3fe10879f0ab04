"""What crosses with the list and with signals: numbers left out, moves, files half written, the last moment."""

import asyncio

from crossing import RawClient, executed, until
from town import story


@story
async def test_a_bulletin_that_leaves_out_a_number_is_asked_for_it(town):
    await town.start(("a", "b"))
    bulletin = town.bulletins[0]
    await bulletin.until_asked(1)
    bulletin.events += [town.event(2, a="terminating"), town.event(3, b="in_service")]
    for writer in bulletin.writers:
        writer.write(bulletin.text(town.event(3, b="in_service")))
    await town.until_told(3)
    assert bulletin.asked == [1, 1]
    assert (await town.handled()).status == 200 and not town.hosts[0].commands(b"exec")


@story
async def test_a_hole_in_the_numbers_that_stays_is_passed_over(town):
    await town.start(("a", "b"))
    bulletin = town.bulletins[0]
    await bulletin.until_asked(1)
    bulletin.events.append(town.event(5, a="terminating"))
    for writer in bulletin.writers:
        writer.write(bulletin.text(bulletin.events[-1]))
    await town.until_told(5)
    assert bulletin.asked == [1, 1]


@story
async def test_a_whole_list_under_a_lower_number_is_taken_up_and_undoes_no_drain(town):
    await town.start(("a", "b"))
    bulletin = town.bulletins[0]
    await bulletin.until_asked(1)
    for no in range(2, 6):
        bulletin.tell(town.event(no, a="terminating"))
    await town.until_told(5)
    bulletin.events = [town.event(2, True, a="in_service", b="in_service")]
    bulletin.cut()
    await bulletin.until_asked(2)
    for writer in bulletin.writers:
        writer.write(bulletin.text(bulletin.events[0]))
    await town.said('"revision": 2, "renumbered": true')
    assert (await town.handled()).status == 200 and not town.hosts[0].commands(b"exec")
    bulletin.tell(town.event(3, b="terminating"))
    while (await town.handled()).status != 503:
        await asyncio.sleep(0)


@story
async def test_a_move_while_the_old_bulletin_is_being_dialled_leaves_no_connection_there(town):
    platform = await town.start_within()
    await town.bulletins[0].until_asked(1)
    loop, old, begun, go_on = (
        asyncio.get_running_loop(),
        town.bulletins[0],
        asyncio.Event(),
        asyncio.Event(),
    )
    connect = loop.create_connection

    async def slowly(make, host, port, **more):
        if port == old.port:
            begun.set()
            await go_on.wait()
        return await connect(make, host, port, **more)

    loop.create_connection = slowly
    old.cut()
    await begun.wait()
    new = await town.bulletin()
    platform.discovery_watch.move(f"127.0.0.1:{new.port}")
    go_on.set()
    await new.until_asked(1)
    assert old.asked == [1] and platform.discovery_watch.connection.server.endswith(str(new.port))


@story
async def test_the_bulletin_is_reached_and_requests_served_where_clients_fill_the_descriptors(town):
    platform = await town.start_within()
    bulletin = town.bulletins[0]
    await bulletin.until_asked(1)
    loop, connect, lacking = (
        asyncio.get_running_loop(),
        asyncio.get_running_loop().create_connection,
        [3],
    )

    async def lacks(make, *where, **more):
        if lacking[0]:
            lacking[0] -= 1
            raise OSError(24, "Too many open files")
        return await connect(make, *where, **more)

    loop.create_connection = lacks
    idle = [RawClient(town) for _ in range(20)]
    await until(lambda: len(platform.client_listener.connections) == 20)
    bulletin.cut()
    await bulletin.until_asked(2)
    assert not lacking[0] and len(idle) == 20 and (await town.handled()).status == 200
    assert platform.listeners.controller.counters["closed: descriptors have run out"] >= 1


@story
async def test_a_configuration_that_is_half_written_at_sighup_is_taken_up_once_it_is_whole(town):
    await town.start(("a", "b"))
    await town.bulletins[0].until_asked(1)
    new = await town.bulletin()
    file = town.configuration()
    whole = file.read_text()
    file.write_text(whole[: len(whole) // 2])
    town.signal("SIGHUP")
    await town.said("configuration rejected")
    file.write_text(whole)
    await new.until_asked(1)
    town.signal("SIGHUP")
    town.signal("SIGTERM")
    town.signal("SIGTERM")
    assert await town.ended() == 0


@story
async def test_whoever_still_waits_at_the_last_moment_is_answered(town):
    platform = await town.start_within()
    town.hosts[0].answers = lambda words: None
    client = RawClient(town)
    client.call()
    await until(lambda: executed(town))
    platform.shutdown.started = True
    platform.shutdown.close_listener()
    platform.shutdown.force_end()
    assert b"HTTP/1.1 502" in await client.read()
    assert await town.task == 3
