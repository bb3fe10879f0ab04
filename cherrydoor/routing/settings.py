"""Settings of the routing decisions, derived from the gateway's settings."""

from cherrydoor.routing import messages

MAX_RETRIES = 2  # for one request, even if the settings allow more
OVERLOAD_MARGIN = 0.9  # share of the overload factor that is used, as arrivals are random
DEFAULT_IDLE_RETENTION_MS = 6000  # assumed if the settings state none


class RoutingSettings:
    """Read-only settings of the routing decisions.

    Attributes have the meaning of the same names in ``messages.Settings``, except for these:

    Attributes:
        max_attempts: Capped, as each retry adds load.
        overload_factor: Includes ``OVERLOAD_MARGIN``.
        request_classes: Request classes by name.
        shortest_objective_ms: Shortest latency objective of all request classes.
    """

    __slots__ = (
        "drain_grace_ms",
        "gateway_count",
        "gateway_index",
        "idle_retention_ms",
        "load_quota_base",
        "load_quota_share",
        "load_quota_window_ms",
        "max_attempts",
        "max_retry_after_ms",
        "may_cancel",
        "may_hedge",
        "may_order_loads",
        "may_probe",
        "overload_factor",
        "overload_window_ms",
        "polls_endpoints",
        "reports_missing",
        "request_classes",
        "shortest_objective_ms",
        "slow_start_floor",
        "slow_start_ms",
    )

    def __init__(self, settings: messages.Settings) -> None:
        self.gateway_index = settings.gateway_index
        self.gateway_count = settings.gateway_count
        self.polls_endpoints = settings.polls_endpoints
        self.may_hedge = settings.may_hedge
        self.may_cancel = settings.may_cancel
        self.may_probe = settings.may_probe
        self.max_attempts = min(settings.max_attempts, 1 + MAX_RETRIES)
        self.max_retry_after_ms = settings.max_retry_after_ms
        self.slow_start_floor = settings.slow_start_floor
        self.slow_start_ms = settings.slow_start_ms
        self.overload_factor = OVERLOAD_MARGIN * settings.overload_factor
        self.overload_window_ms = settings.overload_window_ms
        self.idle_retention_ms = settings.idle_retention_ms or DEFAULT_IDLE_RETENTION_MS
        self.may_order_loads = settings.may_order_loads
        self.reports_missing = settings.reports_missing
        self.drain_grace_ms = settings.drain_grace_ms
        self.load_quota_base = settings.load_quota_base
        self.load_quota_share = settings.load_quota_share
        self.load_quota_window_ms = settings.load_quota_window_ms
        self.request_classes = {one.name: one for one in settings.request_classes}
        self.shortest_objective_ms = min(
            one.latency_objective_ms for one in settings.request_classes
        )
