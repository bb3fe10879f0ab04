"""What a drained site's neighbours bear, by what all gateways tell, and whether hosts of them are lost. Pure.

Each gateway tells of each site how many hosts stand by its own launches, the events a second that go there from it and
how long answers take. Hosts are counted by the middle of all words, so that a gateway that is cut off, or blind, makes
nobody think that a site is lost. What a host has at work follows from rate and time (Little), and from that the least
that it can do: the time of one event, taken one by one, is its answer's time shared by what is there. A host of many
cores can do more, which shows as it is given more; so this is what neighbours are *known* to bear. Times are ms.
"""

from typing import NamedTuple

FRESH = (
    15000.0  # ms for which a gateway's word counts: three of the longest pauses between two words
)
LOST = 0.25  # share of the neighbours' hosts that has to be missing before waves wait for them
FULL = 0.9  # of what neighbours can do, that may be filled; when some are lost the site takes back the rest


class Site(NamedTuple):
    """hosts that stand, events a second that go there, how busy they are at the most: None where nothing tells it."""

    hosts: int
    rate: float
    busy: float | None


def middle(values):
    """The lower one of the two in the middle.

    >>> middle([6, 2, 5]), middle([6, 0])
    (5, 0)
    """
    return sorted(values)[(len(values) - 1) // 2]


def busy(rate, took, hosts):
    """The share at the most of what hosts can do that they do: at work over one more than at work.

    >>> busy(40.0, 50.0, 2), busy(40.0, None, 2)
    (0.5, None)
    """
    if not hosts or not took:
        return None
    at_work = rate * took / 1000 / hosts
    return at_work / (1 + at_work) or None


def gathered_sites(rows):
    """name -> Site of all gateways' words. rows: one list of (site, events a second, ms of an answer, hosts) a gateway.

    >>> gathered_sites([[("a", 60.0, 50.0, 4)], [("a", 20.0, None, 4)], [("a", 0.0, 80.0, 0)]])
    {'a': Site(hosts=4, rate=80.0, busy=0.5)}
    """
    told: dict = {}
    for one in rows:
        for name, rate, took, hosts in one:
            told.setdefault(name, []).append((rate, took, hosts))
    found = {}
    for name, words in told.items():
        hosts, rate = middle([hosts for _, _, hosts in words]), sum(rate for rate, _, _ in words)
        known = [(rate, took) for rate, took, _ in words if took is not None and rate]
        weight = sum(rate for rate, _ in known)
        took = sum(rate * took for rate, took in known) / weight if weight else None
        found[name] = Site(hosts, rate, busy(rate, took, hosts))
    return found


def room_of(sites, site):
    """Events a second that the other sites are known to bear beyond what they have, filled to FULL; None where nothing
    tells how busy they are.

    >>> room_of({"a": Site(4, 50.0, 0.9), "b": Site(4, 40.0, 0.5), "c": Site(4, 40.0, None)}, "a")
    32.0
    """
    told = [one for name, one in sites.items() if name != site and one.busy]
    if not told:
        return None
    return sum(one.rate * (FULL / one.busy - 1.0) for one in told if one.busy < FULL)


class Neighbours:
    """The other sites since a drain began: `most` hosts of each, and what they could do by then."""

    def __init__(self, site):
        self.site, self.sites, self.most, self.could = site, {}, {}, {}

    def heard(self, sites):
        """sites: name -> Site, of all words that are fresh."""
        self.sites = sites
        for name, one in sites.items():
            if name != self.site and one.hosts >= self.most.get(name, 1):
                self.most[name] = one.hosts
                if one.busy:
                    self.could[name] = max(one.rate / one.busy, self.could.get(name, 0.0))

    def standing(self):
        """The share of the neighbours' hosts that stands."""
        most = sum(self.most.values())
        now = sum(
            min(self.most[name], self.sites[name].hosts) if name in self.sites else 0
            for name in self.most
        )
        return now / most if most else 1.0

    def lost(self):
        """Why no wave goes out, "" where nothing is lost."""
        if self.standing() > 1 - LOST:
            return ""
        short = [
            f"{name} {self.sites[name].hosts if name in self.sites else 0} of {most}"
            for name, most in sorted(self.most.items())
            if name not in self.sites or self.sites[name].hosts < most
        ]
        return "neighbours are lost: " + ", ".join(short) + " hosts stand"

    def excess(self):
        """Events a second beyond what neighbours bear that are left; 0 where it is not known."""
        could = sum(
            full * self.sites[name].hosts / self.most[name]
            for name, full in self.could.items()
            if name in self.sites
        )
        if not self.could or not self.lost():
            return 0.0
        return max(
            0.0,
            sum(one.rate for name, one in self.sites.items() if name != self.site) - FULL * could,
        )

    def takes_back(self):
        """Whether the drained site's own hosts still stand."""
        return self.site in self.sites and self.sites[self.site].hosts > 0
