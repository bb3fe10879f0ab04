"""What a process has in use, measured: descriptors, memory and its core."""

import os
import resource
import time

from cherrydoor.admission import decide as d


class ProcessUsage:
    """What this process has in use, measured: descriptors, memory, the core. One for all gateways of a process.

    A descriptor is held spare, to be let go where one is missing for a host."""

    def __init__(self, memory=2 * 2**30):
        self.memory, self.page = memory, os.sysconf("SC_PAGE_SIZE")
        self.spare: int | None = os.open(os.devnull, os.O_RDONLY)
        self.limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.files = {
            name: self.opened(f"/proc/thread-self/{name}") for name in ("schedstat", "statm")
        }
        self.at, self.ran, self.last, self.counted, self.descriptors = (
            time.monotonic(),
            self.core(),
            None,
            0.0,
            0,
        )

    def opened(self, path):
        try:
            return os.open(path, os.O_RDONLY)
        except OSError:
            return None

    def used(self):
        """Descriptors open now; the limit where even that cannot be found out."""
        try:
            return len(os.listdir("/proc/self/fd")) - 1
        except OSError:
            return self.limit

    def core(self):
        """Seconds that this thread ran or waited for a core, by the system's own count where it has one."""
        if self.files.get("schedstat") is not None:
            ran, waited, _ = os.pread(self.files["schedstat"], 64, 0).split()
            return (int(ran) + int(waited)) / 1e9
        return time.thread_time()

    def measure(self):
        """A note for the guard; those who ask within the same moment get the same one."""
        t = time.monotonic()
        if self.last is not None and t - self.at < 0.05:
            return self.last
        ran = self.core()
        busy = min(1.0, (ran - self.ran) / max(1e-3, t - self.at))
        self.at, self.ran = t, ran
        if t - self.counted > 0.5:
            self.counted, self.descriptors = t, self.used()
        self.last = d.UsageMeasured(
            self.descriptors / self.limit, self.measure_held() / self.memory, busy
        )
        return self.last

    def measure_held(self):
        """Bytes of memory; 0 where the system does not tell."""
        if self.files.get("statm") is None:
            return 0
        return int(os.pread(self.files["statm"], 128, 0).split()[1]) * self.page

    def let_go(self):
        """The spare one, if it is still held; True where there was one to give."""
        if self.spare is None:
            return False
        os.close(self.spare)
        self.spare = None
        return True

    def take_back(self):
        if self.spare is None:
            try:
                self.spare = os.open(os.devnull, os.O_RDONLY)
            except OSError:
                pass

    def close(self):
        self.let_go()
        for name, number in self.files.items():
            if number is not None:
                os.close(number)
            self.files[name] = None
