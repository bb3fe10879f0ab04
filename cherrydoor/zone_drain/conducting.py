"""What the gateway that holds a site's tenure does: listens, plans by what all have told, and leads the waves."""

from typing import Any

import structlog

from cherrydoor.protocol import failover as c
from cherrydoor.protocol import zone_drain as f
from cherrydoor.zone_drain import decide as d
from cherrydoor.zone_drain.follow import called
from cherrydoor.zone_drain.neighbours import FRESH, gathered_sites, room_of
from cherrydoor.zone_drain.plan import REST, STEP, merged, plan, scaled
from cherrydoor.zone_drain.waves import Open

log = structlog.get_logger()
LAST_WORD = 2.0  # s for which the tenure is kept after the last wave, so that all hear of it under its number


class Conducting:
    """Drains that this gateway conducts or would; its tables are Sites'."""

    me: str
    now: Any
    loop: Any
    service: Any
    peers: Any
    tenures: Any
    follower: Any
    told: Any
    wanted: dict
    steps: dict
    conductors: dict
    heard: dict
    named: Any

    def want(self, site):
        self.wanted[site] = None
        self.tenures.hold(
            f"site/{site}", lambda number: self.began(site, number), lambda number: self.ended(site)
        )

    def began(self, site, number):
        """Listens first: a word that the drain goes on under a new number has all gateways report here. One that is
        over meanwhile is not begun again: keepers stand in line while it goes on, and its conductor hands over last."""
        last, asked = self.follower.drains.get(site), self.steps.get(site)
        if last is not None and last.state == "over":
            if asked is None:
                return self.let_go(site)
            last = None
        self.wanted[site] = self.now()
        step, even = asked or (STEP, False)
        wave = f.DrainWave(
            site,
            number,
            last.wave if last else 0,
            self.me,
            last.state if last else "moving",
            last.away if last else [],
            last.shed if last else [],
            last.copies if last else [],
            f"{self.me} conducts",
            last.step if last else step,
            last.even if last else even,
        )
        self.told("", wave)

    def ended(self, site):
        self.conductors.pop(site, None)
        self.heard.pop(site, None)
        if site in self.wanted:
            self.wanted[site] = None

    def fresh(self, site):
        """Reports of the site that still count."""
        now = self.now()
        return [report for at, report in self.heard.get(site, {}).values() if now - at <= FRESH]

    def sites(self, site):
        return gathered_sites(
            [
                [(one.site, one.rate, one.took, one.hosts) for one in report.zones]
                for report in self.fresh(site)
            ]
        )

    def lots(self, site):
        """What all gateways told of its functions as one, versions of one together; [(function, version, host)]."""
        return merged((one for report in self.fresh(site) for one in report.lots), self.named)

    def planned(self, site, step):
        (lots, copies), sites = self.lots(site), self.sites(site)
        room = room_of(sites, site)
        lots = scaled(lots, sites[site].rate if site in sites else 0.0)
        return plan(lots, 1e9 if room is None else room, step), lots, copies

    def conduct(self, site, number):
        """The plan by what has been heard, from the wave that was reached."""
        last = self.follower.drains[site]
        self.steps.pop(site, None)
        made, _, copies = self.planned(site, last.step)
        if not last.wave and made.refused(last.even):
            log.warning(
                "a drain is refused", gateway=self.me, site=site, missing=round(made.missing, 1)
            )
            self.told("", f.DrainWave(site, number, 1, self.me, "over", why=made.refusal()))
            return self.let_go(site)
        one = d.Conductor(
            site,
            number,
            self.me,
            made,
            self.peers.members.living,
            self.now(),
            last,
            [copy for copy in copies if copy[0] != REST],
            lambda: self.hosts(site),
        )
        self.conductors[site] = one
        one.neighbours.heard(self.sites(site))
        log.info(
            "this gateway conducts a site's drain",
            gateway=self.me,
            site=site,
            number=number,
            wave=one.wave,
            waves=len(made.waves),
            asked=round(made.asked, 1),
            room=round(made.room, 1),
        )
        self.carry_out(site, one.start(self.now()))

    def hosts(self, site):
        """Of the list as it stands here, draining ones too; None where there is none yet, as after a start."""
        if not self.service.dispatcher.hosts:
            return None
        return [
            host.id
            for host in self.service.dispatcher.hosts.values()
            if host.row.zone == site and host.row.state != "gone"
        ]

    def looked(self, site, conductor):
        """What all tell may show that a copy stands which nobody had to order: calls that moved on had it loaded."""
        conductor.neighbours.heard(self.sites(site))
        if conductor.openings.opening:
            for name, version, host in self.lots(site)[1]:
                if name in conductor.openings.opening:
                    self.carry_out(site, conductor.stands(self.now(), name, host, version))
        self.carry_out(site, conductor.tick(self.now()))

    def carry_out(self, site, actions):
        conductor = self.conductors.get(site)
        for action in actions:
            if conductor is None or self.tenures.number(f"site/{site}") != conductor.number:
                return
            if isinstance(action, Open):
                for name in self.versions_of(action.function):
                    self.service.post(self.service.dispatcher.function_expected, name, site)
            elif isinstance(action, d.Ask):
                self.service.post(
                    self.service.dispatcher.query_host,
                    action.host,
                    c.CountInFlight,
                    d.SAYS,
                    lambda host, fate, said: self.counted(site, host, said),
                )
            else:
                self.told("", action.wave)
                if action.wave.state == "over":
                    self.loop.call_later(LAST_WORD, self.handed_over, site, conductor)

    def versions_of(self, function):
        """As this gateway calls the function by now."""
        known = [
            name
            for name in self.service.dispatcher.router.history.functions
            if self.named(name) == function
        ]
        return known or [function]

    def counted(self, site, host, said):
        conductor = self.conductors.get(site)
        if conductor is not None:
            word = (said.in_hand, said.came, said.by) if type(said) is c.InFlightCount else None
            self.carry_out(site, conductor.counted(self.now(), host, word))

    def handed_over(self, site, conductor):
        """A while after its last word; another drain of the site may have been asked for here meanwhile."""
        if self.conductors.get(site) is conductor:
            self.let_go(site)

    def let_go(self, site):
        self.wanted.pop(site, None)
        self.steps.pop(site, None)
        self.conductors.pop(site, None)
        self.heard.pop(site, None)
        self.tenures.release(f"site/{site}")

    def load_ended(self, name, host, good):
        """An order of this gateway has ended."""
        for site, conductor in list(self.conductors.items()):
            if good and self.named(name) in conductor.openings.opening:
                self.carry_out(site, conductor.stands(self.now(), self.named(name), host, name))


def plain(versions):
    """How names of functions are read: versions of one go together where there are any."""
    return (lambda name: name) if versions is None else called


def shown(one):
    """A conductor's drain for people."""
    watch = one.watch.reports.values()
    return {
        "site": one.site,
        "number": one.number,
        "wave": one.wave,
        "state": one.state,
        "why": one.why,
        "waves": len(one.waves),
        "known to be borne": one.plan.sure,
        "reached": one.at,
        "shed": one.shed,
        "room": round(one.plan.room, 1),
        "asked": round(one.plan.asked, 1),
        "within target before": one.fall.before,
        "neighbours standing": round(one.neighbours.standing(), 2),
        "in hand": sum(r.in_hand for r in watch),
        "in hand by hosts": sum(word.in_hand or 0 for word in one.leftover.words.values()),
        "confirmed": sum(r.wave >= (one.number, one.wave) for r in watch),
    }
