"""A conductor and gateways that answer as they are told."""

from cherrydoor.protocol.zone_drain import ParticipantReport
from cherrydoor.zone_drain import decide as d
from cherrydoor.zone_drain import waves as w
from cherrydoor.zone_drain.neighbours import Site
from cherrydoor.zone_drain.plan import Lot, plan

LOTS = [
    Lot("gold", 10.0, 5.0, hosts=("h1",)),
    Lot("iron", 20.0, 1.0),
    Lot("lead", 10.0, 0.5, hosts=("h2",)),
]


class Play:
    """A conductor and gateways that answer as they are told."""

    def __init__(self, lots=LOTS, room=100.0, names=("a", "b"), last=None, number=1, hosts=()):
        self.now, self.names, self.good = 0.0, list(names), 1.0
        self.made = plan(lots, room, 0.5)
        self.one = d.Conductor(
            "s",
            number,
            "a",
            self.made,
            lambda: self.names,
            0.0,
            last,
            [("gold", "gold", "h1")],
            lambda: hosts,
        )
        self.done(self.one.start(0.0))

    def done(self, actions):
        self.opens = [a.function for a in actions if isinstance(a, w.Open)]
        self.asked = [a.host for a in actions if isinstance(a, d.Ask)]
        waves = [a.wave for a in actions if isinstance(a, w.Say)]
        self.wave = waves[-1] if waves else getattr(self, "wave", None)
        return bool(waves)

    def confirm(self, names=None, in_hand=0, wave=None):
        for name in names or self.names:
            self.done(
                self.one.followed(
                    self.now,
                    ParticipantReport(
                        name,
                        1,
                        "s",
                        self.one.number,
                        self.one.wave if wave is None else wave,
                        in_hand,
                        100,
                        int(100 * self.good),
                    ),
                )
            )

    def word(self, host, in_hand, came, by=()):
        """A host's own count, and then some time."""
        self.now += 700.0
        self.done(self.one.tick(self.now))
        self.done(self.one.counted(self.now, host, (in_hand, came, by)))

    def later(self, ms):
        self.now += ms
        return self.done(self.one.tick(self.now))


def all_away(play):
    """Until sessions have moved as far as the plan says."""
    while play.one.state not in ("emptying", "empty"):
        play.done(play.one.stands(play.now, "iron", "h3"))
        play.later(2000.0)
        play.confirm()


def fleet(east, west=4, own=4, busy=0.4, rate=20.0):
    """What all gateways tell of two neighbours and of the site itself."""
    return {
        "east": Site(east, rate, busy),
        "west": Site(west, rate, busy),
        "s": Site(own, 10.0, 0.4),
    }


def fallen(play, good, most=60):
    """Some time with that share within target; how long it was until another wave, ms."""
    begun, before, play.good = play.now, play.wave.wave, good
    while play.wave.wave == before and most:
        play.later(400.0)
        play.confirm()
        most -= 1
    return play.now - begun
