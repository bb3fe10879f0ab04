"""What the router is told of connections to hosts, and keyed attempts that wait for one."""

from types import SimpleNamespace

import pytest

from cherrydoor.gateway.dispatcher import ClientConnection, Dispatcher
from cherrydoor.protocol import messages as protocol
from cherrydoor.routing import messages as routing

LIMITS = SimpleNamespace(
    spare=0.0,
    most_open=100,
    per_link=1,
    links=4,
    host_connections=100,
    connect=250.0,
    idle=10000.0,
    probe=500.0,
    order=2000.0,
    silence=250.0,
    handshake=0.0,
    tells=(True, True),
)


class ScriptedRouter:
    """A router that sends each request to host "h" once, and records what it is told."""

    settings = SimpleNamespace(request_classes={"draft": None})

    def __init__(self):
        self.connections, self.outcomes = [], []

    def start(self, now):
        return []

    def take(self, now, message):
        if isinstance(message, routing.HostConnectionsChanged):
            self.connections.append(message)
        elif isinstance(message, routing.AttemptEnded):
            self.outcomes.append(message.outcome)
            return [routing.FailRequest(message.request_id)]
        elif isinstance(message, routing.RequestArrived):
            return [routing.StartAttempt(message.request_id, "h", 0.0)]
        return []

    def may_get_new_work(self, host, now):
        return True


class Wire:
    """The writing side of a connection; records what is written."""

    def __init__(self):
        self.written = []

    def write(self, message):
        self.written.append(message)

    def close(self, reason):
        """The dispatcher closes the connection."""


class Gateway:
    """A dispatcher with one listed host, whose connections the test opens and breaks."""

    def __init__(self):
        self.router, self.links, self.now = ScriptedRouter(), [], 1000.0
        self.dispatcher = Dispatcher(self.router, LIMITS, self.links.append, self.now)
        self.dispatcher.post(
            self.dispatcher.endpoints_updated,
            "whole",
            [protocol.Endpoint("h", "ready", 0.0, "z", 1)],
        )
        self.client = ClientConnection(Wire())
        self.requests = 0
        self.tick()

    def tick(self, delay_ms=10.0):
        self.now += delay_ms
        self.dispatcher.tick(self.now)

    def request(self, key=""):
        """Sends a request, for which the gateway dials the host if no connection is free."""
        self.requests += 1
        self.dispatcher.post(
            self.dispatcher.request_received,
            self.client,
            protocol.Request(self.requests, "draft", "f", 5000.0, self.now, idempotency_key=key),
        )
        self.tick()

    def opened(self, link):
        """Opens a connection that was dialled; returns its wire."""
        wire = Wire()
        self.dispatcher.post(self.dispatcher.connection_opened, link, wire)
        return wire

    def lost(self, link):
        self.dispatcher.post(self.dispatcher.connection_lost, link)


def test_the_router_is_told_since_when_a_host_is_connected_and_when_it_broke_its_connections():
    gateway = Gateway()
    gateway.request()
    gateway.request()
    for link in gateway.links:
        gateway.opened(link)
    gateway.tick()
    connected_ms = gateway.now
    gateway.lost(gateway.links[0])
    gateway.tick()
    assert gateway.router.connections == [
        routing.HostConnectionsChanged("h", connected_ms, None),
    ], "another connection is still open"
    gateway.lost(gateway.links[1])
    gateway.tick()
    assert gateway.router.connections[1:] == [
        routing.HostConnectionsChanged("h", None, gateway.now)
    ]


def test_a_refused_connection_counts_as_broken_by_the_host():
    gateway = Gateway()
    gateway.request()
    gateway.lost(gateway.links[0])
    gateway.tick()
    assert gateway.router.connections == [routing.HostConnectionsChanged("h", None, gateway.now)]


def test_the_router_knows_of_a_broken_connection_before_it_decides_on_other_input():
    gateway = Gateway()
    gateway.request()
    gateway.opened(gateway.links[0])
    gateway.tick()
    seen = []
    take = gateway.router.take

    def record(now, message):
        seen.append(type(message))
        return take(now, message)

    gateway.router.take = record
    gateway.dispatcher.post(gateway.dispatcher.endpoints_confirmed, gateway.now)
    gateway.lost(gateway.links[0])
    gateway.tick()
    assert seen.index(routing.HostConnectionsChanged) < seen.index(routing.EndpointsConfirmed)


@pytest.mark.parametrize("key, outcome", [("k", routing.AttemptOutcome.NOT_SENT), ("", None)])
def test_a_keyed_attempt_that_waits_for_a_connection_is_not_sent_to_another_process(key, outcome):
    gateway = Gateway()
    gateway.request()
    gateway.opened(gateway.links[0])
    gateway.tick()
    gateway.request(key)  # the first connection is busy, so it waits for another one
    assert len(gateway.links) == 2
    gateway.lost(gateway.links[0])
    gateway.tick()
    wire = gateway.opened(gateway.links[1])
    gateway.tick()
    assert gateway.router.outcomes[1:] == ([outcome] if outcome else [])
    assert len(wire.written) == (0 if outcome else 1)
