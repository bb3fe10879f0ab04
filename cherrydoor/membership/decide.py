"""The member table under the path that the import contracts name; see `member_table.py`."""

from cherrydoor.membership.member_table import MemberTable as Members

__all__ = ["Members"]
