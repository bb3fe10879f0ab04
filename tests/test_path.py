"""The design's ordinary path, and what happens to a range when hosts come, go or turn bad."""

from fake import Fleet, kinds

from cherrydoor.routing import messages as routing


def test_every_gateway_sends_a_function_to_the_same_home():
    for function in ("deed", "lease", "clause"):
        assert len({Fleet(gateway_index=me).handle(function) for me in range(5)}) == 1


def test_second_worker_only_for_the_most_called_and_ties_to_the_home():
    fleet = Fleet()
    fleet.crowd = 1
    home = fleet.handle("deed")
    second = next(
        h for h in (fleet.sent[fleet.event("deed")[0]][0] for _ in range(12)) if h != home
    )
    assert second in fleet.rows and len({fleet.sent[e][0] for e in fleet.sent}) == 2
    calm = Fleet()
    first = calm.handle("deed")
    for _ in range(3):
        assert calm.sent[calm.event("deed")[0]][0] == first
    calm.rest(60000)
    assert (
        "deed" not in calm.router.history.functions
        or calm.router.history.functions["deed"].count < 1
    )


def test_home_at_t2_sheds_until_below_t1():
    fleet = Fleet(gateway_count=10)
    host, held, shed_at = fleet.router.hosts[fleet.handle("deed")], [], None
    while shed_at is None:
        event, _ = fleet.event("deed")
        held += [event] if fleet.sent[event][0] == host.id else []
        shed_at = len(host.out) if host.busy() else None
    away, _ = fleet.event("deed")
    assert shed_at == 5 and fleet.sent[away][0] != host.id
    for event in held:
        assert host.busy() == (len(host.out) >= 3)
        fleet.answer(event)


def test_full_answer_sends_the_event_to_the_second_worker():
    fleet = Fleet()
    home = fleet.handle("deed")
    event, _ = fleet.event("deed")
    fleet.answer(event, routing.AttemptOutcome.FULL)
    assert len(set(fleet.sent[event])) == 2 and fleet.router.hosts[home].busy()


def test_full_where_no_copy_stood_hands_that_function_alone_to_the_next_in_order():
    fleet, order = Fleet(), "abcd"
    event, _ = fleet.event("deed")
    fleet.answer(event, routing.AttemptOutcome.FULL)
    home, heir = fleet.sent[event]
    assert heir == order[(order.index(home) + 1) % 4] and not fleet.router.hosts[home].busy()
    fleet.answer(event)
    assert fleet.handle("deed") == heir
    assert home in {fleet.handle(f"f{i}") for i in range(20)}


def test_predicted_late_goes_to_the_standing_copy_with_the_least_wait():
    fleet = Fleet()
    home = fleet.handle("deed")
    other = next(h for h in "abcd" if h != home)
    fleet.router.history.functions["deed"].copies[fleet.router.hosts[other]] = fleet.now
    fleet.event("deed")
    fleet.now += 600  # the home has stalled, and no sweep has come yet
    assert fleet.handle("deed") == other


def test_drained_range_goes_to_the_next_in_order_and_a_newcomer_takes_it_over():
    fleet = Fleet()
    home = fleet.handle("deed")
    others = {f: fleet.handle(f) for f in ("f1", "f2", "f3", "f4", "f5", "f6")}
    fleet.list(**{home: {"state": routing.HostState.DRAINING}})
    order = sorted(fleet.rows)
    assert fleet.handle("deed") == order[(order.index(home) + 1) % len(order)]
    fleet.list(
        routing.UpdateKind.INCREMENTAL,
        **{home: {"state": routing.HostState.GONE}, "zz": {"started_at_ms": 1.0}},
    )
    assert fleet.handle("deed") == "zz"
    for f, host in others.items():
        assert fleet.handle(f) == ("zz" if host == home else host)  # no other range moved


def test_cold_host_takes_its_range_back_bit_by_bit():
    fleet = Fleet(overload_window_ms=0.0)
    names = [f"f{i}" for i in range(200)]
    mine = [f for f in names if fleet.handle(f) == "b"]
    fleet.list(b={"started_at_ms": fleet.now})
    shares = []
    for _ in range(4):
        shares.append(sum(fleet.handle(f, later=0.0) == "b" for f in mine) / len(mine))
        fleet.now += 3500
    assert shares[0] < 0.5 and shares == sorted(shares) and shares[-1] == 1.0


def test_nobody_waits_behind_a_load_while_a_copy_stands_elsewhere():
    fleet = Fleet(slow_start_ms=1.0)
    home = fleet.handle("deed")
    fleet.list(**{home: {"state": routing.HostState.DRAINING}})
    stand_in = fleet.handle("deed")
    fleet.list(**{home: {"state": routing.HostState.READY, "started_at_ms": fleet.now}})
    fleet.now += 2000
    scout, _ = fleet.event("deed")
    assert fleet.sent[scout] == [home]
    assert fleet.handle("deed") == stand_in  # home loads for the scout
    fleet.answer(scout, copy=2)
    assert fleet.handle("deed") == home


def test_a_function_released_anew_is_believed_nowhere_until_it_answers():
    fleet = Fleet()
    home = fleet.handle("deed")
    func = fleet.router.history.functions["deed"]
    func.copies[fleet.router.hosts["a"]] = func.copies[fleet.router.hosts["b"]] = fleet.now
    fleet.handle("deed", copy=2)
    assert [h.id for h in func.copies] == [home]


def test_order_opens_the_second_copy_before_events_go_there():
    fleet = Fleet(may_order_loads=True)
    fleet.crowd = 1
    home = fleet.handle("deed")
    _, found = fleet.event("deed")  # one stays out, so that the home is the busier of the two
    for _ in range(8):
        event, actions = fleet.event("deed", later=1.0)
        found += actions
        fleet.answer(event)
    order = next(a for a in found if isinstance(a, routing.OrderLoad))
    assert {h for hosts in fleet.sent.values() for h in hosts} == {home} and kinds(found).count(
        routing.OrderLoad
    ) == 1
    fleet.take(
        routing.LoadOrderEnded("deed", order.host, routing.AttemptOutcome.SUCCEEDED, 1, 600.0)
    )
    assert fleet.sent[fleet.event("deed")[0]] == [order.host]


def test_what_other_gateways_calls_keep_standing_is_used_with_no_order():
    for gateways, crowd in ((200, 8), (200, 0), (1, 8)):
        fleet = Fleet([f"h{i}" for i in range(20)], may_order_loads=True, gateway_count=gateways)
        fleet.crowd, found = crowd, []
        home = fleet.handle("deed")
        for _ in range(4):
            found += fleet.event("deed", later=1.0)[1]
        hosts = {fleet.sent[e][0] for e in range(2, 6)}
        kept = fleet.router.zone.kept(
            fleet.router.history.functions["deed"]
        )  # one alone knows by its own calls
        assert bool(kept) == (gateways == 200 and crowd == 8)
        assert (hosts != {home} and not kinds(found).count(routing.OrderLoad)) == (
            gateways == 200 and crowd == 8
        )


def test_second_workers_that_too_little_work_calls_for_are_not_held_to_be_kept():
    fleet = Fleet([f"h{i}" for i in range(20)], may_order_loads=True, gateway_count=200)
    home = fleet.handle("deed")
    func = fleet.router.history.functions["deed"]
    for work, some in ((0.1, [home]), (0.3, None)):
        func.work.value = work
        kept = [h.id for h in fleet.router.zone.kept(func)]
        assert kept == some if some else len(kept) > 1


def test_others_second_workers_are_held_kept_where_gateways_with_half_the_groups_go_too():
    for me in (1, 6):
        fleet = Fleet([f"h{i}" for i in range(60)], gateway_count=200, gateway_index=me)
        fleet.handle("deed")
        func = fleet.router.history.functions["deed"]
        func.groups, half = 8, {func.place(f"deed/{k}") for k in range(4)}
        assert set(func.seconds()) == half | {func.second()}


def test_a_cold_host_is_not_held_to_have_what_others_keep():
    fleet = Fleet([f"h{i}" for i in range(20)], may_order_loads=True, gateway_count=200)
    fleet.crowd = 8
    fleet.handle("deed")
    func, zone = fleet.router.history.functions["deed"], fleet.router.zone
    known = zone.kept(func)
    assert len(known) > 1
    fleet.list(**{known[-1].id: {"started_at_ms": fleet.now}})
    assert known[-1] not in zone.kept(func)
