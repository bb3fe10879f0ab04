"""How a fake host loads and unloads functions, and answers load orders."""

from typing import Any

from cherrydoor.fakes.copies import Copies
from cherrydoor.fakes.record import now
from cherrydoor.protocol import messages as protocol


class Loads:
    """Mix-in of `Host` that loads and unloads copies of functions. `Host` sets the attributes."""

    id: str
    host_pool: Any
    record: Any
    loop: Any
    spec: Any
    cores: Any
    random_fraction: Any
    core_speed: Any
    reschedule: Any
    send: Any
    respond: Any
    run_queued: Any
    draining: bool
    up: bool
    started_at_ms: float
    functions: dict
    running_attempts: dict
    images: dict
    active_loads: set
    load_queue: Any

    def free_memory_for(self, memory):
        """Unloads idle copies, least recently used first; returns whether enough memory is free."""
        used = sum(
            (c.loaded + c.loading) * c.facts.memory for c in self.functions.values() if c.facts
        )
        idle = sorted(
            (c for c in self.functions.values() if c.idle_copies() > 0 and not c.queued),
            key=lambda c: c.last_used_ms,
        )
        for copies in idle:
            while used + memory > self.spec.memory and copies.idle_copies() > 0:
                copies.loaded -= 1
                used -= copies.facts.memory
        return used + memory <= self.spec.memory

    def begin_load(self, copies):
        """Starts or queues the load of one copy; returns False if neither is possible."""
        copies.facts = copies.facts or self.host_pool.facts(copies.name)
        if len(self.active_loads) + len(
            self.load_queue
        ) >= 3 * self.spec.loads or not self.free_memory_for(copies.facts.memory):
            return False
        copies.loading += 1
        if len(self.active_loads) >= self.spec.loads:
            self.load_queue.append(copies)
        else:
            self.fetch_image(copies)
        return True

    def fetch_image(self, copies):
        """Starts a load, with the image on disk if it is of the current release."""
        self.active_loads.add((copies, began_ms := now()))
        self.record.add("load", self.id, function=copies.name)
        image = self.images.get(copies.name)
        if image is not None and image.release == self.host_pool.releases.get(copies.name, 0):
            return self.image_fetched(copies, began_ms, image)
        self.host_pool.store.fetch(
            copies.name,
            lambda facts, incarnation=self.started_at_ms: (
                self.up
                and incarnation == self.started_at_ms
                and self.image_fetched(copies, began_ms, facts)
            ),
        )

    def image_fetched(self, copies, began_ms, facts):
        """Continues a load: starts the copy, first without and then with use of a CPU core."""
        load_fails = self.random_fraction() < self.host_pool.faulty_versions.get(
            copies.name, {}
        ).get("load_fail", 0.0)
        if facts.outcome != "handled" or self.random_fraction() < self.spec.load_fail or load_fails:
            return self.load_ended(copies, began_ms, False)
        copies.facts = facts
        if self.spec.disk:
            self.images[copies.name] = facts
            if sum(i.memory for i in self.images.values()) > self.spec.disk:
                self.images.pop(next(iter(self.images)))
        cpu_ms = facts.start * facts.core
        incarnation = self.started_at_ms

        def start_copy():
            self.cores.add(
                now(), self.core_speed(), cpu_ms, lambda: self.load_ended(copies, began_ms, True)
            )
            self.reschedule()

        self.loop.call_later(
            (facts.start - cpu_ms) / 1000,
            lambda: self.up and incarnation == self.started_at_ms and start_copy(),
        )

    def load_ended(self, copies, began_ms, succeeded):
        """Answers what waited for the load, and starts the next one in the queue."""
        self.active_loads.discard((copies, began_ms))
        copies.loading -= 1
        copies.last_used_ms = now()
        if succeeded:
            copies.loaded += 1
            copies.release = copies.facts.release
        elif not copies.loaded:
            for job in copies.queued:
                self.running_attempts.pop((job.connection, job.attempt.id), None)
                self.respond(job, "missing" if self.spec.misses else "error", 4)
            copies.queued.clear()
        if self.load_queue and len(self.active_loads) < self.spec.loads:
            next_copies = self.load_queue.popleft()
            if next_copies.queued or next_copies.load_orders:
                self.fetch_image(next_copies)
            else:
                next_copies.loading -= 1
        for order in list(copies.load_orders):
            self.answer_load_order(copies, order, succeeded)
        self.run_queued(copies)
        if succeeded and copies.release != self.host_pool.releases.get(copies.name, 0):
            self.loop.call_soon(self.unload_outdated, copies.name)

    def load_order_received(self, connection, order):
        """Starts the loads that an order needs; it is answered when they end."""
        self.record.add(
            "order",
            self.id,
            connection.name,
            order.id,
            function=order.function,
            number=order.copies,
        )
        copies = self.functions.get(order.function) or Copies(order.function)
        if not order.copies:
            return self.send(
                connection, protocol.LoadOrderResult(order.id, "handled", copies.loaded)
            )
        self.functions[order.function], copies.last_used_ms = copies, now()
        while (
            not self.draining
            and copies.loaded + copies.loading < order.copies
            and self.begin_load(copies)
        ):
            pass
        copies.load_orders.append((connection, order))
        self.answer_load_order(
            copies,
            (connection, order),
            copies.loaded + copies.loading >= order.copies and not self.draining,
        )

    def answer_load_order(self, copies, pending, succeeded):
        """Answers an order if it is fulfilled, if its load failed or if none is in progress."""
        connection, order = pending
        if copies.loaded >= order.copies or not succeeded or not copies.loading:
            copies.load_orders.remove(pending)
            enough_loaded = copies.loaded >= order.copies
            self.send(
                connection,
                protocol.LoadOrderResult(
                    order.id, "handled" if enough_loaded else "full", copies.loaded
                ),
            )

    def unload_outdated(self, name):
        """Unloads the copies of an earlier release, busy ones as soon as they are idle."""
        copies = self.functions.get(name)
        if copies and copies.release != self.host_pool.releases.get(name, 0):
            copies.loaded -= max(0, copies.idle_copies())
            if copies.loaded:
                self.loop.call_later(0.05, self.unload_outdated, name)
            elif copies.queued and not copies.loading:
                self.begin_load(copies)

    def discard_if_unused(self, copies):
        """Removes the entry of a function that has neither copies nor attempts nor orders."""
        if not (copies.loaded or copies.loading or copies.in_flight() or copies.load_orders):
            self.functions.pop(copies.name, None)

    def unload_idle_copies(self):
        """Unloads copies that were not used for `spec.keep` ms."""
        for copies in list(self.functions.values()):
            if copies.idle_copies() > 0 and now() - copies.last_used_ms > self.spec.keep:
                copies.loaded -= copies.idle_copies()
            self.discard_if_unused(copies)
