"""The services that a gateway runs with its peers, and their control socket.

They are membership, leases, failover and zone drains.
"""

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
SUSPENDED = "the process was suspended for longer than its peers wait for a heartbeat"
DECLARED_OVER = "peers have declared this incarnation over"


class PeerServices:
    """The peer services of one incarnation of a gateway, not yet started.

    Args:
        service: The gateway service that these services belong to.
        incarnation: Greater than that of earlier starts in the same process; 0 to choose one.
        vote_store: Creates a voter's storage from a path and a gateway name; stores on disk if not
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
        """Number of this start of the gateway; greater than those of all earlier starts."""
        incarnation: int = self.peers.local.incarnation
        return incarnation

    def continue_from(self, previous: "PeerServices") -> None:
        """Take over the zone drains known to the previous incarnation in this process."""
        self.zone_drains.participant = previous.zone_drains.participant

    async def start(self) -> None:
        """Open the listener for peers, and start all services."""
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
        """Replicate the changes of an event loop tick."""
        self.failover.after_tick()

    def claim_response(self, connection: Any, message: Any) -> None:
        """Handle a client's claim of a response that it did not get from another gateway."""
        self.failover.claim_response(connection, message)

    def _connections_checked(self) -> None:
        """End this incarnation if the process was suspended, or if peers declared it over."""
        if self.service.peer_services is not self:
            return
        if self.was_suspended():
            self.service.end_incarnation(SUSPENDED)
            return
        self.failover.connections_changed()
        if self.peers.members.has_ended:
            self.service.end_incarnation(DECLARED_OVER)

    def was_suspended(self) -> bool:
        """Return whether this process was suspended so long that peers may have taken over.

        This is checked before anything else is done, as hosts would refuse what the gateway sends.
        It prevents two responses to one request. The cost is that a pause of a merely slow machine
        also ends the incarnation, and clients have to reconnect.
        """
        now = self.peers.now()
        since_last_check_ms = now - self.last_check_ms
        self.last_check_ms = now
        return bool(
            since_last_check_ms > self.suspect_after_ms and self.failover.has_requests_in_flight
        )

    def reconnect_delay_ms(self, number: int) -> float:
        """Return the delay in ms before a client of this ended incarnation may reconnect."""
        return reconnect_delay_ms(self.service.config.seed + self.incarnation, number)

    def close(self) -> None:
        """Leave the fleet: release all leases, and notify every connected peer."""
        self.zone_drains.close()
        self.leases.close()
        self.failover.close()
        self.peers.close()
        if self.control:
            self.control.close()

    def abort(self) -> None:
        """Stop without notifying peers; the next incarnation announces itself."""
        self.zone_drains.close()
        self.leases.abort()
        self.failover.close()
        self.peers.abort()
        if self.control:
            self.control.close()

    # ---- for operators
    def run_command(self, command: dict[str, Any]) -> Any:
        """Run a command of the control socket; return its JSON response."""
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
                self.leases.request_lease(str(command["task"]), _ignore, _ignore)
                return self.leases.table()
            case "yield":
                return self._release(str(command["task"]))
            case other:
                return {"error": f"unknown command: {other}"}

    def _release(self, task: str) -> Any:
        if task not in self.leases.holding:
            return {"error": f"{task}: this gateway does not hold its lease"}
        self.leases.release(task)
        return self.leases.table()

    def table(self) -> dict[str, Any]:
        """Return the members and connections for the control socket."""
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
    """Do nothing: a lease that an operator holds by a command has no work attached."""
