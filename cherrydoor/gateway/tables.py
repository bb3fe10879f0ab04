"""What the desk keeps a line of: clients, events taken, what hosts owe an end, links and hosts."""

DIALING, OPEN, CLOSED = "dialing", "open", "shut"
# Counted, and must stay 0: attempts begun more than LATE ms after their client, which left, was last seen connected.
ATTEMPTS_AFTER_CLOSE, CLOSE_GRACE_MS = "launches after the client had left", 100.0


class ClientConnection:
    """One connection at the door. `ahead` is the least (our clock less its clock) seen: the way without delay; `seen`
    is when it was last known to be connected. has_closed() tells whether the other end has closed, though nothing of
    that has been read yet."""

    def __init__(self, wire, name="", has_closed=lambda: False):
        self.wire, self.name, self.open, self.ahead, self.has_closed = (
            wire,
            name,
            {},
            None,
            has_closed,
        )
        self.seen = 0.0

    def connected(self, now):
        """Asked before each launch."""
        if self.has_closed():
            return False
        self.seen = now
        return True

    def late(self, sent, now):
        """How long a frame was under way beyond the quickest, in ms: a stall of ours or of the network."""
        gap = now - sent
        if self.ahead is None or gap < self.ahead:
            self.ahead = gap
        return gap - self.ahead


class PendingRequest:
    """An event from its arrival to its final answer and the last of its launches."""

    __slots__ = (
        "number",
        "request",
        "client",
        "deadline_ms",
        "attempts",
        "out",
        "finished",
        "streaming",
        "accepted_at_ms",
        "told",
        "function",
        "origin",
        "adopted",
    )

    def __init__(self, number, event, client, until, at):
        self.number, self.request, self.client, self.deadline_ms, self.accepted_at_ms = (
            number,
            event,
            client,
            until,
            at,
        )
        self.attempts, self.out, self.finished, self.streaming, self.told = [], 0, False, False, ""
        self.function = event.function  # the version that the module knows it by
        self.origin = (
            None  # (gateway, life, number) of whom it was taken over from, under which tenure
        )
        self.adopted = (
            False  # a launch of another gateway is still at work: the module does not know of it
        )


class HostCall:
    """A launch, a probe or an order that a host owes an end; `kind` is the note's type that will tell it."""

    __slots__ = (
        "kind",
        "id",
        "at",
        "link",
        "taken",
        "index",
        "function",
        "outcome",
        "called",
        "then",
    )

    def __init__(self, kind, number, at, link, pending=None, index=0, function="", then=None):
        self.kind, self.id, self.at, self.link, self.taken = kind, number, at, link, pending
        self.index, self.function, self.outcome, self.called = index, function, None, function
        self.then = then  # of a question beside the module: told (host, fate, message) once


class HostConnection:
    """One connection to a host. What is written while it dials waits in `waiting` and was never sent if that fails."""

    def __init__(self, host, now):
        self.host, self.state, self.wire, self.out, self.waiting, self.used = (
            host,
            DIALING,
            None,
            {},
            [],
            now,
        )
        self.heard = now  # when last something was answered on it, or it came up
        self.mute = False  # something was given up on it without a word; it gets nothing new until it has one
        self.missed = {}  # events that the host answered here without running them; see Links.send

    def write(self, message):
        if self.state == OPEN:
            self.wire.write(message)
        elif self.state == DIALING:
            self.waiting.append(message)


class HostRecord:
    """A host once listed. `since` is the later of what the list said and what the host's own hello said."""

    def __init__(self, row):
        self.id, self.row, self.links, self.since = row.host, row, [], row.started_at_ms
        self.carried = 0  # launches, probes and orders sent there
