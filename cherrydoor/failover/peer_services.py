"""What a gateway runs with its peers: connections, leases, failover, zone drains, control."""

from collections.abc import Callable
from typing import Any

import structlog

from cherrydoor.failover.incarnation_end import reconnect_delay_ms
from cherrydoor.failover.service import FailoverService
from cherrydoor.gateway.control import ControlSocket
from cherrydoor.leader_election.service import LeaseService
from cherrydoor.leader_election.vote_store import VoteStore
from cherrydoor.membership.service import MembershipService
from cherrydoor.zone_drain.service import ZoneDrainService

log = structlog.get_logger()
STOOD_STILL = "it stood still for longer than its witnesses wait"
DECLARED_OVER = "others hold this life to be over"


class PeerServices:
    """The peer services of one incarnation of a gateway, not yet started.

    Args:
        service: The gateway's service, which calls this one.
        incarnation: Above that of an earlier start of the same process; 0 to choose one.
        vote_store: Makes what keeps a voter's promises, of a path and a name; on disk unless
            given.
    """

    def __init__(
        self, service: Any, incarnation: int = 0, vote_store: Callable[..., Any] | None = None
    ) -> None:
        settings = service.config.peers
        self.service = service
        self.peers: Any = MembershipService(service, settings, incarnation)
        self.leases: Any = LeaseService(self.peers, service.config.tenures, vote_store or VoteStore)
        self.failover = FailoverService(self.peers, self.leases)
        self.zone_drains: Any = ZoneDrainService(self.peers, self.leases)
        self.control: Any = None
        if settings["control"]:
            self.control = ControlSocket(settings["control"], self.run_command)
        self.peers.change_listeners.append(self._connections_checked)
        self.last_check_ms: float = self.peers.now()
        self.suspect_after_ms: float = settings["silent"]

    @property
    def incarnation(self) -> int:
        """Which start of the gateway this is."""
        incarnation: int = self.peers.local.incarnation
        return incarnation

    def continue_from(self, before: "PeerServices") -> None:
        """Take over the zone drains known to the incarnation before, of the same process."""
        self.zone_drains.participant = before.zone_drains.participant

    async def start(self) -> None:
        """Open the listener for peers, and begin all services."""
        await self.peers.start()
        self.failover.start()
        self.zone_drains.start()
        if self.control:
            await self.control.start()
        log.info(
            "peers may connect",
            gateway=self.peers.local.name,
            address=self.peers.settings["door"],
            incarnation=self.incarnation,
            voters=len(self.leases.voters),
        )

    def after_tick(self) -> None:
        """Send what a tick of the event loop has changed."""
        self.failover.after_tick()

    def claim_response(self, end: Any, message: Any) -> None:
        """Handle a client's claim of the response that another gateway owed it."""
        self.failover.claim_response(end, message)

    def _connections_checked(self) -> None:
        """End this incarnation if the process stood still, or if others declared it over."""
        if self.service.peer_services is not self:
            return
        if self.was_suspended():
            self.service.end_incarnation(STOOD_STILL)
            return
        self.failover.connections_changed()
        if self.peers.members.has_ended:
            self.service.end_incarnation(DECLARED_OVER)

    def was_suspended(self) -> bool:
        """Return whether this process was stopped for so long that others may have taken over.

        Asked before anything else is done: hosts would refuse what it sends. Guards against two
        answers to one request. It harms when the machine is only slow: the incarnation ends then,
        and clients reconnect.
        """
        now = self.peers.now()
        stopped_ms = now - self.last_check_ms
        self.last_check_ms = now
        return bool(stopped_ms > self.suspect_after_ms and self.failover.has_in_flight)

    def reconnect_delay_ms(self, number: int) -> float:
        """Return after how many ms a client of this incarnation, now over, may reconnect."""
        return reconnect_delay_ms(self.service.config.seed + self.incarnation, number)

    def close(self) -> None:
        """Leave: what is held is handed over, and every connected peer is told."""
        self.zone_drains.close()
        self.leases.close()
        self.failover.close()
        self.peers.close()
        if self.control:
            self.control.close()

    def abort(self) -> None:
        """End without telling anybody; the next incarnation announces itself."""
        self.zone_drains.close()
        self.leases.abort()
        self.failover.close()
        self.peers.abort()
        if self.control:
            self.control.close()

    # ---- for operators
    def run_command(self, command: dict[str, Any]) -> Any:
        """Carry out a command of the control socket; return its JSON answer."""
        match command["do"]:
            case "peers":
                return self.table()
            case "site":
                return self.zone_drains.answer_command(command)
            case "custody":
                return self.failover.table()
            case "tenures":
                return self.leases.table()
            case "hold":
                self.leases.hold(str(command["task"]), _ignore, _ignore)
                return self.leases.table()
            case "yield":
                return self._release(str(command["task"]))
            case unknown:
                return {"error": f"unknown: {unknown}"}

    def _release(self, task: str) -> Any:
        if task not in self.leases.holding:
            return {"error": f"{task} is not held here"}
        self.leases.release(task)
        return self.leases.table()

    def table(self) -> dict[str, Any]:
        """Return the members and connections, as the control socket shows them."""
        members = sorted(self.peers.members.all_rows(), key=lambda member: member.name)
        now = self.peers.now()
        return {
            "gateway": self.peers.local.name,
            "life": self.incarnation,
            "witnesses": self.peers.links.replicas,
            "frames": self.peers.frames_sent,
            "bytes": self.peers.bytes_sent,
            "members": [self._member_row(member, now) for member in members],
        }

    def _member_row(self, member: Any, now: float) -> dict[str, Any]:
        return {
            "name": member.name,
            "life": member.incarnation,
            "at": member.address,
            "site": member.zone,
            "state": member.state,
            "keeper": member.is_voter,
            "linked": self.peers.links.is_up(member.name),
            "since": round(now - self.peers.members.changed_ms[member.name], 1),
        }


def _ignore(fencing_token: int) -> None:
    """A task that an operator has held is carried out by nobody."""
