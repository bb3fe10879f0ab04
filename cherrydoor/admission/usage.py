"""Measures what a process has in use: descriptors, memory and its core."""

import os
import resource
import time

from cherrydoor.admission.messages import UsageMeasured

MEMORY_LIMIT_BYTES = 2 * 2**30  # where none is configured
MEASURED_AGAIN_AFTER_S = 0.05  # gateways that ask within this time get the same measurement
DESCRIPTORS_COUNTED_AFTER_S = 0.5  # counting them reads a directory
SHORTEST_SPAN_S = 1e-3  # guards the division by the time between two measurements


class ProcessUsage:
    """What this process has in use; one for all gateways of a process.

    It owns a spare descriptor, which can be released where one is missing for an upstream
    connection.

    Attributes:
        memory: Memory limit in bytes.
        limit: Limit of open descriptors.
    """

    def __init__(self, memory: float = MEMORY_LIMIT_BYTES) -> None:
        self.memory = memory
        self.limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._spare: int | None = os.open(os.devnull, os.O_RDONLY)
        self._schedstat = _open_or_none("/proc/thread-self/schedstat")
        self._statm = _open_or_none("/proc/thread-self/statm")
        self._measured_at_s = time.monotonic()
        self._core_s = self._core_time()
        self._last: UsageMeasured | None = None
        self._counted_at_s = 0.0
        self._descriptors = 0

    def used(self) -> int:
        """Descriptors that are open now; the limit where even that cannot be found out."""
        try:
            return len(os.listdir("/proc/self/fd")) - 1
        except OSError:
            return self.limit

    def _core_time(self) -> float:
        """Seconds in which this thread ran or waited for a core, as the kernel counts them."""
        if self._schedstat is not None:
            ran, waited, _ = os.pread(self._schedstat, 64, 0).split()
            return (int(ran) + int(waited)) / 1e9
        return time.thread_time()

    def measure(self) -> UsageMeasured:
        """A message for the controller; those who ask within the same moment get the same one."""
        now_s = time.monotonic()
        if self._last is not None and now_s - self._measured_at_s < MEASURED_AGAIN_AFTER_S:
            return self._last
        core_s = self._core_time()
        span_s = max(SHORTEST_SPAN_S, now_s - self._measured_at_s)
        busy = min(1.0, (core_s - self._core_s) / span_s)
        self._measured_at_s = now_s
        self._core_s = core_s
        if now_s - self._counted_at_s > DESCRIPTORS_COUNTED_AFTER_S:
            self._counted_at_s = now_s
            self._descriptors = self.used()
        descriptors = self._descriptors / self.limit
        self._last = UsageMeasured(descriptors, self.measure_held() / self.memory, busy)
        return self._last

    def measure_held(self) -> int:
        """Bytes of memory; 0 where the kernel does not say."""
        if self._statm is None:
            return 0
        return int(os.pread(self._statm, 128, 0).split()[1]) * self._page_bytes

    def release_spare_descriptor(self) -> bool:
        """Releases the spare descriptor; True where it was still held."""
        if self._spare is None:
            return False
        os.close(self._spare)
        self._spare = None
        return True

    def reserve_spare_descriptor(self) -> None:
        """Takes a spare descriptor again, where there is one."""
        if self._spare is None:
            self._spare = _open_or_none(os.devnull)

    def close(self) -> None:
        """Closes all descriptors of its own; measure() then goes on without them."""
        self.release_spare_descriptor()
        if self._schedstat is not None:
            os.close(self._schedstat)
            self._schedstat = None
        if self._statm is not None:
            os.close(self._statm)
            self._statm = None


def _open_or_none(path: str) -> int | None:
    """A descriptor for reading, or None where the file cannot be opened."""
    try:
        return os.open(path, os.O_RDONLY)
    except OSError:
        return None
