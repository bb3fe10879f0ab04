"""The gateway in its own process, with hosts, a discovery server and clients of the test."""

import asyncio

import pytest
from platform_harness import FUNCTION, SETTINGS, TEST_TIMEOUT_S, call, reply, with_harness


async def refused_or_closed(client):
    """Checks that a bad client gets a response other than 200, or a close; never silence."""
    answer = await client.answer()
    assert answer is None or answer.status != 200
    await client.closed()


@with_harness
async def test_a_request_reaches_its_host_unchanged_and_gets_the_hosts_own_body(harness):
    await harness.start()
    host = harness.hosts[0]
    client = await harness.client()
    for body in (b"", b"\x00\xff\r\n", b"x" * 16384):
        number = client.call(body=body)
        answer = await client.answer()
        assert (answer.status, answer.body) == (200, b"body of " + number.encode())
        words = host.commands(b"exec")[-1]
        fields = dict(pair.split(b"=") for pair in words[2].split(b","))
        assert words[1] == number.encode() and words[3] == body
        assert fields[b"cls"] == b"draft" and fields[b"item"] == FUNCTION.encode()
        assert 0 < int(fields[b"limit"]) <= 2000 and b"nonce" not in fields
    client.call(extra_headers=("X-Dedupe-Key: pay-41",))
    assert (await client.answer()).status == 200
    assert b"nonce=pay-41" in host.commands(b"exec")[-1][2].split(b",")


@with_harness
async def test_a_gateway_under_the_platforms_system_call_filter_starts_serves_reloads_and_drains(
    harness,
):
    await harness.prepare(["a"])
    file = harness.configuration()
    harness.run(file, filtered=True)
    await harness.ready()
    assert (await harness.send_request()).status == 200
    new = await harness.start_discovery_server()
    harness.configuration()
    harness.signal("SIGHUP")
    await new.until_requested(1)
    assert (await harness.send_request()).status == 200
    harness.signal("SIGTERM")
    assert await harness.ended() == 0


@with_harness
async def test_bad_requests_reach_no_host_while_valid_ones_succeed(harness):
    await harness.start()
    bad = [
        call(harness.number(), request_class="no-such"),
        call(harness.number(), tenant="nobody"),
        call("12"),
        call(harness.number(), timeout_ms="900000"),
        b"\x00" * 100 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        call(harness.number(), extra_headers=("Transfer-Encoding: chunked",))
        + b"0\r\n\r\n"
        + call(harness.number()),
        b"POST " + b"x" * 20000,
        call(harness.number()).replace(b"Content-Length: 0", b"Content-Length: 60000000"),
    ]
    for data in bad:
        client = await harness.client()
        client.send(data)
        await refused_or_closed(client)
    good = [await harness.send_request() for _ in range(3)]
    assert [response.status for response in good] == [200] * 3
    assert len(harness.hosts[0].commands(b"exec")) == 3


@with_harness
async def test_silent_connections_and_incomplete_requests_are_closed(harness):
    await harness.start()
    silent, half = await harness.client(), await harness.client()
    half.send(call(harness.number())[:60])
    started_at_s = asyncio.get_running_loop().time()
    await silent.closed()
    await half.closed()
    assert asyncio.get_running_loop().time() - started_at_s < TEST_TIMEOUT_S and not harness.hosts[
        0
    ].commands(b"exec")


@with_harness
async def test_hundreds_of_silent_connections_do_not_keep_active_clients_out(harness):
    await harness.start()
    silent = [await harness.client() for _ in range(300)]
    for _ in range(5):
        assert (await harness.send_request()).status == 200
    assert len(silent) == 300


@with_harness
async def test_idle_connections_make_room_for_new_ones(harness):
    await harness.start()
    clients = []
    for number in range(160):  # nearly twice as many as there are slots
        if number == 80:
            await asyncio.sleep(0.3)  # after this the first 80 are idle for long enough
        clients.append(await harness.client())
        clients[-1].call()
        assert (await clients[-1].answer()).status == 200
    await harness.until_logged("idle, and others need the place")
    harness.signal("SIGTERM")
    await harness.until_logged('"is": "usage"')
    assert "refused: " not in harness.log_text()


@with_harness
async def test_the_id_of_a_request_in_flight_is_not_accepted_again(harness):
    await harness.start()
    host = harness.hosts[0]
    host.answers = lambda words: None
    first, second = await harness.client(), await harness.client()
    number = first.call(body=b"one")
    await host.until(b"exec")
    second.call(number, body=b"two")
    assert (await second.answer()).status == 409
    host.writers[0].write(reply(number.encode(), b"DONE", b"tell=hit", b"fine"))
    assert (await first.answer()).body == b"fine"
    assert [words[3] for words in host.commands(b"exec")] == [b"one"]


@with_harness
async def test_a_client_that_closes_has_its_attempt_cancelled(harness):
    await harness.start()
    host = harness.hosts[0]
    host.answers = lambda words: None
    client = await harness.client()
    number = client.call()
    await host.until(b"exec")
    client.writer.close()
    assert (await host.until(b"drop"))[1] == number.encode()


@with_harness
async def test_a_malformed_reply_fails_its_connection_alone_and_the_request_is_retried_elsewhere(
    harness,
):
    await harness.start(("a", "b"))
    for host in harness.hosts:

        def reply_malformed(words, host=host):
            others = [other for other in harness.hosts if other is not host]
            if words[0] == b"exec" and not others[0].commands(b"exec"):
                return (
                    b"*4\r\n$16\r\n"
                    + words[1]
                    + b"\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\n"
                    + b"x" * 5000
                )
            return host.handles(words)

        host.answers = reply_malformed
    assert (await harness.send_request()).status == 200
    await harness.until_logged("reply element too large: 3000000000 bytes")
    assert all(host.commands(b"exec") for host in harness.hosts)


@with_harness
async def test_an_incomplete_reply_fails_its_connection_after_a_timeout(harness):
    await harness.start(("a", "b"))
    for host in harness.hosts:

        def reply_incomplete(words, host=host):
            complete = host.handles(words)
            other = next(candidate for candidate in harness.hosts if candidate is not host)
            return (
                complete[:-5] if words[0] == b"exec" and not other.commands(b"exec") else complete
            )

        host.answers = reply_incomplete
    assert (await harness.send_request()).status == 200
    await harness.until_logged("a reply is incomplete")


@with_harness
async def test_a_duplicate_reply_and_an_unknown_id_are_ignored(harness):
    await harness.start()
    host = harness.hosts[0]

    def reply_twice(words):
        valid = host.handles(words)
        return (
            reply(b"00000000000000ee", b"DONE", b"-", b"not yours") + valid + valid
            if words[0] == b"exec"
            else valid
        )

    host.answers = reply_twice
    client = await harness.client()
    for _ in range(3):
        number = client.call()
        assert (await client.answer()).body == b"body of " + number.encode()
    assert len(host.writers) == 1


@with_harness
async def test_an_unreachable_host_is_replaced_by_another(harness):
    await harness.start(("a", "b"))
    harness.hosts[0].server.close()
    for writer in harness.hosts[0].writers:
        writer.close()
    responses = [await harness.send_request(function=f"{number:016x}") for number in range(8)]
    assert [response.status for response in responses] == [200] * 8


@with_harness
async def test_a_connection_that_left_an_attempt_without_a_reply_is_not_used_again(harness):
    await harness.start()
    host = harness.hosts[0]
    assert (await harness.send_request()).status == 200
    # The first connection never replies again, as after a network failure; new connections work.
    dead = {0}
    host.answers = lambda words: None if host.received[-1][0] in dead else host.handles(words)
    assert (await harness.send_request(timeout_ms="900")).status != 200
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while (await harness.send_request(timeout_ms="900")).status != 200:
            await asyncio.sleep(0.05)
    assert (
        len([number for number, words in host.received if number in dead and words[0] == b"exec"])
        == 2
    )


@pytest.mark.parametrize("price, max_connections", [(0.0, 6), (0.08, 1), (0.02, 4)])
def test_attempts_share_connections_until_enough_calls_pay_for_another_handshake(
    tmp_path, price, max_connections
):
    @with_harness
    async def shared(harness):
        await harness.start(settings=SETTINGS | {"prices": {"handshake": price}})
        host, clients = harness.hosts[0], [await harness.client() for _ in range(6)]
        host.answers = lambda words: None
        for client in clients:
            client.call()
        await host.until(b"exec", 6)
        assert (
            len({number for number, words in host.received if words[0] == b"exec"})
            == max_connections
        )

    shared(tmp_path)


@with_harness
async def test_a_request_that_the_router_rejects_gets_a_retry_after_at_once(harness):
    await harness.start()
    host = harness.hosts[0]
    host.answers = lambda words: reply(words[1], b"WAIT") if words[0] == b"exec" else None
    answer = await harness.send_request()
    assert answer.status == 503 and 0 < int(answer.headers["x-come-back-ms"]) <= 1000


@with_harness
async def test_a_request_without_a_reply_fails_before_its_deadline(harness):
    await harness.start()
    harness.hosts[0].answers = lambda words: None
    started_at_s = asyncio.get_running_loop().time()
    answer = await harness.send_request(timeout_ms="700")
    assert (
        answer.status in (502, 503)
        and asyncio.get_running_loop().time() - started_at_s < TEST_TIMEOUT_S
    )


@with_harness
async def test_a_refused_request_is_logged_with_its_id_and_how_its_attempts_ended(harness):
    await harness.start()
    host = harness.hosts[0]
    host.answers = lambda words: reply(words[1], b"WAIT")
    client = await harness.client()
    number = client.call()
    assert (await client.answer()).status == 503
    await harness.until_logged(f'"is": "request refused", "request": "{number}", "reason": "full"')
    harness.signal("SIGTERM")
    assert await harness.ended() == 0
    assert '"outcomes": {"attempts ended: full": 1}' in harness.log_text()
