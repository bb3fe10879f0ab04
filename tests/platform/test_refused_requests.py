"""Refused requests: the response, and the counter for operators."""

import pytest
from platform_harness import call, with_harness

REQUEST_ID = "9b1f03aa5c7e2d41"


@pytest.mark.parametrize(
    "request_bytes, status, reason, counter",
    [
        (
            call(REQUEST_ID, request_class="no-such"),
            400,
            b"X-Class: no such event type",
            "bad requests: unknown request class",
        ),
        (
            call(REQUEST_ID, tenant="nobody"),
            400,
            b"X-Customer: no such customer",
            "bad requests: unknown tenant",
        ),
        (
            call(REQUEST_ID, timeout_ms="900000"),
            400,
            b"X-Patience-Ms: longer than any event may take",
            "bad requests: timeout too long",
        ),
        (call("12"), 400, b"X-Call-Id is 16 hex digits", "bad requests: 400"),
        (
            call(REQUEST_ID).replace(b"POST", b"PUT"),
            405,
            b"a call is a POST",
            "bad requests: 405",
        ),
    ],
)
def test_a_refused_request_gets_the_reason_and_is_counted(
    tmp_path, request_bytes, status, reason, counter
):
    @with_harness
    async def refused(harness):
        service = await harness.start_in_process()
        client = await harness.client()
        client.send(request_bytes)
        answer = await client.answer()
        assert (answer.status, answer.body) == (status, reason)
        assert await client.closed() == b""
        counters = service.dispatcher.counters
        counted = {
            name: count for name, count in counters.items() if name.startswith("bad requests")
        }
        assert counted == {counter: 1} and not harness.hosts[0].commands(b"exec")

    refused(tmp_path)


@with_harness
async def test_an_id_that_was_accepted_before_is_a_conflict_and_is_counted(harness):
    service = await harness.start_in_process()
    client = await harness.client()
    client.call(REQUEST_ID)
    assert (await client.answer()).status == 200
    client.call(REQUEST_ID)
    answer = await client.answer()
    assert (answer.status, answer.body) == (409, b"X-Call-Id: known already")
    assert await client.closed() == b""
    assert service.dispatcher.counters["bad requests: duplicate request id"] == 1
    assert len(harness.hosts[0].commands(b"exec")) == 1
