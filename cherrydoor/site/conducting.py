"""What the gateway that holds a site's tenure does: listens, plans by what all have told, and leads the waves."""

from typing import Any

import structlog

from cherrydoor.frames import site as f
from cherrydoor.site import decide as d
from cherrydoor.site.plan import REST, STEP, Lot, plan, room_of

log = structlog.get_logger()


def mean(told):
    return sum(told) / len(told) if told else None


class Conducting:
    """Drains that this gateway conducts or would; its tables are Sites'."""

    me: str
    now: Any
    loop: Any
    shell: Any
    peers: Any
    tenures: Any
    follower: Any
    told: Any
    wanted: dict
    steps: dict
    conductors: dict
    heard: dict

    def want(self, site, step=STEP):
        self.wanted[site], self.steps[site] = None, step
        self.tenures.hold(f"site/{site}", lambda number: self.began(site, number), lambda number: self.ended(site))

    def began(self, site, number):
        """Listens first: a word that the drain goes on under a new number has all gateways report here."""
        self.wanted[site] = self.now()
        last = self.follower.drains.get(site)
        wave = f.Wave(site, number, last.wave if last else 0, self.me, last.state if last else "moving",
                      last.away if last else [], last.shed if last else [], last.copies if last else [],
                      f"{self.me} conducts", last.step if last else self.steps.get(site, STEP))
        self.told("", wave)

    def ended(self, site):
        self.conductors.pop(site, None)
        if site in self.wanted:
            self.wanted[site] = None

    def lots(self, site):
        """What all gateways told, as one: (lots, zones)."""
        sums: dict = {}
        zones: dict = {}
        for _, report in self.heard.get(site, {}).values():
            for one in report.lots:
                was = sums.get(one.function)
                sums[one.function] = Lot(
                    one.function, one.rate + (was.rate if was else 0.0), max(one.benefit, was.benefit if was else 0.0),
                    max(one.kind, was.kind if was else one.kind, key=("redeliverable", "keyed", "at-most-once").index),
                    tuple(dict.fromkeys([*(was.hosts if was else ()), *one.hosts])), max(
                        one.memory, was.memory if was else 0.0))
            for one in report.zones:
                zones.setdefault(one.site, []).append((one.rate, one.busy))
        means = {site: (sum(rate for rate, _ in told), mean([busy for _, busy in told if busy is not None]))
                 for site, told in zones.items()}
        return list(sums.values()), means

    def planned(self, site, step):
        lots, zones = self.lots(site)
        room = room_of(zones, site)
        return plan(lots, 1e9 if room is None else room, step), lots, zones

    def conduct(self, site, number):
        """The plan by what has been heard, from the wave that was reached."""
        last = self.follower.drains[site]
        made, lots, _ = self.planned(site, last.step)
        copies = [(lot.function, host) for lot in lots for host in lot.hosts if lot.function != REST]
        one = d.Conductor(site, number, self.me, made, self.peers.members.living, self.now(), last, copies)
        self.conductors[site] = one
        log.info("this gateway conducts a site's drain", gateway=self.me, site=site, number=number,
                 wave=one.wave, waves=len(made.waves), asked=round(made.asked, 1), room=round(made.room, 1))
        self.carry_out(site, one.start(self.now()))

    def carry_out(self, site, actions):
        conductor = self.conductors.get(site)
        for action in actions:
            if conductor is None or self.tenures.number(f"site/{site}") != conductor.number:
                return
            if isinstance(action, d.Open):
                self.shell.post(self.shell.desk.foreseen, action.function, site)
            else:
                self.told("", action.wave)
                if action.wave.state == "over":
                    self.loop.call_later(2.0, self.let_go, site)

    def let_go(self, site):
        self.wanted.pop(site, None)
        self.conductors.pop(site, None)
        self.tenures.release(f"site/{site}")

    def loaded(self, function, host, good):
        """An order of this gateway has ended."""
        for site, conductor in list(self.conductors.items()):
            if good and function in conductor.opening:
                self.carry_out(site, conductor.stands(self.now(), function, host))
