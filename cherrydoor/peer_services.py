"""What the gateways of a fleet do together: membership, leader election, failover, zone drains.

A gateway whose configuration names no listener for peers has none of this, and imports none of it.
"""

from typing import Any, Protocol


class PeerServices(Protocol):
    """One incarnation of a gateway among its peers, as `GatewayService` uses it.

    Attributes:
        incarnation: Greater than that of every earlier start of this gateway.
        peers: Connections to the other gateways, and who is a member.
        failover: Replicates requests in flight, and takes over those of gateways that fail.
        zone_drains: Which zones are draining.
    """

    peers: Any
    failover: Any
    zone_drains: Any

    @property
    def incarnation(self) -> int:
        """Greater than that of every earlier start of this gateway."""

    async def start(self) -> None:
        """Opens the listener for peers and joins the fleet."""

    def after_tick(self) -> None:
        """Called at the end of each tick of the event loop."""

    def claim_response(self, end: Any, message: Any) -> None:
        """Answers a client that asks what became of a request which another gateway had taken."""

    def was_suspended(self) -> bool:
        """Whether the process was suspended so long that peers may have taken over its requests."""

    def continue_from(self, before: Any) -> None:
        """Takes over the drains that the gateway's previous incarnation knew."""

    def reconnect_delay_ms(self, number: int) -> float:
        """Time in ms after which the client of that number may reconnect.

        The times are spread so that not all clients come back at once.
        """

    def close(self) -> None:
        """Leaves the fleet in order."""

    def abort(self) -> None:
        """Ends at once, without a notice to the peers."""


def join(service: Any, incarnation: int = 0) -> Any:
    """Makes the gateway's peer services, not yet started; None without a listener for peers.

    Args:
        service: The gateway service.
        incarnation: Greater than that of an earlier incarnation in this process; 0 at the first.
    """
    if not service.config.peers["door"]:
        return None
    from cherrydoor.failover.peer_services import PeerServices

    return PeerServices(service, incarnation)
