"""Messages between clients, gateways and hosts about requests whose gateway has failed.

An incarnation is one start of a gateway. A fencing token is the number of the lease under which
another gateway takes over the in-flight set of an incarnation.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cherrydoor.protocol import messages
from cherrydoor.protocol.basics import Count, Id, Message, Name, Text

# The reason in a host's GoAway to a gateway whose in-flight set has been taken over.
INCARNATION_ENDED = "that life is over"


# ---- client and gateway
class ClaimResponse(Message, tag="reclaim"):
    """A client asks one gateway for the response to a request that another gateway accepted.

    Attributes:
        id: Id of the claim on this connection.
        owner: Gateway that accepted the request, by the name in its hello.
        incarnation: The owner's incarnation, by its hello.
        request_id: The request's id on the connection to the owner.
        claim_key: The secret that was sent with the request.
        remaining_ms: Time from `sent_at_ms` until the client stops waiting.
        sent_at_ms: Reading of the client's clock when it sent this.
    """

    id: Id
    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    request_id: Id = field(name="event")
    claim_key: Name = field(name="key")
    remaining_ms: Annotated[float, Meta(gt=0.0, le=1e10)] = field(name="lasts")
    sent_at_ms: float = field(name="sent")


class ResponseUnknown(Message, tag="unknown"):
    """No such request with this claim key is known here; it may have run or not."""

    id: Id
    reason: Text = ""


# ---- gateway and host
class EndIncarnation(Message, tag="over"):
    """An incarnation has ended: the host reports its attempts, and refuses new ones from it.

    Attributes:
        id: Id of this query.
        owner: Gateway whose incarnation has ended.
        incarnation: The incarnation that has ended.
        fencing_token: Fencing token under which its in-flight set is taken over.
    """

    id: Id
    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    fencing_token: Id = field(name="number")


class HostAttempt(Struct, omit_defaults=True, gc=False):
    """One attempt of the in-flight set, as known to the host.

    Attributes:
        attempt_id: The host's own id for it.
        client: Name of the request's client.
        request_id: The client's id for the request.
        attempt: Which attempt of the request it is, from 0.
        outcome: How it ended; "" while it runs.
        body: Body of the response.
        body_retained: Whether the host still has the body of the response.
    """

    attempt_id: Id = field(name="job")
    client: Name
    request_id: Id = field(name="event")
    attempt: Count = field(default=0, name="number")
    outcome: Literal["", "handled", "error", "full", "missing"] = field(default="", name="fate")
    body: bytes = b""
    body_retained: bool = field(default=True, name="kept")


class AttemptsReport(Message, tag="holds"):
    """A host's answer to `EndIncarnation`.

    Attributes:
        id: Id of the query.
        highest_fencing_token: The highest token that the host has seen for the incarnation. If it
            is above the token of the query, the report is a refusal.
        attempts: The incarnation's attempts that run on the host, or have ended and are still
            remembered.
    """

    id: Id
    highest_fencing_token: Id = field(name="highest")
    attempts: list[HostAttempt] = field(default_factory=list, name="jobs")


class AdoptAttempt(Message, tag="adopt"):
    """Asks a host to send the outcome of that attempt to the sender, under this id."""

    id: Id
    attempt_id: Id = field(name="job")


class CountInFlight(Message, tag="count"):
    """Asks a host how many attempts it has in flight, whichever gateway sent them."""

    id: Id


class InFlightCount(Message, tag="counted"):
    """A host's answer to `CountInFlight`.

    Attributes:
        id: Id of the query.
        in_hand: Number of attempts in flight.
        came: Number of attempts that have ever arrived.
        by: Gateways that own attempts in flight, or did within the last second.
    """

    id: Id
    in_hand: Count
    came: Count
    by: list[Name] = []


# Message types by sender or receiver: those of `messages`, and in addition those of failover.
FROM_CLIENT = (*messages.FROM_CLIENT, ClaimResponse)
TO_CLIENT = (*messages.TO_CLIENT, ResponseUnknown)
TO_HOST = (*messages.TO_HOST, EndIncarnation, AdoptAttempt, CountInFlight)
FROM_HOST = (*messages.FROM_HOST, AttemptsReport, InFlightCount)
