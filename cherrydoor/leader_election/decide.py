"""The stored votes under the names by which other packages still import them; see `messages.py`."""

from cherrydoor.leader_election.messages import Vote as Promise
from cherrydoor.leader_election.messages import Votes as Promises

__all__ = ["Promise", "Promises"]
