"""Whether a connection of a peer that has sent its hello may be the link to it."""

from typing import Any

import structlog

from cherrydoor.membership.peer_connection import PeerConnection
from cherrydoor.protocol.basics import Hello
from cherrydoor.tls.errors import PeerAuthenticationError

log = structlog.get_logger()
WRONG_CERTIFICATE_REASON = "its certificate is not of that name"


def rejection_reason(connection: PeerConnection, hello: Hello, own_name: str, tls: Any) -> str:
    """Returns why a connection is rejected, "" where it may be a link.

    The certificate guards against a gateway, or anybody, who speaks under another's name. It harms
    where certificates and names are not changed together: links then stay down.

    Args:
        connection: Whose hello it is.
        hello: What the peer says of itself.
        own_name: The name of this gateway.
        tls: The gateway's keys; where they are in use, the peer's certificate has to bear its name.
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
    """Returns whether the peer's certificate, of authorities trusted here, bears that name."""
    try:
        identity = tls.identify(connection.transport, "")
    except PeerAuthenticationError:
        return False
    return bool(identity[0] == name)
