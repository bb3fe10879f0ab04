"""Load orders and their quota."""

from collections import deque

from cherrydoor.routing import messages
from cherrydoor.routing.context import Context
from cherrydoor.routing.function import Function
from cherrydoor.routing.host import Host

# Orders are counted in a longer window and requests in a shorter one. Both errors keep the number
# of orders within the quota.
ORDER_WINDOW_MARGIN = 1.01
REQUEST_WINDOW_MARGIN = 0.99


class LoadOrders:
    """Sends load orders within the quota; owns the times of orders and of accepted requests.

    Invariant: within any quota window, the number of orders is at most the quota's base plus its
    share of the requests accepted in the window.
    """

    __slots__ = ("_accepted_ms", "_context", "_ordered_ms")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ordered_ms: deque[float] = deque()
        self._accepted_ms: deque[float] = deque()

    def record_request(self) -> None:
        """Count a request that is accepted now."""
        if self._context.settings.load_quota_window_ms:
            self._accepted_ms.append(self._context.now)

    def drop_old_requests(self) -> None:
        """Drop requests that are older than the quota window."""
        window_ms = self._context.settings.load_quota_window_ms
        self._drop_old(self._accepted_ms, REQUEST_WINDOW_MARGIN * window_ms)

    def order(self, function: Function, host: Host) -> bool:
        """Order a copy of the function at the host.

        Returns:
            Whether a load is pending at the host. False if an order is not allowed now; True
            without another order if a load is already pending.
        """
        settings = self._context.settings
        window_ms = settings.load_quota_window_ms
        self._drop_old(self._ordered_ms, ORDER_WINDOW_MARGIN * window_ms)
        self.drop_old_requests()
        if host in function.pending_loads:
            return True
        quota = settings.load_quota_base + settings.load_quota_share * len(self._accepted_ms)
        if window_ms and len(self._ordered_ms) + 1 > quota:
            return False
        if not settings.may_order_loads or host.state != messages.HostState.READY:
            return False
        if not host.lease.holds(self._context.now):
            host.lease.request_check(self._context.now)
            return False
        if window_ms:
            self._ordered_ms.append(self._context.now)
        self._context.actions.append(messages.OrderLoad(function.name, host.id, 1))
        function.pending_loads.setdefault(host, self._context.now)
        return True

    def _drop_old(self, times_ms: deque[float], window_ms: float) -> None:
        oldest_ms = self._context.now - window_ms
        while times_ms and times_ms[0] <= oldest_ms:
            times_ms.popleft()
