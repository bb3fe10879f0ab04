"""Messages between clients, gateways, hosts, the function store, the endpoint list and the feed.

Times are in ms and may have fractions. ``clock_ms`` and ``sent_at_ms`` are readings of the sender's
own clock, of which only differences have a meaning; ``started_at_ms`` is in ms since 1970. Ids are
integers that are valid only on the connection on which they are sent. ``docs/wire.md`` describes
the same messages.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cherrydoor.protocol.basics import (
    COMMON_MESSAGES,
    AttemptOutcome,
    Count,
    DurationMs,
    FinalOutcome,
    HostState,
    Id,
    Message,
    Name,
    Text,
    TimestampMs,
    UpdateKind,
)
from cherrydoor.protocol.basics import DEFAULT_MAX_FRAME_BYTES as DEFAULT_MAX_FRAME_BYTES
from cherrydoor.protocol.basics import FAILED as FAILED
from cherrydoor.protocol.basics import REJECTED as REJECTED
from cherrydoor.protocol.basics import SUCCEEDED as SUCCEEDED
from cherrydoor.protocol.basics import VERSION as VERSION
from cherrydoor.protocol.basics import Draining as Draining
from cherrydoor.protocol.basics import GoAway as GoAway
from cherrydoor.protocol.basics import Hello as Hello


# ---- client to gateway and back
class Request(Message, tag="event"):
    """A client's request to run a function.

    Attributes:
        id: Id of the request on this connection.
        request_class: Name of its class in the gateway's configuration.
        function: Function to run.
        timeout_ms: Time from ``sent_at_ms`` until the client stops waiting.
        sent_at_ms: Reading of the client's clock when it sent this.
        tenant: Name of the tenant to which the request is accounted.
        idempotency_key: Key by which hosts recognize a repeated request.
        copy_concurrency: Requests that one copy of the function runs at a time.
        load_ms: Usual time to load the function; 0 if not known.
        body: Input of the function.
        affinity_key: Requests with the same key get the same version of a function.
        claim_key: Secret of the client, with which it can claim the response at another gateway.
    """

    id: Id
    request_class: Name = field(name="clause")
    function: Name
    timeout_ms: Annotated[float, Meta(gt=0.0, le=1e10)] = field(name="lasts")
    sent_at_ms: TimestampMs = field(name="sent")
    tenant: Name = field(default="", name="party")
    idempotency_key: Name = field(default="", name="mark")
    copy_concurrency: Annotated[float, Meta(ge=0.0, le=1e6)] = field(default=1.0, name="lanes")
    load_ms: DurationMs = field(default=0.0, name="load")
    body: bytes = b""
    affinity_key: Name = field(default="", name="document")
    claim_key: Name = field(default="", name="key")


class CancelRequest(Message, tag="withdraw"):
    """The client no longer wants a response."""

    id: Id


class Response(Message, tag="answer"):
    """The final response to a request; there is exactly one.

    Attributes:
        id: Id of the request on this connection.
        outcome: Succeeded, rejected without effect, or failed.
        retry_after_ms: With a rejection, the time to wait before a retry.
        reason: Why it was rejected or failed.
        body: Output of the function.
    """

    id: Id
    outcome: FinalOutcome = field(name="fate")
    retry_after_ms: DurationMs = field(default=0.0, name="stay_away")
    reason: Text = ""
    body: bytes = b""


class StreamStarted(Message, tag="started"):
    """The response has begun to stream: the client's timeout no longer applies."""

    id: Id


# ---- gateway to host and back
class Attempt(Message, tag="launch"):
    """One attempt to run a request on a host.

    Attributes:
        id: Id of the attempt on this connection.
        request_id: The client's id for the request.
        client: Name of the client.
        request_class: Name of the request's class.
        function: Function to run, including its version.
        timeout_ms: Time for which the gateway waits for the outcome.
        attempt: Number of the attempt among those of the request, from 0.
        idempotency_key: Key by which the host recognizes a repeated request.
        slow_after_ms: Time above which the run counts as slow; 0 if not known.
        body: Input of the function.
        owner: Gateway that accepted the request, if another gateway has taken it over; else "".
        incarnation: Incarnation of the owner in which it accepted the request.
        fencing_token: Fencing token under which the request was taken over.
    """

    id: Id
    request_id: Id = field(name="event")
    client: Name
    request_class: Name = field(name="clause")
    function: Name
    timeout_ms: DurationMs = field(name="limit")
    attempt: Count = field(default=0, name="number")
    idempotency_key: Name = field(default="", name="mark")
    slow_after_ms: DurationMs = field(default=0.0, name="usual")
    body: bytes = b""
    owner: Name = field(default="", name="giver")
    incarnation: Id = field(default=0, name="life")
    fencing_token: Id = field(default=0, name="under")


class CancelAttempt(Message, tag="recall"):
    """The gateway no longer waits for an attempt."""

    id: Id


class AttemptResult(Message, tag="outcome"):
    """The outcome of an attempt, with a report of the host's load.

    Attributes:
        id: Id of the attempt on this connection.
        outcome: How it ended.
        copy: 1 if a copy was loaded, 2 if the attempt began a load, 3 if it waited for a load,
            4 if the load failed; 0 if not stated.
        concurrency: Requests for the same function that the host had in flight.
        in_flight: All requests that the host had in flight at its last load report; None if it
            reports none.
        body: Output of the function.
        version_counts: Runs, errors and slow runs of this version since the host started.
        queued: Requests that were queued at the host, by the same load report.
        unevictable_memory: Fraction of the host's memory that cannot be freed.
    """

    id: Id
    outcome: AttemptOutcome = field(name="fate")
    copy: Annotated[int, Meta(ge=0, le=4)] = 0
    concurrency: Count = field(default=0, name="crowd")
    in_flight: DurationMs | None = field(default=None, name="held")
    body: bytes = b""
    version_counts: tuple[Count, Count, Count] | None = field(default=None, name="tally")
    queued: DurationMs | None = field(default=None, name="queue")
    unevictable_memory: Annotated[float, Meta(ge=0.0, le=10.0)] | None = field(
        default=None, name="tied"
    )


class AttemptStreaming(Message, tag="underway"):
    """The host has begun to stream the response to an attempt."""

    id: Id


class HealthCheck(Message, tag="probe"):
    """Checks whether a host is healthy."""

    id: Id


class HealthCheckResult(Message, tag="probed"):
    """The host's answer to a health check, with its requests in flight."""

    id: Id
    outcome: AttemptOutcome = field(default="handled", name="fate")
    in_flight: DurationMs | None = field(default=None, name="held")


class LoadOrder(Message, tag="order"):
    """Orders the host to keep at least ``copies`` copies loaded; 0 only asks for their number."""

    id: Id
    function: Name
    copies: Annotated[int, Meta(ge=0, le=16)]


class LoadOrderResult(Message, tag="ordered"):
    """The outcome of a load order; ``copies`` is the number of copies that are loaded now."""

    id: Id
    outcome: AttemptOutcome = field(name="fate")
    copies: Count = 0


class Unload(Message, tag="drop"):
    """Allows the host to unload the function's idle copies."""

    id: Id
    function: Name


class UnloadResult(Message, tag="dropped"):
    """The number of copies of the function that are still loaded."""

    id: Id
    copies: Count = 0


# ---- host to function store and back
class FetchFunction(Message, tag="fetch"):
    """Asks the store for a function."""

    id: Id
    function: Name


class FetchResult(Message, tag="fetched"):
    """A function as stored in the function store.

    Attributes:
        id: Id of the fetch on this connection.
        outcome: How the fetch ended.
        release: Number of the release.
        memory: Memory of one copy, in MB.
        lanes: Requests that one copy runs at a time.
        work: Mean CPU time of a request, in ms.
        start: Time in ms that a copy takes to start once the image has been fetched.
        core: Fraction of the start time in which it uses a CPU core.
    """

    id: Id
    outcome: AttemptOutcome = field(name="fate")
    release: Count = 0
    memory: DurationMs = 0.0
    lanes: Count = 1
    work: DurationMs = 0.0
    start: DurationMs = 0.0
    core: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.0


# ---- gateway and endpoint list, gateway and release feed
class Endpoint(Struct, omit_defaults=True, gc=False):
    """One host of the endpoint list; ``host`` is its address and port, which are also its id."""

    host: Name
    state: HostState
    started_at_ms: TimestampMs = field(default=0.0, name="since")
    zone: Name = ""
    cell: int = 0


class Watch(Message, tag="follow"):
    """Asks for the whole list or feed, and then for every change to it."""


class Poll(Message, tag="ask"):
    """Asks once for the whole list."""


class EndpointUpdate(Message, tag="rows"):
    """The whole endpoint list, or the endpoints that have changed."""

    revision: Count
    kind: UpdateKind = field(name="how")
    endpoints: list[Endpoint] = field(default_factory=list, name="rows")


class Release(Struct, omit_defaults=True, gc=False):
    """A version of a function, and the state of its release."""

    function: Name
    version: Count
    state: Literal["announced", "withdrawn", "complete"] = "announced"


class ReleaseUpdate(Message, tag="releases"):
    """All releases of the feed, or those that have changed."""

    revision: Count
    kind: UpdateKind = field(name="how")
    releases: list[Release] = []


class UpdateAcknowledged(Message, tag="heard"):
    """The gateway has processed the update with this revision."""

    revision: Count


ALL_MESSAGES = (
    Hello,
    GoAway,
    Draining,
    Request,
    CancelRequest,
    Response,
    StreamStarted,
    Attempt,
    CancelAttempt,
    AttemptResult,
    AttemptStreaming,
    HealthCheck,
    HealthCheckResult,
    LoadOrder,
    LoadOrderResult,
    Unload,
    UnloadResult,
    FetchFunction,
    FetchResult,
    Watch,
    Poll,
    EndpointUpdate,
    ReleaseUpdate,
    UpdateAcknowledged,
)
# Message types by sender or receiver; on that connection any other type is a protocol error.
FROM_CLIENT = (*COMMON_MESSAGES, Request, CancelRequest)
TO_CLIENT = (*COMMON_MESSAGES, Draining, Response, StreamStarted)
TO_HOST = (*COMMON_MESSAGES, Attempt, CancelAttempt, HealthCheck, LoadOrder, Unload)
FROM_HOST = (
    *COMMON_MESSAGES,
    AttemptResult,
    AttemptStreaming,
    HealthCheckResult,
    LoadOrderResult,
    UnloadResult,
)
TO_STORE = (*COMMON_MESSAGES, FetchFunction)
FROM_STORE = (*COMMON_MESSAGES, FetchResult)
TO_LIST = (*COMMON_MESSAGES, Watch, Poll, UpdateAcknowledged)
FROM_LIST = (*COMMON_MESSAGES, EndpointUpdate)
TO_FEED = (*COMMON_MESSAGES, Watch, UpdateAcknowledged)
FROM_FEED = (*COMMON_MESSAGES, ReleaseUpdate)
