"""The former name of `PeerServices`, for modules that still import it from here."""

from cherrydoor.failover.peer_services import PeerServices as Fellows

__all__ = ["Fellows"]
