"""The router: handles each message with its components."""

from collections.abc import Callable
from typing import Any

from cherrydoor.routing import messages
from cherrydoor.routing.attempt_rules import AttemptRules
from cherrydoor.routing.context import Action, Context
from cherrydoor.routing.endpoint_leases import EndpointListLease
from cherrydoor.routing.history_table import HistoryTable
from cherrydoor.routing.host import Host
from cherrydoor.routing.host_choice import HostChooser
from cherrydoor.routing.load_orders import LoadOrders
from cherrydoor.routing.messages import AttemptOutcome, HostState
from cherrydoor.routing.request import Request, TenantUsage
from cherrydoor.routing.request_lifecycle import HOLD_TIMER, RequestLifecycle
from cherrydoor.routing.settings import RoutingSettings
from cherrydoor.routing.statistics import Statistics
from cherrydoor.routing.sweep import SWEEP_TIMER, Sweep
from cherrydoor.routing.zone_table import ZoneTable

POLL_RETRY_MS = 500  # a failed poll is repeated after one to two times this
QUEUE_FULL_FULLNESS = 0.25  # a host with more fullness was reported full a moment ago
MAX_UNEVICTABLE_SHARE = 0.9  # of a host's memory; above it there is no memory for a copy

POLL_TIMER = "ask"


class Router:
    """The decisions of one gateway.

    The router owns the hosts and the lifecycle owns the requests. The History Table, the Zone
    Table, the load orders and the statistics each own their data. Call ``start`` once,
    then ``take`` for each message; both return the actions to be carried out, in order.

    Invariant: a host is kept until it is gone, has no attempt in flight and owns no range.

    Attributes:
        context: Time, actions, queued steps and random numbers.
        statistics: Measurements over the responses of all hosts.
        lifecycle: Takes requests to their final answer.
        requests: The lifecycle's requests, by request id.
        hosts: By id.
        list_lease: Whether the endpoint list is up to date.
        tenants: Usage of each tenant with a quota, by name.
    """

    def __init__(
        self,
        settings: messages.Settings,
        chooser: type[HostChooser] = HostChooser,
        lifecycle: type[RequestLifecycle] = RequestLifecycle,
    ) -> None:
        """Create the components.

        Args:
            settings: Settings of the gateway.
            chooser: Class that chooses hosts; another one is given for comparisons.
            lifecycle: Class that handles requests; another one is given for traces.
        """
        self.context = Context(settings)
        self.settings: RoutingSettings = self.context.settings
        self.statistics = Statistics(self.context)
        self.hosts: dict[str, Host] = {}
        self.list_lease = EndpointListLease(self.context)
        self.history = HistoryTable(self.context, self.statistics)
        self.rules = AttemptRules(self.context)
        self.load_orders = LoadOrders(self.context)
        self.zone_table = ZoneTable(self.context, self.statistics, self.hosts, self.history)
        self.chooser = chooser(
            self.context, self.statistics, self.hosts, self.history, self.rules, self.zone_table
        )
        self.lifecycle = lifecycle(
            self.context,
            self.statistics,
            self.rules,
            self.load_orders,
            self.zone_table,
            self.chooser,
        )
        self.requests = self.lifecycle.requests
        self.tenants = {
            tenant.name: TenantUsage(tenant.quota_per_second / settings.gateway_count / 1000)
            for tenant in settings.tenants
        }
        self._other_tenants = TenantUsage()
        self._sweep = Sweep(
            self.context,
            self.statistics,
            self.hosts,
            self.list_lease,
            self.history,
            self.load_orders,
            self.zone_table,
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            messages.EndpointsUpdated: self._update_endpoints,
            messages.EndpointsConfirmed: self._confirm_endpoints,
            messages.EndpointsRequested: self._request_endpoints,
            messages.HostConnectionsChanged: self._change_connections,
            messages.RequestArrived: self._accept_request,
            messages.FunctionExpected: self._expect_function,
            messages.StreamStarted: self._start_stream,
            messages.AttemptEnded: self._end_attempt,
            messages.RequestCancelled: self._cancel_request,
            messages.TimerFired: self._fire_timer,
            messages.HealthCheckEnded: self._end_health_check,
            messages.LoadOrderEnded: self._end_load_order,
        }

    def mean_response_ms(self) -> float:
        """The mean response time of all hosts, in ms."""
        return self.statistics.mean_response_ms()

    def start(self, now: float) -> list[Action]:
        """Start the router; called once, before ``take``.

        Args:
            now: Time in ms of the caller's clock.

        Returns:
            The actions to be carried out, in order.
        """
        context = self.context
        context.begin_message(now)
        self._sweep.start(now)
        if self.settings.polls_endpoints:
            context.actions.append(messages.PollEndpoints())
        return context.actions

    def take(self, now: float, message: Any) -> list[Action]:
        """Handle one message.

        Args:
            now: Time in ms of the caller's clock.
            message: One of the incoming types of ``messages``.

        Returns:
            The actions to be carried out, in order.
        """
        context = self.context
        context.begin_message(now)
        self._handlers[type(message)](message)
        context.run_steps()
        return context.actions

    # ---- messages
    def _update_endpoints(self, message: messages.EndpointsUpdated) -> None:
        context = self.context
        if message.kind == messages.UpdateKind.FAILED:
            context.set_timer(POLL_RETRY_MS * (1 + context.next_random()), POLL_TIMER)
            return
        listed = {endpoint.host for endpoint in message.endpoints}
        for endpoint in message.endpoints:
            host = self.hosts.get(endpoint.host)
            if host is None:
                cancel_attempt = self.lifecycle.cancel_attempt
                host = Host(context, self.statistics, endpoint, cancel_attempt, self.list_lease)
                self.hosts[endpoint.host] = host
            context.queue(host.move, endpoint.zone, endpoint.cell)
            context.queue(host.update, endpoint.state, endpoint.started_at_ms)
            context.queue(self.zone_table.record_state, host)
        if message.kind != messages.UpdateKind.INCREMENTAL:
            for host in self.hosts.values():
                if host.id not in listed:
                    context.queue(host.update, HostState.GONE, host.started_at_ms)
                    context.queue(self.zone_table.record_state, host)
        context.queue(self.zone_table.update, context.now)

    def _confirm_endpoints(self, message: messages.EndpointsConfirmed) -> None:
        now = self.context.now
        needed_host_leases = self.list_lease.needs_host_leases(now)
        self.list_lease.record_confirmation(message.at_ms)
        if needed_host_leases and not self.list_lease.needs_host_leases(now):
            for host in self.hosts.values():
                host.lease.clear_suspicion()
            self.list_lease.log_change(now)

    def _request_endpoints(self, message: messages.EndpointsRequested) -> None:
        self.list_lease.record_update_request(message.at_ms)

    def _change_connections(self, message: messages.HostConnectionsChanged) -> None:
        host = self.hosts.get(message.host)
        if host is not None:
            host.identity.record_connections(message)

    def may_get_new_work(self, host_id: str, now: float) -> bool:
        """Whether the host's lease allows new attempts and load orders at this time.

        True for a host that is not known.
        """
        host = self.hosts.get(host_id)
        return host is None or host.lease.holds(now)

    def _accept_request(self, message: messages.RequestArrived) -> None:
        function = self.history.find_or_add(message.function)
        tenant = self.tenants.get(message.tenant, self._other_tenants)
        request_class = self.settings.request_classes[message.request_class]
        request = Request(message, request_class, function, tenant)
        self.lifecycle.add(request)
        function.copy_concurrency = max(1, int(message.copy_concurrency))
        tenant.requests.add(self.context.now, 1.0)
        self.load_orders.record_request()
        self.context.queue(self.history.record_call, function)
        self.context.queue(self.lifecycle.route, request)

    def _expect_function(self, message: messages.FunctionExpected) -> None:
        """Order a copy at the home worker ahead of the first request, within the load quota."""
        now = self.context.now
        function = self.history.find_or_add(message.function)
        function.call_count = max(1.0, function.call_count)  # keeps the row until the load ends

        def accepts(host: Host) -> bool:
            drained = message.drained_zone and host.zone == message.drained_zone
            return not function.lacks_memory_at(host, now) and not drained

        home = self.zone_table.owner(function.home_position, accepts)
        if home is not None and not home.holds_copy(function, now):
            self.load_orders.order(function, home)

    def _start_stream(self, message: messages.StreamStarted) -> None:
        request = self.requests.get(message.request_id)
        if request is not None:
            request.streaming = True

    def _end_attempt(self, message: messages.AttemptEnded) -> None:
        request = self.requests.get(message.request_id)
        if request is None:
            return
        context = self.context
        attempt = request.attempts[message.attempt]
        host = attempt.host
        attempt.outcome = message.outcome
        if message.outcome == AttemptOutcome.FULL and self._is_queue_full(host, message):
            attempt.copy_was_loaded = True
        if message.copy is not None:
            attempt.ran_on_loaded_copy = message.copy < 2
        context.queue(host.record_outcome, attempt, message, context.now)
        context.queue(
            self.history.record_outcome,
            request.function,
            host,
            message.outcome,
            message.copy,
            message.concurrency,
            attempt.copy_was_loaded,
        )
        context.queue(self.lifecycle.continue_request, request, attempt, message)

    def _is_queue_full(self, host: Host, message: messages.AttemptEnded) -> bool:
        """Whether a response that the host is full means a full queue, not a lack of memory."""
        if host.load.fullness.read(self.context.now) > QUEUE_FULL_FULLNESS or message.queued:
            return True
        if message.concurrency is not None:
            return message.concurrency > 0
        unevictable = message.unevictable_memory
        return unevictable is None or unevictable <= MAX_UNEVICTABLE_SHARE

    def _cancel_request(self, message: messages.RequestCancelled) -> None:
        request = self.requests.get(message.request_id)
        if request is not None:
            self.lifecycle.cancel_by_client(request)

    def _fire_timer(self, message: messages.TimerFired) -> None:
        if message.token == POLL_TIMER:
            self.context.actions.append(messages.PollEndpoints())
        elif message.token == SWEEP_TIMER:
            self.context.queue(self._sweep.run)
        elif message.token.startswith(HOLD_TIMER):
            request = self.requests.get(int(message.token.removeprefix(HOLD_TIMER)))
            if request is not None:
                self.context.queue(self.lifecycle.end_hold, request)
        else:
            request = self.requests.get(int(message.token))
            if request is not None:
                self.context.queue(self.lifecycle.route, request)

    def _end_health_check(self, message: messages.HealthCheckEnded) -> None:
        host = self.hosts.get(message.host)
        if host is not None:
            self.context.queue(host.record_health_check, message.outcome, self.context.now)
            self.context.queue(self.lifecycle.release_held, host)

    def _end_load_order(self, message: messages.LoadOrderEnded) -> None:
        function = self.history.functions.get(message.function)
        host = self.hosts.get(message.host)
        if function is not None and host is not None:
            self.context.queue(
                self.history.record_outcome, function, host, message.outcome, None, None, None
            )
