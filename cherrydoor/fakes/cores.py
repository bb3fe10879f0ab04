"""The cores of a stand-in host: jobs share them evenly, on a virtual clock that turns with their speed."""

from heapq import heappop, heappush


class Cores:
    """jobs: work in ms of a standard core; `speed(now)` the present speed of one core, 0 while it stands still.

    The virtual clock is the work that each running job has had; so a job ends when the clock has turned by its work,
    and only one time is ever waited for. Between two calls the speed is held to be what it was.
    """

    def __init__(self, count, now):
        self.count, self.heap, self.had, self.at, self.rate, self.serial = (
            count,
            [],
            0.0,
            now,
            0.0,
            0,
        )
        self.dropped = set()

    def advance(self, now, speed):
        self.had += (now - self.at) * self.rate
        self.at = now
        running = len(self.heap) - len(self.dropped)
        self.rate = speed * min(1.0, self.count / running) if running else 0.0

    def add(self, now, speed, work, job):
        self.advance(now, speed)
        self.serial += 1
        heappush(self.heap, (self.had + work, self.serial, job))
        self.advance(now, speed)
        return self.serial

    def drop(self, now, speed, serial):
        self.advance(now, speed)
        self.dropped.add(serial)
        self.advance(now, speed)

    def ended(self, now, speed):
        """The jobs that are done by now, in order."""
        self.advance(now, speed)
        done = []
        while self.heap and (self.heap[0][1] in self.dropped or self.heap[0][0] <= self.had + 1e-6):
            _, serial, job = heappop(self.heap)
            if serial in self.dropped:
                self.dropped.discard(serial)
            else:
                done.append(job)
        self.advance(now, speed)
        return done

    def next(self):
        """Ms until the first one is done at the present rate; None where none is."""
        if not self.heap or not self.rate:
            return None
        return max(0.0, (self.heap[0][0] - self.had) / self.rate)

    def busy(self):
        return min(1.0, (len(self.heap) - len(self.dropped)) / self.count)
