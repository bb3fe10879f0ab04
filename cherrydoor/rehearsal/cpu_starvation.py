"""Measures how long each process of a run was ready to run but had no core.

The audit uses this to tell a gateway's own delay from a delay caused by an overloaded machine. Linux reports the time
for each thread (`/proc/PID/task/TID/schedstat`, second field, in ns). When the whole machine was suspended, the
sampling itself pauses, and that pause is recorded. Without either, nothing is recorded and no late answer is excused.
"""

import asyncio
from pathlib import Path

SAMPLE_INTERVAL_MS = 100.0
# Shorter waits without a core, between two samples, are not recorded.
MIN_RECORDED_WAIT_MS = 20.0
# A sample that is late by less than this is not recorded as a pause.
MIN_RECORDED_PAUSE_MS = 50.0


def without_core_ms(pid):
    """Return how long, in ms, a process's threads have been ready to run without a core.

    It is the total since the thread started, of the thread that waited longest; None if the kernel does not report it.
    """
    found = []
    try:
        for thread in Path(f"/proc/{pid}/task").iterdir():
            found.append(int((thread / "schedstat").read_text().split()[1]) / 1e6)
    except (OSError, IndexError, ValueError):
        pass
    return max(found, default=None)


class CpuStarvationMonitor:
    """Samples the processes of a run and records how long each waited for a core."""

    def __init__(self, record, now, processes):
        """Set the record to write to, the clock (ms), and the processes to watch.

        Args:
            record: Receives the rows `waited` and `paused`.
            now: Returns the time in ms.
            processes: Called for each sample; returns pairs of names and process id.
        """
        self.record, self.now, self.processes, self.previous_waits_ms = record, now, processes, {}

    async def watch(self):
        """Take a sample at each interval until cancelled."""
        due = self.now() + SAMPLE_INTERVAL_MS
        while True:
            await asyncio.sleep(max(0.0, due - self.now()) / 1000)
            late, due = self.now() - due, self.now() + SAMPLE_INTERVAL_MS
            if late > MIN_RECORDED_PAUSE_MS:
                self.record.add("paused", a=late)
            self.sample()

    def sample(self):
        """Record how much longer each process has waited for a core since the previous sample."""
        waits_ms = {}
        for names, pid in self.processes():
            waited_ms = without_core_ms(pid)
            if waited_ms is None:
                continue
            waits_ms[pid] = waited_ms
            increase_ms = waited_ms - self.previous_waits_ms.get(pid, waited_ms)
            if increase_ms > MIN_RECORDED_WAIT_MS:
                for name in names:
                    self.record.add("waited", name, a=increase_ms, b=SAMPLE_INTERVAL_MS)
        self.previous_waits_ms = waits_ms
