"""Responses to taken-over requests, claimed with the request's claim key."""

from replicated_requests import replicated_entry

from cherrydoor.failover.response_claims import ResponseClaims
from cherrydoor.protocol.messages import Response


def test_a_response_is_claimed_only_with_its_key_and_can_be_awaited_and_claimed_again():
    claims, received = ResponseClaims(), []
    entry = replicated_entry("file")
    claims.expect("g1", 5, entry)
    assert claims.claim("g1", 5, 101, "other", received.append) == (False, None)
    assert claims.claim("g1", 4, 101, "k", received.append) == (False, None)
    assert claims.claim("g1", 5, 101, "k", received.append) == (True, None)
    response = Response(101, "handled", body=b"x")
    for callback in claims.respond("g1", 5, entry, response):
        callback(response)
    assert received == [response]
    assert claims.respond("g1", 5, entry, Response(101, "deferred")) == []
    assert claims.claim("g1", 5, 101, "k", received.append) == (True, response)
    claims.tick(10000.0)
    assert claims.rows == claims.index == {}
    assert claims.body_bytes == 0


def test_a_request_without_a_claim_key_cannot_be_claimed():
    claims = ResponseClaims(max_body_bytes=100)
    claims.expect("g1", 5, replicated_entry(claim_key=""))
    assert claims.claim("g1", 5, 101, "", print) == (False, None)


def test_beyond_the_bound_the_oldest_response_is_evicted_first():
    claims = ResponseClaims(max_body_bytes=100)
    claims.expect("g1", 5, replicated_entry(claim_key=""))
    for number in (2, 3):
        entry = replicated_entry(number=number)
        claims.expect("g1", 5, entry)
        claims.respond("g1", 5, entry, Response(100 + number, "handled", body=b"x" * 60))
    assert claims.claim("g1", 5, 102, "k", print) == (False, None)
    assert claims.counters["answers left out"] == 1
    assert claims.claim("g1", 5, 103, "k", print).response.body == b"x" * 60


def test_a_repeated_request_is_found_by_its_key_digest_and_two_clients_may_use_the_same_id():
    claims = ResponseClaims()
    first = replicated_entry("file")
    other = replicated_entry("file", claim_key="k2", client="another")
    claims.expect("g1", 5, first, b"m1")
    claims.expect("g1", 5, other, b"m2")
    assert claims.claim("g1", 5, 0, "k", print, b"m1").known
    assert not claims.claim("g1", 5, 0, "k", print, b"m2").known
    assert claims.claim("g1", 5, 101, "k2", print).known
    assert claims.claim("g1", 5, 101, "k", print).known
    claims.expect("g1", 5, first, b"m3")
    assert not claims.claim("g1", 5, 0, "k", print, b"m1").known, (
        "added again, it is found only under its new digest"
    )
    claims.tick(10000.0)
    assert claims.rows == claims.index == {}
