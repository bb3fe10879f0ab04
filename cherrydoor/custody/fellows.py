"""A gateway's fellows: its links, its tenures, its custody, and the socket by which operators ask about them."""

import structlog

from cherrydoor.gateway.control import Control
from cherrydoor.peers.shell import Peers
from cherrydoor.tenure.shell import Tenures

log = structlog.get_logger()


class Fellows:
    def __init__(self, shell, life=0):
        said = shell.figures.peers
        self.shell, self.peers = shell, Peers(shell, said, life)
        self.tenures = Tenures(self.peers, shell.figures.tenures)
        self.control = Control(said["control"], self.obey) if said["control"] else None

    @property
    def life(self):
        return self.peers.me.life

    async def start(self):
        await self.peers.start()
        if self.control:
            await self.control.start()
        log.info("peers may connect", gateway=self.peers.me.name, at=self.peers.said["door"], life=self.life,
                 keepers=len(self.tenures.keepers))

    def close(self):
        """Leaves: what is held is handed over, and everybody linked is told."""
        self.tenures.close()
        self.peers.close()
        if self.control:
            self.control.close()

    def abort(self):
        """Ends without a word; the next life begins with its own."""
        self.tenures.abort()
        self.peers.abort()
        if self.control:
            self.control.close()

    def obey(self, said):
        what = said["do"]
        if what == "tenures":
            return self.tenures.table()
        if what == "peers":
            return self.table()
        if what == "yield":
            task = str(said["task"])
            if task not in self.tenures.holding:
                return {"error": f"{task} is not held here"}
            self.tenures.release(task)
            return self.tenures.table()
        if what == "hold":
            task = str(said["task"])
            self.tenures.hold(task, lambda number: None, lambda number: None)
            return self.tenures.table()
        return {"error": f"unknown: {what}"}

    def table(self):
        members, links = self.peers.members, self.peers.links
        now = self.peers.now()
        return {"gateway": self.peers.me.name, "life": self.life, "witnesses": links.witnesses, "members": [
            {"name": row.name, "life": row.life, "at": row.at, "site": row.site, "state": row.state,
             "keeper": row.keeper, "linked": links.is_up(row.name),
             "since": round(now - members.since[row.name], 1)}
            for row in sorted(members.whole(), key=lambda r: r.name)]}
