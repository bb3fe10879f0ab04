"""A tiny fake fleet for all tests of the router: hosts a, b, c ... that the test responds for."""

from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing

REQUEST_CLASS = routing.RequestClass("redraft", 500.0, 5000.0)
SETTINGS = routing.Settings(
    0,
    2,
    7,
    "z1",
    1.0,
    (REQUEST_CLASS,),
    max_attempts=5,
    may_cancel=True,
    may_probe=True,
    max_retry_after_ms=1000.0,
    slow_start_floor=0.2,
    slow_start_ms=10000.0,
    overload_factor=3.0,
    overload_window_ms=2000.0,
    idle_retention_ms=8000.0,
)


class Fleet:
    """A router and its hosts; ``settings`` are changes to ``SETTINGS``.

    Attributes:
        sent: Request number -> ids of the hosts of its attempts.
        concurrency: What responses tell of the concurrency of a function.
    """

    def __init__(self, hosts="abcd", **settings):
        self.router = Router(SETTINGS._replace(**settings))
        self.now = 100000.0
        self.request_count = 0
        self.router.start(self.now)
        self.rows = {
            host: routing.Endpoint(
                host, routing.HostState.READY, 0.0, "z1" if host in "ab" else "z2", 0
            )
            for host in hosts
        }
        self.sent = {}
        self.concurrency = 0
        self.update_endpoints(routing.UpdateKind.CACHED)

    def take(self, message, delay_ms=0.0):
        """Hand the router a message after so many ms; returns the actions."""
        self.now += delay_ms
        actions = self.router.take(self.now, message)
        for action in actions:
            if isinstance(action, routing.StartAttempt):
                self.sent.setdefault(action.request_id, []).append(action.host)
        return actions

    def update_endpoints(self, kind=routing.UpdateKind.SNAPSHOT, **changed):
        """Send the whole endpoint list, with changed fields by host."""
        for host, fields in changed.items():
            old = self.rows.get(host, routing.Endpoint(host, routing.HostState.READY, 0.0, "z2", 1))
            self.rows[host] = old._replace(**fields)
        return self.take(routing.EndpointsUpdated(kind, tuple(self.rows.values())))

    def request(self, function="thumbnail", timeout_ms=5000.0, tenant="", delay_ms=0.0):
        """A request arrives; returns its number and the actions."""
        self.request_count += 1
        deadline_ms = self.now + delay_ms + timeout_ms
        arrived = routing.RequestArrived(
            self.request_count, "redraft", tenant, function, deadline_ms, 4.0, 0.0
        )
        return self.request_count, self.take(arrived, delay_ms)

    def end_attempt(
        self,
        request,
        outcome=routing.AttemptOutcome.SUCCEEDED,
        copy=1,
        duration_ms=50.0,
        closed=None,
        delay_ms=0.0,
    ):
        """The latest attempt of the request ends; returns the actions."""
        index = len(self.sent[request]) - 1
        if closed is None:
            closed = outcome == routing.AttemptOutcome.SUCCEEDED
        host = self.sent[request][index]
        ended = routing.AttemptEnded(
            request, index, outcome, closed, host, duration_ms, copy, self.concurrency
        )
        return self.take(ended, delay_ms)

    def serve(self, function="thumbnail", copy=1, delay_ms=10.0):
        """A request arrives and succeeds; returns the host that it was sent to first."""
        request, _ = self.request(function, delay_ms=delay_ms)
        self.end_attempt(request, copy=copy, delay_ms=delay_ms)
        return self.sent[request][0]

    def pass_time(self, time_ms, step_ms=100.0):
        """Let time pass; returns all actions of the sweeps."""
        found = []
        for _ in range(int(time_ms / step_ms)):
            found += self.take(routing.TimerFired("sweep"), step_ms)
        return found


def kinds(actions):
    """Types of the actions but for timers."""
    return [type(action) for action in actions if not isinstance(action, routing.SetTimer)]
