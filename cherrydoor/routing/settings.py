"""The figures that the decisions use, derived from the gateway's settings."""

from cherrydoor.routing import messages

MAX_RETRIES = 2  # further attempts for one request, whatever the settings allow
OVERLOAD_MARGIN = 0.9  # share of the overload factor that is used: requests arrive by chance
DEFAULT_IDLE_RETENTION_MS = 6000  # how long an idle copy is held to stay where nothing is said


class RoutingSettings:
    """Settings of the decisions; read-only once made.

    Fields named as in ``messages.Settings`` mean the same. ``max_attempts`` is capped, as each
    retry adds load. ``overload_factor`` includes the margin. ``shortest_objective_ms`` is the
    least latency objective of all request classes. ``drain_grace_ms`` is None where none is stated.
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
