"""Work in hand that outlives its gateway: what crosses between clients, gateways and hosts about it.

A *life* is one start of a gateway; `number` is that of the tenure under which its estate is taken over.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cherrydoor.protocol import messages
from cherrydoor.protocol.basics import Count as Whole
from cherrydoor.protocol.basics import Id, Message, Name

INCARNATION_ENDED = (
    "that life is over"  # a host's word, in a fault, to a gateway whose estate has been taken over
)


# ---- client and gateway
class ClaimResponse(Message, tag="reclaim"):
    """The answer of an event whose connection ended without one, asked for at another gateway."""

    id: Id  # of this connection
    gateway: Name  # which had taken it, by the name in its hello ...
    incarnation: Id = field(name="life")
    event: Id  # ... and under this id
    key: Name  # the event's own
    lasts: Annotated[float, Meta(gt=0.0, le=1e10)]  # ms from `sent` on, until the client gives up
    sent: float


class ResponseUnknown(Message, tag="unknown"):
    """Nothing is known here of what was claimed, or not by that key; it may have run or not."""

    id: Id
    reason: Annotated[str, Meta(max_length=1024)] = ""


# ---- gateway and host
class EndIncarnation(Message, tag="over"):
    """That life is over: tell what of its estate you hold or have ended, and refuse what still comes from it."""

    id: Id
    gateway: Name
    incarnation: Id = field(name="life")
    number: Id


class HostAttempt(Struct, omit_defaults=True, gc=False):
    """A launch of the estate at a host. `fate` is "" while it is at work; `kept` is false where its answer's body is no
    longer held."""

    job: Id  # the host's own number for it
    client: Name
    event: Id
    number: Whole = 0
    outcome: Literal["", "handled", "error", "full", "missing"] = field(default="", name="fate")
    body: bytes = b""
    kept: bool = True


class AttemptsReport(Message, tag="holds"):
    """The answer to `over`. highest: the number that the host goes by; above the one asked under, it is a refusal."""

    id: Id
    highest: Id
    jobs: list[HostAttempt] = []


class AdoptAttempt(Message, tag="adopt"):
    """The outcome of that job goes to the sender, as of a launch under this id."""

    id: Id
    job: Id


class CountInFlight(Message, tag="count"):
    """How much is in hand here, of whomever?"""

    id: Id


class InFlightCount(Message, tag="counted"):
    """The answer to `count`: launches in hand, those that ever came, and the gateways whose the former are or were
    within the last second."""

    id: Id
    in_hand: Whole
    came: Whole
    by: list[Name] = []


# What each end takes from each other end, beside what it always took.
FROM_CLIENT = (*messages.FROM_CLIENT, ClaimResponse)
TO_CLIENT = (*messages.TO_CLIENT, ResponseUnknown)
TO_HOST = (*messages.TO_HOST, EndIncarnation, AdoptAttempt, CountInFlight)
FROM_HOST = (*messages.FROM_HOST, AttemptsReport, InFlightCount)
