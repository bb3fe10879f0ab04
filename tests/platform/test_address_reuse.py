"""A host whose address another one has taken over is gone, however late the list says so.

The fault behind these tests: docs/incidents/address-reuse.md.
"""

import pytest
from blocking_client import until
from keyed_cells import Cells, replace_host, send_keyed
from platform_harness import with_harness

from cherrydoor.platform.address_table import AddressTable
from cherrydoor.protocol import messages as protocol

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


@with_harness
async def test_a_keyed_request_is_not_repeated_at_the_address_of_a_host_that_was_replaced(harness):
    cells = Cells(harness, {"bad": 1, "old": 1, "new": 2})
    service = await cells.start()
    await send_keyed(harness, "before")
    cells.runs.clear()
    cells.attach(await replace_host(harness, "old", "new"))
    harness.discovery_servers[0].publish(cells.update(2, new="in_service"))
    await until(lambda: "new" in service.dispatcher.hosts)
    cells.resetting.add("bad")
    await send_keyed(harness, "after")
    assert cells.ran_first_at("bad") >= 2
    assert not cells.applied_twice()
    assert service.dispatcher.hosts["old"].row.state == "gone"
    assert service.dispatcher.counters["hosts displaced at their address"] == 1
