"""The limits that admission decides by."""

from dataclasses import dataclass

# Of the common slots, the part that one network prefix of each width may fill: an owner of a whole
# /16 is left half, so that no single network keeps all others out.
NETWORK_PARTS = (1 / 8, 1 / 4, 1 / 2)


@dataclass(slots=True)
class KnownClientSettings:
    """A known client as configured.

    Attributes:
        name: Its name, as certificates and tokens have it.
        reserved_slots: Connection slots that are kept for it alone.
        slot_limit: Connections that it may have in all, with common slots.
        addresses: Networks by which it is recognised before it has proved who it is.
    """

    name: str
    reserved_slots: int
    slot_limit: int
    addresses: tuple[str, ...] = ()


@dataclass(slots=True)
class ClientLimits:
    """What admission goes by at one gateway. The order of the fields is part of the interface.

    Attributes:
        connection_slots: Connections that may be admitted at a time.
        known: Known clients.
        connection_rate: New connections a second from one address of an unknown client.
        connection_burst: How many of them may come at once.
        known_client_rate: New connections a second from one known client.
        handshake_rate: TLS handshakes a second.
        hello_timeout_ms: Time for handshake and hello.
        frame_timeout_ms: Time in which a frame that has begun must be complete.
        idle_ms: An unknown client's connection without use for so long makes room for others.
        unknown_frame_bytes: Longest frame of an unknown client.
        known_frame_bytes: Longest frame of a known client.
        stranger_bytes: Bytes of unfinished frames for one address of unknown clients.
        unknown_clients_bytes: The same for all unknown clients together.
        known_client_bytes: The same for one known client.
        seed: Seed of the draws among pending connections.
        parts: Part of the common slots that one network prefix of each width may fill; 1 for each
            where all clients come through one front proxy.
        pending: Capacity for pending connections; 0 for an eighth of `connection_slots`.
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
