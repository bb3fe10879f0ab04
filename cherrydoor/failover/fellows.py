"""A gateway's fellows: its links, its tenures, its custody, and the socket by which operators ask about them."""

import structlog

from cherrydoor.failover.decide import stay_away
from cherrydoor.failover.shell import Custody
from cherrydoor.gateway.control import ControlSocket
from cherrydoor.leader_election.promises import File
from cherrydoor.leader_election.shell import Tenures
from cherrydoor.membership.shell import Peers
from cherrydoor.zone_drain.shell import Sites

log = structlog.get_logger()
STILL = "it stood still for longer than its witnesses wait"


class Fellows:
    """What a gateway's shell knows of all this: life, start(), turned(), reclaim(), standing(), close(), abort()."""

    def __init__(self, service, incarnation=0, file=None):
        """file: makes what keeps a keeper's promises, of a path and a name; on disk unless said."""
        said = service.config.peers
        self.service, self.peers = service, Peers(service, said, incarnation)
        self.tenures = Tenures(self.peers, service.config.tenures, file or File)
        self.failover = Custody(self.peers, self.tenures)
        self.zone_drains = Sites(self.peers, self.tenures)
        self.control = ControlSocket(said["control"], self.obey) if said["control"] else None
        self.peers.changed.append(self.seen)
        self.last, self.silent = self.peers.now(), said["silent"]

    @property
    def incarnation(self):
        return self.peers.me.incarnation

    def goes_on_from(self, before):
        """Another life of the same process: it knows the drains that it went by."""
        self.zone_drains.follower = before.zone_drains.follower

    async def start(self):
        await self.peers.start()
        self.failover.start()
        self.zone_drains.start()
        if self.control:
            await self.control.start()
        log.info(
            "peers may connect",
            gateway=self.peers.me.name,
            at=self.peers.said["door"],
            incarnation=self.incarnation,
            keepers=len(self.tenures.keepers),
        )

    def after_tick(self):
        self.failover.after_tick()

    def reclaim(self, end, message):
        self.failover.reclaim(end, message)

    def seen(self):
        """After each look at the links: whether others hold this life to be over."""
        if self.service.peer_services is not self:
            return
        if self.stood_still():
            return self.service.life_over(STILL)
        self.failover.again(None, 0)
        if self.peers.members.ended:
            self.service.life_over("others hold this life to be over")

    def stood_still(self):
        """Whether this process has just woken from a standstill in which others may have taken over what it had in
        hand. Asked before anything is done: what it would send until it hears so would be refused."""
        still = self.peers.now() - self.last
        self.last = self.peers.now()
        return still > self.silent and bool(self.failover.giver.where)

    def stay_away(self, number):
        return stay_away(self.service.config.seed + self.incarnation, number)

    def close(self):
        """Leaves: what is held is handed over, and everybody linked is told."""
        self.zone_drains.close()
        self.tenures.close()
        self.failover.close()
        self.peers.close()
        if self.control:
            self.control.close()

    def abort(self):
        """Ends without a word; the next life begins with its own."""
        self.zone_drains.close()
        self.tenures.abort()
        self.failover.close()
        self.peers.abort()
        if self.control:
            self.control.close()

    # ---- for operators
    def obey(self, said):
        what = said["do"]
        if what == "peers":
            return self.table()
        if what == "site":
            return self.zone_drains.order(said)
        if what == "custody":
            return self.failover.table()
        if what in ("yield", "hold"):
            task = str(said["task"])
            if what == "hold":
                self.tenures.hold(task, lambda number: None, lambda number: None)
            elif task not in self.tenures.holding:
                return {"error": f"{task} is not held here"}
            else:
                self.tenures.release(task)
        elif what != "tenures":
            return {"error": f"unknown: {what}"}
        return self.tenures.table()

    def table(self):
        members, links = self.peers.members, self.peers.links
        now = self.peers.now()
        return {
            "gateway": self.peers.me.name,
            "life": self.incarnation,
            "witnesses": links.witnesses,
            "frames": self.peers.frames,
            "bytes": self.peers.bytes,
            "members": [
                {
                    "name": row.name,
                    "life": row.incarnation,
                    "at": row.at,
                    "site": row.site,
                    "state": row.state,
                    "keeper": row.keeper,
                    "linked": links.is_up(row.name),
                    "since": round(now - members.since[row.name], 1),
                }
                for row in sorted(members.whole(), key=lambda r: r.name)
            ],
        }
