"""Measures the resource usage of the process: descriptors, memory and CPU core."""

import os
import resource
import time

from cherrydoor.admission.messages import UsageMeasured

DEFAULT_MEMORY_LIMIT_BYTES = 2 * 2**30  # where no limit is configured
MEASUREMENT_REUSE_S = 0.05  # gateways of one process that ask within this time share a measurement
DESCRIPTOR_COUNT_INTERVAL_S = 0.5  # counting descriptors has to list a directory
MIN_MEASUREMENT_SPAN_S = 1e-3  # prevents a division by zero


class ProcessUsage:
    """The resource usage of this process; all gateways of the process share one instance.

    It holds a spare descriptor open, which can be released when an upstream connection needs a
    descriptor and none is free.

    Attributes:
        memory_limit_bytes: Memory limit in bytes.
        descriptor_limit: Limit on open descriptors.
    """

    def __init__(self, memory_limit_bytes: float = DEFAULT_MEMORY_LIMIT_BYTES) -> None:
        self.memory_limit_bytes = memory_limit_bytes
        self.descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        self._spare_fd: int | None = os.open(os.devnull, os.O_RDONLY)
        self._schedstat_fd = _open_or_none("/proc/thread-self/schedstat")
        self._statm_fd = _open_or_none("/proc/thread-self/statm")
        self._last_measured_at_s = time.monotonic()
        self._last_core_s = self._core_seconds()
        self._last_usage: UsageMeasured | None = None
        self._descriptors_counted_at_s = 0.0
        self._descriptor_count = 0

    def count_descriptors(self) -> int:
        """Returns the number of open descriptors; the limit if they cannot be counted."""
        try:
            return len(os.listdir("/proc/self/fd")) - 1
        except OSError:
            return self.descriptor_limit

    def _core_seconds(self) -> float:
        """Returns the seconds in which this thread ran or waited for a core, by the kernel."""
        if self._schedstat_fd is not None:
            ran, waited, _ = os.pread(self._schedstat_fd, 64, 0).split()
            return (int(ran) + int(waited)) / 1e9
        return time.thread_time()

    def measure(self) -> UsageMeasured:
        """Returns the usage as a message; calls within MEASUREMENT_REUSE_S return the same one."""
        now_s = time.monotonic()
        if self._last_usage is not None and now_s - self._last_measured_at_s < MEASUREMENT_REUSE_S:
            return self._last_usage
        core_s = self._core_seconds()
        span_s = max(MIN_MEASUREMENT_SPAN_S, now_s - self._last_measured_at_s)
        busy = min(1.0, (core_s - self._last_core_s) / span_s)
        self._last_measured_at_s = now_s
        self._last_core_s = core_s
        if now_s - self._descriptors_counted_at_s > DESCRIPTOR_COUNT_INTERVAL_S:
            self._descriptors_counted_at_s = now_s
            self._descriptor_count = self.count_descriptors()
        descriptors = self._descriptor_count / self.descriptor_limit
        self._last_usage = UsageMeasured(
            descriptors, self.resident_bytes() / self.memory_limit_bytes, busy
        )
        return self._last_usage

    def resident_bytes(self) -> int:
        """Returns the bytes of resident memory; 0 where /proc is not available."""
        if self._statm_fd is None:
            return 0
        return int(os.pread(self._statm_fd, 128, 0).split()[1]) * self._page_bytes

    def release_spare_descriptor(self) -> bool:
        """Releases the spare descriptor; returns whether it was still held."""
        if self._spare_fd is None:
            return False
        os.close(self._spare_fd)
        self._spare_fd = None
        return True

    def reserve_spare_descriptor(self) -> None:
        """Opens the spare descriptor again if a descriptor is free."""
        if self._spare_fd is None:
            self._spare_fd = _open_or_none(os.devnull)

    def close(self) -> None:
        """Closes its own descriptors; measure() still works, with fewer sources."""
        self.release_spare_descriptor()
        if self._schedstat_fd is not None:
            os.close(self._schedstat_fd)
            self._schedstat_fd = None
        if self._statm_fd is not None:
            os.close(self._statm_fd)
            self._statm_fd = None


def _open_or_none(path: str) -> int | None:
    """Returns a descriptor for reading the file, or None if it cannot be opened."""
    try:
        return os.open(path, os.O_RDONLY)
    except OSError:
        return None
