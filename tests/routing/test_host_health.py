"""Hosts that are silent, dead, slow, full or short of memory, at one router."""

from fake_fleet import Fleet

from cherrydoor.routing import messages as routing
from cherrydoor.routing.decay import DecayingValue


def test_silent_host_is_checked_its_attempts_are_cancelled_and_its_range_moves():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    stuck, _ = fleet.request("thumbnail")
    actions = fleet.pass_time(1500)
    assert routing.CheckHealth(home) in actions
    assert routing.CancelAttempt(stuck, 0) in fleet.take(
        routing.HealthCheckEnded(home, routing.AttemptOutcome.NO_RESPONSE, 250.0)
    )
    fleet.end_attempt(stuck, routing.AttemptOutcome.CANCELLED)
    assert fleet.sent[stuck][1] != home and fleet.serve("thumbnail") != home
    fleet.pass_time(3000)
    fleet.take(routing.HealthCheckEnded(home, routing.AttemptOutcome.SUCCEEDED, 1.0))
    assert not fleet.router.hosts[home].health.check_in_flight and fleet.router.hosts[
        home
    ].is_ready(fleet.now)


def test_dead_host_is_ejected_and_returns_after_a_health_check():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    request_id, _ = fleet.request("thumbnail")
    fleet.end_attempt(request_id, routing.AttemptOutcome.CONNECT_FAILED)
    assert fleet.sent[request_id][1] != home and fleet.serve("thumbnail") != home
    assert routing.CheckHealth(home) in fleet.pass_time(3000)
    fleet.take(routing.HealthCheckEnded(home, routing.AttemptOutcome.SUCCEEDED, 1.0))
    assert fleet.serve("thumbnail") == home


def test_no_host_is_ejected_while_most_hosts_are_suspect():
    fleet = Fleet("abc")
    for host in ("a", "b"):
        (
            fleet.router.hosts[host].health.consecutive_failures,
            fleet.router.hosts[host].health.ejected_until_ms,
        ) = 2, fleet.now + 60000
    fleet.pass_time(100)
    assert {fleet.serve(f"f{i}") for i in range(30)} == {"a", "b", "c"}


def test_function_that_is_not_most_called_stays_at_an_overloaded_home():
    fleet = Fleet()
    home = fleet.serve("rare")
    host = fleet.router.hosts[home]
    while not host.load.check_overload():  # loaded by requests of another function
        fleet.router.context.queue(host.record_sent, StuckAttempt(host, fleet.now), fleet.now)
        fleet.update_endpoints()
    assert fleet.serve("rare") == home


class StuckAttempt:
    """An attempt in flight of another function; the object also serves as its request."""

    copy_was_loaded = True
    presumed_lost = False
    streaming = False
    function = None
    request_class = routing.RequestClass("other", 500.0, 5000.0)

    def __init__(self, host, now):
        self.host = host
        self.request = self
        self.sent_at_ms = now


def test_one_attempt_waiting_for_a_load_does_not_make_its_host_look_late():
    fleet = Fleet()
    home = fleet.serve("thumbnail")
    evicted = next(f for f in (f"f{i}" for i in range(50)) if fleet.serve(f) == home)
    fleet.request(evicted)  # its copy was evicted, so it waits for a load
    for _ in range(4):
        assert fleet.serve("thumbnail", delay_ms=120.0) == home
    host = fleet.router.hosts[home]
    functions = fleet.router.history.functions
    assert (
        host.load.predicted_response_ms(functions[evicted])
        > 800
        > host.load.predicted_response_ms(functions["thumbnail"])
    )


def test_one_more_copy_is_loaded_when_all_are_late_unless_memory_is_short():
    for memory_is_short in (False, True):
        fleet = Fleet("abc")
        home = fleet.serve("thumbnail")
        for host in fleet.router.hosts.values():
            host.memory_refused_at_ms = fleet.now if memory_is_short else host.memory_refused_at_ms
        fleet.request("thumbnail")
        fleet.now += 700
        request_id, _ = fleet.request("thumbnail")
        assert (fleet.sent.get(request_id, [home]) != [home]) == (not memory_is_short)


def test_ranges_are_redistributed_after_a_long_vacancy_and_sooner_for_a_host_without_one():
    fleet = Fleet()
    fleet.update_endpoints(b={"state": routing.HostState.GONE})
    fleet.pass_time(50000)
    assert len(fleet.router.zone_table.owners) == 4
    fleet.pass_time(13000)
    assert [h.id for h in fleet.router.zone_table.owners] == ["a", "c", "d"]
    fleet.update_endpoints(b={"state": routing.HostState.READY, "started_at_ms": fleet.now})
    fleet.pass_time(18000)
    assert [h.id for h in fleet.router.zone_table.owners] == ["a", "b", "c", "d"]


def test_most_called_functions_are_found_by_reported_concurrency_not_by_own_calls():
    for concurrency, spread in ((0, 1), (2, 2)):
        fleet = Fleet(gateway_count=100)
        fleet.concurrency = concurrency
        hosts = {fleet.serve("thumbnail")} | {
            fleet.sent[fleet.request("thumbnail", delay_ms=1.0)[0]][0] for _ in range(2)
        }
        assert len(hosts) == spread


def test_number_of_second_workers_follows_concurrency_not_the_number_of_gateways():
    for concurrency, most in ((1, 2), (9, 40)):
        seconds = set()
        for index in range(60):
            fleet = Fleet([f"h{i}" for i in range(50)], gateway_count=60, gateway_index=index)
            fleet.concurrency = concurrency
            home = fleet.serve("thumbnail")
            seconds |= {
                fleet.sent[fleet.request("thumbnail", delay_ms=1.0)[0]][0] for _ in range(2)
            } - {home}
        assert most / 5 < len(seconds) <= most


def test_full_queue_of_a_host_with_a_copy_is_not_a_lack_of_memory():
    for concurrency in (0, 30):
        fleet = Fleet()
        request_id, _ = fleet.request("thumbnail")
        fleet.concurrency = concurrency
        fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)
        assert fleet.router.hosts[fleet.sent[request_id][0]].load.check_overload() == (
            concurrency > 0
        )
        assert (not fleet.router.hosts[fleet.sent[request_id][0]].has_memory()) == (
            concurrency == 0
        )


def test_no_copy_is_loaded_on_a_second_worker_while_memory_is_short():
    for memory_is_short in (False, True):
        fleet = Fleet(gateway_count=20)
        fleet.concurrency = 1
        home = fleet.serve("thumbnail")
        for host in fleet.router.hosts.values():
            host.memory_refused_at_ms = fleet.now if memory_is_short else host.memory_refused_at_ms
        hosts = {fleet.sent[fleet.request("thumbnail", delay_ms=1.0)[0]][0] for _ in range(3)}
        assert (hosts == {home}) == memory_is_short


def test_requests_of_other_gateways_count_as_load_and_age():
    fleet = Fleet()
    fleet.concurrency = 1
    home = fleet.router.hosts[fleet.serve("thumbnail")]
    home.load.others_in_flight = DecayingValue(fleet.now, 20.0)  # as the home reported
    assert fleet.serve("thumbnail") != home.id
    fleet.now += 20000
    assert fleet.serve("thumbnail") == home.id


def test_request_that_ends_without_a_response_raises_the_mean_response_time():
    fleet = Fleet()
    home = fleet.router.hosts[fleet.serve("thumbnail")]
    request_id, _ = fleet.request("thumbnail")
    fleet.end_attempt(
        request_id, routing.AttemptOutcome.NO_RESPONSE, duration_ms=3000.0, delay_ms=3000.0
    )
    assert home.load.mean_response_ms() > 1000.0
    fleet.now += 30000
    fleet.update_endpoints()
    assert home.load.mean_response_ms() < 500.0


def test_full_host_is_predicted_late_for_a_short_time():
    fleet = Fleet("a")
    fleet.serve("thumbnail")
    request_id, _ = fleet.request("thumbnail")
    fleet.end_attempt(request_id, routing.AttemptOutcome.FULL)
    assert fleet.request("thumbnail")[0] not in fleet.sent
    assert fleet.request("thumbnail", delay_ms=2000.0)[0] in fleet.sent
