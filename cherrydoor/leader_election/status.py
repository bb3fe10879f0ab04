"""What the control socket shows of leases and votes.

The JSON keys are kept for operators' tools and differ from the names in the code.
"""

from typing import Any, NamedTuple

from cherrydoor.leader_election.voter import Voter


class HeldLease(NamedTuple):
    """The fencing token of a lease that is held here, and when the lease expires (ms)."""

    fencing_token: int
    until_ms: float


def held_rows(holding: dict[str, HeldLease], now_ms: float) -> list[dict[str, Any]]:
    """Returns the leases held here, with the remaining time of each in ms."""
    return [
        {
            "task": task,
            "number": lease.fencing_token,
            "left": round(lease.until_ms - now_ms, 1),
        }
        for task, lease in sorted(holding.items())
    ]


def voter_table(voter: Voter, now_ms: float) -> dict[str, Any]:
    """Returns the votes and counters of a voter; times are remaining ms."""
    votes = voter.votes
    rows = [
        {
            "task": task,
            "number": vote.fencing_token,
            "holder": vote.leaseholder,
            "left": max(0.0, round(vote.until_ms - now_ms, 1)) if vote.leaseholder else 0.0,
        }
        for task, vote in sorted(votes.tasks.items())
    ]
    return {
        "silent": max(0.0, round(voter.silent_until_ms - now_ms, 1)),
        "floor": votes.highest_forgotten_token,
        "promises": rows,
        **voter.counters,
    }
