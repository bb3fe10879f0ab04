"""The member table that a gateway starts with: itself and the configured voters."""

from typing import Any

from cherrydoor.membership.member_table import LocalMember, MemberTable
from cherrydoor.protocol.peers import Member


def configured_table(config: Any, settings: Any, incarnation: int, now_ms: float) -> MemberTable:
    """Returns a table of this gateway and the other voters, whose incarnations are not known yet.

    Args:
        config: The gateway's configuration, which holds its name and zone.
        settings: The configuration's section on peers.
        incarnation: The incarnation of this gateway.
        now_ms: The current time.
    """
    voters = {voter["name"]: voter["at"] for voter in settings["keepers"]}
    local = LocalMember(
        config.name,
        incarnation,
        settings["at"] or settings["door"],
        config.lease.zone,
        config.name in voters,
    )
    table = MemberTable(local, now_ms)
    other_voters = [
        Member(name, 0, address, is_voter=True)
        for name, address in voters.items()
        if name != local.name
    ]
    table.merge_all(now_ms, other_voters)
    return table
