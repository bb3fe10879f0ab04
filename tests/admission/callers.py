"""A guard that a test speaks for: connections by name of address, with time moved by hand."""

from cherrydoor.admission import decide as d


class Doors:
    """Keeps what the shell would: who is open, and what was said to whom."""

    def __init__(self, places=40, known=(), **more):
        self.now = 1000.0
        self.controller = d.AdmissionController(
            d.ClientLimits(places, tuple(d.KnownClientSettings(*k) for k in known), **more),
            self.now,
        )
        self.said, self.open, self.paused = {}, [], set()

    def post(self, note):
        actions = self.controller.take(self.now, note)
        for action in actions:
            caller = getattr(action, "connection", None)
            if isinstance(action, d.Reject):
                self.said[caller] = action
                if caller in self.open:
                    self.open.remove(caller)
                self.paused.discard(caller)
            elif isinstance(action, d.PauseReading):
                self.paused.add(caller)
            elif isinstance(action, d.ResumeReading):
                self.paused.discard(caller)
        return actions

    def knock(self, address="10.0.0.1", sealed=False):
        caller = d.AdmittedConnection(address, self.now)
        self.open.append(caller)
        self.post(d.ConnectionAccepted(caller, sealed))
        return caller

    def come(self, address="10.0.0.1", office=""):
        """Knocks and says who it is."""
        caller = self.knock(address)
        if caller.state == "porch":
            self.post(d.ClientIdentified(caller, office))
        return caller

    def go(self, caller):
        if caller in self.open:
            self.open.remove(caller)
        self.post(d.ConnectionClosed(caller))

    def wait(self, ms, busy=0.0, descriptors=0.0, memory=0.0, steps=None):
        """Time passes, with a measurement in each window."""
        for _ in range(steps or max(1, int(ms / d.FLOW_WINDOW))):
            self.now += d.FLOW_WINDOW
            self.post(d.UsageMeasured(descriptors, memory, busy))

    def word(self, caller):
        return self.said[caller].word if caller in self.said else ""

    def seated(self, callers):
        return [caller for caller in callers if caller.state == "seated"]


def stranger(number):
    """Addresses that share no network at any width."""
    return f"{20 + number // 256 % 90}.{number % 256}.{number * 7 % 256}.1"
