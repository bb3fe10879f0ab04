"""The configured limits of admission."""

from dataclasses import dataclass

# Fraction of the common slots that one network prefix of each width may hold, narrowest first. Even
# the owner of a whole /16 gets only half, so that no single network can keep all others out.
NETWORK_PARTS = (1 / 8, 1 / 4, 1 / 2)


@dataclass(slots=True)
class KnownClientSettings:
    """The settings of a known client.

    Attributes:
        name: Its name, as in certificates and tokens.
        reserved_slots: Connection slots reserved for it.
        slot_limit: Connections that it may have in all, including those with common slots.
        addresses: Networks by which it is recognized before it has proved its identity.
    """

    name: str
    reserved_slots: int
    slot_limit: int
    addresses: tuple[str, ...] = ()


@dataclass(slots=True)
class ClientLimits:
    """The limits of admission at one gateway. The order of the fields is part of the interface.

    Attributes:
        connection_slots: Connections that may be admitted at a time.
        known: Known clients.
        connection_rate: New connections per second from one address of unknown clients.
        connection_burst: New connections that may come from it at once.
        known_client_rate: New connections per second from one known client.
        handshake_rate: TLS handshakes per second.
        hello_timeout_ms: Time from the accept until the hello must have come.
        frame_timeout_ms: Time from the first byte of a frame until it must be complete.
        idle_ms: Time without use after which an unknown client's connection may be evicted.
        unknown_frame_bytes: Longest frame that an unknown client may send.
        known_frame_bytes: Longest frame that a known client may send.
        stranger_bytes: Bytes held for one address of unknown clients: input that is not handled
            yet, and output that is not sent yet. All clients together may also hold no more than
            the process has memory for.
        unknown_clients_bytes: The same for all unknown clients together.
        known_client_bytes: The same for one known client.
        seed: Seed of the random draws among pending connections.
        parts: Fraction of the common slots that one network prefix of each width may hold; 1 for
            each width where all clients come through one front proxy.
        pending: Capacity for pending connections; 0 means an eighth of `connection_slots`.
    """

    connection_slots: int
    known: tuple[KnownClientSettings, ...] = ()
    connection_rate: float = 20.0
    connection_burst: float = 60.0
    known_client_rate: float = 200.0
    handshake_rate: float = 200.0
    hello_timeout_ms: float = 5000.0
    frame_timeout_ms: float = 5000.0
    idle_ms: float = 5000.0
    unknown_frame_bytes: int = 16 << 20
    known_frame_bytes: int = 16 << 20
    stranger_bytes: int = 32 << 20
    unknown_clients_bytes: int = 256 << 20
    known_client_bytes: int = 64 << 20
    seed: int = 1
    parts: tuple[float, ...] = NETWORK_PARTS
    pending: int = 0
