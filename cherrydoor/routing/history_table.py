"""The History Table and its lines, the functions."""

from hashlib import sha1

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW, Actor, DecayingValue

FEW = 8  # how many functions are the most-called
BUSY = 0.2  # and the least events of one at work at once, over all gateways, that make it one
ENOUGH = 64  # but only once they are of so many calls, or after eight windows


class Function:
    """A line of the History Table: the function's places, how much it is called, where copies stand."""

    def __init__(self, name, settings):
        self.name, self.me, self.most = (
            name,
            settings.me,
            settings.gateways,
        )  # no more groups than would differ
        self.count, self.open, self.home = 0.0, 0, self.place(name)
        self.work, self.lanes, self.groups = DecayingValue(), 1, 1
        self.copies = {}  # host -> when a copy was last known to stand; History.window drops the old
        self.opening = {}  # host -> since when a load begun by this gateway is waited for
        self.refused = {}  # host -> until when it is held to have no room for a copy
        self.drawn: tuple[int, list] = (0, [])  # groups, and the places hashed for them

    def place(self, key):
        return int.from_bytes(sha1(key.encode()).digest()[:8], "big") / 2.0**64

    def second(self):
        """Hashed from function and gateway number, folded to as many groups as the work at once calls for."""
        return self.place(f"{self.name}/{self.me % self.groups}")

    def seconds(self):
        """Places of the own second worker and of up to four others: of the lower half of the groups, which
        gateways that go by half as many use, too."""
        if self.drawn[0] != self.groups:
            half = max(1, self.groups // 2)
            folds = [self.me % self.groups, *((self.me + i) % half for i in range(4))]
            self.drawn = self.groups, [self.place(f"{self.name}/{k}") for k in dict.fromkeys(folds)]
        return self.drawn[1]

    def told(self, host, crowd, own, now):
        """The crowd times the hosts that share it is the work at once: a group for half a copy's lanes.
        Where no crowd is told, own calls stand in: by the time that one takes and the number of gateways."""
        self.copies[host] = now
        self.work.mean(
            now, own if crowd is None else crowd * (1 + self.groups), 0.2, self.work.value
        )
        need = 2 * self.work.value / self.lanes
        while self.groups < min(need, self.most):
            self.groups *= 2
        if need < self.groups / 4 and self.groups > 1:
            self.groups //= 2


class History(Actor):
    """The History Table: own traffic alone. Each window halves it and drops what is no longer called."""

    def __init__(self, router):
        super().__init__(router.loop)
        self.router, self.functions, self.bar, self.calls = router, {}, 0.0, 0
        self.halved, self.span = router.now, WINDOW

    def window(self, now):
        halve = self.calls >= ENOUGH or now - self.halved >= 8 * WINDOW
        if halve:
            self.calls, self.halved, self.span = 0, now, now - self.halved
        for func in self.functions.values():
            func.count /= 2 if halve else 1
            func.copies = {h: t for h, t in func.copies.items() if h.holds(func, now)}
            func.opening = {h: t for h, t in func.opening.items() if now - t < 4 * self.router.load}
            func.refused = {h: t for h, t in func.refused.items() if t > now}
        self.functions = {n: f for n, f in self.functions.items() if f.count >= 0.5 or f.open}
        most = sorted((f.count for f in self.functions.values()), reverse=True)[:FEW]
        self.bar = most[-1] if len(most) == FEW else 0.0

    def hot(self, func):
        """Most-called here, and with work at once, by answers or by own calls beyond what may be chance."""
        sure = (func.count - 2 * func.count**0.5) / (2 * self.span) * self.router.settings.gateways
        return func.count >= self.bar and max(func.work.value, sure * self.router.brisk) >= BUSY

    def own(self, func):
        """The work at once of a function, were all gateways called as this one is."""
        return (
            func.count / (1.5 * self.span) * 2 * self.router.brisk * self.router.settings.gateways
        )

    def called(self, func):
        func.count, self.calls = func.count + 1, self.calls + 1

    def tells(self, func, host, note, stood):
        """A load where a copy was known to stand: released anew or swept out; no other is believed in."""
        now, fate = self.router.now, note.outcome
        if fate not in (
            messages.AttemptOutcome.NO_RESPONSE,
            messages.AttemptOutcome.CANCELLED,
        ):  # then a load goes on without the event
            func.opening.pop(host, None)
        if fate == messages.AttemptOutcome.SUCCEEDED and stood and note.copy == 2:
            func.copies = {}
        if (
            fate == messages.AttemptOutcome.SUCCEEDED
            or fate == messages.AttemptOutcome.FULL
            and stood
        ):
            own = func.work.value if stood is None else self.own(func)  # an order tells of no calls
            func.told(host, note.concurrency, own, now)
        elif fate == messages.AttemptOutcome.FULL:
            func.refused[host], host.tight = now + self.router.load, now
        elif fate in (
            messages.AttemptOutcome.FUNCTION_MISSING,
            messages.AttemptOutcome.CONNECT_FAILED,
            messages.AttemptOutcome.CONNECTION_LOST,
        ):
            func.copies.pop(host, None)
