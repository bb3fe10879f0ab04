"""Opens outgoing connections; the gateway and all its subsystems use it."""

import asyncio
from collections.abc import Callable
from typing import Any


class DialedProtocol(asyncio.BaseProtocol):
    """Base class of the protocols of outgoing connections.

    Attributes:
        abandoned: Whether connect() failed or was cancelled, mostly by a timeout. The transport is
            closed then, although its is_closing() may say otherwise, and nothing may be written.
    """

    abandoned = False


async def connect(
    make_protocol: Callable[[], DialedProtocol], host: str, port: int, tls: Any = None
) -> tuple[Any, Any]:
    """Opens a connection, and marks its protocol as abandoned if that fails or is cancelled.

    If a connection is cancelled in the moment in which it opens, uvloop closes its transport but
    calls connection_made() all the same, before or after that, and never connection_lost(). A write
    would raise, in the middle of whatever work led to it.

    Args:
        make_protocol: Makes the protocol of the connection.
        host: Address to connect to.
        port: Port to connect to.
        tls: SSL context; None connects over plain TCP.

    Returns:
        The transport and the protocol.

    Raises:
        OSError: The connection failed.
    """
    made: list[DialedProtocol] = []

    def make_and_record() -> DialedProtocol:
        made.append(make_protocol())
        return made[0]

    try:
        return await asyncio.get_running_loop().create_connection(
            make_and_record, host, port, ssl=tls
        )
    except BaseException:
        for protocol in made:
            protocol.abandoned = True
        raise
