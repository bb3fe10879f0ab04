"""What the kernel already knows of a connection that the event loop has not read yet."""

import select

PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def ready_events(transport, wanted):
    """Those of the wanted poll events that hold now; asks the kernel and does not wait. None on a transport that has
    no socket, as in the emulator."""
    sock = transport.get_extra_info("socket")
    return descriptor_events(sock.fileno(), wanted) if sock is not None else 0


def descriptor_events(descriptor, wanted):
    poll = select.poll()
    poll.register(descriptor, wanted)
    found = poll.poll(0)
    return found[0][1] if found else 0


def has_pending_connection(listening):
    """Whether a connection waits to be accepted on a listening socket."""
    return bool(descriptor_events(listening.fileno(), select.POLLIN))


def peer_closed(transport):
    """Whether the other end has closed, half-closed or reset, also behind data that has not been read."""
    return transport.is_closing() or bool(ready_events(transport, select.POLLRDHUP) & PEER_CLOSED)


def has_unread_input(transport):
    """Whether data or an end of the stream waits to be read."""
    return not transport.is_closing() and bool(
        ready_events(transport, select.POLLIN) & select.POLLIN
    )


def after_input(loop, callback, *arguments):
    """Calls back after the loop has looked at its sockets once more. What became ready while the process stood still
    is then read before a timer that fell due meanwhile acts: libuv runs timers first, what call_soon has queued next,
    and polls last, so that a callback queued from such a callback follows a poll."""
    loop.call_soon(loop.call_soon, callback, *arguments)
