"""The record of a case: what was sent, answered and run, in the order in which it was seen."""

import time

STARTED_S = time.monotonic()


class Record:
    """Lines of the form `seconds who what`, written to a file."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)  # noqa: SIM115

    def write(self, who, what):
        """Writes one line and returns the time in seconds since the start."""
        at_s = time.monotonic() - STARTED_S
        self.file.write(f"{at_s:9.4f} {who} {what}\n")
        return at_s
