"""The gateway's log on standard error: one JSON object a line."""

import json
import sys
from typing import Any, NamedTuple

MIN_INTERVAL_MS = 1000.0  # between lines of one limited event: a fault that repeats fills no disk


class LastWritten(NamedTuple):
    """When a limited event was last written, and how often it was left out since."""

    at_ms: float
    omitted: int


class EventLog:
    """Writes events; ``last_written`` has one entry for each limited event that code names.

    A line that cannot be written is counted and left out: what is logged goes on all the same.

    Args:
        clock: Gives the time in ms by which events are limited; it never goes back.
        wall_clock: Gives the Unix ms that lines carry.
    """

    def __init__(self, clock: Any, wall_clock: Any) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.last_written: dict[str, LastWritten] = {}
        self.unwritten_lines = 0  # since the last line that could be written

    def write(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        entry = {"at": round(self.wall_clock.now()), "is": event, **fields}
        if self.unwritten_lines:
            entry["unwritten_lines"] = self.unwritten_lines
        if self.write_text(json.dumps(entry)):
            self.unwritten_lines = 0

    def write_text(self, text: str) -> bool:
        """Writes lines as they are; returns whether they could be written."""
        try:
            print(text, file=sys.stderr, flush=True)
        except (OSError, ValueError):  # a full disk, a reader that has gone, a closed stream
            self.unwritten_lines += 1
            return False
        return True

    def write_limited(self, event: str, **fields: Any) -> None:
        """Writes one line, at most once a second for each event, with how often it was left out.

        Guards against a log that grows with each client or host that fails. Harms where the
        fields of two lines within the second differ: those of the second are lost.
        """
        now = self.clock.now()
        last = self.last_written.get(event)
        if last is not None and now - last.at_ms < MIN_INTERVAL_MS:
            self.last_written[event] = LastWritten(last.at_ms, last.omitted + 1)
            return
        self.last_written[event] = LastWritten(now, 0)
        if last is not None and last.omitted:
            fields["left_out"] = last.omitted
        self.write(event, **fields)
