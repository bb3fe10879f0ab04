"""Request ids that were accepted recently."""

from math import inf


class RecentRequestIds:
    """Ids of requests accepted within the last two spans, so that no id is accepted twice.

    A response, an attempt or a host may still refer to an id. If the id were accepted again, one
    client's response could go to another client, or the request could run twice. The cost is that
    a client which reuses an id within that time is refused.

    Invariant: ids are added to the current set. When its span is over, it becomes the previous set,
    and the old previous set is dropped. So no more ids are kept than were accepted in two spans.

    Args:
        span_ms: Minimum time for which an id is remembered.

    Attributes:
        max_ids: Ids that may be kept, by the memory of the process; see `is_full`.
    """

    __slots__ = ("current", "current_since_ms", "max_ids", "previous", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self.max_ids: float = inf
        self.current_since_ms = 0.0
        self.current: set[int] = set()
        self.previous: set[int] = set()

    def is_full(self, now_ms: float) -> bool:
        """Returns whether as many ids are kept as may be. None is forgotten early for another."""
        self._forget_old(now_ms)
        return len(self.current) + len(self.previous) >= self.max_ids

    def _forget_old(self, now_ms: float) -> None:
        age_ms = now_ms - self.current_since_ms
        if age_ms > self.span_ms:
            self.previous = self.current if age_ms < 2 * self.span_ms else set()
            self.current = set()
            self.current_since_ms = now_ms

    def add(self, request_id: int, now_ms: float) -> bool:
        """Remembers an id; returns whether it is new."""
        self._forget_old(now_ms)
        if request_id in self.current or request_id in self.previous:
            return False
        self.current.add(request_id)
        return True
