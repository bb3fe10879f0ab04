"""Messages into and out of the decision module, and the settings it starts with.

Types only, no logic. Times are milliseconds with fractions: points in time (``*_at_ms``,
``deadline_ms``) are readings of the caller's clock, spans end in ``_ms``. Hosts, requests,
functions and tenants are named by their ids. The order of fields is part of the interface: the
simulator's adapter, the dispatcher and the tests build these messages by position.
"""

from enum import StrEnum
from typing import NamedTuple


class AttemptOutcome(StrEnum):
    """How an attempt, a health check or a load order ended. The values are the wire's words."""

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
    """State of a host as the endpoint list has it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(StrEnum):
    """What an update of the endpoint list holds."""

    INCREMENTAL = "changes"
    SNAPSHOT = "whole"
    CACHED = "saved"
    FAILED = "failed"


# ---- settings
class RequestClass(NamedTuple):
    """The service level of one class of requests.

    Attributes:
        name: Name of the class.
        latency_objective_ms: Responses within this time count as in time.
        deadline_ms: Longest time that a client waits for its response.
        retry_safety: Whether a request may run again.
        dedup_scope: Hosts that drop repeats of one idempotency key: ``all``, ``zone`` or ``cell``.
        dedup_window_ms: How long they remember a key.
        streaming: Responses may be streamed.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    retry_safety: RetrySafety = RetrySafety.IDEMPOTENT
    dedup_scope: str = "all"
    dedup_window_ms: float = 0.0
    streaming: bool = False


class Tenant(NamedTuple):
    """One tenant and its quota, in requests a second over all gateways."""

    name: str
    quota_per_second: float


class Settings(NamedTuple):
    """Everything that a gateway is handed when it starts.

    Attributes:
        gateway_index: Number of this gateway, from 0.
        gateway_count: Number of gateways in the fleet.
        seed: Seed of all random choices.
        zone: Zone of this gateway.
        tick_ms: Shortest gap between two ticks.
        request_classes: All classes, as ``RequestClass``.
        tenants: Tenants with a quota, as ``Tenant``.
        polls_endpoints: The endpoint list has to be asked for.
        max_attempts: Attempts allowed for one request.
        may_hedge: Two attempts of one request may be in flight at once.
        may_cancel: Attempts may be cancelled.
        may_probe: Hosts may be sent health checks.
        max_retry_after_ms: Longest Retry-After that clients follow; 0 where none may be given.
        slow_start_floor: Share of its capacity with which a host starts.
        slow_start_ms: Time after which a host has its whole capacity.
        overload_factor: A host in slow start fails at this multiple of its capacity ...
        overload_window_ms: ... kept up for this long.
        idle_retention_ms: How long an idle copy of a function stays loaded, at least.
        may_order_loads: Loads of functions may be ordered.
        reports_missing: A host without the function answers so, in place of loading it.
        load_quota_base: Load orders allowed within the window: so many ...
        load_quota_share: ... and this share of the requests accepted in it.
        load_quota_window_ms: Length of that window; 0 where there is no quota.
        reports_copy: Responses tell whether a copy was loaded; else ``AttemptEnded.copy`` is None.
        reports_concurrency: Responses tell how many requests of the function the host held; else
            ``AttemptEnded.concurrency`` is None.
        drain_grace_ms: A host may get new work for so long after it began to drain; None where
            nothing is stated.
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
    """One host as the endpoint list has it; ``started_at_ms`` is 0 if it started long ago."""

    host: str
    state: str
    started_at_ms: float
    zone: str
    cell: int


class EndpointsUpdated(NamedTuple):
    """The endpoint list, changes to it, or the failure of a poll. ``kind`` is an ``UpdateKind``."""

    kind: str
    endpoints: tuple[Endpoint, ...]


class EndpointsConfirmed(NamedTuple):
    """The endpoint list was up to date at this time, in ms of the caller's clock.

    A caller that never sends it has a list that counts as up to date for good.
    """

    at_ms: float


class EndpointsRequested(NamedTuple):
    """The endpoint list's server was asked for all updates at this time, and has yet to answer."""

    at_ms: float


class RequestArrived(NamedTuple):
    """A request was accepted.

    Attributes:
        request_id: Number of the request at this gateway.
        request_class: Name of its class.
        tenant: Name of its tenant.
        function: Function that it calls.
        deadline_ms: Point in time at which the client stops waiting.
        copy_concurrency: Requests that one copy of the function runs at a time.
        load_ms: Usual time of a load; 0 where not known.
        drained_zone: Zone that its session has been moved away from; empty for none.
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
    """A function will be called soon: a copy on its home worker is worth a load order."""

    function: str
    drained_zone: str = ""


class StreamStarted(NamedTuple):
    """The response to an attempt has begun to stream: its deadline no longer applies."""

    request_id: int
    attempt: int
    host: str


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    Attributes:
        request_id: The request that it belonged to.
        attempt: Number of the attempt, from 0.
        outcome: How it ended.
        request_closed: The request has its final response.
        host: Host that it was sent to.
        duration_ms: Time from sending to its end.
        copy: 1 a copy was loaded, 2 the request began a load, 3 it waited for one, 4 the load
            failed; None where the host does not tell.
        concurrency: Requests of the same function that the host held; None where not told.
        in_flight: Requests that the host held in all, by its last load report; None where not told.
        queued: Those of them that waited.
        unevictable_memory: Share of the host's memory that cannot be freed.
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
    """The client has cancelled the request or has gone."""

    request_id: int


class TimerFired(NamedTuple):
    """The time of a ``SetTimer`` has come."""

    token: str


class HealthCheckEnded(NamedTuple):
    """A health check has ended."""

    host: str
    outcome: str
    duration_ms: float


class LoadOrderEnded(NamedTuple):
    """A load order has ended; ``copies`` are loaded at the host now."""

    function: str
    host: str
    outcome: str
    copies: int
    duration_ms: float


# ---- actions out
class StartAttempt(NamedTuple):
    """Send the request to the host; with ``timeout_ms`` 0 it runs until its deadline."""

    request_id: int
    host: str
    timeout_ms: float


class CancelAttempt(NamedTuple):
    """Cancel an attempt in flight."""

    request_id: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: rejected without effect; the client may retry after so many ms."""

    request_id: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: failed; it may have had an effect."""

    request_id: int


class SetTimer(NamedTuple):
    """Ask for a ``TimerFired`` with this token at that time."""

    at_ms: float
    token: str


class CheckHealth(NamedTuple):
    """Send the host a health check."""

    host: str


class CheckLease(NamedTuple):
    """Send the host a health check that may wait longer than those for its health.

    It ends as a ``HealthCheckEnded``, after ``timeout_ms`` at the latest.
    """

    host: str
    timeout_ms: float


class OrderLoad(NamedTuple):
    """Order the host to hold so many copies of the function."""

    function: str
    host: str
    copies: int


class PollEndpoints(NamedTuple):
    """Ask for the endpoint list."""


class LogMessage(NamedTuple):
    """A line for the log."""

    text: str
