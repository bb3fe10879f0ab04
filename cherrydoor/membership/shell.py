"""The membership service under the name that other packages still import; see `service.py`."""

from cherrydoor.membership.service import MembershipService as Peers

__all__ = ["Peers"]
