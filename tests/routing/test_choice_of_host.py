"""The choice of a host, and the owners of ranges when hosts start, stop or fail."""

from fake_fleet import Fleet, kinds

from cherrydoor.routing import messages as routing
from cherrydoor.routing.function import position


def test_every_gateway_sends_a_function_to_the_same_home():
    for function in ("thumbnail", "resize", "encode"):
        assert len({Fleet(gateway_index=index).serve(function) for index in range(5)}) == 1


def test_only_a_most_called_function_has_a_second_worker_and_equal_load_goes_home():
    fleet = Fleet()
    fleet.concurrency = 1
    home = fleet.serve("thumbnail")
    second = next(
        h for h in (fleet.sent[fleet.request("thumbnail")[0]][0] for _ in range(12)) if h != home
    )
    assert second in fleet.endpoints and len({fleet.sent[e][0] for e in fleet.sent}) == 2
    idle = Fleet()
    first = idle.serve("thumbnail")
    for _ in range(3):
        assert idle.sent[idle.request("thumbnail")[0]][0] == first
    idle.pass_time(60000)
    assert (
        "thumbnail" not in idle.router.history.functions
        or idle.router.history.functions["thumbnail"].call_count < 1
    )


def test_home_worker_at_t2_sheds_load_until_below_t1():
    fleet = Fleet(gateway_count=10)
    host = fleet.router.hosts[fleet.serve("thumbnail")]
    request_ids = []
    overloaded_at = None
    while overloaded_at is None:
        request_id, _ = fleet.request("thumbnail")
        if fleet.sent[request_id][0] == host.id:
            request_ids.append(request_id)
        overloaded_at = len(host.in_flight) if host.load.check_overload() else None
    next_request_id, _ = fleet.request("thumbnail")
    assert overloaded_at == 5 and fleet.sent[next_request_id][0] != host.id
    for request_id in request_ids:
        assert host.load.check_overload() == (len(host.in_flight) >= 3)
        fleet.end_attempt(request_id)


def test_request_refused_by_a_full_host_is_retried_at_the_second_worker():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    request_id, _ = fleet.request("thumbnail")
    fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)
    assert len(set(fleet.sent[request_id])) == 2 and fleet.router.hosts[home].load.check_overload()


def test_host_full_without_a_copy_passes_only_that_function_to_the_next_host():
    fleet, order = Fleet(), "abcd"
    request_id, _ = fleet.request("thumbnail")
    fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)
    home, next_host = fleet.sent[request_id]
    assert (
        next_host == order[(order.index(home) + 1) % 4]
        and not fleet.router.hosts[home].load.check_overload()
    )
    fleet.end_attempt(request_id)
    assert fleet.serve("thumbnail") == next_host
    assert home in {fleet.serve(f"f{i}") for i in range(20)}


def test_request_predicted_late_goes_to_the_loaded_copy_that_is_predicted_fastest():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    other = next(h for h in "abcd" if h != home)
    fleet.router.history.functions["thumbnail"].copies[fleet.router.hosts[other]] = fleet.now
    fleet.request("thumbnail")
    fleet.now += 600  # the home has stalled and there has been no sweep yet
    assert fleet.serve("thumbnail") == other


def test_range_of_a_draining_host_goes_to_the_next_host_and_then_to_a_new_one():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    others = {f: fleet.serve(f) for f in ("f1", "f2", "f3", "f4", "f5", "f6")}
    fleet.update_endpoints(**{home: {"state": routing.HostState.DRAINING}})
    order = sorted(fleet.endpoints)
    assert fleet.serve("thumbnail") == order[(order.index(home) + 1) % len(order)]
    fleet.update_endpoints(
        routing.UpdateKind.INCREMENTAL,
        **{home: {"state": routing.HostState.GONE}, "zz": {"started_at_ms": 1.0}},
    )
    assert fleet.serve("thumbnail") == "zz"
    for f, host in others.items():
        assert fleet.serve(f) == ("zz" if host == home else host)  # no other range has a new owner


def test_host_in_slow_start_takes_its_range_back_step_by_step():
    fleet = Fleet(overload_window_ms=0.0)
    names = [f"f{i}" for i in range(200)]
    functions_of_b = [f for f in names if fleet.serve(f) == "b"]
    fleet.update_endpoints(b={"started_at_ms": fleet.now})
    shares = []
    for _ in range(4):
        shares.append(
            sum(fleet.serve(f, delay_ms=0.0) == "b" for f in functions_of_b) / len(functions_of_b)
        )
        fleet.now += 3500
    assert shares[0] < 0.5 and shares == sorted(shares) and shares[-1] == 1.0


def test_no_second_request_waits_for_a_load_while_a_copy_is_loaded_elsewhere():
    fleet = Fleet(slow_start_ms=1.0)
    home = fleet.serve("thumbnail")
    fleet.update_endpoints(**{home: {"state": routing.HostState.DRAINING}})
    stand_in = fleet.serve("thumbnail")
    fleet.update_endpoints(**{home: {"state": routing.HostState.READY, "started_at_ms": fleet.now}})
    fleet.now += 2000
    first, _ = fleet.request("thumbnail")
    assert fleet.sent[first] == [home]
    assert fleet.serve("thumbnail") == stand_in  # home still loads the copy for the first request
    fleet.end_attempt(first, copy=2)
    assert fleet.serve("thumbnail") == home


def test_copies_of_a_newly_released_function_are_forgotten_until_hosts_respond():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    function = fleet.router.history.functions["thumbnail"]
    function.copies[fleet.router.hosts["a"]] = function.copies[fleet.router.hosts["b"]] = fleet.now
    fleet.serve("thumbnail", copy=2)
    assert [h.id for h in function.copies] == [home]


def test_load_order_precedes_requests_to_the_second_worker():
    fleet = Fleet(may_order_loads=True)
    fleet.concurrency = 1
    home = fleet.serve("thumbnail")
    _, actions_found = fleet.request(
        "thumbnail"
    )  # stays in flight, so that the home has more load than the second worker
    for _ in range(8):
        request_id, actions = fleet.request("thumbnail", delay_ms=1.0)
        actions_found += actions
        fleet.end_attempt(request_id)
    order = next(a for a in actions_found if isinstance(a, routing.OrderLoad))
    assert {h for hosts in fleet.sent.values() for h in hosts} == {home} and kinds(
        actions_found
    ).count(routing.OrderLoad) == 1
    fleet.take(
        routing.LoadOrderEnded("thumbnail", order.host, routing.AttemptOutcome.SUCCEEDED, 1, 600.0)
    )
    assert fleet.sent[fleet.request("thumbnail")[0]] == [order.host]


def test_copies_kept_loaded_by_other_gateways_are_used_without_a_load_order():
    for gateways, concurrency in ((200, 8), (200, 0), (1, 8)):
        fleet = Fleet([f"h{i}" for i in range(20)], may_order_loads=True, gateway_count=gateways)
        fleet.concurrency, actions_found = concurrency, []
        home = fleet.serve("thumbnail")
        for _ in range(4):
            actions_found += fleet.request("thumbnail", delay_ms=1.0)[1]
        hosts = {fleet.sent[e][0] for e in range(2, 6)}
        presumed = fleet.router.zone_table.presumed_holders(
            fleet.router.history.functions["thumbnail"]
        )  # a gateway alone sees all copies by its own calls and presumes none
        assert bool(presumed) == (gateways == 200 and concurrency == 8)
        assert (hosts != {home} and not kinds(actions_found).count(routing.OrderLoad)) == (
            gateways == 200 and concurrency == 8
        )


def test_second_workers_of_a_function_with_little_concurrency_are_not_presumed_holders():
    fleet = Fleet([f"h{i}" for i in range(20)], may_order_loads=True, gateway_count=200)
    home = fleet.serve("thumbnail")
    function = fleet.router.history.functions["thumbnail"]
    for concurrency, expected in ((0.1, [home]), (0.3, None)):
        function.concurrency.value = concurrency
        presumed = [h.id for h in fleet.router.zone_table.presumed_holders(function)]
        assert presumed == expected if expected else len(presumed) > 1


def test_second_workers_of_other_groups_are_presumed_holders_up_to_half_the_groups():
    for index in (1, 6):
        fleet = Fleet([f"h{i}" for i in range(60)], gateway_count=200, gateway_index=index)
        fleet.serve("thumbnail")
        function = fleet.router.history.functions["thumbnail"]
        half = {position(f"thumbnail/{k}") for k in range(4)}
        function.groups = 8
        assert set(function.second_positions()) == half | {function.second_position()}


def test_host_in_slow_start_is_not_a_presumed_holder():
    fleet = Fleet([f"h{i}" for i in range(20)], may_order_loads=True, gateway_count=200)
    fleet.concurrency = 8
    fleet.serve("thumbnail")
    function, zone = fleet.router.history.functions["thumbnail"], fleet.router.zone_table
    known = zone.presumed_holders(function)
    assert len(known) > 1
    fleet.update_endpoints(**{known[-1].id: {"started_at_ms": fleet.now}})
    assert known[-1] not in zone.presumed_holders(function)
