"""The desk's turn: inputs, notes to the module, its actions, and what falls due. No I/O, no clock."""

from heapq import heappop, heappush
from typing import Any

MAX_LAG_SHARE = (
    0.25  # of an event's time, that may be kept for alarms told late where the core is short
)
LAG_HALF_LIFE_MS = 2000.0  # ms after which half of how late alarms were told is forgotten


class Timers:
    """One queue of inputs, one of notes, one heap of alarms; each is emptied by turns. `behind` is how many ms late
    alarms have lately been told."""

    router: Any
    now: float
    numbers: int
    inputs: list
    router_messages: Any
    timers: list
    behind: float
    carry: dict
    overdue: Any
    told_left: Any

    def post(self, what, *args):
        """Queues an input; True if a turn has to be asked for."""
        self.inputs.append((what, args))
        return len(self.inputs) == 1

    def tick(self, now):
        """One now for everything that has come in. What has come goes before what has run out of time."""
        self.behind *= 0.5 ** (max(0.0, now - self.now) / LAG_HALF_LIFE_MS)
        self.now = now = max(now, self.now)
        inputs, self.inputs = self.inputs, []
        for what, args in inputs:
            what(*args)
        self.tell()
        while self.timers and self.timers[0][0] <= now:
            at, _, what, args = heappop(self.timers)
            self.behind = max(self.behind, now - at)
            what(*args)
            self.tell()

    def tell(self):
        while self.router_messages:
            self.carry_out(self.router.take(self.now, self.router_messages.popleft()))
        self.told_left()

    def carry_out(self, actions):
        for action in actions:
            self.carry[type(action)](action)

    def set_timer(self, at, what, *args):
        self.numbers += 1
        heappush(self.timers, (at, self.numbers, what, args))

    def next_timer_ms(self):
        """When to turn next; what belongs to events that are over is dropped here, not waited for."""
        alarms = self.timers
        while (
            alarms
            and alarms[0][2] == self.overdue
            and alarms[0][3][0].finished
            and not alarms[0][3][0].out
        ):
            heappop(alarms)
        return alarms[0][0] if alarms else None
