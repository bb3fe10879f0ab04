"""The soak's verdict on recorded runs that violate one rule each."""

from collections import defaultdict

import pytest

from cherrydoor.rehearsal.soak.clients import ClientRequest
from cherrydoor.rehearsal.soak.plan import DiscoveryFault, Outage, Plan
from cherrydoor.rehearsal.soak.run import PlayedDrain
from cherrydoor.rehearsal.soak.verdict import Verdict
from cherrydoor.rehearsal.soak.world import ACCEPTED, ORDERED, SENT, HostEvent

RUN_START_S = 1000.0
OUTAGE = Outage(0, DiscoveryFault.REFUSED, 2.0, 12.0)


class RecordedRun:
    """A run with the records that a test makes; times are seconds since its start."""

    def __init__(self):
        self.plan = Plan(
            1, 1, 2, grace_ms=1000, deadline_ms=1000, requests_per_s=20.0, outages=[OUTAGE]
        )
        self.started_s = RUN_START_S
        self.requests = []
        self.host_events = []
        self.drains = defaultdict(list)
        self.interruptions = defaultdict(list)

    def drains_of(self, host):
        return self.drains[host]

    def lag_at(self, time_s):
        return 0.0

    def request(self, sent_s, responded_s=None, request_class="draft", **changed):
        request = ClientRequest(f"r{len(self.requests)}", 0, request_class, 1.0)
        request.sent_s = RUN_START_S + sent_s
        if responded_s is not None:
            request.responded_s = RUN_START_S + responded_s
            request.status = 200
        for name, value in changed.items():
            setattr(request, name, value)
        self.requests.append(request)
        return request

    def event(self, time_s, kind, request="", host=0):
        self.host_events.append(HostEvent(RUN_START_S + time_s, host, 0, kind, request))

    def rules(self):
        return [violation.rule for violation in Verdict(self).violations]


@pytest.fixture
def run():
    return RecordedRun()


def test_a_run_in_which_every_request_is_answered_violates_no_rule(run):
    request = run.request(1.0, 1.1)
    run.event(1.05, SENT, request.id)
    run.event(1.05, ACCEPTED, request.id)
    assert run.rules() == []


@pytest.mark.parametrize(
    ("start_s", "sent_s", "violated"),
    [(1.0, 2.0, False), (1.0, 2.1, True), (3.0, 7.0, False), (3.0, 7.1, True), (8.0, 9.1, True)],
)
@pytest.mark.parametrize("kind", [SENT, ORDERED])
def test_a_gateway_counts_as_notified_of_a_drain_at_once_or_4_s_into_an_outage(
    run, start_s, sent_s, violated, kind
):
    run.drains[0].append(PlayedDrain(start_s))
    run.event(sent_s, kind)
    assert run.rules() == ["drain"] * violated


def test_new_work_after_a_host_has_restarted_violates_no_rule(run):
    run.drains[0].append(PlayedDrain(1.0, restarted_s=3.0))
    run.event(3.1, SENT)
    assert run.rules() == []


def test_a_request_without_response_is_lost_unless_client_left_or_gateway_was_killed(run):
    run.request(1.0, 1.1)
    run.request(1.0)
    run.request(1.0, disconnected_s=RUN_START_S + 1.2)
    run.request(5.0)
    run.interruptions[0].append((RUN_START_S + 5.2, RUN_START_S + 5.3))
    assert run.rules() == ["lost"]


def test_a_late_response_and_a_wrong_body_count_as_lost(run):
    run.request(1.0, 2.6)
    run.request(1.0, 1.1, body_matches=False)
    run.request(1.0, 2.4)
    assert run.rules() == ["lost", "lost"]


def test_an_at_most_once_request_that_ran_twice_is_a_duplicate(run):
    for request_class in ("file", "draft"):
        request = run.request(1.0, 1.1, request_class)
        run.event(1.01, ACCEPTED, request.id)
        run.event(1.05, ACCEPTED, request.id)
    assert run.rules() == ["duplicate"]


def test_an_attempt_after_its_client_disconnected_counts_as_lost(run):
    run.request(1.0, 1.1)
    request = run.request(1.0, disconnected_s=RUN_START_S + 1.2)
    run.event(1.34, SENT, request.id)
    assert run.rules() == []
    run.event(1.36, SENT, request.id)
    assert run.rules() == ["lost"]


def test_a_restarted_host_gets_no_more_than_its_level_and_the_tolerance_allow(run):
    run.drains[0].append(PlayedDrain(0.0, restarted_s=1.0))
    # 10 requests/s are half of a warm host's capacity of 20/s, so 3 * 0.44 * 20/s * 3 s = 79.2 are
    # allowed. The tolerance adds 2 * sqrt(79.2) + 2 = 19.8: 98 pass and 99 do not.
    for number in range(98):
        run.event(1.0 + number * 0.01, SENT)
    assert run.rules() == []
    run.event(1.985, SENT)
    assert run.rules() == ["failback"]


def test_too_small_a_served_share_is_reported_for_each_group(run):
    for _ in range(4):
        run.request(3.0, 3.1, status=503)
    run.request(3.0, 3.1)
    assert run.rules() == ["served"] * 3
