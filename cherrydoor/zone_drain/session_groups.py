"""Groups the sessions of a zone by function and orders them for a drain. Pure.

A *session group* is all sessions of one function at the zone, at all gateways. Groups move in order
of their priority weight. Among equal weights, groups with a matching copy outside the zone move
first, as they need no load order, no fetch and no further memory.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from msgspec import Struct, structs

from cherrydoor.protocol.zone_drain import FunctionLoad

MIN_GROUP_SHARE = 0.02  # of the zone's traffic; smaller groups move together as other functions
MAX_NAMED_FUNCTIONS = 60  # in a report; the others are reported together as other functions
OTHER_FUNCTIONS = ""  # function name that stands for every function that is not named

RETRY_SAFETIES = ("redeliverable", "keyed", "at-most-once")  # in ascending strictness


def strictest_retry_safety(*retry_safeties: str) -> str:
    """Returns the strictest of these retry safeties.

    >>> strictest_retry_safety("keyed", "redeliverable")
    'keyed'
    """
    return max(retry_safeties, key=RETRY_SAFETIES.index)


class SessionGroup(Struct, frozen=True):
    """The sessions of one function at the zone.

    Attributes:
        function: Name of the function, without a version if the gateway has releases.
        requests_per_s: Requests per second at the zone.
        priority_weight: Weight that is lost with each late request.
        retry_safety: The strictest of its request classes.
        hosts_with_copy: Hosts outside the zone that have a matching copy loaded.
        dedup_window_ms: How long hosts remember its idempotency keys, ms.
    """

    function: str
    requests_per_s: float
    priority_weight: float = 1.0
    retry_safety: str = "redeliverable"
    hosts_with_copy: tuple[str, ...] = ()
    dedup_window_ms: float = 0.0


class LoadedCopy(NamedTuple):
    """A loaded copy outside the zone; `version` is the function's name at hosts."""

    function: str
    version: str
    host: str


class ZoneSessions(NamedTuple):
    """The session groups of a zone, and the matching copies loaded outside it."""

    groups: list[SessionGroup]
    copies: list[LoadedCopy]


def move_order(group: SessionGroup) -> tuple[float, bool, float, str]:
    """Sort key: highest weight first, then groups with a copy elsewhere, then the busiest."""
    return (
        -group.priority_weight,
        not group.hosts_with_copy,
        -group.requests_per_s,
        group.function,
    )


def combined_sessions(
    loads: Iterable[FunctionLoad], unversioned: Callable[[str], str]
) -> ZoneSessions:
    """Combines the loads that all gateways report into session groups and copies.

    All versions of a function form one group, but each copy is a copy of one version.

    Args:
        loads: The function loads of all gateways.
        unversioned: Returns the function name without its version.
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
    """Scales groups up to the zone's total rate, as no gateway reports its second workers there.

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
    """Returns groups in the order in which they move; small ones are merged into one."""
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
        merged = SessionGroup(
            OTHER_FUNCTIONS,
            rate,
            weighted / rate,
            strictest_retry_safety(*(group.retry_safety for group in small)),
            ("",),  # counts as having a copy: none is preloaded for merged groups
            max(group.dedup_window_ms for group in small),
        )
        large.append(merged)
    return sorted(large, key=move_order)
