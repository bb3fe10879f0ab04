"""Admission decided: stories, and properties that no order of notes may break."""

from callers import Doors, stranger
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cherrydoor.admission import decide as d

HARBOUR, MEADOW = ("harbour", 10, 12, ("10.1.0.0/16",)), ("meadow", 5, 5, ("10.2.0.0/16",))


def test_strangers_fill_what_is_common_and_never_a_reserve():
    doors = Doors(40, [HARBOUR, MEADOW])
    strangers = [doors.come(stranger(i)) for i in range(60)]
    assert len(doors.seated(strangers)) == 25
    assert (
        doors.word(strangers[-1]) == "no place is free"
        and doors.said[strangers[-1]].retry_after_ms > 0
    )
    assert len(doors.seated([doors.come("10.1.0.9") for _ in range(10)])) == 10
    assert len(doors.seated([doors.come("10.2.0.9") for _ in range(5)])) == 5


def test_one_office_cannot_eat_anothers_places():
    doors = Doors(40, [HARBOUR, MEADOW])
    greedy = [doors.come("10.1.0.9") for _ in range(40)]
    assert len(doors.seated(greedy)) == 12, "its own and the common ones that it may have"
    assert len(doors.seated([doors.come("10.2.0.9") for _ in range(5)])) == 5


def test_an_office_beyond_its_own_takes_no_more_than_what_is_common():
    doors = Doors(40, [HARBOUR, MEADOW])
    for i in range(25):
        doors.come(stranger(i)).open = 1  # busy: none of them makes room
    assert len(doors.seated([doors.come("10.1.0.9") for _ in range(12)])) == 10
    assert doors.controller.connection_slots.used() == 25


def test_an_idle_stranger_makes_room_the_longest_idle_first():
    doors = Doors(20, [HARBOUR])
    strangers = []
    for i in range(10):
        strangers.append(doors.come(stranger(i)))
        doors.wait(100)
    strangers[0].used = doors.now  # it has just been used
    strangers[1].open = 1  # it waits for an answer
    doors.wait(5000)
    strangers[0].used = doors.now
    new = doors.come(stranger(99))
    assert new.state == "seated" and doors.word(strangers[2]).startswith("idle")
    assert [c.state for c in strangers] == ["seated", "seated", "over"] + ["seated"] * 7


def test_one_network_is_one_owner_however_many_addresses_it_has():
    doors = Doors(80, [])
    flood = []
    for i in range(400):
        flood.append(doors.come(f"2001:db8:1:2::{i:x}"))
        doors.wait(100, steps=1)
    assert len(doors.seated(flood)) == 10, "an eighth for one /64"
    loop = []
    for i in range(400):
        loop.append(doors.come(f"127.{i % 250}.7.{i % 199}"))
        doors.wait(100, steps=1)
    assert len(doors.seated(loop)) == 10, "all of loopback is one machine"
    assert doors.come(stranger(3)).state == "seated"


def test_new_connections_are_paced_by_address_and_by_network():
    doors = Doors(4000)
    told = [doors.knock("10.9.9.9") for _ in range(100)]
    refused = [c for c in told if doors.word(c) == "too many new connections from this network"]
    assert len(refused) == 40 and 0 < doors.said[refused[0]].retry_after_ms <= 50
    doors.wait(1000)
    assert sum(doors.word(doors.knock("10.9.9.9")) == "" for _ in range(100)) == 20
    spread = [doors.knock(f"77.7.{i // 250}.{i % 250 + 1}") for i in range(2000)]
    let_in = [c for c in spread if not doors.word(c).startswith("too many new")]
    assert len(let_in) == 480, "eight times an address's burst for one /16"


def test_an_office_comes_back_at_once_and_the_dead_of_its_old_connections_make_room():
    doors = Doors(700, [("harbour", 500, 500, ("10.1.0.0/16",))])
    old = [doors.come("10.1.0.9") for _ in range(500)]
    doors.wait(1100)
    new = [doors.come("10.1.0.9") for _ in range(500)]  # the old ones look alive after a lost floor
    assert len(doors.seated(new)) == 500 and not doors.seated(old)


def test_an_office_whose_old_connections_are_not_yet_seen_to_have_ended_waits_for_them():
    doors = Doors(20, [("harbour", 10, 10, ("10.1.0.0/16",))])
    old = [doors.come("10.1.0.9") for _ in range(10)]
    new = [doors.knock("10.1.0.9") for _ in range(10)]
    assert {c.state for c in new} == {"waiting"}
    for caller in old:
        doors.go(caller)
    assert {c.state for c in new} == {"porch"}
    late = [doors.knock("10.1.0.9") for _ in range(11)]
    assert doors.word(late[-1]).startswith("as many connections")
    doors.wait(5100)
    assert {c.state for c in late} == {"over"}


def test_the_porch_full_of_silent_ones_lets_through_who_says_who_it_is():
    doors = Doors(160, [("harbour", 10, 20)])
    silent = []
    for i in range(400):
        silent.append(doors.knock(stranger(i)))
    assert len(doors.controller.pending.slots) == 20
    known = doors.come("55.5.5.5", "harbour")
    assert known.state == "seated" and known.known_client.name == "harbour"
    doors.wait(6000)
    assert not doors.controller.pending.unshown, "no hello in time"


def test_who_proved_itself_is_known_by_its_address_even_in_a_network_that_floods():
    doors = Doors(160, [("harbour", 10, 20)])
    doors.go(doors.come("127.9.9.9", "harbour"))
    flood = [doors.knock(f"127.{i % 200}.0.1") for i in range(800)]
    assert any(doors.word(c).startswith("too many new") for c in flood)
    assert doors.come("127.9.9.9", "harbour").state == "seated"
    doors.now += d.LEARNED_AGE
    doors.wait(100)
    assert doors.controller.remembered("127.9.9.9") is None


def test_what_is_proved_goes_before_where_it_comes_from():
    doors = Doors(40, [HARBOUR, MEADOW])
    caller = doors.come("10.1.0.9", "meadow")
    assert (
        caller.known_client.name == "meadow"
        and not doors.controller.connection_slots.offices["harbour"].seated
    )


def test_handshakes_are_paced_and_offices_go_first():
    doors = Doors(800, [HARBOUR], handshakes=10.0)
    flood = [doors.knock(stranger(i), sealed=True) for i in range(10)]
    known = doors.knock("10.1.0.9", sealed=True)
    assert sum(c.state == "porch" for c in flood) == 4 and known.state == "waiting"
    doors.wait(100, steps=1)
    assert known.state == "porch" and sum(c.state == "porch" for c in flood) == 4
    doors.wait(600)
    assert sum(c.state == "porch" for c in flood) == 10


def test_near_the_limit_strangers_are_refused_in_steps_that_end_by_themselves():
    doors = Doors(40, [HARBOUR])
    doors.wait(100, descriptors=0.92)
    assert doors.controller.load_shedding.step == 2
    assert doors.word(doors.come(stranger(1))) == "no new clients for the moment"
    assert doors.come("10.1.0.9").state == "seated"
    doors.wait(100, memory=0.98)
    assert (
        doors.word(doors.knock(stranger(2))) == "no new clients for the moment"
        and doors.controller.load_shedding.step == 3
    )
    doors.wait(5000)
    assert doors.controller.load_shedding.step == 0 and doors.come(stranger(3)).state == "seated"


def test_the_stair_does_not_flip_where_use_swings_about_an_edge():
    doors, changes, last = Doors(40), 0, 0
    for i in range(600):  # a minute
        doors.wait(100, steps=1, descriptors=0.92 if i // 3 % 2 else 0.6)
        changes += doors.controller.load_shedding.step != last
        last = doors.controller.load_shedding.step
    assert changes <= 2
    for i in range(1200):  # calm for longer than the dwell, then up again, and so on
        doors.wait(100, steps=1, descriptors=0.82 if i % 15 == 0 else 0.1)
        changes += doors.controller.load_shedding.step != last
        last = doors.controller.load_shedding.step
    assert changes <= 14, "the dwell doubles"
    doors.wait(40000)
    assert doors.controller.load_shedding.step == 0


def test_who_pours_is_read_less_and_the_quiet_as_ever():
    doors = Doors(40, [HARBOUR])
    pourer, quiet = doors.come(stranger(1)), doors.come("10.1.0.9")

    def window(busy):
        read = 0
        for caller, wants in ((pourer, 300), (quiet, 5)):
            for _ in range(wants):
                if caller in doors.paused:
                    break
                caller.group.read += 1
                read += caller is pourer
                if caller.group.allowed is not None and caller.group.read >= caller.group.allowed:
                    doors.post(d.ReadQuotaExceeded(caller))
        quiet_paused = quiet in doors.paused
        doors.wait(100, steps=1, busy=busy)
        assert not quiet_paused
        return read

    got = [window(1.0)] + [
        window(0.9 if doors.controller.fair_reading.level else 1.0) for _ in range(10)
    ]
    assert got[0] == 300 and max(got[1:]) <= 240
    for _ in range(60):
        last = window(0.3)
    assert last == 300 and doors.controller.fair_reading.level is None, (
        "with the core idle nobody is held back"
    )


def test_bytes_of_frames_that_are_not_finished_are_bounded_and_do_not_last():
    doors = Doors(40, stranger_bytes=1000, frame_time=5000.0)
    few, many = doors.come("10.0.0.1"), doors.come("10.0.0.1")
    for caller, size in ((few, 300), (many, 800)):
        caller.held = size
        if caller.group.holds(size):
            doors.post(d.BufferLimitExceeded(caller))
    assert doors.word(many) == "too many bytes are unfinished" and few.state == "seated"
    few.partial = doors.now
    doors.wait(5700)
    assert doors.word(few) == "a frame was not finished in time" and few.group.held == 0


def test_descriptors_run_out_and_a_host_needs_one():
    doors = Doors(40, [HARBOUR])
    known, busy, idle = doors.come("10.1.0.9"), doors.come(stranger(1)), doors.come(stranger(2))
    busy.open = 1
    doors.post(d.DescriptorsExhausted(True))
    assert doors.word(idle) == "descriptors have run out"
    doors.post(d.DescriptorsExhausted(True))
    assert doors.word(busy) == "descriptors have run out" and known.state == "seated"
    first = [
        a.span for a in doors.post(d.DescriptorsExhausted(False)) if isinstance(a, d.PauseAccepting)
    ]
    second = [
        a.span for a in doors.post(d.DescriptorsExhausted(False)) if isinstance(a, d.PauseAccepting)
    ]
    assert second > first, "accepting rests longer where it does not help"


def test_a_clock_that_is_set_back_or_far_ahead_harms_nobody():
    doors = Doors(40, [HARBOUR])
    doors.wait(1000)
    doors.now -= 900000
    assert doors.come("10.1.0.9").state == "seated"
    doors.now += 1e9
    assert doors.come("10.1.0.9").state == "seated" and doors.come(stranger(1)).state == "seated"


def test_a_million_addresses_leave_tables_of_one_size():
    doors = Doors(400, pace=0.2)  # so slow that no bucket runs dry meanwhile
    for i in range(60000):
        caller = doors.knock(f"{20 + i % 200}.{i // 200 % 256}.{i * 13 % 256}.{i * 31 % 256}")
        doors.go(caller)
        if i % 100 == 0:
            doors.wait(100, steps=1)
    assert max(map(len, doors.controller.networks.tables)) <= d.MOST_STREETS + 2
    doors.wait(400000)
    assert max(map(len, doors.controller.networks.tables)) < 400, "and they shrink once it is over"


steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("come"),
            st.integers(0, 30),
            st.sampled_from(["", "", "harbour", "meadow", "nobody"]),
        ),
        st.tuples(st.just("listed"), st.integers(0, 1), st.booleans()),
        st.tuples(st.just("silent"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("go"), st.integers(0, 400), st.none()),
        st.tuples(st.just("use"), st.integers(0, 400), st.integers(0, 2)),
        st.tuples(st.just("wait"), st.integers(1, 80), st.sampled_from([0.1, 0.85, 0.93, 0.99])),
        st.tuples(st.just("lack"), st.booleans(), st.none()),
    ),
    min_size=20,
    max_size=250,
)


@settings(
    max_examples=120, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
@given(steps)
def test_no_order_of_notes_breaks_the_reserve_or_grows_without_bound(notes):
    doors = Doors(24, [("harbour", 6, 8, ("10.1.0.0/16",)), ("meadow", 3, 3, ("10.2.0.0/16",))])
    places, porch = doors.controller.connection_slots, doors.controller.pending
    for what, a, b in notes:
        if what == "come":
            doors.come(stranger(a), b)
        elif what == "listed":
            office = places.offices[("harbour", "meadow")[a]]
            room = len(office.seated) < office.own
            caller = doors.knock(f"10.{a + 1}.0.9", sealed=b)
            assert (
                not room
                or caller.state != "over"
                or doors.word(caller) == "this client connects too often"
            )
            if caller.state == "porch" and not b:
                doors.post(d.ClientIdentified(caller, ""))
        elif what == "silent":
            doors.knock(stranger(a), sealed=b)
        elif what == "go" and doors.open:
            doors.go(doors.open[a % len(doors.open)])
        elif what == "use" and doors.open:
            doors.open[a % len(doors.open)].open = b
            doors.open[a % len(doors.open)].used = doors.now
        elif what == "wait":
            doors.wait(0, steps=a, descriptors=b)
        elif what == "lack":
            doors.post(d.DescriptorsExhausted(a))
        assert len(places.strangers) <= places.common and places.used() <= places.common
        assert all(len(o.seated) <= o.most for o in places.offices.values())
        assert len(porch.slots) <= porch.most
        assert len(porch.unshown) <= porch.most + sum(2 * o.most for o in places.offices.values())
        assert {c.state for c in doors.open} <= {"porch", "waiting", "seated"}
        assert len(places.idle) <= 2 * len(places.strangers) + 64
        for table in doors.controller.networks.tables:
            assert all(s.pending >= 0 and s.group.held >= 0 for s in table.values())
    for caller in list(doors.open):
        doors.go(caller)
    assert (
        not places.used()
        and not porch.slots
        and not porch.unshown
        and not doors.controller.fair_reading.groups
    )
    doors.wait(0, steps=400)  # an office is never kept out for ever
    assert all(doors.come(f"10.{i}.0.9").state == "seated" for i in (1, 2))
