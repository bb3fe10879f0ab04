"""Capacity of a fake host: slow start, slow-downs, pauses, crashes by overload, load reports."""

from typing import Any

from cherrydoor.fakes.record import now


class Capacity:
    """Mix-in of `Host` that computes its present capacity and load. `Host` sets the attributes.

    Attributes:
        cold_start_ms: Time of its cold start on the monotonic clock; 0 if it started warm.
        recent_work: (time, CPU work in ms) of the attempts within the last `spec.fall` ms.
        load_reports: (time, attempts in flight) of its load reports, the oldest first.
        slowdown: Factor by which work is slowed down; 1 for none.
        crashed_by_overload: Whether it has crashed by overload since its start.
        timer: Calls `reschedule` when the next job on the cores ends.
        paused_until_ms: Until then no work advances and no message is sent.
    """

    id: str
    up: bool
    cold_start_ms: float
    spec: Any
    record: Any
    loop: Any
    cores: Any
    recent_work: Any
    running_attempts: dict
    functions: dict
    load_reports: Any
    random_fraction: Any
    kill: Any
    slowdown: float
    crashed_by_overload: bool
    timer: Any
    paused_until_ms: float

    def warm_up_level(self):
        """Returns the fraction of full capacity; it rises linearly from `spec.cold_from` to 1."""
        if not self.cold_start_ms or not self.spec.cold:
            return 1.0
        return min(
            1.0,
            self.spec.cold_from
            + (1 - self.spec.cold_from) * (now() - self.cold_start_ms) / self.spec.cold,
        )

    def core_speed(self):
        """Returns the speed of one core relative to a standard core; 0 during a pause."""
        return (
            0.0
            if self.paused_until_ms > now()
            else self.spec.speed * self.warm_up_level() / self.slowdown
        )

    def is_overloaded_by(self, work_ms):
        """Adds an attempt's mean work and returns whether the host has crashed by overload.

        A host that is still warming up crashes once the work received within the last `spec.fall`
        ms exceeds `spec.multiple` times what it can do in that time at its present warm-up level.
        Rule 4 of the audit applies the same limit to the gateways.
        """
        if self.warm_up_level() >= 1.0 or not self.spec.fall or self.crashed_by_overload:
            return self.crashed_by_overload
        now_ms = now()
        self.recent_work.append((now_ms, work_ms))
        while self.recent_work[0][0] < now_ms - self.spec.fall:
            self.recent_work.popleft()
        capacity_ms = self.spec.cores * self.spec.speed * self.warm_up_level() * self.spec.fall
        received_ms = sum(attempt_ms for _, attempt_ms in self.recent_work)
        # An excess of two average attempts is tolerated, because it can occur by chance.
        if received_ms > self.spec.multiple * capacity_ms + 2 * received_ms / len(self.recent_work):
            self.crashed_by_overload = True
            self.record.add("fell", self.id, a=received_ms, b=self.spec.multiple * capacity_ms)
            self.kill("fell over")
        return self.crashed_by_overload

    def reported_in_flight(self):
        """Returns the attempts in flight as reported `spec.late` ms ago, with a random error."""
        now_ms = now()
        while len(self.load_reports) > 1 and self.load_reports[1][0] <= now_ms - self.spec.late:
            self.load_reports.popleft()
        if not self.load_reports or now_ms - self.load_reports[-1][0] > self.spec.report:
            self.load_reports.append((now_ms, len(self.running_attempts)))
        return max(
            0.0, self.load_reports[0][1] * (1 + self.spec.noise * (2 * self.random_fraction() - 1))
        )

    def reschedule(self):
        """Completes the jobs that have finished, and sets the timer for the next one."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if not self.up:
            return
        for job in self.cores.pop_finished(now(), self.core_speed()):
            job()
        wait_ms = self.cores.ms_until_next()
        if self.timer is None and wait_ms is not None:
            self.timer = self.loop.call_later(wait_ms / 1000 + 0.0001, self.reschedule)
        elif self.timer is None and self.cores.heap:
            self.timer = self.loop.call_later(
                max(1.0, self.paused_until_ms - now()) / 1000, self.reschedule
            )

    def pause_work(self, ms):
        """Stops all work for a time in ms; messages that fall due meanwhile are sent afterwards."""
        self.paused_until_ms = now() + ms
        self.reschedule()

    def queued_attempts(self):
        """Returns the number of attempts that wait for a copy."""
        return float(sum(len(copies.queued) for copies in self.functions.values()))

    def unevictable_memory(self):
        """Returns the fraction of memory used by copies that are busy or loading."""
        used = sum(
            (copies.loaded - copies.idle_copies() + copies.loading) * copies.facts.memory
            for copies in self.functions.values()
            if copies.facts
        )
        return min(10.0, max(0.0, used / self.spec.memory))
