"""A drain's waves: in which order lots move, who follows what, and when the conductor goes on."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.frames.site import Away, Followed, Wave
from cherrydoor.site import decide as d
from cherrydoor.site import follow
from cherrydoor.site.plan import REST, Lot, gathered, plan, room_of, served

LOTS = [Lot("gold", 10.0, 5.0, hosts=("h1",)), Lot("iron", 20.0, 1.0), Lot("lead", 10.0, 0.5, hosts=("h2",))]


def test_waves_go_by_benefit_then_by_what_moving_costs_and_are_bounded():
    made = plan(LOTS, 100.0, 0.25)
    assert [[(s.function, round(s.share, 2), s.opens) for s in wave] for wave in made.waves] == [
        [("gold", 1.0, False)], [("iron", 0.5, True)], [("iron", 1.0, False)], [("lead", 1.0, False)]]
    assert made.missing == 0.0 and made.shed == []


def test_where_room_ends_the_lowest_are_deferred_and_never_the_higher_by_their_coming():
    made = plan(LOTS, 25.0)
    assert made.shed == ["iron", "lead"] and made.missing == 15.0
    last = {s.function: s.share for wave in made.waves for s in wave}
    assert last == {"gold": 1.0, "iron": 0.75}


def test_few_copies_are_opened_at_a_time():
    made = plan([Lot(f"f{i}", 1.0) for i in range(20)], 100.0, 1.0, copies=4)
    assert [sum(s.opens for s in wave) for wave in made.waves] == [4, 4, 4, 4, 4]


def test_what_is_too_small_to_stand_by_itself_goes_as_the_rest():
    lots = gathered([Lot("big", 100.0), *(Lot(f"f{i}", 0.5, 1.0, "keyed") for i in range(10))])
    assert {lot.function: lot.kind for lot in lots} == {"big": "redeliverable", REST: "keyed"}


@given(st.lists(st.tuples(st.floats(0.5, 50), st.floats(0.1, 9)), min_size=1, max_size=9), st.floats(0.0, 200.0))
@settings(max_examples=200, deadline=None)
def test_greedy_by_benefit_is_what_a_fractional_knapsack_would_take(given_, room):
    """Shares can be split, so the order of benefit is the best there is: the gap to a solver's bound is none."""
    lots = [Lot(f"f{i}", rate, benefit) for i, (rate, benefit) in enumerate(given_)]
    best, left = 0.0, room
    for lot in sorted(gathered(lots), key=lambda lot: -lot.benefit):
        best += lot.benefit * min(lot.rate, left)
        left = max(0.0, left - lot.rate)
    assert served(plan(lots, room), lots) == pytest.approx(best, abs=1e-6)


def test_room_is_what_busy_neighbours_leave_and_unknown_where_none_tells():
    assert room_of({"a": (50.0, 0.9), "b": (40.0, 0.5), "c": (40.0, None)}, "a") == 40.0
    assert room_of({"a": (50.0, 0.9), "b": (40.0, None)}, "a") is None


# ---- those who follow
def wave(number, of, state="moving", shed=(), **shares):
    return Wave("s", number, of, "c", state, [Away(k, v) for k, v in shares.items()], list(shed))


def away(follower, function="f", one="x", now=1000.0, kind="redeliverable", memory=0.0):
    return follower.tells(now, function, kind, memory, one)


def test_a_wave_under_an_old_number_or_an_older_one_undoes_nothing():
    follower = follow.Follower()
    assert follower.hear(0.0, wave(2, 3, f=0.5)) and follower.hear(1.0, wave(3, 3, f=0.5))
    for old in (wave(3, 3), wave(2, 9), wave(3, 2)):
        assert not follower.hear(2.0, old)
    assert follower.drains["s"].number == 3


def test_shares_are_nested_who_is_away_stays_away_and_others_agree():
    one, other = follow.Follower(), follow.Follower()
    sessions = [f"doc{i}" for i in range(400)]
    before: set = set()
    for number, share in enumerate((0.1, 0.4, 0.8), 1):
        for follower in (one, other):
            follower.hear(0.0, wave(1, number, f=share))
        now_away = {s for s in sessions if away(one, one=s).away == "s"}
        assert before <= now_away == {s for s in sessions if away(other, one=s).away}
        assert abs(len(now_away) / 400 - share) < 0.08
        before = now_away
    assert not any(away(one, "other", s).away for s in sessions)


def test_what_is_shed_is_deferred_at_the_end_and_not_before():
    follower = follow.Follower()
    follower.hear(0.0, wave(1, 1, shed=["lead"], gold=1.0))
    assert away(follower, "gold").away == "s" and not away(follower, "lead").defer
    follower.hear(0.0, wave(1, 2, "empty", ["lead"], gold=1.0))
    assert "no room" in away(follower, "lead").defer and not away(follower, "gold").defer
    assert away(follower, "unheard of").away == "s", "nothing new is steered there once it is to be empty"


def test_a_keyed_event_does_not_move_while_a_part_of_the_hosts_remembers_its_mark():
    follower = follow.Follower()
    follower.hear(1000.0, wave(1, 1, f=1.0))
    assert "marks" in away(follower, kind="keyed", memory=5000.0, now=5900.0).defer
    assert not away(follower, kind="keyed", memory=5000.0, now=6100.0).defer
    assert not away(follower, kind="keyed", memory=0.0, now=1100.0).defer, "all hosts remember it"


def test_a_session_is_a_document_else_a_party_and_function():
    assert follow.session("doc", "p", "f") == follow.session("doc", "q", "g") != follow.session("", "p", "f")


# ---- the conductor
class Play:
    """A conductor and gateways that answer as they are told."""

    def __init__(self, lots=LOTS, room=100.0, names=("a", "b"), last=None, number=1):
        self.now, self.names, self.good = 0.0, list(names), 1.0
        self.made = plan(lots, room, 0.5)
        self.one = d.Conductor("s", number, "a", self.made, lambda: self.names, 0.0, last, [("gold", "h1")])
        self.done(self.one.start(0.0))

    def done(self, actions):
        self.opens = [a.function for a in actions if isinstance(a, d.Open)]
        waves = [a.wave for a in actions if isinstance(a, d.Say)]
        self.wave = waves[-1] if waves else getattr(self, "wave", None)
        return bool(waves)

    def confirm(self, names=None, in_hand=0, wave=None):
        for name in names or self.names:
            self.done(self.one.followed(self.now, Followed(
                name, 1, "s", self.one.number, self.one.wave if wave is None else wave, in_hand, 100,
                int(100 * self.good))))

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


def test_a_copy_whose_order_is_lost_is_ordered_again_and_then_done_without():
    play = Play()
    for _ in range(d.TRIES - 1):
        play.later(d.OPEN + 1)
        assert play.opens == ["iron"] and play.wave is None
    assert play.later(d.OPEN + 1) and play.wave.wave == 1 and "no copy of iron" in play.one.why


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


def test_it_is_empty_when_all_say_so_and_not_while_one_has_work_there():
    play = Play([Lot("gold", 10.0, hosts=("h1",))])
    for _ in range(4):
        play.later(2000.0)
        play.confirm()
    assert play.wave.state == "empty" and play.one.state == "empty"
    play = Play([Lot("gold", 10.0, hosts=("h1",))])
    while play.wave.state != "empty":
        play.later(2000.0)
        play.confirm()
    play.confirm(in_hand=1)
    assert play.one.state == "emptying"
    play.confirm()
    assert play.one.state == "empty"


def test_the_next_conductor_goes_on_from_the_highest_wave_that_anybody_holds():
    play = Play()
    play.done(play.one.stands(10.0, "iron", "h3"))
    last = play.wave
    after = Play(last=last, number=2)
    assert after.one.wave > last.wave and after.one.at == 2
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
