"""What the admission controller takes (messages) and gives (actions). Times are in ms."""

from dataclasses import dataclass

from cherrydoor.admission.connections import AdmittedConnection


@dataclass(slots=True)
class ConnectionAccepted:
    """A connection has been accepted; `needs_handshake` where it begins with TLS."""

    connection: AdmittedConnection
    needs_handshake: bool = False


@dataclass(slots=True)
class ClientIdentified:
    """The hello has come; `known_client` has proved itself, or is "" for anybody else."""

    connection: AdmittedConnection
    known_client: str


@dataclass(slots=True)
class ConnectionClosed:
    """The connection is closed, by either end."""

    connection: AdmittedConnection


@dataclass(slots=True)
class ReadQuotaExceeded:
    """As many requests have been read from the connection's group as it may send in this window."""

    connection: AdmittedConnection


@dataclass(slots=True)
class BufferLimitExceeded:
    """Unfinished frames of the group, or of all unknown clients, hold more than they may."""

    connection: AdmittedConnection


@dataclass(slots=True)
class DescriptorsExhausted:
    """A call found no descriptor; `needed` where an upstream connection waits for one."""

    needed: bool


@dataclass(slots=True)
class UsageMeasured:
    """Use of the process, once each window, as fractions from 0 to 1.

    Attributes:
        descriptors: Open descriptors, of their limit.
        memory: Memory held, of its limit.
        busy: The part of the last window in which the process ran or waited for a core.
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
    """Start the handshake, or read the hello where there is no handshake."""

    connection: AdmittedConnection


@dataclass(slots=True)
class Admit:
    """The connection has a slot; frames up to `longest_frame_bytes` are read from it."""

    connection: AdmittedConnection
    longest_frame_bytes: int


@dataclass(slots=True)
class Reject:
    """Tell the client the reason and close; it may come back after `retry_after_ms`."""

    connection: AdmittedConnection
    reason: str
    retry_after_ms: float


@dataclass(slots=True)
class PauseReading:
    """Read nothing from the connection until ResumeReading."""

    connection: AdmittedConnection


@dataclass(slots=True)
class ResumeReading:
    """Read from the connection again."""

    connection: AdmittedConnection


@dataclass(slots=True)
class PauseAccepting:
    """Accept no connection for so long."""

    duration_ms: float


Action = StartHandshake | Admit | Reject | PauseReading | ResumeReading | PauseAccepting
