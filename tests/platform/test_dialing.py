"""Connections to hosts that time out in the moment in which they open."""

import time
from unittest import mock

from platform_harness import with_harness_on_uvloop

from cherrydoor.platform.host_connection import HostProtocol

STALL_S = 0.3  # longer than the connect timeout of 250 ms


# Guards against a write to a transport that uvloop has closed without a word: the dispatcher
# started anew, and all requests in flight failed.
@with_harness_on_uvloop
async def test_a_connection_that_opens_as_it_times_out_fails_no_other_request(harness):
    service = await harness.start_in_process(("a", "b"))
    made = HostProtocol.connection_made
    stalled = []

    def made_after_a_stall(connection, transport):
        made(connection, transport)
        if not stalled:
            stalled.append(connection)
            time.sleep(STALL_S)

    with mock.patch.object(HostProtocol, "connection_made", made_after_a_stall):
        assert (await harness.send_request()).status == 200
    assert stalled[0].abandoned and stalled[0] not in service.upstream.connections
    assert service.dispatcher.counters["dispatcher restarts"] == 0
    assert service.dispatcher.calls.outcome_counts["attempts ended: no-connection"] == 1
