"""Messages to the credential store, and the actions that it returns. Times are ms since 1970."""

from dataclasses import dataclass
from typing import Any

from cherrydoor.tls.credentials import Part


# ---- messages
@dataclass(slots=True)
class Offered:
    """The content of one part as read from its files, offered for service.

    Attributes:
        part: The part.
        content_hash: Hash of the content of the files.
        content: The records, of the type that belongs to the part; None if reading failed.
        read_error: Why the part could not be read; empty if it was read.
    """

    part: Part
    content_hash: str
    content: Any = None
    read_error: str = ""


@dataclass(slots=True)
class ConnectionOpened:
    """A connection was accepted with the credentials in service.

    Attributes:
        connection: Handle of the connection, returned in `EndConnection`.
        serial: Serial number of the peer's certificate; empty without certificate.
        authority: Id of the authority that issued the certificate; empty without certificate.
        token: Id of the key that signed the peer's token; empty without token.
        expires_ms: End of validity of the peer's certificate or token; 0 without either.
    """

    connection: object
    serial: str = ""
    authority: str = ""
    token: str = ""
    expires_ms: float = 0.0


@dataclass(slots=True)
class ConnectionClosed:
    """A connection has been closed."""

    connection: object


@dataclass(slots=True)
class Tick:
    """Time has passed."""


Message = Offered | ConnectionOpened | ConnectionClosed | Tick


# ---- actions
@dataclass(slots=True)
class PutInService:
    """This content of the part is now in service."""

    part: Part
    content_hash: str


@dataclass(slots=True)
class Rejected:
    """New content of a part was rejected; the previous content stays in service."""

    part: Part
    reason: str


@dataclass(slots=True)
class ExpiryWarning:
    """A certificate expires in `remaining_ms`. It has expired if that is not positive."""

    credential: str
    remaining_ms: float


@dataclass(slots=True)
class EndConnection:
    """The connection must be closed: at once, or as soon as it has no open requests."""

    connection: object
    reason: str
    at_once: bool


Action = PutInService | Rejected | ExpiryWarning | EndConnection
