"""One tiny fake fleet for all stories: hosts a, b, c ... whose answers are fed to a gateway by hand."""

from cherrydoor.routing import Router
from cherrydoor.routing import messages as routing

CLAUSE = routing.RequestClass("redraft", 500.0, 5000.0)
LEASE = routing.Settings(
    0,
    2,
    7,
    "z1",
    1.0,
    (CLAUSE,),
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
    def __init__(self, hosts="abcd", **said):
        self.router, self.now, self.events = Router(LEASE._replace(**said)), 100000.0, 0
        self.router.start(self.now)
        self.rows = {
            h: routing.Endpoint(h, routing.HostState.READY, 0.0, "z1" if h in "ab" else "z2", 0)
            for h in hosts
        }
        self.sent, self.crowd = (
            {},
            0,
        )  # event -> hosts of its launches; what answers tell of a function
        self.list(routing.UpdateKind.CACHED)

    def take(self, note, later=0.0):
        self.now += later
        actions = self.router.take(self.now, note)
        for a in actions:
            if isinstance(a, routing.StartAttempt):
                self.sent.setdefault(a.request_id, []).append(a.host)
        return actions

    def list(self, how=routing.UpdateKind.SNAPSHOT, **changed):
        for host, new in changed.items():
            self.rows[host] = self.rows.get(
                host, routing.Endpoint(host, routing.HostState.READY, 0.0, "z2", 1)
            )._replace(**new)
        return self.take(routing.EndpointsUpdated(how, tuple(self.rows.values())))

    def event(self, function="deed", max_age=5000.0, party="", later=0.0):
        self.events += 1
        return self.events, self.take(
            routing.RequestArrived(
                self.events, "redraft", party, function, self.now + later + max_age, 4.0, 0.0
            ),
            later,
        )

    def answer(
        self, event, fate=routing.AttemptOutcome.SUCCEEDED, copy=1, took=50.0, over=None, later=0.0
    ):
        n = len(self.sent[event]) - 1
        over = fate == routing.AttemptOutcome.SUCCEEDED if over is None else over
        return self.take(
            routing.AttemptEnded(event, n, fate, over, self.sent[event][n], took, copy, self.crowd),
            later,
        )

    def handle(self, function="deed", copy=1, later=10.0):
        event, _ = self.event(function, later=later)
        self.answer(event, copy=copy, later=later)
        return self.sent[event][0]

    def rest(self, time, step=100.0):
        """Lets time pass; returns all actions of the sweeps."""
        found = []
        for _ in range(int(time / step)):
            found += self.take(routing.TimerFired("sweep"), step)
        return found


def kinds(actions):
    return [type(a) for a in actions if not isinstance(a, routing.SetTimer)]
