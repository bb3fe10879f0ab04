"""The process's clock and what it has in use, by the platform's limits."""

import time

from cherrydoor.admission.messages import UsageMeasured
from cherrydoor.admission.usage import ProcessUsage


class WallClock:
    """The system's Unix time as it is now, for log lines alone: it may be stepped at any time."""

    def now(self) -> float:
        """Returns the time in Unix ms."""
        return time.time() * 1000


class PlatformUsage(ProcessUsage):
    """What is in use, by the platform's limits.

    Memory counts beyond what the start took. No part of a core counts: all clients come by one
    front, and none is to be read less than another.

    Args:
        memory: Limit of memory in bytes.
        descriptors: Limit of descriptors.

    Attributes:
        base: Bytes of memory in use when the gateway became ready.
    """

    def __init__(self, memory: int, descriptors: int) -> None:
        super().__init__(memory)
        self.limit = min(self.limit, descriptors)
        self.base = 0

    def measure(self) -> UsageMeasured:
        """Returns the usage as admission takes it."""
        measured = super().measure()
        used_bytes = measured.memory * self.memory - self.base
        memory = used_bytes / max(1.0, self.memory - self.base)
        return UsageMeasured(measured.descriptors, max(0.0, memory), 0.0)
