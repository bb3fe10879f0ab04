"""What each function is: memory, lanes, work, and how long a load takes, all from its name by the days' ranges."""

from zlib import crc32

from cherrydoor.protocol import messages as protocol


class Catalogue:
    """Ranges as [least, most]: memory in MB, load and work in ms; lanes a list to draw from; fetch the part of a load
    that is the fetch, core the part of the rest that takes a core."""

    def __init__(
        self, memory=(400, 800), load=(400, 900), work=(40, 75), lanes=(4,), fetch=0.75, core=0.4
    ):
        self.memory, self.load, self.work, self.lanes = memory, load, work, lanes
        self.fetch, self.core, self.known = fetch, core, {}

    def __call__(self, function):
        facts = self.known.get(function)
        if facts is None:
            if len(self.known) > 100000:  # derived from the name alone: dropping all loses nothing
                self.known.clear()
            name = function.partition("@")[0]
            load = self.within(self.load, name, "load")
            facts = self.known[function] = protocol.FetchResult(
                0,
                "handled",
                0,
                self.within(self.memory, name, "memory"),
                int(self.lanes[crc32(f"lanes/{name}".encode()) % len(self.lanes)]),
                self.within(self.work, name, "work"),
                load * (1 - self.fetch),
                self.core,
            )
        return facts

    def within(self, ends, name, what):
        return ends[0] + (ends[-1] - ends[0]) * crc32(f"{what}/{name}".encode()) / 2.0**32

    def fetch_time(self, function):
        return self.within(self.load, function.partition("@")[0], "load") * self.fetch
