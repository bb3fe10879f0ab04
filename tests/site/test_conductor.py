"""A drain as its conductor leads it: when the next wave goes out, what holds it up, and when a site is empty."""

from cherrydoor.frames.site import Followed, Wave
from cherrydoor.site import decide as d
from cherrydoor.site import opening as o
from cherrydoor.site.neighbours import Site
from cherrydoor.site.plan import Lot, plan

LOTS = [Lot("gold", 10.0, 5.0, hosts=("h1",)), Lot("iron", 20.0, 1.0), Lot("lead", 10.0, 0.5, hosts=("h2",))]


class Play:
    """A conductor and gateways that answer as they are told."""

    def __init__(self, lots=LOTS, room=100.0, names=("a", "b"), last=None, number=1, hosts=()):
        self.now, self.names, self.good = 0.0, list(names), 1.0
        self.made = plan(lots, room, 0.5)
        self.one = d.Conductor("s", number, "a", self.made, lambda: self.names, 0.0, last, [("gold", "gold", "h1")],
                               lambda: hosts)
        self.done(self.one.start(0.0))

    def done(self, actions):
        self.opens = [a.function for a in actions if isinstance(a, d.Open)]
        self.asked = [a.host for a in actions if isinstance(a, d.Ask)]
        waves = [a.wave for a in actions if isinstance(a, d.Say)]
        self.wave = waves[-1] if waves else getattr(self, "wave", None)
        return bool(waves)

    def confirm(self, names=None, in_hand=0, wave=None):
        for name in names or self.names:
            self.done(self.one.followed(self.now, Followed(
                name, 1, "s", self.one.number, self.one.wave if wave is None else wave, in_hand, 100,
                int(100 * self.good))))

    def word(self, host, in_hand, came, by=()):
        """A host's own count, and then some time."""
        self.now += 700.0
        self.done(self.one.tick(self.now))
        self.done(self.one.counted(self.now, host, (in_hand, came, by)))

    def later(self, ms):
        self.now += ms
        return self.done(self.one.tick(self.now))


def test_a_wave_goes_out_when_its_copies_stand_and_the_next_when_all_confirm():
    play = Play()
    assert play.wave is None and play.opens == ["iron"]
    play.done(play.one.stands(10.0, "iron", "h3"))
    assert play.wave.wave == 1 and ("iron", "h3") in [(c.function, c.host) for c in play.wave.copies]
    play.later(2000.0)
    play.confirm(["a"])
    assert play.wave.wave == 1 and play.one.state == "moving", "b has not confirmed"
    play.confirm(["b"])
    assert play.wave.wave == 2 and [a.share for a in play.wave.away if a.function == "gold"] == [1.0]


def test_a_straggler_is_waited_for_so_long_and_no_longer():
    play = Play()
    play.done(play.one.stands(10.0, "iron", "h3"))
    play.now = 100.0
    play.confirm(["a"])
    assert not play.later(d.CONFIRM - 200.0)
    assert play.later(300.0) and play.wave.wave == 2


def test_a_copy_whose_order_is_lost_is_ordered_again_and_one_that_never_stands_holds_up_no_other():
    play = Play([*LOTS, Lot("zinc", 20.0, 4.0)])
    assert play.opens == ["zinc"], "gold and a part of zinc are the first wave"
    for _ in range(o.TRIES - 1):
        play.later(o.OPEN + 1)
        assert play.opens == ["zinc"] and play.wave is None
    play.later(o.OPEN + 1)
    assert [a.function for a in play.wave.away] == ["gold"] and "zinc" in play.one.why
    while play.one.at < len(play.one.waves) - 1 or play.one.state != "copies":
        play.done(play.one.stands(play.now, "iron", "h3"))
        play.later(2000.0)
        play.confirm()
    assert "zinc" not in {a.function for a in play.wave.away} and "zinc" in play.one.openings.opening
    play.done(play.one.stands(play.now, "zinc", "h4"))
    assert {a.function: a.share for a in play.wave.away}["zinc"] == 1.0


def test_a_store_that_stops_holds_the_drain_and_an_operator_may_go_on_without_copies():
    play = Play([Lot("iron", 20.0), Lot("tin", 20.0)])
    for _ in range(40):
        play.later(2000.0)
        play.confirm()
    assert play.one.state == "held" and "no copy of" in play.one.why and not play.wave.away
    play.done(play.one.operator(play.now, "resume"))
    for _ in range(20):
        play.later(2000.0)
        play.confirm()
    assert play.one.state == "empty" and {a.function for a in play.wave.away} == {"iron", "tin"}


def all_away(play):
    """Until sessions have moved as far as the plan says."""
    while play.one.state not in ("emptying", "empty"):
        play.done(play.one.stands(play.now, "iron", "h3"))
        play.later(2000.0)
        play.confirm()


def fleet(east, west=4, own=4, busy=0.4, rate=20.0):
    """What all gateways tell of two neighbours and of the site itself."""
    return {"east": Site(east, rate, busy), "west": Site(west, rate, busy), "s": Site(own, 10.0, 0.4)}


def test_while_a_neighbour_is_lost_no_wave_goes_out_and_then_the_drain_goes_on():
    play = Play()
    play.one.neighbours.heard(fleet(4))
    play.one.neighbours.heard(fleet(0))
    play.done(play.one.stands(10.0, "iron", "h3"))
    for _ in range(10):
        play.later(2000.0)
        play.confirm()
    assert play.wave is None and "east 0 of 4" in play.one.why
    play.one.neighbours.heard(fleet(4))
    play.later(100.0)
    assert play.wave.wave == 1 and play.one.why == ""
    one_host_less = fleet(4) | {"east": Site(3, 20.0, 0.4)}
    play.one.neighbours.heard(one_host_less)
    play.later(2000.0)
    play.confirm()
    assert play.wave.wave == 2, "a single host is no neighbour"


def test_the_site_takes_back_what_neighbours_that_are_left_cannot_bear_and_only_that():
    """Each could do 50 a second. With one of two lost and 60 a second there, two lots of 10 go back: the lowest."""
    play = Play(LOTS)
    play.one.neighbours.heard(fleet(4))
    all_away(play)
    play.one.neighbours.heard(fleet(0, rate=30.0, busy=0.6))
    play.later(2000.0)
    shares = {a.function: a.share for a in play.wave.away}
    assert play.wave.state == "moving" and shares["gold"] == 1.0 and shares.get("lead", 0.0) == 0.0
    play.one.neighbours.heard(fleet(4))
    all_away(play)
    assert {a.function: a.share for a in play.wave.away}["lead"] == 1.0


def test_a_site_whose_own_hosts_are_gone_takes_nothing_back():
    play = Play(LOTS)
    play.one.neighbours.heard(fleet(4))
    all_away(play)
    before = play.wave
    play.one.neighbours.heard(fleet(0, own=0, rate=30.0, busy=0.6))
    assert not play.later(2000.0) and play.wave is before and "lost" in play.one.why


def test_a_fall_of_what_is_within_target_holds_the_next_wave_then_steps_back():
    play = Play()
    play.confirm()
    play.done(play.one.stands(10.0, "iron", "h3"))
    play.good = 0.5
    for _ in range(40):
        play.later(400.0)
        play.confirm()
        if play.wave.wave > 1:
            break
    assert play.wave.wave == 2 and play.wave.away == [] and "before" in play.one.why, "it took the first wave back"


def emptied(hosts):
    """A drain whose sessions have all moved; the site's hosts."""
    play = Play([Lot("gold", 10.0, hosts=("h1",))], hosts=hosts)
    all_away(play)
    play.confirm()
    return play


def test_it_is_empty_when_all_say_so_and_not_while_one_has_work_there():
    play = emptied([])
    assert play.wave.state == play.one.state == "empty"
    play = emptied(["h8"])
    assert play.wave.state == play.one.state == "emptying"
    play.confirm(in_hand=1)
    for _ in range(9):
        play.word("h8", 0, 7)
    assert play.one.state == "emptying" and "in hand at a" in play.one.why
    play.confirm()
    play.later(100.0)
    assert play.one.state == "empty"


def test_it_is_not_empty_while_a_host_has_what_no_gateway_tells_of():
    play = emptied(["h8", "h9"])
    for _ in range(4):
        play.word("h8", 0, 7)
        play.word("h9", 1, 5, ["g7"])
    assert play.one.state == "emptying" and "h9 has 1 in hand, of g7" in play.one.why
    for came in (6, 7, 8, 9):
        play.word("h9", 0, came)
    assert play.one.state == "emptying", "something came between any two of its words"
    for _ in range(3):
        play.word("h8", 0, 7)
        play.word("h9", 0, 9)
    assert play.one.state == "empty"


def test_a_host_that_does_not_say_is_named_until_the_list_drops_it():
    listed = ["h8", "h9"]
    play = emptied(listed)
    for _ in range(5):
        play.word("h8", 0, 7)
        play.done(play.one.counted(play.now, "h9", None))
    assert play.one.state == "emptying" and "do not say what they have: h9" in play.one.why
    listed.remove("h9")
    play.word("h8", 0, 7)
    assert play.one.state == "empty"


def test_the_next_conductor_goes_on_from_the_highest_wave_that_anybody_holds():
    play = Play()
    play.done(play.one.stands(10.0, "iron", "h3"))
    last = play.wave
    after = Play(last=last, number=2)
    assert after.one.wave > last.wave and after.one.at == 2
    more = Play([*LOTS, Lot("new", 30.0, 9.0)], last=Wave("s", 2, 9, "a", "empty", last.away), number=3)
    assert more.wave.state == "emptying", "what is steered there no more is not steered there again"
    shares = {a.function: a.share for a in last.away}
    after.later(2000.0)
    after.confirm()
    assert all({a.function: a.share for a in after.wave.away}.get(f, 0) >= s for f, s in shares.items())


def test_undo_brings_sessions_back_in_the_same_order_reversed():
    play = Play()
    play.done(play.one.stands(10.0, "iron", "h3"))
    for _ in range(6):
        play.later(2000.0)
        play.confirm()
    assert play.one.state == "empty"
    shares, seen = {a.function for a in play.wave.away}, []
    play.done(play.one.operator(play.now, "undo"))
    for _ in range(8):
        seen.append({a.function for a in play.wave.away})
        play.later(2000.0)
        play.confirm()
    assert seen[0] < shares and play.wave.state == "over" and play.wave.away == []
    assert all(after <= before for before, after in zip(seen, seen[1:], strict=False))


def test_hold_and_resume():
    play = Play()
    play.done(play.one.operator(1.0, "hold"))
    assert play.wave.state == "held" and not play.later(60000.0)
    play.done(play.one.operator(play.now, "resume"))
    assert play.opens == ["iron"] or play.wave.wave >= 1
