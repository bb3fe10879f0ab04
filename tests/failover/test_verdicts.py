"""What becomes of a lost gateway's work in hand, event by event, and what is told of it before."""

import pytest

from cherrydoor.failover import decide as d
from cherrydoor.failover.estate import Estate, Giver, Line, Witness
from cherrydoor.protocol.failover import HostAttempt
from cherrydoor.protocol.peers import ReplicatedAttempt, ReplicatedRequest, ReplicationUpdate

KINDS = {
    "draft": d.Kind(),
    "sign": d.Kind("keyed", "all", 5000.0),
    "book": d.Kind("keyed", "zone", 5000.0),
    "file": d.Kind("at-most-once"),
}


def trust(number, clause="draft", body=b"", lasts=2000.0, key="k"):
    return ReplicatedRequest(
        number, 100 + number, "c0", clause, "f", lasts, "party", f"m{number}", key, body=body
    )


def line(clause="draft", until=2000.0):
    return Line(trust(1, clause), until, 0.0)


def verdict(clause, found=(), unheard=(), now=100.0, until=2000.0):
    return d.verdict(line(clause, until), KINDS[clause], list(found), list(unheard), now)


def job(fate="", number=0, body=b"", kept=True):
    return "h1", HostAttempt(7, "c0", 101, number, fate, body, kept)


@pytest.mark.parametrize("clause", KINDS)
def test_what_has_run_is_its_answer_and_what_is_at_work_is_adopted_whatever_its_kind(clause):
    done = verdict(clause, [job("handled", body=b"x"), job()], ["h2"])
    assert (type(done), done.outcome, done.body) == (d.Answer, "handled", b"x")
    gone = verdict(clause, [job("handled", kept=False)])
    assert gone.outcome == "dead-lettered" and "no longer held" in gone.reason
    assert isinstance(verdict(clause, [job("full", 0), job("", 1)], ["h2"]), d.Adopt)


@pytest.mark.parametrize("clause", KINDS)
def test_what_all_hosts_know_nothing_of_never_ran_and_is_launched_anew(clause):
    assert isinstance(verdict(clause), d.Anew)
    assert isinstance(verdict(clause, [job("full"), job("missing")]), d.Anew)


@pytest.mark.parametrize(
    "clause, anew", [("draft", True), ("sign", True), ("book", False), ("file", False)]
)
def test_where_a_host_does_not_say_the_kind_decides(clause, anew):
    """An at-most-once event may have run there; a keyed one harms nobody while all hosts remember its mark."""
    one = verdict(clause, (), ["h9"])
    assert (
        isinstance(one, d.Anew)
        if anew
        else one.outcome == "dead-lettered" and "may have run" in one.reason
    )
    one = verdict(clause, [job("error")])
    assert isinstance(one, d.Anew) if anew else one.outcome == "dead-lettered"


def test_a_keyed_event_is_not_launched_anew_once_hosts_may_have_forgotten_its_mark():
    assert isinstance(verdict("sign", (), ["h9"], 3900.0, 9000.0), d.Anew)
    assert verdict("sign", (), ["h9"], 4100.0, 9000.0).outcome == "dead-lettered"


def test_what_has_no_time_left_is_not_run():
    assert verdict("draft", now=1980.0).outcome == "deferred"
    assert verdict("file", now=1980.0).outcome == "deferred"
    assert verdict("file", (), ["h9"], now=1980.0).outcome == "dead-lettered"


def takeover(clauses, hosts=("h1", "h2"), out=()):
    estate = Estate("g1", 5, 0)
    for number, clause in enumerate(clauses):
        estate.lines[number] = Line(trust(number, clause), 2000.0 + number, 0.0)
        estate.lines[number].out += out
    return d.Takeover(estate, 3, hosts, KINDS, 0.0, 500.0)


class Holds:
    def __init__(self, jobs=(), highest=3):
        self.jobs, self.highest = list(jobs), highest


def test_every_host_is_asked_once_those_that_were_launched_to_among_them():
    one = takeover(["file"], out=["h7"])
    assert [ask.host for ask in one.ask()] == ["h1", "h2", "h7"] and one.ask() == []
    for host in ("h1", "h2"):
        one.said(10.0, host, Holds())
    assert not one.ready(20.0) and one.ready(501.0)
    assert one.decide(501.0)[0].outcome == "dead-lettered", "h7 did not say"


def test_a_host_that_says_nothing_matters_to_what_may_run_again_only_where_it_was_launched_there():
    one = takeover(["draft", "file"])
    one.ask()
    one.said(10.0, "h1", Holds())
    one.said(20.0, "h2", None)
    assert one.ready(20.0)
    assert [a.outcome for a in one.decide(20.0)] == ["dead-lettered"]
    assert [type(a) for a in one.next(20.0)] == [d.Anew]


def test_a_host_that_goes_by_a_higher_number_ends_it():
    one = takeover(["draft"])
    one.ask()
    one.said(10.0, "h1", Holds(highest=4))
    assert one.outdone == 4 and not one.ready(900.0)


def test_a_host_that_goes_by_another_number_has_not_said():
    """An estate was held to be unknown everywhere, as hosts went by the number of a later life that was over first."""
    one = takeover(["file"])
    one.ask()
    one.said(10.0, "h1", Holds(highest=2))
    one.said(10.0, "h2", Holds(highest=3))
    assert one.decide(20.0)[0].outcome == "dead-lettered"


def test_launches_anew_are_bounded_and_what_runs_out_of_time_meanwhile_is_counted():
    one = takeover(["draft"] * (d.IN_HAND + 50), hosts=())
    assert one.decide(0.0) == []
    assert len(one.next(0.0)) == d.IN_HAND and one.next(0.0) == [] and not one.settled
    for _ in range(d.IN_HAND):
        one.ended()
    late = one.next(2500.0)
    assert len(late) == 50 and all(a.outcome == "deferred" for a in late)
    assert one.counters["out of time"] == 50 and one.settled


# ---- entrusting
def test_a_witness_is_told_after_the_turn_and_forgets_with_the_answer():
    giver, witness = Giver(5, KINDS), Witness()
    giver.taken(0.0, trust(1, "file"), 2000.0)
    giver.launched(1, "h1")
    giver.taken(0.0, trust(2), 1500.0)
    giver.answered(2)  # within the turn: nobody hears of it
    [(name, said)] = giver.round(1.0, ["w"])
    witness.entrusted(1.0, "g1", said)
    kept = witness.estates["g1", 5]
    assert (
        name == ["w"]
        and list(kept.lines) == [1]
        and kept.lines[1].out == ["h1"]
        and kept.lines[1].until == 2000.0
    )
    assert giver.told(1) and giver.round(2.0, ["w"]) == []
    giver.launched(1, "h2")
    giver.answered(1)
    [(_, said)] = giver.round(3.0, ["w"])
    witness.entrusted(3.0, "g1", said)
    assert kept.lines == {} and giver.bytes == 0


def test_an_answer_is_told_in_its_own_turn():
    """It waited for the next word once: its gateway and its host were lost in between, and an heir launched it."""
    giver = Giver(5, KINDS)
    giver.taken(0.0, trust(1), 2000.0)
    giver.round(1.0, ["w"])
    giver.answered(1)
    assert giver.pending()
    [(_, said)] = giver.round(2.0, ["w"])
    assert said.over == [1] and not giver.pending()


def test_a_new_witness_is_told_the_whole_and_one_that_was_away_again():
    giver = Giver(5, KINDS)
    for number in range(3):
        giver.taken(0.0, trust(number), 2000.0)
        giver.launched(number, f"h{number}")
    giver.round(1.0, ["a"])
    assert [(n, s.whole, len(s.events), len(s.out)) for n, s in giver.round(2.0, ["a", "b"])] == [
        (["b"], True, 3, 3)
    ]
    giver.unheard("a")
    assert [(n, s.whole, s.rank) for n, s in giver.round(3.0, ["a", "b"])] == [(["a"], True, 0)]
    assert [(n, s.whole, s.events) for n, s in giver.round(4.0, ["b"])] == [(["a"], True, [])]


def test_past_the_bound_the_cheapest_to_lose_are_left_out_and_counted():
    giver = Giver(5, KINDS, events=3)
    for number, clause in enumerate(("draft", "sign", "file", "file", "draft", "sign")):
        giver.taken(0.0, trust(number, clause), 2000.0)
    assert sorted(giver.where) == [1, 2, 3]
    assert giver.counters["left out: redeliverable"] == 2 and giver.counters["left out: keyed"] == 1
    small = Giver(5, KINDS, size=100)
    small.taken(0.0, trust(1, "file", b"x" * 90), 2000.0)
    small.taken(0.0, trust(2, "draft", b"x" * 90), 2000.0)
    assert list(small.where) == [1] and small.bytes == 90


def test_an_estate_is_sought_when_its_life_is_lost_or_followed_and_not_when_it_leaves_or_heals():
    witness = Witness()
    for giver in "abcde":
        witness.entrusted(
            0.0, giver, ReplicationUpdate(5, 1, True, [trust(1)], [ReplicatedAttempt(1, "h1")])
        )
    seek, leave = witness.tick(
        10.0,
        {
            "a": (5, "here"),
            "b": (5, "vanished"),
            "c": (6, "here"),
            "d": (5, "left"),
            "e": (5, "silent"),
        },
        "abcde",
        500.0,
    )
    assert [e.giver for e in seek] == ["b", "c", "e"] and {e.giver for e in leave} == {"a", "d"}
    assert ("d", 5) not in witness.estates and seek[0].task == "estate/b/5"
    witness.done(20.0, "b", 5)
    witness.entrusted(30.0, "b", ReplicationUpdate(5, 0, True, [trust(2)]))
    assert ("b", 5) not in witness.estates, "an estate that is settled takes nothing more"
    witness.tick(3000.0, {}, (), 500.0)
    assert not any(e.lines for e in witness.estates.values()), (
        "each line goes when its time is over"
    )


def test_an_estate_whose_giver_tells_others_by_now_is_dropped_before_it_is_stale():
    """A gateway that was no witness any more kept what had long been answered, and launched it when its giver died."""
    witness = Witness()
    witness.entrusted(0.0, "g1", ReplicationUpdate(5, 0, True, [trust(1)]))
    here, lost = {"g1": (5, "here")}, {"g1": (5, "vanished")}
    witness.tick(100.0, here, (), 500.0)
    assert ("g1", 5) in witness.estates, "its link may come up again, and the whole with it"
    assert [e.giver for e in witness.tick(550.0, lost, (), 500.0)[0]] == ["g1"]
    witness.tick(700.0, here, (), 500.0)
    assert ("g1", 5) not in witness.estates and not witness.tick(800.0, lost, (), 500.0)[0]


# ---- the returned
def test_what_no_witness_has_heard_of_is_answered_as_a_life_ends_by_what_may_have_run():
    assert (
        d.own_end(KINDS["file"], [])[0] == "deferred"
        and d.own_end(KINDS["draft"], ["x"])[0] == "deferred"
    )
    assert d.own_end(KINDS["file"], ["x"])[0] == "dead-lettered"
    assert len({round(d.stay_away(3, n)) for n in range(50)}) > 40, (
        "clients are not told to come back together"
    )


def test_a_keeper_that_hears_a_life_grants_nobody_its_estate_whatever_is_said_of_it():
    """Seen: a witness cut off from one peer alone said again and again that it had vanished, and got its estate in the
    moment before that peer's answer."""
    for said in ("here", "silent", "vanished"):
        assert d.heard_here(True, said) and not d.heard_here(False, said)
    assert not d.heard_here(True, "left") and not d.heard_here(True, "over"), (
        "those are its own word, or a host's"
    )
