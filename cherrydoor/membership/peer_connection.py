"""One end of a connection between two gateways."""

from typing import Protocol

from cherrydoor.connection import FramedConnection
from cherrydoor.protocol.basics import Hello
from cherrydoor.protocol.peers import PEER_MESSAGES
from cherrydoor.protocol.zone_drain import ZONE_DRAIN_MESSAGES

# Bytes that may wait for a slow peer; beyond it its link is cut, and made anew. That bounds our
# memory; it harms where one update to a peer is larger.
MAX_WAITING_BYTES = 8 * 2**20


class InvalidAddressError(ValueError):
    """An address of a peer is no host:port; says which."""


class ConnectionOwner(Protocol):
    """What a connection needs of its owner, beside the calls of `FramedConnection`."""

    frames_sent: int
    bytes_sent: int

    def hello(self) -> Hello:
        """Returns the hello of this gateway."""


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of "host:port"; an IPv6 host stands in brackets.

    Raises:
        InvalidAddressError: Where there is no port.

    >>> parse_address("[::1]:4001")
    ('::1', 4001)
    """
    host, _, port = text.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError:
        raise InvalidAddressError(f"not an address:port: {text!r}") from None


class PeerConnection(FramedConnection):
    """A connection to a peer; it is the link to it only once it is kept.

    Attributes:
        dialled_name: Whom we dialled, "" where the peer did.
        name: The peer's name; of one that dialled us "" until its hello.
        is_kept: Whether this is the link to that peer.
    """

    def __init__(self, owner: ConnectionOwner, dialled_name: str = "") -> None:
        """Prepares one end; asyncio connects it.

        Args:
            owner: The membership service.
            dialled_name: Whom we dialled, "" where the peer did.
        """
        messages = (*PEER_MESSAGES, *ZONE_DRAIN_MESSAGES)
        super().__init__(owner, messages, owner.hello, MAX_WAITING_BYTES)
        self.dialled_name = dialled_name
        self.name = dialled_name
        self.is_kept = False

    def write_bytes(self, data: bytes) -> None:
        """Writes frames, and counts them."""
        self.owner.frames_sent += 1
        self.owner.bytes_sent += len(data)
        super().write_bytes(data)
