"""Field types of all messages of our own wire, and the messages that any connection carries.

Each message class has the field's standard name. What the wire calls it stands beside it: the
``tag`` of the class, and ``field(name=...)`` where a field's name on the wire differs.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

VERSION = 1  # of the protocol
DEFAULT_MAX_FRAME_BYTES = 16 * 2**20  # of one frame's body, unless a hello states less

Id = Annotated[int, Meta(ge=0, le=2**62)]
Name = Annotated[str, Meta(max_length=256)]
DurationMs = Annotated[float, Meta(ge=0.0, le=1e10)]
TimestampMs = Annotated[float, Meta(ge=-1e15, le=1e15)]
Count = Annotated[int, Meta(ge=0, le=2**31)]
Text = Annotated[str, Meta(max_length=1024)]
AttemptOutcome = Literal["handled", "error", "full", "missing"]
FinalOutcome = Literal["handled", "deferred", "dead-lettered"]
HostState = Literal["ready", "draining", "gone"]
UpdateKind = Literal["changes", "whole"]
Role = Literal["client", "gateway", "host", "store", "list", "feed", "peer"]

SUCCEEDED: FinalOutcome = "handled"
REJECTED: FinalOutcome = "deferred"
FAILED: FinalOutcome = "dead-lettered"


class Message(Struct, tag_field="is", omit_defaults=True, gc=False):
    """Base of all messages: the wire's field ``is`` names the kind."""


class Hello(Message, tag="hello"):
    """First on each connection, from both ends: who speaks, and what it accepts.

    Attributes:
        version: Protocol version.
        role: What the sender is.
        name: Name of the sender.
        clock_ms: The sender's clock as it wrote this.
        started_at_ms: Start of a host, in ms since 1970; 0 elsewhere.
        max_frame_bytes: Longest body that the sender accepts.
        max_in_flight: Requests or attempts that it accepts at once; 0 states nothing.
        token: A client's signed token (docs/operate/tls.md).
        incarnation: Of a gateway with failover: which of its starts this is.
    """

    version: Count
    role: Role
    name: Name = ""
    clock_ms: TimestampMs = field(default=0.0, name="clock")
    started_at_ms: TimestampMs = field(default=0.0, name="since")
    max_frame_bytes: Count = field(default=DEFAULT_MAX_FRAME_BYTES, name="largest")
    max_in_flight: Count = field(default=0, name="most")
    token: Annotated[str, Meta(max_length=4096)] = ""
    incarnation: Id = field(default=0, name="life")


class GoAway(Message, tag="fault"):
    """Last on a connection: why the sender closes it, and when to come back."""

    reason: Text
    retry_after_ms: DurationMs = field(default=0.0, name="stay_away")


class Draining(Message, tag="leaving"):
    """The gateway drains: it accepts nothing new, clients go elsewhere."""

    reason: Text = ""


COMMON_MESSAGES = (Hello, GoAway)
