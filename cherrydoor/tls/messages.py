"""Messages to the credential store, and the actions that it answers with. Times in ms."""

from dataclasses import dataclass
from typing import Any

from cherrydoor.tls.credentials import Part


# ---- messages
@dataclass(slots=True)
class Offered:
    """One part as it was read from its file.

    Attributes:
        part: The part.
        content_hash: Distinguishes one content of the files from another.
        content: Its records, in the type that belongs to the part; None where it was not read.
        fault: Why the part could not be read; empty where it was.
    """

    part: Part
    content_hash: str
    content: Any = None
    fault: str = ""


@dataclass(slots=True)
class ConnectionOpened:
    """A connection was accepted on the credentials in service.

    Attributes:
        connection: Handle that `EndConnection` gives back.
        serial: Serial number of the peer's certificate; empty for none.
        authority: Id of the authority that issued it; empty for none.
        token: Id of the key that signed the peer's token; empty for none.
        expires_ms: End of validity of the peer's certificate or token; 0 for none.
    """

    connection: object
    serial: str = ""
    authority: str = ""
    token: str = ""
    expires_ms: float = 0.0


@dataclass(slots=True)
class ConnectionClosed:
    """A connection is closed."""

    connection: object


@dataclass(slots=True)
class Tick:
    """Time has passed."""


Message = Offered | ConnectionOpened | ConnectionClosed | Tick


# ---- actions
@dataclass(slots=True)
class PutInService:
    """From now on this content of the part is in service."""

    part: Part
    content_hash: str


@dataclass(slots=True)
class Rejected:
    """A part was rejected; the one in service stays."""

    part: Part
    why: str


@dataclass(slots=True)
class ExpiryWarning:
    """A certificate expires in `left_ms`; expired where that is not positive."""

    credential: str
    left_ms: float


@dataclass(slots=True)
class EndConnection:
    """The connection is to be closed: at once, or as soon as no request is open on it."""

    connection: object
    why: str
    at_once: bool


Action = PutInService | Rejected | ExpiryWarning | EndConnection
