"""Checks of socket state in the kernel that the event loop has not read yet."""

import asyncio
import select
from collections.abc import Callable
from typing import Any

PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def ready_events(transport: Any, wanted: int) -> int:
    """Returns which of the wanted poll flags are set now, without waiting.

    Returns 0 for a transport without a socket, as in the emulator.
    """
    transport_socket = transport.get_extra_info("socket")
    if transport_socket is None:
        return 0
    return descriptor_events(transport_socket.fileno(), wanted)


def descriptor_events(descriptor: int, wanted: int) -> int:
    """Returns which of the wanted poll flags are set on a descriptor now, without waiting."""
    poll = select.poll()
    poll.register(descriptor, wanted)
    found = poll.poll(0)
    return found[0][1] if found else 0


def has_pending_connection(listening: Any) -> bool:
    """Returns whether a connection waits to be accepted on a listening socket."""
    return bool(descriptor_events(listening.fileno(), select.POLLIN))


def peer_closed(transport: Any) -> bool:
    """Returns whether the peer has closed, half-closed or reset, even with data still unread."""
    return transport.is_closing() or bool(ready_events(transport, select.POLLRDHUP) & PEER_CLOSED)


def has_unread_input(transport: Any) -> bool:
    """Returns whether data or an end of stream waits to be read."""
    return not transport.is_closing() and bool(
        ready_events(transport, select.POLLIN) & select.POLLIN
    )


def after_input(
    loop: asyncio.AbstractEventLoop, callback: Callable[..., object], *arguments: Any
) -> None:
    """Calls ``callback`` after the event loop has polled its sockets once more.

    Otherwise a timer that became due while the process was suspended would act before the input
    that arrived in the meantime. libuv first runs timers, then callbacks queued by `call_soon`, and
    then polls, so a callback that is queued by a queued callback runs after a poll.
    """
    loop.call_soon(loop.call_soon, callback, *arguments)
