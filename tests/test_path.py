"""The design's ordinary path, and what happens to a range when hosts come, go or turn bad."""

from fake import Fleet, kinds

from cherrydoor import interface as io
from cherrydoor.logic.actor import Tally


def test_every_gateway_sends_a_function_to_the_same_home():
    for function in ("deed", "lease", "clause"):
        assert len({Fleet(me=me).handle(function) for me in range(5)}) == 1


def test_second_worker_only_for_the_most_called_and_ties_to_the_home():
    fleet = Fleet()
    fleet.crowd = 1
    home = fleet.handle("deed")
    second = next(h for h in (fleet.sent[fleet.event("deed")[0]][0] for _ in range(12)) if h != home)
    assert second in fleet.rows and len({fleet.sent[e][0] for e in fleet.sent}) == 2
    calm = Fleet()
    first = calm.handle("deed")
    for _ in range(3):
        assert calm.sent[calm.event("deed")[0]][0] == first
    calm.rest(60000)
    assert "deed" not in calm.gate.history.functions or calm.gate.history.functions["deed"].count < 1


def test_home_at_t2_sheds_until_below_t1():
    fleet = Fleet(gateways=10)
    host, held, shed_at = fleet.gate.hosts[fleet.handle("deed")], [], None
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
    fleet.answer(event, io.FULL)
    assert len(set(fleet.sent[event])) == 2 and fleet.gate.hosts[home].busy()


def test_full_where_no_copy_stood_hands_that_function_alone_to_the_next_in_order():
    fleet, order = Fleet(), "abcd"
    event, _ = fleet.event("deed")
    fleet.answer(event, io.FULL)
    home, heir = fleet.sent[event]
    assert heir == order[(order.index(home) + 1) % 4] and not fleet.gate.hosts[home].busy()
    fleet.answer(event)
    assert fleet.handle("deed") == heir
    assert home in {fleet.handle(f"f{i}") for i in range(20)}


def test_predicted_late_goes_to_the_standing_copy_with_the_least_wait():
    fleet = Fleet()
    home = fleet.handle("deed")
    other = next(h for h in "abcd" if h != home)
    fleet.gate.history.functions["deed"].copies[fleet.gate.hosts[other]] = fleet.now
    fleet.event("deed")
    fleet.now += 600        # the home has stalled, and no sweep has come yet
    assert fleet.handle("deed") == other


def test_drained_range_goes_to_the_next_in_order_and_a_newcomer_takes_it_over():
    fleet = Fleet()
    home = fleet.handle("deed")
    others = {f: fleet.handle(f) for f in ("f1", "f2", "f3", "f4", "f5", "f6")}
    fleet.list(**{home: {"state": io.DRAINING}})
    order = sorted(fleet.rows)
    assert fleet.handle("deed") == order[(order.index(home) + 1) % len(order)]
    fleet.list(io.CHANGES, **{home: {"state": io.GONE}, "zz": {"since": 1.0}})
    assert fleet.handle("deed") == "zz"
    for f, host in others.items():
        assert fleet.handle(f) == ("zz" if host == home else host)      # no other range moved


def test_cold_host_takes_its_range_back_bit_by_bit():
    fleet = Fleet(fall=0.0)
    names = [f"f{i}" for i in range(200)]
    mine = [f for f in names if fleet.handle(f) == "b"]
    fleet.list(b={"since": fleet.now})
    shares = []
    for _ in range(4):
        shares.append(sum(fleet.handle(f, later=0.0) == "b" for f in mine) / len(mine))
        fleet.now += 3500
    assert shares[0] < 0.5 and shares == sorted(shares) and shares[-1] == 1.0


def test_nobody_waits_behind_a_load_while_a_copy_stands_elsewhere():
    fleet = Fleet(cold=1.0)
    home = fleet.handle("deed")
    fleet.list(**{home: {"state": io.DRAINING}})
    stand_in = fleet.handle("deed")
    fleet.list(**{home: {"state": io.READY, "since": fleet.now}})
    fleet.now += 2000
    scout, _ = fleet.event("deed")
    assert fleet.sent[scout] == [home]
    assert fleet.handle("deed") == stand_in         # home loads for the scout
    fleet.answer(scout, copy=2)
    assert fleet.handle("deed") == home


def test_a_function_released_anew_is_believed_nowhere_until_it_answers():
    fleet = Fleet()
    home = fleet.handle("deed")
    func = fleet.gate.history.functions["deed"]
    func.copies[fleet.gate.hosts["a"]] = func.copies[fleet.gate.hosts["b"]] = fleet.now
    fleet.handle("deed", copy=2)
    assert [h.id for h in func.copies] == [home]


def test_order_opens_the_second_copy_before_events_go_there():
    fleet = Fleet(orders=True)
    fleet.crowd = 1
    home = fleet.handle("deed")
    _, found = fleet.event("deed")          # one stays out, so that the home is the busier of the two
    for _ in range(8):
        event, actions = fleet.event("deed", later=1.0)
        found += actions
        fleet.answer(event)
    order = next(a for a in found if isinstance(a, io.Order))
    assert {h for hosts in fleet.sent.values() for h in hosts} == {home} and kinds(found).count(io.Order) == 1
    fleet.take(io.Loaded("deed", order.host, io.HANDLED, 1, 600.0))
    assert fleet.sent[fleet.event("deed")[0]] == [order.host]


def test_what_other_gateways_calls_keep_standing_is_used_with_no_order():
    for gateways, crowd in ((200, 8), (200, 0), (1, 8)):
        fleet = Fleet([f"h{i}" for i in range(20)], orders=True, gateways=gateways)
        fleet.crowd, found = crowd, []
        home = fleet.handle("deed")
        for _ in range(4):
            found += fleet.event("deed", later=1.0)[1]
        hosts = {fleet.sent[e][0] for e in range(2, 6)}
        kept = fleet.gate.zone.kept(fleet.gate.history.functions["deed"])     # one alone knows by its own calls
        assert bool(kept) == (gateways == 200 and crowd == 8)
        assert (hosts != {home} and not kinds(found).count(io.Order)) == (gateways == 200 and crowd == 8)


def test_second_workers_that_too_little_work_calls_for_are_not_held_to_be_kept():
    fleet = Fleet([f"h{i}" for i in range(20)], orders=True, gateways=200)
    home = fleet.handle("deed")
    func = fleet.gate.history.functions["deed"]
    for work, some in ((0.1, [home]), (0.3, None)):
        func.work.value = work
        kept = [h.id for h in fleet.gate.zone.kept(func)]
        assert kept == some if some else len(kept) > 1


def test_others_second_workers_are_held_kept_where_gateways_with_half_the_groups_go_too():
    for me in (1, 6):
        fleet = Fleet([f"h{i}" for i in range(60)], gateways=200, me=me)
        fleet.handle("deed")
        func = fleet.gate.history.functions["deed"]
        func.groups, half = 8, {func.place(f"deed/{k}") for k in range(4)}
        assert set(func.seconds()) == half | {func.second()}


def test_a_cold_host_is_not_held_to_have_what_others_keep():
    fleet = Fleet([f"h{i}" for i in range(20)], orders=True, gateways=200)
    fleet.crowd = 8
    fleet.handle("deed")
    func, zone = fleet.gate.history.functions["deed"], fleet.gate.zone
    known = zone.kept(func)
    assert len(known) > 1
    fleet.list(**{known[-1].id: {"since": fleet.now}})
    assert known[-1] not in zone.kept(func)


def test_silent_host_is_probed_its_events_taken_back_and_its_range_handed_on():
    fleet = Fleet()
    home = fleet.handle("deed")
    stuck, _ = fleet.event("deed")
    found = fleet.rest(1500)
    assert io.Probe(home) in found
    assert io.Recall(stuck, 0) in fleet.take(io.Probed(home, io.NO_ANSWER, 250.0))
    fleet.answer(stuck, io.RECALLED)
    assert fleet.sent[stuck][1] != home and fleet.handle("deed") != home
    fleet.rest(3000)
    fleet.take(io.Probed(home, io.HANDLED, 1.0))
    assert not fleet.gate.hosts[home].probing and fleet.gate.hosts[home].ready(fleet.now)


def test_dead_host_is_left_and_comes_back_by_a_probe():
    fleet = Fleet()
    home = fleet.handle("deed")
    event, _ = fleet.event("deed")
    fleet.answer(event, io.NO_CONNECTION)
    assert fleet.sent[event][1] != home and fleet.handle("deed") != home
    assert io.Probe(home) in fleet.rest(3000)
    fleet.take(io.Probed(home, io.HANDLED, 1.0))
    assert fleet.handle("deed") == home


def test_when_most_hosts_look_bad_none_is_held_to_be():
    fleet = Fleet("abc")
    for host in ("a", "b"):
        fleet.gate.hosts[host].strikes, fleet.gate.hosts[host].shut = 2, fleet.now + 60000
    fleet.rest(100)
    assert {fleet.handle(f"f{i}") for i in range(30)} == {"a", "b", "c"}


def test_only_the_most_called_shed_to_a_second_worker():
    fleet = Fleet()
    home = fleet.handle("rare")
    host = fleet.gate.hosts[home]
    while not host.busy():       # busy with another function that lives there
        host.post("sent", Stuck(host), fleet.now)
        fleet.list()
    assert fleet.handle("rare") == home


class Stuck:
    """A launch of some other function, as a host's inbox sees it."""
    stood, sent, silent, clause = True, 0.0, False, io.Clause("other", 500.0, 5000.0)

    def __init__(self, host):
        self.host, self.evt, self.sent = host, self, host.gate.now
        self.func, self.streams = None, False


def test_one_launch_stuck_behind_a_reload_does_not_make_its_host_look_late():
    fleet = Fleet()
    home = fleet.handle("deed")
    swept = next(f for f in (f"f{i}" for i in range(50)) if fleet.handle(f) == home)
    fleet.event(swept)                              # its copy was swept out: it waits for a load
    for _ in range(4):
        assert fleet.handle("deed", later=120.0) == home
    stuck = fleet.gate.hosts[home]
    funcs = fleet.gate.history.functions
    assert stuck.wait(funcs[swept]) > 800 > stuck.wait(funcs["deed"])


def test_all_copies_late_opens_one_more_unless_memory_is_short():
    for tight in (False, True):
        fleet = Fleet("abc")
        home = fleet.handle("deed")
        for host in fleet.gate.hosts.values():
            host.tight = fleet.now if tight else host.tight
        fleet.event("deed")
        fleet.now += 700
        event, _ = fleet.event("deed")
        assert (fleet.sent.get(event, [home]) != [home]) == (not tight)


def test_ranges_are_cut_anew_for_a_long_vacancy_and_sooner_for_a_host_left_over():
    fleet = Fleet()
    fleet.list(b={"state": io.GONE})
    fleet.rest(50000)
    assert len(fleet.gate.zone.slots) == 4
    fleet.rest(13000)
    assert [h.id for h in fleet.gate.zone.slots] == ["a", "c", "d"]
    fleet.list(b={"state": io.READY, "since": fleet.now})
    fleet.rest(18000)
    assert [h.id for h in fleet.gate.zone.slots] == ["a", "b", "c", "d"]


def test_most_called_goes_by_the_work_at_once_that_answers_tell_not_by_own_calls():
    for crowd, spread in ((0, 1), (2, 2)):
        fleet = Fleet(gateways=100)
        fleet.crowd = crowd
        hosts = {fleet.handle("deed")} | {fleet.sent[fleet.event("deed", later=1.0)[0]][0] for _ in range(2)}
        assert len(hosts) == spread


def test_second_workers_are_no_more_than_the_crowd_calls_for_however_many_gateways():
    for crowd, most in ((1, 2), (9, 40)):
        seconds = set()
        for me in range(60):
            fleet = Fleet([f"h{i}" for i in range(50)], gateways=60, me=me)
            fleet.crowd = crowd
            home = fleet.handle("deed")
            seconds |= {fleet.sent[fleet.event("deed", later=1.0)[0]][0] for _ in range(2)} - {home}
        assert most / 5 < len(seconds) <= most


def test_a_full_queue_where_the_function_stands_is_not_short_memory():
    for crowd in (0, 30):
        fleet = Fleet()
        event, _ = fleet.event("deed")
        fleet.crowd = crowd
        fleet.answer(event, io.FULL)
        assert fleet.gate.hosts[fleet.sent[event][0]].busy() == (crowd > 0)
        assert (not fleet.gate.hosts[fleet.sent[event][0]].roomy()) == (crowd == 0)


def test_no_copy_is_opened_on_a_second_worker_while_memory_is_short():
    for tight in (False, True):
        fleet = Fleet(gateways=20)
        fleet.crowd = 1
        home = fleet.handle("deed")
        for host in fleet.gate.hosts.values():
            host.tight = fleet.now if tight else host.tight
        hosts = {fleet.sent[fleet.event("deed", later=1.0)[0]][0] for _ in range(3)}
        assert (hosts == {home}) == tight


def test_events_that_others_sent_count_for_the_pair_and_age():
    fleet = Fleet()
    fleet.crowd = 1
    home = fleet.gate.hosts[fleet.handle("deed")]
    home.others = Tally(fleet.now, 20.0)        # as the home's report told
    assert fleet.handle("deed") != home.id
    fleet.now += 20000
    assert fleet.handle("deed") == home.id


def test_an_event_that_left_unanswered_teaches_that_answers_take_so_long():
    fleet = Fleet()
    home = fleet.gate.hosts[fleet.handle("deed")]
    event, _ = fleet.event("deed")
    fleet.answer(event, io.NO_ANSWER, took=3000.0, later=3000.0)
    assert home.mean() > 1000.0
    fleet.now += 30000
    fleet.list()
    assert home.mean() < 500.0


def test_a_host_found_full_is_held_to_be_late_for_a_moment():
    fleet = Fleet("a")
    fleet.handle("deed")
    event, _ = fleet.event("deed")
    fleet.answer(event, io.FULL)
    assert fleet.event("deed")[0] not in fleet.sent
    assert fleet.event("deed", later=2000.0)[0] in fleet.sent


def untold(fleet, host, function, took=50.0, held=None, fate=io.HANDLED, later=10.0):
    """An event whose answer tells neither copy nor crowd."""
    event, _ = fleet.event(function, later=later)
    fleet.take(io.Outcome(event, 0, fate, fate == io.HANDLED, fleet.sent[event][0], took, None, None, held), later)
    return fleet.sent[event][0]


def test_where_no_crowd_is_told_own_calls_group_the_gateways():
    places = set()
    for me in range(12):
        fleet = Fleet("abcdefgh", me=me, gateways=12)
        for _ in range(80):
            untold(fleet, None, "deed", took=300.0, later=20.0)
        places.add(fleet.gate.history.functions["deed"].second())
    assert len(places) > 4


def test_where_no_copy_is_told_a_load_does_not_pass_for_a_slow_host():
    fleet = Fleet()
    home = fleet.gate.hosts[untold(fleet, None, "deed", took=2000.0)]
    assert home.mean() < 200
    untold(fleet, None, "deed", took=400.0)
    assert home.mean() > 125


def test_what_a_host_was_told_to_hold_makes_it_shed():
    fleet = Fleet(gateways=40)
    for _ in range(30):
        home = untold(fleet, None, "deed", took=60.0, held=0.0)
    host = fleet.gate.hosts[home]
    assert not host.busy()
    untold(fleet, None, "deed", took=60.0, held=20.0)
    assert host.busy() and host.wait(fleet.gate.history.functions["deed"]) > 375
    fleet.now += 20000
    fleet.list()
    assert not host.busy()


def test_where_no_report_is_told_the_crowd_tells_the_time_of_one():
    fleet = Fleet(gateways=40)
    for _ in range(30):
        home = fleet.gate.hosts[fleet.handle("deed")]
    assert not home.busy()
    fleet.crowd = 16
    fleet.handle("deed")
    assert home.busy() and home.wait(fleet.gate.history.functions["deed"]) > 375
    loads = Fleet(gateways=40)
    for _ in range(3):
        loads.handle("deed", copy=2)    # the time of a load is none of the work's
    assert loads.gate.each == 0.0
    few = Fleet("abcdef", gateways=3)   # own events out are a third of all: they tell
    few.handle("deed")
    assert few.gate.each == 0.0


def test_a_host_deaf_to_one_event_type_goes_on_serving_the_other():
    book = io.Clause("book", 500.0, 5000.0, io.KEYED, "cell", 6000.0)
    fleet = Fleet(clauses=(io.Clause("redraft", 500.0, 5000.0), book))
    home = fleet.handle("deed")
    rare = next(f for f in (f"f{i}" for i in range(50)) if fleet.handle(f) == home)
    fleet.events += 1
    lost = fleet.events
    fleet.take(io.Arrival(lost, "book", "", "deed", fleet.now + 5000.0, 4.0, 0.0))
    assert fleet.sent[lost] == [home]
    for _ in range(25):
        fleet.handle("deed", later=50.0)
        fleet.take(io.Wake("sweep"))
    fleet.answer(lost, io.NO_ANSWER, over=True)
    fleet.take(io.Probed(home, io.HANDLED, 1.0))
    fleet.events += 1
    fleet.take(io.Arrival(fleet.events, "book", "", rare, fleet.now + 5000.0, 4.0, 0.0))
    assert fleet.sent[fleet.events] != [home] and fleet.handle(rare) == home
    deaf = [fleet.gate.hosts[home].deaf(clause, fleet.now) for clause in fleet.gate.deed.clauses.values()]
    assert deaf == [False, True]


def test_what_a_cold_host_cannot_bear_is_spread_over_all_others():
    fleet = Fleet("abcdefgh")
    at = {f"f{i}": fleet.handle(f"f{i}") for i in range(200)}
    cold = at["f0"]
    fleet.list(**{cold: {"since": fleet.now}})
    fleet.rest(1000)
    heirs = {fleet.handle(f) for f, host in at.items() if host == cold}
    assert len(heirs - {cold}) > 3


def test_a_full_answer_is_the_queues_where_a_queue_is_reported_and_memorys_where_it_is_tied():
    for crowd, queue, tied, memory in ((0, 9.0, None, False), (0, None, None, True), (None, None, 0.3, False),
                                       (None, None, 0.97, True)):
        fleet = Fleet()
        event, _ = fleet.event("deed")
        home = fleet.gate.hosts[fleet.sent[event][0]]
        fleet.take(io.Outcome(event, 0, io.FULL, False, home.id, 1.0, None, crowd, 10.0, queue, tied))
        assert (not home.roomy()) == memory, (crowd, queue, tied)


def test_a_cold_fleet_bears_what_its_running_hosts_do_and_not_the_mean_of_all():
    def budget(**cold):
        fleet = Fleet("abcdefgh", gateways=200)     # so that the floor, a part of one event, is below
        for i in range(200):
            fleet.handle(f"f{i % 20}", later=5.0)
        fleet.list(**{host: {"since": fleet.now} for host in cold})
        fleet.take(io.Wake("sweep"))
        return fleet.gate.borne()

    assert budget(a=1, b=1, c=1, d=1) > 1.3 * budget()


def test_a_gateway_that_stood_still_does_not_take_it_for_the_hosts_silence():
    fleet = Fleet()
    fleet.handle("deed")
    fleet.take(io.Wake("sweep"), 100.0)
    fleet.event("deed")
    assert io.Probe not in kinds(fleet.take(io.Wake("sweep"), 2000.0))
    assert io.Probe in kinds(fleet.rest(300.0)), "silence that goes on is the host's"


def test_the_first_window_is_counted_from_the_start_and_not_from_1970():
    """On real clocks the first halving had a span of fifty years: own calls told nothing until the second."""
    fleet = Fleet("ab")
    fleet.gate.start(fleet.now)
    for _ in range(100):
        fleet.event(later=20.0)
    fleet.rest(300.0)
    assert 1900.0 <= fleet.gate.history.span < 4000.0
