"""Derives the properties of each function from its name, within the ranges of the scenario."""

from zlib import crc32

from cherrydoor.protocol import messages as protocol


class Catalogue:
    """Maps a function's name to its `FetchResult`; the same name always gives the same values.

    Attributes:
        memory: Range [min, max] of a copy's memory, in MB.
        load: Range of the time to load a copy, in ms.
        work: Range of the mean CPU time of a request, in ms.
        lanes: The possible numbers of requests that one copy runs at a time.
        fetch: Fraction of the load time that the fetch from the function store takes.
        core: Fraction of the remaining load time in which a CPU core is used.
        cache: Results so far, by function.
    """

    def __init__(
        self, memory=(400, 800), load=(400, 900), work=(40, 75), lanes=(4,), fetch=0.75, core=0.4
    ):
        self.memory, self.load, self.work, self.lanes = memory, load, work, lanes
        self.fetch, self.core, self.cache = fetch, core, {}

    def __call__(self, function):
        facts = self.cache.get(function)
        if facts is None:
            if len(self.cache) > 100000:  # entries can be recomputed from the name alone
                self.cache.clear()
            name = function.partition("@")[0]
            load_ms = self.value_in(self.load, name, "load")
            facts = self.cache[function] = protocol.FetchResult(
                0,
                "handled",
                0,
                self.value_in(self.memory, name, "memory"),
                int(self.lanes[crc32(f"lanes/{name}".encode()) % len(self.lanes)]),
                self.value_in(self.work, name, "work"),
                load_ms * (1 - self.fetch),
                self.core,
            )
        return facts

    def value_in(self, bounds, name, quantity):
        """Returns a quantity's value for a name, spread evenly over the bounds by a hash."""
        return bounds[0] + (bounds[-1] - bounds[0]) * crc32(f"{quantity}/{name}".encode()) / 2.0**32

    def fetch_ms(self, function):
        """Returns the time to fetch a function from an idle function store, in ms."""
        return self.value_in(self.load, function.partition("@")[0], "load") * self.fetch
