"""A keyed request is repeated only where the process is known to be the listed host.

The fault behind these tests: docs/incidents/replaced-unseen.md. A successor at the address of a
host may belong to another group of hosts, which applies the request a second time.
"""

import pytest
from fake_fleet import REQUEST_CLASS, Fleet

from cherrydoor.routing import messages as routing
from cherrydoor.routing.endpoint_leases import MIN_DRAIN_NOTICE_MS
from cherrydoor.routing.host_identity import START_NOTICE_MS
from cherrydoor.routing.messages import AttemptOutcome

FUNCTION = "thumbnail"
LONG_MS = 2 * START_NOTICE_MS


class KeyedFleet:
    """Two hosts of one cell, whose list has just been confirmed and which have connections."""

    def __init__(self, scope="cell"):
        keyed = REQUEST_CLASS._replace(
            retry_safety=routing.RetrySafety.IDEMPOTENCY_KEY,
            dedup_scope=scope,
            dedup_window_ms=4000.0,
        )
        self.fleet = Fleet("ab", request_classes=(keyed,), may_probe=False, overload_window_ms=0.0)
        self.home = self.fleet.serve(FUNCTION)
        self.other = "ab".replace(self.home, "")
        self.broken_at_ms = dict.fromkeys("ab")
        for host in "ab":
            self.connect(host)
        self.wait(LONG_MS)

    def wait(self, time_ms, confirmed=True):
        """Lets time pass, at the end of which the list is confirmed or not."""
        self.fleet.now += time_ms
        if confirmed:
            self.fleet.take(routing.EndpointsConfirmed(self.fleet.now))

    def connect(self, host):
        """Opens the only connection to a host."""
        self._change(host, self.fleet.now)

    def break_connection(self, host):
        """Lets a host close or refuse the only connection to it."""
        self.broken_at_ms[host] = self.fleet.now
        self._change(host, None)

    def close_connection(self, host):
        """Closes the only connection to a host."""
        self._change(host, None)

    def _change(self, host, connected_since_ms):
        self.fleet.take(
            routing.HostConnectionsChanged(host, connected_since_ms, self.broken_at_ms[host])
        )

    def is_repeated(self):
        """Sends a request that its first host may have run; returns whether it is repeated."""
        request_id, _ = self.fleet.request(FUNCTION)
        assert self.fleet.sent[request_id] == [self.home]
        self.fleet.end_attempt(request_id, AttemptOutcome.CONNECTION_LOST)
        return self.fleet.sent[request_id] == [self.home, self.other]


def test_a_keyed_request_is_repeated_at_a_host_that_kept_its_connections():
    keyed = KeyedFleet()
    assert keyed.is_repeated()


def test_a_keyed_request_is_not_repeated_at_a_host_that_broke_its_connections():
    keyed = KeyedFleet()
    keyed.break_connection(keyed.other)
    assert not keyed.is_repeated()
    keyed.connect(keyed.other)
    keyed.wait(START_NOTICE_MS - 1)
    assert not keyed.is_repeated()


def test_a_keyed_request_is_repeated_once_the_list_would_have_reported_a_successor():
    keyed = KeyedFleet()
    keyed.break_connection(keyed.other)
    keyed.wait(500)
    keyed.connect(keyed.other)
    keyed.wait(START_NOTICE_MS)
    assert keyed.is_repeated()


def test_a_keyed_request_that_ran_at_an_unknown_process_is_not_repeated():
    keyed = KeyedFleet()
    keyed.break_connection(keyed.home)
    keyed.connect(keyed.home)
    assert not keyed.is_repeated()


def test_a_request_that_all_hosts_deduplicate_is_repeated_at_an_unknown_process():
    keyed = KeyedFleet(scope="all")
    keyed.break_connection(keyed.home)
    keyed.break_connection(keyed.other)
    assert keyed.is_repeated()


def test_a_connection_that_the_gateway_closes_itself_says_nothing_of_the_host():
    keyed = KeyedFleet()
    keyed.close_connection(keyed.other)
    assert keyed.is_repeated()
    keyed.connect(keyed.other)
    assert keyed.is_repeated()


def test_a_host_that_the_list_names_with_a_new_start_is_known():
    keyed = KeyedFleet()
    keyed.break_connection(keyed.other)
    keyed.connect(keyed.other)
    started_at_ms = keyed.fleet.now
    keyed.fleet.update_endpoints(**{keyed.other: {"started_at_ms": started_at_ms}})
    assert keyed.is_repeated()


def test_a_start_that_is_listed_after_the_host_broke_its_connections_again_confirms_nothing():
    keyed = KeyedFleet()
    started_at_ms = keyed.fleet.now
    keyed.wait(1000)
    keyed.break_connection(keyed.other)
    keyed.connect(keyed.other)
    keyed.wait(1000)
    keyed.fleet.update_endpoints(**{keyed.other: {"started_at_ms": started_at_ms}})
    assert not keyed.is_repeated()


@pytest.mark.parametrize(
    "events, repeated",
    [
        ((), True),
        (("break",), False),
        (("break", "connect"), False),
        (("close",), False),
        (("close", "connect"), False),
    ],
    ids=lambda value: "+".join(value) or "none" if isinstance(value, tuple) else "",
)
def test_in_an_outage_only_a_connection_from_before_it_shows_who_the_host_is(events, repeated):
    keyed = KeyedFleet()
    for event in events:
        action = {
            "break": keyed.break_connection,
            "close": keyed.close_connection,
            "connect": keyed.connect,
        }[event]
        action(keyed.other)
    keyed.wait(MIN_DRAIN_NOTICE_MS, confirmed=False)
    assert keyed.is_repeated() is repeated


def test_in_an_outage_a_connection_opened_shortly_before_it_does_not_show_who_the_host_is():
    keyed = KeyedFleet()
    keyed.close_connection(keyed.other)
    keyed.connect(keyed.other)
    keyed.wait(START_NOTICE_MS - 1)
    keyed.wait(MIN_DRAIN_NOTICE_MS, confirmed=False)
    assert not keyed.is_repeated()


def test_after_an_outage_a_complete_list_speaks_for_hosts_again():
    keyed = KeyedFleet()
    keyed.close_connection(keyed.other)
    keyed.wait(MIN_DRAIN_NOTICE_MS, confirmed=False)
    assert not keyed.is_repeated()
    keyed.wait(100)
    assert keyed.is_repeated()


@pytest.mark.parametrize("moved", ["home", "other"])
def test_a_host_that_the_list_names_in_another_cell_is_no_longer_in_its_first_one(moved):
    keyed = KeyedFleet()
    host = getattr(keyed, moved)
    keyed.fleet.update_endpoints(**{host: {"started_at_ms": keyed.fleet.now, "cell": 5}})
    keyed.wait(LONG_MS)
    assert not keyed.is_repeated()


def test_a_request_stays_in_the_cell_that_its_first_host_had_when_it_was_sent():
    keyed = KeyedFleet()
    request_id, _ = keyed.fleet.request(FUNCTION)
    both = dict.fromkeys("ab", {"started_at_ms": keyed.fleet.now, "cell": 5})
    keyed.fleet.update_endpoints(**both)
    keyed.fleet.end_attempt(request_id, AttemptOutcome.CONNECTION_LOST)
    assert keyed.fleet.sent[request_id] == [keyed.home]
