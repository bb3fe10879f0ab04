"""What an owner replicates, and what its replicas hold."""

from replicated_requests import POLICIES, replicated_request

from cherrydoor.failover.owner import OwnerReplication
from cherrydoor.failover.replica import ReplicaStore
from cherrydoor.protocol.peers import ReplicatedAttempt, ReplicationUpdate


def test_a_replica_is_updated_after_the_tick_and_drops_a_request_once_it_has_its_response():
    owner, replicas = OwnerReplication(5, POLICIES), ReplicaStore()
    owner.add(0.0, replicated_request(1, "file"), 2000.0)
    owner.attempt_started(1, "h1")
    owner.add(0.0, replicated_request(2), 1500.0)
    owner.finish(2)  # within the same tick: it is never sent to a replica
    [(names, update)] = owner.updates(1.0, ["w"])
    replicas.apply(1.0, "g1", update)
    in_flight = replicas.in_flight_sets["g1", 5]
    assert names == ["w"]
    assert list(in_flight.entries) == [1]
    assert in_flight.entries[1].hosts == ["h1"]
    assert in_flight.entries[1].deadline_ms == 2000.0
    assert owner.is_replicated(1)
    assert owner.updates(2.0, ["w"]) == []
    owner.attempt_started(1, "h2")
    owner.finish(1)
    [(_, update)] = owner.updates(3.0, ["w"])
    replicas.apply(3.0, "g1", update)
    assert in_flight.entries == {}
    assert owner.body_bytes == 0


def test_a_response_is_replicated_in_its_own_tick():
    """When a response was only replicated with the next update, its gateway and its host could be
    lost in between, and a successor ran the request again."""
    owner = OwnerReplication(5, POLICIES)
    owner.add(0.0, replicated_request(1), 2000.0)
    owner.updates(1.0, ["w"])
    owner.finish(1)
    assert owner.has_unsent()
    [(_, update)] = owner.updates(2.0, ["w"])
    assert update.finished == [1]
    assert not owner.has_unsent()


def test_a_new_replica_and_a_reconnected_one_are_sent_a_snapshot():
    owner = OwnerReplication(5, POLICIES)
    for number in range(3):
        owner.add(0.0, replicated_request(number), 2000.0)
        owner.attempt_started(number, f"h{number}")
    owner.updates(1.0, ["a"])
    assert [
        (names, update.snapshot, len(update.requests), len(update.attempts))
        for names, update in owner.updates(2.0, ["a", "b"])
    ] == [(["b"], True, 3, 3)]
    owner.forget_replica("a")
    assert [
        (names, update.snapshot, update.rank) for names, update in owner.updates(3.0, ["a", "b"])
    ] == [(["a"], True, 0)]
    assert [
        (names, update.snapshot, update.requests) for names, update in owner.updates(4.0, ["b"])
    ] == [(["a"], True, [])]


def test_beyond_the_bound_the_requests_cheapest_to_lose_are_left_out_and_counted():
    owner = OwnerReplication(5, POLICIES, max_requests=3)
    for number, request_class in enumerate(("draft", "sign", "file", "file", "draft", "sign")):
        owner.add(0.0, replicated_request(number, request_class), 2000.0)
    assert sorted(owner.requests) == [1, 2, 3]
    assert owner.counters["left out: redeliverable"] == 2
    assert owner.counters["left out: keyed"] == 1
    small = OwnerReplication(5, POLICIES, max_body_bytes=100)
    small.add(0.0, replicated_request(1, "file", b"x" * 90), 2000.0)
    small.add(0.0, replicated_request(2, "draft", b"x" * 90), 2000.0)
    assert list(small.requests) == [1]
    assert small.body_bytes == 90


def test_a_takeover_is_applied_for_when_the_owner_is_lost_and_not_when_it_leaves_or_recovers():
    replicas = ReplicaStore()
    for owner in "abcde":
        replicas.apply(
            0.0,
            owner,
            ReplicationUpdate(5, 1, True, [replicated_request(1)], [ReplicatedAttempt(1, "h1")]),
        )
    members = {
        "a": (5, "here"),
        "b": (5, "vanished"),
        "c": (6, "here"),
        "d": (5, "left"),
        "e": (5, "silent"),
    }
    eligible, ineligible = replicas.tick(10.0, members, "abcde", 500.0)
    assert [one.owner for one in eligible] == ["b", "c", "e"]
    assert {one.owner for one in ineligible} == {"a", "d"}
    assert ("d", 5) not in replicas.in_flight_sets
    assert eligible[0].task == "estate/b/5"
    replicas.complete(20.0, "b", 5)
    replicas.apply(30.0, "b", ReplicationUpdate(5, 0, True, [replicated_request(2)]))
    assert ("b", 5) not in replicas.in_flight_sets, "a completed set accepts no more updates"
    replicas.tick(3000.0, {}, (), 500.0)
    assert not any(one.entries for one in replicas.in_flight_sets.values()), (
        "each request is dropped at its deadline"
    )


def test_a_set_whose_owner_now_replicates_to_others_is_dropped_as_stale():
    """A gateway that was no longer a replica kept requests that had been answered since, and ran
    them again when their owner was lost."""
    replicas = ReplicaStore()
    replicas.apply(0.0, "g1", ReplicationUpdate(5, 0, True, [replicated_request(1)]))
    up, lost = {"g1": (5, "here")}, {"g1": (5, "vanished")}
    replicas.tick(100.0, up, (), 500.0)
    assert ("g1", 5) in replicas.in_flight_sets, "the owner may reconnect and send a snapshot"
    assert [one.owner for one in replicas.tick(550.0, lost, (), 500.0).eligible] == ["g1"]
    replicas.tick(700.0, up, (), 500.0)
    assert ("g1", 5) not in replicas.in_flight_sets
    assert not replicas.tick(800.0, lost, (), 500.0).eligible
