"""The successor of each incarnation, for announcements that arrive in any order."""

import pytest

from cherrydoor.failover.in_flight_set import parse_takeover_task, takeover_task
from cherrydoor.failover.successor_table import RETENTION_MS, SuccessorTable
from cherrydoor.protocol.peers import SuccessorAnnounced


def announced(fencing_token, successor, completed=False, key_digests=()):
    return SuccessorAnnounced("g1", 5, fencing_token, successor, completed, list(key_digests))


def test_the_highest_fencing_token_wins_and_under_one_token_the_completion():
    table = SuccessorTable()
    assert table.accept(0.0, announced(2, "g2"))
    assert not table.accept(0.0, announced(2, "g2")), "it is forwarded only once"
    assert not table.accept(0.0, announced(1, "g3", completed=True))
    assert table.accept(0.0, announced(2, "g2", completed=True))
    assert not table.accept(0.0, announced(2, "g2"))
    assert table.accept(0.0, announced(3, "g3"))
    assert table.successor_of("g1", 5) == "g3"
    assert table.successor_of("g1", 6) is None
    assert [announcement.fencing_token for announcement in table.announcements()] == [3]


def test_an_idempotency_key_leads_to_its_incarnation_until_the_announcement_expires():
    table = SuccessorTable()
    table.accept(0.0, announced(1, "g2", key_digests=[b"d1"]))
    assert table.incarnation_holding(b"d1") == ("g1", 5)
    assert table.incarnation_holding(b"d2") is None
    table.tick(RETENTION_MS - 1.0)
    assert table.incarnation_holding(b"d1") == ("g1", 5)
    table.tick(RETENTION_MS)
    assert table.incarnation_holding(b"d1") is None
    assert table.successor_of("g1", 5) is None


@pytest.mark.parametrize("owner", ["g1", "zone/g1"])
def test_a_takeover_task_names_its_owner_and_incarnation(owner):
    assert parse_takeover_task(takeover_task(owner, 5)) == (owner, 5)


@pytest.mark.parametrize("task", ["site/z1", "site/g1/5", "estate/g1", "estate/g1/x", ""])
def test_other_tasks_are_not_parsed_as_takeovers(task):
    assert parse_takeover_task(task) is None
