"""Request ids that were accepted a short while ago."""


class RecentRequestIds:
    """Ids of requests accepted within the last two spans, so that no id is accepted twice.

    A response, an attempt or a host may still know an id. Guards against one client's response
    going to another; harms a client that uses an id again within that time: it is refused.

    Invariant: two sets take turns, and each is dropped when its span is over, so that no more ids
    are kept than were accepted within two spans.

    Args:
        span_ms: For how long an id is remembered at least.
    """

    __slots__ = ("current", "current_since_ms", "previous", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self.current_since_ms = 0.0
        self.current: set[str] = set()
        self.previous: set[str] = set()

    def add(self, request_id: str, now_ms: float) -> bool:
        """Remembers an id; returns whether it is new."""
        age_ms = now_ms - self.current_since_ms
        if age_ms > self.span_ms:
            self.previous = self.current if age_ms < 2 * self.span_ms else set()
            self.current = set()
            self.current_since_ms = now_ms
        if request_id in self.current or request_id in self.previous:
            return False
        self.current.add(request_id)
        return True
