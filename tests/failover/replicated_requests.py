"""Replicated requests and retry policies of the request classes in this package's tests."""

from cherrydoor.failover.in_flight_set import ReplicatedEntry
from cherrydoor.failover.retry_policy import RetryPolicy
from cherrydoor.protocol.peers import ReplicatedRequest

POLICIES = {
    "draft": RetryPolicy(),
    "sign": RetryPolicy("keyed", "all", 5000.0),
    "book": RetryPolicy("keyed", "zone", 5000.0),
    "file": RetryPolicy("at-most-once"),
}


def replicated_request(
    number, request_class="draft", body=b"", remaining_ms=2000.0, claim_key="k", client="c0"
):
    return ReplicatedRequest(
        number,
        100 + number,
        client,
        request_class,
        "f",
        remaining_ms,
        "party",
        f"m{number}",
        claim_key,
        body=body,
    )


def replicated_entry(request_class="draft", deadline_ms=2000.0, number=1, **more):
    return ReplicatedEntry(replicated_request(number, request_class, **more), deadline_ms, 0.0)
