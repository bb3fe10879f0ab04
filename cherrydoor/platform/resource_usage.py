"""The wall clock, and the process's resource usage relative to the platform's limits."""

import time

from cherrydoor.admission.messages import UsageMeasured
from cherrydoor.admission.usage import ProcessUsage


class WallClock:
    """The system's Unix time, for log lines only: it may be stepped at any time."""

    def now(self) -> float:
        """Returns the time in Unix ms."""
        return time.time() * 1000


class PlatformUsage(ProcessUsage):
    """Resource usage relative to the platform's limits.

    CPU usage is always reported as 0, because admission would slow down reading from clients under
    load: here all clients connect through one front end, and none should be read more slowly than
    another.

    Args:
        memory_bytes: Memory limit.
        descriptors: Descriptor limit.
    """

    def __init__(self, memory_bytes: int, descriptors: int) -> None:
        super().__init__(memory_bytes)
        self.descriptor_limit = min(self.descriptor_limit, descriptors)

    def measure(self) -> UsageMeasured:
        """Returns the usage in the form that admission reads."""
        measured = super().measure()
        return UsageMeasured(measured.descriptors, measured.memory, 0.0)
