"""The soak's verdict on records that break one rule each."""

from collections import defaultdict

import pytest

from cherrydoor.rehearsal.soak.clients import ClientRequest
from cherrydoor.rehearsal.soak.plan import DiscoveryFault, Outage, Plan
from cherrydoor.rehearsal.soak.run import PlayedDrain
from cherrydoor.rehearsal.soak.verdict import Verdict
from cherrydoor.rehearsal.soak.world import ACCEPTED, ORDERED, SENT, HostEvent

BEGAN_S = 1000.0
OUTAGE = Outage(0, DiscoveryFault.REFUSED, 2.0, 12.0)


class RecordedRun:
    """A run with records of a test's own; times are s of the run."""

    def __init__(self):
        self.plan = Plan(1, 1, 2, grace_ms=1000, deadline_ms=1000, rate=20.0, outages=[OUTAGE])
        self.began_s = BEGAN_S
        self.requests = []
        self.host_events = []
        self.drains = defaultdict(list)
        self.excused = defaultdict(list)

    def drains_of(self, host):
        return self.drains[host]

    def lag_at(self, time_s):
        return 0.0

    def request(self, sent_s, answered_s=None, request_class="draft", **changed):
        request = ClientRequest(f"r{len(self.requests)}", 0, request_class, 1.0)
        request.sent_s = BEGAN_S + sent_s
        if answered_s is not None:
            request.answered_s = BEGAN_S + answered_s
            request.status = 200
        for name, value in changed.items():
            setattr(request, name, value)
        self.requests.append(request)
        return request

    def event(self, time_s, kind, request="", host=0):
        self.host_events.append(HostEvent(BEGAN_S + time_s, host, 0, kind, request))

    def rules(self):
        return [found.rule for found in Verdict(self).breaks]


@pytest.fixture
def run():
    return RecordedRun()


def test_a_run_in_which_all_is_answered_keeps_the_rules(run):
    request = run.request(1.0, 1.1)
    run.event(1.05, SENT, request.id)
    run.event(1.05, ACCEPTED, request.id)
    assert run.rules() == []


@pytest.mark.parametrize(
    ("begins_s", "sent_s", "broken"),
    [(1.0, 2.0, False), (1.0, 2.1, True), (3.0, 7.0, False), (3.0, 7.1, True), (8.0, 9.1, True)],
)
@pytest.mark.parametrize("kind", [SENT, ORDERED])
def test_a_drain_counts_as_told_at_once_or_4_s_into_an_outage(run, begins_s, sent_s, broken, kind):
    run.drains[0].append(PlayedDrain(begins_s))
    run.event(sent_s, kind)
    assert run.rules() == ["drain"] * broken


def test_new_work_after_a_host_is_back_breaks_nothing(run):
    run.drains[0].append(PlayedDrain(1.0, back_s=3.0))
    run.event(3.1, SENT)
    assert run.rules() == []


def test_a_request_without_an_answer_is_lost_unless_its_client_left_or_its_gateway_was_killed(run):
    run.request(1.0, 1.1)
    run.request(1.0)
    run.request(1.0, left_s=BEGAN_S + 1.2)
    run.request(5.0)
    run.excused[0].append((BEGAN_S + 5.2, BEGAN_S + 5.3))
    assert run.rules() == ["lost"]


def test_a_late_answer_and_another_body_are_lost(run):
    run.request(1.0, 2.6)
    run.request(1.0, 1.1, right_body=False)
    run.request(1.0, 2.4)
    assert run.rules() == ["lost", "lost"]


def test_an_at_most_once_request_that_ran_twice_is_a_duplicate(run):
    for request_class in ("file", "draft"):
        request = run.request(1.0, 1.1, request_class)
        run.event(1.01, ACCEPTED, request.id)
        run.event(1.05, ACCEPTED, request.id)
    assert run.rules() == ["duplicate"]


def test_an_attempt_after_its_client_has_left_is_lost(run):
    run.request(1.0, 1.1)
    request = run.request(1.0, left_s=BEGAN_S + 1.2)
    run.event(1.34, SENT, request.id)
    assert run.rules() == []
    run.event(1.36, SENT, request.id)
    assert run.rules() == ["lost"]


def test_a_restarted_host_gets_no_more_than_its_level_and_chance_allow(run):
    run.drains[0].append(PlayedDrain(0.0, back_s=1.0))
    # 10 a second use half of what a warm host can do: 3 x 0.44 x 20 x 3 s, 2 x its root and 2
    for number in range(98):
        run.event(1.0 + number * 0.01, SENT)
    assert run.rules() == []
    run.event(1.985, SENT)
    assert run.rules() == ["failback"]


def test_too_small_a_share_served_is_told_by_group(run):
    for _ in range(4):
        run.request(3.0, 3.1, status=503)
    run.request(3.0, 3.1)
    assert run.rules() == ["served"] * 3
