"""The lease service under the name by which other packages still import it; see `service.py`."""

from cherrydoor.leader_election.service import LeaseService as Tenures

__all__ = ["Tenures"]
