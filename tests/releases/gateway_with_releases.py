"""A rollout controller with a clock that the test advances."""

from cherrydoor.releases.controller import RolloutController
from cherrydoor.releases.messages import (
    AttemptEnded,
    LoadAhead,
    LoadEnded,
    ReleaseChanged,
    ReleaseState,
    ReleaseUpdated,
    Tick,
    UnloadIdle,
    version_name,
)
from cherrydoor.routing.messages import AttemptOutcome

START_MS = 1.8e12
FUNCTION = "resize"
CANARY = "resize@1"
HOST = "h"


class GatewayWithReleases:
    """Passes messages to a rollout controller and collects its actions."""

    def __init__(self):
        self.now = START_MS
        self.controller = RolloutController(START_MS)
        self.changes = []
        self.loads = []
        self.unloads = []

    @property
    def functions(self):
        return self.controller.functions

    @property
    def load_queue(self):
        return self.controller.rollouts.loads

    def take(self, message):
        actions = self.controller.take(self.now, message)
        for action in actions:
            match action:
                case ReleaseChanged():
                    self.changes.append(action)
                case LoadAhead():
                    self.loads.append(action.name)
                case UnloadIdle():
                    self.unloads.append((action.name, action.hosts))
        return actions

    def wait(self, span_ms, step_ms=500.0):
        for _ in range(int(span_ms / step_ms)):
            self.now += step_ms
            self.take(Tick())

    def announce(self, function=FUNCTION, version=1, state=ReleaseState.ANNOUNCED):
        return self.take(ReleaseUpdated(function, version, state))

    def call(self, function=FUNCTION, affinity_key="d"):
        return self.controller.version_for(function, affinity_key)

    def end(self, name, outcome=AttemptOutcome.SUCCEEDED, took_ms=50.0, **more):
        return self.take(AttemptEnded(name, HOST, outcome, took_ms, **more))

    def end_load(self, name, outcome=AttemptOutcome.SUCCEEDED, took_ms=400.0):
        self.now += took_ms
        return self.take(LoadEnded(name, outcome, took_ms))

    def start_canary(self, function=FUNCTION, version=1, calls=40):
        """Call the function, announce the version and load it; return the release's state."""
        for i in range(calls):
            self.end(self.call(function, f"w{i}"), took_ms=40.0 + i % 20)
        self.announce(function, version)
        self.end_load(version_name(function, version))
        return self.state(function)

    def release(self, function=FUNCTION):
        return self.functions[function].release

    def state(self, function=FUNCTION):
        return self.release(function).state
