"""Tenures in a small scope, every order: what is delivered, lost, doubled, late; keepers that come up with and without
their promises; time that passes between any two. And seeded histories, longer than any search."""

import copy
import random

import pytest
from world import TERMS, World

from cherrydoor.leader_election.decide import Contender, Ended, Held, Keeper, Promises, Terms
from cherrydoor.protocol.peers import LeaseGranted, LeaseRequest

MOST = 4500  # worlds looked at in the three searches: the bound that is stated in docs/tenure.md
STEPS = (0.0, 450.0, 1100.0)


def moves(world, faults):
    """(name, what to do) of all that may happen next; `faults` are how many losses, doublings and restarts are left."""
    found = []
    for serial in world.flight:
        found.append((f"deliver {serial}", lambda w, s=serial: w.deliver(s), faults))
    if faults:
        for serial in world.flight:
            found.append((f"lose {serial}", lambda w, s=serial: w.lose(s), faults - 1))
            found.append((f"double {serial}", lambda w, s=serial: w.deliver(s, True), faults - 1))
        for name in world.names:
            found.append((f"{name} with its file", lambda w, n=name: w.restart(n), faults - 1))
            found.append((f"{name} without", lambda w, n=name: w.restart(n, False), faults - 1))
    for name, one in world.contenders.items():
        if one.at <= world.now or one.state == "holding" and world.now >= one.until:
            found.append((f"{name} turns", lambda w, n=name: w.tick(n), faults))
        elif not world.flight or one.at - world.now < 1.0:
            found.append(
                (
                    f"until {name}",
                    lambda w, n=name: w.step(max(0.0, w.contenders[n].at - w.now)),
                    faults,
                )
            )
    for ms in STEPS[1:]:
        found.append((f"{ms} later", lambda w, ms=ms: w.step(ms), faults))
    return found


def search(faults, most=MOST, **how):
    """Breadth first over worlds that differ; (worlds seen, whether that was all to the bound, first wrong history)."""
    first = World(**how)
    seen, edge = {first.mark(): True}, [(first, faults, ())]
    while edge:
        following = []
        for world, left, history in edge:
            for name, do, after in moves(world, left):
                new = copy.deepcopy(world)
                do(new)
                if new.wrong:
                    return len(seen), False, (*history, name, new.wrong[0])
                mark = (new.mark(), after)
                if mark in seen:
                    continue
                seen[mark] = True
                if len(seen) >= most:
                    return len(seen), False, None
                following.append((new, after, (*history, name)))
        edge = following
    return len(seen), True, None


def test_no_order_within_the_bound_has_two_holders_or_an_act_under_a_lower_number():
    for faults in (0, 1, 2):
        _, _, wrong = search(faults, MOST // 3)
        assert wrong is None, wrong


def history(seed, keep=Keeper, make=Contender, terms=TERMS, length=400):
    """One long history by a seed: everything at once, at every rate."""
    rng, world = random.Random(seed), World(contenders=3, terms=terms, keep=keep, make=make)
    loss, double, crash = rng.random() * 0.3, rng.random() * 0.2, rng.random() * 0.03
    stopped = {}
    for _ in range(length):
        if world.flight and rng.random() < 0.8:
            serial = rng.choice(list(world.flight))
            to, chance = world.flight[serial][1], rng.random()
            if chance < loss:
                world.lose(serial)
            elif stopped.get(to, 0.0) <= world.now:
                world.deliver(serial, chance < loss + double)
        else:
            world.step(rng.choice((1.0, 20.0, 60.0, 200.0)))
        for name, one in world.contenders.items():
            if stopped.get(name, 0.0) > world.now:
                continue
            world.act(name)
            if one.at <= world.now or one.state == "holding" and one.until <= world.now:
                world.tick(name)
            if rng.random() < 0.01:
                stopped[name] = world.now + rng.choice((100.0, 1500.0, 4000.0))
        if rng.random() < crash:
            # a majority that keeps its promises: the file of one keeper at a time may be lost
            name = rng.choice(world.names)
            lost = rng.random() < 0.5 and all(
                k.silent_until <= world.now for k in world.keepers.values()
            )
            world.restart(name, not lost)
        if world.wrong:
            return world.wrong[0], world.acted
    return None, world.acted


def test_a_keeper_that_forgot_lets_numbers_fall_and_what_is_acted_on_refuses_them():
    """Two of three can then grant what one of them had granted before: whoever gets it is told, and asks above."""
    world = World()
    one = Keeper(world.terms, 0.0, Promises())
    assert one.sought(0.0, "a", LeaseRequest("t", 6, 100.0))[-1].what == LeaseGranted("t", 6)
    contender = Contender("t", "a", ["k0"], world.terms, 1, 0.0)
    contender.tick(0.0)
    assert type(contender.take(1.0, "k0", LeaseGranted("t", 1, 1))[0]) is Held
    ended, *back = contender.outdone(2.0, 7)
    assert type(ended) is Ended and back and contender.highest == 7
    contender.tick(10000.0)
    assert contender.number == 8


def test_seeded_histories_keep_one_holder_and_make_progress():
    best = 0
    for seed in range(200):
        wrong, acted = history(seed)
        assert wrong is None, (seed, wrong)
        best = max(best, acted)
    assert best > 3, "nobody ever held it after another"


class NoSilence(Keeper):
    """Answers at once after its promises are lost."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.silent_until = -1e18


class NoNumber(Keeper):
    """Takes any number for a task that nobody holds, the same one among them."""

    def sought(self, now, sender, note):
        promise = self.kept.tasks.get(note.task)
        if promise and (not promise.holder or promise.until <= now):
            promise.number = min(promise.number, note.number - 1)
        return super().sought(now, sender, note)


class FromAnswer(Contender):
    """Counts its time from the answer, not from when it asked."""

    def granted(self, now, sender):
        self.asked = now
        return super().granted(now, sender)


class AnyRound(Contender):
    """Takes an answer to an earlier round for one of this."""

    def take(self, now, sender, note):
        if hasattr(note, "round"):
            note.round = self.round
        return super().take(now, sender, note)


class NoPromise(Keeper):
    """Forgets at a start that its promises are still running."""

    def __init__(self, terms, now, promises=None, **more):
        super().__init__(terms, now, promises, **more)
        for promise in self.kept.tasks.values():
            promise.until = now


LONG = Terms(term=1000.0, drift=0.01, margin=-30.0, longest=1000.0)


@pytest.mark.parametrize(
    "out",
    [{"keep": NoSilence}, {"make": FromAnswer}, {"keep": NoPromise}, {"keep": NoNumber}],
    ids=["silence after a loss", "asking time", "promises at a start", "rising number"],
)
def test_each_guard_taken_out_is_caught(out):
    assert any(history(seed, **out)[0] for seed in range(300)), (
        "no history of these needs this guard"
    )


def all_to(world, to):
    """Everything under way to that one, or to any keeper."""
    for serial, (_, other, _) in list(world.flight.items()):
        if other == to or to == "keepers" and other in world.names:
            world.deliver(serial)


def holding(**how):
    """a holds the task from 0 on; nothing is under way."""
    world = World(**how)
    world.contenders["a"].at, world.contenders["b"].at = 0.0, 1e9
    world.tick("a")
    all_to(world, "keepers")
    all_to(world, "a")
    assert world.holders() == [("a", 1)]
    return world


def b_asks(world, at):
    world.step(at - world.now)
    world.contenders["b"].at, world.contenders["b"].highest = at, 1
    world.tick("b")
    all_to(world, "keepers")
    all_to(world, "b")
    return world.wrong


@pytest.mark.parametrize("make, caught", [(Contender, False), (AnyRound, True)])
def test_an_answer_to_an_earlier_round_draws_out_no_time(make, caught):
    world = holding(make=make)
    world.step(world.contenders["a"].at)
    world.tick("a")
    all_to(world, "keepers")  # their answers are long under way, and the next round is lost
    held = list(world.flight)
    world.step(world.contenders["a"].at - world.now)
    world.tick("a")
    for serial in [serial for serial in world.flight if serial not in held]:
        world.lose(serial)
    all_to(world, "a")
    assert bool(b_asks(world, 1400.0)) == caught


@pytest.mark.parametrize("terms, caught", [(TERMS, False), (LONG, True)])
def test_a_holder_stops_before_its_keepers_forget(terms, caught):
    assert bool(b_asks(holding(terms=terms), 1012.0)) == caught
