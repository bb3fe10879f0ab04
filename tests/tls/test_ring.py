"""What is in service, decided: each story offers facts and moves time by hand."""

from rings import DAY, Facts, authority, pair

from cherrydoor.tls import decide as d


def kinds(actions):
    return [type(action).__name__ for action in actions]


def test_a_bad_pair_is_refused_with_the_reason_and_the_old_one_stays():
    facts = Facts()
    assert kinds(facts.offer("pair", pair("old"))) == ["TakeUp"]
    for what, why in (
        (pair(until=-DAY), "ended"),
        (pair(since=2 * DAY), "begins at 2024-10-06 00:00 UTC only"),
        (pair(matches=False), "do not belong together"),
    ):
        [keep] = facts.offer("pair", what)
        assert why in keep.why and facts.ring.serving("pair").name == "old"
    [keep] = facts.offer("pair", fault="half-written")
    assert keep.why == "half-written" and facts.ring.serving("pair").name == "old"
    assert facts.offer("pair", fault="half-written") == [], "the same word is not said again"
    assert (
        kinds(facts.offer("pair", pair("new"))) == ["TakeUp"]
        and facts.ring.serving("pair").name == "new"
    )


def test_a_certificate_refused_by_a_clock_that_was_wrong_is_taken_up_later():
    facts = Facts()
    facts.offer("pair", pair("old"))
    assert kinds(facts.offer("pair", pair("new", since=3600000.0))) == ["Keep"]
    assert facts.wait(1800000.0) == []
    assert kinds(facts.wait(1900000.0)) == ["TakeUp"] and facts.ring.serving("pair").name == "new"


def test_what_is_in_service_stays_though_the_clock_jumps_back_or_past_its_end():
    facts = Facts()
    facts.offer("pair", pair("old"))
    facts.wait(-5000 * DAY)
    assert facts.ring.serving("pair").name == "old"
    warned = facts.wait(5095 * DAY)
    assert (
        kinds(warned) == ["Warn"]
        and warned[0].left < 0
        and facts.ring.serving("pair").name == "old"
    )


def test_a_word_well_before_the_end_and_at_each_step_once():
    facts, said = Facts(), []
    facts.offer("pair", pair(until=30 * DAY))
    facts.offer("authorities", (authority("a", 400 * DAY),))
    for _ in range(32 * 24):
        said += facts.wait(DAY / 24)
    assert [round(one.left / DAY, 1) for one in said] == [14.0, 7.0, 3.5, 1.0, 0.0]


def test_connections_of_an_old_certificate_go_on_until_the_stated_time_and_do_not_all_end_at_once():
    facts = Facts(standing=60000.0)
    facts.offer("pair", pair("old"))
    for i in range(40):
        facts.take(d.Joined(i))
    facts.offer("pair", pair("new"))
    assert facts.wait(44000) == []
    ends = [len(facts.wait(2000)) for _ in range(8)]
    assert sum(ends) == 40 and max(ends) < 20
    assert facts.wait(60000) == [], "each is told once"


def test_two_authorities_are_believed_during_a_change_over_and_the_old_ones_clients_have_time():
    facts = Facts(standing=60000.0)
    old, new = authority("old"), authority("new")
    facts.offer("authorities", (old,))
    facts.take(d.Joined("harbour", "1", "old"))
    facts.offer("authorities", (old, new))
    facts.take(d.Joined("meadow", "2", "new"))
    assert facts.wait(120000) == []
    facts.offer("authorities", (new,))
    [out] = facts.wait(60000)
    assert out.connection == "harbour" and not out.at_once
    assert kinds(facts.offer("authorities", ())) == ["Keep"] and facts.ring.serving(
        "authorities"
    ) == (new,)


def test_a_revoked_client_is_put_out_at_once_and_an_older_list_does_not_bring_it_back():
    facts = Facts()
    facts.offer("authorities", (authority("a"),))
    facts.take(d.Joined("harbour", "1", "a"))
    facts.take(d.Joined("meadow", "2", "a"))
    actions = facts.offer("revoked", (d.Revoked("a", 4, frozenset({"1"})),))
    assert [(a.connection, a.at_once) for a in actions if isinstance(a, d.PutOut)] == [
        ("harbour", True)
    ]
    [keep] = facts.offer("revoked", (d.Revoked("a", 3, frozenset()),))
    assert "older" in keep.why
    [keep] = facts.offer("revoked", (d.Revoked("a", 5, frozenset(), False),))
    assert "not signed" in keep.why
    [keep] = facts.offer("revoked", ())
    assert "missing" in keep.why
    assert kinds(facts.take(d.Joined("again", "1", "a"))) == ["PutOut"]


def test_a_token_key_taken_out_voids_what_rests_on_it():
    facts = Facts()
    facts.offer("tokens", (d.Token("k1", ("harbour",)), d.Token("k2")))
    facts.take(d.Joined("one", token="k1"))
    facts.take(d.Joined("other", token="k2"))
    assert facts.ring.believes("k1", "harbour") and not facts.ring.believes("k1", "meadow")
    assert facts.ring.believes("k2", "meadow")
    [taken, out] = facts.offer("tokens", (d.Token("k2"),))
    assert out.connection == "one" and out.at_once
    assert kinds(facts.offer("tokens", (d.Token("k2"), d.Token("k2")))) == ["Keep"]


def test_what_a_client_proved_itself_by_ends():
    facts = Facts()
    facts.take(d.Joined("harbour", token="k", until=facts.now + 5000))
    assert facts.wait(4999) == []
    [out] = facts.wait(2)
    assert out.connection == "harbour" and "has ended" in out.why
    facts.take(d.Left("harbour"))
    assert facts.ring.standing == {}
