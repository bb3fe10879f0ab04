"""A host whose address another one has taken over is gone, however late the list says so.

The fault behind these tests: docs/incidents/address-reuse.md.
"""

import asyncio

import pytest
from blocking_client import until
from platform_harness import SETTINGS, with_harness

from cherrydoor.platform.address_table import AddressTable
from cherrydoor.protocol import messages as protocol

KEYED_SETTINGS = SETTINGS | {
    "requestClasses": [
        {
            "name": "booking",
            "aim": 1200000,
            "deadline": 3000000,
            "repeat": "by_key",
            "dedupScope": "cell",
            "dedupWindow": 6000000,
        }
    ],
}
FUNCTIONS = [f"{number * 104729 + 1:016x}" for number in range(24)]
OLD, NEW, OTHER = ("old", 0.0), ("new", 900.0), ("other", 0.0)


class Listing:
    """An address table and the updates that it is given; all hosts are at one address."""

    def __init__(self):
        self.table = AddressTable()

    def update(self, *hosts, snapshot=False, gone=(), address="h:1"):
        """Lists hosts, as (id, start), and reports the ends of others; returns the displaced."""
        rows = [protocol.Endpoint(name, "ready", since, "east", 1) for name, since in hosts]
        rows += [protocol.Endpoint(name, "gone", 0.0, "east", 1) for name in gone]
        addresses = {name: address for name, _ in hosts}
        return self.table.update(rows, addresses, snapshot)

    def owners(self):
        """Returns the hosts that have an address."""
        names = [name for name, _ in (OLD, NEW, OTHER)]
        return [name for name in names if self.table.address_of(name)]


def test_a_host_listed_at_the_address_of_another_displaces_it():
    listing = Listing()
    assert listing.update(OLD, snapshot=True) == []
    assert listing.update(NEW) == ["old"]
    assert listing.owners() == ["new"]
    assert listing.update(gone=["old"]) == []
    assert listing.owners() == ["new"]


@pytest.mark.parametrize("snapshot", [False, True])
def test_a_displaced_host_that_is_listed_again_unchanged_stays_displaced(snapshot):
    listing = Listing()
    listing.update(OLD, snapshot=True)
    listing.update(NEW)
    rows = [NEW, OLD] if snapshot else [OLD]
    assert listing.update(*rows, snapshot=snapshot) == ["old"]
    assert listing.owners() == ["new"]


@pytest.mark.parametrize("rows", [[OLD, NEW], [NEW, OLD]])
def test_of_two_hosts_in_the_first_list_the_one_that_started_later_has_the_address(rows):
    listing = Listing()
    assert listing.update(*rows, snapshot=True) == ["old"]
    assert listing.owners() == ["new"]


def test_a_displaced_host_that_starts_again_takes_its_address_back():
    listing = Listing()
    listing.update(OLD, snapshot=True)
    listing.update(NEW)
    assert listing.update(("old", 1800.0)) == ["new"]
    assert listing.owners() == ["old"]


def test_a_displaced_host_can_move_to_another_address():
    listing = Listing()
    listing.update(OLD, snapshot=True)
    listing.update(NEW)
    assert listing.update(OLD, address="h:2") == []
    assert listing.owners() == ["old", "new"]


def test_once_the_successor_is_gone_the_address_is_free():
    listing = Listing()
    listing.update(OLD, snapshot=True)
    listing.update(NEW)
    listing.update(gone=["new"])
    assert listing.owners() == []
    assert listing.update(OTHER) == []
    assert listing.owners() == ["other"]


def test_a_host_that_moves_away_leaves_its_address_to_others():
    listing = Listing()
    listing.update(OLD, snapshot=True)
    listing.update(OLD, address="h:2")
    assert listing.update(NEW) == []
    assert listing.owners() == ["old", "new"]


class Cells:
    """Hosts that run a request once for each idempotency key in their cell.

    Attributes:
        runs: Names of the hosts that ran a key, by key.
        resetting: Names of the hosts that reset the connection under what they have run.
    """

    def __init__(self, harness, cells):
        self.harness, self.cells = harness, cells
        self.runs, self.resetting = {}, set()

    def attach(self, host):
        """Lets a host answer as a member of its cell."""

        def answers(words):
            if words[0] != b"exec":
                return type(host).handles(host, words)
            fields = dict(pair.split(b"=", 1) for pair in words[2].split(b","))
            ran = self.runs.setdefault(fields[b"nonce"], [])
            if self.cells[host.name] not in [self.cells[name] for name in ran]:
                ran.append(host.name)
            if host.name in self.resetting:
                host.writers[host.received[-1][0]].transport.abort()
                return None
            return type(host).handles(host, words)

        host.answers = answers

    def update(self, revision, snapshot=False, **states):
        """Returns a discovery update in which each host has its cell."""
        update = self.harness.update(revision, snapshot, **states)
        for row in update["roster"]["instances"]:
            row["cell"] = self.cells[row["instanceId"]]
        return update

    def applied_twice(self):
        """Returns the keys that hosts of two cells have run."""
        return [key for key, names in self.runs.items() if len(names) > 1]


async def send_keyed(harness, prefix):
    """Sends a request with a key of its own to each function, one after another."""
    for number, function in enumerate(FUNCTIONS):
        header = f"X-Dedupe-Key: {prefix}-{number}"
        await harness.send_request(
            function=function, request_class="booking", extra_headers=[header]
        )


async def replace_host(harness, name, successor):
    """Ends a host, and starts its successor at the same address."""
    old = next(host for host in harness.hosts if host.name == name)
    old.server.close()
    for writer in old.writers:
        writer.transport.abort()
    new = await harness.host(successor)
    new.server.close()
    new.port = old.port
    new.server = await asyncio.start_server(new.serve, "127.0.0.1", old.port)
    return new


@with_harness
async def test_a_keyed_request_is_not_repeated_at_the_address_of_a_host_that_was_replaced(harness):
    cells = Cells(harness, {"bad": 1, "old": 1, "new": 2})
    await harness.prepare(("bad", "old"))
    first = cells.update(1, True, bad="in_service", old="in_service")
    service = await harness.serve_in_process(
        settings=KEYED_SETTINGS, known={"no": 1, "items": [first]}
    )
    for host in harness.hosts:
        cells.attach(host)
    await send_keyed(harness, "before")
    cells.attach(await replace_host(harness, "old", "new"))
    harness.discovery_servers[0].publish(cells.update(2, new="in_service"))
    await until(lambda: "new" in service.dispatcher.hosts)
    cells.resetting.add("bad")
    await send_keyed(harness, "after")
    assert sum(names == ["bad"] for names in cells.runs.values()) > 2
    assert not cells.applied_twice()
    assert service.dispatcher.hosts["old"].row.state == "gone"
    assert service.dispatcher.counters["hosts displaced at their address"] == 1
