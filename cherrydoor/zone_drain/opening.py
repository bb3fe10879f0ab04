"""Copies that have to stand outside a site before a wave goes out: ordered, ordered again, put off. Pure. Times are ms.

An order may be lost, a store may stop, and a function may be one that nothing loads. None of them holds up the others:
what does not stand after some orders is put off to a last wave; there it is ordered for a while longer, and then it is
for an operator to say that its sessions move without.
"""

from collections import Counter

from cherrydoor.zone_drain.plan import Step

OPEN = 4000.0  # ms after which a copy that does not stand is ordered again ...
TRIES = 3  # ... so often; then its function is put off to the last wave
GIVEN = 30000.0  # ms for which the last wave's copies are ordered; then the drain stands


class Openings:
    """`stood`: functions of which a copy stands outside; `without`: those that move without one."""

    def __init__(self, stood):
        self.stood, self.without, self.opening, self.tried, self.off = (
            set(stood),
            set(),
            {},
            Counter(),
            {},
        )
        self.since, self.stuck = 0.0, False

    def begin(self, now, wave):
        """Functions of which a copy is to be ordered now."""
        wanted = [
            s.function for s in wave if s.opens and s.function not in self.stood | self.without
        ]
        self.opening, self.since = dict.fromkeys(wanted, now), now
        self.tried.update(wanted)
        return wanted

    def stands(self, function):
        self.stood.add(function)
        self.opening.pop(function, None)

    def late(self, now, last):
        """(functions to be ordered again, functions to be put off); last: nothing can be put off any further."""
        again, off = [], []
        for name in [name for name, at in self.opening.items() if now - at > OPEN]:
            if self.tried[name] < TRIES or last:
                self.opening[name] = now
                self.tried[name] += 1
                again.append(name)
            else:
                off.append(name)
        return again, off

    def put_off(self, name, waves):
        """The waves that are left, with that function's steps as one in the last of them."""
        del self.opening[name]
        steps = [step for wave in waves for step in wave if step.function == name]
        left = [[step for step in wave if step.function != name] for wave in waves]
        if not self.off:
            left.append([])
        self.off[name] = Step(name, steps[-1].share, True, sum(step.rate for step in steps))
        left[-1].append(self.off[name])
        return left

    def given_up(self, now):
        """Why the drain stands at its last wave, "" where it need not."""
        if not self.opening or now - self.since < GIVEN:
            return ""
        self.stuck = True
        return f"no copy of {', '.join(self.opening)} stands after {GIVEN / 1000:g} s: resume goes on without"

    def go_without(self):
        """An operator goes on: without those that were given up on, if any."""
        if self.stuck:
            self.without.update(self.opening)
        self.stuck = False
