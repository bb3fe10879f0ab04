"""The sessions of a zone by function, and in which order they move. Pure.

A *session group* is the sessions of one function at the zone, over all gateways. Groups move in
order of their priority weight, then of what moving costs: nothing where a matching copy is loaded
elsewhere, else a load order, a fetch and memory.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from msgspec import Struct, structs

from cherrydoor.protocol.zone_drain import FunctionLoad

MIN_GROUP_SHARE = 0.02  # of the zone's traffic; smaller groups move together as the rest
MAX_NAMED_FUNCTIONS = 60  # that a report names; the others are reported as the rest
OTHER_FUNCTIONS = ""  # the name of the rest: every function that is not named

RETRY_SAFETIES = ("redeliverable", "keyed", "at-most-once")  # the later, the stricter


def strictest_retry_safety(*retry_safeties: str) -> str:
    """The strictest of these retry safeties.

    >>> strictest_retry_safety("keyed", "redeliverable")
    'keyed'
    """
    return max(retry_safeties, key=RETRY_SAFETIES.index)


class SessionGroup(Struct, frozen=True):
    """The sessions of one function at the zone.

    Attributes:
        function: Name of the function, without its version where there are any.
        requests_per_s: Requests a second at the zone.
        priority_weight: Lost with each request that is late.
        retry_safety: The strictest of its request classes.
        hosts_with_copy: Hosts elsewhere where matching copies are loaded.
        dedup_window_ms: For how long hosts remember its idempotency keys.
    """

    function: str
    requests_per_s: float
    priority_weight: float = 1.0
    retry_safety: str = "redeliverable"
    hosts_with_copy: tuple[str, ...] = ()
    dedup_window_ms: float = 0.0


class LoadedCopy(NamedTuple):
    """A copy outside the zone; `version` is the name by which hosts know the function."""

    function: str
    version: str
    host: str


class ZoneSessions(NamedTuple):
    """The session groups of a zone, and where matching copies are loaded."""

    groups: list[SessionGroup]
    copies: list[LoadedCopy]


def move_order(group: SessionGroup) -> tuple[float, bool, float, str]:
    """Sort key: the highest weight first, then what costs nothing to move, then the busiest."""
    return (
        -group.priority_weight,
        not group.hosts_with_copy,
        -group.requests_per_s,
        group.function,
    )


def combined_sessions(
    loads: Iterable[FunctionLoad], unversioned: Callable[[str], str]
) -> ZoneSessions:
    """The session groups and copies by the loads that all gateways report.

    Sessions move by function, while a copy is of one version alone.

    Args:
        loads: Of all gateways.
        unversioned: Gives the function that a version is of.
    """
    groups: dict[str, SessionGroup] = {}
    copies: dict[LoadedCopy, None] = {}
    for load in loads:
        name = unversioned(load.function)
        before = groups.get(name) or SessionGroup(name, 0.0, 0.0, load.retry_safety)
        groups[name] = SessionGroup(
            name,
            load.requests_per_s + before.requests_per_s,
            max(load.priority_weight, before.priority_weight),
            strictest_retry_safety(load.retry_safety, before.retry_safety),
            tuple(dict.fromkeys([*before.hosts_with_copy, *load.hosts_with_copy])),
            max(load.dedup_window_ms, before.dedup_window_ms),
        )
        for host in load.hosts_with_copy:
            copies[LoadedCopy(name, load.function, host)] = None
    return ZoneSessions(list(groups.values()), list(copies))


def scaled_to_rate(groups: list[SessionGroup], requests_per_s: float) -> list[SessionGroup]:
    """Groups that come to all that goes to the zone: no gateway reports second workers there.

    >>> groups = [SessionGroup("a", 3.0), SessionGroup("b", 1.0)]
    >>> [group.requests_per_s for group in scaled_to_rate(groups, 6.0)]
    [4.5, 1.5]
    """
    total = sum(group.requests_per_s for group in groups)
    if not total or total >= requests_per_s:
        return groups
    return [
        structs.replace(group, requests_per_s=group.requests_per_s * requests_per_s / total)
        for group in groups
    ]


def ordered_groups(groups: list[SessionGroup]) -> list[SessionGroup]:
    """Groups in the order in which they move; small ones together as the rest."""
    total = sum(group.requests_per_s for group in groups)
    large = [
        group
        for group in groups
        if group.requests_per_s >= MIN_GROUP_SHARE * total and group.function != OTHER_FUNCTIONS
    ]
    small = [group for group in groups if group not in large]
    rate = sum(group.requests_per_s for group in small)
    if rate:
        weighted = sum(group.requests_per_s * group.priority_weight for group in small)
        rest = SessionGroup(
            OTHER_FUNCTIONS,
            rate,
            weighted / rate,
            strictest_retry_safety(*(group.retry_safety for group in small)),
            ("",),
            max(group.dedup_window_ms for group in small),
        )
        large.append(rest)
    return sorted(large, key=move_order)
