"""A lack of descriptors costs no client the response to its request.

Fault: with more hosts than descriptors, a busy client was answered 503, which promises that the
request has had no effect, while a host was running its at-most-once request. The client sent the
request again, and it ran twice. docs/incidents/descriptor-exhaustion.md has the whole story.
"""

import asyncio
import errno

from blocking_client import AT_MOST_ONCE_SETTINGS, until
from platform_harness import call, reply, with_harness

FUNCTIONS = [f"{number * 0x1F3A9C21E0B4:016x}" for number in range(1, 121)]
SMALL_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 64}


class ExhaustedDescriptors:
    """Lets the next connects of the event loop fail as if no descriptor were free."""

    def __init__(self, failures):
        self.failures_left = failures
        loop = asyncio.get_running_loop()
        self.connect = loop.create_connection
        loop.create_connection = self.connect_or_fail

    async def connect_or_fail(self, make, *address, **options):
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(errno.EMFILE, "Too many open files")
        return await self.connect(make, *address, **options)


async def start_running_request(harness):
    """Sends an at-most-once request, which its host begins and does not answer yet."""
    harness.hosts[0].answers = lambda words: None
    client = await harness.client()
    number = client.call(timeout_ms="3000")
    await harness.hosts[0].until(b"exec")
    return client, number


def finish(harness, number):
    """Lets the host answer the request."""
    harness.hosts[0].writers[0].write(reply(number.encode(), b"DONE", b"tell=hit", b"booked"))


# Guards against a busy client that is refused for the descriptor of its connection.
@with_harness
async def test_a_client_whose_request_runs_keeps_its_connection_when_descriptors_run_out(harness):
    service = await harness.start_in_process(settings=AT_MOST_ONCE_SETTINGS)
    await harness.discovery_servers[0].until_requested(1)
    client, number = await start_running_request(harness)
    exhausted = ExhaustedDescriptors(20)
    harness.discovery_servers[0].abort_connections()
    await until(lambda: not exhausted.failures_left)
    await harness.discovery_servers[0].until_requested(2)
    assert service.listeners.controller.counters["descriptors ran out"] >= 10
    finish(harness, number)
    answer = await client.answer()
    assert (answer.status, answer.body) == (200, b"booked")
    client.call()
    assert len(service.client_listener.connections) == 1, "the connection stays open"


# Guards against the same refusal when a client pipelines a request and never finishes it.
@with_harness
async def test_an_unfinished_request_behind_a_running_one_does_not_refuse_the_running_one(harness):
    service = await harness.start_in_process(settings=AT_MOST_ONCE_SETTINGS)
    client, number = await start_running_request(harness)
    client.send(call(harness.number())[:60])
    counters = service.listeners.controller.counters
    await until(lambda: counters.get("closed: a frame was not finished in time"))
    finish(harness, number)
    answer = await client.answer()
    assert (answer.status, answer.body) == (200, b"booked")
    assert answer.headers["connection"] == "close" and await client.closed() == b""
    assert len(harness.hosts[0].commands(b"exec")) == 1


# Guards against a client that loses its connection although a host's idle one could be spared.
@with_harness
async def test_an_idle_connection_to_a_host_is_closed_before_a_clients(harness):
    service = await harness.start_in_process()
    client = await harness.client()
    client.call()
    assert (await client.answer()).status == 200
    assert len(service.upstream.connections) == 1
    ExhaustedDescriptors(1)
    harness.discovery_servers[0].abort_connections()
    await harness.discovery_servers[0].until_requested(2)
    await until(lambda: not service.upstream.connections)
    client.call()
    assert (await client.answer()).status == 200


# Guards against idle connections to hosts that use up the descriptors of the clients.
@with_harness
async def test_more_hosts_than_descriptors_share_those_set_apart_for_hosts(harness):
    names = [f"h{number}" for number in range(40)]
    service = await harness.start_in_process(names, limits=SMALL_LIMITS)
    limit = service.configuration.limits.host_connections
    client = await harness.client()
    most = 0
    for function in FUNCTIONS:
        client.call(function=function)
        assert (await client.answer()).status == 200
        most = max(most, len(service.dispatcher.connections.all))
    used_hosts = [host for host in harness.hosts if host.commands(b"exec")]
    assert limit == 11 and len(used_hosts) > 2 * limit
    assert most == limit
