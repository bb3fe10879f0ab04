"""What is said of who is there, in any order: late, doubled, of earlier lives."""

from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.membership.decide import FORGET, MOST, Me, Members, merged
from cherrydoor.membership.links import Close, Dial, Links, Say
from cherrydoor.protocol.peers import Heartbeat, Member

ROWS = st.builds(
    Member,
    st.sampled_from("ab"),
    st.integers(1, 3),
    st.sampled_from(("x", "y")),
    st.just("s"),
    st.just(False),
    st.sampled_from(("here", "silent", "vanished", "left", "over")),
    st.integers(0, 2),
)


def members(name="me", incarnation=5, site="s0"):
    return Members(Me(name, incarnation, "at-" + name, site), 0.0)


@given(st.lists(ROWS, max_size=5))
@settings(max_examples=200, deadline=None)
def test_any_order_and_any_doubling_comes_to_the_same(rows):
    ends = set()
    for order in list(permutations(rows))[:24]:
        one = members()
        for row in [*order, *order[:2]]:
            one.hear(1.0, [row])
        ends.add(frozenset(one.whole()))
    assert len(ends) <= 1


def test_a_statement_of_an_earlier_life_undoes_nothing():
    one = members()
    one.hear(1.0, [Member("a", 7, "x")])
    for state in ("silent", "vanished", "left", "over"):
        one.hear(2.0, [Member("a", 6, "x", state=state, refutation=99)])
    assert one.members["a"] == Member("a", 7, "x") and merged(None, None) is None


def test_a_gateway_called_silent_says_so_and_stands_but_not_once_it_is_over():
    one, other = members("a"), members("b")
    other.hear(1.0, one.whole())
    other.state(2.0, "a", 5, "silent")
    one.hear(3.0, other.round(3.0))
    other.hear(4.0, one.round(4.0))
    assert (
        other.members["a"].state == "here"
        and one.counters["suspicions answered"] == 1
        and not one.ended
    )
    assert other.over(5.0, "a", 5)
    one.hear(6.0, other.round(6.0))
    assert one.ended and one.members["a"].state == "over"


def test_two_processes_of_one_name_are_seen_and_a_return_at_the_same_address_is_not_one():
    one = members("a")
    one.hear(1.0, [Member("a", 4, "elsewhere")])
    assert not one.doubled
    one.hear(1.0, [Member("a", 6, "elsewhere")])
    assert one.doubled and one.ended


def test_witnesses_are_of_other_sites_first_and_the_table_is_bounded_and_emptied():
    one = members("g0")
    one.hear(0.0, [Member(f"g{i}", 1, f"at{i}", f"s{i % 3}") for i in range(1, 9)])
    sites = {row.name: row.site for row in one.whole()}
    assert sorted(sites[name] for name in one.next(2)) == ["s1", "s2"]
    assert len(set(one.next(8))) == 8 and "g0" not in one.next(8)
    for name in one.next(8):
        one.state(1.0, name, 1, "vanished")
    assert one.next(2) == [] and one.living() == ["g0"]
    one.hear(2.0, [Member(f"h{i}", 1) for i in range(MOST)])
    assert len(one.members) == MOST and one.counters["names beyond the bound"]
    one.round(FORGET + 3.0)
    assert "g1" not in one.members and "h0" in one.members


def linked(*names, keeper="k"):
    one = members("m")
    one.hear(0.0, [Member(name, 1, "at-" + name, keeper=name == keeper) for name in names])
    return one, Links(one, 0.0, 100.0, 1000.0, 1)


def said(actions, kind):
    return [action for action in actions if type(action) is kind]


def test_a_link_is_dialled_to_keepers_and_witnesses_alone_and_one_of_two_that_cross_stays():
    one, links = linked("a", "k", "z")
    dialled = {action.name for action in said(links.tick(0.0), Dial)}
    assert dialled == {"k", *links.witnesses} and len(dialled) <= 2
    for name, ours in (("a", False), ("z", True)):  # the lesser name's dial stays
        assert links.up(1.0, name, 1, ours)[0]
        assert not links.up(2.0, name, 1, not ours)[0]
        assert links.up(3.0, name, 1, ours)[0], "the same one made anew replaces a dead one"


def test_a_reset_is_no_loss_a_refusal_is_and_silence_is_another_thing():
    one, links = linked("a", "k")
    links.tick(0.0)
    links.up(1.0, "k", 1, True)
    links.heard(1.5, "k")
    assert [action.name for action in said(links.down(2.0, "k"), Dial)] == ["k"]
    assert one.members["k"].state == "here"
    links.not_up(3.0, "k", False)
    assert one.members["k"].state == "here"
    links.not_up(4.0, "k", True)
    assert one.members["k"].state == "vanished"
    one, links = linked("a", "k")
    links.up(1.0, "k", 1, True)
    assert (
        said(links.tick(200.0), Say)[0].what == Heartbeat()
        and links.recent("k", 1)
        and not links.recent("k", 2)
    )
    assert said(links.tick(1100.0), Close)[0].name == "k" and one.members["k"].state == "silent"


def test_who_is_turned_away_after_the_hello_comes_again_seldom_and_at_once_after_a_link_that_was_one():
    """Seen: a gateway that showed another's certificate was dialled for, and dialled, some hundred times a second."""
    one, links = linked("k")
    dials = len(said(links.tick(0.0), Dial))
    for t in range(1, 10000):
        if links.line("k").dialling:
            links.up(float(t), "k", 1, True)
            dials += len(said(links.down(float(t), "k"), Dial))
        dials += len(said(links.tick(float(t)), Dial))
    assert 5 <= dials <= 15 and one.members["k"].state == "here"
    while not links.line("k").dialling:
        t += 1
        links.tick(float(t))
    links.up(float(t), "k", 1, True)
    links.heard(float(t), "k")
    assert said(links.down(t + 1.0, "k"), Dial)


def test_a_link_that_was_wanted_for_a_question_goes_when_it_is_not_used():
    one, links = linked("a", "b", "c", keeper="")
    links.tick(0.0)
    name = next(n for n in "abc" if n not in links.witnesses)
    assert said(links.ask(1.0, name), Dial)
    links.up(2.0, name, 1, True)
    for t in range(200, 30000, 200):
        links.heard(float(t), name)
        if said(links.tick(float(t)), Close):
            break
    assert not links.is_up(name) and t > 10000


def test_a_keeper_of_many_beats_less_often_but_never_so_that_it_seems_silent():
    one, links = linked("a", "k")
    for name in ("a", "k"):
        links.up(1.0, name, 1, True)
    assert links.pause("k") == links.pause("a") == 100.0
    one.hear(2.0, [Member(f"g{i}", 1) for i in range(128)])
    assert links.pause("a") == 100.0 < links.pause("k") < 210.0
    one.hear(3.0, [Member(f"h{i}", 1) for i in range(2000)])
    assert links.pause("k") == 1000.0 / 3 and links.pause("a") == 100.0
