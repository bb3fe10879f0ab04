"""Imports, inputs and calls of the code under test, for test_decision_digests.py and its worlds.

When the code under test is renamed, only this module changes; the numbers and the digests stay as
they are. Many names here are older terms than those of the code:

* launch: attempt; recall: cancel an attempt; defer: reject; dead-letter: fail a request
* ring: set a timer; probe: health check; order: load order; drop: unload; subscribe: poll endpoints
* fate: outcome; crowd: concurrency; held: requests in flight at a host; tied: unevictable memory
* target: latency objective; foreseen: function expected; away: drained zone; link: host connection
"""

from types import SimpleNamespace

from canonical import Kind

from cherrydoor.config.figures import DispatcherLimits
from cherrydoor.emulator.play import emulate
from cherrydoor.gateway.dispatcher import Dispatcher
from cherrydoor.gateway.tables import ClientConnection
from cherrydoor.protocol import messages as wire
from cherrydoor.rehearsal.day import read_day
from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing

# ---- constants of enumerations
HANDLED, ERROR, FULL, MISSING = (
    routing.AttemptOutcome.SUCCEEDED,
    routing.AttemptOutcome.ERROR,
    routing.AttemptOutcome.FULL,
    routing.AttemptOutcome.FUNCTION_MISSING,
)
NO_ANSWER, NO_CONNECTION, LOST = (
    routing.AttemptOutcome.NO_RESPONSE,
    routing.AttemptOutcome.CONNECT_FAILED,
    routing.AttemptOutcome.CONNECTION_LOST,
)
RECALLED, UNSENT = routing.AttemptOutcome.CANCELLED, routing.AttemptOutcome.NOT_SENT
REDELIVERABLE, KEYED, AT_MOST_ONCE = (
    routing.RetrySafety.IDEMPOTENT,
    routing.RetrySafety.IDEMPOTENCY_KEY,
    routing.RetrySafety.AT_MOST_ONCE,
)
READY, DRAINING, GONE = routing.HostState.READY, routing.HostState.DRAINING, routing.HostState.GONE
CHANGES, WHOLE, SAVED, LIST_FAILED = (
    routing.UpdateKind.INCREMENTAL,
    routing.UpdateKind.SNAPSHOT,
    routing.UpdateKind.CACHED,
    routing.UpdateKind.FAILED,
)
DEFERRED, DEAD_LETTERED = "deferred", "dead-lettered"  # final responses on the wire

# The digests depend on these numbers, so they must never change. Only constants that occur in the
# output of the code under test need one.
CONSTANTS = {
    HANDLED: 1,
    ERROR: 2,
    FULL: 3,
    NO_ANSWER: 4,
    NO_CONNECTION: 5,
    LOST: 6,
    RECALLED: 7,
    UNSENT: 8,
    MISSING: 9,
    DEFERRED: 10,
    DEAD_LETTERED: 11,
}

# ---- kinds of messages in the output
LAUNCH, RECALL, DEFER, DEAD_LETTER, RING, PROBE, ORDER, SUBSCRIBE = range(1, 9)
MODULE_KINDS = {
    routing.StartAttempt: Kind(LAUNCH),
    routing.CancelAttempt: Kind(RECALL),
    routing.RejectRequest: Kind(DEFER),
    routing.FailRequest: Kind(DEAD_LETTER),
    routing.SetTimer: Kind(RING, tokens=(1,)),
    routing.CheckHealth: Kind(PROBE),
    routing.OrderLoad: Kind(ORDER),
    routing.PollEndpoints: Kind(SUBSCRIBE),
    routing.LogMessage: Kind(9, free_text=(0,)),
}
(
    WIRE_ANSWER,
    WIRE_STARTED,
    WIRE_LEAVING,
    WIRE_LAUNCH,
    WIRE_RECALL,
    WIRE_PROBE,
    WIRE_ORDER,
    WIRE_DROP,
) = range(21, 29)
WIRE_KINDS = {
    wire.Response: Kind(WIRE_ANSWER, free_text=(3,)),
    wire.StreamStarted: Kind(WIRE_STARTED),
    wire.Draining: Kind(WIRE_LEAVING, free_text=(0,)),
    wire.Attempt: Kind(WIRE_LAUNCH),
    wire.CancelAttempt: Kind(WIRE_RECALL),
    wire.HealthCheck: Kind(WIRE_PROBE),
    wire.LoadOrder: Kind(WIRE_ORDER),
    wire.Unload: Kind(WIRE_DROP),
}


# ---- the decision module: construction and calls
def request_class(name, target, max_age, kind=REDELIVERABLE, group="all", memory=0.0, stream=False):
    return routing.RequestClass(name, target, max_age, kind, group, memory, stream)


def tenant(name, per_second):
    return routing.Tenant(name, per_second)


def settings(
    number=0,
    gateways=2,
    seed=1,
    classes=(),
    tenants=(),
    asks=False,
    launches=3,
    twice=False,
    recalls=True,
    probes=True,
    advice=1000.0,
    cold_from=1.0,
    cold=0.0,
    fall_multiple=0.0,
    fall=0.0,
    linger=6000.0,
    orders=True,
    misses=False,
    quota=(0.0, 0.0, 0.0),
    tells_copy=True,
    tells_crowd=True,
):
    return routing.Settings(
        number,
        gateways,
        seed,
        "z0",
        1.0,
        classes,
        tenants,
        asks,
        launches,
        twice,
        recalls,
        probes,
        advice,
        cold_from,
        cold,
        fall_multiple,
        fall,
        linger,
        orders,
        misses,
        *quota,
        tells_copy,
        tells_crowd,
    )


def make_module(lease):
    return Router(lease)


def start_module(module, now):
    return module.start(now)


def tell_module(module, now, message):
    return module.take(now, message)


# ---- inputs of the decision module
def host_row(host, state, since, zone, cell):
    return routing.Endpoint(host, state, since, zone, cell)


def host_list(how, rows):
    return routing.EndpointsUpdated(how, tuple(rows))


def arrival(number, class_name, tenant_name, function, until, lanes, load, away):
    return routing.RequestArrived(
        number, class_name, tenant_name, function, until, lanes, load, away
    )


def foreseen(function, away):
    return routing.FunctionExpected(function, away)


def stream_started(number, index, host):
    return routing.StreamStarted(number, index, host)


def outcome(number, index, fate, over, host, took, copy, crowd, held, queue, tied):
    return routing.AttemptEnded(
        number, index, fate, over, host, took, copy, crowd, held, queue, tied
    )


def client_left(number):
    return routing.RequestCancelled(number)


def timer_fired(token):
    return routing.TimerFired(token)


def probe_ended(host, fate, took):
    return routing.HealthCheckEnded(host, fate, took)


def load_ended(function, host, fate, copies, took):
    return routing.LoadOrderEnded(function, host, fate, copies, took)


# ---- the dispatcher: construction and inputs
def make_dispatcher(lease, dial, now, hear, **bounds):
    return Dispatcher(make_module(lease), DispatcherLimits(**bounds), dial, now, hear)


def dispatcher_bounds(spare, most_open, per_link, links, connect, idle, probe, order, silence):
    return {
        "spare": spare,
        "most_open": most_open,
        "per_link": per_link,
        "links": links,
        "connect": connect,
        "idle": idle,
        "probe": probe,
        "order": order,
        "silence": silence,
    }


def dispatcher_inputs(dispatcher):
    return SimpleNamespace(
        tick=dispatcher.tick,
        next_timer_ms=dispatcher.next_timer_ms,
        post=dispatcher.post,
        client_connected=dispatcher.client_connected,
        request_received=dispatcher.request_received,
        request_withdrawn=dispatcher.request_withdrawn,
        client_disconnected=dispatcher.client_disconnected,
        endpoints_updated=dispatcher.endpoints_updated,
        endpoint_poll_failed=dispatcher.endpoint_poll_failed,
        connection_opened=dispatcher.connection_opened,
        connection_lost=dispatcher.connection_lost,
        host_greeted=dispatcher.host_greeted,
        host_replied=dispatcher.host_replied,
        function_expected=dispatcher.function_expected,
        copy_reported=dispatcher.copy_reported,
        unload=dispatcher.unload,
        drain=dispatcher.drain,
        respond_to_all=dispatcher.respond_to_all,
    )


def dispatcher_counts(dispatcher):
    return dispatcher.counters


def open_requests(dispatcher):
    return len(dispatcher.requests)


def host_of(link):
    return link.host.id


def make_client(writer, has_closed):
    return ClientConnection(writer, "", has_closed)


# ---- messages on the wire
def client_hello(name, clock):
    return wire.Hello(wire.VERSION, "client", name, clock)


def host_hello(name, clock, since):
    return wire.Hello(wire.VERSION, "host", name, clock, since)


def wire_row(host, state, since, zone, cell):
    return wire.Endpoint(host, state, since, zone, cell)


def wire_event(number, class_name, function, lasts, sent, tenant_name, mark, lanes, load, body):
    return wire.Request(
        number, class_name, function, lasts, sent, tenant_name, mark, lanes, load, body
    )


def wire_outcome(number, fate, copy, crowd, held, body, queue, tied):
    return wire.AttemptResult(number, fate, copy, crowd, held, body, None, queue, tied)


def wire_underway(number):
    return wire.AttemptStreaming(number)


def wire_probed(number, fate):
    return wire.HealthCheckResult(number, fate)


def wire_ordered(number, fate, copies):
    return wire.LoadOrderResult(number, fate, copies)


# ---- the emulator's runs, and numbers for the words in each column of the recorded traffic
def play_day(path, seed, folder):
    emulate(read_day(path, seed=seed), folder)


PLAY_ENDS = {
    "client": 1,
    "conductor": 2,
    "host": 3,
    "list": 4,
    "store": 5,
}
PLAY_EVENTS = {
    "answer": 1,
    "answer lost": 2,
    "begun": 3,
    "closing": 4,
    "connect failed": 5,
    "connected": 6,
    "cut": 7,
    "effect": 8,
    "fetch": 9,
    "fetched": 10,
    "gateway continued": 11,
    "gateway killed": 12,
    "gateway stopped": 13,
    "gateway up": 14,
    "heard": 15,
    "host down": 16,
    "host up": 17,
    "launch": 18,
    "load": 19,
    "order": 20,
    "outcome": 21,
    "probe": 22,
    "recall": 23,
    "row": 24,
    "sent": 25,
    "terms": 26,
    "told": 27,
    "trouble": 28,
    "truth": 29,
    "unreachable": 30,
}
PLAY_FATES = {
    "": 0,
    "begins": 1,
    "changes": 2,
    "dead-lettered": 3,
    "draining": 4,
    "ends": 5,
    "full": 6,
    "gone": 7,
    "handled": 8,
    "ready": 9,
    "whole": 10,
    "deferred": 11,
    "error": 12,
    "missing": 13,
}
PLAY_WORDS = {1: PLAY_ENDS, 4: PLAY_EVENTS, 12: PLAY_FATES}  # position of the column -> its words
PLAY_FREE_TEXT = 16
PLAY_DAY = """
name: "small"
length: 4s
warm: 1s
spare: 400ms
events: [
  {name: "draft", target: 750ms, max_age: 2s}
  {name: "file", target: 750ms, max_age: 2s, kind: "at-most-once"}
]
fleet: {hosts: 4}
cold: {}
functions: {count: 8, load: [60, 120], work: [5, 15]}
clients: {per_second: 40}
gateways: {count: 3, in_a_process: 2}
store: {}
list: {notice: [0.05, 0.2]}
may: {}
ration: {}
troubles: [
  {at: 500ms, what: "deploy", lasts: 1s, part: 50%, size: 0.4}
  {at: 1s, what: "gateway-crash", lasts: 500ms, part: 20%}
  {at: 2s, what: "gateway-stall", lasts: 300ms, part: 20%}
  {at: 2s, what: "lost-answers", lasts: 1s, part: 30%, size: 0.5}
  {at: 3s, what: "crash", lasts: 500ms, part: 20%}
]
"""
