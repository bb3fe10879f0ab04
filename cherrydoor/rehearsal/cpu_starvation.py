"""Whether the machine was too crowded to judge by: how long each process was ready to run and had no core.

Linux tells it of each thread (`/proc/PID/task/TID/schedstat`, second figure, ns). A machine that was taken away as a
whole shows as a pause of the sampling itself. Without either nothing is told and nothing is excused.
"""

import asyncio
from pathlib import Path

EVERY = 100.0  # ms between two looks
LEAST = 20.0  # ms without a core, between two looks, that are noted
PAUSE = 50.0  # ms by which a look comes late that are noted


def without_core(process):
    """Ms for which the busiest-waiting thread of a process has been ready to run without a core; None if not told."""
    found = []
    try:
        for thread in Path(f"/proc/{process}/task").iterdir():
            found.append(int((thread / "schedstat").read_text().split()[1]) / 1e6)
    except (OSError, IndexError, ValueError):
        pass
    return max(found, default=None)


class CpuStarvationMonitor:
    """Samples the processes of a rehearsal and notes in its record what they had to wait for a core."""

    def __init__(self, record, now, processes):
        """processes: gives the names and process ids to look at, anew at each look."""
        self.record, self.now, self.processes, self.before = record, now, processes, {}

    async def watch(self):
        due = self.now() + EVERY
        while True:
            await asyncio.sleep(max(0.0, due - self.now()) / 1000)
            late, due = self.now() - due, self.now() + EVERY
            if late > PAUSE:
                self.record.add("paused", a=late)
            self.look()

    def look(self):
        seen = {}
        for names, process in self.processes():
            waited = without_core(process)
            if waited is None:
                continue
            seen[process] = waited
            more = waited - self.before.get(process, waited)
            if more > LEAST:
                for name in names:
                    self.record.add("waited", name, a=more, b=EVERY)
        self.before = seen
