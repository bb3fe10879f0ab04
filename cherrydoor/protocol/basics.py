"""Field types of all protocol messages, and the messages that any connection may carry.

Classes and attributes have standard names. Where the encoded name differs, it is given by the
``tag`` of the class and by ``field(name=...)`` of the attribute.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

VERSION = 1  # protocol version
DEFAULT_MAX_FRAME_BYTES = 16 * 2**20  # limit on the body of a frame, unless a hello states less

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
    """Base of all messages; the encoded field ``is`` holds the message's tag."""


class Hello(Message, tag="hello"):
    """The first message on each connection, from both sides: who the sender is, what it accepts.

    Attributes:
        version: Protocol version.
        role: Role of the sender.
        name: Name of the sender.
        clock_ms: Reading of the sender's clock when it sent this.
        started_at_ms: Start time of a host, in ms since 1970; 0 for other roles.
        max_frame_bytes: Longest frame body that the sender accepts.
        max_in_flight: Requests or attempts that it accepts at once; 0 if not stated.
        token: A client's signed token (docs/operate/tls.md).
        incarnation: Number of the sender's current start, if it is a gateway with failover.
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
    """The last message on a connection: why the sender closes it, and when to reconnect."""

    reason: Text
    retry_after_ms: DurationMs = field(default=0.0, name="stay_away")


class Draining(Message, tag="leaving"):
    """The gateway is draining: it accepts no new requests, and clients use another gateway."""

    reason: Text = ""


COMMON_MESSAGES = (Hello, GoAway)
