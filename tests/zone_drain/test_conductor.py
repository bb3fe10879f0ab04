"""A drain as its conductor leads it: when the next wave goes out, and who goes on with it."""

from play import LOTS, Play

from cherrydoor.protocol.zone_drain import DrainWave
from cherrydoor.zone_drain import decide as d
from cherrydoor.zone_drain import opening as o
from cherrydoor.zone_drain.plan import Lot


def test_a_wave_goes_out_when_its_copies_stand_and_the_next_when_all_confirm():
    play = Play()
    assert play.wave is None and play.opens == ["iron"]
    play.done(play.one.stands(10.0, "iron", "h3"))
    assert play.wave.wave == 1 and ("iron", "h3") in [
        (c.function, c.host) for c in play.wave.copies
    ]
    play.later(2000.0)
    play.confirm(["a"])
    assert play.wave.wave == 1 and play.one.state == "moving", "b has not confirmed"
    play.confirm(["b"])
    assert play.wave.wave == 2 and [a.share for a in play.wave.away if a.function == "gold"] == [
        1.0
    ]


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
    assert (
        "zinc" not in {a.function for a in play.wave.away} and "zinc" in play.one.openings.opening
    )
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


def test_the_next_conductor_goes_on_from_the_highest_wave_that_anybody_holds():
    play = Play()
    play.done(play.one.stands(10.0, "iron", "h3"))
    last = play.wave
    after = Play(last=last, number=2)
    assert after.one.wave > last.wave and after.one.at == 2
    more = Play(
        [*LOTS, Lot("new", 30.0, 9.0)], last=DrainWave("s", 2, 9, "a", "empty", last.away), number=3
    )
    assert more.wave.state == "emptying", "what is steered there no more is not steered there again"
    shares = {a.function: a.share for a in last.away}
    after.later(2000.0)
    after.confirm()
    assert all(
        {a.function: a.share for a in after.wave.away}.get(f, 0) >= s for f, s in shares.items()
    )


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
    after = Play(last=play.wave, number=2)
    assert (
        after.wave.state == "held"
        and after.wave.why == "by an operator"
        and not after.later(60000.0)
    )
    for held in (play, after):
        held.done(held.one.operator(held.now, "resume"))
        assert held.opens == ["iron"]
