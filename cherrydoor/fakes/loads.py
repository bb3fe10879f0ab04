"""How a host loads functions, frees their memory, and answers orders to load."""

from typing import Any

from cherrydoor.fakes.copies import Copies
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Loads:
    """Loads of one host; its tables are the host's."""

    id: str
    farm: Any
    record: Any
    loop: Any
    build: Any
    cores: Any
    chance: Any
    speed: Any
    kick: Any
    say: Any
    answer: Any
    run_waiting: Any
    draining: bool
    up: bool
    since: float
    functions: dict
    jobs: dict
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
            while used + memory > self.build.memory and copies.idle() > 0:
                copies.standing -= 1
                used -= copies.facts.memory
        return used + memory <= self.build.memory

    def begin_load(self, copies):
        """True if a load is under way or waits for its turn."""
        copies.facts = copies.facts or self.farm.facts(copies.name)
        if len(self.loads) + len(self.load_queue) >= 3 * self.build.loads or not self.room(
            copies.facts.memory
        ):
            return False
        copies.loading += 1
        if len(self.loads) >= self.build.loads:
            self.load_queue.append(copies)
        else:
            self.fetch(copies)
        return True

    def fetch(self, copies):
        self.loads.add((copies, began := now()))
        self.record.add("load", self.id, function=copies.name)
        image = self.images.get(copies.name)
        if image is not None and image.release == self.farm.releases.get(copies.name, 0):
            return self.fetched(copies, began, image)
        self.farm.store.fetch(
            copies.name,
            lambda facts, incarnation=self.since: (
                self.up and incarnation == self.since and self.fetched(copies, began, facts)
            ),
        )

    def fetched(self, copies, began, facts):
        unfit = self.chance() < self.farm.bad.get(copies.name, {}).get("load_fail", 0.0)
        if facts.outcome != "handled" or self.chance() < self.build.load_fail or unfit:
            return self.load_over(copies, began, False)
        copies.facts = facts
        if self.build.disk:
            self.images[copies.name] = facts
            if sum(i.memory for i in self.images.values()) > self.build.disk:
                self.images.pop(next(iter(self.images)))
        core = facts.start * facts.core
        incarnation = self.since

        def started():
            self.cores.add(now(), self.speed(), core, lambda: self.load_over(copies, began, True))
            self.kick()

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
                self.jobs.pop((job.end, job.launch.id), None)
                self.answer(job, "missing" if self.build.misses else "error", 4)
            copies.waiting.clear()
        if self.load_queue and len(self.loads) < self.build.loads:
            after = self.load_queue.popleft()
            if after.waiting or after.asked:
                self.fetch(after)
            else:
                after.loading -= 1
        for order in list(copies.asked):
            self.settle(copies, order, good)
        self.run_waiting(copies)
        if good and copies.release != self.farm.releases.get(copies.name, 0):
            self.loop.call_soon(self.void, copies.name)

    def ordered(self, end, order):
        self.record.add(
            "order", self.id, end.name, order.id, function=order.function, number=order.copies
        )
        copies = self.functions.get(order.function) or Copies(order.function)
        if not order.copies:
            return self.say(end, protocol.LoadOrderResult(order.id, "handled", copies.standing))
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
            self.say(
                end,
                protocol.LoadOrderResult(order.id, "handled" if stand else "full", copies.standing),
            )

    def void(self, name):
        """The function is released anew: idle copies go now, those at work when they are done."""
        copies = self.functions.get(name)
        if copies and copies.release != self.farm.releases.get(name, 0):
            copies.standing -= max(0, copies.idle())
            if copies.standing:
                self.loop.call_later(0.05, self.void, name)
            elif copies.waiting and not copies.loading:
                self.begin_load(copies)

    def tidy(self, copies):
        if not (copies.standing or copies.loading or copies.held() or copies.asked):
            self.functions.pop(copies.name, None)

    def sweep(self):
        """Unloads what has been idle for long."""
        for copies in list(self.functions.values()):
            if copies.idle() > 0 and now() - copies.used > self.build.keep:
                copies.standing -= copies.idle()
            self.tidy(copies)
