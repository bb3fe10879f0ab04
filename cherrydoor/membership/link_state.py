"""The state of a link to one peer, and what the link policy asks the service to do."""

from typing import NamedTuple, TypeAlias

from msgspec import Struct

from cherrydoor.protocol.peers import Heartbeat, MembershipUpdate


class Dial(Struct, frozen=True):
    """A connection to that gateway is to be made."""

    name: str
    address: str


class CloseLink(Struct, frozen=True):
    """The link to that gateway is to be closed."""

    name: str
    reason: str


class SendMessage(Struct, frozen=True):
    """A message to the gateway of that name."""

    to: str
    message: Heartbeat | MembershipUpdate


LinkAction: TypeAlias = Dial | CloseLink | SendMessage


class LinkAdmission(NamedTuple):
    """Whether a link that has come up stays, and what follows."""

    is_kept: bool
    actions: list[LinkAction]


class LinkState:
    """What is known of the link to one name; dropped when down, unwanted and not dialled."""

    __slots__ = (
        "dials_without_message",
        "incarnation",
        "is_dialled_by_us",
        "is_dialling",
        "is_up",
        "next_dial_ms",
        "received_ms",
        "sent_ms",
        "used_ms",
    )

    def __init__(self, now_ms: float) -> None:
        """A link that is down, and may be dialled now."""
        self.is_up = False
        self.is_dialled_by_us = False
        self.is_dialling = False
        self.incarnation = 0
        self.received_ms = now_ms
        self.sent_ms = now_ms
        self.used_ms = now_ms
        self.next_dial_ms = now_ms
        self.dials_without_message = 0
