"""A simulated fleet of hosts and clients around the decision module, in virtual time.

It carries out attempts, cancellations, health checks, load orders and timers, and reports how each
ended.
"""

import heapq
from random import Random
from typing import NamedTuple

import names as n
from canonical import Canonical, values_of

START = 100000.0  # ms
LOAD = 300.0  # ms, mean duration of a load
ORDER_WAIT = 4000.0  # ms, timeout of a load order
PROBE_WAIT = 250.0  # ms, timeout of a health check


class Story(NamedTuple):
    """The parameters of a history apart from its seed."""

    settings: tuple
    length: float = 20000.0  # ms
    per_second: float = 60.0  # mean number of requests
    hosts: int = 10
    cold_hosts: float = 0.2  # share of hosts that started 1 s before the history begins
    zones: int = 2
    functions: int = 30
    tenants: tuple = ("",)
    capacity: int = 12  # requests in flight at which a host replies that it is full
    work: float = 40.0  # ms, mean duration of a request on an idle host
    faults: float = 0.5  # mean number of host faults per second
    changes: float = 0.5  # mean number of endpoint list changes per second
    whole_lists: float = 0.3  # probability that a change is sent as a snapshot
    failed_lists: float = 0.0  # probability that a poll of the list fails
    errors: float = 0.02
    unsent: float = 0.005
    unanswered: float = 0.01
    cancels: float = 0.03
    streams: float = 0.5  # probability that a request of a streaming class starts to stream
    misses: bool = False
    told: bool = False  # hosts also report in-flight and queued requests and unevictable memory
    foreseen: float = 0.0  # mean number of expected functions per second
    away: float = 0.0  # probability that a request's session was moved from a zone


class FakeHost:
    def __init__(self, number, zones, since):
        self.id = f"h{number:03}"
        self.zone = f"z{number % zones}"
        self.cell = number % 4
        self.since = since
        self.state = n.READY
        self.alive = True
        self.silent_until = 0.0
        self.held = {}  # (request, index) -> function
        self.copies = set()

    def row(self):
        return n.host_row(self.id, self.state, self.since, self.zone, self.cell)


class Request:
    def __init__(self, number, until, function, stream):
        self.number = number
        self.until = until
        self.function = function
        self.stream = stream
        self.closed = False
        self.streaming = False
        self.attempts = []  # [host id, time sent, whether it has ended]


class ModuleWorld:
    """Plays one history; `canonical` then holds its digest and message counts."""

    def __init__(self, seed, story):
        self.random = Random(seed)
        self.story = story
        self.now = START
        self.queue = []
        self.sequence = 0
        self.canonical = Canonical(n.MODULE_KINDS, n.CONSTANTS)
        self.told = 0
        self.fates = set()
        self.requests = {}
        self.hosts = {}
        self.next_host = 0
        lease = n.settings(*story.settings[:-1], **story.settings[-1])
        self.classes = story.settings[3]
        self.module = n.make_module(lease)

    def play(self):
        for _ in range(self.story.hosts):
            self.add_host(0.0 if self.random.random() >= self.story.cold_hosts else START - 1000.0)
        self.record(n.start_module(self.module, self.now))
        rows = [host.row() for host in self.hosts.values()]
        self.tell(n.host_list(n.SAVED, rows))
        self.later(self.gap(self.story.per_second), self.request_comes)
        self.every(self.story.faults, self.fault)
        self.every(self.story.changes, self.change)
        self.every(self.story.foreseen, self.foresee)
        end = START + self.story.length
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        return self

    # ---- time and the module
    def later(self, delay, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, action, arguments))

    def gap(self, per_second):
        return self.random.expovariate(per_second / 1000)

    def every(self, per_second, action):
        if per_second:
            self.later(self.gap(per_second), self.again, per_second, action)

    def again(self, per_second, action):
        action()
        self.every(per_second, action)

    def chance(self, part):
        return self.random.random() < part

    def tell(self, message):
        self.told += 1
        self.record(n.tell_module(self.module, self.now, message))

    def record(self, actions):
        actions = list(actions)
        self.canonical.add(self.now, actions)
        for action in actions:
            self.carry_out(n.MODULE_KINDS[type(action)].number, values_of(action))

    def carry_out(self, kind, values):
        if kind == n.LAUNCH:
            self.launch(*values)
        elif kind == n.RECALL:
            self.recall(*values)
        elif kind in (n.DEFER, n.DEAD_LETTER):
            self.requests[values[0]].closed = True
        elif kind == n.RING:
            self.later(max(0.0, values[0] - self.now), self.fire, values[1])
        elif kind == n.PROBE:
            self.probe(*values)
        elif kind == n.ORDER:
            self.order(*values)
        elif kind == n.SUBSCRIBE:
            self.later(20.0, self.answer_list)

    def fire(self, token):
        self.tell(n.timer_fired(token))

    # ---- requests
    def request_comes(self):
        story = self.story
        self.later(self.gap(story.per_second), self.request_comes)
        chosen = self.random.choice(self.classes)
        class_name, _, max_age, _, _, _, stream = values_of(chosen)
        number = len(self.requests) + 1
        function = f"f{int(story.functions * self.random.random() ** 3)}"
        until = self.now + max_age * (1.0 if self.chance(0.7) else 0.3)
        zone = f"z{self.random.randrange(story.zones)}" if self.chance(story.away) else ""
        tenant = story.tenants[int(len(story.tenants) * self.random.random() ** 2)]
        request = self.requests[number] = Request(number, until, function, stream)
        self.later(until - self.now, self.time_up, request)
        if self.chance(story.cancels):
            self.later(self.random.uniform(1.0, 400.0), self.cancel, request)
        self.tell(
            n.arrival(
                number,
                class_name,
                tenant,
                function,
                until,
                self.random.choice((1.0, 4.0)),
                LOAD,
                zone,
            )
        )

    def cancel(self, request):
        if not request.closed:
            request.closed = True
            self.tell(n.client_left(request.number))

    def time_up(self, request):
        if request.streaming and not request.closed:
            return
        for index, attempt in enumerate(request.attempts):
            if not attempt[2]:
                self.end(request, index, n.NO_ANSWER)
        if not request.closed:
            self.cancel(request)

    def foresee(self):
        function = f"f{self.random.randrange(2 * self.story.functions)}"
        zone = "z0" if self.chance(self.story.away) else ""
        self.tell(n.foreseen(function, zone))

    # ---- attempts
    def launch(self, number, name, limit):
        request, story = self.requests[number], self.story
        index = len(request.attempts)
        request.attempts.append([name, self.now, False])
        host = self.hosts[name]
        if limit:
            self.later(limit, self.end, request, index, n.NO_ANSWER)
        if self.chance(story.unsent):
            self.later(0.0, self.end, request, index, n.UNSENT)
        elif not host.alive:
            self.later(1.0, self.end, request, index, n.NO_CONNECTION)
        elif len(host.held) >= story.capacity:
            self.later(2.0, self.end, request, index, n.FULL)
        elif story.misses and request.function not in host.copies:
            self.later(2.0, self.end, request, index, n.MISSING)
        else:
            self.run(host, request, index)

    def run(self, host, request, index):
        key = request.number, index
        copy = 1
        took = self.random.expovariate(1 / self.story.work) * (1 + len(host.held) / 3)
        if request.function not in host.copies:
            copy = 3 if request.function in host.held.values() else 2
            took += self.random.uniform(0.5, 1.5) * LOAD
        host.held[key] = request.function
        if host.silent_until > self.now or self.chance(self.story.unanswered):
            return
        fate = n.HANDLED
        if self.chance(self.story.errors):
            fate = n.ERROR
            copy = 4 if copy == 2 else copy
        if request.stream and self.chance(self.story.streams):
            self.later(took / 4, self.begin_stream, host, request, index)
        self.later(took, self.end, request, index, fate, copy)

    def begin_stream(self, host, request, index):
        if not request.closed and not request.attempts[index][2]:
            request.streaming = True
            self.tell(n.stream_started(request.number, index, host.id))

    def end(self, request, index, fate, copy=None):
        """Ends an attempt, unless it has ended, and reports it to the module."""
        attempt = request.attempts[index]
        name, sent, ended = attempt
        if ended:
            return None
        host = self.hosts[name]
        if fate in (n.HANDLED, n.ERROR) and host.silent_until > self.now:
            return self.later(
                host.silent_until - self.now + 1.0, self.end, request, index, fate, copy
            )
        attempt[2] = True
        host.held.pop((request.number, index), None)
        if fate == n.HANDLED:
            host.copies.add(request.function)
            request.closed = True
        self.fates.add(fate)
        self.tell(
            n.outcome(
                request.number,
                index,
                fate,
                request.closed,
                name,
                self.now - sent,
                *self.report(host, request, fate, copy),
            )
        )
        return None

    def report(self, host, request, fate, copy):
        if fate not in (n.HANDLED, n.ERROR, n.FULL, n.MISSING):
            return None, None, None, None, None
        switches = self.story.settings[-1]
        told = list(host.held.values())
        copy = copy if switches.get("tells_copy", True) or copy == 4 else None
        crowd = told.count(request.function) if switches.get("tells_crowd", True) else None
        if not self.story.told:
            return copy, crowd, None, None, None
        queue = float(max(0, len(told) - self.story.capacity // 2))
        return copy, crowd, float(len(told)), queue, self.random.choice((0.3, 0.95))

    def recall(self, number, index):
        request = self.requests[number]
        if not request.streaming and not request.attempts[index][2]:
            self.later(0.0, self.end, request, index, n.RECALLED)

    # ---- health checks and load orders
    def probe(self, name):
        host = self.hosts[name]
        if not host.alive:
            self.later(1.0, self.probe_ends, name, n.NO_CONNECTION, 1.0)
        elif host.silent_until > self.now:
            self.later(PROBE_WAIT, self.probe_ends, name, n.NO_ANSWER, PROBE_WAIT)
        else:
            fate = n.FULL if self.chance(0.1) else n.HANDLED
            self.later(5.0, self.probe_ends, name, fate, 5.0)

    def probe_ends(self, name, fate, took):
        self.tell(n.probe_ended(name, fate, took))

    def order(self, function, name, copies):
        host = self.hosts[name]
        took = self.random.uniform(0.5, 1.5) * LOAD
        fate = n.HANDLED
        if not host.alive:
            took, fate = 1.0, n.NO_CONNECTION
        elif host.silent_until > self.now:
            took, fate = ORDER_WAIT, n.NO_ANSWER
        elif self.chance(0.1):
            took, fate = 5.0, n.FULL
        elif self.chance(0.05):
            fate = n.ERROR
        self.later(took, self.order_ends, function, host, fate, copies, took)

    def order_ends(self, function, host, fate, copies, took):
        if fate == n.HANDLED:
            host.copies.add(function)
        self.tell(n.load_ended(function, host.id, fate, copies if fate == n.HANDLED else 0, took))

    # ---- hosts and the endpoint list
    def add_host(self, since):
        host = FakeHost(self.next_host, self.story.zones, since)
        self.next_host += 1
        self.hosts[host.id] = host
        return host

    def some_host(self):
        return self.random.choice([host for host in self.hosts.values() if host.state != n.GONE])

    def fault(self):
        """Crashes a host, makes it unresponsive or unloads its copies; restarts a crashed host."""
        host = self.some_host()
        drawn = self.random.random()
        if not host.alive:
            host.alive, host.since, host.state = True, self.now, n.READY
            self.later(self.random.uniform(50.0, 800.0), self.tell_changes, host)
        elif drawn < 0.4:
            host.alive = False
            host.copies.clear()
            for number, index in list(host.held):
                self.later(0.5, self.end, self.requests[number], index, n.LOST)
        elif drawn < 0.7:
            host.silent_until = self.now + self.random.uniform(200.0, 3000.0)
        else:
            host.copies.clear()

    def change(self):
        """Changes a host's state or leaves it, and sends the list after a random delay.

        The host starts to drain, ends and is replaced, or becomes ready again.
        """
        host = self.some_host()
        changed = [host]
        if host.state == n.DRAINING and self.chance(0.7):
            host.state, host.alive = n.GONE, False
            changed.append(self.add_host(self.now))
        elif host.state == n.DRAINING:
            host.state = n.READY
        elif self.chance(0.6):
            host.state = n.DRAINING
        delay = self.random.choice((1.0, 100.0, 1500.0))
        if self.chance(self.story.whole_lists):
            self.later(delay, self.tell_whole)
        else:
            self.later(delay, self.tell_changes, *changed)

    def tell_changes(self, *hosts):
        self.tell(n.host_list(n.CHANGES, [host.row() for host in hosts]))

    def tell_whole(self):
        rows = [host.row() for host in self.hosts.values() if host.state != n.GONE]
        self.tell(n.host_list(n.WHOLE, rows))

    def answer_list(self):
        if self.chance(self.story.failed_lists):
            self.tell(n.host_list(n.LIST_FAILED, ()))
        else:
            self.tell_whole()
