"""Dispatcher between the sockets and the router: requests in, attempts out. No I/O, no clock.

The service posts what came in and calls ``tick(now)`` once for all of it. The dispatcher notifies
the router, carries out its actions by writing to wires, and has the I/O dial hosts. It keeps what
the router is promised: each attempt ends in exactly one outcome, nothing is sent past a client's
deadline, a host that was never listed gets nothing, and an action on what has ended is ignored.
It chooses nothing.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any

from cherrydoor.gateway.attempts import Attempts
from cherrydoor.gateway.endpoints import CLEANUPS_PER_IDLE_TIME, EndpointList
from cherrydoor.gateway.host_calls import HostCalls
from cherrydoor.gateway.host_connections import HostConnections
from cherrydoor.gateway.load_orders import LoadOrders
from cherrydoor.gateway.requests import RequestTable
from cherrydoor.gateway.tables import ATTEMPTS_AFTER_CLOSE
from cherrydoor.gateway.tables import ClientConnection as ClientConnection
from cherrydoor.gateway.takeover import Takeover
from cherrydoor.gateway.timers import Callback, TimerQueue
from cherrydoor.protocol.basics import Draining
from cherrydoor.routing import messages as routing


def ignore(argument: object) -> None:
    """Stands for a receiver that this gateway does not have."""


class Dispatcher:
    """One gateway's requests, attempts and connections, put together from their owners.

    ========================  ==================================================================
    owner                     table
    ========================  ==================================================================
    ``request_table``         pending requests (empties with responses) and clients
    ``attempts``              attempts of each pending request
    ``connections``           connections to hosts (closed when they are unused)
    ``calls``                 calls to hosts in flight (each ends within its time)
    ``endpoint_list``         hosts (dropped when gone and without connections)
    ``timers``                timers (due within the longest deadline)
    ``load_orders``           none: load orders are calls in flight
    ``takeover``              none: requests taken over are pending requests
    the dispatcher            posted inputs and messages to the router, both emptied by each tick
    ========================  ==================================================================

    Invariant: all of it is called from ``tick`` (but for construction and ``respond_to_all``), at
    one ``now``, so that a callback never runs while another one is at work.

    Attributes:
        router: The decision module.
        limits: Bounds, which may be replaced in service.
        now: Time of the latest tick, in ms of the caller's clock.
        draining: Why nothing new is accepted, None while it is.
        counters: What happened how often, for metrics.
        failover: Gets requests in flight, where they outlive this gateway; set by the service.
        zone_drain: Knows the zones that drain; set by the service.
        router_log: Gets log messages of the router; set by the service.
        dial: Asks the I/O to open a connection.
        poll_endpoints: Asks the I/O for the endpoint list.
        releases: Chooses the version that a request calls, None without gradual releases.
        call_ended: Gets each attempt and load order that has ended, for releases.
    """

    def __init__(
        self,
        router: Any,
        limits: Any,
        dial: Callable[[Any], object],
        now_ms: float,
        poll_endpoints: Callable[[bool], object] | None = None,
        releases: Any = None,
        call_ended: Callable[[Any], object] | None = None,
    ) -> None:
        self.router = router
        self.limits = limits
        self.dial = dial
        self.now = now_ms
        self.poll_endpoints = poll_endpoints or ignore
        self.releases = releases
        self.call_ended = call_ended or ignore
        self.failover: Any = None
        self.zone_drain: Any = None
        self.router_log: Callable[[str], object] = ignore
        self.draining: str | None = None
        self.counters: Counter[str] = Counter({ATTEMPTS_AFTER_CLOSE: 0})
        # requests, calls and timers share one sequence of numbers
        self.next_number: Callable[[], int] = count(1).__next__
        self.inputs: list[tuple[Callback, tuple[Any, ...]]] = []
        self.router_messages: deque[Any] = deque()

        self.timers = TimerQueue(self.next_number)
        self.request_table = RequestTable(self)
        self.attempts = Attempts(self)
        self.connections = HostConnections(self)
        self.calls = HostCalls(self)
        self.endpoint_list = EndpointList(self)
        self.load_orders = LoadOrders(self)
        self.takeover = Takeover(self)
        # the tables that others read
        self.requests = self.request_table.requests
        self.clients = self.request_table.clients
        self.hosts = self.endpoint_list.hosts

        self.expose_inputs()
        self.handlers = self.action_handlers()
        self.carry_out(router.start(now_ms))
        self.timers.set(now_ms + limits.idle / CLEANUPS_PER_IDLE_TIME, self.endpoint_list.clean_up)

    def expose_inputs(self) -> None:
        """Makes the parts' inputs callable here, for the service and the subsystems to post.

        They are attributes rather than methods, as a further call would be paid for each request.
        """
        self.client_connected = self.request_table.client_connected
        self.client_disconnected = self.request_table.client_disconnected
        self.request_received = self.request_table.request_received
        self.request_withdrawn = self.request_table.request_withdrawn
        self.respond = self.request_table.respond
        self.respond_to_all = self.request_table.respond_to_all
        self.connection_opened = self.connections.opened
        self.connection_lost = self.connections.lost
        self.message_not_sent = self.calls.message_not_sent
        self.host_replied = self.calls.replied
        self.endpoints_updated = self.endpoint_list.update
        self.endpoints_confirmed = self.endpoint_list.confirmed
        self.endpoints_requested = self.endpoint_list.requested
        self.endpoint_poll_failed = self.endpoint_list.poll_failed
        self.endpoints = self.endpoint_list.rows
        self.order_load = self.load_orders.order_load
        self.function_expected = self.load_orders.function_expected
        self.copy_reported = self.load_orders.copy_reported
        self.unload = self.load_orders.unload
        self.query_host = self.takeover.query_host
        self.take_over_request = self.takeover.take_over_request
        self.adopt_attempt = self.takeover.adopt_attempt
        self.set_timer = self.timers.set

    def action_handlers(self) -> dict[type, Callable[[Any], object]]:
        """Returns who carries out each action of the router."""
        return {
            routing.StartAttempt: self.attempts.start,
            routing.CancelAttempt: self.attempts.cancel,
            routing.RejectRequest: self.attempts.reject_request,
            routing.FailRequest: self.attempts.fail_request,
            routing.SetTimer: self.set_router_timer,
            routing.CheckHealth: self.calls.check_health,
            routing.CheckLease: self.calls.check_lease,
            routing.OrderLoad: self.load_orders.order_load,
            routing.PollEndpoints: self.request_endpoints,
            routing.LogMessage: self.count_log_message,
        }

    @property
    def timer_lag_ms(self) -> float:
        """How many ms late timers have lately fired."""
        return self.timers.lag_ms

    # ---- ticks
    def post(self, callback: Callback, *args: Any) -> bool:
        """Queues an input for the next tick; returns whether that tick has to be scheduled."""
        self.inputs.append((callback, args))
        return len(self.inputs) == 1

    def tick(self, now_ms: float) -> None:
        """Handles all inputs, then the timers that are due, at one point in time.

        Inputs go first: a reply that came in counts, also if its time has run out meanwhile.
        """
        now_ms = max(now_ms, self.now)
        self.timers.decay_lag(now_ms - self.now)
        self.now = now_ms
        inputs = self.inputs
        self.inputs = []
        for callback, args in inputs:
            callback(*args)
        self.notify_router()
        while self.timers.fire_next(now_ms):
            self.notify_router()

    def next_timer_ms(self) -> float | None:
        """Returns when the next tick is due without input."""
        return self.timers.next_due_ms(self.request_table.is_obsolete)

    def notify_router(self) -> None:
        """Hands all messages to the router and carries out what it decides."""
        messages = self.router_messages
        while messages:
            self.carry_out(self.router.take(self.now, messages.popleft()))
        self.request_table.forget_cancelled()

    def carry_out(self, actions: Iterable[Any]) -> None:
        """Carries out the router's actions in their order."""
        handlers = self.handlers
        for action in actions:
            handlers[type(action)](action)

    # ---- actions of the router
    def set_router_timer(self, action: routing.SetTimer) -> None:
        """Sets a timer of the router."""
        fired = routing.TimerFired(action.token)
        self.timers.set(action.at_ms, self.router_messages.append, fired)

    def request_endpoints(self, action: routing.PollEndpoints) -> None:
        """Asks for the endpoint list."""
        self.poll_endpoints(True)

    def count_log_message(self, action: routing.LogMessage) -> None:
        """Counts a log message of the router, and hands it to the service's log."""
        self.counters["log messages of the router"] += 1
        self.router_log(action.text)

    # ---- inputs about the whole gateway
    def host_greeted(self, link: Any, hello: Any) -> None:
        """Learns from a host's hello when it was started."""
        self.endpoint_list.host_greeted(link.host, hello.started_at_ms)

    def drain(self, reason: str) -> None:
        """Rejects new requests from now on and notifies clients once; pending ones are answered."""
        if self.draining is None:
            self.draining = reason
            for client in self.clients:
                client.wire.write(Draining(reason))
