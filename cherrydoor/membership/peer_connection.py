"""One end of a connection between two gateways."""

from typing import Protocol

from cherrydoor.connection import FramedConnection
from cherrydoor.protocol.basics import Hello
from cherrydoor.protocol.peers import PEER_MESSAGES
from cherrydoor.protocol.zone_drain import ZONE_DRAIN_MESSAGES

# Unsent bytes beyond which the link to a slow peer is aborted; it is then dialled again. This
# limits the memory used for slow peers; the cost is that a larger single update also aborts it.
MAX_PEER_WRITE_BUFFER_BYTES = 8 * 2**20


class InvalidAddressError(ValueError):
    """The address of a peer is not host:port; the message holds the address."""


class ConnectionOwner(Protocol):
    """What a connection needs from its owner, in addition to the calls of `FramedConnection`."""

    frames_sent: int
    bytes_sent: int

    def hello(self) -> Hello:
        """Returns the hello that this gateway sends."""


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and port of "host:port"; an IPv6 host is written in brackets.

    Raises:
        InvalidAddressError: The text has no port, or the port is not a number.

    >>> parse_address("[::1]:4001")
    ('::1', 4001)
    """
    host, _, port = text.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError:
        raise InvalidAddressError(f"expected host:port, got {text!r}") from None


class PeerConnection(FramedConnection):
    """A connection to a peer; it becomes the link to that peer once it is kept.

    Attributes:
        dialled_name: The name of the peer that we dialled, "" if the peer dialled us.
        name: The peer's name; if the peer dialled us, "" until its hello.
        is_kept: Whether this connection is the link to the peer.
    """

    def __init__(self, owner: ConnectionOwner, dialled_name: str = "") -> None:
        """Prepares the protocol object, which asyncio then connects.

        Args:
            owner: The membership service.
            dialled_name: The name of the peer that we dialled, "" if the peer dialled us.
        """
        messages = (*PEER_MESSAGES, *ZONE_DRAIN_MESSAGES)
        super().__init__(owner, messages, owner.hello, MAX_PEER_WRITE_BUFFER_BYTES)
        self.dialled_name = dialled_name
        self.name = dialled_name
        self.is_kept = False

    def write_bytes(self, data: bytes) -> None:
        """Writes encoded frames, and counts the writes and their bytes."""
        self.owner.frames_sent += 1
        self.owner.bytes_sent += len(data)
        super().write_bytes(data)
