"""Statements about members: in any order, delayed, duplicated, of earlier incarnations."""

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrydoor.membership.member_table import (
    ALIVE,
    DISCONNECTED,
    FORGET_AFTER_MS,
    LEFT,
    MAX_MEMBERS,
    OVER,
    SUSPECTED,
    LocalMember,
    MemberTable,
    merged,
)
from cherrydoor.protocol.peers import Member

MAX_ORDERS = 24

STATEMENTS = st.builds(
    Member,
    st.sampled_from("ab"),
    st.integers(1, 3),
    st.sampled_from(("x", "y")),
    st.just("s"),
    st.just(False),
    st.sampled_from((ALIVE, SUSPECTED, DISCONNECTED, LEFT, OVER)),
    st.integers(0, 2),
)


def table_of(name="me", incarnation=5, zone="s0"):
    return MemberTable(LocalMember(name, incarnation, "at-" + name, zone), 0.0)


@given(st.lists(STATEMENTS, max_size=5))
@settings(max_examples=200, deadline=None)
def test_statements_in_any_order_and_duplicated_give_the_same_table(statements):
    results = set()
    for order in list(permutations(statements))[:MAX_ORDERS]:
        table = table_of()
        for statement in [*order, *order[:2]]:
            table.merge_all(1.0, [statement])
        results.add(frozenset(table.all_rows()))
    assert len(results) <= 1


@pytest.mark.parametrize("state", [SUSPECTED, DISCONNECTED, LEFT, OVER])
def test_a_statement_about_an_earlier_incarnation_changes_nothing(state):
    table = table_of()
    table.merge_all(1.0, [Member("a", 7, "x")])
    table.merge_all(2.0, [Member("a", 6, "x", state=state, refutation=99)])
    assert table.rows["a"] == Member("a", 7, "x")


def test_two_missing_statements_merge_to_none():
    assert merged(None, None) is None


def test_a_suspected_gateway_refutes_the_suspicion_and_stays_alive_until_its_incarnation_is_over():
    own = table_of("a")
    other = table_of("b")
    other.merge_all(1.0, own.all_rows())
    other.observe(2.0, "a", 5, SUSPECTED)
    own.merge_all(3.0, other.take_updates(3.0))
    other.merge_all(4.0, own.take_updates(4.0))
    assert other.rows["a"].state == ALIVE
    assert own.counters["suspicions refuted"] == 1
    assert not own.has_ended
    assert other.mark_over(5.0, "a", 5)
    own.merge_all(6.0, other.take_updates(6.0))
    assert own.has_ended
    assert own.rows["a"].state == OVER


def test_a_later_incarnation_elsewhere_is_a_duplicate_process_and_an_earlier_one_is_not():
    table = table_of("a")
    table.merge_all(1.0, [Member("a", 4, "elsewhere")])
    assert not table.is_duplicated
    table.merge_all(1.0, [Member("a", 6, "elsewhere")])
    assert table.is_duplicated
    assert table.has_ended


@pytest.fixture
def table_of_three_zones():
    table = table_of("g0")
    table.merge_all(0.0, [Member(f"g{i}", 1, f"at{i}", f"s{i % 3}") for i in range(1, 9)])
    return table


def test_replicas_are_chosen_from_other_zones_first(table_of_three_zones):
    table = table_of_three_zones
    zones = {row.name: row.zone for row in table.all_rows()}
    assert sorted(zones[name] for name in table.choose_replicas(2)) == ["s1", "s2"]
    assert len(set(table.choose_replicas(8))) == 8
    assert "g0" not in table.choose_replicas(8)


def test_disconnected_members_are_neither_replicas_nor_alive(table_of_three_zones):
    table = table_of_three_zones
    for name in table.choose_replicas(8):
        table.observe(1.0, name, 1, DISCONNECTED)
    assert table.choose_replicas(2) == []
    assert table.alive_names() == ["g0"]


def test_the_table_is_bounded_and_forgets_members_that_are_long_gone(table_of_three_zones):
    table = table_of_three_zones
    for name in table.choose_replicas(8):
        table.observe(1.0, name, 1, DISCONNECTED)
    table.merge_all(2.0, [Member(f"h{i}", 1) for i in range(MAX_MEMBERS)])
    assert len(table.rows) == MAX_MEMBERS
    assert table.counters["members beyond the bound"]
    table.take_updates(FORGET_AFTER_MS + 3.0)
    assert "g1" not in table.rows
    assert "h0" in table.rows
