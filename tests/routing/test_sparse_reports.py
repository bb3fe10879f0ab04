"""Routing where responses report little, hosts are in slow start or the router has just started."""

from fake_fleet import Fleet, kinds

from cherrydoor.routing import messages as routing


def serve_sparsely(
    fleet,
    function,
    duration_ms=50.0,
    in_flight=None,
    outcome=routing.AttemptOutcome.SUCCEEDED,
    delay_ms=10.0,
):
    """Sends a request whose response reports no copy and no concurrency; returns its host."""
    request_id, _ = fleet.request(function, delay_ms=delay_ms)
    fleet.take(
        routing.AttemptEnded(
            request_id,
            0,
            outcome,
            outcome == routing.AttemptOutcome.SUCCEEDED,
            fleet.sent[request_id][0],
            duration_ms,
            None,
            None,
            in_flight,
        ),
        delay_ms,
    )
    return fleet.sent[request_id][0]


def test_groups_follow_own_calls_where_concurrency_is_not_reported():
    positions = set()
    for index in range(12):
        fleet = Fleet("abcdefgh", gateway_index=index, gateway_count=12)
        for _ in range(80):
            serve_sparsely(fleet, "thumbnail", duration_ms=300.0, delay_ms=20.0)
        positions.add(fleet.router.history.functions["thumbnail"].second_position())
    assert len(positions) > 4


def test_lasting_high_concurrency_creates_no_more_groups_than_gateways():
    fleet = Fleet(gateway_count=10)
    fleet.concurrency = 30
    for _ in range(1200):
        fleet.serve(delay_ms=0.1)
    assert 10 <= fleet.router.history.functions["thumbnail"].groups < 20


def test_load_does_not_look_like_a_slow_host_where_copies_are_not_reported():
    fleet = Fleet()
    home = fleet.router.hosts[serve_sparsely(fleet, "thumbnail", duration_ms=2000.0)]
    assert home.load.mean_response_ms() < 200
    serve_sparsely(fleet, "thumbnail", duration_ms=400.0)
    assert home.load.mean_response_ms() > 125


def test_reported_in_flight_requests_make_a_host_shed_load():
    fleet = Fleet(gateway_count=40)
    for _ in range(30):
        home = serve_sparsely(fleet, "thumbnail", duration_ms=60.0, in_flight=0.0)
    host = fleet.router.hosts[home]
    assert not host.load.check_overload()
    serve_sparsely(fleet, "thumbnail", duration_ms=60.0, in_flight=20.0)
    assert (
        host.load.check_overload()
        and host.load.predicted_response_ms(fleet.router.history.functions["thumbnail"]) > 375
    )
    fleet.now += 20000
    fleet.update_endpoints()
    assert not host.load.check_overload()


def test_concurrency_gives_the_time_per_request_where_no_load_is_reported():
    fleet = Fleet(gateway_count=40)
    for _ in range(30):
        home = fleet.router.hosts[fleet.serve("thumbnail")]
    assert not home.load.check_overload()
    fleet.concurrency = 16
    fleet.serve("thumbnail")
    assert (
        home.load.check_overload()
        and home.load.predicted_response_ms(fleet.router.history.functions["thumbnail"]) > 375
    )
    loads = Fleet(gateway_count=40)
    for _ in range(3):
        loads.serve("thumbnail", copy=2)  # a load time is not a response time
    assert loads.router.statistics.time_per_request_ms == 0.0
    few = Fleet(
        "abcdef", gateway_count=3
    )  # own requests in flight are a third of all and show the load
    few.serve("thumbnail")
    assert few.router.statistics.time_per_request_ms == 0.0


def test_host_unresponsive_to_one_request_class_still_serves_the_other():
    book = routing.RequestClass(
        "book", 500.0, 5000.0, routing.RetrySafety.IDEMPOTENCY_KEY, "cell", 6000.0
    )
    fleet = Fleet(request_classes=(routing.RequestClass("redraft", 500.0, 5000.0), book))
    home = fleet.serve("thumbnail")
    rare = next(f for f in (f"f{i}" for i in range(50)) if fleet.serve(f) == home)
    fleet.request_count += 1
    lost = fleet.request_count
    fleet.take(routing.RequestArrived(lost, "book", "", "thumbnail", fleet.now + 5000.0, 4.0, 0.0))
    assert fleet.sent[lost] == [home]
    for _ in range(25):
        fleet.serve("thumbnail", delay_ms=50.0)
        fleet.take(routing.TimerFired("sweep"))
    fleet.end_attempt(lost, routing.AttemptOutcome.NO_RESPONSE, closed=True)
    fleet.take(routing.HealthCheckEnded(home, routing.AttemptOutcome.SUCCEEDED, 1.0))
    fleet.request_count += 1
    fleet.take(
        routing.RequestArrived(fleet.request_count, "book", "", rare, fleet.now + 5000.0, 4.0, 0.0)
    )
    assert fleet.sent[fleet.request_count] != [home] and fleet.serve(rare) == home
    ejected = [
        fleet.router.hosts[home].health.is_ejected_for(request_class, fleet.now)
        for request_class in fleet.router.settings.request_classes.values()
    ]
    assert ejected == [False, True]


def test_positions_not_owned_by_a_host_in_slow_start_are_spread_over_all_others():
    fleet = Fleet("abcdefgh")
    at = {f"f{i}": fleet.serve(f"f{i}") for i in range(200)}
    warming = at["f0"]
    fleet.update_endpoints(**{warming: {"started_at_ms": fleet.now}})
    fleet.pass_time(1000)
    stand_ins = {fleet.serve(f) for f, host in at.items() if host == warming}
    assert len(stand_ins - {warming}) > 3


def test_report_of_a_full_host_shows_a_full_queue_or_a_lack_of_memory():
    for concurrency, queue, unevictable, memory in (
        (0, 9.0, None, False),
        (0, None, None, True),
        (None, None, 0.3, False),
        (None, None, 0.97, True),
    ):
        fleet = Fleet()
        request_id, _ = fleet.request("thumbnail")
        home = fleet.router.hosts[fleet.sent[request_id][0]]
        fleet.take(
            routing.AttemptEnded(
                request_id,
                0,
                routing.AttemptOutcome.FULL,
                False,
                home.id,
                1.0,
                None,
                concurrency,
                10.0,
                queue,
                unevictable,
            )
        )
        assert (not home.has_memory()) == memory, (concurrency, queue, unevictable)


def test_budget_in_slow_start_depends_on_the_ready_capacity():
    def budgets(**warming):
        fleet = Fleet(
            "abcdefgh", gateway_count=200
        )  # so many that the floor of the rate, a part of one request, does not apply
        for i in range(200):
            fleet.serve(f"f{i % 20}", delay_ms=5.0)
        fleet.update_endpoints(**{host: {"started_at_ms": fleet.now} for host in warming})
        fleet.take(routing.TimerFired("sweep"))
        first, before = (
            fleet.router.statistics.warm_host_rate_per_ms(),
            fleet.router.statistics.succeeded.read(fleet.now),
        )
        fleet.serve("f1", delay_ms=0.0)
        return first, fleet.router.statistics.succeeded.read(fleet.now) - before

    (first, more), (usual, each) = budgets(a=1, b=1, c=1, d=1), budgets()
    assert more > 1.3 * each, "new successes are divided by the capacity that is ready now"
    assert first < 1.01 * usual, (
        "earlier successes were divided by the full capacity: warming hosts get no higher rate"
    )


def test_paused_gateway_does_not_mistake_its_pause_for_silence_of_hosts():
    fleet = Fleet()
    fleet.serve("thumbnail")
    fleet.take(routing.TimerFired("sweep"), 100.0)
    fleet.request("thumbnail")
    assert routing.CheckHealth not in kinds(fleet.take(routing.TimerFired("sweep"), 2000.0))
    assert routing.CheckHealth in kinds(fleet.pass_time(300.0)), (
        "continued silence is a failure of the host"
    )


def test_first_window_is_counted_from_the_start():
    """The first interval must not begin at the clock's epoch: it would span fifty years.

    The estimate of concurrency from own calls would then be close to zero.
    """
    fleet = Fleet("ab")
    fleet.router.start(fleet.now)
    for _ in range(100):
        fleet.request(delay_ms=20.0)
    fleet.pass_time(300.0)
    assert 1900.0 <= fleet.router.history.halving_interval_ms < 4000.0
