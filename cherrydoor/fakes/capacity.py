"""What a host can do by its age and its troubles, when it falls over, and how late it tells what it holds."""

from typing import Any

from cherrydoor.fakes.record import now


class Capacity:
    """Capacity of one host; its tables are the host's."""

    id: str
    up: bool
    started: float
    spec: Any
    record: Any
    loop: Any
    cores: Any
    work: Any
    running_attempts: dict
    functions: dict
    reports: Any
    chance: Any
    kill: Any
    slow: float
    fell: bool
    alarm: Any
    paused_until: float

    def level(self):
        """The share of its capacity that a host has by its age."""
        if not self.started or not self.spec.cold:
            return 1.0
        return min(
            1.0,
            self.spec.cold_from
            + (1 - self.spec.cold_from) * (now() - self.started) / self.spec.cold,
        )

    def speed(self):
        return 0.0 if self.paused_until > now() else self.spec.speed * self.level() / self.slow

    def is_overloaded_by(self, work):
        """Rule 4 as the host suffers it: more work in `fall` ms than `multiple` times what it can do now."""
        if self.level() >= 1.0 or not self.spec.fall or self.fell:
            return self.fell
        t = now()
        self.work.append((t, work))
        while self.work[0][0] < t - self.spec.fall:
            self.work.popleft()
        can = self.spec.cores * self.spec.speed * self.level() * self.spec.fall
        sent = sum(w for _, w in self.work)
        if sent > self.spec.multiple * can + 2 * sent / len(
            self.work
        ):  # two events are left to chance
            self.fell = True
            self.record.add("fell", self.id, a=sent, b=self.spec.multiple * can)
            self.kill("fell over")
        return self.fell

    def reported_in_flight(self):
        """How many events it holds, as of its last report, late and a little wrong."""
        t = now()
        while len(self.reports) > 1 and self.reports[1][0] <= t - self.spec.late:
            self.reports.popleft()
        if not self.reports or t - self.reports[-1][0] > self.spec.report:
            self.reports.append((t, len(self.running_attempts)))
        return max(0.0, self.reports[0][1] * (1 + self.spec.noise * (2 * self.chance() - 1)))

    def reschedule(self):
        """Ends what is done and waits for the next."""
        if self.alarm:
            self.alarm.cancel()
            self.alarm = None
        if not self.up:
            return
        for job in self.cores.ended(now(), self.speed()):
            job()
        wait = self.cores.next()
        if self.alarm is None and wait is not None:
            self.alarm = self.loop.call_later(wait / 1000 + 0.0001, self.reschedule)
        elif self.alarm is None and self.cores.heap:
            self.alarm = self.loop.call_later(
                max(1.0, self.paused_until - now()) / 1000, self.reschedule
            )

    def pause_work(self, ms):
        self.paused_until = now() + ms
        self.reschedule()

    def waiting(self):
        return float(sum(len(copies.waiting) for copies in self.functions.values()))

    def tied(self):
        """The share of memory of copies at work or loading."""
        used = sum(
            (copies.standing - copies.idle() + copies.loading) * copies.facts.memory
            for copies in self.functions.values()
            if copies.facts
        )
        return min(10.0, max(0.0, used / self.spec.memory))
