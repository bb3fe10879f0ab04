"""A site's drain as gateways tell each other of it: waves from the conductor, reports from those who follow."""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cherrydoor.protocol.basics import DurationMs, Id, Message, Name, Text

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, Meta(ge=0.0, le=1e9)]


class MovedShare(Struct, array_like=True, gc=False):
    """Sessions of a function below this share are away from the site; "" stands for all functions not named."""

    function: Name
    share: Share


class ReadyCopy(Struct, array_like=True, gc=False):
    """Where a matching copy is held to stand."""

    function: Name
    host: Name


class DrainWave(Message, tag="wave"):
    """The whole of a drain as it stands after one wave; goes on along every link once. number: the tenure's."""

    site: Name
    number: Id
    wave: Id
    conductor: Name
    state: Literal["moving", "held", "emptying", "empty", "undoing", "over"] = "moving"
    away: list[MovedShare] = []
    shed: list[Name] = []
    copies: list[ReadyCopy] = []
    why: Text = ""
    step: Share = 0.25  # of the site's traffic that a wave moves at most
    even: bool = False  # also where neighbours have no room for all


class FunctionLoad(Struct, omit_defaults=True, gc=False):
    """What this gateway's calls of a function come to at the site, over the last seconds."""

    function: Name
    rate: Rate
    benefit: Rate = 1.0
    kind: Name = "redeliverable"
    memory: DurationMs = 0.0
    hosts: list[Name] = []  # elsewhere, where it has seen copies stand


class ZoneLoad(Struct, array_like=True, gc=False):
    """Events a second that went there, the mean time of an answer in ms, None where no host stands, and how many do."""

    site: Name
    rate: Rate
    took: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    hosts: Id = 0


class ParticipantReport(Message, tag="followed"):
    """From a gateway to the conductor, by way of a keeper: the wave it goes by, what it has in hand at the site, how
    its events fared, and what it knows of functions and sites."""

    gateway: Name
    incarnation: Id = field(name="life")
    site: Name
    number: Id
    wave: Id
    in_hand: Id = 0
    taken: Id = 0  # events answered since the last report ...
    good: Id = 0  # ... and those of them within their target
    lots: list[FunctionLoad] = []
    zones: list[ZoneLoad] = []
    to: Name = ""  # the conductor, for who passes it on


class OperatorCommand(Message, tag="drain"):
    """An operator's word for the conductor, by way of a keeper."""

    site: Name
    do: Literal["hold", "resume", "undo"]
    to: Name = ""


ZONE_DRAIN_MESSAGES = (DrainWave, ParticipantReport, OperatorCommand)
