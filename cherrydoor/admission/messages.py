"""The messages that the admission controller takes, and the actions that it returns.

Times are in ms.
"""

from dataclasses import dataclass

from cherrydoor.admission.connections import AdmittedConnection


@dataclass(slots=True)
class ConnectionAccepted:
    """A connection has been accepted; `needs_handshake` if it starts with a TLS handshake."""

    connection: AdmittedConnection
    needs_handshake: bool = False


@dataclass(slots=True)
class ClientIdentified:
    """The hello has come; `known_client` is the client that proved its identity, else ""."""

    connection: AdmittedConnection
    known_client: str


@dataclass(slots=True)
class ConnectionClosed:
    """The connection has been closed by either side."""

    connection: AdmittedConnection


@dataclass(slots=True)
class ReadQuotaExceeded:
    """The connection, or its group, has used up its read quota of this window."""

    connection: AdmittedConnection


@dataclass(slots=True)
class BufferLimitExceeded:
    """What is held for a group, for all unknown clients or for all clients is above its limit."""

    connection: AdmittedConnection


@dataclass(slots=True)
class DescriptorsExhausted:
    """A call failed for lack of a descriptor; `needed` if an upstream connection needs one."""

    needed: bool


@dataclass(slots=True)
class UsageMeasured:
    """Resource usage of the process, measured once per window, as fractions from 0 to 1.

    Attributes:
        descriptors: Open descriptors, as a fraction of their limit.
        memory: Resident memory, as a fraction of its limit.
        busy: Fraction of the last window in which the process ran or waited for a core.
    """

    descriptors: float
    memory: float
    busy: float


Message = (
    ConnectionAccepted
    | ClientIdentified
    | ConnectionClosed
    | ReadQuotaExceeded
    | BufferLimitExceeded
    | DescriptorsExhausted
    | UsageMeasured
)


@dataclass(slots=True)
class StartHandshake:
    """Start the TLS handshake, or read the hello if the listener has no TLS."""

    connection: AdmittedConnection


@dataclass(slots=True)
class Admit:
    """Admit the connection, which has a slot; accept frames up to `longest_frame_bytes`."""

    connection: AdmittedConnection
    longest_frame_bytes: int


@dataclass(slots=True)
class Reject:
    """Send the client the reason and close; it may retry after `retry_after_ms`."""

    connection: AdmittedConnection
    reason: str
    retry_after_ms: float


@dataclass(slots=True)
class PauseReading:
    """Stop reading from the connection until ResumeReading."""

    connection: AdmittedConnection


@dataclass(slots=True)
class ResumeReading:
    """Resume reading from the connection."""

    connection: AdmittedConnection


@dataclass(slots=True)
class PauseAccepting:
    """Accept no connections for `duration_ms`."""

    duration_ms: float


Action = StartHandshake | Admit | Reject | PauseReading | ResumeReading | PauseAccepting
