"""The work for one event of the discovery stream does not grow with the number of listed hosts.

The fault behind these tests: docs/incidents/large-fleet.md. While many hosts of a large fleet were
replaced, the gateway computed for over 20 s and answered nobody.
"""

import sys

from platform_harness import with_harness

from cherrydoor.codecs import sse
from cherrydoor.routing.range_owners import REDISTRIBUTE_AFTER_MS

SMALL, LARGE = 200, 1600
MAX_GROWTH = 1.2  # of the work for an event, from the small to the large fleet


def endpoint(number, state, started_at_ms=0.0, generation="s"):
    return sse.ListedEndpoint(
        f"{generation}-{number:06}",
        f"127.0.0.1:{1024 + number}",
        state,
        "east",
        number // 5,
        started_at_ms,
    )


class OpcodeCount:
    """Counts the bytecode instructions that run while it is active."""

    def __init__(self):
        self.count = 0

    def trace(self, frame, event, argument):
        frame.f_trace_opcodes = True
        self.count += event == "opcode"
        return self.trace

    def __enter__(self):
        sys.settrace(self.trace)
        return self

    def __exit__(self, *_):
        sys.settrace(None)


def work_of_a_replacement(service, watch, hosts):
    """Lists this many hosts, and replaces one; returns the instructions that this took."""
    dispatcher = service.dispatcher
    rows = [endpoint(number, sse.READY) for number in range(hosts)]
    watch.update_received(sse.EndpointUpdate(watch.last_revision + 1, True, rows))
    dispatcher.tick(dispatcher.now)
    dispatcher.tick(dispatcher.now + REDISTRIBUTE_AFTER_MS)
    assert len(service.upstream.addresses) == hosts
    number = hosts // 2
    replacement = (
        endpoint(number, sse.DRAINING),
        endpoint(number, sse.GONE),
        endpoint(number, sse.READY, service.clock.now(), "t"),
    )
    count = OpcodeCount()
    for row in replacement:
        with count:
            watch.update_received(sse.EndpointUpdate(watch.last_revision + 1, False, [row]))
            dispatcher.tick(dispatcher.now)  # no timer is due
    owners = dispatcher.router.zone_table.owners
    assert owners[number].id == replacement[-1].id
    return count.count


@with_harness
async def test_the_work_for_an_event_does_not_grow_with_the_list(harness):
    service = await harness.start_in_process()
    watch = service.discovery_watch
    watch.stop()
    small = work_of_a_replacement(service, watch, SMALL)
    large = work_of_a_replacement(service, watch, LARGE)
    assert large <= MAX_GROWTH * small, (small, large)
