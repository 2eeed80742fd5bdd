"""Membership: which daemons exist, where, and in which state."""

from knapweedlead.membership._member import Member, MembersChanged
from knapweedlead.membership._role import MembershipRole

__all__ = ["Member", "MembersChanged", "MembershipRole"]
