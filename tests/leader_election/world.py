"""A small world around the pure deciders: keepers, contenders, every message in flight; time moves in steps.

A *move* is one thing that may happen next. Holders count by their own clock and keepers by theirs; both clocks are the
world's here, except that a process may be stopped, for which its clock goes on and its notes wait.
"""

import copy
from itertools import count

from cherrydoor.leader_election.decide import Contender, Ended, Held, Keeper, Save, Say, Terms

TERMS = Terms(term=1000.0, drift=0.01, margin=50.0, longest=1000.0)
NAMES = ("a", "b", "c")


class World:
    def __init__(self, keepers=3, contenders=2, terms=TERMS, make=Contender, keep=Keeper):
        self.terms, self.keep, self.now, self.flight, self.serials = terms, keep, 0.0, {}, count(1)
        self.names = [f"k{i}" for i in range(keepers)]
        # promises of nobody yet: all keepers were there before, none is silent
        self.disk = {name: None for name in self.names}
        self.keepers = {name: keep(terms, -10 * terms.longest) for name in self.names}
        self.contenders = {n: make("t", n, self.names, terms, 7, 0.0) for n in NAMES[:contenders]}
        self.held, self.acted, self.wrong, self.lost, self.refused = {}, 0, [], False, 0

    # ---- what a resource sees: acts under numbers, at times at which the holder believes
    def holders(self):
        return [(n, number) for n, (number, until) in self.held.items() if self.now < until]

    def check(self):
        here = self.holders()
        if len(here) > 1:
            self.wrong.append(f"two holders at {self.now}: {here}")

    def act(self, name):
        """The holder acts: something that remembers the highest number would see it go back."""
        if name in dict(self.holders()):
            number = self.held[name][0]
            if number >= self.acted:
                self.acted = number
            elif (
                self.lost
            ):  # a keeper forgot what it had promised: what is acted on refuses, and tells
                self.refused += 1
                self.carry_out(name, self.contenders[name].outdone(self.now, self.acted))
            else:
                self.wrong.append(f"an act under {number} after {self.acted}")

    # ---- what happens
    def carry_out(self, who, actions):
        for action in actions:
            kind = type(action)
            if kind is Say:
                self.flight[next(self.serials)] = (who, action.to, action.what)
            elif kind is Save:
                self.disk[who] = copy.deepcopy(action.promises)
            elif kind is Held:
                self.held[who] = (action.number, action.until)
                self.act(who)
            elif kind is Ended:
                self.held.pop(who, None)
        self.check()

    def deliver(self, serial, again=False):
        sender, to, what = self.flight[serial] if again else self.flight.pop(serial)
        if to in self.keepers:
            if self.keepers[to] is not None:
                self.carry_out(to, self.keepers[to].take(self.now, sender, what))
        elif self.contenders.get(to) is not None:
            self.carry_out(to, self.contenders[to].take(self.now, sender, what))

    def lose(self, serial):
        del self.flight[serial]

    def tick(self, name):
        self.carry_out(name, self.contenders[name].tick(self.now))

    def leave(self, name):
        self.carry_out(name, self.contenders[name].leave(self.now))

    def step(self, ms):
        self.now += ms
        self.check()

    def restart(self, name, with_file=True):
        """A keeper comes up again, with its promises as last synced or without."""
        promises = copy.deepcopy(self.disk[name]) if with_file else None
        if not with_file:
            self.disk[name], self.lost = None, True
        self.keepers[name] = self.keep(self.terms, self.now, promises)

    # ---- for a search
    def mark(self):
        """What tells two worlds apart: all that decides what can follow."""
        soon = 100 * self.terms.term
        rel = lambda t: round(min(soon, max(-soon, t - self.now)), 1)  # noqa: E731
        keepers = tuple(
            (
                rel(k.silent_until) if k.silent_until > self.now else 0,
                tuple(
                    (t, p.number, p.holder, rel(p.until) if p.holder else 0)
                    for t, p in k.kept.tasks.items()
                ),
            )
            for k in self.keepers.values()
        )
        contenders = tuple(
            (
                c.state,
                c.number,
                c.highest,
                c.round,
                rel(c.asked),
                rel(c.until) if c.state == "holding" else 0,
                rel(c.at),
                tuple(sorted(c.grants)),
                tuple(sorted(c.refusals)),
            )
            for c in self.contenders.values()
        )
        held = tuple(sorted((n, number, rel(until)) for n, (number, until) in self.held.items()))
        flight = tuple(sorted(repr(f) for f in self.flight.values()))
        return hash((keepers, contenders, held, flight, self.acted, self.lost))
