"""Interface to the services that connect a fleet's gateways.

These are membership, leader election, failover and zone drains. A gateway whose configuration has
no listener for peers neither runs nor imports them.
"""

from typing import Any, Protocol


class PeerServices(Protocol):
    """The peer services of one incarnation of a gateway, as `GatewayService` uses them.

    Attributes:
        incarnation: Greater than the incarnation of every earlier start of this gateway.
        peers: Connections to the other gateways, and the member table.
        failover: Replicates requests in flight, and takes over those of gateways that fail.
        zone_drains: Knows which zones are draining.
    """

    peers: Any
    failover: Any
    zone_drains: Any

    @property
    def incarnation(self) -> int:
        """Number of this incarnation, greater than that of every earlier start."""

    async def start(self) -> None:
        """Opens the listener for peers and joins the fleet."""

    def after_tick(self) -> None:
        """Called at the end of each tick of the event loop."""

    def claim_response(self, client_connection: Any, message: Any) -> None:
        """Answers a client's claim of the response to a request that another gateway accepted."""

    def was_suspended(self) -> bool:
        """Returns whether a suspension was long enough for peers to take over the requests."""

    def continue_from(self, previous: Any) -> None:
        """Takes over the state of zone drains from the gateway's previous incarnation."""

    def reconnect_delay_ms(self, number: int) -> float:
        """Returns the delay after which the client with this number may reconnect.

        The delays are spread so that clients do not all reconnect at once.
        """

    def close(self) -> None:
        """Leaves the fleet gracefully: hands over what it holds and notifies the peers."""

    def abort(self) -> None:
        """Ends immediately, without notifying the peers."""


def join(service: Any, incarnation: int = 0) -> Any:
    """Makes a gateway's peer services, without starting them.

    Args:
        service: The gateway service.
        incarnation: For the first incarnation of a process, 0; for a later one, a number greater
            than that of every earlier incarnation.

    Returns:
        The peer services, or None if the gateway has no listener for peers.
    """
    if not service.config.peers["door"]:
        return None
    from cherrydoor.failover.peer_services import PeerServices

    return PeerServices(service, incarnation)
