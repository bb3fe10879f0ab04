"""One tiny fake fleet for all stories: hosts a, b, c ... whose answers are fed to a gateway by hand."""

from cherrydoor.routing import Gateway
from cherrydoor.routing import messages as io

CLAUSE = io.Clause("redraft", 500.0, 5000.0)
LEASE = io.Lease(
    0,
    2,
    7,
    "z1",
    1.0,
    (CLAUSE,),
    launches=5,
    recalls=True,
    probes=True,
    advice=1000.0,
    cold_from=0.2,
    cold=10000.0,
    fall_multiple=3.0,
    fall=2000.0,
    linger=8000.0,
)


class Fleet:
    def __init__(self, hosts="abcd", **said):
        self.gate, self.now, self.events = Gateway(LEASE._replace(**said)), 100000.0, 0
        self.gate.start(self.now)
        self.rows = {h: io.Row(h, io.READY, 0.0, "z1" if h in "ab" else "z2", 0) for h in hosts}
        self.sent, self.crowd = (
            {},
            0,
        )  # event -> hosts of its launches; what answers tell of a function
        self.list(io.SAVED)

    def take(self, note, later=0.0):
        self.now += later
        actions = self.gate.take(self.now, note)
        for a in actions:
            if isinstance(a, io.Launch):
                self.sent.setdefault(a.event, []).append(a.host)
        return actions

    def list(self, how=io.WHOLE, **changed):
        for host, new in changed.items():
            self.rows[host] = self.rows.get(host, io.Row(host, io.READY, 0.0, "z2", 1))._replace(
                **new
            )
        return self.take(io.Listing(how, tuple(self.rows.values())))

    def event(self, function="deed", max_age=5000.0, party="", later=0.0):
        self.events += 1
        return self.events, self.take(
            io.Arrival(
                self.events, "redraft", party, function, self.now + later + max_age, 4.0, 0.0
            ),
            later,
        )

    def answer(self, event, fate=io.HANDLED, copy=1, took=50.0, over=None, later=0.0):
        n = len(self.sent[event]) - 1
        over = fate == io.HANDLED if over is None else over
        return self.take(
            io.Outcome(event, n, fate, over, self.sent[event][n], took, copy, self.crowd), later
        )

    def handle(self, function="deed", copy=1, later=10.0):
        event, _ = self.event(function, later=later)
        self.answer(event, copy=copy, later=later)
        return self.sent[event][0]

    def rest(self, time, step=100.0):
        """Lets time pass; returns all actions of the sweeps."""
        found = []
        for _ in range(int(time / step)):
            found += self.take(io.Wake("sweep"), step)
        return found


def kinds(actions):
    return [type(a) for a in actions if not isinstance(a, io.Ring)]
