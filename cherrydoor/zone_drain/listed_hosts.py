"""What the endpoint list and this gateway's connections say of a zone's hosts. Pure."""

from collections.abc import Iterator
from typing import Any


def _listed(dispatcher: Any) -> Iterator[Any]:
    return (host for host in dispatcher.hosts.values() if host.row.state != "gone")


def listed_zones(dispatcher: Any) -> set[str]:
    """Zones with a host in the list, draining ones too."""
    return {host.row.zone for host in _listed(dispatcher)}


def listed_hosts(dispatcher: Any, zone: str) -> list[str] | None:
    """The zone's hosts in the list, draining ones too; None without a list, as after a start."""
    if not dispatcher.hosts:
        return None
    return [host.id for host in _listed(dispatcher) if host.row.zone == zone]


def calls_in_flight(dispatcher: Any, zone: str) -> int:
    """Calls that this gateway has in flight at the zone's hosts, those no longer listed too."""
    return sum(
        len(link.out)
        for host in dispatcher.hosts.values()
        if host.row.zone == zone
        for link in host.links
    )
