"""The link policy under the path that the import contracts name; see `peer_links.py`."""

from cherrydoor.membership.peer_links import PeerLinks as Links

__all__ = ["Links"]
