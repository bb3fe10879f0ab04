"""Messages into the rollout controller, actions out of it, and the states of a release.

Types only. Points in time (`*_at_ms`) are ms since 1970, spans end in `_ms`. The values of the
enums are stored and cross the wire. The order of fields is part of the interface: callers build
these messages by position.
"""

from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha1

from cherrydoor.routing.messages import AttemptOutcome

HostTally = tuple[int, int, int]  # runs, errors and slow runs of one version at one host


class ReleaseState(StrEnum):
    """Where a release stands. The values are stored, logged and on the wire."""

    ANNOUNCED = "announced"
    LOADING = "loading"
    CANARY = "trial"
    COMPLETE = "complete"
    ROLLED_BACK = "withdrawn"
    SUPERSEDED = "superseded"


class OperatorAction(StrEnum):
    """What an operator may order. The values are those of the control socket."""

    PAUSE = "hold"
    RESUME = "go on"
    ROLL_BACK = "withdraw"
    COMPLETE = "complete"


def version_name(function: str, version: int) -> str:
    """Return what hosts and the decision module call a function's version; 0 is the bare function.

    >>> version_name("resize", 0), version_name("resize", 7)
    ('resize', 'resize@7')
    """
    return f"{function}@{version}" if version else function


def split_version_name(name: str) -> tuple[str, int]:
    """Return the function and the version of a name; 0 where it names no version.

    >>> split_version_name("resize"), split_version_name("resize@7")
    (('resize', 0), ('resize', 7))
    """
    function, _, version = name.partition("@")
    return function, int(version) if version.isdigit() else 0


def canary_position(function: str, version: int, affinity_key: str) -> float:
    """Return the position, 0 to 1, at which a growing traffic share reaches this affinity key.

    It is the same at every gateway and step, so the shares nest. By SHA-1, as home hosts are: a
    checksum would give keys with similar names similar positions.

    >>> 0 <= canary_position("resize", 7, "d1") < 1
    True
    """
    digest = sha1(f"{function}@{version}/{affinity_key}".encode()).digest()
    return int.from_bytes(digest[:8], "big") / 2.0**64


# ---- messages in
@dataclass(slots=True)
class ReleaseUpdated:
    """From the feed: this version is announced, rolled back or completed by whoever releases it."""

    function: str
    version: int
    state: ReleaseState = ReleaseState.ANNOUNCED


@dataclass(slots=True)
class OperatorCommand:
    """From the operator: what is to be done with the function's release."""

    function: str
    action: OperatorAction


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        name: The version's name.
        host: Where it ran.
        outcome: How it ended; only successes, errors and lost connections count as evidence.
        took_ms: How long it took.
        cold: Whether it started a load or waited for one.
        load_failed: Whether the load itself failed.
        tally: Counts of this version at the host since the host started, over all gateways; None
            where not reported.
        tenant: Whose request it was.
    """

    name: str
    host: str
    outcome: AttemptOutcome | str
    took_ms: float = 0.0
    cold: bool = False
    load_failed: bool = False
    tally: HostTally | None = None
    tenant: str = ""


@dataclass(slots=True)
class LoadEnded:
    """A load order has ended."""

    name: str
    outcome: AttemptOutcome | str
    took_ms: float


@dataclass(slots=True)
class Tick:
    """Time has passed."""


# ---- actions out
@dataclass(slots=True)
class LoadAhead:
    """Load this version before requests are sent to it."""

    name: str


@dataclass(slots=True)
class UnloadIdle:
    """Idle copies of this version may be unloaded at these hosts."""

    name: str
    hosts: tuple[str, ...]


@dataclass(slots=True)
class ReleaseChanged:
    """A change of state, for the log and the counters.

    Attributes:
        function: The function released; empty for what concerns all of them.
        version: Its version.
        state: A `ReleaseState`'s value, for a canary with its traffic share, or what was done.
        reason: Why; may be empty.
    """

    function: str
    version: int
    state: str
    reason: str = ""


Message = ReleaseUpdated | OperatorCommand | AttemptEnded | LoadEnded | Tick
Action = LoadAhead | UnloadIdle | ReleaseChanged
