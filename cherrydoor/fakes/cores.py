"""The CPU cores of a fake host, shared evenly by its jobs (processor sharing)."""

from heapq import heappop, heappush


class Cores:
    """Runs jobs, whose work is in ms of CPU time on a standard core.

    The virtual clock counts the work that each job present since the beginning would have had. A
    job ends when the clock has advanced by its work, so only the earliest end needs a timer.
    Methods take the present time and the present speed of one core relative to a standard core, 0
    during a pause. Between two calls the speed is taken to be that of the earlier one.

    Attributes:
        core_count: Number of cores.
        heap: (virtual end time, serial, function to call at the end) of each job, the earliest
            first.
        virtual_ms: Reading of the virtual clock.
        updated_at_ms: When the virtual clock was last advanced.
        rate: Virtual ms per ms since then.
        last_serial: Serial of the newest job.
        dropped: Serials of cancelled jobs that are still in `heap`.
    """

    def __init__(self, count, now_ms):
        (
            self.core_count,
            self.heap,
            self.virtual_ms,
            self.updated_at_ms,
            self.rate,
            self.last_serial,
        ) = (
            count,
            [],
            0.0,
            now_ms,
            0.0,
            0,
        )
        self.dropped = set()

    def advance(self, now_ms, speed):
        """Advances the virtual clock to the present, and sets its rate from then on."""
        self.virtual_ms += (now_ms - self.updated_at_ms) * self.rate
        self.updated_at_ms = now_ms
        running = len(self.heap) - len(self.dropped)
        self.rate = speed * min(1.0, self.core_count / running) if running else 0.0

    def add(self, now_ms, speed, work_ms, job):
        """Starts a job; returns its serial."""
        self.advance(now_ms, speed)
        self.last_serial += 1
        heappush(self.heap, (self.virtual_ms + work_ms, self.last_serial, job))
        self.advance(now_ms, speed)
        return self.last_serial

    def drop(self, now_ms, speed, serial):
        """Cancels a job."""
        self.advance(now_ms, speed)
        self.dropped.add(serial)
        self.advance(now_ms, speed)

    def pop_finished(self, now_ms, speed):
        """Removes and returns the jobs that have finished, in order."""
        self.advance(now_ms, speed)
        finished_jobs = []
        while self.heap and (
            self.heap[0][1] in self.dropped or self.heap[0][0] <= self.virtual_ms + 1e-6
        ):
            _, serial, job = heappop(self.heap)
            if serial in self.dropped:
                self.dropped.discard(serial)
            else:
                finished_jobs.append(job)
        self.advance(now_ms, speed)
        return finished_jobs

    def ms_until_next(self):
        """Returns the time in ms until the next job ends at the present rate; None if none will."""
        if not self.heap or not self.rate:
            return None
        return max(0.0, (self.heap[0][0] - self.virtual_ms) / self.rate)

    def busy(self):
        """Returns the fraction of cores in use."""
        return min(1.0, (len(self.heap) - len(self.dropped)) / self.core_count)
