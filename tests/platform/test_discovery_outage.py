"""Hosts that begin to drain while discovery is unreachable get no new work after a grace period.

Fault: in a fleet of 3 gateways and one of 51, 1,001 attempts and 111 load orders reached draining
hosts after the time at which discovery counts as having announced the drain, plus the grace. The
hosts answered all of them as full; none ran.

Sequence: each gateway's discovery server refused connections. Less than a second later two busy
hosts began to drain, and stayed up. The outage counts as announcing the drain after 4 s, and then
the grace follows: from 7.6 s after the drain on, each further attempt broke the rule. The gateways
continued to send for the complete_text outage.

Cause: the endpoint list never expired. `HostCalls.held_back_reason` and `AttemptRules.allows`
used the last state received, however old it was, and a host's own signs of a drain counted as a
full queue.

Evidence: as far as the logs reach, the gateways logged `discovery watch connection ended`, reason
`not connected: [Errno 111] Connection refused`, with `"last_revision": 1`, three times in 1.2 s.
So they noticed the outage, but did not act on it. In each attempt that was traced, the draining
host was tried first and answered within 2 ms that it was full; another host served the request.
"""

import asyncio
import contextlib

from platform_harness import SETTINGS, reply, with_harness

GRACE_S = 0.5
# From the start of an outage until a drain counts as announced, by the protocol page.
NOTIFIED_AFTER_S = 4.0
SLACK_S = 0.05  # tolerance that the protocol page adds to each time limit
# Clients send for this time after the moment from which an attempt breaks the rule.
PROOF_S = 1.5
CLIENTS = 4
FUNCTIONS = [f"{number:016x}" for number in range(1, 9)]
OUTAGE_SETTINGS = SETTINGS | {
    "rules": SETTINGS["rules"] | {"drainGrace": int(GRACE_S * 1e6)},
}


def draining(words):
    """Returns the reply of a draining host, which stays up but runs nothing new."""
    if words[0] == b"health":
        return reply(words[1], b"UNFIT")
    return reply(words[1], b"WAIT") if words[0] in (b"exec", b"ensure") else None


def unfit(host):
    """Returns the answers of a draining host that runs what still comes, and fails its checks."""

    def answers(words):
        return reply(words[1], b"UNFIT") if words[0] == b"health" else host.handles(words)

    return answers


class Arrivals:
    """Records when new work arrives at a host, in s of the event loop's clock."""

    def __init__(self, host):
        self.times = []
        self.answers = host.answers
        host.answers = self.record

    def record(self, words):
        if words[0] == b"exec" or words[0] == b"ensure" and b"copies=0" not in words[2]:
            self.times.append(asyncio.get_running_loop().time())
        return self.answers(words)

    def after(self, time_s):
        return [time for time in self.times if time > time_s]


async def send_until(harness, end_s, answers):
    """Sends one request after another on its own connection; records times and statuses."""
    client = await harness.client()
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < end_s:
        client.call(function=FUNCTIONS[number % len(FUNCTIONS)])
        number += 1
        answers.append((loop.time(), (await client.answer()).status))
        await asyncio.sleep(0.01)
    client.writer.close()


@contextlib.asynccontextmanager
async def outage(harness):
    """Stops the discovery server: aborts its connections, and new ones are refused."""
    discovery = harness.discovery_servers[0]
    discovery.server.close()
    discovery.abort_connections()
    yield asyncio.get_running_loop().time()


@with_harness
async def test_a_host_that_drains_during_a_discovery_outage_gets_nothing_new(harness):
    await harness.start(("a", "b", "c"), settings=OUTAGE_SETTINGS)
    await harness.discovery_servers[0].until_requested(1)
    for function in FUNCTIONS:
        assert (await harness.send_request(function=function)).status == 200
    arrivals = Arrivals(harness.hosts[0])
    async with outage(harness) as began_s:
        arrivals.answers = draining
        forbidden_from_s = began_s + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
        answers = []
        end_s = forbidden_from_s + PROOF_S
        clients = (send_until(harness, end_s, answers) for _ in range(CLIENTS))
        await asyncio.gather(*clients)
    late = arrivals.after(forbidden_from_s)
    assert not late, f"{len(late)} sends to a draining host after its grace"
    after = [status for time, status in answers if time > forbidden_from_s]
    assert len(after) > 100 and after.count(200) > 0.95 * len(after)


@with_harness
async def test_a_gateway_that_starts_during_an_outage_sends_nothing_new_after_a_drain(harness):
    await harness.prepare(("a", "b", "c"))
    harness.discovery_servers[0].server.close()
    harness.run(harness.configuration(settings=OUTAGE_SETTINGS))
    await harness.ready()
    arrivals = Arrivals(harness.hosts[0])
    arrivals.answers = draining
    # The outage began long before, so a drain counts as announced when it begins.
    forbidden_from_s = asyncio.get_running_loop().time() + GRACE_S + SLACK_S
    answers = []
    clients = (send_until(harness, forbidden_from_s + PROOF_S, answers) for _ in range(CLIENTS))
    await asyncio.gather(*clients)
    assert not arrivals.after(forbidden_from_s)
    assert [status for _, status in answers].count(200) > 0.95 * len(answers)


@with_harness
async def test_the_timeout_is_longer_at_the_next_try_for_a_server_that_answers_late(harness):
    await harness.start(("a", "b"))
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    serve = discovery.serve

    async def serve_late(reader, writer):
        await asyncio.sleep(2.2)  # longer than the first timeout, shorter than the second
        await serve(reader, writer)

    discovery.server.close()
    discovery.abort_connections()
    discovery.server = await asyncio.start_server(serve_late, "127.0.0.1", discovery.port)
    discovery.updates.append(harness.update(2, a="terminating"))
    await harness.until_applied(2)


@with_harness
async def test_an_attempt_waiting_for_a_connection_is_held_back_once_the_lease_has_ended(harness):
    service = await harness.start_in_process(settings=OUTAGE_SETTINGS)
    host = harness.hosts[0]
    service.dispatcher.router.may_get_new_work = lambda host_id, now_ms: False
    assert (await harness.send_request()).status == 503
    assert service.dispatcher.counters["held back: the host has no lease"] >= 1
    assert not host.commands(b"exec") and not host.commands(b"ensure")
    del service.dispatcher.router.may_get_new_work
    assert (await harness.send_request()).status == 200


# Guards against new work for a host that drains while discovery answers and tells nothing.
@with_harness
async def test_a_host_that_drains_while_discovery_sends_only_heads_gets_nothing_new(harness):
    await harness.start(("a", "b", "c"), settings=OUTAGE_SETTINGS)
    discovery = harness.discovery_servers[0]
    await discovery.until_requested(1)
    for function in FUNCTIONS:
        assert (await harness.send_request(function=function)).status == 200
    arrivals = Arrivals(harness.hosts[0])
    discovery.heads_only = True
    arrivals.answers = unfit(harness.hosts[0])
    began_s = asyncio.get_running_loop().time()
    forbidden_from_s = began_s + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
    answers = []
    end_s = forbidden_from_s + PROOF_S
    await asyncio.gather(*(send_until(harness, end_s, answers) for _ in range(CLIENTS)))
    late = arrivals.after(forbidden_from_s)
    assert len(discovery.requested_revisions) > 2, "discovery was asked again and answered"
    assert not late, f"{len(late)} sends to a draining host after its grace"
    after = [status for time, status in answers if time > forbidden_from_s]
    assert len(after) > 100 and after.count(200) > 0.95 * len(after)
