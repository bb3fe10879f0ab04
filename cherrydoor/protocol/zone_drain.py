"""Messages by which gateways coordinate a zone drain: waves, participant reports, commands.

Each field has its standard name; ``field(name=...)`` keeps the name that the wire has for it.
The wire calls a zone a site, the coordinator a conductor and a fencing token a number.
"""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, field

from cherrydoor.protocol.basics import DurationMs, Id, Message, Name, Text

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]


class DrainState(StrEnum):
    """What a wave announces."""

    MOVING = "moving"
    PAUSED = "held"
    EMPTYING = "emptying"
    EMPTY = "empty"
    UNDOING = "undoing"
    COMPLETED = "over"


class CoordinatorCommand(StrEnum):
    """What an operator may ask of the coordinator of a drain that goes on."""

    PAUSE = "hold"
    RESUME = "resume"
    UNDO = "undo"


class MovedShare(Struct, array_like=True, gc=False):
    """Sessions of the function whose hash is below the share are served outside the zone.

    The function "" means all functions that are not named.
    """

    function: Name
    share: Share


class ReadyCopy(Struct, array_like=True, gc=False):
    """A host outside the zone where a copy of the function is known to be loaded."""

    function: Name
    host: Name


class DrainWave(Message, tag="wave"):
    """The whole state of a drain after one wave; forwarded along every link once.

    Attributes:
        zone: The zone that is drained.
        fencing_token: Of the coordinator's lease.
        wave: Number of the wave; it only grows.
        coordinator: The gateway that announced the wave.
        state: Where the drain is.
        moved_shares: Sessions that are served elsewhere.
        shed_functions: Functions whose remaining sessions are rejected while the zone empties.
        ready_copies: Copies outside the zone, reported to routing.
        reason: Why the drain waits or paused, for people.
        wave_share: Share of the zone's traffic that a wave moves at most.
        allow_shortfall: Whether to go on where neighbours lack capacity for all.
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
        """Orders waves of one zone: by fencing token, then by number."""
        return self.fencing_token, self.wave


class FunctionLoad(Struct, omit_defaults=True, gc=False):
    """A gateway's own requests of one function that it sends to the zone.

    Attributes:
        function: Name of the function, a version among others.
        requests_per_s: Attempts a second over the last seconds.
        priority_weight: Lost with each request that is late.
        retry_safety: The strictest of its request classes.
        dedup_window_ms: For how long hosts remember idempotency keys.
        hosts_with_copy: Hosts of other zones where copies are loaded.
    """

    function: Name
    requests_per_s: Rate = field(name="rate")
    priority_weight: Rate = field(default=1.0, name="benefit")
    retry_safety: Name = field(default="redeliverable", name="kind")
    dedup_window_ms: DurationMs = field(default=0.0, name="memory")
    hosts_with_copy: list[Name] = field(default_factory=list, name="hosts")


class ZoneLoad(Struct, array_like=True, gc=False):
    """What one gateway sends to a zone and knows of it.

    Attributes:
        zone: Name of the zone.
        requests_per_s: Requests a second that this gateway sends there.
        response_time_ms: Mean response time; None where no host is available.
        available_hosts: How many hosts this gateway holds to be available.
    """

    zone: Name
    requests_per_s: Rate
    response_time_ms: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    available_hosts: Id = 0


class ParticipantReport(Message, tag="followed"):
    """From a participant to the coordinator, directly or by way of a voter.

    Attributes:
        gateway: The participant.
        incarnation: Which of its starts this is.
        zone: The zone that is drained.
        fencing_token: Of the wave that it goes by.
        wave: Number of the wave that it goes by.
        in_flight: Attempts of this gateway in flight in the zone.
        responses: Requests answered since its last report.
        timely_responses: Those of them within their latency objective.
        function_loads: The functions that it sends to the zone.
        zone_loads: What it knows of all zones.
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
        """The version of the wave that the participant goes by."""
        return self.fencing_token, self.wave


class OperatorCommand(Message, tag="drain"):
    """An operator's command to the coordinator, directly or by way of a voter."""

    zone: Name = field(name="site")
    command: CoordinatorCommand = field(name="do")
    recipient: Name = field(default="", name="to")


ZONE_DRAIN_MESSAGES = (DrainWave, ParticipantReport, OperatorCommand)
