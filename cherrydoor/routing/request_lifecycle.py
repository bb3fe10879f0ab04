"""The lifecycle of a request: routing, retries, cancellation and the final answer."""

from cherrydoor.routing import messages
from cherrydoor.routing.attempt_rules import AttemptRules
from cherrydoor.routing.context import Context
from cherrydoor.routing.endpoint_leases import MAX_HOLD_MS
from cherrydoor.routing.host import Host
from cherrydoor.routing.host_choice import OBJECTIVE_SHARE, HostChooser
from cherrydoor.routing.load_orders import LoadOrders
from cherrydoor.routing.messages import AttemptOutcome, RetrySafety
from cherrydoor.routing.request import Attempt, Request
from cherrydoor.routing.statistics import Statistics
from cherrydoor.routing.zone_table import ZoneTable

# Under overload, the predicted response time of a tenant that is over its quota is multiplied by
# this factor, so that its requests are rejected first.
OVER_QUOTA_FACTOR = 2
# A client may be told to retry only within this share of the dedup window.
CLIENT_RETRY_SHARE_OF_DEDUP_WINDOW = 0.5
MIN_RETRY_AFTER_BASE_MS = 100.0  # least value that Retry-After is derived from
LOAD_ORDER_RETRY_MS = 50.0  # the load order has reached the host by then
HOLD_TIMER = "hold:"  # prefix of the token of a timer that ends a hold; a request id follows


class RequestLifecycle:
    """Takes each request to its final answer; owns all requests that are not finished.

    Invariant: a request is in ``requests`` from its arrival until it is closed and has no attempt
    in flight. It gets exactly one final answer, unless its client cancels it.

    Attributes:
        requests: By request id.
        held: Host -> requests that wait for a check of it. The list is cleared when the check ends;
            a request leaves it after at most ``MAX_HOLD_MS``.
    """

    def __init__(
        self,
        context: Context,
        statistics: Statistics,
        rules: AttemptRules,
        load_orders: LoadOrders,
        zone_table: ZoneTable,
        chooser: HostChooser,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._statistics = statistics
        self._rules = rules
        self._load_orders = load_orders
        self._zone_table = zone_table
        self._chooser = chooser
        self.requests: dict[int, Request] = {}
        self.held: dict[Host, list[Request]] = {}

    def add(self, request: Request) -> None:
        """Add a request that has arrived."""
        self.requests[request.id] = request
        request.function.open_requests += 1

    def cancel_by_client(self, request: Request) -> None:
        """Close a request whose client no longer waits; no final answer is given."""
        request.closed = True
        self._context.queue(self.close, request)

    def route(self, request: Request) -> None:
        """Choose a host and start an attempt there, or give up.

        The first attempt is started only if its response is predicted in time.
        """
        host, order_copy_at = self._chooser.choose(request)
        if order_copy_at is not None:
            self._load_orders.order(request.function, order_copy_at)
        if host is not None and (request.attempts or self._is_in_time(request, host)):
            self.start_attempt(request, host)
            return
        request.tenant.overload_signs.add(self._context.now, host is not None)
        self.give_up(request)

    def _is_in_time(self, request: Request, host: Host) -> bool:
        """Whether the response is predicted in time, or a late host is due for a trial."""
        now = self._context.now
        tenant = request.tenant
        predicted_ms = host.load.predicted_response_ms(request.function)
        if tenant.is_over_quota(now) and tenant.is_overloaded(now):
            predicted_ms *= OVER_QUOTA_FACTOR
        objective_ms = OBJECTIVE_SHARE * request.request_class.latency_objective_ms
        if predicted_ms <= min(objective_ms, request.deadline_ms - now):
            return True
        # About one request at a time from the whole fleet goes to a host that is predicted late,
        # to find out whether it still is.
        untried_ms = now - max(host.load.response_time.at_ms, host.last_attempt_ms)
        trial_interval_ms = self._settings.gateway_count * self._statistics.mean_response_ms()
        return not host.in_flight and untried_ms > trial_interval_ms

    def start_attempt(self, request: Request, host: Host) -> None:
        """Send the request to the host if the attempt rules allow it; otherwise give up.

        If the host's lease has ended, the request waits for the check that renews it.
        """
        if not self._rules.allows(request, host):
            self.give_up(request)
            return
        context = self._context
        if not host.lease.holds(context.now):
            self.hold(request, host)
            return
        attempt = Attempt(request, host, context.now)
        request.attempts.append(attempt)
        context.actions.append(messages.StartAttempt(request.id, host.id, 0.0))
        losses = self._statistics.class_losses[request.request_class.name]
        losses.sent.add(context.now, 1.0)
        context.queue(host.record_sent, attempt, context.now)
        if not attempt.copy_was_loaded:
            request.function.pending_loads.setdefault(host, context.now)

    def hold(self, request: Request, host: Host) -> None:
        """Hold the request until a check of the host ends.

        The wait takes at most ``MAX_HOLD_MS`` and at most half of the time to the deadline.
        """
        now = self._context.now
        host.lease.request_check(now)
        request.held_for = host
        self.held.setdefault(host, []).append(request)
        hold_ms = max(0.0, min(MAX_HOLD_MS, (request.deadline_ms - now) / 2))
        request.held_until_ms = now + hold_ms
        self._context.set_timer(hold_ms, f"{HOLD_TIMER}{request.id}")

    def end_hold(self, request: Request) -> None:
        """End the wait of a held request: another host is chosen.

        The timer of an earlier wait, one that a check has ended, is ignored: it fires before the
        end of the current wait.
        """
        host = request.held_for
        if host is None or self._context.now < request.held_until_ms:
            return
        self.held[host].remove(request)
        if not self.held[host]:
            del self.held[host]
        request.skipped_hosts.append(host)
        self._release(request)

    def release_held(self, host: Host) -> None:
        """Route the requests again that were held for a check of the host, which has ended."""
        for request in self.held.pop(host, ()):
            self._release(request)

    def _release(self, request: Request) -> None:
        request.held_for = None
        if not request.closed:
            self._context.queue(self.route, request)

    def continue_request(
        self, request: Request, attempt: Attempt, ended: messages.AttemptEnded
    ) -> None:
        """Decide after an attempt: close the request, wait for a load, give up or route again."""
        now = self._context.now
        if ended.outcome == AttemptOutcome.SUCCEEDED:
            self._statistics.record_success(attempt, ended, len(self._zone_table.owners))
        elif ended.outcome == AttemptOutcome.FULL:
            request.tenant.overload_signs.add(now, attempt.copy_was_loaded)
        request.closed = request.closed or ended.request_closed
        if request.closed or request.streaming or request.attempts_in_flight():
            self.close(request)
        elif (
            ended.outcome == AttemptOutcome.FUNCTION_MISSING
            and self._settings.reports_missing
            and self._load_orders.order(request.function, attempt.host)
        ):
            delay_ms = min(LOAD_ORDER_RETRY_MS, request.deadline_ms - now - 1)
            self._context.set_timer(delay_ms, str(request.id))
        elif request.tenant.is_overloaded(now):
            self.give_up(request)
        else:
            self._context.queue(self.route, request)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt so that it can be retried, or because its request is closed.

        Only attempts of idempotent requests that do not stream are cancelled.
        """
        request = attempt.request
        if (
            not self._settings.may_cancel
            or attempt.outcome is not None
            or request.streaming
            or request.request_class.retry_safety != RetrySafety.IDEMPOTENT
        ):
            return
        may_retry = len(
            request.attempts
        ) < self._settings.max_attempts and not request.tenant.is_overloaded(self._context.now)
        if request.closed or may_retry:
            index = request.attempts.index(attempt)
            self._context.actions.append(messages.CancelAttempt(request.id, index))

    def give_up(self, request: Request) -> None:
        """Give the final answer now: rejected if a repeat is safe, otherwise failed."""
        if request.closed:
            return
        request.closed = True
        settings = self._settings
        context = self._context
        mean_ms = max(self._statistics.mean_response_ms(), MIN_RETRY_AFTER_BASE_MS)
        jitter = 1 + context.next_random()
        retry_after_ms = min(settings.max_retry_after_ms, mean_ms) * jitter / 2
        if self._is_safe_to_repeat(request):
            context.actions.append(messages.RejectRequest(request.id, retry_after_ms))
        else:
            context.actions.append(messages.FailRequest(request.id))
        self.close(request)

    def _is_safe_to_repeat(self, request: Request) -> bool:
        """Whether the client can send the request again without a second effect."""
        request_class = request.request_class
        may_have_run = request.attempts_that_may_have_run()
        if not may_have_run or request_class.retry_safety == RetrySafety.IDEMPOTENT:
            return True
        if (
            request_class.retry_safety != RetrySafety.IDEMPOTENCY_KEY
            or request_class.dedup_scope != "all"
        ):
            return False
        age_ms = self._context.now - may_have_run[0].sent_at_ms
        return age_ms < CLIENT_RETRY_SHARE_OF_DEDUP_WINDOW * request_class.dedup_window_ms

    def close(self, request: Request) -> None:
        """Cancel the attempts in flight of a closed request; remove it when none is left."""
        if not request.closed:
            return
        in_flight = request.attempts_in_flight()
        for attempt in in_flight:
            self._context.queue(self.cancel_attempt, attempt)
        if not in_flight and request.id in self.requests:
            del self.requests[request.id]
            request.function.open_requests -= 1
