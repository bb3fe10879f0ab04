"""The gateway on the platform, started as in service, between hosts, a bulletin and clients of the test's own."""

import asyncio

import pytest
from town import FUNCTION, LONG, SETTINGS, call, reply, story


async def refused_or_closed(client):
    """What a bad client is owed: an answer that is not 200, or a close; never silence."""
    answer = await client.answer()
    assert answer is None or answer.status != 200
    await client.closed()


@story
async def test_an_event_is_handled_with_the_hosts_own_body_and_goes_on_unchanged(town):
    await town.start()
    host = town.hosts[0]
    client = await town.client()
    for body in (b"", b"\x00\xff\r\n", b"x" * 16384):
        number = client.call(body=body)
        answer = await client.answer()
        assert (answer.status, answer.body) == (200, b"body of " + number.encode())
        words = host.commands(b"exec")[-1]
        fields = dict(pair.split(b"=") for pair in words[2].split(b","))
        assert words[1] == number.encode() and words[3] == body
        assert fields[b"cls"] == b"draft" and fields[b"item"] == FUNCTION.encode()
        assert 0 < int(fields[b"limit"]) <= 2000 and b"nonce" not in fields
    client.call(extra=("X-Dedupe-Key: pay-41",))
    assert (await client.answer()).status == 200
    assert b"nonce=pay-41" in host.commands(b"exec")[-1][2].split(b",")


@story
async def test_a_gateway_held_by_the_platforms_filter_starts_serves_reloads_and_leaves(town):
    await town.built(["a"])
    file = town.configuration()
    town.run(file, held=True)
    await town.ready()
    assert (await town.handled()).status == 200
    new = await town.bulletin()
    town.configuration()
    town.signal("SIGHUP")
    await new.until_asked(1)
    assert (await town.handled()).status == 200
    town.signal("SIGTERM")
    assert await town.ended() == 0


@story
async def test_bad_calls_reach_no_host_and_usual_ones_are_served_meanwhile(town):
    await town.start()
    bad = [
        call(town.number(), kind="no-such"),
        call(town.number(), customer="nobody"),
        call("12"),
        call(town.number(), patience="900000"),
        b"\x00" * 100 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        call(town.number(), extra=("Transfer-Encoding: chunked",))
        + b"0\r\n\r\n"
        + call(town.number()),
        b"POST " + b"x" * 20000,
        call(town.number()).replace(b"Content-Length: 0", b"Content-Length: 60000000"),
    ]
    for data in bad:
        client = await town.client()
        client.send(data)
        await refused_or_closed(client)
    good = [await town.handled() for _ in range(3)]
    assert [one.status for one in good] == [200] * 3
    assert len(town.hosts[0].commands(b"exec")) == 3


@story
async def test_silent_and_half_said_connections_are_closed(town):
    await town.start()
    silent, half = await town.client(), await town.client()
    half.send(call(town.number())[:60])
    began = asyncio.get_running_loop().time()
    await silent.closed()
    await half.closed()
    assert asyncio.get_running_loop().time() - began < LONG and not town.hosts[0].commands(b"exec")


@story
async def test_silent_connections_by_the_hundred_do_not_keep_usual_clients_out(town):
    await town.start()
    silent = [await town.client() for _ in range(300)]
    for _ in range(5):
        assert (await town.handled()).status == 200
    assert len(silent) == 300


@story
async def test_connections_that_asked_once_and_stay_make_room_for_those_who_come(town):
    await town.start()
    stay = []
    for n in range(160):  # nearly twice as many as there are places
        if n == 80:
            await asyncio.sleep(0.3)  # from then on they are idle for long enough
        stay.append(await town.client())
        stay[-1].call()
        assert (await stay[-1].answer()).status == 200
    await town.said("idle, and others need the place")
    town.signal("SIGTERM")
    await town.said('"is": "usage"')
    assert "refused: " not in town.logged()


@story
async def test_the_id_of_an_open_event_is_not_taken_again(town):
    await town.start()
    host = town.hosts[0]
    host.answers = lambda words: None
    first, second = await town.client(), await town.client()
    number = first.call(body=b"one")
    await host.until(b"exec")
    second.call(number, body=b"two")
    assert (await second.answer()).status == 409
    host.writers[0].write(reply(number.encode(), b"DONE", b"tell=hit", b"fine"))
    assert (await first.answer()).body == b"fine"
    assert [words[3] for words in host.commands(b"exec")] == [b"one"]


@story
async def test_a_client_that_closes_has_given_up_and_its_launch_is_dropped(town):
    await town.start()
    host = town.hosts[0]
    host.answers = lambda words: None
    client = await town.client()
    number = client.call()
    await host.until(b"exec")
    client.writer.close()
    assert (await host.until(b"drop"))[1] == number.encode()


@story
async def test_a_spoilt_answer_ends_its_connection_alone_and_the_event_is_launched_elsewhere(town):
    await town.start(("a", "b"))
    for host in town.hosts:

        def spoils(words, host=host):
            others = [one for one in town.hosts if one is not host]
            if words[0] == b"exec" and not others[0].commands(b"exec"):
                return (
                    b"*4\r\n$16\r\n"
                    + words[1]
                    + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\n"
                    + b"x" * 5000
                )
            return host.handles(words)

        host.answers = spoils
    assert (await town.handled()).status == 200
    await town.said("a word of 3000000000 bytes")
    assert all(host.commands(b"exec") for host in town.hosts)


@story
async def test_an_answer_that_stops_short_is_not_waited_for(town):
    await town.start(("a", "b"))
    for host in town.hosts:

        def stops(words, host=host):
            whole = host.handles(words)
            other = next(one for one in town.hosts if one is not host)
            return whole[:-5] if words[0] == b"exec" and not other.commands(b"exec") else whole

        host.answers = stops
    assert (await town.handled()).status == 200
    await town.said("a reply is incomplete")


@story
async def test_a_second_copy_and_an_unknown_id_in_front_are_passed_over(town):
    await town.start()
    host = town.hosts[0]

    def more(words):
        good = host.handles(words)
        return (
            reply(b"00000000000000ee", b"DONE", b"-", b"not yours") + good + good
            if words[0] == b"exec"
            else good
        )

    host.answers = more
    client = await town.client()
    for _ in range(3):
        number = client.call()
        assert (await client.answer()).body == b"body of " + number.encode()
    assert len(host.writers) == 1


@story
async def test_a_host_that_cannot_be_reached_is_left_for_another(town):
    await town.start(("a", "b"))
    town.hosts[0].server.close()
    for writer in town.hosts[0].writers:
        writer.close()
    answers = [await town.handled(function=f"{n:016x}") for n in range(8)]
    assert [one.status for one in answers] == [200] * 8


@story
async def test_a_connection_that_left_a_launch_without_a_word_is_not_used_again(town):
    await town.start()
    host = town.hosts[0]
    assert (await town.handled()).status == 200
    dead = {0}  # what was open is silent for good, as after a cut; what comes up anew is well
    host.answers = lambda words: None if host.got[-1][0] in dead else host.handles(words)
    assert (await town.handled(patience="900")).status != 200
    async with asyncio.timeout(LONG):
        while (await town.handled(patience="900")).status != 200:
            await asyncio.sleep(0.05)
    assert len([n for n, words in host.got if n in dead and words[0] == b"exec"]) == 2


@pytest.mark.parametrize("price, most", [(0.0, 6), (0.08, 1), (0.02, 4)])
def test_where_a_handshake_has_a_price_launches_share_connections_until_these_have_borne_it(
    tmp_path, price, most
):
    @story
    async def shared(town):
        await town.start(settings=SETTINGS | {"prices": {"handshake": price}})
        host, clients = town.hosts[0], [await town.client() for _ in range(6)]
        host.answers = lambda words: None
        for client in clients:
            client.call()
        await host.until(b"exec", 6)
        assert len({number for number, words in host.got if words[0] == b"exec"}) == most

    shared(tmp_path)


@story
async def test_what_the_module_gives_up_on_is_answered_at_once_with_when_to_come_back(town):
    await town.start()
    host = town.hosts[0]
    host.answers = lambda words: reply(words[1], b"WAIT") if words[0] == b"exec" else None
    answer = await town.handled()
    assert answer.status == 503 and 0 < int(answer.headers["x-come-back-ms"]) <= 1000


@story
async def test_an_event_without_an_answer_is_answered_before_its_time_is_up(town):
    await town.start()
    town.hosts[0].answers = lambda words: None
    began = asyncio.get_running_loop().time()
    answer = await town.handled(patience="700")
    assert answer.status in (502, 503) and asyncio.get_running_loop().time() - began < LONG
