"""The vote store under the names by which other packages still import it; see `vote_store.py`."""

from cherrydoor.leader_election.vote_store import InvalidVoteFileError as Unsound
from cherrydoor.leader_election.vote_store import VoteStore as File
from cherrydoor.leader_election.vote_store import decode_votes as unseal
from cherrydoor.leader_election.vote_store import encode_votes as seal
from cherrydoor.leader_election.vote_store import write_synced as sync

__all__ = ["File", "Unsound", "seal", "sync", "unseal"]
