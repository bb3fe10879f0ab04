"""A site's drain at one gateway: follows waves, tells how it fares, and conducts where it holds the site's tenure."""

import structlog
from msgspec import structs

from cherrydoor.protocol import zone_drain as f
from cherrydoor.zone_drain import follow as d
from cherrydoor.zone_drain.calls import Calls
from cherrydoor.zone_drain.conducting import Conducting, plain, shown
from cherrydoor.zone_drain.decide import GATHER, WAVE
from cherrydoor.zone_drain.plan import NAMED, REST, step_within, stricter
from cherrydoor.zone_drain.watch import pause

log = structlog.get_logger()
LOOK = 0.25  # s between looks at what is to be said and led
KNOWN = 4000  # functions of which event types are remembered


class Sites(Conducting):
    """The desk's port: defers, away, answered. Words of operators come through order()."""

    def __init__(self, peers, tenures):
        self.peers, self.tenures, self.service, self.now = peers, tenures, peers.service, peers.now
        self.loop, self.me, self.follower = peers.loop, peers.me.name, d.Follower()
        lease = self.service.config.lease
        self.kinds = {c.name: c for c in lease.request_classes}
        self.benefits = self.service.config.benefits
        self.conductors, self.wanted, self.heard, self.seen, self.timer = {}, {}, {}, {}, None
        self.steps = {}  # site -> (share of a wave, --even) as an operator said; until it is conducted
        self.taken = self.good = 0
        self.calls = Calls(self.now())
        self.reported = {}  # site -> (when, wave) of the last report; as many as there are drains
        self.named = plain(self.service.releases)
        peers.linked.append(self.linked)
        for kind, what in (
            (f.DrainWave, self.told),
            (f.ParticipantReport, self.followed),
            (f.OperatorCommand, self.ordered),
        ):
            peers.follow(kind, what)

    def start(self):
        self.look()

    def close(self):
        if self.timer:
            self.timer.cancel()
        for site in list(self.wanted):
            self.tenures.release(f"site/{site}")

    # ---- the desk's port
    def tells(self, event):
        clause = self.kinds[event.request_class]
        narrow = (
            clause.dedup_window_ms
            if clause.retry_safety == "keyed" and clause.dedup_scope != "all"
            else 0.0
        )
        return self.follower.tells(
            self.now(),
            event.function,
            clause.retry_safety,
            narrow,
            d.session(event.affinity_key, event.tenant, event.function),
        )

    def rejection_reason(self, event):
        return self.tells(event).defer if self.follower.drains else ""

    def drained_zone(self, event, function):
        """function: as it is called, a version of the event's."""
        if function in self.seen or len(self.seen) < KNOWN:
            self.seen.setdefault(function, {})[event.request_class] = True
        return self.tells(event).away if self.follower.drains else ""

    def draining_zones(self):
        return self.follower.moving()

    def attempt_started(self, function, site):
        self.calls.launched(function, site)

    def request_finished(self, pending, fate, now):
        self.taken += 1
        self.good += (
            fate == "handled"
            and now - pending.accepted_at_ms
            <= self.kinds[pending.request.request_class].latency_objective_ms
        )

    # ---- waves
    def told(self, sender, wave):
        """Goes on to everybody linked, once; copies that stand are told to the module."""
        if not self.follower.hear(self.now(), wave):
            held = self.follower.drains.get(wave.site)
            if held is not None and sender and (held.number, held.wave) > (wave.number, wave.wave):
                self.peers.say(sender, held)  # whoever is behind hears of it from whom it told
            return
        dispatcher = self.service.dispatcher
        for one in wave.copies:
            if one.function in dispatcher.router.history.functions:
                self.service.post(dispatcher.copy_reported, one.function, one.host)
        for name in list(self.peers.ends):
            if name != sender:
                self.peers.say(name, wave)
        log.info(
            "a site is drained",
            gateway=self.me,
            site=wave.site,
            number=wave.number,
            wave=wave.wave,
            state=wave.state,
            conductor=wave.conductor,
            why=wave.why,
        )
        conductor = self.conductors.get(wave.site)
        if conductor is not None and wave.conductor != self.me:
            self.tenures.outdone(f"site/{wave.site}", wave.number)

    def linked(self, name):
        """Whoever was away hears of what stands from whom it meets first."""
        for wave in self.follower.drains.values():
            self.peers.say(name, wave)

    def report(self, site, number, wave, pending=0, good=0):
        """How this gateway fares, and what it knows of the site. taken, good: events since the last report."""
        dispatcher = self.service.dispatcher
        in_hand = sum(
            len(link.out)
            for host in dispatcher.hosts.values()
            if host.row.zone == site
            for link in host.links
        )
        rates = self.calls.rates(self.now(), site)
        self.seen = {
            name: types for name, types in self.seen.items() if name in self.calls.counters
        }
        rest = sum(rate for _, rate in rates[NAMED:])
        told = [
            self.lot(name, rate, dispatcher.router.zone.outside(name, site))
            for name, rate in rates[:NAMED]
        ]
        if rest:
            told.append(f.FunctionLoad(REST, rest))
        zones = [f.ZoneLoad(*one) for one in dispatcher.router.zone.sites()]
        return f.ParticipantReport(
            self.me,
            self.peers.me.incarnation,
            site,
            number,
            wave,
            in_hand,
            pending,
            good,
            told,
            zones,
        )

    def lot(self, name, rate, hosts):
        kinds = [self.kinds[c] for c in self.seen.get(name, ())] or list(self.kinds.values())[:1]
        return f.FunctionLoad(
            name,
            rate,
            max(self.benefits[c.name] for c in kinds),
            stricter(*(c.retry_safety for c in kinds)),
            max(c.dedup_window_ms for c in kinds),
            hosts[:8],
        )

    def followed(self, sender, report):
        if report.to != self.me:
            self.peers.say(report.to, report)  # a keeper passes it on
            return
        if report.site not in self.wanted:  # whoever conducts is another by now
            return
        self.heard.setdefault(report.site, {})[report.gateway] = (self.now(), report)
        conductor = self.conductors.get(report.site)
        if conductor is not None:
            self.carry_out(report.site, conductor.followed(self.now(), report))

    def send(self, to, message):
        """To the conductor: straight where it is linked, else by way of a keeper."""
        message.to = to
        if to == self.me:
            return self.loop.call_soon(
                self.followed if type(message) is f.ParticipantReport else self.ordered, "", message
            )
        if not self.peers.say(to, message):
            via = next((name for name in self.tenures.keepers if name in self.peers.ends), None)
            if via is not None:
                self.peers.say(via, message)

    # ---- the look
    def look(self):
        if self.peers.closed:
            return
        self.timer = self.loop.call_later(LOOK, self.look)
        now = self.now()
        self.calls.fade(now)
        for site, wave in list(self.follower.drains.items()):
            self.tell(site, wave, now)
            if wave.state != "over" and site not in self.wanted and self.me in self.tenures.keepers:
                self.want(site)  # keepers take over a drain whose conductor is lost
        for site, began in list(self.wanted.items()):
            conductor = self.conductors.get(site)
            number = self.tenures.number(f"site/{site}")
            if (
                conductor is None
                and number is not None
                and began is not None
                and now - began > GATHER
            ):
                self.conduct(site, number)
            elif conductor is not None and number == conductor.number:
                self.looked(site, conductor)

    def tell(self, site, wave, now):
        """The conductor hears of a new wave at once, and else now and then."""
        at, last = self.reported.get(site, (-1e18, None))
        mine = wave.number, wave.wave
        due = pause(len(self.peers.members.living()))
        if wave.state == "over":
            due = 1e18  # once
        if mine != last or now - at >= due - 1.0:
            self.reported[site] = now, mine
            pending, good, self.taken, self.good = self.taken, self.good, 0, 0
            self.send(wave.conductor, self.report(site, *mine, pending, good))

    # ---- operators
    def order(self, said):
        """A command: drain, plan (a dry run), show, hold, resume, undo."""
        do, site = said["what"], str(said["site"])
        sites = {
            host.row.zone
            for host in self.service.dispatcher.hosts.values()
            if host.row.state != "gone"
        }
        if site not in sites:
            return {
                "error": f"no host of the list is at site {site!r}; there are {' '.join(sorted(sites)) or 'none'}"
            }
        held = self.follower.drains.get(site)
        on = held is not None and held.state != "over"
        if do == "show":
            return self.table(site)
        if do == "plan":
            return self.dry(
                site,
                step_within(1000.0 * float(said.get("within") or 3600.0) - GATHER, WAVE) or 1.0,
            )
        if do == "drain":
            if on:
                return {
                    "error": f"{site} is drained already, by {held.conductor}: wave {held.wave}, {held.state}"
                }
            other = next((w.site for w in self.follower.drains.values() if w.state != "over"), None)
            if other is not None:
                return {"error": f"{other} is being drained: one site at a time"}
            if len(sites) < 2:
                return {"error": f"{site} has no neighbour"}
            step = step_within(1000.0 * float(said.get("within") or 3600.0) - GATHER, WAVE)
            if step is None:
                return {
                    "error": f"a drain takes {(GATHER + WAVE) / 1000:g} s at the least: to listen, and a wave"
                }
            made = self.look_at(site, step)[0]
            if made.refused(bool(said.get("even"))):
                return {"error": made.refusal()}
            if site in self.conductors:  # the one before is over, and its tenure still held
                self.let_go(site)
            self.steps[site] = step, bool(said.get("even"))
            self.want(site)
            return self.table(site)
        if not on:
            return {"error": f"{site} is not being drained"}
        self.send(held.conductor, f.OperatorCommand(site, do))
        return self.table(site)

    def ordered(self, sender, message):
        if message.to != self.me:
            self.peers.say(message.to, message)
            return
        conductor = self.conductors.get(message.site)
        if conductor is not None:
            self.carry_out(message.site, conductor.operator(self.now(), message.do))

    def look_at(self, site, step):
        """The plan by what this gateway knows now."""
        self.heard.setdefault(site, {})[self.me] = self.now(), self.report(site, 0, 0)
        return self.planned(site, step)

    def dry(self, site, step):
        """What would be done, by what this gateway knows alone, or as conductor by what all have told."""
        made, lots, _ = self.look_at(site, step)
        by = {lot.function: lot for lot in lots}
        return {
            "site": site,
            "asked": round(made.asked, 1),
            "room": round(made.room, 1),
            "missing": round(made.missing, 1),
            "refusal": made.refusal(),
            "beyond": list(
                dict.fromkeys(step.function for wave in made.waves[made.sure :] for step in wave)
            ),
            "told by": sorted(self.heard[site]),
            "sites": {
                name: {"rate": round(one.rate, 1), "busy": one.busy, "hosts": one.hosts}
                for name, one in self.sites(site).items()
            },
            "waves": [
                [
                    {
                        "function": s.function or "(rest)",
                        "share": round(s.share, 3),
                        "opens": s.opens,
                        "benefit": by[s.function].benefit if s.function in by else 1.0,
                    }
                    for s in wave
                ]
                for wave in made.waves
            ],
        }

    def table(self, site):
        held, conductor = self.follower.drains.get(site), self.conductors.get(site)
        said: dict = structs.asdict(held) if held else {"state": "not drained"}
        if held:
            said["away"] = [[a.function or "(rest)", round(a.share, 3)] for a in held.away]
            said["copies"] = len(held.copies)
        return {"site": site, **said, **({"conductor here": shown(conductor)} if conductor else {})}
