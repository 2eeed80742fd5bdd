"""Membership of the fleet: failure detection and gossip between daemons."""

from knapweedlead.membership._bootstrap import BootstrapRole
from knapweedlead.membership._member import Member, MembersChanged, RevisionHeard
from knapweedlead.membership._ring import Ring, ring_position
from knapweedlead.membership._role import MembershipRole

__all__ = [
    "BootstrapRole",
    "Member",
    "MembersChanged",
    "MembershipRole",
    "RevisionHeard",
    "Ring",
    "ring_position",
]
