"""Messages about requests that outlive their gateway: between clients, gateways and hosts.

An incarnation is one start of a gateway. A fencing token is the number of the lease under which the
in-flight set of an incarnation is taken over.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cherrydoor.protocol import messages
from cherrydoor.protocol.basics import Count, Id, Message, Name, Text

# A host's reason, in a fault, to a gateway whose in-flight set has been taken over.
INCARNATION_ENDED = "that life is over"


# ---- client and gateway
class ClaimResponse(Message, tag="reclaim"):
    """A client claims at one gateway the response that another gateway owed it.

    Attributes:
        id: Of the claim, on this connection.
        owner: Gateway that accepted the request, by the name in its hello.
        incarnation: The owner's, by its hello.
        request_id: The request's id on the connection to the owner.
        claim_key: The secret sent with the request.
        remaining_ms: Time from `sent_at_ms` on until the client gives up.
        sent_at_ms: The client's clock as it wrote this.
    """

    id: Id
    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    request_id: Id = field(name="event")
    claim_key: Name = field(name="key")
    remaining_ms: Annotated[float, Meta(gt=0.0, le=1e10)] = field(name="lasts")
    sent_at_ms: float = field(name="sent")


class ResponseUnknown(Message, tag="unknown"):
    """Nothing is known here of what was claimed, or not by that key; it may have run or not."""

    id: Id
    reason: Text = ""


# ---- gateway and host
class EndIncarnation(Message, tag="over"):
    """An incarnation is over: the host reports its attempts and refuses what still comes from it.

    Attributes:
        id: Of this question.
        owner: Gateway whose incarnation is over.
        incarnation: The one that is over.
        fencing_token: Under which its in-flight set is taken over.
    """

    id: Id
    owner: Name = field(name="gateway")
    incarnation: Id = field(name="life")
    fencing_token: Id = field(name="number")


class HostAttempt(Struct, omit_defaults=True, gc=False):
    """One attempt of the in-flight set, as the host has it.

    Attributes:
        attempt_id: The host's own number for it.
        client: Name of the request's client.
        request_id: The client's id for the request.
        attempt: Which attempt of the request it is, from 0.
        outcome: "" while it is running.
        body: Of the response.
        body_retained: False where the response's body is no longer held.
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
        id: Of the question.
        highest_fencing_token: That the host goes by; above the one asked under it is a refusal.
        attempts: That run here, or have ended and are remembered.
    """

    id: Id
    highest_fencing_token: Id = field(name="highest")
    attempts: list[HostAttempt] = field(default_factory=list, name="jobs")


class AdoptAttempt(Message, tag="adopt"):
    """The outcome of that attempt goes to the sender, as of an attempt under this id."""

    id: Id
    attempt_id: Id = field(name="job")


class CountInFlight(Message, tag="count"):
    """Asks a host how many attempts it has in flight, of whomever."""

    id: Id


class InFlightCount(Message, tag="counted"):
    """A host's answer to `CountInFlight`.

    Attributes:
        id: Of the question.
        in_hand: Attempts in flight.
        came: Attempts that ever arrived.
        by: Gateways that own attempts in flight, or did within the last second.
    """

    id: Id
    in_hand: Count
    came: Count
    by: list[Name] = []


# What each end takes from each other end, beside what it always took.
FROM_CLIENT = (*messages.FROM_CLIENT, ClaimResponse)
TO_CLIENT = (*messages.TO_CLIENT, ResponseUnknown)
TO_HOST = (*messages.TO_HOST, EndIncarnation, AdoptAttempt, CountInFlight)
FROM_HOST = (*messages.FROM_HOST, AttemptsReport, InFlightCount)
