"""Dispatcher between the sockets and the router. It does no I/O and reads no clock.

The service posts inputs as they arrive and calls ``tick(now)`` once for all of them. The dispatcher
notifies the router, carries out the actions that the router returns by writing messages to
connections, and asks the I/O layer to connect to hosts. It makes no routing decisions.

It guarantees to the router that each attempt ends in exactly one outcome, that nothing is sent
after a client's deadline, that nothing is sent to a host that was never listed, and that an action
on a request or attempt that has ended is ignored.
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


def do_nothing(argument: object) -> None:
    """Does nothing; the default for callbacks that are not set."""


class Dispatcher:
    """Holds one gateway's requests, attempts and connections, each in a part that owns its table.

    The table states for each owner what it holds and what keeps that from growing without bound.

    ========================  ==================================================================
    owner                     table
    ========================  ==================================================================
    ``request_table``         pending requests (removed after their response) and clients
    ``attempts``              attempts of each pending request
    ``connections``           connections to hosts (closed when idle)
    ``calls``                 calls to hosts in flight (each ends by its timeout)
    ``endpoint_list``         hosts (removed when gone and without connections)
    ``timers``                timers (due within the longest deadline)
    ``load_orders``           none: load orders are calls in flight
    ``takeover``              none: requests taken over are pending requests
    the dispatcher            posted inputs and messages to the router (each tick empties both)
    ========================  ==================================================================

    Invariant: except for construction and ``respond_to_all``, all methods of the parts run within
    ``tick``, at a single ``now``, and no callback runs while another one is running.

    Attributes:
        router: Makes the routing decisions.
        limits: Limits, which may be replaced while the gateway runs.
        now: Time of the latest tick, in ms of the caller's clock.
        draining: Why new requests are rejected; None while they are accepted.
        counters: Event counts by name, for metrics.
        failover: Replicates requests in flight to peers; set by the service, None without peers.
        zone_drain: Knows which zones are draining; set by the service, None without peers.
        router_log: Called with each log message of the router; set by the service.
        dial: Asks the I/O layer to open a connection to a host.
        poll_endpoints: Asks the I/O layer for the endpoint list.
        releases: Chooses the version that a request calls; None without gradual releases.
        call_ended: Called with each attempt and load order that has ended, for releases.
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
        self.poll_endpoints = poll_endpoints or do_nothing
        self.releases = releases
        self.call_ended = call_ended or do_nothing
        self.failover: Any = None
        self.zone_drain: Any = None
        self.router_log: Callable[[str], object] = do_nothing
        self.draining: str | None = None
        self.counters: Counter[str] = Counter({ATTEMPTS_AFTER_CLOSE: 0})
        # Requests, calls and timers share one sequence of numbers.
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
        # Shortcuts to the tables that other modules read.
        self.requests = self.request_table.requests
        self.clients = self.request_table.clients
        self.hosts = self.endpoint_list.hosts

        self.expose_input_methods()
        self.handlers = self.action_handlers()
        self.carry_out(router.start(now_ms))
        self.timers.set(now_ms + limits.idle / CLEANUPS_PER_IDLE_TIME, self.endpoint_list.clean_up)

    def expose_input_methods(self) -> None:
        """Exposes the parts' input methods here, for the service and the subsystems to post.

        They are attributes rather than methods because a method would add a call to each request.
        """
        self.client_connected = self.request_table.client_connected
        self.client_disconnected = self.request_table.client_disconnected
        self.request_received = self.request_table.request_received
        self.request_withdrawn = self.request_table.request_withdrawn
        self.respond = self.request_table.respond
        self.respond_to_all = self.request_table.respond_to_all
        self.connection_opened = self.connections.connection_opened
        self.connection_lost = self.connections.connection_lost
        self.message_not_sent = self.calls.message_not_sent
        self.host_replied = self.calls.reply_received
        self.endpoints_updated = self.endpoint_list.update
        self.endpoints_confirmed = self.endpoint_list.list_confirmed
        self.endpoints_requested = self.endpoint_list.updates_requested
        self.endpoint_poll_failed = self.endpoint_list.poll_failed
        self.endpoints = self.endpoint_list.current_rows
        self.order_load = self.load_orders.order_load
        self.function_expected = self.load_orders.function_expected
        self.copy_reported = self.load_orders.copy_reported
        self.unload = self.load_orders.unload
        self.query_host = self.takeover.query_host
        self.take_over_request = self.takeover.take_over_request
        self.adopt_attempt = self.takeover.adopt_attempt
        self.set_timer = self.timers.set

    def action_handlers(self) -> dict[type, Callable[[Any], object]]:
        """Returns the handler for each type of action that the router returns."""
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
        """How late recent timers fired, in ms; decays over time."""
        return self.timers.lag_ms

    # ---- ticks
    def post(self, callback: Callback, *args: Any) -> bool:
        """Queues an input for the next tick; returns whether the caller must schedule that tick."""
        self.inputs.append((callback, args))
        return len(self.inputs) == 1

    def tick(self, now_ms: float) -> None:
        """Handles all inputs, then all timers that are due, at the same time ``now_ms``.

        Inputs are handled first, so that a reply that has arrived counts even if its timeout has
        passed in the meantime.
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
        """Returns when the next tick is due, in ms, if no input arrives before."""
        return self.timers.next_due_ms()

    def notify_router(self) -> None:
        """Passes all queued messages to the router and carries out the actions it returns.

        Changes of connections go first: which process listens at a host's address may decide what
        the other messages lead to.
        """
        messages = self.router_messages
        connections = self.connections
        while messages or connections.changed_hosts:
            for change in connections.take_changes():
                self.carry_out(self.router.take(self.now, change))
            if messages:
                self.carry_out(self.router.take(self.now, messages.popleft()))
        self.request_table.release_cancelled()

    def carry_out(self, actions: Iterable[Any]) -> None:
        """Carries out the router's actions in order."""
        handlers = self.handlers
        for action in actions:
            handlers[type(action)](action)

    # ---- actions of the router
    def set_router_timer(self, action: routing.SetTimer) -> None:
        """Sets a timer for the router, which gets ``TimerFired`` with the action's token."""
        fired = routing.TimerFired(action.token)
        self.timers.set(action.at_ms, self.router_messages.append, fired)

    def request_endpoints(self, action: routing.PollEndpoints) -> None:
        """Requests the endpoint list, as the router decided."""
        self.poll_endpoints(True)

    def count_log_message(self, action: routing.LogMessage) -> None:
        """Counts a log message of the router and passes it to the service's log."""
        self.counters["log messages of the router"] += 1
        self.router_log(action.text)

    # ---- inputs about the whole gateway
    def host_greeted(self, link: Any, hello: Any) -> None:
        """Records the start time that a host states in its hello."""
        self.endpoint_list.host_greeted(link.host, hello.started_at_ms)

    def drain(self, reason: str) -> None:
        """Rejects new requests from now on and notifies clients once; pending ones continue."""
        if self.draining is None:
            self.draining = reason
            for client in self.clients:
                client.writer.write(Draining(reason))
