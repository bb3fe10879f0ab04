"""Settings that the decision module is given: request classes, tenants and the gateway's own.

This module has types only, no logic. All times are milliseconds with fractions.
"""

from enum import StrEnum
from typing import NamedTuple


class RetrySafety(StrEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "redeliverable"
    IDEMPOTENCY_KEY = "keyed"
    AT_MOST_ONCE = "at-most-once"


class RequestClass(NamedTuple):
    """The service level of one class of requests.

    Attributes:
        name: Name of the class.
        latency_objective_ms: A response within this time is in time.
        deadline_ms: Longest time that a client waits for a response.
        retry_safety: Whether a request may run more than once.
        dedup_scope: Hosts that share idempotency keys and drop repeats: ``all`` hosts, those of one
            ``zone`` or those of one ``cell``.
        dedup_window_ms: How long these hosts remember a key.
        streaming: Whether responses may be streamed.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    dedup_scope: str = "all"
    dedup_window_ms: float = 0.0
    streaming: bool = False


class Tenant(NamedTuple):
    """One tenant and its quota, in requests per second over all gateways."""

    name: str
    quota_per_second: float


class Settings(NamedTuple):
    """Settings that a gateway is given when it starts.

    Attributes:
        gateway_index: Index of this gateway, from 0.
        gateway_count: Number of gateways in the fleet.
        seed: Seed of all random numbers.
        zone: Zone of this gateway.
        tick_ms: Least time between two event loop ticks.
        request_classes: All request classes.
        tenants: Tenants with a quota.
        polls_endpoints: Whether the endpoint list must be polled.
        max_attempts: Most attempts of one request.
        may_hedge: Whether two attempts of one request may be in flight at once.
        may_cancel: Whether attempts may be cancelled.
        may_probe: Whether hosts may be sent health checks.
        max_retry_after_ms: Longest Retry-After that clients follow; 0 if none may be given.
        slow_start_floor: Share of its capacity that a host has when it starts.
        slow_start_ms: Time from its start until a host has its full capacity.
        overload_factor: Multiple of its current capacity at which a host in slow start fails if the
            load lasts for ``overload_window_ms``.
        overload_window_ms: Duration of that overload.
        idle_retention_ms: Least time for which an idle copy of a function stays loaded.
        may_order_loads: Whether loads of functions may be ordered.
        reports_missing: Whether a host without the function responds that it is missing, instead of
            loading it.
        load_quota_base: Load orders allowed within the quota window, regardless of requests.
        load_quota_share: Further load orders allowed, as a share of the requests accepted in it.
        load_quota_window_ms: Length of the quota window; 0 if there is no quota.
        reports_copy: Whether responses report if a copy was loaded; otherwise ``AttemptEnded.copy``
            is None.
        reports_concurrency: Whether responses report how many requests of the function the host
            held; otherwise ``AttemptEnded.concurrency`` is None.
        drain_grace_ms: How long a host may still get new work after its drain began; None if not
            configured.
    """

    gateway_index: int
    gateway_count: int
    seed: int
    zone: str
    tick_ms: float
    request_classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    polls_endpoints: bool = False
    max_attempts: int = 1
    may_hedge: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after_ms: float = 0.0
    slow_start_floor: float = 1.0
    slow_start_ms: float = 0.0
    overload_factor: float = 0.0
    overload_window_ms: float = 0.0
    idle_retention_ms: float = 0.0
    may_order_loads: bool = False
    reports_missing: bool = False
    load_quota_base: float = 0.0
    load_quota_share: float = 0.0
    load_quota_window_ms: float = 0.0
    reports_copy: bool = True
    reports_concurrency: bool = True
    drain_grace_ms: float | None = None
