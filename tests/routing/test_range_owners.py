"""Owners of ranges: the same as by the plain rule, at a cost that does not grow with the fleet.

The fault behind these tests: docs/incidents/large-fleet.md.
"""

import random

import pytest

from cherrydoor.routing.messages import HostState
from cherrydoor.routing.range_owners import REDISTRIBUTE_AFTER_MS, RangeOwners

STATES = (HostState.READY, HostState.READY, HostState.DRAINING, HostState.GONE)


class ListedHost:
    """A host with an id and a state; `reads` counts how often any host is looked at."""

    reads = 0

    def __init__(self, number, state=HostState.READY):
        self.id = f"h{number:06}"
        self.current = state

    @property
    def state(self):
        ListedHost.reads += 1
        return self.current

    def __hash__(self):
        return hash(self.id)

    def __eq__(self, other):
        ListedHost.reads += 1
        return self is other


class PlainRule:
    """The rule as it is stated, applied to all hosts at each update."""

    def __init__(self, hosts):
        self.hosts, self.owners, self.complete_at_ms = hosts, [], 0.0

    def update(self, now):
        listed = sorted(
            (host for host in self.hosts.values() if host.current != HostState.GONE),
            key=lambda host: host.id,
        )
        new_hosts = [
            host for host in listed if host not in self.owners and host.current == HostState.READY
        ]
        self.owners = [
            new_hosts.pop(0) if new_hosts and host.current != HostState.READY else host
            for host in self.owners
        ]
        limit_ms = REDISTRIBUTE_AFTER_MS / 4 if new_hosts else REDISTRIBUTE_AFTER_MS
        if not self.owners or now - self.complete_at_ms > limit_ms:
            self.owners, new_hosts = listed, []
        if not new_hosts and all(host.current != HostState.GONE for host in self.owners):
            self.complete_at_ms = now


def ids(owners):
    return [host.id for host in owners]


@pytest.mark.parametrize("seed", range(20))
def test_owners_are_those_of_the_plain_rule_after_every_change(seed):
    chance = random.Random(seed)
    hosts = {}
    plain, ranges = PlainRule(hosts), RangeOwners(hosts)
    now = 0.0
    for _ in range(400):
        now += chance.choice((10.0, 500.0, 5000.0))
        for _ in range(chance.randrange(4)):
            host = ListedHost(chance.randrange(24))
            host = hosts.setdefault(host.id, host)
            host.current = chance.choice(STATES)
            ranges.record_state(host)
        plain.update(now)
        ranges.update(now)
        assert ids(ranges.owners) == ids(plain.owners)
        for host in list(hosts.values()):
            assert ranges.owns_range(host) == (host in plain.owners)
            if host.current == HostState.GONE and host not in plain.owners:
                del hosts[host.id]


def reads_of_a_replacement(count):
    """Returns how often hosts are looked at while one of this many is replaced."""
    hosts = {host.id: host for host in map(ListedHost, range(count))}
    ranges = RangeOwners(hosts)
    ranges.update(0.0)
    old, new = hosts[f"h{count // 2:06}"], ListedHost(count)
    ListedHost.reads = 0
    for host, state in (
        (old, HostState.DRAINING),
        (old, HostState.GONE),
        (new, HostState.READY),
    ):
        hosts[host.id] = host
        host.current = state
        ranges.record_state(host)
        ranges.update(100.0)
    assert ranges.owners[count // 2] is new
    return ListedHost.reads


def test_replacing_a_host_costs_no_more_in_a_large_fleet():
    assert reads_of_a_replacement(3200) <= reads_of_a_replacement(200) + 4
