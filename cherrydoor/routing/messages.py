"""Incoming and outgoing messages of the decision module; its settings are exported here as well.

This module has types only, no logic. All times are milliseconds with fractions. Points in time
(``*_at_ms``, ``deadline_ms`` of a request) are readings of the caller's clock; all other times are
durations. Hosts, requests, functions and tenants are identified by their ids. The order of fields
is part of the interface: the simulator's adapter, the dispatcher and the tests build these messages
by position.
"""

from enum import StrEnum
from typing import NamedTuple

from cherrydoor.routing.gateway_settings import RequestClass as RequestClass
from cherrydoor.routing.gateway_settings import RetrySafety as RetrySafety
from cherrydoor.routing.gateway_settings import Settings as Settings
from cherrydoor.routing.gateway_settings import Tenant as Tenant


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
