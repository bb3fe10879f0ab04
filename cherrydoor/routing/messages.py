"""Incoming and outgoing messages of the decision module, and its settings.

This module has types only, no logic. All times are milliseconds with fractions. Points in time
(``*_at_ms``, ``deadline_ms`` of a request) are readings of the caller's clock; all other times are
durations. Hosts, requests, functions and tenants are identified by their ids. The order of fields
is part of the interface: the simulator's adapter, the dispatcher and the tests build these messages
by position.
"""

from enum import StrEnum
from typing import NamedTuple


class AttemptOutcome(StrEnum):
    """How an attempt, a health check or a load order ended. The values are used on the wire."""

    SUCCEEDED = "handled"
    ERROR = "error"
    FULL = "full"
    NO_RESPONSE = "no-answer"
    CONNECT_FAILED = "no-connection"
    CONNECTION_LOST = "lost"
    CANCELLED = "recalled"
    NOT_SENT = "unsent"
    FUNCTION_MISSING = "missing"


class RetrySafety(StrEnum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "redeliverable"
    IDEMPOTENCY_KEY = "keyed"
    AT_MOST_ONCE = "at-most-once"


class HostState(StrEnum):
    """State of a host in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(StrEnum):
    """What an update of the endpoint list contains."""

    INCREMENTAL = "changes"
    SNAPSHOT = "whole"
    CACHED = "saved"
    FAILED = "failed"


# ---- settings
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


# ---- messages in
class Endpoint(NamedTuple):
    """One host in the endpoint list; ``started_at_ms`` is 0 if it started long ago."""

    host: str
    state: str
    started_at_ms: float
    zone: str
    cell: int


class EndpointsUpdated(NamedTuple):
    """The endpoint list, changes to it, or a failed poll; ``kind`` is an ``UpdateKind``."""

    kind: str
    endpoints: tuple[Endpoint, ...]


class EndpointsConfirmed(NamedTuple):
    """The endpoint list was up to date at this time, in ms of the caller's clock.

    If a caller never sends this message, its list always counts as up to date.
    """

    at_ms: float


class EndpointsRequested(NamedTuple):
    """All updates were requested from discovery at this time; the answer is outstanding."""

    at_ms: float


class HostConnectionsChanged(NamedTuple):
    """The open connections to a host have changed.

    If a caller never sends this message, the process at a host's address always counts as the host
    while the endpoint list is up to date.

    Attributes:
        host: Id of the host.
        connected_since_ms: Since when at least one connection has been open without a gap; None
            while none is open.
        broken_at_ms: When the host last closed or refused a connection and no other one was open;
            None if it never has.
    """

    host: str
    connected_since_ms: float | None
    broken_at_ms: float | None


class RequestArrived(NamedTuple):
    """A request was accepted.

    Attributes:
        request_id: Id of the request, unique at this gateway.
        request_class: Name of its request class.
        tenant: Name of its tenant.
        function: Name of the function that it calls.
        deadline_ms: When the client stops waiting; a point in time.
        copy_concurrency: Requests that one copy of the function can run at the same time.
        load_ms: Usual load time of the function; 0 if not known.
        drained_zone: Zone that its session has been moved away from; empty if none.
    """

    request_id: int
    request_class: str
    tenant: str
    function: str
    deadline_ms: float
    copy_concurrency: float
    load_ms: float
    drained_zone: str = ""


class FunctionExpected(NamedTuple):
    """A function will be called soon, so a copy may be ordered at its home worker."""

    function: str
    drained_zone: str = ""


class StreamStarted(NamedTuple):
    """The response to an attempt has begun to stream; the deadline no longer applies."""

    request_id: int
    attempt: int
    host: str


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    Attributes:
        request_id: Id of its request.
        attempt: Index of the attempt, from 0.
        outcome: How it ended, as ``AttemptOutcome``.
        request_closed: Whether the request has its final response.
        host: Host that it was sent to.
        duration_ms: Time from sending the attempt to its end.
        copy: 1 if a copy was loaded, 2 if the request began a load, 3 if it waited for a load, 4 if
            the load failed; None if the host does not report it.
        concurrency: Requests of the same function that the host held; None if not reported.
        in_flight: All requests that the host held, by its last load report; None if not reported.
        queued: Those of ``in_flight`` that were queued.
        unevictable_memory: Share of the host's memory that cannot be freed, from 0 to 1.
    """

    request_id: int
    attempt: int
    outcome: str
    request_closed: bool
    host: str
    duration_ms: float
    copy: int | None = None
    concurrency: int | None = None
    in_flight: float | None = None
    queued: float | None = None
    unevictable_memory: float | None = None


class RequestCancelled(NamedTuple):
    """The client has cancelled the request or disconnected."""

    request_id: int


class TimerFired(NamedTuple):
    """The timer of a ``SetTimer`` with this token has expired."""

    token: str


class HealthCheckEnded(NamedTuple):
    """A health check has ended."""

    host: str
    outcome: str
    duration_ms: float


class LoadOrderEnded(NamedTuple):
    """A load order has ended; ``copies`` is the number of copies now loaded at the host."""

    function: str
    host: str
    outcome: str
    copies: int
    duration_ms: float


# ---- actions out
class StartAttempt(NamedTuple):
    """Send the request to the host; with a ``timeout_ms`` of 0 it may run until its deadline."""

    request_id: int
    host: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Cancel an attempt in flight."""

    request_id: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: rejected without effect; the client may retry after ``retry_after_ms``."""

    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: failed; it may have had an effect."""

    request_id: int


class SetTimer(NamedTuple):
    """Request a ``TimerFired`` with this token at this time."""

    at_ms: float
    token: str


class CheckHealth(NamedTuple):
    """Send the host a health check."""

    host: str


class CheckLease(NamedTuple):
    """Send the host a health check for its lease, with a longer timeout than ``CheckHealth``.

    A ``HealthCheckEnded`` follows after at most ``timeout_ms``.
    """

    host: str
    timeout_ms: float


class OrderLoad(NamedTuple):
    """Order the host to hold this number of copies of the function."""

    function: str
    host: str
    copies: int


class PollEndpoints(NamedTuple):
    """Poll the endpoint list."""


class LogMessage(NamedTuple):
    """A line for the log."""

    text: str
