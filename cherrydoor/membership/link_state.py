"""The state of the link to one peer, and the actions that the link policy returns."""

from typing import NamedTuple, TypeAlias

from msgspec import Struct

from cherrydoor.protocol.peers import Heartbeat, MembershipUpdate


class Dial(Struct, frozen=True):
    """Open a connection to the gateway with that name."""

    name: str
    address: str


class CloseLink(Struct, frozen=True):
    """Close the link to the gateway with that name."""

    name: str
    reason: str


class SendMessage(Struct, frozen=True):
    """Send a message to the gateway with that name."""

    to: str
    message: Heartbeat | MembershipUpdate


LinkAction: TypeAlias = Dial | CloseLink | SendMessage


class LinkAdmission(NamedTuple):
    """Whether a link that has come up is kept, and the actions that follow."""

    is_kept: bool
    actions: list[LinkAction]


class LinkState:
    """The state of the link to one peer; dropped when down, unwanted and not being dialled."""

    __slots__ = (
        "dials_without_message",
        "incarnation",
        "is_dialled_by_us",
        "is_dialling",
        "is_up",
        "next_dial_ms",
        "last_received_ms",
        "last_sent_ms",
        "last_used_ms",
    )

    def __init__(self, now_ms: float) -> None:
        """Creates the state of a link that is down and may be dialled immediately."""
        self.is_up = False
        self.is_dialled_by_us = False
        self.is_dialling = False
        self.incarnation = 0
        self.last_received_ms = now_ms
        self.last_sent_ms = now_ms
        self.last_used_ms = now_ms
        self.next_dial_ms = now_ms
        self.dials_without_message = 0
