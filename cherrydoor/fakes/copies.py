"""What a host is, the copies of a function that it holds, and an event on them."""

from collections import deque

from cherrydoor.fakes.record import now


class HostSpec:
    """What a host is: figures that its commands may change while it runs. Times in ms, memory in MB."""

    def __init__(
        self,
        cores=2,
        speed=1.0,
        memory=6000.0,
        queue=24,
        loads=4,
        keep=10000.0,
        eager=True,
        disk=8000.0,
        cold_from=1.0,
        cold=0.0,
        multiple=0.0,
        fall=0.0,
        report=300.0,
        late=0.0,
        noise=0.05,
        tells_held=False,
        error_rate=0.0,
        remember=5000.0,
        zone="",
        cell=0,
        misses=False,
        load_fail=0.0,
        tells_copy=True,
        tells_crowd=True,
        tells_queue=False,
        tells_tied=False,
    ):
        self.__dict__.update({k: v for k, v in locals().items() if k != "self"})


class Copies:
    """One function at one host: copies standing and loading, events on them and waiting for them."""

    def __init__(self, name):
        self.name, self.facts, self.standing, self.loading, self.running = name, None, 0, 0, 0
        self.waiting, self.used, self.release, self.asked = deque(), 0.0, 0, []

    def held(self):
        return self.running + len(self.waiting)

    def idle(self):
        lanes = self.facts.lanes if self.facts else 1
        return self.standing - -(-self.running // lanes)


class RunningAttempt:
    """An event at a host."""

    def __init__(self, end, launch, copies, origin=("", 0), number=0):
        """origin: the gateway that took the event, and its life; number: the host's own for this job."""
        self.origin, self.number = origin, number
        self.end, self.launch, self.copies, self.copy, self.concurrent = end, launch, copies, 1, 0
        self.serial, self.ended, self.at = None, False, now()
