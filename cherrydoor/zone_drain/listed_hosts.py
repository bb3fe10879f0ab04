"""Reads a zone's hosts from the endpoint list and this gateway's connections. Pure."""

from collections.abc import Iterator
from typing import Any


def _listed(dispatcher: Any) -> Iterator[Any]:
    return (host for host in dispatcher.hosts.values() if host.row.state != "gone")


def listed_zones(dispatcher: Any) -> set[str]:
    """Returns the zones that have a host in the list; draining hosts count too."""
    return {host.row.zone for host in _listed(dispatcher)}


def listed_hosts(dispatcher: Any, zone: str) -> list[str] | None:
    """Returns the zone's listed hosts, including draining ones; None before the first list."""
    if not dispatcher.hosts:
        return None
    return [host.id for host in _listed(dispatcher) if host.row.zone == zone]


def calls_in_flight(dispatcher: Any, zone: str) -> int:
    """Counts this gateway's calls in flight at the zone's hosts, including unlisted hosts."""
    return sum(
        len(link.calls_in_flight)
        for host in dispatcher.hosts.values()
        if host.row.zone == zone
        for link in host.connections
    )
