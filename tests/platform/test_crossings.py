"""What crosses on the platform's sockets: closes, answers and drains in the same moment. The gateway runs on the
test's own loop, and what is to cross is made ready between two of its passes; docs/races.md lists the cases."""

import socket

from crossing import ONCE, RawClient, executed, until
from town import FUNCTION, SETTINGS, reply, story

from cherrydoor.gateway.tables import ATTEMPTS_AFTER_CLOSE
from cherrydoor.protocol import messages as protocol


@story
async def test_a_request_whose_client_closes_behind_it_is_never_sent_on(town):
    platform = await town.start_within()
    for close in (socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)):
        client = RawClient(town)
        number = client.call()
        close(client.sock)
        left = platform.dispatcher.counters["clients left"]
        await until(lambda left=left: platform.dispatcher.counters["clients left"] > left)
        assert (await town.handled()).status == 200 and number not in executed(town)
    assert not platform.dispatcher.requests and not platform.dispatcher.router.events


@story
async def test_a_close_that_crosses_a_hosts_refusal_ends_the_attempts(town):
    platform = await town.start_within(("a", "b"))
    for host in town.hosts:
        host.answers = lambda words: None
    client = RawClient(town)
    number = client.call()
    await until(lambda: executed(town))
    [link] = [link for host in platform.dispatcher.hosts.values() for link in host.links]
    [end] = platform.client_listener.connections
    platform.post(platform.dispatcher.host_replied, link, protocol.AttemptResult(*link.out, "full"))
    platform.post(platform.dispatcher.client_disconnected, end.client)
    await until(lambda: not platform.dispatcher.requests)
    for host in town.hosts:
        host.answers = host.handles
    assert (await town.handled()).status == 200 and executed(town).count(number) == 1
    assert not platform.dispatcher.router.events and not any(
        h.out for h in platform.dispatcher.router.hosts.values()
    )


@story
async def test_a_close_found_at_a_launch_holds_it_back_though_it_is_not_read_yet(town):
    platform = await town.start_within()
    client = RawClient(town)
    client.call()
    await client.answer()
    [end] = platform.client_listener.connections
    end.transport.pause_reading()  # as where a stall keeps the loop from its sockets
    client.sock.close()
    event = protocol.Request(7, "draft", FUNCTION, 2000.0, platform.clock.now(), "acme")
    platform.post(platform.dispatcher.request_received, end.client, event)
    await until(lambda: platform.dispatcher.counters["closes found at a launch"])
    assert len(executed(town)) == 1 and not platform.dispatcher.requests
    end.transport.resume_reading()


@story
async def test_an_attempt_begun_after_its_client_had_left_shows_in_a_figure_that_is_0_else(town):
    platform = await town.start_within(("a", "b"))
    for host in town.hosts:
        host.answers = lambda words: None
    client = RawClient(town)
    client.call()
    await until(lambda: executed(town))
    [end] = platform.client_listener.connections
    end.transport.pause_reading()
    client.sock.close()
    end.client.connected = lambda now: True  # the guard, taken out
    [link] = [
        link for host in platform.dispatcher.hosts.values() for link in host.links if link.out
    ]
    later = platform.clock.now() + 200
    platform.clock.now = lambda: later
    assert platform.dispatcher.counters[ATTEMPTS_AFTER_CLOSE] == 0
    platform.post(platform.dispatcher.host_replied, link, protocol.AttemptResult(*link.out, "full"))
    platform.post(end.transport.resume_reading)
    await until(
        lambda: not platform.dispatcher.requests and not platform.client_listener.connections
    )
    assert platform.dispatcher.counters[ATTEMPTS_AFTER_CLOSE] == 1


@story
async def test_deadlines_are_kept_by_as_much_as_alarms_have_lately_been_late(town):
    platform = await town.start_within()
    town.hosts[0].answers = lambda words: None
    first, second = RawClient(town), RawClient(town)
    first.call()
    await until(lambda: platform.dispatcher.requests)
    [taken] = platform.dispatcher.requests.values()
    platform.dispatcher.set_timer(
        platform.clock.now() - 60.0, platform.dispatcher.router_messages.clear
    )
    platform.timer_fired()
    await until(lambda: platform.dispatcher.behind > 50.0)
    second.call()
    await until(lambda: len(platform.dispatcher.requests) == 2)
    [_, late] = platform.dispatcher.requests.values()
    assert 1995.0 - (taken.deadline_ms - taken.accepted_at_ms) < 1.0
    assert 1995.0 - (late.deadline_ms - late.accepted_at_ms) > 40.0


@story
async def test_a_timer_that_is_due_after_a_stall_acts_after_the_input_that_came_meanwhile(town):
    platform = await town.start_within()
    town.hosts[0].answers = lambda words: None
    client = RawClient(town)
    client.call()
    await until(lambda: executed(town))
    late = platform.clock.now() + 60000
    platform.clock.now = lambda: late  # all alarms are due: the event's time is up, too
    client.sock.close()
    platform.timer_fired()
    await until(lambda: not platform.dispatcher.requests)
    assert platform.dispatcher.counters["clients left"] == 1
    assert not platform.dispatcher.counters["launches out when the client's time was up"]


@story
async def test_a_client_that_closes_behind_more_than_is_held_has_left(town):
    platform = await town.start_within()
    town.hosts[0].answers = lambda words: None
    client = RawClient(town)
    client.call()
    await until(lambda: executed(town))
    client.sock.sendall(b"x" * 200000)
    client.sock.close()
    await until(lambda: not platform.dispatcher.requests)
    assert platform.dispatcher.counters["clients left"] == 1
    assert not platform.dispatcher.counters["launches out when the client's time was up"]


@story
async def test_what_may_run_once_and_waits_for_a_connection_is_not_sent_once_its_client_has_left(
    town,
):
    platform, dialled, written = await town.start_within(settings=ONCE), [], []
    platform.dispatcher.dial, platform.configuration.limits.connect = dialled.append, 60000.0

    class Wire:
        write, close = written.append, lambda self, reason: None

    client = RawClient(town)
    client.call()
    await until(lambda: dialled)
    client.sock.close()
    await until(lambda: platform.dispatcher.counters["clients left"])
    platform.post(platform.dispatcher.connection_opened, dialled[0], Wire())
    await until(lambda: not platform.dispatcher.requests)
    assert not written and platform.dispatcher.counters["held back: the event is over"] == 1


@story
async def test_nothing_goes_to_a_host_whose_drain_is_told_in_the_same_turn(town):
    platform = await town.start_within(
        settings=SETTINGS | {"prices": {"handshake": 0.08}}
    )  # one connection
    client = RawClient(town)
    client.call()
    await client.answer()
    [end] = platform.client_listener.connections
    before = len(town.hosts[0].got)
    platform.post(
        platform.dispatcher.request_received,
        end.client,
        protocol.Request(7, "draft", FUNCTION, 2000.0, platform.clock.now(), "acme"),
    )
    platform.dispatcher.post(
        platform.dispatcher.order,
        type("Order", (), {"host": "a", "function": FUNCTION, "copies": 1}),
    )
    platform.post(
        platform.dispatcher.endpoints_updated,
        "changes",
        [protocol.Endpoint("a", "draining", 0.0, "east", 0)],
    )
    platform.dispatcher.post(
        platform.dispatcher.order,
        type("Order", (), {"host": "a", "function": FUNCTION, "copies": 1}),
    )
    assert b"HTTP/1.1 503" in await client.answer()
    platform.post(platform.dispatcher.unload, FUNCTION, ["a"])
    await town.hosts[0].until(b"release")
    words = [words[0] for _, words in town.hosts[0].got[before:]]
    assert words == [b"ensure", b"release"], (
        "the order before the drain was told, and none after it"
    )


@story
async def test_the_door_takes_in_what_the_kernel_has_accepted_before_it_closes(town):
    platform = await town.start_within()
    waiting, kept = [RawClient(town) for _ in range(40)], RawClient(town)
    kept.call()
    await kept.answer()
    fresh = [RawClient(town) for _ in range(40)]
    for client in [*waiting, *fresh, kept]:
        client.call()
    platform.shutdown.started = True
    platform.shutdown.close_listener()
    for client in [*waiting, *fresh, kept]:
        assert (await client.read()).startswith(b"HTTP/1.1 ")


@story
async def test_an_idle_connection_closed_over_an_unread_request_ends_with_an_answer_and_no_reset(
    town,
):
    platform = await town.start_within()
    client = RawClient(town)
    client.call()
    await client.answer()
    [end] = platform.client_listener.connections
    client.call()
    end.close("idle, and others need the place", 1000.0)
    assert (await client.read()).startswith(b"HTTP/1.1 503")


@story
async def test_a_late_second_answer_of_a_host_that_had_no_copy_is_not_the_next_attempts(town):
    settings = SETTINGS | {"familyInfo": SETTINGS["familyInfo"] | {"ifCold": "miss"}}
    await town.start(settings=settings)
    host = town.hosts[0]

    def answers(words):
        if words[0] == b"exec" and len(host.commands(b"exec")) == 1:
            return reply(words[1], b"LACK")
        if words[0] == b"exec":
            host.writers[0].write(
                reply(words[1], b"LACK")
            )  # once more, late, where the first had been
            return None
        return host.handles(words)

    host.answers = answers
    client = await town.client()
    number = client.call()
    await host.until(b"exec", 2)
    (first, _), (second, _) = [got for got in host.got if got[1][0] == b"exec"]
    assert first != second
    host.writers[second].write(reply(number.encode(), b"DONE", b"tell=hit", b"ran once"))
    assert (await client.answer()).body == b"ran once" and len(host.commands(b"exec")) == 2


@story
async def test_an_idle_connection_that_its_host_has_closed_is_not_written_to(town):
    platform = await town.start_within(("a", "b"), settings=ONCE)
    assert (await town.handled()).status == 200
    [end] = platform.upstream.connections
    end.transport.pause_reading()  # as where a stall keeps the loop from its sockets
    [host] = [host for host in town.hosts if host.writers]
    host.writers[0].write_eof()
    assert (await town.handled(patience="900")).status == 200 and len(host.commands(b"exec")) == 1
    end.transport.resume_reading()


@story
async def test_what_a_connection_waited_to_be_accepted_is_taken_off_its_first_requests_time(town):
    platform = await town.start_within()
    town.hosts[0].answers = lambda words: None
    clients = [RawClient(town) for _ in range(4)]
    for client in clients:
        client.call()
    [listener] = platform.listeners.listeners
    listener.ready(2)  # as many as a pass takes in; two more wait
    later = platform.clock.now() + 400
    platform.clock.now = lambda: later
    listener.ready(2)
    assert listener.since is None, "nobody waits any more, though a whole pass was taken in"
    await until(lambda: len(platform.dispatcher.requests) == 4)
    assert [
        round((taken.deadline_ms - taken.accepted_at_ms) / 100)
        for taken in platform.dispatcher.requests.values()
    ] == [20, 20, 16, 16]
