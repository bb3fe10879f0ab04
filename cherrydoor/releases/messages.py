"""Messages into the rollout controller, actions out of it, and the states of a release.

Only types and names are defined here. Points in time (`*_at_ms`) are ms since 1970; durations end
in `_ms`. The values of the enums are stored in files and sent on the wire. The order of fields is
part of the interface, because callers build these messages from positional arguments.
"""

from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha1

from cherrydoor.routing.messages import AttemptOutcome

HostTally = tuple[int, int, int]  # runs, errors and slow runs of one version at one host


class ReleaseState(StrEnum):
    """State of a release. The values are stored, logged and sent on the wire."""

    ANNOUNCED = "announced"
    LOADING = "loading"
    CANARY = "trial"
    COMPLETE = "complete"
    ROLLED_BACK = "withdrawn"
    SUPERSEDED = "superseded"


class OperatorAction(StrEnum):
    """Operator command. The values are those of the control socket."""

    PAUSE = "hold"
    RESUME = "go on"
    ROLL_BACK = "withdraw"
    COMPLETE = "complete"


def version_name(function: str, version: int) -> str:
    """Return the name of a function's version for hosts and routing; version 0 has no suffix.

    >>> version_name("resize", 0), version_name("resize", 7)
    ('resize', 'resize@7')
    """
    return f"{function}@{version}" if version else function


def split_version_name(name: str) -> tuple[str, int]:
    """Return the function and the version of a name; version 0 if the name has no suffix.

    >>> split_version_name("resize"), split_version_name("resize@7")
    (('resize', 0), ('resize', 7))
    """
    function, _, version = name.partition("@")
    return function, int(version) if version.isdigit() else 0


def canary_position(function: str, version: int, affinity_key: str) -> float:
    """Return the traffic share, 0 to 1, above which this affinity key gets the canary.

    It is the same at every gateway and step, so each share contains the keys of smaller shares.
    Like the choice of home hosts it uses SHA-1, because a checksum would give keys with similar
    names similar positions.

    >>> 0 <= canary_position("resize", 7, "d1") < 1
    True
    """
    digest = sha1(f"{function}@{version}/{affinity_key}".encode()).digest()
    return int.from_bytes(digest[:8], "big") / 2.0**64


# ---- messages in
@dataclass(slots=True)
class ReleaseUpdated:
    """From the feed: the releasing party announces, rolls back or completes this version."""

    function: str
    version: int
    state: ReleaseState = ReleaseState.ANNOUNCED


@dataclass(slots=True)
class OperatorCommand:
    """From the operator: a command for the function's release."""

    function: str
    action: OperatorAction


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        name: The version's name, as returned by `version_name`.
        host: The host that ran it.
        outcome: The outcome; only successes, errors and lost connections count as evidence.
        took_ms: The duration.
        cold: Whether it started a load or waited for one.
        load_failed: Whether the load itself failed.
        tally: Counts of this version at the host since the host started, for all gateways; None
            if the host did not report them.
        tenant: The tenant that sent the request.
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
    """Preload this version: load it before requests are routed to it."""

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
        function: The released function; empty if the change concerns all functions.
        version: The released version.
        state: The value of the `ReleaseState`, for a canary followed by its traffic share; or
            "held off" when new rollouts are stopped.
        reason: The reason; may be empty.
    """

    function: str
    version: int
    state: str
    reason: str = ""


Message = ReleaseUpdated | OperatorCommand | AttemptEnded | LoadEnded | Tick
Action = LoadAhead | UnloadIdle | ReleaseChanged
