"""What gateways report of a drain: which wave each goes by, what it has in hand, how its events fare. Pure."""

LEAST = 30  # events by which a share within target is judged
KEPT = 400  # reports that shares are made of
LOOK, CROWD = (
    250.0,
    50,
)  # ms between two reports of one gateway, longer by each so many gateways there are


def pause(gateways):
    """ms between two reports of a gateway in a fleet of so many, so that a conductor has some 200 a second to read. A
    new wave is confirmed at once in any.

    >>> pause(8), pause(1000)
    (250.0, 5000.0)
    """
    return LOOK * -(-gateways // CROWD)


class Report:
    """What one gateway last said."""

    def __init__(self):
        self.wave, self.in_hand, self.heard, self.incarnation = (0, 0), 0, 0.0, 0


class Watch:
    """`reports` is bounded by the names of gateways."""

    def __init__(self):
        self.reports, self.good = {}, []  # good: (when, good, taken) of the last reports

    def heard(self, now, report):
        """False where it is of an earlier life than what was heard before."""
        held = self.reports.setdefault(report.gateway, Report())
        if report.incarnation < held.incarnation:
            return False
        held.wave, held.in_hand, held.heard, held.incarnation = (
            (report.number, report.wave),
            report.in_hand,
            now,
            report.incarnation,
        )
        if report.taken:
            self.good.append((now, report.good, report.taken))
            del self.good[:-KEPT]
        return True

    def late(self, living, wave):
        """Living gateways that have not confirmed this wave."""
        return [
            name for name in living if name not in self.reports or self.reports[name].wave < wave
        ]

    def busy(self, living):
        """Living gateways with something in hand at the site."""
        return [name for name in living if name in self.reports and self.reports[name].in_hand]

    def share(self, since):
        """(the share within target of all that was answered since then, None where that is too little to tell; of how
        many events)."""
        good = sum(g for t, g, _ in self.good if t >= since)
        pending = sum(n for t, _, n in self.good if t >= since)
        return (good / pending if pending >= LEAST else None), max(1, pending)
