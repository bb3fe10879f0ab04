"""A small fake fleet for the tests of the router; the test responds for its hosts a, b, c ..."""

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
    """A router and its hosts. The keyword arguments ``settings`` replace fields of ``SETTINGS``.

    Attributes:
        now: Time in ms.
        endpoints: Host id -> its entry in the endpoint list.
        sent: Request id -> ids of the hosts of its attempts, in order.
        concurrency: Requests of the same function that each response reports.
    """

    def __init__(self, hosts="abcd", **settings):
        self.router = Router(SETTINGS._replace(**settings))
        self.now = 100000.0
        self.request_count = 0
        self.router.start(self.now)
        self.endpoints = {
            host: routing.Endpoint(
                host, routing.HostState.READY, 0.0, "z1" if host in "ab" else "z2", 0
            )
            for host in hosts
        }
        self.sent = {}
        self.concurrency = 0
        self.update_endpoints(routing.UpdateKind.CACHED)

    def take(self, message, delay_ms=0.0):
        """Gives the router a message after a delay; returns the actions."""
        self.now += delay_ms
        actions = self.router.take(self.now, message)
        for action in actions:
            if isinstance(action, routing.StartAttempt):
                self.sent.setdefault(action.request_id, []).append(action.host)
        return actions

    def update_endpoints(self, kind=routing.UpdateKind.SNAPSHOT, **changed):
        """Sends the whole endpoint list, with the changed fields of each host."""
        for host, fields in changed.items():
            old = self.endpoints.get(
                host, routing.Endpoint(host, routing.HostState.READY, 0.0, "z2", 1)
            )
            self.endpoints[host] = old._replace(**fields)
        return self.take(routing.EndpointsUpdated(kind, tuple(self.endpoints.values())))

    def request(self, function="thumbnail", timeout_ms=5000.0, tenant="", delay_ms=0.0):
        """Sends a request; returns its id and the actions."""
        self.request_count += 1
        deadline_ms = self.now + delay_ms + timeout_ms
        arrived = routing.RequestArrived(
            self.request_count, "redraft", tenant, function, deadline_ms, 4.0, 0.0
        )
        return self.request_count, self.take(arrived, delay_ms)

    def end_attempt(
        self,
        request_id,
        outcome=routing.AttemptOutcome.SUCCEEDED,
        copy=1,
        duration_ms=50.0,
        closed=None,
        delay_ms=0.0,
    ):
        """Ends the latest attempt of the request; returns the actions."""
        index = len(self.sent[request_id]) - 1
        if closed is None:
            closed = outcome == routing.AttemptOutcome.SUCCEEDED
        host = self.sent[request_id][index]
        ended = routing.AttemptEnded(
            request_id, index, outcome, closed, host, duration_ms, copy, self.concurrency
        )
        return self.take(ended, delay_ms)

    def serve(self, function="thumbnail", copy=1, delay_ms=10.0):
        """Sends a request that succeeds; returns the id of its first host."""
        request_id, _ = self.request(function, delay_ms=delay_ms)
        self.end_attempt(request_id, copy=copy, delay_ms=delay_ms)
        return self.sent[request_id][0]

    def pass_time(self, time_ms, step_ms=100.0):
        """Advances the time with a sweep after each step; returns all actions of the sweeps."""
        actions = []
        for _ in range(int(time_ms / step_ms)):
            actions += self.take(routing.TimerFired("sweep"), step_ms)
        return actions


def kinds(actions):
    """Returns the types of the actions, without timers."""
    return [type(action) for action in actions if not isinstance(action, routing.SetTimer)]
