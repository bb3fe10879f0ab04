"""Tenures of one gateway over its links: the keeper, if it is one, and the contenders for what it wants to hold."""

import structlog

from cherrydoor.leader_election.decide import Contender, Ended, Held, Keeper, Save, Terms
from cherrydoor.leader_election.promises import File
from cherrydoor.protocol.peers import LeaseGranted, LeaseRefused, LeaseRelease, LeaseRequest

log = structlog.get_logger()
LOOK = 0.02  # s between two looks at contenders, while there are any


class Tenures:
    """hold(task, began, ended) asks for a task until release(task): began(number) and ended(number) come in turn."""

    def __init__(self, peers, said, file=File):
        """said: the lease's record of tenures; file: what keeps a keeper's promises."""
        self.peers, self.said, self.loop = peers, said, peers.loop
        self.me, self.now = peers.me.name, peers.now
        self.terms = Terms(said["term"], said["drift"], said["margin"], said["longest"])
        self.keepers = [one["name"] for one in peers.said["keepers"]]
        self.wanted, self.holding, self.timer, self.closed = {}, {}, None, False
        self.file = file(said["promises"], self.me) if self.me in self.keepers else None
        self.refusing = []  # callables: a reason not to grant a task, "" for none
        self.keeper = (
            Keeper(self.terms, self.now(), self.file.read(), self.refuses) if self.file else None
        )
        for kind, what in (
            (LeaseRequest, self.to_keeper),
            (LeaseRelease, self.to_keeper),
            (LeaseGranted, self.to_contender),
            (LeaseRefused, self.to_contender),
        ):
            peers.follow(kind, what)

    def refuses(self, task):
        return next((why for one in self.refusing if (why := one(task))), "")

    # ---- what passes
    def say(self, to, what):
        if to != self.me:
            return self.peers.say(to, what)
        self.loop.call_soon(
            self.to_keeper if type(what) in (LeaseRequest, LeaseRelease) else self.to_contender,
            self.me,
            what,
        )

    def to_keeper(self, sender, note):
        if self.keeper is None or self.closed:
            return
        actions = self.keeper.take(self.now(), sender, note)
        if actions and type(actions[0]) is Save:
            self.file.save(actions[0].promises, lambda: self.answer(actions[1:]))
        else:
            self.answer(actions)

    def answer(self, actions):
        for action in actions:
            if not self.closed:
                self.say(action.to, action.what)

    def to_contender(self, sender, note):
        if note.task in self.wanted:
            self.carry_out(self.wanted[note.task][0].take(self.now(), sender, note))
        elif type(note) is LeaseGranted:  # asked for by us, and no longer wanted
            self.say(sender, LeaseRelease(note.task, note.number))

    # ---- what is wanted
    def hold(self, task, began, ended, delay=0.0):
        if task not in self.wanted and not self.closed:
            one = Contender(
                task,
                self.me,
                self.keepers,
                self.terms,
                self.peers.service.config.seed,
                self.now(),
                lambda: len(self.holding),
                delay,
            )
            self.wanted[task] = (one, began, ended)
            self.look()

    def release(self, task):
        """Hands it over at once."""
        if task in self.wanted:
            one = self.wanted[task][0]
            self.carry_out(one.leave(self.now()))
            self.wanted.pop(task, None)

    def outdone(self, task, highest):
        if task in self.wanted:
            self.carry_out(self.wanted[task][0].outdone(self.now(), highest))

    def number(self, task):
        """The number under which this gateway holds the task now, else None: looked at before each act."""
        held = self.holding.get(task)
        return held[0] if held and self.now() < held[1] else None

    def look(self):
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.closed:
            return
        now = self.now()
        for one, _, _ in list(self.wanted.values()):
            self.carry_out(one.tick(now))
        if self.wanted and not self.closed:
            self.timer = self.loop.call_later(LOOK, self.look)

    def carry_out(self, actions):
        for action in actions:
            if type(action) is Held:
                new = action.task not in self.holding
                self.holding[action.task] = (action.number, action.until)
                if new:
                    log.info(
                        "a task is held", gateway=self.me, task=action.task, number=action.number
                    )
                    self.wanted[action.task][1](action.number)
            elif type(action) is Ended:
                self.holding.pop(action.task, None)
                log.info(
                    "a task is no longer held",
                    gateway=self.me,
                    task=action.task,
                    number=action.number,
                    why=action.why,
                )
                self.wanted[action.task][2](action.number)
            else:
                self.say(action.to, action.what)

    def close(self):
        """Hands everything over."""
        for task in list(self.wanted):
            self.release(task)
        self.abort()

    def abort(self):
        self.closed = True
        if self.timer:
            self.timer.cancel()
        if self.file:
            self.file.close()

    # ---- for operators
    def table(self):
        """What is held here, and what this keeper has promised."""
        now = self.now()
        held = [
            {"task": task, "number": number, "left": round(until - now, 1)}
            for task, (number, until) in sorted(self.holding.items())
        ]
        kept = self.keeper.kept if self.keeper else None
        return {
            "gateway": self.me,
            "life": self.peers.me.incarnation,
            "keepers": self.keepers,
            "held": held,
            "asked for": sorted(task for task in self.wanted if task not in self.holding),
            "keeper": kept
            and {
                "silent": max(0.0, round(self.keeper.silent_until - now, 1)),
                "floor": kept.floor,
                "promises": [
                    {
                        "task": task,
                        "number": one.number,
                        "holder": one.holder,
                        "left": max(0.0, round(one.until - now, 1)) if one.holder else 0.0,
                    }
                    for task, one in sorted(kept.tasks.items())
                ],
                **self.keeper.counters,
            },
        }
