"""The gateway's log on standard error: one JSON object per line."""

import json
import sys
from typing import Any, NamedTuple

# Between lines of one limited event, so that a repeated fault does not fill the disk.
MIN_INTERVAL_MS = 1000.0


class LastWritten(NamedTuple):
    """When a limited event was last written, and how many of its lines were omitted since."""

    at_ms: float
    omitted: int


class EventLog:
    """Writes events. ``last_written`` has one entry for each limited event, so it stays small.

    A line that cannot be written is counted and dropped: a failing log does not stop the gateway.

    Args:
        clock: Monotonic clock in ms, by which events are limited.
        wall_clock: Clock in Unix ms, for the timestamps of lines.
    """

    def __init__(self, clock: Any, wall_clock: Any) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.last_written: dict[str, LastWritten] = {}
        self.unwritten_lines = 0  # since the last line that was written

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        entry = {"at": round(self.wall_clock.now()), "is": event, **fields}
        if self.unwritten_lines:
            entry["unwritten_lines"] = self.unwritten_lines
        if self.write_text(json.dumps(entry)):
            self.unwritten_lines = 0

    def write_text(self, text: str) -> bool:
        """Writes text without changes; returns whether that succeeded."""
        try:
            print(text, file=sys.stderr, flush=True)
        except (OSError, ValueError):  # a full disk, an exited reader or a closed stream
            self.unwritten_lines += 1
            return False
        return True

    def write_limited(self, event: str, **fields: Any) -> None:
        """Writes at most one line per second for each event, with the number of omitted lines.

        Without the limit, the log would grow with each failing client or host. The cost is that the
        fields of omitted lines are lost.
        """
        now_ms = self.clock.now()
        last = self.last_written.get(event)
        if last is not None and now_ms - last.at_ms < MIN_INTERVAL_MS:
            self.last_written[event] = LastWritten(last.at_ms, last.omitted + 1)
            return
        self.last_written[event] = LastWritten(now_ms, 0)
        if last is not None and last.omitted:
            fields["left_out"] = last.omitted
        self.write(event, **fields)
