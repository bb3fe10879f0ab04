"""How often a gateway launches each function at each site: what a drain has to move, second workers and lent places
among it. Pure. Times are ms.

Table: `counts`, by function and site, halves each HALVES; what has faded goes, and it is bounded by MOST functions.
"""

HALVES = 4000.0
MOST = 4000  # functions
LEAST = 0.05  # of a launch, below which a count has faded


class Calls:
    def __init__(self, now):
        self.counters, self.at, self.begun = {}, now, now

    def launched(self, function, site):
        found = self.counters.get(function)
        if found is None:
            if len(self.counters) >= MOST:
                return
            found = self.counters[function] = {}
        found[site] = found.get(site, 0.0) + 1.0

    def fade(self, now):
        """To be called now and then; nothing is read in between."""
        part = 0.5 ** ((now - self.at) / HALVES)
        self.at = now
        for function in list(self.counters):
            left = {
                site: n * part for site, n in self.counters[function].items() if n * part >= LEAST
            }
            if left:
                self.counters[function] = left
            else:
                del self.counters[function]

    def rates(self, now, site):
        """[(function, events a second at the site)], the busiest first.

        >>> calls = Calls(0.0)
        >>> for t in range(0, 60000, 100): calls.fade(float(t)); calls.launched("a", "s")
        >>> [(name, round(rate)) for name, rate in calls.rates(60000.0, "s")]
        [('a', 10)]
        """
        self.fade(now)
        seconds = HALVES / 1000 / 0.693 * (1 - 0.5 ** ((now - self.begun) / HALVES))
        found = [
            (name, n[site] / max(seconds, 0.1)) for name, n in self.counters.items() if site in n
        ]
        return sorted(found, key=lambda one: (-one[1], one[0]))
