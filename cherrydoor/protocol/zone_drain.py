"""Messages by which gateways coordinate a zone drain: waves, participant reports, commands.

Attributes have standard names; ``field(name=...)`` gives the encoded name where it differs. In the
encoded messages a zone is a site, the coordinator a conductor and a fencing token a number.
"""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field

from cherrydoor.protocol.basics import DurationMs, Id, Message, Name, Text

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]


class DrainState(StrEnum):
    """The state of a drain, as announced by a wave."""

    MOVING = "moving"
    PAUSED = "held"
    EMPTYING = "emptying"
    EMPTY = "empty"
    UNDOING = "undoing"
    COMPLETED = "over"


class CoordinatorCommand(StrEnum):
    """What an operator may tell the coordinator of a running drain to do."""

    PAUSE = "hold"
    RESUME = "resume"
    UNDO = "undo"


class MovedShare(Struct, array_like=True, gc=False):
    """Sessions of the function whose hash is below the share are served outside the zone.

    The function "" stands for all functions without a share of their own.
    """

    function: Name
    share: Share


class ReadyCopy(Struct, array_like=True, gc=False):
    """A host outside the zone that is known to have a copy of the function loaded."""

    function: Name
    host: Name


class DrainWave(Message, tag="wave"):
    """The whole state of a drain after a wave; forwarded once along every link.

    Attributes:
        zone: The zone that is drained.
        fencing_token: Fencing token of the coordinator's lease.
        wave: Number of the wave; it only increases.
        coordinator: The gateway that announced the wave.
        state: State of the drain.
        moved_shares: Shares of sessions that are served outside the zone.
        shed_functions: Functions whose remaining sessions are rejected while the zone empties.
        ready_copies: Loaded copies outside the zone, for routing.
        reason: Why the drain waits or is paused, for operators.
        wave_share: Maximum share of the zone's traffic that one wave moves.
        allow_shortfall: Whether to continue if the neighbours lack capacity for all traffic.
    """

    zone: Name = field(name="site")
    fencing_token: Id = field(name="number")
    wave: Id
    coordinator: Name = field(name="conductor")
    state: DrainState = DrainState.MOVING
    moved_shares: list[MovedShare] = field(default_factory=list, name="away")
    shed_functions: list[Name] = field(default_factory=list, name="shed")
    ready_copies: list[ReadyCopy] = field(default_factory=list, name="copies")
    reason: Text = field(default="", name="why")
    wave_share: Share = field(default=0.25, name="step")
    allow_shortfall: bool = field(default=False, name="even")

    @property
    def version(self) -> tuple[int, int]:
        """Returns the key that orders the waves of one zone: fencing token, then wave number."""
        return self.fencing_token, self.wave


class FunctionLoad(Struct, omit_defaults=True, gc=False):
    """The requests for one function that a gateway sends to the zone.

    Attributes:
        function: Name of the function; each version has its own entry.
        requests_per_s: Attempts per second over the last seconds.
        priority_weight: Benefit that is lost with each request that is late.
        retry_safety: The strictest retry safety of its request classes.
        dedup_window_ms: Time for which hosts remember idempotency keys.
        hosts_with_copy: Hosts in other zones that have a copy loaded.
    """

    function: Name
    requests_per_s: Rate = field(name="rate")
    priority_weight: Rate = field(default=1.0, name="benefit")
    retry_safety: Name = field(default="redeliverable", name="kind")
    dedup_window_ms: DurationMs = field(default=0.0, name="memory")
    hosts_with_copy: list[Name] = field(default_factory=list, name="hosts")


class ZoneLoad(Struct, array_like=True, gc=False):
    """One gateway's traffic to a zone, and what it knows about the zone.

    Attributes:
        zone: Name of the zone.
        requests_per_s: Requests per second that this gateway sends there.
        response_time_ms: Mean response time; None if no host is available.
        available_hosts: Number of hosts that this gateway considers available.
    """

    zone: Name
    requests_per_s: Rate
    response_time_ms: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    available_hosts: Id = 0


class ParticipantReport(Message, tag="followed"):
    """A participant's report to the coordinator, sent directly or through a voter.

    Attributes:
        gateway: The participant.
        incarnation: The participant's incarnation.
        zone: The zone that is drained.
        fencing_token: Fencing token of the wave that it has applied.
        wave: Number of the wave that it has applied.
        in_flight: This gateway's attempts in flight in the zone.
        responses: Responses sent since its last report.
        timely_responses: Number of these responses within their latency objective.
        function_loads: Its load on the zone, by function.
        zone_loads: Its load on each zone.
        recipient: The coordinator, for the voter that forwards the report.
    """

    gateway: Name
    incarnation: Id = field(name="life")
    zone: Name = field(name="site")
    fencing_token: Id = field(name="number")
    wave: Id
    in_flight: Id = field(default=0, name="in_hand")
    responses: Id = field(default=0, name="taken")
    timely_responses: Id = field(default=0, name="good")
    function_loads: list[FunctionLoad] = field(default_factory=list, name="lots")
    zone_loads: list[ZoneLoad] = field(default_factory=list, name="zones")
    recipient: Name = field(default="", name="to")

    @property
    def version(self) -> tuple[int, int]:
        """Returns the version of the wave that the participant has applied."""
        return self.fencing_token, self.wave


class OperatorCommand(Message, tag="drain"):
    """An operator's command to the coordinator, sent directly or through a voter."""

    zone: Name = field(name="site")
    command: CoordinatorCommand = field(name="do")
    recipient: Name = field(default="", name="to")


ZONE_DRAIN_MESSAGES = (DrainWave, ParticipantReport, OperatorCommand)
