"""The link policy: which peers are dialled, which link is kept, what a link shows of its peer."""

import pytest

from cherrydoor.membership.link_state import CloseLink, Dial, SendMessage
from cherrydoor.membership.member_table import (
    ALIVE,
    DISCONNECTED,
    SUSPECTED,
    LocalMember,
    MemberTable,
)
from cherrydoor.membership.peer_links import PeerLinks
from cherrydoor.protocol.peers import Heartbeat, Member

HEARTBEAT_MS = 100.0
SUSPECT_AFTER_MS = 1000.0


def links_of(*names, voter="k"):
    """Returns the link policy of gateway `m`, with one replica, in a fleet of those names."""
    table = MemberTable(LocalMember("m", 5, "at-m", "s0"), 0.0)
    table.merge_all(0.0, [Member(name, 1, "at-" + name, is_voter=name == voter) for name in names])
    return PeerLinks(table, 0.0, HEARTBEAT_MS, SUSPECT_AFTER_MS, 1)


def of_type(actions, action_type):
    return [action for action in actions if isinstance(action, action_type)]


def test_only_voters_and_replicas_are_dialled():
    links = links_of("a", "k", "z")
    dialled = {action.name for action in of_type(links.tick(0.0), Dial)}
    assert dialled == {"k", *links.replicas}
    assert len(dialled) <= 2


@pytest.mark.parametrize(
    ("name", "is_dialled_by_us"),
    [
        pytest.param("a", False, id="peer name sorts first"),
        pytest.param("z", True, id="own name sorts first"),
    ],
)
def test_of_two_simultaneous_links_the_one_dialled_by_the_name_that_sorts_first_is_kept(
    name, is_dialled_by_us
):
    links = links_of("a", "k", "z")
    links.tick(0.0)
    assert links.on_link_up(1.0, name, 1, is_dialled_by_us).is_kept
    assert not links.on_link_up(2.0, name, 1, not is_dialled_by_us).is_kept
    assert links.on_link_up(3.0, name, 1, is_dialled_by_us).is_kept, (
        "a new link of the same direction replaces a dead one"
    )


def test_a_reset_link_leaves_a_peer_alive_and_a_refused_dial_marks_it_disconnected():
    links = links_of("a", "k")
    rows = links.table.rows
    links.tick(0.0)
    links.on_link_up(1.0, "k", 1, True)
    links.on_message(1.5, "k")
    assert [action.name for action in of_type(links.on_link_down(2.0, "k"), Dial)] == ["k"]
    assert rows["k"].state == ALIVE
    links.on_dial_failed(3.0, "k", False)
    assert rows["k"].state == ALIVE
    links.on_dial_failed(4.0, "k", True)
    assert rows["k"].state == DISCONNECTED


def test_a_link_sends_heartbeats_and_a_silent_peer_is_suspected_and_its_link_closed():
    links = links_of("a", "k")
    links.on_link_up(1.0, "k", 1, True)
    assert of_type(links.tick(200.0), SendMessage)[0].message == Heartbeat()
    assert links.is_recent("k", 1)
    assert not links.is_recent("k", 2)
    assert of_type(links.tick(1100.0), CloseLink)[0].name == "k"
    assert links.table.rows["k"].state == SUSPECTED


def test_a_peer_that_rejects_us_after_its_hello_is_redialled_with_backoff_and_a_lost_link_at_once():
    """A gateway with another's certificate was once dialled some hundred times a second."""
    links = links_of("k")
    dials = len(of_type(links.tick(0.0), Dial))
    for now_ms in range(1, 10000):
        if links.link("k").is_dialling:
            links.on_link_up(float(now_ms), "k", 1, True)
            dials += len(of_type(links.on_link_down(float(now_ms), "k"), Dial))
        dials += len(of_type(links.tick(float(now_ms)), Dial))
    assert 5 <= dials <= 15
    assert links.table.rows["k"].state == ALIVE
    while not links.link("k").is_dialling:
        now_ms += 1
        links.tick(float(now_ms))
    links.on_link_up(float(now_ms), "k", 1, True)
    links.on_message(float(now_ms), "k")
    assert of_type(links.on_link_down(now_ms + 1.0, "k"), Dial)


def test_a_link_that_was_dialled_for_a_question_is_closed_once_it_is_idle():
    links = links_of("a", "b", "c", voter="")
    links.tick(0.0)
    name = next(peer for peer in "abc" if peer not in links.replicas)
    assert of_type(links.want(1.0, name), Dial)
    links.on_link_up(2.0, name, 1, True)
    for now_ms in range(200, 30000, 200):
        links.on_message(float(now_ms), name)
        if of_type(links.tick(float(now_ms)), CloseLink):
            break
    assert not links.is_up(name)
    assert now_ms > 10000


def test_heartbeats_to_voters_of_a_large_fleet_are_rarer_but_frequent_enough_to_avoid_suspicion():
    links = links_of("a", "k")
    for name in ("a", "k"):
        links.on_link_up(1.0, name, 1, True)
    assert links.heartbeat_interval_ms("k") == links.heartbeat_interval_ms("a") == HEARTBEAT_MS
    links.table.merge_all(2.0, [Member(f"g{i}", 1) for i in range(128)])
    assert links.heartbeat_interval_ms("a") == HEARTBEAT_MS
    assert HEARTBEAT_MS < links.heartbeat_interval_ms("k") < 210.0
    links.table.merge_all(3.0, [Member(f"h{i}", 1) for i in range(2000)])
    assert links.heartbeat_interval_ms("k") == SUSPECT_AFTER_MS / 3
    assert links.heartbeat_interval_ms("a") == HEARTBEAT_MS
