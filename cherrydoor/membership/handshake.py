"""Checks whether a connection whose peer has sent its hello may become the link to that peer."""

from typing import Any

import structlog

from cherrydoor.membership.peer_connection import PeerConnection
from cherrydoor.protocol.basics import Hello
from cherrydoor.tls.errors import PeerAuthenticationError

log = structlog.get_logger()
WRONG_CERTIFICATE_REASON = "its certificate is not of that name"


def rejection_reason(connection: PeerConnection, hello: Hello, own_name: str, tls: Any) -> str:
    """Returns why a connection is rejected, "" if it may become the link.

    The check of the certificate prevents a gateway or anyone else from impersonating another
    gateway. The cost is that links stay down if a gateway's name and its certificate are not
    changed together.

    Args:
        connection: The connection on which the hello was received.
        hello: The peer's hello.
        own_name: The name of this gateway.
        tls: The gateway's TLS keys; if they are in use, the peer's certificate must be for the
            name in its hello.
    """
    if hello.role != "peer" or not hello.incarnation:
        return f"a peer is expected here, not a {hello.role}"
    if connection.dialled_name and hello.name != connection.dialled_name:
        return f"{connection.dialled_name} is expected here, not {hello.name}"
    if tls.uses_tls and not has_certificate_of(connection, hello.name, tls):
        log.warning(
            "peer rejected: its certificate is not of that name",
            gateway=own_name,
            peer=hello.name,
        )
        return WRONG_CERTIFICATE_REASON
    return ""


def has_certificate_of(connection: PeerConnection, name: str, tls: Any) -> bool:
    """Returns whether the peer has a certificate for that name from a trusted authority."""
    try:
        identity = tls.identify(connection.transport, "")
    except PeerAuthenticationError:
        return False
    return bool(identity[0] == name)
