"""Which nodes there are, and in which state."""

from marjoramtide.membership._directory import Directory
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_state import MemberState

__all__ = ["Directory", "Member", "MemberState"]
