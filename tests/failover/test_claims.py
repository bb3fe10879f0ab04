"""Answers of estates, claimed by whoever has the event's own key."""

from test_verdicts import line, trust

from cherrydoor.failover.claims import Claims
from cherrydoor.failover.estate import Line
from cherrydoor.protocol.messages import Response


def test_an_answer_is_claimed_by_its_key_alone_waited_for_and_given_again():
    claims, told = Claims(), []
    one = line("file")
    claims.expect("g1", 5, one)
    assert claims.claim("g1", 5, 101, "other", told.append) == (False, None)
    assert claims.claim("g1", 4, 101, "k", told.append) == (False, None)
    assert claims.claim("g1", 5, 101, "k", told.append) == (True, None)
    answer = Response(101, "handled", body=b"x")
    for tell in claims.answer("g1", 5, one, answer):
        tell(answer)
    assert told == [answer] and claims.answer("g1", 5, one, Response(101, "deferred")) == []
    assert claims.claim("g1", 5, 101, "k", told.append) == (True, answer)
    claims.tick(10000.0)
    assert claims.rows == claims.names == {} and claims.bytes == 0


def test_an_event_without_a_key_is_claimed_by_nobody_and_answers_kept_are_bounded():
    claims = Claims(size=100)
    claims.expect("g1", 5, Line(trust(1, key=""), 2000.0, 0.0))
    assert claims.claim("g1", 5, 101, "", print) == (False, None)
    for number in (2, 3):
        one = Line(trust(number), 2000.0, 0.0)
        claims.expect("g1", 5, one)
        claims.answer("g1", 5, one, Response(100 + number, "handled", body=b"x" * 60))
    assert (
        claims.claim("g1", 5, 102, "k", print) == (False, None)
        and claims.counters["answers left out"] == 1
    )
    assert claims.claim("g1", 5, 103, "k", print)[1].body == b"x" * 60


def test_a_repeat_is_known_by_its_mark_and_two_clients_may_use_one_id():
    claims = Claims()
    first, other = line("file"), line("file")
    other.trust.client, other.trust.key = "another", "k2"
    claims.expect("g1", 5, first, b"m1")
    claims.expect("g1", 5, other, b"m2")
    assert (
        claims.claim("g1", 5, 0, "k", print, b"m1")[0]
        and not claims.claim("g1", 5, 0, "k", print, b"m2")[0]
    )
    assert claims.claim("g1", 5, 101, "k2", print)[0] and claims.claim("g1", 5, 101, "k", print)[0]
    claims.expect("g1", 5, first, b"m3")
    assert not claims.claim("g1", 5, 0, "k", print, b"m1")[0], (
        "expected anew, under its new mark alone"
    )
    claims.tick(10000.0)
    assert claims.rows == claims.names == {}
