"""The attempt rules. Each test fails if its condition is removed from the rules."""

from fake_fleet import REQUEST_CLASS, Fleet, kinds

from cherrydoor.routing import messages as routing


def test_rule_1_one_final_answer_at_once_and_nothing_after_it():
    fleet = Fleet("a")
    request_id, _ = fleet.request()
    assert kinds(fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)) == [
        routing.RejectRequest
    ]
    assert (
        request_id not in fleet.router.requests
        and not fleet.router.history.functions["thumbnail"].open_requests
    )
    late, _ = fleet.request("other", timeout_ms=200.0)
    assert kinds(fleet.end_attempt(late, routing.AttemptOutcome.NO_RESPONSE, delay_ms=200.0)) == [
        routing.RejectRequest
    ]
    fleet.now += 2000
    cancelled, _ = fleet.request()
    fleet.take(routing.RequestCancelled(cancelled))
    assert (
        kinds(fleet.end_attempt(cancelled, routing.AttemptOutcome.CONNECTION_LOST)) == []
        and not fleet.router.requests
    )


def test_rule_1_no_attempt_past_the_deadline_three_at_most_and_no_second_final_answer():
    fleet = Fleet("abcdef")
    request_id, _ = fleet.request()
    request, host = fleet.router.requests[request_id], fleet.router.hosts["a"]
    for _ in range(3):
        actions = fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)
    assert len(fleet.sent[request_id]) == 3 and kinds(actions) == [routing.RejectRequest]
    fleet.router.context.actions, request.attempts = [], []
    fleet.router.lifecycle.give_up(request)
    assert not fleet.router.context.actions and not fleet.router.rules.allows(request, host)
    request.closed = False
    assert fleet.router.rules.allows(request, host)
    fleet.router.context.now = request.deadline_ms
    assert not fleet.router.rules.allows(request, host)


def test_rule_1_request_without_any_host_is_rejected_at_once():
    fleet = Fleet("a")
    fleet.update_endpoints(a={"state": routing.HostState.GONE})
    assert kinds(fleet.request()[1]) == [routing.RejectRequest]


def test_rule_2_at_most_once_request_is_retried_only_if_it_never_ran():
    fleet = Fleet(
        request_classes=(
            REQUEST_CLASS._replace(
                retry_safety=routing.RetrySafety.AT_MOST_ONCE, dedup_window_ms=9000.0
            ),
        )
    )
    request_id, _ = fleet.request()
    fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)
    assert len(fleet.sent[request_id]) == 2
    assert kinds(fleet.end_attempt(request_id, routing.AttemptOutcome.ERROR)) == [
        routing.FailRequest
    ]


def test_rule_2_request_with_idempotency_key_is_retried_within_dedup_scope_and_window():
    for group in ("zone", "cell", "all"):
        fleet = Fleet(
            request_classes=(
                REQUEST_CLASS._replace(
                    retry_safety=routing.RetrySafety.IDEMPOTENCY_KEY,
                    dedup_scope=group,
                    dedup_window_ms=1000.0,
                ),
            )
        )
        for function in ("thumbnail", "f1", "f2", "f3"):
            request_id, _ = fleet.request(function)
            fleet.end_attempt(request_id, routing.AttemptOutcome.ERROR)
            first, then = (fleet.endpoints[h] for h in fleet.sent[request_id])
            assert group != "zone" or first.zone == then.zone
        late, _ = fleet.request("late")
        assert kinds(fleet.end_attempt(late, routing.AttemptOutcome.ERROR, delay_ms=1001.0)) == [
            routing.FailRequest
        ]


def test_rule_2_no_second_attempt_while_one_is_in_flight_without_hedging():
    fleet = Fleet()
    request_id, _ = fleet.request()
    request = fleet.router.requests[request_id]
    assert not any(fleet.router.rules.allows(request, h) for h in fleet.router.hosts.values())


def test_rule_3_nothing_is_sent_to_a_draining_host():
    fleet = Fleet("ab", may_order_loads=True)
    fleet.update_endpoints(a={"state": routing.HostState.DRAINING})
    assert {fleet.serve(f"f{i}") for i in range(20)} == {"b"}
    function, host = fleet.router.history.functions["f1"], fleet.router.hosts["a"]
    assert not fleet.router.load_orders.order(function, host) and not fleet.router.rules.allows(
        OpenRequest(function), host
    )


def test_drained_zone_is_avoided_by_its_moved_sessions_and_open_to_others():
    fleet = Fleet("ab", may_order_loads=True)
    function_at = {fleet.serve(f"f{i}"): f"f{i}" for i in range(20)}
    a, b = fleet.router.hosts["a"], fleet.router.hosts["b"]
    a.zone, b.zone = "north", "south"
    function = fleet.router.history.functions[function_at["a"]]
    request = OpenRequest(function)
    assert fleet.router.rules.allows(request, a) and fleet.router.rules.allows(request, b)
    request.drained_zone = "north"
    assert not fleet.router.rules.allows(request, a) and fleet.router.rules.allows(request, b)
    assert (
        fleet.router.zone_table.copy_holders_outside(function.name, "south") == ["a"]
        and fleet.router.zone_table.copy_holders_outside(function.name, "north") == []
    )
    assert fleet.router.zone_table.copy_holders_outside("never called", "north") == []
    assert {zone: hosts for zone, _, _, hosts in fleet.router.zone_table.zone_loads()} == {
        "north": 1,
        "south": 1,
    }
    a.health.ejected_until_ms = 1e18
    assert {zone: hosts for zone, _, _, hosts in fleet.router.zone_table.zone_loads()} == {
        "north": 0,
        "south": 1,
    }


class OpenRequest:
    """A request that passes all other attempt rules."""

    closed = streaming = False
    deadline_ms = 1e18
    attempts = ()
    drained_zone = ""
    request_class = REQUEST_CLASS

    def __init__(self, function):
        self.function = function

    def attempts_in_flight(self):
        return []

    def attempts_that_may_have_run(self):
        return []


def test_rule_4_host_in_slow_start_gets_no_more_than_its_budget_even_alone():
    fleet = Fleet("ab")
    for i in range(60):
        fleet.serve(f"f{i}", delay_ms=5.0)
    fleet.update_endpoints(a={"started_at_ms": fleet.now}, b={"state": routing.HostState.GONE})
    sent = sum(bool(fleet.sent.get(fleet.request(f"g{i}", delay_ms=5.0)[0])) for i in range(60))
    assert 1 <= sent <= 0.6 * 3 * 0.3 * 60


def test_rule_5_load_orders_stay_within_their_quota():
    fleet = Fleet(
        may_order_loads=True, load_quota_base=1.0, load_quota_share=0.1, load_quota_window_ms=5000.0
    )
    for i in range(10):
        fleet.serve(f"f{i}", delay_ms=1.0)
    functions, host = list(fleet.router.history.functions.values()), fleet.router.hosts["a"]
    assert [fleet.router.load_orders.order(f, host) for f in functions[:4]] == [
        True,
        True,
        False,
        False,
    ]
    fleet.now += 6000
    fleet.router.context.now = fleet.now
    assert fleet.router.load_orders.order(
        functions[5], host
    ) and not fleet.router.load_orders.order(functions[6], host)


def test_expected_function_is_loaded_at_its_home_within_quota_and_never_at_a_draining_host():
    fleet = Fleet(
        may_order_loads=True, load_quota_base=2.0, load_quota_share=0.1, load_quota_window_ms=5000.0
    )
    orders = [
        a
        for i in range(6)
        for a in fleet.take(routing.FunctionExpected(f"thumbnail@{i}"))
        if isinstance(a, routing.OrderLoad)
    ]
    assert len(orders) == 2 and orders[0].function == "thumbnail@0"
    home = orders[0].host
    assert fleet.take(routing.FunctionExpected("thumbnail@0")) == [], "one order is already pending"
    fleet.take(
        routing.LoadOrderEnded("thumbnail@0", home, routing.AttemptOutcome.SUCCEEDED, 1, 300.0)
    )
    assert fleet.serve("thumbnail@0") == home
    other = Fleet(may_order_loads=True)
    other.update_endpoints(**{home: {"state": routing.HostState.DRAINING}})
    [order] = [
        a
        for a in other.take(routing.FunctionExpected("thumbnail@0"))
        if isinstance(a, routing.OrderLoad)
    ]
    assert order.host != home


def test_host_without_the_function_gets_a_load_order_and_then_the_request():
    fleet = Fleet(may_order_loads=True, reports_missing=True)
    request_id, _ = fleet.request()
    actions = fleet.end_attempt(request_id, routing.AttemptOutcome.FUNCTION_MISSING)
    assert kinds(actions) == [routing.OrderLoad] and str(request_id) in [
        a.token for a in actions if isinstance(a, routing.SetTimer)
    ]
    fleet.pass_time(100)
    fleet.take(routing.TimerFired(str(request_id)))
    assert fleet.sent[request_id] == [actions[0].host] * 2
    brief, _ = fleet.request("other", timeout_ms=200.0)
    actions = fleet.end_attempt(brief, routing.AttemptOutcome.FUNCTION_MISSING, delay_ms=180.0)
    assert [a.at_ms for a in actions if isinstance(a, routing.SetTimer)][0] < fleet.router.requests[
        brief
    ].deadline_ms
    assert kinds(fleet.take(routing.TimerFired(str(brief)), delay_ms=25.0)) == [
        routing.RejectRequest
    ]  # while its client still waits


def test_overload_rejects_requests_that_would_be_late():
    fleet = Fleet("a")
    request_ids = []
    for _ in range(20):
        request_id, actions = fleet.request(delay_ms=5.0)
        request_ids.append(request_id)
    for request_id in request_ids:
        if request_id in fleet.sent:
            fleet.end_attempt(request_id, duration_ms=900.0, delay_ms=40.0)
    answers = [a for _ in range(20) for a in fleet.request(delay_ms=1.0)[1]]
    rejected = [a for a in answers if isinstance(a, routing.RejectRequest)]
    assert rejected and all(0 < a.retry_after_ms <= 1000.0 for a in rejected)


def test_request_that_streams_has_no_second_attempt():
    fleet = Fleet(request_classes=(REQUEST_CLASS._replace(streaming=True),))
    request_id, _ = fleet.request()
    fleet.take(routing.StreamStarted(request_id, 0, fleet.sent[request_id][0]))
    fleet.router.lifecycle.cancel_attempt(fleet.router.requests[request_id].attempts[0])
    assert routing.CancelAttempt not in kinds(fleet.router.context.actions + fleet.pass_time(20000))
    assert (
        kinds(fleet.end_attempt(request_id, routing.AttemptOutcome.CONNECTION_LOST, closed=True))
        == []
        and not fleet.router.requests
    )


def test_failed_poll_of_the_endpoint_list_is_repeated():
    fleet = Fleet(polls_endpoints=True)
    assert routing.SetTimer in [
        type(a) for a in fleet.take(routing.EndpointsUpdated(routing.UpdateKind.FAILED, ()))
    ]
    assert kinds(fleet.take(routing.TimerFired("ask"))) == [routing.PollEndpoints]


def test_host_predicted_late_is_tried_by_one_gateway_at_a_time():
    taken = 0
    for index in range(50):
        fleet = Fleet("a", gateway_count=50, gateway_index=index, seed=index)
        fleet.router.statistics.response_time.value, fleet.router.statistics.response_time.at_ms = (
            450.0,
            fleet.now,
        )
        taken += fleet.request(timeout_ms=5000.0)[0] in fleet.sent
        fleet.now += 50 * 450.0
        assert fleet.request()[0] in fleet.sent
    assert taken < 25


def test_overload_by_one_tenant_is_not_overload_for_another():
    fleet = Fleet("a", tenants=(routing.Tenant("noisy", 1.0), routing.Tenant("calm", 100.0)))
    for _ in range(60):
        request_id, _ = fleet.request("thumbnail", timeout_ms=60.0, tenant="noisy", delay_ms=2.0)
        fleet.take(routing.RequestCancelled(request_id))
    noisy, calm = fleet.router.tenants.values()
    assert noisy.is_overloaded(fleet.now) and not calm.is_overloaded(fleet.now)


def test_idle_gateway_tries_again_and_one_slow_host_does_not_make_all_look_late():
    fleet = Fleet("ab", gateway_count=100)
    fleet.router.statistics.response_time.value, fleet.router.statistics.response_time.at_ms = (
        2000.0,
        fleet.now,
    )
    assert fleet.request(delay_ms=1.0)[0] not in fleet.sent
    assert fleet.request(delay_ms=15000.0)[0] in fleet.sent
    fleet = Fleet("abcd")
    for i in range(30):
        request_id, _ = fleet.request(f"f{i}", delay_ms=100.0)
        if request_id in fleet.sent:
            fleet.end_attempt(
                request_id, duration_ms=4000.0 if fleet.sent[request_id] == ["a"] else 50.0
            )
    assert fleet.router.mean_response_ms() < 0.75 * 500.0


def test_attempts_lost_together_count_as_one_failure():
    failures_by_count = []
    for count in (1, 6):
        fleet = Fleet("a")
        request_ids = [fleet.request()[0] for _ in range(count)]
        for request_id in request_ids:
            fleet.end_attempt(
                request_id, outcome=routing.AttemptOutcome.CONNECT_FAILED, delay_ms=10.0
            )
        failures_by_count.append(fleet.router.hosts["a"].health.consecutive_failures)
    assert failures_by_count[0] == failures_by_count[1] == 2


def test_success_ends_an_ejection():
    fleet = Fleet("ab")
    request_ids = [fleet.request()[0] for _ in range(4)]
    host = fleet.sent[request_ids[0]][0]
    at_host = [request_id for request_id in request_ids if fleet.sent[request_id][0] == host]
    fleet.end_attempt(at_host[0], outcome=routing.AttemptOutcome.CONNECT_FAILED, delay_ms=10.0)
    assert fleet.router.hosts[host].health.ejected_until_ms > fleet.now
    fleet.end_attempt(at_host[1], delay_ms=10.0)
    assert (
        fleet.router.hosts[host].health.ejected_until_ms <= fleet.now
        and not fleet.router.hosts[host].health.consecutive_failures
    )


def test_short_wait_without_response_is_no_failure_and_a_long_one_is():
    for duration_ms, failures in ((100.0, 0), (2500.0, 2)):
        fleet = Fleet("a")
        fleet.serve()
        request_id, _ = fleet.request(delay_ms=10.0)
        fleet.end_attempt(
            request_id,
            outcome=routing.AttemptOutcome.NO_RESPONSE,
            duration_ms=duration_ms,
            closed=True,
            delay_ms=duration_ms,
        )
        assert fleet.router.hosts["a"].health.consecutive_failures == failures
