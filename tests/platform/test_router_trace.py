"""The trace that shows the router's state of hosts next to the traffic."""

from blocking_client import until
from platform_harness import with_harness

from cherrydoor.platform.router_trace import RouterTrace


@with_harness
async def test_the_trace_shows_the_routers_state_and_the_traffic_since_the_last_line(harness):
    service = await harness.start_in_process()
    written = []
    service.log.write = lambda event, **fields: written.append((event, fields))
    RouterTrace(service, 5.0).start()
    assert (await harness.send_request()).status == 200
    await until(lambda: any(fields["hosts"][0]["crossed"] for _, fields in written))
    (event, fields) = next(line for line in written if line[1]["hosts"][0]["crossed"])
    (row,) = fields["hosts"]
    assert event == "believed" and fields["listed"]
    assert (row["host"], row["state"], row["lease"]) == ("a", "ready", True)
    assert row["crossed"]["Attempt"] == 1
