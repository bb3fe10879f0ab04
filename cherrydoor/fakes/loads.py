"""How a host loads functions, frees their memory, and answers orders to load."""

from typing import Any

from cherrydoor.fakes.copies import Copies
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Loads:
    """Loads of one host; its tables are the host's."""

    id: str
    host_pool: Any
    record: Any
    loop: Any
    spec: Any
    cores: Any
    chance: Any
    speed: Any
    reschedule: Any
    send: Any
    respond: Any
    run_waiting: Any
    draining: bool
    up: bool
    since: float
    functions: dict
    running_attempts: dict
    images: dict
    loads: set
    load_queue: Any

    def room(self, memory):
        """Frees memory of idle copies, the one idle longest first; False where that is not enough."""
        used = sum(
            (c.standing + c.loading) * c.facts.memory for c in self.functions.values() if c.facts
        )
        idle = sorted(
            (c for c in self.functions.values() if c.idle() > 0 and not c.waiting),
            key=lambda c: c.used,
        )
        for copies in idle:
            while used + memory > self.spec.memory and copies.idle() > 0:
                copies.standing -= 1
                used -= copies.facts.memory
        return used + memory <= self.spec.memory

    def begin_load(self, copies):
        """True if a load is under way or waits for its turn."""
        copies.facts = copies.facts or self.host_pool.facts(copies.name)
        if len(self.loads) + len(self.load_queue) >= 3 * self.spec.loads or not self.room(
            copies.facts.memory
        ):
            return False
        copies.loading += 1
        if len(self.loads) >= self.spec.loads:
            self.load_queue.append(copies)
        else:
            self.fetch(copies)
        return True

    def fetch(self, copies):
        self.loads.add((copies, began := now()))
        self.record.add("load", self.id, function=copies.name)
        image = self.images.get(copies.name)
        if image is not None and image.release == self.host_pool.releases.get(copies.name, 0):
            return self.fetched(copies, began, image)
        self.host_pool.store.fetch(
            copies.name,
            lambda facts, incarnation=self.since: (
                self.up and incarnation == self.since and self.fetched(copies, began, facts)
            ),
        )

    def fetched(self, copies, began, facts):
        unfit = self.chance() < self.host_pool.faulty_versions.get(copies.name, {}).get(
            "load_fail", 0.0
        )
        if facts.outcome != "handled" or self.chance() < self.spec.load_fail or unfit:
            return self.load_over(copies, began, False)
        copies.facts = facts
        if self.spec.disk:
            self.images[copies.name] = facts
            if sum(i.memory for i in self.images.values()) > self.spec.disk:
                self.images.pop(next(iter(self.images)))
        core = facts.start * facts.core
        incarnation = self.since

        def started():
            self.cores.add(now(), self.speed(), core, lambda: self.load_over(copies, began, True))
            self.reschedule()

        self.loop.call_later(
            (facts.start - core) / 1000, lambda: self.up and incarnation == self.since and started()
        )

    def load_over(self, copies, began, good):
        self.loads.discard((copies, began))
        copies.loading -= 1
        copies.used = now()
        if good:
            copies.standing += 1
            copies.release = copies.facts.release
        elif not copies.standing:
            for job in copies.waiting:
                self.running_attempts.pop((job.end, job.launch.id), None)
                self.respond(job, "missing" if self.spec.misses else "error", 4)
            copies.waiting.clear()
        if self.load_queue and len(self.loads) < self.spec.loads:
            after = self.load_queue.popleft()
            if after.waiting or after.asked:
                self.fetch(after)
            else:
                after.loading -= 1
        for order in list(copies.asked):
            self.settle(copies, order, good)
        self.run_waiting(copies)
        if good and copies.release != self.host_pool.releases.get(copies.name, 0):
            self.loop.call_soon(self.unload_outdated, copies.name)

    def ordered(self, end, order):
        self.record.add(
            "order", self.id, end.name, order.id, function=order.function, number=order.copies
        )
        copies = self.functions.get(order.function) or Copies(order.function)
        if not order.copies:
            return self.send(end, protocol.LoadOrderResult(order.id, "handled", copies.standing))
        self.functions[order.function], copies.used = copies, now()
        while (
            not self.draining
            and copies.standing + copies.loading < order.copies
            and self.begin_load(copies)
        ):
            pass
        copies.asked.append((end, order))
        self.settle(
            copies,
            (end, order),
            copies.standing + copies.loading >= order.copies and not self.draining,
        )

    def settle(self, copies, asked, good):
        end, order = asked
        if copies.standing >= order.copies or not good or not copies.loading:
            copies.asked.remove(asked)
            stand = copies.standing >= order.copies
            self.send(
                end,
                protocol.LoadOrderResult(order.id, "handled" if stand else "full", copies.standing),
            )

    def unload_outdated(self, name):
        """The function is released anew: idle copies go now, those at work when they are done."""
        copies = self.functions.get(name)
        if copies and copies.release != self.host_pool.releases.get(name, 0):
            copies.standing -= max(0, copies.idle())
            if copies.standing:
                self.loop.call_later(0.05, self.unload_outdated, name)
            elif copies.waiting and not copies.loading:
                self.begin_load(copies)

    def discard_if_unused(self, copies):
        if not (copies.standing or copies.loading or copies.held() or copies.asked):
            self.functions.pop(copies.name, None)

    def sweep(self):
        """Unloads what has been idle for long."""
        for copies in list(self.functions.values()):
            if copies.idle() > 0 and now() - copies.used > self.spec.keep:
                copies.standing -= copies.idle()
            self.discard_if_unused(copies)
