"""What a gateway makes of hosts that are silent, dead, slow, full or short of memory, and of its own standstill."""

from fake import Fleet

from cherrydoor.routing import messages as routing
from cherrydoor.routing.decay import DecayingValue


def test_silent_host_is_probed_its_events_taken_back_and_its_range_handed_on():
    fleet = Fleet()
    home = fleet.handle("deed")
    stuck, _ = fleet.event("deed")
    found = fleet.rest(1500)
    assert routing.CheckHealth(home) in found
    assert routing.CancelAttempt(stuck, 0) in fleet.take(
        routing.HealthCheckEnded(home, routing.AttemptOutcome.NO_RESPONSE, 250.0)
    )
    fleet.answer(stuck, routing.AttemptOutcome.CANCELLED)
    assert fleet.sent[stuck][1] != home and fleet.handle("deed") != home
    fleet.rest(3000)
    fleet.take(routing.HealthCheckEnded(home, routing.AttemptOutcome.SUCCEEDED, 1.0))
    assert not fleet.router.hosts[home].probing and fleet.router.hosts[home].ready(fleet.now)


def test_dead_host_is_left_and_comes_back_by_a_probe():
    fleet = Fleet()
    home = fleet.handle("deed")
    event, _ = fleet.event("deed")
    fleet.answer(event, routing.AttemptOutcome.CONNECT_FAILED)
    assert fleet.sent[event][1] != home and fleet.handle("deed") != home
    assert routing.CheckHealth(home) in fleet.rest(3000)
    fleet.take(routing.HealthCheckEnded(home, routing.AttemptOutcome.SUCCEEDED, 1.0))
    assert fleet.handle("deed") == home


def test_when_most_hosts_look_bad_none_is_held_to_be():
    fleet = Fleet("abc")
    for host in ("a", "b"):
        fleet.router.hosts[host].strikes, fleet.router.hosts[host].shut = 2, fleet.now + 60000
    fleet.rest(100)
    assert {fleet.handle(f"f{i}") for i in range(30)} == {"a", "b", "c"}


def test_only_the_most_called_shed_to_a_second_worker():
    fleet = Fleet()
    home = fleet.handle("rare")
    host = fleet.router.hosts[home]
    while not host.busy():  # busy with another function that lives there
        host.post("sent", Stuck(host), fleet.now)
        fleet.list()
    assert fleet.handle("rare") == home


class Stuck:
    """A launch of some other function, as a host's inbox sees it."""

    stood, sent, silent, clause = True, 0.0, False, routing.RequestClass("other", 500.0, 5000.0)

    def __init__(self, host):
        self.host, self.evt, self.sent = host, self, host.router.now
        self.func, self.streams = None, False


def test_one_launch_stuck_behind_a_reload_does_not_make_its_host_look_late():
    fleet = Fleet()
    home = fleet.handle("deed")
    swept = next(f for f in (f"f{i}" for i in range(50)) if fleet.handle(f) == home)
    fleet.event(swept)  # its copy was swept out: it waits for a load
    for _ in range(4):
        assert fleet.handle("deed", later=120.0) == home
    stuck = fleet.router.hosts[home]
    funcs = fleet.router.history.functions
    assert stuck.wait(funcs[swept]) > 800 > stuck.wait(funcs["deed"])


def test_all_copies_late_opens_one_more_unless_memory_is_short():
    for tight in (False, True):
        fleet = Fleet("abc")
        home = fleet.handle("deed")
        for host in fleet.router.hosts.values():
            host.tight = fleet.now if tight else host.tight
        fleet.event("deed")
        fleet.now += 700
        event, _ = fleet.event("deed")
        assert (fleet.sent.get(event, [home]) != [home]) == (not tight)


def test_ranges_are_cut_anew_for_a_long_vacancy_and_sooner_for_a_host_left_over():
    fleet = Fleet()
    fleet.list(b={"state": routing.HostState.GONE})
    fleet.rest(50000)
    assert len(fleet.router.zone.slots) == 4
    fleet.rest(13000)
    assert [h.id for h in fleet.router.zone.slots] == ["a", "c", "d"]
    fleet.list(b={"state": routing.HostState.READY, "started_at_ms": fleet.now})
    fleet.rest(18000)
    assert [h.id for h in fleet.router.zone.slots] == ["a", "b", "c", "d"]


def test_most_called_goes_by_the_work_at_once_that_answers_tell_not_by_own_calls():
    for crowd, spread in ((0, 1), (2, 2)):
        fleet = Fleet(gateway_count=100)
        fleet.crowd = crowd
        hosts = {fleet.handle("deed")} | {
            fleet.sent[fleet.event("deed", later=1.0)[0]][0] for _ in range(2)
        }
        assert len(hosts) == spread


def test_second_workers_are_no_more_than_the_crowd_calls_for_however_many_gateways():
    for crowd, most in ((1, 2), (9, 40)):
        seconds = set()
        for me in range(60):
            fleet = Fleet([f"h{i}" for i in range(50)], gateway_count=60, gateway_index=me)
            fleet.crowd = crowd
            home = fleet.handle("deed")
            seconds |= {fleet.sent[fleet.event("deed", later=1.0)[0]][0] for _ in range(2)} - {home}
        assert most / 5 < len(seconds) <= most


def test_a_full_queue_where_the_function_stands_is_not_short_memory():
    for crowd in (0, 30):
        fleet = Fleet()
        event, _ = fleet.event("deed")
        fleet.crowd = crowd
        fleet.answer(event, routing.AttemptOutcome.FULL)
        assert fleet.router.hosts[fleet.sent[event][0]].busy() == (crowd > 0)
        assert (not fleet.router.hosts[fleet.sent[event][0]].roomy()) == (crowd == 0)


def test_no_copy_is_opened_on_a_second_worker_while_memory_is_short():
    for tight in (False, True):
        fleet = Fleet(gateway_count=20)
        fleet.crowd = 1
        home = fleet.handle("deed")
        for host in fleet.router.hosts.values():
            host.tight = fleet.now if tight else host.tight
        hosts = {fleet.sent[fleet.event("deed", later=1.0)[0]][0] for _ in range(3)}
        assert (hosts == {home}) == tight


def test_events_that_others_sent_count_for_the_pair_and_age():
    fleet = Fleet()
    fleet.crowd = 1
    home = fleet.router.hosts[fleet.handle("deed")]
    home.others = DecayingValue(fleet.now, 20.0)  # as the home's report told
    assert fleet.handle("deed") != home.id
    fleet.now += 20000
    assert fleet.handle("deed") == home.id


def test_an_event_that_left_unanswered_teaches_that_answers_take_so_long():
    fleet = Fleet()
    home = fleet.router.hosts[fleet.handle("deed")]
    event, _ = fleet.event("deed")
    fleet.answer(event, routing.AttemptOutcome.NO_RESPONSE, took=3000.0, later=3000.0)
    assert home.mean() > 1000.0
    fleet.now += 30000
    fleet.list()
    assert home.mean() < 500.0


def test_a_host_found_full_is_held_to_be_late_for_a_moment():
    fleet = Fleet("a")
    fleet.handle("deed")
    event, _ = fleet.event("deed")
    fleet.answer(event, routing.AttemptOutcome.FULL)
    assert fleet.event("deed")[0] not in fleet.sent
    assert fleet.event("deed", later=2000.0)[0] in fleet.sent
