"""A host and its health, by its own launches' fates first and the list second."""

from cherrydoor.routing import messages
from cherrydoor.routing.decay import WINDOW, Actor, DecayingValue

PATIENCE = 0.5  # T2 is the own events out that would take this share of the target time one by one
OTHERS = 2  # others' events held to be at a host when own ones are compared to the usual
DEAF = 4000  # time for which a host is first held to be deaf to an event type
FADED = 100  # answers after which what they told has faded by two thirds
LEAST = 1.5  # a cold host owns this many times what it can do at least, as few start at the least


class Ear:
    """What a host lets hear of one event type; it goes with the host's process. Guards against hosts that
    leave one unanswered, also answers lost at random; harms when a slow event is overtaken at a well host."""

    def __init__(self):
        self.heard, self.struck, self.strikes, self.shut = 0.0, 0.0, 0, 0.0


class Host(Actor):
    """One worker as this gateway sees it: its own launches' fates first, the list second."""

    def __init__(self, router, row):
        super().__init__(router.loop)
        self.router, self.id, self.zone, self.cell = router, row.host, row.zone, row.cell
        self.state, self.out = None, {}  # launches out, oldest first; each leaves with its outcome
        self.reset(row.started_at_ms)

    def reset(self, since):
        """A process that starts anew has an empty memory and a clean slate."""
        self.since, self.heard, self.strikes, self.shut, self.struck = since, 0.0, 0, 0.0, 0.0
        self.passed = 0.0  # when the latest of the answered events was sent
        self.probing, self.sheds = False, False
        self.ears = {}  # event type -> Ear, no more than there are types
        self.pace, self.crowd = (
            DecayingValue(half=2 * WINDOW),
            1.0,
        )  # mean answer time, usual own events out
        self.others, self.full, self.tight = (
            DecayingValue(),
            DecayingValue(),
            -1e18,
        )  # as answers tell; when short of memory
        self.tried = (
            self.router.now
            - self.router.chance() * self.router.settings.gateways * self.router.mean()
        )
        self.credit, self.credited = self.router.chance(), self.router.now  # of rule 4, while cold

    def listed(self, state, since):
        if since != self.since and state == messages.HostState.READY:
            self.reset(since)
        self.state = state

    def level(self, now):
        """The share of its full capacity that a host has at least."""
        age = max(0.0, now - self.since) / (self.router.settings.cold or 1.0) if self.since else 1.0
        return min(1.0, self.router.settings.cold_from + (1 - self.router.settings.cold_from) * age)

    def room(self, now):
        """Rule 4: this gateway's part of what a warm host bears, times level and multiple, is earned with
        time; a launch costs one. It begins below one, by chance, so that all parts add up to the whole."""
        level, settings = self.level(now), self.router.settings
        if level >= 1.0 or not settings.fall:
            return True
        rate = settings.budget * level * self.router.borne()
        earned = self.credit + rate * (now - self.credited)
        self.credit, self.credited = min(earned, max(1.0, rate * settings.fall / 2)), now
        return self.credit >= 1.0

    def ready(self, now, part=0.0, clause=None):
        """What fails this hands the range on; a cold host takes it back by parts, alike at all gateways."""
        bad = self.shut > now or self.probing or self.strikes > 1 and self.out
        fit = (
            self.state == messages.HostState.READY
            and part <= LEAST * self.level(now)
            and self.room(now)
        )
        return fit and (self.router.blind or not bad) and not self.deaf(clause, now)

    def deaf(self, clause, now):
        """To one event type alone; once its time is over one event at a time tries it."""
        ear = self.ears.get(clause and clause.name)
        return ear is not None and (
            ear.shut > now or ear.strikes > 0 and any(t.evt.clause is clause for t in self.out)
        )

    def holds(self, func, now):
        seen = func.copies.get(self, self.since)
        return seen > self.since and now - seen < self.router.settings.linger

    def roomy(self):
        return self.router.now - self.tight > self.router.settings.linger

    def load(self):
        """Own events out here and, as far as they were told and have not aged away, those of others."""
        return len(self.out) + round(self.others.read(self.router.now), 1)

    def wait(self, func):
        """The time that an event sent now is predicted to take, by its own answers and its own events out."""
        now, full = self.router.now, self.full.read(self.router.now)
        since = [
            t.sent if t.evt.func is func else max(t.sent, self.heard)
            for t in self.out
            if t.stood and not t.silent
        ]
        pace = max(self.mean(), now - min(since, default=now), full * self.router.settings.target)
        own = pace * (len(self.out) + 1 + OTHERS) / (self.crowd + OTHERS)
        return max(
            own, self.router.each * (self.load() + 1) if now - self.others.at < WINDOW else 0.0
        )

    def mean(self):
        return self.pace.read(self.router.now, self.router.mean())

    def sent(self, launch, now):
        self.out[launch] = self.tried = now
        self.crowd += 0.1 * (max(1, len(self.out)) - self.crowd)
        self.credit -= 1.0

    def busy(self):
        """T1 and T2, as shares of T2. A full answer counts as T2 and ages."""
        t2 = max(3.0, PATIENCE * self.router.settings.target / self.router.brisk)
        usual = self.router.waited / FADED  # the mean answer time, as faded sums have it
        told = (
            self.load()
            * self.router.each
            / max(PATIENCE * self.router.settings.target, 1.5 * usual)
        )
        out = max(len(self.out) / t2, told) + self.full.read(self.router.now)
        self.sheds = out >= (0.6 if self.sheds else 1.0)
        return self.sheds

    def back(self, launch, note, now):
        self.out.pop(launch, None)
        long = note.duration_ms > self.patience(launch)  # before what it teaches of the mean
        if note.outcome in (
            messages.AttemptOutcome.SUCCEEDED,
            messages.AttemptOutcome.FULL,
            messages.AttemptOutcome.ERROR,
            messages.AttemptOutcome.FUNCTION_MISSING,
        ):
            held = (
                max(self.others.read(now), note.concurrency or 0)
                if note.in_flight is None
                else note.in_flight
            )
            self.heard, self.others = (
                now,
                DecayingValue(now, max(0.0, held - len(self.out)), 2 * WINDOW),
            )
        ear = self.ears.setdefault(launch.evt.clause.name, Ear())
        if note.outcome == messages.AttemptOutcome.NO_RESPONSE and self.unheard(launch, ear, now):
            self.strike_ear(launch, ear, now)
        elif note.outcome in (messages.AttemptOutcome.SUCCEEDED, messages.AttemptOutcome.ERROR):
            self.passed = max(self.passed, launch.sent)
            ear.heard, ear.strikes, ear.shut = now, ear.strikes // 2, 0.0
        left = (
            note.outcome in (messages.AttemptOutcome.NO_RESPONSE, messages.AttemptOutcome.CANCELLED)
            and launch.stood
            and note.duration_ms > self.mean()
        )
        left = left and not launch.silent
        if (
            left or note.outcome == messages.AttemptOutcome.SUCCEEDED and launch.warm
        ):  # what left unanswered tells, too
            self.pace.mean(now, note.duration_ms, 0.1, self.router.mean())
        if note.outcome == messages.AttemptOutcome.SUCCEEDED:
            self.strikes, self.shut = 0, 0.0
        elif note.outcome == messages.AttemptOutcome.FULL and launch.stood:
            self.full = DecayingValue(now, 1.0)
        elif (
            note.outcome in (messages.AttemptOutcome.ERROR, messages.AttemptOutcome.CONNECTION_LOST)
            and note.copy != 4
        ):
            self.strike(1, now, launch.sent)
        elif (
            note.outcome == messages.AttemptOutcome.CONNECT_FAILED
            or note.outcome == messages.AttemptOutcome.NO_RESPONSE
            and (long and self.heard < launch.sent)
        ):
            self.strike(2, now, launch.sent)

    def strike(self, weight, now, sent):
        """Bad fates in a row shut a host for a time that doubles; one good answer ends it. What was out
        together counts once: guards against a host long shut for one moment; harms where single ones fail."""
        if sent < self.struck:
            return
        self.strikes, self.struck = self.strikes + weight, now
        if self.strikes > 1:
            self.shut = now + 250 * 2 ** min(self.strikes, 4) * (1 + self.router.chance())

    def patience(self, launch):
        """Silence that tells of the host. Guards against clients that wait for less, whose launches are cut
        while the host works; harms where all do: a dead host is then found by refused connections alone."""
        return max(250.0, 4 * self.mean()) + (0 if launch.stood else 3 * self.router.load)

    def sweep(self, now):
        """Silence shows a host that stalls or is cut off: it is probed, else its events are taken back.
        Answers to other event types show no more than that it runs: each type has an ear of its own."""
        for launch in self.out:
            ear = self.ears.setdefault(launch.evt.clause.name, Ear())
            if not launch.evt.streams and self.unheard(launch, ear, now):
                self.strike_ear(launch, ear, now)
                self.router.post("take_back", launch)
        silent = any(
            now - max(sent, self.heard) > self.patience(launch)
            for launch, sent in self.out.items()
            if not launch.evt.streams
        )
        ask = not self.probing and (silent or self.strikes > 1 and self.shut <= now)
        if ask and self.router.settings.probes:
            self.probing = True
            self.router.actions.append(messages.CheckHealth(self.id))
        elif ask and silent:
            self.probed(messages.AttemptOutcome.NO_RESPONSE, now)

    def unheard(self, launch, ear, now):
        """Out for long, nothing of its type was answered since, and events sent after it were."""
        waits = max(250.0, 4 * self.mean()) * (1 if ear.strikes else 2)
        waits += 0 if launch.stood else 1.5 * self.router.load
        return self.passed > launch.sent and now - max(launch.sent, ear.heard) > waits

    def strike_ear(self, launch, ear, now):
        launch.silent = True
        if launch.sent > ear.struck:
            ear.struck, ear.strikes = now, ear.strikes + 1
            lost, all_ = self.router.losses[launch.evt.clause.name]
            lost.add(now, 1.0)
            sure = (1 + 20 * lost.read(now) / (20 + all_.read(now))) * 4 ** (ear.strikes - 1)
            ear.shut = now + DEAF * min(10, sure) * (0.75 + self.router.chance() / 2)

    def probed(self, fate, now):
        self.probing = False
        if fate == messages.AttemptOutcome.SUCCEEDED:
            self.heard, self.strikes, self.shut = now, 0, 0.0
        elif fate != messages.AttemptOutcome.FULL:
            self.strike(2, now, now)
            for launch in self.out:
                self.router.post("take_back", launch)
