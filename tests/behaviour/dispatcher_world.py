"""Simulated clients and hosts of a dispatcher, in virtual time; their connections record messages.

The dispatcher uses the real decision module.
"""

import heapq
from random import Random
from typing import NamedTuple

import names as n
from canonical import Canonical, values_of

START = 50000.0  # ms
CLOSED, DIALED = "wire closed", "host dialed"


class Story(NamedTuple):
    """The parameters of a history apart from its seed; probabilities are per message."""

    settings: tuple
    bounds: tuple
    length: float = 20000.0  # ms; then every open request gets a response
    drains_at: float = 18000.0
    per_second: float = 100.0  # mean number of requests
    hosts: int = 6
    clients: int = 5
    refused: float = 0.1  # probability that a connection attempt is refused
    never_up: float = 0.05  # probability that a connection attempt gets no answer
    # mean number per second; a fault loses a connection, makes a host unresponsive, disconnects a
    # client or changes the endpoint list
    faults: float = 2.0
    unanswered: float = 0.02
    failed: float = 0.005  # probability of each kind of unsuccessful reply
    doubled: float = 0.02  # probability that a message is sent twice


class Writer:
    """The dispatcher's end of a connection; records each message and passes it to `receive`."""

    def __init__(self, world, name, receive):
        self.world, self.name, self.receive = world, name, receive
        self.closed = False

    def write(self, message):
        self.world.canonical.add(self.world.now, self.name, message)
        self.receive(n.WIRE_KINDS[type(message)].number, values_of(message))

    def close(self, reason):
        self.world.canonical.add(self.world.now, self.name, CLOSED)
        self.closed = True


class DispatcherWorld:
    def __init__(self, seed, story):
        self.random = Random(seed)
        self.story = story
        self.now = START
        self.queue = []
        self.sequence = 0
        self.canonical = Canonical(n.WIRE_KINDS, n.CONSTANTS)
        self.rows = {}
        self.connections = {}  # connection name -> (link, writer, host)
        self.unresponsive_until_ms = {}
        self.wires = 0
        self.requests = 0
        self.clients = {}  # name -> (client, writer, open request numbers)
        self.gone = set()
        self.inputs = 0
        *first, classes, switches = story.settings
        lease = n.settings(*first, classes=classes, **switches)
        self.classes = [values_of(each) for each in classes]
        self.dispatcher = n.make_dispatcher(
            lease,
            self.dialed,
            self.now,
            self.endpoints_polled,
            **n.dispatcher_bounds(*story.bounds),
        )
        self.call = n.dispatcher_inputs(self.dispatcher)

    def play(self):
        for number in range(self.story.hosts):
            self.add_row(f"h{number}", 0.0)
        self.enter(self.call.endpoints_updated, n.SAVED, list(self.rows.values()))
        for _ in range(self.story.clients):
            self.client_connects()
        self.every(self.story.per_second, self.request_arrives)
        self.every(self.story.faults, self.fault)
        self.every(2.0, self.announce)
        self.later(self.story.drains_at, self.enter, self.call.drain, "the test drains")
        self.later(self.story.length, self.enter, self.call.respond_to_all, "the test ends")
        end = START + self.story.length + 5000.0
        while True:
            timer = self.call.next_timer_ms()
            entry = self.queue[0][0] if self.queue else end
            at = max(self.now, entry if timer is None else min(entry, timer))
            if at >= end:
                return self
            self.now = at
            while self.queue and self.queue[0][0] <= at:
                _, _, action, arguments = heapq.heappop(self.queue)
                action(*arguments)
            self.call.tick(at)

    # ---- time
    def later(self, delay, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, action, arguments))

    def every(self, per_second, action):
        self.later(self.random.expovariate(per_second / 1000), self.again, per_second, action)

    def again(self, per_second, action):
        if self.now < START + self.story.length:
            action()
            self.every(per_second, action)

    def chance(self, probability):
        return self.random.random() < probability

    def enter(self, what, *arguments):
        self.inputs += 1
        self.call.post(what, *arguments)

    # ---- clients
    def client_connects(self):
        self.wires += 1
        name = f"client {self.wires}"
        waiting = set()

        def receive(kind, values):
            if kind == n.WIRE_ANSWER:
                waiting.discard(values[0])

        writer = Writer(self, name, receive)
        client = n.make_client(writer, lambda: name in self.gone)
        self.clients[name] = client, waiting
        self.enter(self.call.client_connected, client, n.client_hello(name, self.now - 7.0))

    def request_arrives(self):
        client, waiting = self.clients[self.random.choice(list(self.clients))]
        self.requests += 1
        number = self.requests
        if waiting and self.chance(self.story.doubled):
            number = max(waiting)
        class_name, _, deadline_ms, *_ = self.random.choice(self.classes)
        class_name = "unknown" if self.chance(0.01) else class_name
        timeout_ms = deadline_ms * self.random.choice((1.0, 0.3, 0.02))
        function = f"f{int(20 * self.random.random() ** 2)}"
        delay_ms = self.random.choice((0.0, 0.0, 3.0, 40.0))
        waiting.add(number)
        body = b"x" * self.random.randrange(4)
        self.enter(
            self.call.request_received,
            client,
            n.wire_event(
                number,
                class_name,
                function,
                timeout_ms,
                self.now - delay_ms,
                self.random.choice(("", "tenant")),
                f"key {number}",
                self.random.choice((1.0, 4.0)),
                200.0,
                body,
            ),
        )
        if self.chance(0.05):
            self.later(
                self.random.uniform(1.0, 300.0),
                self.enter,
                self.call.request_withdrawn,
                client,
                number,
            )

    def client_disconnects(self):
        name = self.random.choice(list(self.clients))
        client, _ = self.clients.pop(name)
        self.gone.add(name)
        self.later(
            self.random.choice((0.0, 5.0)), self.enter, self.call.client_disconnected, client
        )
        self.client_connects()

    # ---- hosts
    def dialed(self, link):
        name = n.host_of(link)
        self.canonical.add(self.now, DIALED, name)
        drawn = self.random.random()
        if drawn < self.story.refused:
            self.later(1.0, self.enter, self.call.connection_lost, link)
        elif drawn > self.story.never_up:
            self.later(self.random.uniform(1.0, 30.0), self.open_connection, link, name)

    def open_connection(self, link, host):
        self.wires += 1
        name = f"{host} {self.wires}"

        def receive(kind, values):
            self.host_receives(name, kind, values)

        writer = Writer(self, name, receive)
        self.connections[name] = link, writer, host
        self.enter(self.call.connection_opened, link, writer)
        since = START + 1.0 if self.chance(0.02) else 0.0
        self.enter(self.call.host_greeted, link, n.host_hello(host, self.now, since))

    def lose_connection(self):
        open_connections = [
            name for name, (_, writer, _) in self.connections.items() if not writer.closed
        ]
        if open_connections:
            link, _, _ = self.connections.pop(self.random.choice(open_connections))
            self.enter(self.call.connection_lost, link)

    def host_receives(self, name, kind, values):
        host = self.connections[name][2] if name in self.connections else ""
        number = values[0]
        took_ms = self.random.expovariate(1 / 40.0)
        took_ms = max(took_ms, self.unresponsive_until_ms.get(host, 0.0) - self.now)
        if self.chance(self.story.unanswered):
            return
        if kind == n.WIRE_LAUNCH:
            if values[3] == "stream" and self.chance(0.7):
                self.later(took_ms / 2, self.host_sends, name, n.wire_underway(number))
            outcomes = (n.ERROR, n.FULL, n.MISSING)
            outcome = (
                self.random.choice(outcomes) if self.chance(3 * self.story.failed) else n.HANDLED
            )
            copy = (
                4
                if outcome == n.ERROR and self.chance(0.3)
                else self.random.choice((1, 1, 1, 2, 3))
            )
            message = n.wire_outcome(
                number,
                outcome,
                copy,
                self.random.randrange(4),
                self.random.choice((None, 2.0)),
                b"answer",
                self.random.choice((None, 1.0)),
                self.random.choice((None, 0.5)),
            )
        elif kind == n.WIRE_PROBE:
            message = n.wire_probed(number, n.FULL if self.chance(self.story.failed) else n.HANDLED)
        elif kind == n.WIRE_ORDER:
            failed = self.chance(4 * self.story.failed)
            message = n.wire_ordered(
                number, n.FULL if failed else n.HANDLED, 0 if failed else values[2]
            )
        else:
            return
        self.later(took_ms, self.host_sends, name, message)
        if self.chance(self.story.doubled):
            self.later(took_ms + 1.0, self.host_sends, name, message)

    def host_sends(self, name, message):
        if name in self.connections and not self.connections[name][1].closed:
            self.enter(self.call.host_replied, self.connections[name][0], message)

    # ---- the endpoint list and faults
    def add_row(self, host, since, state=n.READY):
        number = int(host[1:])
        self.rows[host] = n.wire_row(host, state, since, f"z{number % 2}", number % 3)

    def endpoints_polled(self, asked):
        self.later(10.0, self.endpoint_list_responds)

    def endpoint_list_responds(self):
        if self.chance(0.3):
            self.enter(self.call.endpoint_poll_failed)
        else:
            self.enter(self.call.endpoints_updated, n.WHOLE, list(self.rows.values()))

    def fault(self):
        drawn = self.random.random()
        if drawn < 0.25:
            self.lose_connection()
        elif drawn < 0.4:
            host = self.random.choice(list(self.rows))
            self.unresponsive_until_ms[host] = self.now + self.random.uniform(300.0, 2000.0)
        elif drawn < 0.55:
            self.client_disconnects()
        else:
            self.change()

    def change(self):
        host = self.random.choice(list(self.rows))
        _, state, since, *_ = values_of(self.rows[host])
        if state == n.DRAINING:
            self.add_row(host, since, n.GONE)
            gone = self.rows.pop(host)
            new = f"h{self.story.hosts + self.inputs}"
            self.add_row(new, self.now)
            self.enter(self.call.endpoints_updated, n.CHANGES, [gone, self.rows[new]])
        else:
            self.add_row(
                host,
                self.now if self.chance(0.3) else since,
                n.DRAINING if self.chance(0.6) else n.READY,
            )
            if self.chance(0.7):
                self.enter(self.call.endpoints_updated, n.CHANGES, [self.rows[host]])
            else:
                self.enter(self.call.endpoints_updated, n.WHOLE, list(self.rows.values()))

    def announce(self):
        """Announces an expected function, a loaded copy, or a copy that may be unloaded."""
        function = f"f{self.random.randrange(25)}"
        host = self.random.choice(list(self.rows))
        what = self.random.choice(
            (self.call.function_expected, self.call.copy_reported, self.call.unload)
        )
        arguments = {
            self.call.function_expected: (),
            self.call.copy_reported: (host,),
            self.call.unload: ([host],),
        }[what]
        self.enter(what, function, *arguments)
