"""The rules that every attempt must satisfy before it is started."""

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.host import Host
from cherrydoor.routing.request import Attempt, Request

# A retry is sent only within this share of the dedup window; the rest allows for its transit.
RETRY_SHARE_OF_DEDUP_WINDOW = 0.8
GROUP_SCOPES = ("zone", "cell")  # dedup scopes in which only a part of the hosts drops a repeat


class AttemptRules:
    """Decides whether an attempt is allowed, regardless of how well the host suits the request."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    def allows(self, request: Request, host: Host) -> bool:
        """Whether this request may be sent to this host now.

        It may not if the request is closed, streams, is past its deadline or has had all its
        attempts, if an attempt is in flight and hedging is not allowed, or if it may already have
        run and must not run again at this host. Nor may it if the host is not ready, neither has a
        lease nor can get one soon, has no warm-up budget, or is in the zone that the session of the
        request has left.
        """
        now = self._context.now
        settings = self._context.settings
        if (
            request.closed
            or request.streaming
            or now >= request.deadline_ms
            or len(request.attempts) >= settings.max_attempts
        ):
            return False
        if request.drained_zone and host.zone == request.drained_zone:
            return False
        if host.state != messages.HostState.READY or host.lease.is_unobtainable(now):
            return False
        if not host.slow_start.has_budget(now, request.request_class):
            return False
        if request.attempts_in_flight() and not settings.may_hedge:
            return False
        may_have_run = request.attempts_that_may_have_run()
        return not may_have_run or self._may_repeat(request, may_have_run[0], host)

    def _may_repeat(self, request: Request, first: Attempt, host: Host) -> bool:
        """Whether a request that may already have run can be sent to this host."""
        request_class = request.request_class
        if request_class.retry_safety == messages.RetrySafety.IDEMPOTENT:
            return True
        if request_class.retry_safety != messages.RetrySafety.IDEMPOTENCY_KEY:
            return False
        now = self._context.now
        scope = request_class.dedup_scope
        if scope == "zone" and host.zone != first.zone:
            return False
        if scope == "cell" and host.cell != first.cell:
            return False
        if scope in GROUP_SCOPES and not (first.group_known and host.identity.is_confirmed(now)):
            return False
        age_ms = now - first.sent_at_ms
        return age_ms < RETRY_SHARE_OF_DEDUP_WINDOW * request_class.dedup_window_ms
