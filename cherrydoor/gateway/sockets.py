"""What the kernel already knows of a connection and the event loop has not read yet."""

import asyncio
import select
from collections.abc import Callable
from typing import Any

PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def ready_events(transport: Any, wanted: int) -> int:
    """Those of the wanted poll flags that hold now; never waits.

    0 on a transport without a socket, as in the emulator.
    """
    transport_socket = transport.get_extra_info("socket")
    if transport_socket is None:
        return 0
    return descriptor_events(transport_socket.fileno(), wanted)


def descriptor_events(descriptor: int, wanted: int) -> int:
    """Those of the wanted poll flags that hold on a descriptor now; never waits."""
    poll = select.poll()
    poll.register(descriptor, wanted)
    found = poll.poll(0)
    return found[0][1] if found else 0


def has_pending_connection(listening: Any) -> bool:
    """Whether a connection waits to be accepted on a listening socket."""
    return bool(descriptor_events(listening.fileno(), select.POLLIN))


def peer_closed(transport: Any) -> bool:
    """Whether the peer has closed, half-closed or reset, also behind data that is still unread."""
    return transport.is_closing() or bool(ready_events(transport, select.POLLRDHUP) & PEER_CLOSED)


def has_unread_input(transport: Any) -> bool:
    """Whether data or an end of the stream waits to be read."""
    return not transport.is_closing() and bool(
        ready_events(transport, select.POLLIN) & select.POLLIN
    )


def after_input(
    loop: asyncio.AbstractEventLoop, callback: Callable[..., object], *arguments: Any
) -> None:
    """Calls back after the loop has polled its sockets once more.

    Guards against a timer that fell due while the process was suspended and acts before input that
    arrived meanwhile. libuv runs timers first, then what `call_soon` has queued, and polls last, so
    that a callback queued from such a callback follows a poll.
    """
    loop.call_soon(loop.call_soon, callback, *arguments)
