"""Decisions about each of a lost gateway's requests in flight."""

import pytest
from replicated_requests import POLICIES, replicated_entry, replicated_request

from cherrydoor.failover.in_flight_set import InFlightSet, ReplicatedEntry
from cherrydoor.failover.incarnation_end import answer_at_incarnation_end, reconnect_delay_ms
from cherrydoor.failover.takeover import (
    MAX_RETRIES_IN_FLIGHT,
    Adopt,
    Respond,
    Retry,
    Takeover,
    decide_request,
    reason_to_refuse_lease,
)
from cherrydoor.protocol.failover import AttemptsReport, HostAttempt


def decide(request_class, reported=(), silent_hosts=(), now=100.0, deadline_ms=2000.0):
    return decide_request(
        replicated_entry(request_class, deadline_ms),
        POLICIES[request_class],
        list(reported),
        list(silent_hosts),
        now,
    )


def reported_attempt(outcome="", attempt=0, body=b"", body_retained=True):
    return "h1", HostAttempt(7, "c0", 101, attempt, outcome, body, body_retained)


@pytest.mark.parametrize("request_class", POLICIES)
def test_a_finished_request_is_answered_and_a_running_one_adopted_in_every_class(
    request_class,
):
    succeeded = decide(
        request_class, [reported_attempt("handled", body=b"x"), reported_attempt()], ["h2"]
    )
    assert (type(succeeded), succeeded.outcome, succeeded.body) == (Respond, "handled", b"x")
    lost = decide(request_class, [reported_attempt("handled", body_retained=False)])
    assert lost.outcome == "dead-lettered"
    assert "no longer held" in lost.reason
    running = decide(request_class, [reported_attempt("full", 0), reported_attempt("", 1)], ["h2"])
    assert isinstance(running, Adopt)


@pytest.mark.parametrize("request_class", POLICIES)
def test_a_request_that_no_host_has_run_is_retried(request_class):
    assert isinstance(decide(request_class), Retry)
    not_run = [reported_attempt("full"), reported_attempt("missing")]
    assert isinstance(decide(request_class, not_run), Retry)


@pytest.mark.parametrize(
    "request_class, retried", [("draft", True), ("sign", True), ("book", False), ("file", False)]
)
def test_if_a_host_does_not_report_the_retry_safety_decides(request_class, retried):
    """The request may have run at the silent host. An at-most-once request is then not run again;
    one with an idempotency key is, while all hosts remember that key."""
    unreported = decide(request_class, (), ["h9"])
    failed = decide(request_class, [reported_attempt("error")])
    if retried:
        assert isinstance(unreported, Retry)
        assert isinstance(failed, Retry)
    else:
        assert unreported.outcome == failed.outcome == "dead-lettered"
        assert "may have run" in unreported.reason


def test_a_request_is_not_retried_once_hosts_may_have_forgotten_its_idempotency_key():
    assert isinstance(decide("sign", (), ["h9"], 3900.0, 9000.0), Retry)
    assert decide("sign", (), ["h9"], 4100.0, 9000.0).outcome == "dead-lettered"


def test_a_request_with_no_time_left_is_not_run():
    assert decide("draft", now=1980.0).outcome == "deferred"
    assert decide("file", now=1980.0).outcome == "deferred"
    assert decide("file", (), ["h9"], now=1980.0).outcome == "dead-lettered"


def takeover_of(request_classes, hosts=("h1", "h2"), attempts_at=()):
    in_flight = InFlightSet("g1", 5, 0)
    for number, request_class in enumerate(request_classes):
        request = replicated_request(number, request_class)
        entry = ReplicatedEntry(request, 2000.0 + number, 0.0)
        entry.hosts += attempts_at
        in_flight.add(entry)
    return Takeover(in_flight, 3, hosts, POLICIES, 0.0, 500.0)


def report(highest_fencing_token=3):
    return AttemptsReport(0, highest_fencing_token)


def test_every_host_is_queried_once_including_those_that_attempts_were_sent_to():
    takeover = takeover_of(["file"], attempts_at=["h7"])
    assert takeover.hosts_to_query() == ["h1", "h2", "h7"]
    assert takeover.hosts_to_query() == []
    for host in ("h1", "h2"):
        takeover.host_reported(host, report())
    assert not takeover.can_decide(20.0)
    assert takeover.can_decide(501.0)
    assert takeover.decide(501.0)[0].outcome == "dead-lettered", "h7 did not report"


def test_a_silent_host_matters_to_an_idempotent_request_only_if_an_attempt_was_sent_there():
    takeover = takeover_of(["draft", "file"])
    takeover.hosts_to_query()
    takeover.host_reported("h1", report())
    takeover.host_reported("h2", None)
    assert takeover.can_decide(20.0)
    assert [decision.outcome for decision in takeover.decide(20.0)] == ["dead-lettered"]
    assert [type(decision) for decision in takeover.next_retries(20.0)] == [Retry]


def test_a_host_report_under_a_higher_fencing_token_ends_the_takeover():
    takeover = takeover_of(["draft"])
    takeover.hosts_to_query()
    takeover.host_reported("h1", report(highest_fencing_token=4))
    assert takeover.higher_fencing_token == 4
    assert not takeover.can_decide(900.0)


def test_a_host_report_under_another_fencing_token_counts_as_none():
    """Hosts that answered under the token of a later incarnation, which was ended first, were taken
    to have run nothing of the set, so its requests were run again."""
    takeover = takeover_of(["file"])
    takeover.hosts_to_query()
    takeover.host_reported("h1", report(highest_fencing_token=2))
    takeover.host_reported("h2", report(highest_fencing_token=3))
    assert takeover.decide(20.0)[0].outcome == "dead-lettered"


def test_retries_are_bounded_and_those_that_run_out_of_time_meanwhile_are_counted():
    takeover = takeover_of(["draft"] * (MAX_RETRIES_IN_FLIGHT + 50), hosts=())
    assert takeover.decide(0.0) == []
    assert len(takeover.next_retries(0.0)) == MAX_RETRIES_IN_FLIGHT
    assert takeover.next_retries(0.0) == []
    assert not takeover.completed
    for _ in range(MAX_RETRIES_IN_FLIGHT):
        takeover.retry_ended()
    late = takeover.next_retries(2500.0)
    assert len(late) == 50
    assert all(decision.outcome == "deferred" for decision in late)
    assert takeover.counters["out of time"] == 50
    assert takeover.completed


# ---- the end of an incarnation
def test_an_unreplicated_request_is_answered_at_the_end_by_whether_it_may_have_run():
    assert answer_at_incarnation_end(POLICIES["file"], []).outcome == "deferred"
    assert answer_at_incarnation_end(POLICIES["draft"], ["x"]).outcome == "deferred"
    assert answer_at_incarnation_end(POLICIES["file"], ["x"]).outcome == "dead-lettered"


def test_clients_of_an_ended_incarnation_do_not_all_reconnect_at_once():
    assert len({round(reconnect_delay_ms(3, number)) for number in range(50)}) > 40


def test_a_voter_connected_to_an_incarnation_refuses_its_takeover_unless_its_state_is_final():
    """A replica that had lost only its connection to one peer kept reporting that peer as
    disconnected, and acquired the takeover's lease just before the peer refuted it."""
    for state in ("here", "silent", "vanished"):
        assert reason_to_refuse_lease(True, state)
        assert not reason_to_refuse_lease(False, state)
    for final_state in ("left", "over"):
        assert not reason_to_refuse_lease(True, final_state)
