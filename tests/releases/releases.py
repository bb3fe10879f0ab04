"""One gateway's versions, with time moved by hand."""

from cherrydoor.releases import decide as d

NOW = 1.8e12


class Gate:
    """Keeps what was said, and says what a test would."""

    def __init__(self):
        self.now, self.versions, self.said, self.loads, self.unloads = (
            NOW,
            d.Versions(NOW),
            [],
            [],
            [],
        )

    def take(self, note):
        actions = self.versions.take(self.now, note)
        for action in actions:
            if isinstance(action, d.Said):
                self.said.append((action.function, action.version, action.state, action.why))
            elif isinstance(action, d.LoadAhead):
                self.loads.append(action.name)
            else:
                self.unloads.append((action.name, action.hosts))
        return actions

    def wait(self, ms, step=500.0):
        for _ in range(int(ms / step)):
            self.now += step
            self.take(d.Tick())

    def announce(self, function="deed", version=1, state=d.ANNOUNCED):
        return self.take(d.Fed(function, version, state))

    def call(self, function="deed", document="d"):
        return self.versions.choose(function, document)

    def end(self, name, fate="handled", took=50.0, host="h", **more):
        return self.take(d.Ended(name, host, fate, took, **more))

    def load(self, name, fate="handled", ms=400.0):
        self.now += ms
        return self.take(d.Loaded(name, fate, ms))

    def trial(self, function="deed", version=1, calls=40):
        """A release on trial of a function that has been called."""
        for i in range(calls):
            self.end(self.call(function, f"w{i}"), took=40.0 + i % 20)
        self.announce(function, version)
        self.load(d.name_of(function, version))
        return self.state(function)

    def state(self, function="deed"):
        return self.versions.lines[function].release.state
