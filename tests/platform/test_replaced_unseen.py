"""A host that is replaced while the list cannot say so: no keyed request is applied twice.

The fault behind these tests: docs/incidents/replaced-unseen.md.
"""

import asyncio

from blocking_client import until
from keyed_cells import Cells, replace_host, send_keyed
from platform_harness import with_harness

from cherrydoor.routing.endpoint_leases import MIN_DRAIN_NOTICE_MS


async def replace_during_outage(harness, cells, service):
    """Makes discovery unreachable until its list is incomplete, and replaces the host "old"."""
    await until(lambda: service.discovery_watch.requested_at_ms is None)
    discovery = harness.discovery_servers[0]
    discovery.server.close()
    discovery.abort_connections()
    cells.attach(await replace_host(harness, "old", "new"))
    await asyncio.sleep(MIN_DRAIN_NOTICE_MS / 1000)
    await until(lambda: not service.dispatcher.router.list_lease.is_complete(service.clock.now()))


@with_harness
async def test_in_an_outage_a_keyed_request_is_not_repeated_at_a_successor(harness):
    cells = Cells(harness, {"bad": 1, "old": 1, "new": 2})
    service = await cells.start()
    await send_keyed(harness, "before")
    cells.runs.clear()
    await replace_during_outage(harness, cells, service)
    cells.resetting.add("bad")
    await send_keyed(harness, "after")
    assert cells.ran_first_at("bad") >= 2
    assert not cells.applied_twice()


async def replace_unlisted(harness, resetting):
    """Replaces "old" by a successor that is not listed, and lets a host reset connections."""
    cells = Cells(harness, {"bad": 1, "old": 1, "new": 2})
    service = await cells.start()
    await send_keyed(harness, "before")
    cells.runs.clear()
    await until(lambda: service.discovery_watch.requested_at_ms is None)
    cells.attach(await replace_host(harness, "old", "new"))
    cells.resetting.add(resetting)
    await send_keyed(harness, "after")
    assert cells.ran_first_at(resetting) >= 2
    return cells


@with_harness
async def test_a_keyed_request_is_not_repeated_at_a_successor_that_is_not_listed_yet(harness):
    cells = await replace_unlisted(harness, "bad")
    assert not cells.applied_twice()


@with_harness
async def test_a_keyed_request_that_a_successor_ran_is_not_repeated_in_the_cell_before_it(harness):
    cells = await replace_unlisted(harness, "new")
    assert not cells.applied_twice()
