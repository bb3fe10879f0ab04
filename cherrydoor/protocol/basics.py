"""What all messages of the wire are made of, and what is said on every connection."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

VERSION = 1
LARGEST = 16 * 2**20  # bytes of one frame's body, unless a hello states less

Id = Annotated[int, Meta(ge=0, le=2**62)]
Name = Annotated[str, Meta(max_length=256)]
Span = Annotated[float, Meta(ge=0.0, le=1e10)]
Time = Annotated[float, Meta(ge=-1e15, le=1e15)]
Count = Annotated[int, Meta(ge=0, le=2**31)]
Text = Annotated[str, Meta(max_length=1024)]
Fate = Literal["handled", "error", "full", "missing"]
Final = Literal["handled", "deferred", "dead-lettered"]
State = Literal["ready", "draining", "gone"]
How = Literal["changes", "whole"]
Role = Literal["client", "gateway", "host", "store", "list", "feed", "peer"]


class Message(Struct, tag_field="is", omit_defaults=True, gc=False):
    """What all messages share: the field `is` names the kind."""


# ---- both ways, on every connection
class Hello(Message, tag="hello"):
    """First on each connection, from both ends: who speaks, and what it takes."""

    version: Count
    role: Role
    name: Name = ""
    clock: Time = 0.0  # the sender's clock as it wrote this
    since: Time = 0.0  # a host's start, 0 elsewhere
    largest: Count = LARGEST  # the longest body that the sender of this takes
    most: Count = 0  # events or launches that it takes at once; 0 says nothing
    token: Annotated[str, Meta(max_length=4096)] = (
        ""  # a client's word on who it is, signed (docs/keys.md)
    )
    life: Id = 0  # of a gateway whose work in hand outlives it: which of its starts this is


class Fault(Message, tag="fault"):
    """Last on a connection: why the sender closes it, and how long to stay away."""

    reason: Text
    stay_away: Span = 0.0


class Leaving(Message, tag="leaving"):
    """The gateway drains: it takes nothing new, clients go elsewhere."""

    reason: Text = ""


ALWAYS = (Hello, Fault)
