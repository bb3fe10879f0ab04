"""What holds a drain up or takes a part of it back, and when a site is empty."""

from play import LOTS, Play, all_away, fallen, fleet

from cherrydoor.protocol.zone_drain import DrainWave
from cherrydoor.zone_drain import decide as d
from cherrydoor.zone_drain.leftover import AT_ONCE, Leftover
from cherrydoor.zone_drain.neighbours import Site
from cherrydoor.zone_drain.plan import Lot


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


def test_a_fall_of_what_is_within_target_holds_the_next_wave_then_steps_back_the_sooner_the_deeper():
    took = []
    for good in (0.94, 0.5):
        play = Play()
        play.confirm()
        play.done(play.one.stands(10.0, "iron", "h3"))
        took.append(fallen(play, good))
        assert play.wave.wave == 2 and play.wave.away == [] and "before" in play.one.why, (
            "the first wave went back"
        )
    assert took[0] > 4000.0 > 1.2 * took[1]


def test_after_some_steps_back_it_stands_until_an_operator_says_more():
    play = Play()
    play.confirm()
    play.done(play.one.stands(10.0, "iron", "h3"))
    for _ in range(d.BACK):
        fallen(play, 0.5)
        if play.one.state != "held":
            fallen(play, 1.0)
    assert play.one.state == "held" and fallen(play, 1.0, 10) >= 4000.0
    play.done(play.one.operator(play.now, "resume"))
    fallen(play, 1.0)
    assert play.wave.away


def even(room=25.0):
    """A drain that neighbours are not known to bear, asked for with --even."""
    return Play(LOTS, room, last=DrainWave("s", 1, 0, "a", even=True), number=2, hosts=["h8"])


def test_with_even_what_finds_no_room_is_shed_the_lowest_first_and_nothing_above_it():
    play = even()
    while play.one.at < play.one.plan.sure:
        play.done(play.one.stands(play.now, "iron", "h3"))
        play.later(2000.0)
        play.confirm()
    fallen(play, 1.0)
    assert fallen(play, 0.6) < 8000.0
    assert play.wave.state == "emptying" and play.wave.shed == ["iron", "lead"]
    assert {a.function: a.share for a in play.wave.away} == {"gold": 1.0, "iron": 0.75}


def test_what_shows_only_once_all_is_away_sheds_the_lowest_then_the_next_and_resume_tries_again():
    play = even()
    all_away(play)
    assert play.wave.shed == []
    fallen(play, 0.8)
    assert play.wave.shed == ["lead"]
    fallen(play, 0.8)
    assert play.wave.shed == ["iron", "lead"]
    shares = {a.function: a.share for a in play.wave.away}
    assert shares["gold"] == 1.0 and shares["iron"] < 1.0 and "lead" not in shares
    play.good = 1.0
    play.done(play.one.operator(play.now, "resume"))
    all_away(play)
    assert play.wave.shed == [] and {a.function: a.share for a in play.wave.away}["lead"] == 1.0


def test_without_even_what_shows_once_all_is_away_goes_back_and_it_stands_there():
    play = Play(hosts=["h8"])
    play.one.neighbours.heard(fleet(4))
    all_away(play)
    fallen(play, 0.8)
    assert play.one.state == play.wave.state == "held" and "before" in play.one.why
    play = Play(hosts=["h8"])
    play.one.neighbours.heard(fleet(4))
    all_away(play)
    play.later(60000.0)
    before = play.wave.wave
    fallen(play, 0.8, 30)
    assert play.wave.wave == before, "a fall that comes long after is not blamed on it"


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


def test_who_knows_no_list_calls_no_site_empty():
    """A gateway that has just started and conducts: it knows of no host there, which is not that there is none."""
    listed = []
    one = Leftover(lambda: listed or None)
    assert one.ask(0.0) == [] and not one.empty(9000.0) and "no list" in one.why()
    listed.append("h1")
    assert one.ask(9000.0) == ["h1"] and not one.empty(9000.0)


def test_few_hosts_are_asked_at_a_time_and_all_in_turn():
    one, asked = Leftover(lambda: [f"h{i}" for i in range(100)]), []
    for t in range(0, 2500, 10):
        now = one.ask(float(t))
        assert len(now) <= AT_ONCE
        asked += now
    assert len(asked) <= 6 * AT_ONCE and len(set(asked)) == 100
